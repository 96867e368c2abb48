//! Work plans as the agreed log has them: machines out for work, the stage that each is at, and the bounds that
//! no stage may break. The same on every voter; no clock. Called by `state` for each agreed command; `order`
//! reads it to settle who goes next.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::words::Who;

/// Plans remembered, those that have ended among them.
const MOST_PLANS: usize = 32;
/// Machines of one plan.
pub const MOST_MACHINES: usize = 2_000;
/// Of a name, a reason, an address, in bytes.
const MOST_TEXT: usize = 300;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    Proposed,
    /// Next to go; proxies may object.
    Agreed,
    /// Nothing new is to be sent there.
    Leaving,
    /// Proved: nothing is sent there by anybody.
    Out,
    /// The call that begins work may have been made.
    Beginning,
    Working,
    /// Its work went wrong: it stays out until an operator says that it is mended.
    Failed,
    /// Its work is over; it waits for its turn to come back.
    Mended,
    /// Used again, and cold.
    Back,
    Warm,
    Done,
    Cancelled,
}

impl Stage {
    /// No proxy is to send anything there.
    pub fn is_out(self) -> bool {
        use Stage::{Beginning, Failed, Leaving, Mended, Out, Working};
        matches!(self, Leaving | Out | Beginning | Working | Failed | Mended)
    }

    /// Takes a place under the bounds: one that comes back cold is not yet what it was.
    pub fn counts(self) -> bool {
        self.is_out() || matches!(self, Stage::Agreed | Stage::Back)
    }

    pub fn is_over(self) -> bool {
        matches!(self, Stage::Done | Stage::Cancelled)
    }

    /// Whether it can be called back: nobody has begun work there.
    pub fn may_return(self) -> bool {
        matches!(self, Stage::Agreed | Stage::Leaving | Stage::Out)
    }

    /// What the owner of the duty may do; all else is an operator's word, or nobody's.
    fn may_become(self, to: Stage) -> bool {
        use Stage::{
            Agreed, Back, Beginning, Cancelled, Done, Leaving, Mended, Out, Proposed, Warm, Working,
        };
        match (self, to) {
            (Proposed, Agreed) | (Agreed, Leaving) | (Leaving, Out) | (Out, Beginning) => true,
            (Beginning, Working) | (Mended, Back) | (Back, Warm) | (Warm, Done) => true,
            (_, Proposed) => self.may_return(),
            (_, Cancelled) => self == Proposed || self.may_return(),
            _ => false,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Stage::Proposed => "proposed",
            Stage::Agreed => "agreed",
            Stage::Leaving => "leaving",
            Stage::Out => "out",
            Stage::Beginning => "beginning",
            Stage::Working => "under work",
            Stage::Failed => "failed",
            Stage::Mended => "mended",
            Stage::Back => "back (cold)",
            Stage::Warm => "warm",
            Stage::Done => "done",
            Stage::Cancelled => "cancelled",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Is {
    Backend,
    Proxy,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub is: Is,
    pub zone: String,
    pub cell: u32,
    /// A proxy that votes.
    pub votes: bool,
    pub stage: Stage,
    /// Of its last step.
    pub why: String,
    /// The published version from which on it is out.
    pub version: u64,
    /// The work's revision at its last step.
    pub revision: u64,
    /// When its last step was agreed by its owner's wall clock, for the record alone.
    pub wall_us: u64,
    /// How often it was put back before any work.
    pub put_back: u32,
}

impl Machine {
    pub fn new(is: Is, zone: &str, cell: u32, votes: bool) -> Self {
        Machine {
            is,
            zone: zone.to_owned(),
            cell,
            votes,
            stage: Stage::Proposed,
            why: String::new(),
            version: 0,
            revision: 0,
            wall_us: 0,
            put_back: 0,
        }
    }
}

/// What a plan permits. Times in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    pub most_out: u32,
    pub most_out_zone: u32,
    pub most_out_cell: u32,
    /// Machines that may be cold at a time.
    pub most_cold: u32,
    /// What the backends in service can carry, over what is measured to be needed.
    pub least_spare: f64,
    /// Part of all queries.
    pub most_rejected: f64,
    /// Part of all proxies.
    pub most_silent: f64,
    /// Minutes of the day, UTC, in which nothing goes out: from, until.
    pub quiet: Vec<(u32, u32)>,
    /// How long a step may take before it is told of, and put back where that is possible.
    pub hang_us: u64,
    pub work_us: u64,
    pub warm_us: u64,
    /// How long all must have been well again before the next goes.
    pub calm_us: u64,
    /// Whether the last ready backend of a cell may go.
    pub last_of_cell: bool,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            most_out: 1,
            most_out_zone: u32::MAX,
            most_out_cell: u32::MAX,
            most_cold: u32::MAX,
            least_spare: 1.5,
            most_rejected: 0.05,
            most_silent: 0.25,
            quiet: Vec::new(),
            hang_us: 60_000_000,
            work_us: 600_000_000,
            warm_us: 30_000_000,
            calm_us: 5_000_000,
            last_of_cell: false,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub why: String,
    pub bounds: Bounds,
    /// Where work is begun; without one it counts as begun once a machine is out.
    pub maintenance: Option<String>,
    pub paused: bool,
    pub cancelled: bool,
    /// What it waits for, as its owner said last.
    pub waits: String,
    /// In the order in which plans were taken.
    pub number: u64,
    pub machines: BTreeMap<String, Machine>,
}

impl Plan {
    pub fn is_over(&self) -> bool {
        self.machines.values().all(|machine| machine.stage.is_over())
    }
}

/// One step of one machine, as the owner of the duty asks for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub token: u64,
    pub plan: String,
    pub machine: String,
    pub from: Stage,
    pub to: Stage,
    /// Of the machine, as the owner knows it: a step meant for an earlier time out is none for this one.
    pub revision: u64,
    pub why: String,
    pub wall_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Say {
    Pause,
    Resume,
    Cancel,
}

/// An operator's word on a plan, or a machine of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    Add {
        name: String,
        plan: Box<Plan>,
    },
    Say {
        name: String,
        say: Say,
    },
    /// Work on a machine is over, well or not.
    Ended {
        machine: String,
        well: bool,
    },
    /// An operator vouches that this proxy is down and will send nothing.
    Forget {
        name: String,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Grows with each change.
    pub revision: u64,
    pub plans: BTreeMap<String, Plan>,
    taken: u64,
}

/// How many machines of all plans are out or about to be, in all, by zone and by cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Count {
    pub all: u32,
    pub zones: BTreeMap<String, u32>,
    pub cells: BTreeMap<(String, u32), u32>,
    pub cold: u32,
    pub voters: u32,
}

