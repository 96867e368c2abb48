//! What the leader keeps beside the agreed state: who was heard of when, and from that which sessions have
//! ended and which duties need another owner. None of it outlives the lead. Called by `node`.

use std::collections::{BTreeMap, BTreeSet};

use crate::lease::Times;
use crate::state::{Command, Fleet};
use crate::words::{MemberStatus, Renewal, Renewed, Who, DUTIES};

/// A session that has been silent for so many leases has ended.
const LAPSE: u64 = 3;
/// Sessions that one entry of the log may bring or end.
const MOST_JOINS: usize = 256;

pub struct Heard<R> {
    pub renewal: Renewal,
    pub at_us: u64,
    /// Where answers to it go.
    pub route: R,
}

pub struct Lead<R> {
    pub name: String,
    pub term: u64,
    /// When this voter learned that it leads: whatever its forerunners answered was heard before.
    since_us: u64,
    /// Each process by itself: the two of an upgrade both count until one is gone.
    pub heard: BTreeMap<Who, Heard<R>>,
    /// Renewals that wait for a majority to confirm the lead, with the round that will.
    waiting: BTreeMap<Who, (u64, Heard<R>)>,
    round: u64,
    /// When all sessions were last gone through.
    looked_us: u64,
    /// When the round that is out was asked for.
    asked_us: Option<u64>,
    /// When the owner's last confirmed renewal came, or its grant.
    renewed_us: BTreeMap<String, u64>,
    /// Grants on their way. Until one has come into force, or the lead is lost, its duty's old owner is told
    /// nothing that would lengthen its lease.
    granting: BTreeSet<String>,
    joining: BTreeSet<Who>,
    leaving: BTreeSet<Who>,
}

impl<R: Clone> Lead<R> {
    pub fn new(name: &str, term: u64, now_us: u64) -> Self {
        Lead {
            name: name.to_owned(),
            term,
            since_us: now_us,
            heard: BTreeMap::new(),
            waiting: BTreeMap::new(),
            looked_us: 0,
            // No round of an earlier lead may answer for one of this.
            round: term << 24,
            asked_us: None,
            renewed_us: BTreeMap::new(),
            granting: BTreeSet::new(),
            joining: BTreeSet::new(),
            leaving: BTreeSet::new(),
        }
    }

    pub fn hear(&mut self, now_us: u64, renewal: Renewal, route: R) {
        let heard = Heard { renewal: renewal.clone(), at_us: now_us, route: route.clone() };
        self.heard.insert(renewal.who.clone(), heard);
        let who = renewal.who.clone();
        self.waiting.insert(who, (self.round + 1, Heard { renewal, at_us: now_us, route }));
    }

    /// The next round to ask a majority for, if any renewal waits for one.
    pub fn round(&mut self, now_us: u64, times: &Times) -> Option<u64> {
        let patience = 2 * times.heartbeat_ticks as u64 * times.tick_us;
        let out = self.asked_us.is_some_and(|asked| now_us < asked + patience);
        if self.waiting.is_empty() || out {
            return None;
        }
        self.round += 1;
        self.asked_us = Some(now_us);
        Some(self.round)
    }

    /// A majority has confirmed the lead after the round was asked for: what was heard before it is answered.
    pub fn confirmed(&mut self, round: u64, fleet: &Fleet) -> Vec<(R, Renewed)> {
        if round == self.round {
            self.asked_us = None;
        }
        let mut answers = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for (who, (needs, heard)) in waiting {
            if needs > round {
                self.waiting.insert(who, (needs, heard));
                continue;
            }
            let who = &heard.renewal.who;
            let current = fleet.sessions.get(&who.name);
            let superseded = current.is_some_and(|current| *current > who.incarnation);
            if !fleet.is_current(who) && !superseded {
                // Its session has yet to begin: the next renewal finds it there.
                continue;
            }
            let mut duties = Vec::new();
            for (duty, state) in &fleet.duties {
                if !superseded && state.owner.as_ref() == Some(who) && !self.granting.contains(duty) {
                    let renewed = self.renewed_us.entry(duty.clone()).or_default();
                    *renewed = (*renewed).max(heard.at_us);
                    duties.push((duty.clone(), state.token));
                }
            }
            let wants = !duties.is_empty() && heard.renewal.heard != fleet.version;
            let answer = Renewed {
                who: who.clone(),
                sent_us: heard.renewal.sent_us,
                superseded,
                version: fleet.version,
                tokens: fleet.duties.iter().map(|(name, duty)| (name.clone(), duty.token)).collect(),
                outs: wants.then(|| fleet.outs.clone()),
                duties,
                leader: self.name.clone(),
            };
            answers.push((heard.route, answer));
        }
        answers
    }

    /// What has come into force.
    pub fn applied(&mut self, now_us: u64, command: &Command) {
        self.dropped(command);
        if let Command::Grant { duty, .. } = command {
            self.renewed_us.insert(duty.clone(), now_us);
        }
    }

    /// It gave a duty up: until it says otherwise it wants none.
    pub fn released(&mut self, who: &Who) {
        if let Some(heard) = self.heard.get_mut(who) {
            heard.renewal.willing = false;
        }
    }

    pub fn heard_of(&self, name: &str) -> bool {
        self.last_of(name).is_some()
    }

