//! Failure detection: which peers' heartbeats arrive here, and which peers ours arrive at.

use std::time::Duration;

use crate::message::{Echo, Heartbeat, Sender};
use crate::options::{transfer_time, Timing};
use crate::types::{Entry, EntryId, MemberId, Now, View};

/// The most followers and standbys that heartbeats are exchanged with.
const MAX_NON_VOTERS: usize = 64;
/// A peer that doesn't vote is forgotten after this time without a heartbeat.
const NON_VOTER_TIMEOUT: Duration = Duration::from_secs(2);
/// A longer time between two ticks means that this process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);
/// A small entry that was sent to a peer outside the chain counts as lost after this time. No other one is sent to it
/// before: a slow link would hold ever more of them.
const LEARN_TIMEOUT: Duration = Duration::from_millis(600);

/// An entry on its way to a peer outside the chain.
#[derive(Clone, Copy, Debug)]
struct LearnInFlight {
    entry: EntryId,
    /// When it counts as lost.
    expires_at: Now,
}

/// What is known of one peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The peer's id and address.
    pub(crate) sender: Sender,
    /// Silence before this doesn't count against it.
    grace_until: Now,
    /// When its last heartbeat arrived.
    pub(crate) last_seen: Option<Now>,
    /// Its last heartbeat.
    pub(crate) heartbeat: Option<Heartbeat>,
    /// When we sent the heartbeat that its last one echoes.
    pub(crate) echoed_at: Option<Now>,
    /// When we last sent it a heartbeat.
    last_heartbeat_sent_at: Option<Now>,
    /// The peer's incarnation whose heartbeat our last one echoed.
    echoed_incarnation: Option<u64>,
    learn_in_flight: Option<LearnInFlight>,
    /// Since when it has been healthy.
    pub(crate) healthy_since: Option<Now>,
    /// Since when it has been unhealthy.
    unhealthy_since: Option<Now>,
}

impl Peer {
    fn new(sender: Sender, grace_until: Now) -> Self {
        Peer {
            sender,
            grace_until,
            last_seen: None,
            heartbeat: None,
            echoed_at: None,
            last_heartbeat_sent_at: None,
            echoed_incarnation: None,
            learn_in_flight: None,
            healthy_since: None,
            unhealthy_since: None,
        }
    }

    /// Whether heartbeats arrive in both directions.
    pub(crate) fn connected(&self, now: Now, timing: &Timing) -> bool {
        let is_seen = self.last_seen.is_some_and(|at| now <= at + timing.suspicion_timeout);
        let is_echoed = self.echoed_at.is_some_and(|at| now <= at + echo_timeout(timing));
        is_seen && is_echoed
    }

    /// Whether heartbeats have failed to arrive in either direction for too long.
    pub(crate) fn suspected(&self, now: Now, timing: &Timing) -> bool {
        let last_seen = self.last_seen.unwrap_or_default().max(self.grace_until);
        let echoed_at = self.echoed_at.unwrap_or_default().max(self.grace_until);
        now > last_seen + timing.suspicion_timeout || now > echoed_at + echo_timeout(timing)
    }

    /// Whether heartbeats arrive in both directions, and the last one reports nothing against it.
    pub(crate) fn is_healthy(&self, now: Now, timing: &Timing) -> bool {
        self.connected(now, timing) && self.reports_healthy()
    }

    /// Whether its last heartbeat reports nothing against it; true before the first one.
    pub(crate) fn reports_healthy(&self) -> bool {
        self.heartbeat.is_none_or(|last| last.disk_healthy && !last.shutting_down)
    }

    /// Whether no heartbeat of its present incarnation was echoed to it.
    pub(crate) fn lacks_echo(&self) -> bool {
        self.heartbeat.is_some_and(|last| self.echoed_incarnation != Some(last.sent.incarnation))
    }

    /// Whether it lacks a committed entry and may be sent it: the one sent before has arrived, or counts as lost.
    pub(crate) fn can_receive_entry(&self, now: Now, entry: EntryId) -> bool {
        let Some(heartbeat) = self.heartbeat else { return false };
        let has = |id: EntryId| heartbeat.committed.position >= id.position;
        let is_free = self.learn_in_flight.is_none_or(|sent| has(sent.entry) || now >= sent.expires_at);
        !has(entry) && is_free
    }

