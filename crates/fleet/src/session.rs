//! One process's session with the fleet: its renewals, the leases it holds, the publication it has accepted
//! and the fence that guards it. Used by `node`.

use std::collections::BTreeSet;

use crate::lease::{Fence, Held, Holding, Times};
use crate::sight::{objections, Seen, View};
use crate::words::{Desk, Publication, Renewal, Renewed, Who, OUTS};
use crate::work::Terms;

/// How long to wait for an answer before trying another voter, in units of the owner's renewal interval.
const PATIENCE: u64 = 2;

/// State of one process's session. Times are in microseconds by the process's own clock.
pub struct Session {
    pub who: Who,
    times: Times,
    pub willing: bool,
    /// Whether the disk accepts writes. A process that cannot persist what it is told owns nothing.
    pub writable: bool,
    pub superseded: bool,
    pub holding: Holding,
    fence: Fence,
    /// The committed version at the time of the first answer. Older publications are ignored: what this
    /// process had accepted before a restart may not have reached its disk, and an old publication would
    /// revert it.
    floor: Option<u64>,
    pub taken: Option<Publication>,
    pub acted: u64,
    /// As the owner of the outs duty: the committed version and set of backends, from the leader.
    agreed: Option<(u64, BTreeSet<String>)>,
    /// Token and version last published, and when.
    published: Option<(u64, u64, u64)>,
    next_us: u64,
    /// When the first renewal since the last answer was sent.
    unanswered_us: Option<u64>,
    pub leader: String,
    pub terms: Terms,
    /// The version that the disk holds.
    pub kept: u64,
    /// Until when this process may send, if its policy requires contact with the fleet.
    right_us: u64,
    /// Version and send time of an answer whose version is not applied yet. It extends `send_until_us` once
    /// it is.
    unacted: Option<(u64, u64)>,
    /// Whether the version in force at the fleet's first answer has been applied.
    caught_up: bool,
    pub busy: BTreeSet<String>,
    /// Whether the proxy has no queries in progress while drained for maintenance.
    pub empty: bool,
    view: View,
    /// The leader that the view was last sent to, and the number of renewals since.
    told_to: Option<(String, u32)>,
    /// The plans' revision, and the backends scheduled to leave next at that revision.
    next: Option<(u64, Vec<String>)>,
    /// Whether this proxy is to be drained for maintenance.
    pub drained: bool,
    /// Input for the owner of the work duty.
    pub desk: Option<Desk>,
}

/// Renewals after which an unchanged view is sent again.
const TOLD_AGAIN: u32 = 8;

/// Changes caused by an answer to a renewal.
#[derive(Default, Debug, PartialEq)]
pub struct Changes {
    pub held: Vec<(String, Held)>,
    pub let_go: Vec<(String, u64)>,
}

impl Session {
    pub fn new(who: Who, times: Times, taken: Option<Publication>) -> Self {
        let fence = Fence { seen: taken.as_ref().map_or(0, |taken| taken.token) };
        Session {
            who,
            times,
            willing: true,
            writable: true,
            superseded: false,
            holding: Holding::default(),
            fence,
            floor: None,
            taken,
            acted: 0,
            agreed: None,
            published: None,
            next_us: 0,
            unanswered_us: None,
            leader: String::new(),
            terms: Terms::default(),
            kept: 0,
            right_us: 0,
            unacted: None,
            caught_up: false,
            busy: BTreeSet::new(),
            empty: false,
            view: View::default(),
            told_to: None,
            next: None,
            drained: false,
            desk: None,
        }
    }

    /// Until when this process may send anything to a backend, by its own clock.
    pub fn right_until(&self) -> u64 {
        match self.terms {
            Terms { drains: true, .. } => self.right_us,
            Terms { waits: true, .. } if !self.caught_up => 0,
            _ => u64::MAX,
        }
    }

    /// Records that the proxy's dispatch has applied this version, and which of the backends that are out
    /// still have queries in progress.
    pub fn acts(&mut self, now_us: u64, version: u64, busy: BTreeSet<String>) {
        self.acted = self.acted.max(version);
        self.busy = busy;
        self.catch_up();
        self.hurry(now_us);
    }

