//! Scheduler for maintenance work. The owner of the work duty decides from the replicated plans and the
//! aggregated observations which machine is taken out next and what each machine's next step is. No I/O and
//! no clock; the same input gives the same decisions. Called by `node` on the duty's owner, and by the lab at
//! full fleet size in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use crate::observation::{BackendSummary, FleetView};
use crate::work::{truncate_reason, Bounds, Machine, MachineKind, Plan, Stage, Step, Work};

/// When to repeat a step that was requested and not answered.
const STEP_RETRY_US: u64 = 1_000_000;
/// When to repeat a call to a maintenance system.
const START_RETRY_US: u64 = 2_000_000;
/// Minimum interval between log entries on what a plan is waiting for.
const REPORT_INTERVAL_US: u64 = 2_000_000;
/// Maximum number of steps in one log entry.
const MAX_STEPS: usize = 64;
/// Rejected queries per second up to this rate are regarded as noise.
const NOISE_PER_S: f64 = 0.5;
const MINUTE_US: u64 = 60_000_000;

/// All inputs to a decision.
pub struct SchedulerInput<'a> {
    pub now_us: u64,
    pub wall_us: u64,
    pub work: &'a Work,
    pub sight: &'a FleetView,
    /// Backends out for any reason, as published.
    pub outs: &'a BTreeSet<String>,
    pub voters: &'a [String],
    pub token: u64,
    /// How long proxies are given to consider the machines scheduled next.
    pub patience_us: u64,
}

/// The call that begins work on a machine. Repeated calls for the same start have the same `id`, whichever
/// owner makes them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkStartRequest {
    pub id: String,
    pub plan: String,
    pub machine: String,
    pub token: u64,
    pub at: String,
}

#[derive(Clone, Debug, PartialEq)]
/// An action for the owner of the work duty.
pub enum Action {
    Steps(Vec<Step>),
    Waits { plan: String, why: String },
    StartWork(WorkStartRequest),
}

/// What an owner remembers beside the replicated state. It is lost with the ownership; the next owner starts
/// without it and merely waits a little longer.
#[derive(Default)]
pub struct Owner {
    /// For each machine, its revision and when it was first seen at it.
    since: BTreeMap<String, (u64, u64)>,
    requested: BTreeMap<String, (u64, u64)>,
    started: BTreeMap<String, u64>,
    reported: BTreeMap<String, u64>,
    /// Since when there has been no trouble.
    calm_since_us: Option<u64>,
}

/// Capacity in service and measured demand, in load units: in total, by zone and by cell.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    all: (f64, f64),
    zones: BTreeMap<String, (f64, f64)>,
    cells: BTreeMap<(String, u32), (f64, f64, u32)>,
    /// Backends that are unreachable without having been taken out.
    pub dead: u32,
}

fn ratio((max, load): (f64, f64)) -> f64 {
    if load <= 0.0 {
        return f64::INFINITY;
    }
    max / load
}

impl Capacity {
    pub fn of(sight: &FleetView, outs: &BTreeSet<String>) -> Self {
        let mut capacity = Capacity::default();
        for (id, backend) in &sight.backends {
            let out = outs.contains(id);
            capacity.dead += u32::from(backend.is_lost() && !out);
            let max = if out || backend.is_lost() { 0.0 } else { backend.max };
            capacity.add(backend, max, backend.load, u32::from(!out && !backend.is_lost()));
        }
        capacity
    }

    fn add(&mut self, backend: &BackendSummary, max: f64, load: f64, ready: u32) {
        let zone = self.zones.entry(backend.zone.clone()).or_default();
        let cell = self.cells.entry((backend.zone.clone(), backend.cell)).or_default();
        for sum in [&mut self.all, zone] {
            *sum = (sum.0 + max, sum.1 + load);
        }
        *cell = (cell.0 + max, cell.1 + load, cell.2 + ready);
    }

    fn remove(&mut self, backend: &BackendSummary) {
        if let Some(zone) = self.zones.get_mut(&backend.zone) {
            zone.0 -= backend.max;
        }
        if let Some(cell) = self.cells.get_mut(&(backend.zone.clone(), backend.cell)) {
            (cell.0, cell.2) = (cell.0 - backend.max, cell.2.saturating_sub(1));
        }
        self.all.0 -= backend.max;
    }

