//! The replicated state machine: the state that results from applying the committed log, identical on every
//! voter. `consensus` applies each committed entry; `leader` reads the state to decide what to propose.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::messages::{ProcessId, Roster, WORK};
use crate::work::{DepartedProxy, Order, SendPolicy, Stage, Step, Work};

/// Outcomes remembered, so that a repeated command is applied only once.
const MAX_REMEMBERED_OUTCOMES: usize = 4_096;
/// Maximum number of backends out of service at a time. Bounds the state and each publication.
pub const MAX_OUTS: usize = 10_000;
/// Maximum number of departed proxies remembered.
const MAX_DEPARTED: usize = 4_096;
/// Maximum length of a backend id, in bytes.
pub const MAX_ID_BYTES: usize = 200;

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Sessions that have begun, with their send policies.
    Join(Vec<(ProcessId, SendPolicy)>),
    /// Sessions that have ended, and whether the process announced its exit.
    Leave(Vec<(ProcessId, bool)>),
    /// Valid only if `token` directly follows the last one granted, so that two grants never both take
    /// effect.
    Grant {
        duty: String,
        token: u64,
        to: ProcessId,
    },
    Release {
        duty: String,
        token: u64,
    },
    /// Takes backends out of service fleet-wide, or puts them back. `id` distinguishes a repeated
    /// call from a second one.
    Outs {
        id: u128,
        out: bool,
        ids: Vec<String>,
    },
    /// An operator's command on maintenance work; `id` as above.
    Work {
        id: u128,
        order: Order,
    },
    /// Steps proposed by the owner of the work duty. Each is checked on its own.
    Steps(Vec<Step>),
    /// What a plan is waiting for, as reported by the owner of the work duty.
    Waits {
        token: u64,
        plan: String,
        why: String,
    },
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The version that contains the change.
    Version(u64),
    Granted,
    Nothing,
    Refused(String),
    /// For each step, the reason if it was refused.
    Stepped(Vec<Option<String>>),
}

/// Identifies a call. The kind is part of the key: the same number on another kind of call is another call,
/// and must not get this one's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum CallId {
    Outs(u128),
    Work(u128),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Duty {
    pub owner: Option<ProcessId>,
    /// The last token granted. Tokens only increase.
    pub token: u64,
}

/// The process that holds a proxy's session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentSession {
    pub incarnation: u64,
    pub terms: SendPolicy,
}

/// The replicated state of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    pub seats: Roster,
    pub sessions: BTreeMap<String, CurrentSession>,
    /// Proxies that have left and might still send. Maintenance on a machine has to take them into account.
    pub absent: BTreeMap<String, DepartedProxy>,
    pub duties: BTreeMap<String, Duty>,
    /// Backends taken out by operators. `published` adds those that are out for maintenance.
    pub outs: BTreeSet<String>,
    pub work: Work,
    pub version: u64,
    done: VecDeque<(CallId, Outcome)>,
}

impl Fleet {
    pub fn with_voters(seats: Roster) -> Self {
        Fleet { seats, ..Fleet::default() }
    }

    /// Whether this process holds its proxy's session.
    pub fn is_current(&self, who: &ProcessId) -> bool {
        self.sessions.get(&who.name).is_some_and(|current| current.incarnation == who.incarnation)
    }

    /// The backends that proxies are told are out, by operators or by plans, under one version.
    pub fn published(&self) -> BTreeSet<String> {
        &self.outs | &self.work.outs()
    }

    fn last_token(&self, duty: &str) -> u64 {
        self.duties.get(duty).map_or(0, |duty| duty.token)
    }

    /// Applies a call once. A repeated call gets the remembered outcome.
    fn apply_once(&mut self, call: CallId, done: impl FnOnce(&mut Self) -> Outcome) -> Outcome {
        if let Some((_, before)) = self.done.iter().find(|(done, _)| *done == call) {
            return before.clone();
        }
        let outcome = done(self);
        self.done.push_back((call, outcome.clone()));
        if self.done.len() > MAX_REMEMBERED_OUTCOMES {
            self.done.pop_front();
        }
        outcome
    }

    /// Increments the version if the published set has changed.
    fn update_version(&mut self, before: &BTreeSet<String>) -> Outcome {
        if self.published() != *before {
            self.version += 1;
        }
        Outcome::Version(self.version)
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Join(all) => {
                for (who, terms) in all {
                    // Of two processes of the same proxy, the newer one holds the session.
                    let current = self.sessions.entry(who.name.clone()).or_default();
                    if who.incarnation >= current.incarnation {
                        *current = CurrentSession { incarnation: who.incarnation, terms };
                        self.absent.remove(&who.name);
                    }
                }
                Outcome::Nothing
            }
            Command::Leave(all) => {
                for (who, parted) in all {
                    // A newer process of that name may have joined in the meantime.
                    if !self.is_current(&who) {
                        continue;
                    }
                    let Some(CurrentSession { terms, .. }) = self.sessions.remove(&who.name) else {
                        continue;
                    };
                    // A process that announced its exit, and that must hear the fleet before it serves again,
                    // cannot send.
                    if !(parted && terms.waits) && self.absent.len() < MAX_DEPARTED {
                        self.absent.insert(who.name.clone(), DepartedProxy { who, terms, parted });
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
            Command::Outs { id, out, ids } => {
                self.apply_once(CallId::Outs(id), |fleet| fleet.set_outs(out, ids))
            }
            Command::Work { id, order } => {
                self.apply_once(CallId::Work(id), |fleet| fleet.apply_order(&order))
            }
            Command::Steps(steps) => {
                let stepped = steps.iter().map(|step| self.apply_step(step).err());
                Outcome::Stepped(stepped.collect())
            }
            Command::Waits { token, plan, why } => {
                let last = self.last_token(WORK);
                match self.work.set_waits(token, last, &plan, &why) {
                    Ok(()) => Outcome::Nothing,
                    Err(why) => Outcome::Refused(why),
                }
            }
        }
    }

    fn apply_order(&mut self, order: &Order) -> Outcome {
        let before = self.published();
        if let Order::Forget { name } = order {
            if self.absent.remove(name).is_none() {
                return Outcome::Refused(format!("{name:?} is not among those that left"));
            }
        }
        match self.work.apply_order(order) {
            Ok(()) => self.update_version(&before),
            Err(why) => Outcome::Refused(why),
        }
    }

    fn apply_step(&mut self, step: &Step) -> Result<(), String> {
        let (before, token) = (self.published(), self.last_token(WORK));
        self.work.apply_step(step, token, self.seats.len())?;
        self.update_version(&before);
        if matches!(step.to, Stage::Leaving | Stage::Back) {
            self.work.set_version(&step.plan, &step.machine, self.version);
        }
        Ok(())
    }

    fn set_outs(&mut self, out: bool, ids: Vec<String>) -> Outcome {
        if out && self.outs.len() + ids.len() > MAX_OUTS {
            return Outcome::Refused(format!("more than {MAX_OUTS} would be out"));
        }
        let before = self.published();
        for id in ids {
            match out {
                true => self.outs.insert(id),
                false => self.outs.remove(&id),
            };
        }
        self.update_version(&before)
    }
}