    /// The newest process of a proxy.
    fn last_of(&self, name: &str) -> Option<&Heard<R>> {
        let who = |incarnation| Who { name: name.to_owned(), incarnation };
        self.heard.range(who(0)..=who(u64::MAX)).next_back().map(|(_, heard)| heard)
    }

    /// What to propose now; `dropped` must be told of each that could not be.
    pub fn propose(&mut self, now_us: u64, fleet: &Fleet, times: &Times) -> Vec<Command> {
        let mut commands = Vec::new();
        // Hundreds of sessions are gone through now and then, not with each word.
        if now_us >= self.looked_us + times.tick_us / 2 {
            self.looked_us = now_us;
            commands.extend(self.sessions(now_us, fleet, times));
        }
        for duty in DUTIES {
            commands.extend(self.grant(now_us, duty, fleet, times));
        }
        commands
    }

    /// Sessions that have begun, and those that have ended.
    fn sessions(&mut self, now_us: u64, fleet: &Fleet, times: &Times) -> Vec<Command> {
        let mut commands = Vec::new();
        self.heard.retain(|_, heard| now_us <= heard.at_us + LAPSE * times.lease_us);
        let new = |who: &Who| fleet.sessions.get(&who.name).is_none_or(|current| *current < who.incarnation);
        let joins = self.heard.keys().filter(|who| new(who) && !self.joining.contains(who));
        let joins: Vec<Who> = joins.take(MOST_JOINS).cloned().collect();
        if !joins.is_empty() {
            self.joining.extend(joins.iter().cloned());
            commands.push(Command::Join(joins));
        }
        if now_us <= self.since_us + LAPSE * times.lease_us {
            return commands;
        }
        let silent = fleet.sessions.iter().filter(|(name, _)| !self.heard_of(name));
        let silent = silent.map(|(name, one)| Who { name: name.clone(), incarnation: *one });
        let leaves: Vec<Who> = silent.filter(|who| !self.leaving.contains(who)).take(MOST_JOINS).collect();
        if !leaves.is_empty() {
            self.leaving.extend(leaves.iter().cloned());
            commands.push(Command::Leave(leaves));
        }
        commands
    }

    /// No longer on its way: in force, or not proposed after all and to be tried again.
    pub fn dropped(&mut self, command: &Command) {
        match command {
            Command::Join(all) => all.iter().for_each(|who| {
                self.joining.remove(who);
            }),
            Command::Leave(all) => all.iter().for_each(|who| {
                self.leaving.remove(who);
            }),
            Command::Grant { duty, .. } => {
                self.granting.remove(duty);
            }
            Command::Release { .. } | Command::Outs { .. } => {}
        }
    }

    /// Nobody else gets a duty before its owner's lease has run out by this clock too, counted from when its last
    /// renewal was heard, which is after it was sent, or from the beginning of the lead.
    fn grant(&mut self, now_us: u64, duty: &str, fleet: &Fleet, times: &Times) -> Option<Command> {
        if self.granting.contains(duty) {
            return None;
        }
        let state = fleet.duties.get(duty).cloned().unwrap_or_default();
        if state.owner.is_some() {
            let last = self.renewed_us.get(duty).copied().unwrap_or(0).max(self.since_us);
            if now_us < last + times.lease_us {
                return None;
            }
        }
        let to = self.candidate(now_us, state.owner.as_ref(), fleet, times)?;
        self.granting.insert(duty.to_owned());
        Some(Command::Grant { duty: duty.to_owned(), token: state.token + 1, to })
    }

    /// A voter before others, since it hears of changes first; another than the leader, so that one death doesn't
    /// take both; another than the last owner, whose lease ran out; then who owns least.
    fn candidate(&self, now_us: u64, last: Option<&Who>, fleet: &Fleet, times: &Times) -> Option<Who> {
        let fresh = times.session_us + times.session_us / 2 + 4 * times.tick_us;
        let fit = self.heard.values().filter(|heard| {
            let renewal = &heard.renewal;
            let sound = renewal.willing && renewal.writable;
            sound && now_us <= heard.at_us + fresh && fleet.is_current(&renewal.who)
        });
        let owns = |who: &Who| fleet.duties.values().filter(|duty| duty.owner.as_ref() == Some(who)).count();
        let best = fit.min_by_key(|heard| {
            let who = &heard.renewal.who;
            (Some(who) == last, !heard.renewal.voter, who.name == self.name, owns(who), &who.name)
        });
        best.map(|heard| heard.renewal.who.clone())
    }

    /// Whoever is to hear of a change at once.
    pub fn route(&self, who: &Who) -> Option<&R> {
        self.heard.get(who).map(|heard| &heard.route)
    }

    pub fn members(&self, now_us: u64) -> Vec<MemberStatus> {
        let one = |heard: &Heard<R>| {
            let Renewal { who, willing, writable, voter, taken_token, taken, acted, .. } = &heard.renewal;
            MemberStatus {
                name: who.name.clone(),
                incarnation: format!("{:x}", who.incarnation),
                voter: *voter,
                writable: *writable,
                willing: *willing,
                token: *taken_token,
                taken: *taken,
                acted: *acted,
                silent_us: now_us.saturating_sub(heard.at_us),
            }
        };
        self.heard.values().map(one).collect()
    }
}