    /// Permission to send is extended only by a renewal whose answer named a version that is applied. So once
    /// the fleet has waited for a lease, a process that lacks a version has lost its permission.
    fn catch_up(&mut self) {
        if let Some((version, sent_us)) = self.unacted.filter(|(version, _)| *version <= self.acted) {
            let until = (sent_us + self.times.lease_us).saturating_sub(self.times.margin_us);
            self.right_us = self.right_us.max(until);
            self.caught_up |= version <= self.acted;
            self.unacted = None;
        }
    }

    /// Records what the proxy observes of its backends.
    pub fn sees(&mut self, view: View) {
        if view != self.view {
            self.view = view.cut();
            self.told_to = None;
        }
    }

    /// The report on maintenance that goes with a renewal.
    fn seen(&mut self) -> Seen {
        let (busy, drained) = (self.busy.clone(), self.drained && self.empty);
        let Some((revision, next)) = &self.next else { return Seen { busy, drained, ..Seen::default() } };
        let fresh = self.told_to.as_ref().is_some_and(|(to, ago)| *to == self.leader && *ago < TOLD_AGAIN);
        let told = if fresh { self.told_to.take().map_or(0, |told| told.1) + 1 } else { 0 };
        self.told_to = Some((self.leader.clone(), told));
        let objections = objections(&self.view, next);
        Seen { revision: *revision, objections, busy, drained, view: (!fresh).then(|| self.view.clone()) }
    }

    /// Makes the next renewal due now.
    pub fn hurry(&mut self, now_us: u64) {
        self.next_us = self.next_us.min(now_us);
    }

    /// Whether the answer is so late that another voter should be tried.
    pub fn forsaken(&mut self, now_us: u64) -> bool {
        let patience = PATIENCE * self.times.renew_us + self.times.tick_us;
        let forsaken = self.unanswered_us.is_some_and(|since| now_us > since + patience);
        if forsaken {
            self.unanswered_us = None;
            self.hurry(now_us);
        }
        forsaken
    }

    /// The next renewal, if it is due.
    pub fn due(&mut self, now_us: u64, voter: bool) -> Option<Renewal> {
        if now_us < self.next_us {
            return None;
        }
        let owns = self.holding.all(now_us).next().is_some();
        let quick = owns || self.unanswered_us.is_some();
        self.next_us = now_us + if quick { self.times.renew_us } else { self.times.session_us };
        self.unanswered_us.get_or_insert(now_us);
        // An answer is expected within the owner's interval, even in a session that renews less often.
        self.next_us = self.next_us.min(now_us + self.times.session_us);
        let seen = self.seen();
        Some(Renewal {
            who: self.who.clone(),
            sent_us: now_us,
            willing: self.willing && !self.superseded,
            writable: self.writable,
            voter,
            taken_token: self.fence.seen,
            taken: self.taken.as_ref().map_or(0, |taken| taken.version),
            acted: self.acted,
            heard: self.agreed.as_ref().map_or(0, |agreed| agreed.0),
            kept: self.kept,
            terms: self.terms,
            seen,
            work: self.desk.as_ref().and_then(|desk| desk.work.as_ref().map(|_| desk.revision)),
        })
    }

    /// Takes over the work context. The plans held so far stay valid if the answer has no newer ones.
    fn desk(&mut self, desk: Option<Box<Desk>>) {
        let Some(mut new) = desk.map(|desk| *desk) else { return };
        if new.work.is_none() {
            let old = self.desk.take().filter(|old| old.revision == new.revision);
            new.work = old.and_then(|old| old.work);
        }
        self.desk = Some(new);
    }

