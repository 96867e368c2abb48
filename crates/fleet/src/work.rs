//! Maintenance plans in the replicated state: the machines to be taken out, the stage of each, and the bounds
//! that every step must respect. Deterministic and without a clock, so that all voters agree. `state` applies
//! committed commands to it; `scheduler` reads it to choose the next steps.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::messages::ProcessId;

/// Plans remembered, including those that are over.
const MAX_PLANS: usize = 32;
/// Maximum number of machines in one plan.
pub const MAX_MACHINES: usize = 2_000;
/// Maximum length of a name, a reason or an address, in bytes.
const MAX_TEXT_BYTES: usize = 300;

/// The stage of a machine in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    Proposed,
    /// Scheduled to leave next; proxies may object.
    Agreed,
    /// Out of service: proxies must send nothing new to it.
    Leaving,
    /// Proved to be out: no proxy sends anything to it.
    Out,
    /// The call that begins work may have been made.
    Beginning,
    Working,
    /// Its work failed. It stays out until an operator reports that it is done.
    Failed,
    /// Its work is done; it waits for its turn to return to service.
    Mended,
    /// In service again, but still cold.
    Back,
    Warm,
    Done,
    Cancelled,
}

impl Stage {
    /// Whether proxies must send nothing to it.
    pub fn is_out(self) -> bool {
        use Stage::{Beginning, Failed, Leaving, Mended, Out, Working};
        matches!(self, Leaving | Out | Beginning | Working | Failed | Mended)
    }

    /// Whether it counts against the plan's bounds. A cold machine does: it does not have its former capacity
    /// yet.
    pub fn counts(self) -> bool {
        self.is_out() || matches!(self, Stage::Agreed | Stage::Back)
    }

    pub fn is_over(self) -> bool {
        matches!(self, Stage::Done | Stage::Cancelled)
    }

    /// Whether it can be called back, because no work has begun.
    pub fn can_return(self) -> bool {
        matches!(self, Stage::Agreed | Stage::Leaving | Stage::Out)
    }

    /// Transitions open to the owner of the work duty. All others are reserved to operators, or not allowed.
    fn can_become(self, to: Stage) -> bool {
        use Stage::{
            Agreed, Back, Beginning, Cancelled, Done, Leaving, Mended, Out, Proposed, Warm, Working,
        };
        match (self, to) {
            (Proposed, Agreed) | (Agreed, Leaving) | (Leaving, Out) | (Out, Beginning) => true,
            (Beginning, Working) | (Mended, Back) | (Back, Warm) | (Warm, Done) => true,
            (_, Proposed) => self.can_return(),
            (_, Cancelled) => self == Proposed || self.can_return(),
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

/// The kind of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineKind {
    Backend,
    Proxy,
}

/// A machine of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub is: MachineKind,
    pub zone: String,
    pub cell: u32,
    /// A proxy that is a voter.
    pub votes: bool,
    pub stage: Stage,
    /// The reason for its last step.
    pub why: String,
    /// The published version from which on it is out.
    pub version: u64,
    /// The plans' revision at its last step.
    pub revision: u64,
    /// When its last step was taken, by its owner's wall clock. Informational only.
    pub wall_us: u64,
    /// How often it was put back before any work began.
    pub put_back: u32,
}

impl Machine {
    pub fn new(is: MachineKind, zone: &str, cell: u32, votes: bool) -> Self {
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

/// Limits that a plan sets. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    pub most_out: u32,
    pub most_out_zone: u32,
    pub most_out_cell: u32,
    /// Machines that may be cold at the same time.
    pub most_cold: u32,
    /// Minimum ratio of the capacity in service to the measured demand.
    pub least_spare: f64,
    /// As a fraction of all queries.
    pub most_rejected: f64,
    /// As a fraction of all proxies.
    pub most_silent: f64,
    /// Ranges of minutes of the day (UTC), from and until, in which no machine is taken out.
    pub quiet: Vec<(u32, u32)>,
    /// How long a step may take before it is reported, and reversed if that is possible.
    pub hang_us: u64,
    pub work_us: u64,
    pub warm_us: u64,
    /// How long there must have been no trouble before the next machine is taken out.
    pub calm_us: u64,
    /// Whether the last ready backend of a cell may be taken out.
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
    /// Address of the maintenance system. Without one, work counts as begun once a machine is out.
    pub maintenance: Option<String>,
    pub paused: bool,
    pub cancelled: bool,
    /// What the plan is waiting for, as its owner last reported.
    pub waits: String,
    /// Plans are numbered in the order in which they were added.
    pub number: u64,
    pub machines: BTreeMap<String, Machine>,
}

impl Plan {
    pub fn is_over(&self) -> bool {
        self.machines.values().all(|machine| machine.stage.is_over())
    }
}

/// One step of one machine, proposed by the owner of the work duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub token: u64,
    pub plan: String,
    pub machine: String,
    pub from: Stage,
    pub to: Stage,
    /// The machine's revision as known to the owner. A step meant for an earlier time out is refused.
    pub revision: u64,
    pub why: String,
    pub wall_us: u64,
}

/// An operator's command to a plan.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Say {
    Pause,
    Resume,
    Cancel,
}