    /// The lowest ratio of capacity to demand, over the whole fleet and each zone.
    pub fn min_ratio(&self) -> f64 {
        self.zones.values().chain([&self.all]).map(|sums| ratio(*sums)).fold(f64::INFINITY, f64::min)
    }

    /// The lowest ratio in a machine's own zone and cell after it has been taken out.
    fn ratio_without(&self, backend: &BackendSummary) -> f64 {
        let zone =
            self.zones.get(&backend.zone).map_or(f64::INFINITY, |sum| ratio((sum.0 - backend.max, sum.1)));
        let cell = self.cells.get(&(backend.zone.clone(), backend.cell));
        zone.min(cell.map_or(f64::INFINITY, |sum| ratio((sum.0 - backend.max, sum.1))))
    }

    fn last_of_cell(&self, backend: &BackendSummary) -> bool {
        self.cells.get(&(backend.zone.clone(), backend.cell)).is_some_and(|cell| cell.2 <= 1)
    }
}

fn in_quiet_hours(bounds: &Bounds, wall_us: u64) -> bool {
    let minute = (wall_us / MINUTE_US % 1_440) as u32;
    let within = |(from, until): &(u32, u32)| match from <= until {
        true => (*from..*until).contains(&minute),
        false => minute >= *from || minute < *until,
    };
    bounds.quiet.iter().any(within)
}

/// Why no further machine may be taken out, and whether machines that can return are to be called back.
fn find_trouble(bounds: &Bounds, sight: &FleetView, capacity: &Capacity, out: u32) -> Option<(String, bool)> {
    if sight.in_touch == 0 || 2 * sight.told < sight.in_touch {
        let (told, all) = (sight.told, sight.in_touch);
        return Some((format!("{told} of {all} proxies have told what they see"), false));
    }
    let silent = sight.proxies - sight.in_touch;
    if f64::from(silent) > bounds.most_silent * f64::from(sight.proxies) {
        return Some((format!("{silent} of {} proxies are silent", sight.proxies), true));
    }
    if sight.rejected > NOISE_PER_S.max(bounds.most_rejected * sight.queries) {
        let (rejected, queries) = (sight.rejected, sight.queries);
        return Some((format!("{rejected:.1} of {queries:.1} queries a second are turned away"), true));
    }
    if capacity.dead > 0 && out + capacity.dead > bounds.most_out {
        return Some((format!("{} backends died beside {out} that are out", capacity.dead), true));
    }
    let spare = capacity.min_ratio();
    if spare < bounds.least_spare {
        return Some((format!("room for {spare:.2} of the need, {} is wanted", bounds.least_spare), true));
    }
    None
}

impl Owner {
    fn time_at_stage_us(&mut self, now_us: u64, name: &str, machine: &Machine) -> u64 {
        let since = self.since.entry(name.to_owned()).or_insert((machine.revision, now_us));
        if since.0 != machine.revision {
            *since = (machine.revision, now_us);
        }
        now_us.saturating_sub(since.1)
    }

