//! One process's session with the fleet: its signs of life, the duties it holds, the version it has taken
//! and the fence before it. Called by `node`.

use std::collections::BTreeSet;

use crate::lease::{Fence, Held, Holding, Times};
use crate::sight::{objections, Seen, View};
use crate::words::{Desk, Publication, Renewal, Renewed, Who, OUTS};
use crate::work::Terms;

/// How long an answer may take before another voter is asked, in renewals of an owner.
const PATIENCE: u64 = 2;

pub struct Session {
    pub who: Who,
    times: Times,
    pub willing: bool,
    /// The disk takes writes: one that can't keep what it is told owns nothing.
    pub writable: bool,
    pub superseded: bool,
    pub holding: Holding,
    fence: Fence,
    /// The version agreed when this process was first answered. Until then it takes nothing: what it had taken
    /// before a restart may not have reached its disk, and an old word would take it back.
    floor: Option<u64>,
    pub taken: Option<Publication>,
    pub acted: u64,
    /// As an owner has it from the leader: the version and what it holds.
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
    /// Until when this process may send, where it must hear the fleet to go on.
    right_us: u64,
    /// An answer that told of a version not yet acted on: it counts once it is.
    unacted: Option<(u64, u64)>,
    /// Has acted on what was in force when the fleet first answered.
    caught_up: bool,
    pub busy: BTreeSet<String>,
    /// Nothing in hand while drained for work.
    pub empty: bool,
    view: View,
    /// The leader that the view was last told to, and how many renewals ago.
    told_to: Option<(String, u32)>,
    /// The work's revision, and who is next to go by it.
    next: Option<(u64, Vec<String>)>,
    /// Whether this proxy is to be drained for work.
    pub drained: bool,
    /// As the owner of the work.
    pub desk: Option<Desk>,
}

/// Renewals after which what is seen is told again though nothing has changed.
const TOLD_AGAIN: u32 = 8;

/// What an answer changed.
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

    /// The proxy's module has been told of this version, and these of those out have something in hand.
    pub fn acts(&mut self, now_us: u64, version: u64, busy: BTreeSet<String>) {
        self.acted = self.acted.max(version);
        self.busy = busy;
        self.catch_up();
        self.hurry(now_us);
    }

    /// The right to send counts from a renewal whose answer told of no version that is not acted on: once the
    /// fleet has waited for a lease, who lacks a version has ended its right.
    fn catch_up(&mut self) {
        if let Some((version, sent_us)) = self.unacted.filter(|(version, _)| *version <= self.acted) {
            let until = (sent_us + self.times.lease_us).saturating_sub(self.times.margin_us);
            self.right_us = self.right_us.max(until);
            self.caught_up |= version <= self.acted;
            self.unacted = None;
        }
    }

    pub fn sees(&mut self, view: View) {
        if view != self.view {
            self.view = view.cut();
            self.told_to = None;
        }
    }

    /// What it says on work, if there is any.
    fn seen(&mut self) -> Seen {
        let (busy, drained) = (self.busy.clone(), self.drained && self.empty);
        let Some((revision, next)) = &self.next else { return Seen { busy, drained, ..Seen::default() } };
        let fresh = self.told_to.as_ref().is_some_and(|(to, ago)| *to == self.leader && *ago < TOLD_AGAIN);
        let told = if fresh { self.told_to.take().map_or(0, |told| told.1) + 1 } else { 0 };
        self.told_to = Some((self.leader.clone(), told));
        let objections = objections(&self.view, next);
        Seen { revision: *revision, objections, busy, drained, view: (!fresh).then(|| self.view.clone()) }
    }

    pub fn hurry(&mut self, now_us: u64) {
        self.next_us = self.next_us.min(now_us);
    }

    /// No answer for so long that another voter is worth trying.
    pub fn forsaken(&mut self, now_us: u64) -> bool {
        let patience = PATIENCE * self.times.renew_us + self.times.tick_us;
        let forsaken = self.unanswered_us.is_some_and(|since| now_us > since + patience);
        if forsaken {
            self.unanswered_us = None;
            self.hurry(now_us);
        }
        forsaken
    }

    /// The next sign of life, when it is due.
    pub fn due(&mut self, now_us: u64, voter: bool) -> Option<Renewal> {
        if now_us < self.next_us {
            return None;
        }
        let owns = self.holding.all(now_us).next().is_some();
        let quick = owns || self.unanswered_us.is_some();
        self.next_us = now_us + if quick { self.times.renew_us } else { self.times.session_us };
        self.unanswered_us.get_or_insert(now_us);
        // An answer is expected within a renewal, whatever the pace.
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

    /// As the owner of the work: what it had of the plans stands where the answer has nothing newer.
    fn desk(&mut self, desk: Option<Box<Desk>>) {
        let Some(mut new) = desk.map(|desk| *desk) else { return };
        if new.work.is_none() {
            let old = self.desk.take().filter(|old| old.revision == new.revision);
            new.work = old.and_then(|old| old.work);
        }
        self.desk = Some(new);
    }

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
            // What is next to go waits for everybody to have looked at it.
            self.hurry(now_us);
        }
        (self.next, self.drained) = (answer.next, answer.drained);
        self.desk(answer.work);
        for (duty, token) in &answer.tokens {
            if duty == OUTS {
                // A lower one stands against nothing.
                let _ = self.fence.pass(*token);
            }
        }
        if let Some(outs) = answer.outs {
            if self.agreed.as_ref().is_none_or(|agreed| agreed.0 < answer.version) {
                self.agreed = Some((answer.version, outs));
            }
        }
        for (duty, token) in &answer.duties {
            // What it no longer wants it gives back; and again what it gave back when nobody heard it, or the fleet
            // would take it for the owner for good.
            let gone = self.holding.has_let_go(duty, *token);
            if gone || !self.willing || self.superseded || !self.writable {
                changes.let_go.push((duty.clone(), *token));
                continue;
            }
            let was = self.holding.token(now_us, duty);
            if let Some(held) = self.holding.renewed(now_us, duty, *token, answer.sent_us, &self.times) {
                changes.held.push((duty.clone(), held));
                if was.is_none() {
                    // From now on at an owner's pace.
                    self.next_us = self.next_us.min(now_us + self.times.renew_us);
                }
            }
        }
        if self.superseded {
            changes.let_go.extend(self.let_go_all(now_us));
        }
        changes
    }

    /// Stops at once being the owner of anything; returns what the fleet is to be told is free.
    pub fn let_go_all(&mut self, now_us: u64) -> Vec<(String, u64)> {
        let all: Vec<(String, u64)> =
            self.holding.all(now_us).map(|(duty, token)| (duty.to_owned(), token)).collect();
        all.iter().for_each(|(duty, token)| {
            self.holding.let_go(duty, *token);
        });
        all
    }

    /// Has heard of the version in force, and taken it if there is one.
    pub fn answered(&self) -> bool {
        self.floor.is_some_and(|floor| self.taken.as_ref().map_or(0, |taken| taken.version) >= floor)
    }

    /// What to publish as an owner, if anything is due: news at once, all again from time to time, since words
    /// get lost. The lease is looked at here, at the moment of use.
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

    /// Takes an owner's word: the backends that are out now where that is news. An old owner's is refused with
    /// the token that stands against it.
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

    /// What a session that says this of itself has yet to hear.
    pub fn missed_by(&self, renewal: &Renewal) -> Option<&Publication> {
        self.taken.as_ref().filter(|taken| renewal.taken < taken.version || renewal.taken_token < taken.token)
    }
}