/// An operator's command on a plan or a machine.
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
    /// Work on a machine is over, successfully or not.
    Ended {
        machine: String,
        well: bool,
    },
    /// An operator confirms that this proxy is down and will send nothing.
    Forget {
        name: String,
    },
}

/// All maintenance plans.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Incremented by each change.
    pub revision: u64,
    pub plans: BTreeMap<String, Plan>,
    taken: u64,
}

/// Machines of all plans that are out or about to be: in total, by zone and by cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineCounts {
    pub all: u32,
    pub zones: BTreeMap<String, u32>,
    pub cells: BTreeMap<(String, u32), u32>,
    pub cold: u32,
    pub voters: u32,
}

impl Work {
    /// Backends that are out of service for maintenance.
    pub fn outs(&self) -> BTreeSet<String> {
        let names = |plan: &Plan| {
            let out = plan
                .machines
                .iter()
                .filter(|(_, machine)| machine.is == MachineKind::Backend && machine.stage.is_out());
            out.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        self.plans.values().flat_map(names).collect()
    }

    /// Whether this proxy is to be drained.
    pub fn is_drained(&self, name: &str) -> bool {
        let drains = |plan: &Plan| {
            plan.machines
                .get(name)
                .is_some_and(|machine| machine.is == MachineKind::Proxy && machine.stage.is_out())
        };
        self.plans.values().any(drains)
    }

    /// Backends that are scheduled to leave next.
    pub fn next_backends(&self) -> Vec<String> {
        let names = |plan: &Plan| {
            let next = plan.machines.iter();
            let next = next
                .filter(|(_, machine)| machine.stage == Stage::Agreed && machine.is == MachineKind::Backend);
            next.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        self.plans.values().flat_map(names).collect()
    }

    pub fn open_plans(&self) -> impl Iterator<Item = (&String, &Plan)> {
        self.plans.iter().filter(|(_, plan)| !plan.is_over())
    }

    pub fn count(&self) -> MachineCounts {
        let mut count = MachineCounts::default();
        for machine in self.plans.values().flat_map(|plan| plan.machines.values()) {
            if machine.stage.counts() {
                count.all += 1;
                *count.zones.entry(machine.zone.clone()).or_default() += 1;
                *count.cells.entry((machine.zone.clone(), machine.cell)).or_default() += 1;
                count.voters += u32::from(machine.votes);
            }
            count.cold += u32::from(machine.stage == Stage::Back);
        }
        count
    }

    /// Why this machine may not be taken out under the bounds on machines out, if so. Machines of all plans
    /// count, and the tightest bound of any open plan with a machine out applies.
    pub fn bound_violation(&self, plan: &Plan, machine: &Machine, voters: usize) -> Option<String> {
        let count = self.count();
        let others = self.open_plans().map(|(_, other)| other);
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
        let tolerable = voters.saturating_sub(1) as u32 / 2;
        if machine.votes && count.voters + 1 > tolerable {
            return Some(format!("{} voters out, {voters} bear the loss of {tolerable}", count.voters));
        }
        None
    }

    fn find_machine(&self, machine: &str) -> Option<(&String, &Machine)> {
        let open = self.open_plans().filter_map(|(name, plan)| Some((name, plan.machines.get(machine)?)));
        open.into_iter().next()
    }

    fn set_stage(&mut self, plan: &str, machine: &str, to: Stage, why: &str, wall_us: u64) {
        self.revision += 1;
        let revision = self.revision;
        let Some(entry) = self.plans.get_mut(plan).and_then(|plan| plan.machines.get_mut(machine)) else {
            return;
        };
        entry.put_back += u32::from(to == Stage::Proposed);
        (entry.stage, entry.why, entry.revision, entry.wall_us) = (to, why.to_owned(), revision, wall_us);
    }

    /// Applies an owner's step. `token` is the last one granted for the duty.
    pub fn apply_step(&mut self, step: &Step, token: u64, voters: usize) -> Result<(), String> {
        if step.token != token {
            return Err(format!("token {} of the duty, {token} is the last one given", step.token));
        }
        let plan = self.plans.get(&step.plan).ok_or_else(|| format!("no plan {:?}", step.plan))?;
        let machine = plan.machines.get(&step.machine).ok_or_else(|| format!("no {:?}", step.machine))?;
        if machine.stage != step.from || machine.revision != step.revision {
            return Err(format!("{} is {} by now", step.machine, machine.stage.name()));
        }
        if !step.from.can_become(step.to) {
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
            if let Some(why) = self.bound_violation(plan, machine, voters) {
                return Err(why);
            }
        }
        if step.to == Stage::Back && self.count().cold + 1 > plan.bounds.most_cold {
            return Err(format!("{} cold of {} that may be", self.count().cold, plan.bounds.most_cold));
        }
        self.set_stage(&step.plan, &step.machine, step.to, &truncate_reason(&step.why), step.wall_us);
        Ok(())
    }

    /// Sets the version under which a machine leaves or returns.
    pub fn set_version(&mut self, plan: &str, machine: &str, version: u64) {
        if let Some(entry) = self.plans.get_mut(plan).and_then(|plan| plan.machines.get_mut(machine)) {
            entry.version = version;
        }
    }

    /// Records what a plan is waiting for, if the report carries the last token granted (`last`).
    pub fn set_waits(&mut self, token: u64, last: u64, plan: &str, why: &str) -> Result<(), String> {
        if token != last {
            return Err(format!("token {token} of the duty, {last} is the last one given"));
        }
        let plan = self.plans.get_mut(plan).ok_or("no such plan")?;
        plan.waits = truncate_reason(why);
        self.revision += 1;
        Ok(())
    }

    pub fn apply_order(&mut self, order: &Order) -> Result<(), String> {
        match order {
            Order::Add { name, plan } => self.add(name, plan),
            Order::Say { name, say } => self.apply_to_plan(name, *say),
            Order::Ended { machine, well } => {
                let Some((plan, entry)) = self.find_machine(machine) else {
                    return Err(format!("{machine:?} is in no open plan"));
                };
                let (plan, stage) = (plan.clone(), entry.stage);
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
                self.set_stage(&plan, machine, to, why, 0);
                Ok(())
            }
            // Handled by `state::Fleet`.
            Order::Forget { .. } => Ok(()),
        }
    }

    fn add(&mut self, name: &str, plan: &Plan) -> Result<(), String> {
        if let Some(old) = self.plans.get(name) {
            if !old.is_over() {
                return Err(format!("plan {name:?} is there already"));
            }
        }
        if plan.machines.is_empty() || plan.machines.len() > MAX_MACHINES {
            return Err(format!("1 to {MAX_MACHINES} machines in a plan"));
        }
        let too_long =
            plan.machines.keys().chain([&name.to_owned(), &plan.why]).any(|text| text.len() > MAX_TEXT_BYTES);
        if too_long || plan.maintenance.as_ref().is_some_and(|text| text.len() > MAX_TEXT_BYTES) {
            return Err(format!("a text of more than {MAX_TEXT_BYTES} bytes"));
        }
        for machine in plan.machines.keys() {
            // Refused rather than merged: a machine's bounds and its work must come from one plan.
            if let Some((other, _)) = self.find_machine(machine) {
                return Err(format!("{machine} is in plan {other:?} already"));
            }
        }
        if !self.plans.contains_key(name) && self.plans.len() >= MAX_PLANS {
            let finished = self.plans.iter().filter(|(_, plan)| plan.is_over());
            let oldest = finished.min_by_key(|(_, plan)| plan.number).map(|(name, _)| name.clone());
            match oldest {
                Some(oldest) => self.plans.remove(&oldest),
                None => return Err(format!("{MAX_PLANS} plans are open")),
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

    fn apply_to_plan(&mut self, name: &str, say: Say) -> Result<(), String> {
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

/// Truncates a reason to the length allowed in the log.
pub fn truncate_reason(text: &str) -> String {
    text.chars().take(MAX_TEXT_BYTES).collect()
}

/// Whether a proxy may still send when it is out of contact with the fleet, according to its fleet file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendPolicy {
    /// Its permission to send ends by its own clock after a lease without contact.
    pub drains: bool,
    /// After a start, it sends nothing before it knows the version in force.
    pub waits: bool,
    /// The longest that one of its executions may take.
    pub longest_us: u64,
}

/// A proxy that has left and may still send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DepartedProxy {
    pub who: ProcessId,
    pub terms: SendPolicy,
    /// It announced its exit and had answered all queries.
    pub parted: bool,
}
