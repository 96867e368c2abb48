//! The agreed state: what a log of commands makes of it, the same on every voter. Called by `agree` for
//! each committed entry; `lead` reads it to decide what to propose.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::words::{Roster, Who, WORK};
use crate::work::{Absent, Order, Stage, Step, Terms, Work};

/// Commands remembered, so that one repeated is carried out once.
const MOST_DONE: usize = 4_096;
/// Backends out at a time, all in all: bounds the state, and with it each publication.
pub const MOST_OUTS: usize = 10_000;
/// Proxies that left, all in all.
const MOST_ABSENT: usize = 4_096;
/// Of one id of a backend, in bytes.
pub const MOST_ID: usize = 200;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Sessions that have begun, and what binds them.
    Join(Vec<(Who, Terms)>),
    /// Sessions that have ended; whether with a word of their own.
    Leave(Vec<(Who, bool)>),
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
    /// An operator's word on work, `id` as above.
    Work {
        id: u128,
        order: Order,
    },
    /// The owner's steps, each good by itself.
    Steps(Vec<Step>),
    /// What a plan waits for, as its owner says.
    Waits {
        token: u64,
        plan: String,
        why: String,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The version that holds it.
    Version(u64),
    Granted,
    Nothing,
    Refused(String),
    /// Of each step, why it was refused.
    Stepped(Vec<Option<String>>),
}

/// A call by its id. The same number on another kind of call is another call: its answer must not pass for this one's.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum Call {
    Outs(u128),
    Work(u128),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Duty {
    pub owner: Option<Who>,
    /// The last one given: they only grow.
    pub token: u64,
}

/// The process that has a proxy's session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Current {
    pub incarnation: u64,
    pub terms: Terms,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    pub seats: Roster,
    pub sessions: BTreeMap<String, Current>,
    /// Proxies that left and might send all the same: work on a machine has to reckon with them.
    pub absent: BTreeMap<String, Absent>,
    pub duties: BTreeMap<String, Duty>,
    /// By operators' word; `published` has those out for work too.
    pub outs: BTreeSet<String>,
    pub work: Work,
    pub version: u64,
    done: VecDeque<(Call, Outcome)>,
}

impl Fleet {
    pub fn founded(seats: Roster) -> Self {
        Fleet { seats, ..Fleet::default() }
    }

    pub fn is_current(&self, who: &Who) -> bool {
        self.sessions.get(&who.name).is_some_and(|current| current.incarnation == who.incarnation)
    }

    /// What proxies are told to be out: by operators or by plans, under one version.
    pub fn published(&self) -> BTreeSet<String> {
        &self.outs | &self.work.outs()
    }

    fn token(&self, duty: &str) -> u64 {
        self.duties.get(duty).map_or(0, |duty| duty.token)
    }

    /// Carried out once, whatever comes again under its id.
    fn once(&mut self, call: Call, done: impl FnOnce(&mut Self) -> Outcome) -> Outcome {
        if let Some((_, before)) = self.done.iter().find(|(done, _)| *done == call) {
            return before.clone();
        }
        let outcome = done(self);
        self.done.push_back((call, outcome.clone()));
        if self.done.len() > MOST_DONE {
            self.done.pop_front();
        }
        outcome
    }

    /// What changes nothing needs no new version: the one in force says it already.
    fn renumber(&mut self, before: &BTreeSet<String>) -> Outcome {
        if self.published() != *before {
            self.version += 1;
        }
        Outcome::Version(self.version)
    }

    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Join(all) => {
                for (who, terms) in all {
                    // Of two processes of one proxy the newer has the session.
                    let current = self.sessions.entry(who.name.clone()).or_default();
                    if who.incarnation >= current.incarnation {
                        *current = Current { incarnation: who.incarnation, terms };
                        self.absent.remove(&who.name);
                    }
                }
                Outcome::Nothing
            }
            Command::Leave(all) => {
                for (who, parted) in all {
                    // A newer process of that name may have come in between.
                    if !self.is_current(&who) {
                        continue;
                    }
                    let Some(Current { terms, .. }) = self.sessions.remove(&who.name) else { continue };
                    // One that ended by itself, and that asks before it serves again, sends nothing.
                    if !(parted && terms.waits) && self.absent.len() < MOST_ABSENT {
                        self.absent.insert(who.name.clone(), Absent { who, terms, parted });
                    }
                }
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
            Command::Outs { id, out, ids } => self.once(Call::Outs(id), |fleet| fleet.outs(out, ids)),
            Command::Work { id, order } => self.once(Call::Work(id), |fleet| fleet.order(&order)),
            Command::Steps(steps) => {
                let stepped = steps.iter().map(|step| self.step(step).err());
                Outcome::Stepped(stepped.collect())
            }
            Command::Waits { token, plan, why } => {
                let last = self.token(WORK);
                match self.work.waits(token, last, &plan, &why) {
                    Ok(()) => Outcome::Nothing,
                    Err(why) => Outcome::Refused(why),
                }
            }
        }
    }

    fn order(&mut self, order: &Order) -> Outcome {
        let before = self.published();
        if let Order::Forget { name } = order {
            if self.absent.remove(name).is_none() {
                return Outcome::Refused(format!("{name:?} is not among those that left"));
            }
        }
        match self.work.order(order) {
            Ok(()) => self.renumber(&before),
            Err(why) => Outcome::Refused(why),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        let (before, token) = (self.published(), self.token(WORK));
        self.work.step(step, token, self.seats.len())?;
        self.renumber(&before);
        if matches!(step.to, Stage::Leaving | Stage::Back) {
            self.work.leaves(&step.plan, &step.machine, self.version);
        }
        Ok(())
    }

    fn outs(&mut self, out: bool, ids: Vec<String>) -> Outcome {
        if out && self.outs.len() + ids.len() > MOST_OUTS {
            return Outcome::Refused(format!("more than {MOST_OUTS} would be out"));
        }
        let before = self.published();
        for id in ids {
            match out {
                true => self.outs.insert(id),
                false => self.outs.remove(&id),
            };
        }
        self.renumber(&before)
    }
}
