//! One process's session with the fleet: its signs of life, the duties it holds, the version it has taken
//! and the fence before it. Called by `node`.

use std::collections::BTreeSet;

use crate::lease::{Fence, Held, Holding, Times};
use crate::words::{Publication, Renewal, Renewed, Who, OUTS};

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
}

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
        }
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
        })
    }

    pub fn renewed(&mut self, now_us: u64, answer: Renewed) -> Changes {
        let mut changes = Changes::default();
        self.unanswered_us = None;
        self.leader = answer.leader;
        self.superseded = answer.superseded;
        self.floor.get_or_insert(answer.version);
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