    /// The actions that are due now. Called again on every change, and periodically.
    pub fn next(&mut self, input: &SchedulerInput) -> Vec<Action> {
        let SchedulerInput { now_us, work, sight, .. } = *input;
        let mut capacity = Capacity::of(sight, input.outs);
        let mut projected = work.clone();
        let (mut steps, mut calls, mut reports) = (Vec::new(), Vec::new(), Vec::new());
        let mut open: Vec<(&String, &Plan)> = work.open_plans().collect();
        open.sort_by_key(|(_, plan)| plan.number);
        self.since.retain(|name, _| open.iter().any(|(_, plan)| plan.machines.contains_key(name)));
        let trouble = open.iter().find_map(|(_, plan)| {
            find_trouble(&plan.bounds, sight, &capacity, work.count().all)
                .map(|(why, back)| (why, back, plan.bounds.calm_us))
        });
        match &trouble {
            Some(_) => self.calm_since_us = None,
            None => {
                self.calm_since_us.get_or_insert(now_us);
            }
        }
        for (name, plan) in open {
            let mut waits: BTreeMap<String, u32> = BTreeMap::new();
            let mut wait = |why: String| *waits.entry(why).or_default() += 1;
            for (id, machine) in &plan.machines {
                if machine.stage.is_over() || machine.stage == Stage::Proposed && !plan.cancelled {
                    continue;
                }
                let elapsed_us = self.time_at_stage_us(now_us, id, machine);
                match self.next_for(
                    input,
                    plan,
                    name,
                    (id, machine),
                    elapsed_us,
                    trouble.as_ref(),
                    &projected,
                ) {
                    Decision::Step(to, why) => {
                        let step = make_step(input, name, id, machine, to, &why);
                        // A requested step counts as taken for the decisions that follow.
                        let _ = projected.apply_step(&step, input.token, input.voters.len());
                        if self.should_request(now_us, id, machine) && steps.len() < MAX_STEPS {
                            steps.push(step);
                        }
                    }
                    Decision::StartWork(call) => {
                        wait(format!("{id}: its work has yet to be begun at {}", call.at));
                        let due = self.started.get(&call.id).is_none_or(|at| now_us >= at + START_RETRY_US);
                        if due {
                            self.started.insert(call.id.clone(), now_us);
                            calls.push(Action::StartWork(call));
                        }
                    }
                    Decision::Wait(why) => wait(why),
                }
            }
            if plan.cancelled {
                // Wait for work in progress; start nothing new.
            } else if plan.paused {
                wait("paused".into());
            } else if let Some((why, ..)) = &trouble {
                wait(why.clone());
            } else if in_quiet_hours(&plan.bounds, input.wall_us) {
                wait("hours in which none goes".into());
            } else if self.calm_since_us.is_some_and(|since| now_us < since + plan.bounds.calm_us) {
                wait("all has been well for too short a time".into());
            } else {
                for (id, why) in self.select(input, plan, name, &mut projected, &mut capacity, &mut wait) {
                    let machine = &plan.machines[&id];
                    if self.should_request(now_us, &id, machine) && steps.len() < MAX_STEPS {
                        steps.push(make_step(input, name, &id, machine, Stage::Agreed, &why));
                    }
                }
            }
            reports.extend(self.report_waits(now_us, name, plan, &waits));
        }
        let steps = (!steps.is_empty()).then_some(Action::Steps(steps));
        steps.into_iter().chain(calls).chain(reports).collect()
    }

    fn should_request(&mut self, now_us: u64, id: &str, machine: &Machine) -> bool {
        let last = self.requested.get(id).copied();
        let again =
            last.is_none_or(|(revision, at)| revision != machine.revision || now_us >= at + STEP_RETRY_US);
        if again {
            self.requested.insert(id.to_owned(), (machine.revision, now_us));
        }
        again
    }

