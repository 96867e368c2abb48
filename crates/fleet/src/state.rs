//! The agreed state: what a log of commands makes of it, the same on every voter. Called by `agree` for
//! each committed entry; `lead` reads it to decide what to propose.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::words::{Roster, Who};

/// Commands remembered, so that one repeated is carried out once.
const MOST_DONE: usize = 4_096;
/// Backends out at a time, all in all: bounds the state, and with it each publication.
pub const MOST_OUTS: usize = 10_000;
/// Of one id of a backend, in bytes.
pub const MOST_ID: usize = 200;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Sessions that have begun.
    Join(Vec<Who>),
    /// Sessions that have ended.
    Leave(Vec<Who>),
    /// Good only for the token that follows the last one given, so that two grants never both hold.
    Grant {
        duty: String,
        token: u64,
        to: Who,
    },
    Release {
        duty: String,
        token: u64,
    },
    /// Backends out for all, or back. `id` tells a repeated call from a second one.
    Outs {
        id: u128,
        out: bool,
        ids: Vec<String>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The version that holds it.
    Version(u64),
    Granted,
    Nothing,
    Refused(String),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Duty {
    pub owner: Option<Who>,
    /// The last one given: they only grow.
    pub token: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    pub seats: Roster,
    pub sessions: BTreeMap<String, u64>,
    pub duties: BTreeMap<String, Duty>,
    pub outs: BTreeSet<String>,
    pub version: u64,
    done: VecDeque<(u128, Outcome)>,
}

impl Fleet {
    pub fn founded(seats: Roster) -> Self {
        Fleet { seats, ..Fleet::default() }
    }

    pub fn is_current(&self, who: &Who) -> bool {
        self.sessions.get(&who.name) == Some(&who.incarnation)
    }

    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Join(all) => {
                for who in all {
                    // Of two processes of one proxy the newer has the session.
                    let current = self.sessions.entry(who.name).or_default();
                    *current = who.incarnation.max(*current);
                }
                Outcome::Nothing
            }
            Command::Leave(all) => {
                all.iter().for_each(|who| {
                    // A newer process of that name may have come in between.
                    if self.is_current(who) {
                        self.sessions.remove(&who.name);
                    }
                });
                Outcome::Nothing
            }
            Command::Grant { duty, token, to } => {
                let current = self.is_current(&to);
                let duty = self.duties.entry(duty).or_default();
                if token != duty.token + 1 || !current {
                    return Outcome::Refused(format!("token {token} after {}", duty.token));
                }
                (duty.token, duty.owner) = (token, Some(to));
                Outcome::Granted
            }
            Command::Release { duty, token } => {
                let duty = self.duties.entry(duty).or_default();
                if duty.token == token {
                    duty.owner = None;
                }
                Outcome::Nothing
            }
            Command::Outs { id, out, ids } => {
                if let Some((_, before)) = self.done.iter().find(|(done, _)| *done == id) {
                    return before.clone();
                }
                let outcome = self.outs(out, ids);
                self.done.push_back((id, outcome.clone()));
                if self.done.len() > MOST_DONE {
                    self.done.pop_front();
                }
                outcome
            }
        }
    }

    fn outs(&mut self, out: bool, ids: Vec<String>) -> Outcome {
        if out && self.outs.len() + ids.len() > MOST_OUTS {
            return Outcome::Refused(format!("more than {MOST_OUTS} would be out"));
        }
        let before = self.outs.clone();
        for id in ids {
            match out {
                true => self.outs.insert(id),
                false => self.outs.remove(&id),
            };
        }
        // What changes nothing needs no new version: the one in force says it already.
        if self.outs != before {
            self.version += 1;
        }
        Outcome::Version(self.version)
    }
}
