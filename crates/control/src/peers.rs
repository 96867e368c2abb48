//! Failure detection: whom this process hears, and who hears it.

use std::time::Duration;

use crate::message::{Echo, Heartbeat, Sender};
use crate::options::{transfer_time, Timing};
use crate::types::{Entry, EntryId, MemberId, Now, View};

/// Followers and joiners that are answered.
const STRANGERS: usize = 64;
/// Strangers not heard for so long are forgotten.
const STRANGER_KEPT: Duration = Duration::from_secs(2);
/// A pause between ticks that says that this process stood still.
const STOOD_STILL: Duration = Duration::from_millis(300);
/// An entry sent to a peer outside the chain that hasn't said that it has it isn't followed by another one for so long:
/// a slow link would hold ever more of them.
const TELL_AGAIN: Duration = Duration::from_millis(600);

/// What is known of one peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) sender: Sender,
    /// It isn't suspected for what came before this.
    since: Now,
    /// When it was last heard.
    pub(crate) heard: Option<Now>,
    /// What it last said.
    pub(crate) heartbeat: Option<Heartbeat>,
    /// When we sent the last heartbeat of ours that it has heard.
    pub(crate) echoed: Option<Now>,
    /// When we last sent it one.
    pub(crate) sent: Option<Now>,
    /// The entry that was last sent to it for being outside the chain, and when it should have arrived.
    told: Option<(Now, EntryId)>,
    /// It has been healthy since.
    pub(crate) healthy: Option<Now>,
    /// It has been unhealthy since.
    unhealthy: Option<Now>,
}

impl Peer {
    fn new(sender: Sender, since: Now) -> Self {
        Peer {
            sender,
            since,
            heard: None,
            heartbeat: None,
            echoed: None,
            sent: None,
            told: None,
            healthy: None,
            unhealthy: None,
        }
    }

    /// Heard, and hears us.
    pub(crate) fn connected(&self, now: Now, timing: &Timing) -> bool {
        let heard = self.heard.is_some_and(|at| now <= at + timing.suspect);
        let echoed = self.echoed.is_some_and(|at| now <= at + echo_limit(timing));
        heard && echoed
    }

    /// Not heard, or doesn't hear us, for too long.
    pub(crate) fn suspected(&self, now: Now, timing: &Timing) -> bool {
        let heard = self.heard.unwrap_or_default().max(self.since);
        let echoed = self.echoed.unwrap_or_default().max(self.since);
        now > heard + timing.suspect || now > echoed + echo_limit(timing)
    }

    /// Whether it lacks an entry and may be sent it: the one sent before has arrived, or was lost.
    pub(crate) fn takes_entry(&self, now: Now, entry: EntryId) -> bool {
        let Some(heartbeat) = self.heartbeat else { return false };
        let arrived = |told: EntryId| heartbeat.committed.position >= told.position;
        let free = self.told.is_none_or(|(due, told)| arrived(told) || now >= due);
        heartbeat.committed.position < entry.position && free
    }

    /// Notes whether it is healthy now.
    pub(crate) fn note_health(&mut self, now: Now, healthy: bool) {
        self.healthy = healthy.then(|| self.healthy.unwrap_or(now));
        self.unhealthy = (!healthy).then(|| self.unhealthy.unwrap_or(now));
    }

    /// How long it hasn't been healthy, but for what isn't held against it.
    pub(crate) fn unhealthy_for(&self, now: Now) -> Duration {
        self.unhealthy.map_or(Duration::ZERO, |at| now.saturating_sub(at.max(self.since)))
    }

    /// Takes a heartbeat. False if it is an old one.
    fn hear(&mut self, now: Now, heartbeat: Heartbeat, incarnation: u64, timing: &Timing) -> bool {
        let echo = heartbeat.heard.filter(|echo| echo.incarnation == incarnation);
        let echoed = echo.map(|echo| Duration::from_micros(echo.sent));
        if let Some(last) = &self.heartbeat {
            let same = last.sent.incarnation == heartbeat.sent.incarnation;
            let old = if same {
                heartbeat.sent.sent < last.sent.sent
            } else {
                self.may_be_late(now, echoed, timing)
            };
            if old {
                return false;
            }
        }
        self.heard = Some(now);
        // The echo of this very heartbeat: what it says was so after that, and perhaps not before.
        self.echoed = echoed;
        self.heartbeat = Some(heartbeat);
        true
    }

    /// Whether a heartbeat of another incarnation may be one from before the peer's last start: it has heard nothing
    /// newer of us than the one that is known, which still speaks.
    fn may_be_late(&self, now: Now, echoed: Option<Now>, timing: &Timing) -> bool {
        let speaks = self.heard.is_some_and(|at| now < at + timing.heartbeat * 2);
        speaks && echoed <= self.echoed
    }
}