    /// Takes note whether it is healthy now.
    pub(crate) fn note_health(&mut self, now: Now, healthy: bool) {
        self.healthy_since = healthy.then(|| self.healthy_since.unwrap_or(now));
        self.unhealthy_since = (!healthy).then(|| self.unhealthy_since.unwrap_or(now));
    }

    /// How long it has been unhealthy, the time that doesn't count against it left out.
    pub(crate) fn unhealthy_for(&self, now: Now) -> Duration {
        self.unhealthy_since.map_or(Duration::ZERO, |at| now.saturating_sub(at.max(self.grace_until)))
    }

    /// Takes a heartbeat. False if it is older than the last one.
    fn record_heartbeat(
        &mut self,
        now: Now,
        heartbeat: Heartbeat,
        incarnation: u64,
        timing: &Timing,
    ) -> bool {
        let echo = heartbeat.echo.filter(|echo| echo.incarnation == incarnation);
        let echoed_at = echo.map(|echo| Duration::from_micros(echo.sent));
        if let Some(last) = &self.heartbeat {
            let same_incarnation = last.sent.incarnation == heartbeat.sent.incarnation;
            let is_outdated = if same_incarnation {
                heartbeat.sent.sent < last.sent.sent
            } else {
                self.may_be_of_earlier_incarnation(now, echoed_at, timing)
            };
            if is_outdated {
                return false;
            }
        }
        self.last_seen = Some(now);
        // Also where it is an earlier one than before: what this heartbeat reports was so after our heartbeat that it
        // echoes, and perhaps not before.
        self.echoed_at = echoed_at;
        self.heartbeat = Some(heartbeat);
        true
    }

    /// Whether a heartbeat of another incarnation than the known one may be a late one, from before the peer's last
    /// start: it echoes nothing newer of us, and the known incarnation still sends heartbeats.
    fn may_be_of_earlier_incarnation(&self, now: Now, echoed_at: Option<Now>, timing: &Timing) -> bool {
        let is_alive = self.last_seen.is_some_and(|at| now < at + timing.heartbeat_interval * 2);
        is_alive && echoed_at <= self.echoed_at
    }
}

/// An echo is older than the heartbeat that brings it, by up to an interval, and the next heartbeat may be lost.
fn echo_timeout(timing: &Timing) -> Duration {
    timing.suspicion_timeout + timing.heartbeat_interval * 2
}

/// All processes that this one exchanges heartbeats with.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    /// Of this process: echoes of heartbeats of its earlier incarnations don't count.
    incarnation: u64,
    timing: Timing,
    started_at: Now,
    /// Silence before this counts against nobody.
    grace_until: Now,
    last_tick_at: Now,
    voters: Vec<Peer>,
    non_voters: Vec<Peer>,
}

impl Peers {
    /// No peers; the grace period of the start begins.
    pub(crate) fn new(now: Now, incarnation: u64, timing: &Timing) -> Self {
        let grace_until = now + timing.start_grace_period.saturating_sub(timing.suspicion_timeout);
        Peers {
            incarnation,
            timing: *timing,
            started_at: now,
            grace_until,
            last_tick_at: now,
            voters: Vec::new(),
            non_voters: Vec::new(),
        }
    }

    /// The voters become those of a view, but for this process.
    pub(crate) fn enter(&mut self, now: Now, view: &View, own: MemberId) {
        let grace_until = self.grace_until.max(now);
        let mut known = std::mem::take(&mut self.voters);
        known.append(&mut self.non_voters);
        for member in view.members.iter().filter(|member| member.id != own) {
            let sender = Sender::from(member);
            let index = known.iter().position(|peer| peer.sender.id == member.id);
            let known_peer = index.map(|index| known.swap_remove(index));
            let mut peer = known_peer.unwrap_or_else(|| Peer::new(sender, grace_until));
            peer.sender = sender;
            self.voters.push(peer);
        }
        self.non_voters = known;
        self.forget_silent_non_voters(now);
    }