impl Work {
    /// Backends out for the whole fleet by reason of work.
    pub fn outs(&self) -> BTreeSet<String> {
        let of = |plan: &Plan| {
            let out = plan.machines.iter().filter(|(_, one)| one.is == Is::Backend && one.stage.is_out());
            out.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        self.plans.values().flat_map(of).collect()
    }

    /// Proxies that are to be drained.
    pub fn drained(&self, name: &str) -> bool {
        let of = |plan: &Plan| {
            plan.machines.get(name).is_some_and(|one| one.is == Is::Proxy && one.stage.is_out())
        };
        self.plans.values().any(of)
    }

    /// Machines that are next to go, with the revision at which each came to be.
    pub fn agreed(&self) -> Vec<String> {
        let of = |plan: &Plan| {
            let next = plan.machines.iter();
            let next = next.filter(|(_, one)| one.stage == Stage::Agreed && one.is == Is::Backend);
            next.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        self.plans.values().flat_map(of).collect()
    }

    pub fn open(&self) -> impl Iterator<Item = (&String, &Plan)> {
        self.plans.iter().filter(|(_, plan)| !plan.is_over())
    }

    pub fn count(&self) -> Count {
        let mut count = Count::default();
        for one in self.plans.values().flat_map(|plan| plan.machines.values()) {
            if one.stage.counts() {
                count.all += 1;
                *count.zones.entry(one.zone.clone()).or_default() += 1;
                *count.cells.entry((one.zone.clone(), one.cell)).or_default() += 1;
                count.voters += u32::from(one.votes);
            }
            count.cold += u32::from(one.stage == Stage::Back);
        }
        count
    }

    /// Why no more of this zone and cell may go out by a plan's bounds. All plans' machines count, and the
    /// narrowest bound of any open plan that has something out stands for all.
    pub fn over(&self, plan: &Plan, machine: &Machine, voters: usize) -> Option<String> {
        let count = self.count();
        let others = self.open().map(|(_, other)| other);
        let others = others.filter(|other| other.machines.values().any(|one| one.stage.counts()));
        for bounds in others.map(|other| &other.bounds).chain([&plan.bounds]) {
            if count.all + 1 > bounds.most_out {
                return Some(format!("{} out of {} that may be", count.all, bounds.most_out));
            }
            let zone = count.zones.get(&machine.zone).copied().unwrap_or(0);
            if zone + 1 > bounds.most_out_zone {
                let most = bounds.most_out_zone;
                return Some(format!("{zone} out of {most} that may be in zone {}", machine.zone));
            }
            let cell = count.cells.get(&(machine.zone.clone(), machine.cell)).copied().unwrap_or(0);
            if cell + 1 > bounds.most_out_cell {
                let (most, zone) = (bounds.most_out_cell, &machine.zone);
                return Some(format!("{cell} out of {most} that may be in cell {} of {zone}", machine.cell));
            }
        }
        let bears = voters.saturating_sub(1) as u32 / 2;
        if machine.votes && count.voters + 1 > bears {
            return Some(format!("{} voters out, {voters} bear the loss of {bears}", count.voters));
        }
        None
    }

    fn find(&self, machine: &str) -> Option<(&String, &Machine)> {
        let open = self.open().filter_map(|(name, plan)| Some((name, plan.machines.get(machine)?)));
        open.into_iter().next()
    }

    fn moved(&mut self, plan: &str, machine: &str, to: Stage, why: &str, wall_us: u64) {
        self.revision += 1;
        let revision = self.revision;
        let Some(one) = self.plans.get_mut(plan).and_then(|plan| plan.machines.get_mut(machine)) else {
            return;
        };
        one.put_back += u32::from(to == Stage::Proposed);
        (one.stage, one.why, one.revision, one.wall_us) = (to, why.to_owned(), revision, wall_us);
    }

    /// The owner's step. `token` is the last one given for the duty.
    pub fn step(&mut self, step: &Step, token: u64, voters: usize) -> Result<(), String> {
        if step.token != token {
            return Err(format!("token {} of the duty, {token} is the last one given", step.token));
        }
        let plan = self.plans.get(&step.plan).ok_or_else(|| format!("no plan {:?}", step.plan))?;
        let machine = plan.machines.get(&step.machine).ok_or_else(|| format!("no {:?}", step.machine))?;
        if machine.stage != step.from || machine.revision != step.revision {
            return Err(format!("{} is {} by now", step.machine, machine.stage.name()));
        }
        if !step.from.may_become(step.to) {
            return Err(format!("from {} to {}", step.from.name(), step.to.name()));
        }
        let goes_out = matches!(step.to, Stage::Agreed | Stage::Leaving | Stage::Beginning);
        if goes_out && (plan.paused || plan.cancelled) {
            return Err("the plan is paused or cancelled".into());
        }
        if step.to == Stage::Cancelled && !plan.cancelled {
            return Err("the plan is not cancelled".into());
        }
        if step.to == Stage::Agreed {
            if let Some(why) = self.over(plan, machine, voters) {
                return Err(why);
            }
        }
        if step.to == Stage::Back && self.count().cold + 1 > plan.bounds.most_cold {
            return Err(format!("{} cold of {} that may be", self.count().cold, plan.bounds.most_cold));
        }
        self.moved(&step.plan, &step.machine, step.to, &cut(&step.why), step.wall_us);
        Ok(())
    }

    /// The version that a machine which is leaving is out under.
    pub fn leaves(&mut self, plan: &str, machine: &str, version: u64) {
        if let Some(one) = self.plans.get_mut(plan).and_then(|plan| plan.machines.get_mut(machine)) {
            one.version = version;
        }
    }

    /// What a plan waits for, by the word of the owner with this token.
    pub fn waits(&mut self, token: u64, last: u64, plan: &str, why: &str) -> Result<(), String> {
        if token != last {
            return Err(format!("token {token} of the duty, {last} is the last one given"));
        }
        let plan = self.plans.get_mut(plan).ok_or("no such plan")?;
        plan.waits = cut(why);
        self.revision += 1;
        Ok(())
    }

    pub fn order(&mut self, order: &Order) -> Result<(), String> {
        match order {
            Order::Add { name, plan } => self.add(name, plan),
            Order::Say { name, say } => self.say(name, *say),
            Order::Ended { machine, well } => {
                let Some((plan, one)) = self.find(machine) else {
                    return Err(format!("{machine:?} is in no open plan"));
                };
                let (plan, stage) = (plan.clone(), one.stage);
                let (to, why) = match (stage, well) {
                    (Stage::Working | Stage::Failed, true) => (Stage::Mended, "done, by an operator's word"),
                    (Stage::Working, false) => (Stage::Failed, "failed, by an operator's word"),
                    (Stage::Mended | Stage::Back | Stage::Warm | Stage::Done, true) => return Ok(()),
                    (Stage::Failed, false) => return Ok(()),
                    (Stage::Beginning, _) => {
                        return Err(format!(
                            "{machine} is beginning: whether its work has begun is not known yet"
                        ))
                    }
                    _ => return Err(format!("{machine} is not under work: it is {}", stage.name())),
                };
                self.moved(&plan, machine, to, why, 0);
                Ok(())
            }
            // The state's part.
            Order::Forget { .. } => Ok(()),
        }
    }

    fn add(&mut self, name: &str, plan: &Plan) -> Result<(), String> {
        if let Some(old) = self.plans.get(name) {
            if !old.is_over() {
                return Err(format!("plan {name:?} is there already"));
            }
        }
        if plan.machines.is_empty() || plan.machines.len() > MOST_MACHINES {
            return Err(format!("1 to {MOST_MACHINES} machines in a plan"));
        }
        let long =
            plan.machines.keys().chain([&name.to_owned(), &plan.why]).any(|text| text.len() > MOST_TEXT);
        if long || plan.maintenance.as_ref().is_some_and(|text| text.len() > MOST_TEXT) {
            return Err(format!("a text of more than {MOST_TEXT} bytes"));
        }
        for machine in plan.machines.keys() {
            // Refused, not joined: whose bounds and whose work it is must be told by one plan.
            if let Some((other, _)) = self.find(machine) {
                return Err(format!("{machine} is in plan {other:?} already"));
            }
        }
        if !self.plans.contains_key(name) && self.plans.len() >= MOST_PLANS {
            let over = self.plans.iter().filter(|(_, plan)| plan.is_over());
            let oldest = over.min_by_key(|(_, plan)| plan.number).map(|(name, _)| name.clone());
            match oldest {
                Some(oldest) => self.plans.remove(&oldest),
                None => return Err(format!("{MOST_PLANS} plans are open")),
            };
        }
        (self.taken, self.revision) = (self.taken + 1, self.revision + 1);
        let mut plan = plan.clone();
        (plan.number, plan.paused, plan.cancelled, plan.waits) = (self.taken, false, false, String::new());
        for machine in plan.machines.values_mut() {
            *machine = Machine::new(machine.is, &machine.zone, machine.cell, machine.votes);
            machine.revision = self.revision;
        }
        self.plans.insert(name.to_owned(), plan);
        Ok(())
    }

    fn say(&mut self, name: &str, say: Say) -> Result<(), String> {
        let plan = self.plans.get_mut(name).ok_or_else(|| format!("no plan {name:?}"))?;
        if plan.is_over() {
            return Err(format!("plan {name:?} is over"));
        }
        match say {
            Say::Pause => plan.paused = true,
            Say::Resume if plan.cancelled => return Err(format!("plan {name:?} is cancelled")),
            Say::Resume => plan.paused = false,
            Say::Cancel => plan.cancelled = true,
        }
        self.revision += 1;
        Ok(())
    }
}

/// As long as a reason in the log may be.
pub fn cut(text: &str) -> String {
    text.chars().take(MOST_TEXT).collect()
}

/// What a proxy's process is bound to by its file, as the agreed record has it: whether it may still send when it
/// has heard nobody.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Ends its right to send by its own clock when it has heard nobody for a lease.
    pub drains: bool,
    /// Sends nothing after a start before it has heard the version in force.
    pub waits: bool,
    /// The longest that an execution of it may take.
    pub longest_us: u64,
}

/// A proxy that has left, and may send all the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Absent {
    pub who: Who,
    pub terms: Terms,
    /// It said that it ends, and had answered all.
    pub parted: bool,
}