/// An echo is older than the heartbeat that brings it, by up to an interval, and the next one may be lost.
fn echo_limit(timing: &Timing) -> Duration {
    timing.suspect + timing.heartbeat * 2
}

/// All that this process exchanges heartbeats with.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    incarnation: u64,
    timing: Timing,
    /// Nobody is suspected for what came before this.
    since: Now,
    ticked: Now,
    voters: Vec<Peer>,
    strangers: Vec<Peer>,
}

impl Peers {
    pub(crate) fn new(now: Now, incarnation: u64, timing: &Timing) -> Self {
        let since = now + timing.start_grace.saturating_sub(timing.suspect);
        Peers { incarnation, timing: *timing, since, ticked: now, voters: Vec::new(), strangers: Vec::new() }
    }

    /// The peers of a view, this process left out.
    pub(crate) fn enter(&mut self, now: Now, view: &View, own: MemberId) {
        let since = self.since.max(now);
        let mut known = std::mem::take(&mut self.voters);
        known.append(&mut self.strangers);
        for member in view.members.iter().filter(|member| member.id != own) {
            let sender = Sender { id: member.id, address: member.address };
            let place = known.iter().position(|peer| peer.sender.id == member.id);
            let mut peer = place.map_or_else(|| Peer::new(sender, since), |place| known.swap_remove(place));
            peer.sender = sender;
            self.voters.push(peer);
        }
        self.strangers = known;
        self.forget(now);
    }

    /// Time has passed. After a pause everyone is doubted anew, and nobody is suspected for it.
    pub(crate) fn tick(&mut self, now: Now) {
        if now > self.ticked + STOOD_STILL {
            self.since = self.since.max(now);
            for peer in &mut self.voters {
                peer.since = peer.since.max(now);
                peer.healthy = None;
                peer.unhealthy = None;
            }
        }
        self.ticked = now;
        self.forget(now);
    }

    fn forget(&mut self, now: Now) {
        self.strangers.retain(|peer| peer.heard.is_some_and(|at| now <= at + STRANGER_KEPT));
    }

    /// Takes a heartbeat. False if it is an old one.
    pub(crate) fn hear(&mut self, now: Now, sender: Sender, heartbeat: Heartbeat) -> bool {
        let (incarnation, timing) = (self.incarnation, self.timing);
        if let Some(peer) = self.get_mut(sender.id) {
            peer.sender = sender;
            return peer.hear(now, heartbeat, incarnation, &timing);
        }
        if self.strangers.len() >= STRANGERS {
            return false;
        }
        let mut peer = Peer::new(sender, now);
        let heard = peer.hear(now, heartbeat, incarnation, &timing);
        self.strangers.push(peer);
        heard
    }

    pub(crate) fn get(&self, id: MemberId) -> Option<&Peer> {
        self.voters.iter().chain(&self.strangers).find(|peer| peer.sender.id == id)
    }

    pub(crate) fn get_mut(&mut self, id: MemberId) -> Option<&mut Peer> {
        self.voters.iter_mut().chain(&mut self.strangers).find(|peer| peer.sender.id == id)
    }

    /// The voters of the view, this process left out.
    pub(crate) fn voters(&self) -> &[Peer] {
        &self.voters
    }

    pub(crate) fn voters_mut(&mut self) -> &mut [Peer] {
        &mut self.voters
    }

    /// Those that aren't voters and were heard lately.
    pub(crate) fn strangers(&self) -> &[Peer] {
        &self.strangers
    }

    /// Notes that an entry goes out to a peer outside the chain.
    pub(crate) fn telling(&mut self, now: Now, id: MemberId, entry: &Entry) {
        let due = now + TELL_AGAIN + transfer_time(entry.command.bytes.len());
        if let Some(peer) = self.get_mut(id) {
            peer.told = Some((due, entry.id));
        }
    }

    /// All that are due a heartbeat.
    pub(crate) fn due(&self, now: Now, interval: Duration) -> Vec<Sender> {
        let all = self.voters.iter().chain(&self.strangers);
        all.filter(|peer| peer.sent.is_none_or(|at| now >= at + interval)).map(|peer| peer.sender).collect()
    }

    /// Notes that a heartbeat goes out; returns what it is to echo.
    pub(crate) fn sending(&mut self, now: Now, id: MemberId) -> Option<Echo> {
        let peer = self.get_mut(id)?;
        peer.sent = Some(now);
        peer.heartbeat.map(|heartbeat| heartbeat.sent)
    }
}