    /// Handles the leader's answer to a renewal.
    pub fn renewed(&mut self, now_us: u64, answer: Renewed) -> Changes {
        let mut changes = Changes::default();
        self.unanswered_us = None;
        self.leader = answer.leader;
        self.superseded = answer.superseded;
        self.floor.get_or_insert(answer.version);
        self.unacted = Some((answer.version, answer.sent_us));
        self.catch_up();
        let news = answer.next.as_ref().map(|next| next.0) != self.next.as_ref().map(|next| next.0);
        if news && answer.next.as_ref().is_some_and(|(_, next)| !next.is_empty()) {
            // Machines scheduled to leave wait until every proxy has considered them.
            self.hurry(now_us);
        }
        (self.next, self.drained) = (answer.next, answer.drained);
        self.desk(answer.work);
        for (duty, token) in &answer.tokens {
            if duty == OUTS {
                // A lower token has no effect on the fence.
                let _ = self.fence.pass(*token);
            }
        }
        if let Some(outs) = answer.outs {
            if self.agreed.as_ref().is_none_or(|agreed| agreed.0 < answer.version) {
                self.agreed = Some((answer.version, outs));
            }
        }
        for (duty, token) in &answer.duties {
            // Gives back a duty that this process no longer wants. One that it has given back before is given
            // back again: if that message was lost, the fleet would otherwise regard this process as the
            // owner for good.
            let gone = self.holding.has_let_go(duty, *token);
            if gone || !self.willing || self.superseded || !self.writable {
                changes.let_go.push((duty.clone(), *token));
                continue;
            }
            let was = self.holding.token(now_us, duty);
            if let Some(held) = self.holding.renewed(now_us, duty, *token, answer.sent_us, &self.times) {
                changes.held.push((duty.clone(), held));
                if was.is_none() {
                    // From now on this process renews at the owner's interval.
                    self.next_us = self.next_us.min(now_us + self.times.renew_us);
                }
            }
        }
        if self.superseded {
            changes.let_go.extend(self.let_go_all(now_us));
        }
        changes
    }

    /// Stops owning anything at once. Returns the duties that the fleet must be told are free.
    pub fn let_go_all(&mut self, now_us: u64) -> Vec<(String, u64)> {
        let all: Vec<(String, u64)> =
            self.holding.all(now_us).map(|(duty, token)| (duty.to_owned(), token)).collect();
        all.iter().for_each(|(duty, token)| {
            self.holding.let_go(duty, *token);
        });
        all
    }

    /// Whether the version in force is known, and accepted if there is one.
    pub fn answered(&self) -> bool {
        self.floor.is_some_and(|floor| self.taken.as_ref().map_or(0, |taken| taken.version) >= floor)
    }

    /// The publication to send as owner of the outs duty, if one is due: at once on a change, and from time
    /// to time because messages can be lost. The lease is checked here, at the moment of use.
    pub fn publish(&mut self, now_us: u64) -> Option<Publication> {
        let token = self.holding.token(now_us, OUTS)?;
        let (version, outs) = self.agreed.clone()?;
        let news = self.published.is_none_or(|(was, last, at_us)| {
            (was, last) != (token, version) || now_us >= at_us + self.times.lease_us / 2
        });
        if !news {
            return None;
        }
        self.published = Some((token, version, now_us));
        Some(Publication { token, version, outs, owner: self.who.to_string() })
    }

    /// Accepts a publication. Returns whether it changes anything, or the token that fences it off if its
    /// owner is out of date.
    pub fn take(&mut self, word: &Publication) -> Result<bool, u64> {
        if word.token >= self.fence.seen && self.floor.is_none_or(|floor| word.version < floor) {
            return Ok(false);
        }
        self.fence.pass(word.token)?;
        let version = self.taken.as_ref().map_or(0, |taken| taken.version);
        let token = self.taken.as_ref().map_or(0, |taken| taken.token);
        if word.version < version || (word.version, word.token) == (version, token) {
            return Ok(false);
        }
        self.taken = Some(word.clone());
        Ok(true)
    }

    /// The publication that the sender of this renewal has yet to receive.
    pub fn missed_by(&self, renewal: &Renewal) -> Option<&Publication> {
        self.taken.as_ref().filter(|taken| renewal.taken < taken.version || renewal.taken_token < taken.token)
    }
}