    /// The next action for a machine that is past `Stage::Proposed` or whose plan is cancelled.
    fn next_for(
        &mut self,
        input: &SchedulerInput,
        plan: &Plan,
        name: &str,
        (id, machine): (&String, &Machine),
        elapsed_us: u64,
        trouble: Option<&(String, bool, u64)>,
        projected: &Work,
    ) -> Decision {
        let (bounds, sight, stage) = (&plan.bounds, input.sight, machine.stage);
        let hangs = elapsed_us > bounds.hang_us;
        if plan.cancelled && (stage == Stage::Proposed || stage.can_return()) {
            return Decision::Step(Stage::Cancelled, "the plan is cancelled".into());
        }
        if stage.can_return() {
            if plan.paused {
                return Decision::Step(Stage::Proposed, "the plan is paused".into());
            }
            if let Some((why, true, _)) = trouble {
                return Decision::Step(Stage::Proposed, format!("called back: {why}"));
            }
        }
        match stage {
            Stage::Agreed => {
                let objection = sight.objections.iter().find(|(_, of, _)| of == id);
                let considered = sight.considered >= machine.revision || elapsed_us > input.patience_us;
                match objection {
                    Some((proxy, _, why)) if hangs => {
                        Decision::Step(Stage::Proposed, format!("put back: {proxy} objects, {why}"))
                    }
                    Some((proxy, _, why)) => Decision::Wait(format!("{id}: {proxy} objects, {why}")),
                    None if machine.is == MachineKind::Backend && !considered => {
                        Decision::Wait(format!("{id}: not every proxy has looked at it yet"))
                    }
                    None => Decision::Step(Stage::Leaving, "nobody objects".into()),
                }
            }
            Stage::Leaving => match sight.waits.get(id) {
                Some(none) if none.is_empty() => {
                    Decision::Step(Stage::Out, "nothing new and nothing in hand at any proxy".into())
                }
                Some(all) if hangs => {
                    Decision::Step(Stage::Proposed, format!("put back: {}", all.join(", ")))
                }
                Some(all) => Decision::Wait(format!("{id}: {}", all.join(", "))),
                None => Decision::Wait(format!("{id}: the leader has yet to hear of it")),
            },
            Stage::Out => Decision::Step(Stage::Beginning, "about to be begun".into()),
            Stage::Beginning => match &plan.maintenance {
                None => Decision::Step(Stage::Working, "begun: no maintenance system is named".into()),
                Some(at) => Decision::StartWork(WorkStartRequest {
                    id: start_id(name, plan, id, machine),
                    plan: name.to_owned(),
                    machine: id.clone(),
                    token: input.token,
                    at: at.clone(),
                }),
            },
            Stage::Working if elapsed_us > bounds.work_us => {
                Decision::Wait(format!("{id}: under work for longer than the plan says, not done"))
            }
            Stage::Working => Decision::Wait(format!("{id}: under work")),
            Stage::Failed => Decision::Wait(format!("{id}: its work failed; it stays out until done")),
            Stage::Mended if projected.count().cold >= bounds.most_cold => {
                Decision::Wait(format!("{id}: as many are cold as may be"))
            }
            Stage::Mended => Decision::Step(Stage::Back, "its turn to come back".into()),
            Stage::Back => {
                let behind = sight.behind.get(id).copied().unwrap_or(0);
                if behind > 0 {
                    return Decision::Wait(format!("{id}: not every proxy uses it again yet"));
                }
                if sight.backends.get(id).is_some_and(BackendSummary::is_lost) {
                    return Decision::Wait(format!("{id}: it is back and not reached"));
                }
                match elapsed_us >= bounds.warm_us {
                    true => Decision::Step(Stage::Warm, "its time to warm up is over".into()),
                    false => Decision::Wait(format!("{id}: cold")),
                }
            }
            Stage::Warm => Decision::Step(Stage::Done, "as before its work".into()),
            Stage::Proposed | Stage::Done | Stage::Cancelled => Decision::Wait(String::new()),
        }
    }

    /// Selects the machines that may be taken out now, the one that leaves the most capacity first. Each is
    /// checked with those selected before it already gone.
    fn select(
        &mut self,
        input: &SchedulerInput,
        plan: &Plan,
        name: &str,
        projected: &mut Work,
        capacity: &mut Capacity,
        wait: &mut impl FnMut(String),
    ) -> Vec<(String, String)> {
        let unknown = BackendSummary::default();
        let sight = input.sight;
        let mut selected = Vec::new();
        let proposed = plan.machines.iter().filter(|(_, machine)| machine.stage == Stage::Proposed);
        let mut proposed: Vec<_> = proposed.collect();
        // Sorted by the capacity as it is now, not updated after each selection: the order must not depend on
        // how many machines are taken out.
        let key = |(id, machine): &(&String, &Machine)| {
            let backend = sight.backends.get(*id).unwrap_or(&unknown);
            let capacity = if machine.is == MachineKind::Backend {
                capacity.ratio_without(backend)
            } else {
                f64::INFINITY
            };
            (machine.put_back, capacity, backend.load)
        };
        proposed.sort_by(|a, b| {
            let ((back_a, room_a, load_a), (back_b, room_b, load_b)) = (key(a), key(b));
            let back = back_a.cmp(&back_b);
            back.then(room_b.total_cmp(&room_a)).then(load_a.total_cmp(&load_b)).then(a.0.cmp(b.0))
        });
        for (id, machine) in proposed {
            // The rest of a long plan waits for the same reason.
            let (all, most) = (projected.count().all, plan.bounds.most_out);
            if all >= most {
                wait(format!("{all} out of {most} that may be"));
                break;
            }
            let backend = sight.backends.get(id);
            match self.check(input, plan, (id, machine), backend, projected, capacity) {
                Ok(why) => {
                    let step = make_step(input, name, id, machine, Stage::Agreed, &why);
                    let _ = projected.apply_step(&step, input.token, input.voters.len());
                    if let Some(backend) =
                        backend.filter(|backend| !backend.is_lost() && !input.outs.contains(id))
                    {
                        capacity.remove(backend);
                    }
                    selected.push((id.clone(), why));
                }
                Err(why) => wait(why),
            }
        }
        selected
    }