    /// Time has passed. After a pause of this process nobody is suspected for it, and nobody counts as healthy or
    /// unhealthy.
    pub(crate) fn tick(&mut self, now: Now) {
        if now > self.last_tick_at + PAUSE_THRESHOLD {
            self.grace_until = self.grace_until.max(now);
            for peer in &mut self.voters {
                peer.grace_until = peer.grace_until.max(now);
                peer.healthy_since = None;
                peer.unhealthy_since = None;
            }
        }
        self.last_tick_at = now;
        self.forget_silent_non_voters(now);
    }

    fn forget_silent_non_voters(&mut self, now: Now) {
        let is_recent = |at: Now| now <= at + NON_VOTER_TIMEOUT;
        self.non_voters.retain(|peer| peer.last_seen.is_some_and(is_recent));
    }

    /// Takes a heartbeat. False if it is older than the last one, or of one non-voter too many.
    pub(crate) fn record_heartbeat(&mut self, now: Now, sender: Sender, heartbeat: Heartbeat) -> bool {
        let (incarnation, timing) = (self.incarnation, self.timing);
        if let Some(peer) = self.get_mut(sender.id) {
            peer.sender = sender;
            return peer.record_heartbeat(now, heartbeat, incarnation, &timing);
        }
        if self.non_voters.len() >= MAX_NON_VOTERS {
            return false;
        }
        let mut peer = Peer::new(sender, now);
        let is_newest = peer.record_heartbeat(now, heartbeat, incarnation, &timing);
        self.non_voters.push(peer);
        is_newest
    }

    /// The peer with that id.
    pub(crate) fn get(&self, id: MemberId) -> Option<&Peer> {
        self.voters.iter().chain(&self.non_voters).find(|peer| peer.sender.id == id)
    }

    fn get_mut(&mut self, id: MemberId) -> Option<&mut Peer> {
        self.voters.iter_mut().chain(&mut self.non_voters).find(|peer| peer.sender.id == id)
    }

    /// The voters of the view, but for this process.
    pub(crate) fn voters(&self) -> &[Peer] {
        &self.voters
    }

    /// The voters of the view, but for this process.
    pub(crate) fn voters_mut(&mut self) -> &mut [Peer] {
        &mut self.voters
    }

    /// The peers that don't vote and have sent a heartbeat lately.
    pub(crate) fn non_voters(&self) -> &[Peer] {
        &self.non_voters
    }

    /// Takes note that an entry is sent to a peer outside the chain.
    pub(crate) fn record_learn_sent(&mut self, now: Now, id: MemberId, entry: &Entry) {
        let expires_at = now + LEARN_TIMEOUT + transfer_time(entry.command.bytes.len());
        if let Some(peer) = self.get_mut(id) {
            peer.learn_in_flight = Some(LearnInFlight { entry: entry.id, expires_at });
        }
    }

    /// The peers that had no heartbeat of ours for the interval.
    ///
    /// Voters that haven't been heard yet get them more often for a while after the start: where many processes start
    /// at once, the first ones are lost at those that don't listen yet, and nothing is confirmed before they arrive.
    pub(crate) fn due_heartbeats(&self, now: Now) -> Vec<Sender> {
        let timing = &self.timing;
        let is_starting = now < self.started_at + timing.start_grace_period;
        let interval = |peer: &Peer| match peer.last_seen {
            None if is_starting => timing.first_contact_interval,
            _ => timing.heartbeat_interval,
        };
        let is_due = |peer: &&Peer| peer.last_heartbeat_sent_at.is_none_or(|at| now >= at + interval(peer));
        let peers = self.voters.iter().chain(&self.non_voters);
        peers.filter(is_due).map(|peer| peer.sender).collect()
    }

    /// Takes note that a heartbeat is sent to a peer; returns what it is to echo.
    pub(crate) fn record_heartbeat_sent(&mut self, now: Now, id: MemberId) -> Option<Echo> {
        let peer = self.get_mut(id)?;
        let echo = peer.heartbeat.map(|heartbeat| heartbeat.sent);
        peer.last_heartbeat_sent_at = Some(now);
        peer.echoed_incarnation = echo.map(|echo| echo.incarnation);
        echo
    }
}