    fn check(
        &self,
        input: &SchedulerInput,
        plan: &Plan,
        (id, machine): (&String, &Machine),
        backend: Option<&BackendSummary>,
        projected: &Work,
        capacity: &Capacity,
    ) -> Result<String, String> {
        if let Some(why) = projected.bound_violation(plan, machine, input.voters.len()) {
            return Err(why);
        }
        let out = projected.count().all;
        if capacity.dead > 0 && out + capacity.dead + 1 > plan.bounds.most_out {
            return Err(format!("{} backends are dead beside those out", capacity.dead));
        }
        if machine.votes {
            let silent = input.sight.silent.iter().filter(|name| input.voters.contains(name)).count() as u32;
            let tolerable = input.voters.len().saturating_sub(1) as u32 / 2;
            if silent + projected.count().voters + 1 > tolerable {
                return Err(format!("{id}: {silent} voters are silent, and {tolerable} may be away"));
            }
        }
        // Out, unreachable or unknown to all proxies: taking it out removes no capacity.
        let Some(backend) = backend.filter(|backend| !backend.is_lost() && !input.outs.contains(id)) else {
            return Ok("nothing is sent there".into());
        };
        if capacity.last_of_cell(backend) && !plan.bounds.last_of_cell {
            return Err(format!(
                "{id}: the last ready backend of cell {} in zone {}",
                backend.cell, backend.zone
            ));
        }
        let mut after = capacity.clone();
        after.remove(backend);
        let spare = after.min_ratio();
        if spare < plan.bounds.least_spare {
            return Err(format!("room for {} of the need must be left", plan.bounds.least_spare));
        }
        Ok(format!("{:.1} times the need left near it, {spare:.1} in all", capacity.ratio_without(backend)))
    }

    /// Reports what a plan is waiting for, if that has changed.
    fn report_waits(
        &mut self,
        now_us: u64,
        name: &str,
        plan: &Plan,
        waits: &BTreeMap<String, u32>,
    ) -> Option<Action> {
        let line = |(why, count): (&String, &u32)| match count {
            1 => why.clone(),
            count => format!("{why} ({count})"),
        };
        // Reasons that name a machine come first, since an operator can act on them.
        let mut lines: Vec<(&String, &u32)> = waits.iter().collect();
        lines.sort_by_key(|(why, count)| (!why.contains(": "), **count, (*why).clone()));
        let why = lines.into_iter().take(3).map(line).collect::<Vec<_>>().join("; ");
        let due = self.reported.get(name).is_none_or(|at| now_us >= at + REPORT_INTERVAL_US);
        if truncate_reason(&why) == plan.waits || !due {
            return None;
        }
        self.reported.insert(name.to_owned(), now_us);
        Some(Action::Waits { plan: name.to_owned(), why })
    }

    /// The step to take when the maintenance system has accepted the call.
    pub fn step_after_start(input: &SchedulerInput, call: &WorkStartRequest) -> Option<Step> {
        let machine = input.work.plans.get(&call.plan)?.machines.get(&call.machine)?;
        let plan = input.work.plans.get(&call.plan)?;
        let same = machine.stage == Stage::Beginning
            && call.id == start_id(&call.plan, plan, &call.machine, machine);
        same.then(|| {
            make_step(
                input,
                &call.plan,
                &call.machine,
                machine,
                Stage::Working,
                "the maintenance system has begun",
            )
        })
    }
}

/// Identifies one start of work on a machine: the same for every owner that finds the machine at this stage,
/// and different for every other start.
fn start_id(name: &str, plan: &Plan, id: &str, machine: &Machine) -> String {
    format!("{name}/{}/{id}/{}", plan.number, machine.put_back)
}

enum Decision {
    Step(Stage, String),
    StartWork(WorkStartRequest),
    Wait(String),
}

fn make_step(input: &SchedulerInput, plan: &str, id: &str, machine: &Machine, to: Stage, why: &str) -> Step {
    Step {
        token: input.token,
        plan: plan.to_owned(),
        machine: id.to_owned(),
        from: machine.stage,
        to,
        revision: machine.revision,
        why: why.to_owned(),
        wall_us: input.wall_us,
    }
}
