//! Scheduler for maintenance work. The owner of the work duty decides from the replicated plans and the
//! aggregated observations which machine is taken out next and what each machine's next step is. No I/O and
//! no clock; the same input gives the same decisions. Called by `node` on the duty's owner, and by the lab at
//! full fleet size in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use crate::sight::{Sight, Summed};
use crate::work::{cut, Bounds, Is, Machine, Plan, Stage, Step, Work};

/// When to repeat a step that was requested and not answered.
const AGAIN_US: u64 = 1_000_000;
/// When to repeat a call to a maintenance system.
const BEGIN_AGAIN_US: u64 = 2_000_000;
/// Minimum interval between log entries on what a plan is waiting for.
const SAY_US: u64 = 2_000_000;
/// Maximum number of steps in one log entry.
const MOST_STEPS: usize = 64;
/// Rejected queries per second up to this rate are regarded as noise.
const FEW: f64 = 0.5;
const MINUTE_US: u64 = 60_000_000;

/// All inputs to a decision.
pub struct Before<'a> {
    pub now_us: u64,
    pub wall_us: u64,
    pub work: &'a Work,
    pub sight: &'a Sight,
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
pub struct Begin {
    pub id: String,
    pub plan: String,
    pub machine: String,
    pub token: u64,
    pub at: String,
}

#[derive(Clone, Debug, PartialEq)]
/// An action for the owner of the work duty.
pub enum Do {
    Steps(Vec<Step>),
    Waits { plan: String, why: String },
    Begin(Begin),
}

/// What an owner remembers beside the replicated state. It is lost with the ownership; the next owner starts
/// without it and merely waits a little longer.
#[derive(Default)]
pub struct Owner {
    /// For each machine, its revision and when it was first seen at it.
    since: BTreeMap<String, (u64, u64)>,
    asked: BTreeMap<String, (u64, u64)>,
    begun: BTreeMap<String, u64>,
    said: BTreeMap<String, u64>,
    /// Since when there has been no trouble.
    well_us: Option<u64>,
}

/// Capacity in service and measured demand, in load units: in total, by zone and by cell.
#[derive(Clone, Debug, Default)]
pub struct Room {
    all: (f64, f64),
    zones: BTreeMap<String, (f64, f64)>,
    cells: BTreeMap<(String, u32), (f64, f64, u32)>,
    /// Backends that are unreachable without having been taken out.
    pub dead: u32,
}

fn over((max, load): (f64, f64)) -> f64 {
    if load <= 0.0 {
        return f64::INFINITY;
    }
    max / load
}

impl Room {
    pub fn of(sight: &Sight, outs: &BTreeSet<String>) -> Self {
        let mut room = Room::default();
        for (id, one) in &sight.backends {
            let out = outs.contains(id);
            room.dead += u32::from(one.lost() && !out);
            let max = if out || one.lost() { 0.0 } else { one.max };
            room.add(one, max, one.load, u32::from(!out && !one.lost()));
        }
        room
    }

    fn add(&mut self, one: &Summed, max: f64, load: f64, there: u32) {
        let zone = self.zones.entry(one.zone.clone()).or_default();
        let cell = self.cells.entry((one.zone.clone(), one.cell)).or_default();
        for sum in [&mut self.all, zone] {
            *sum = (sum.0 + max, sum.1 + load);
        }
        *cell = (cell.0 + max, cell.1 + load, cell.2 + there);
    }

    fn take(&mut self, one: &Summed) {
        if let Some(zone) = self.zones.get_mut(&one.zone) {
            zone.0 -= one.max;
        }
        if let Some(cell) = self.cells.get_mut(&(one.zone.clone(), one.cell)) {
            (cell.0, cell.2) = (cell.0 - one.max, cell.2.saturating_sub(1));
        }
        self.all.0 -= one.max;
    }

    /// The lowest ratio of capacity to demand, over the whole fleet and each zone.
    pub fn spare(&self) -> f64 {
        self.zones.values().chain([&self.all]).map(|one| over(*one)).fold(f64::INFINITY, f64::min)
    }

    /// The lowest ratio in a machine's own zone and cell after it has been taken out.
    fn left(&self, one: &Summed) -> f64 {
        let zone = self.zones.get(&one.zone).map_or(f64::INFINITY, |sum| over((sum.0 - one.max, sum.1)));
        let cell = self.cells.get(&(one.zone.clone(), one.cell));
        zone.min(cell.map_or(f64::INFINITY, |sum| over((sum.0 - one.max, sum.1))))
    }

    fn last_of_cell(&self, one: &Summed) -> bool {
        self.cells.get(&(one.zone.clone(), one.cell)).is_some_and(|cell| cell.2 <= 1)
    }
}

fn quiet(bounds: &Bounds, wall_us: u64) -> bool {
    let minute = (wall_us / MINUTE_US % 1_440) as u32;
    let within = |(from, until): &(u32, u32)| match from <= until {
        true => (*from..*until).contains(&minute),
        false => minute >= *from || minute < *until,
    };
    bounds.quiet.iter().any(within)
}

/// Why no further machine may be taken out, and whether machines that can return are to be called back.
fn trouble(bounds: &Bounds, sight: &Sight, room: &Room, out: u32) -> Option<(String, bool)> {
    if sight.in_touch == 0 || 2 * sight.told < sight.in_touch {
        let (told, all) = (sight.told, sight.in_touch);
        return Some((format!("{told} of {all} proxies have told what they see"), false));
    }
    let silent = sight.proxies - sight.in_touch;
    if f64::from(silent) > bounds.most_silent * f64::from(sight.proxies) {
        return Some((format!("{silent} of {} proxies are silent", sight.proxies), true));
    }
    if sight.rejected > FEW.max(bounds.most_rejected * sight.queries) {
        let (rejected, queries) = (sight.rejected, sight.queries);
        return Some((format!("{rejected:.1} of {queries:.1} queries a second are turned away"), true));
    }
    if room.dead > 0 && out + room.dead > bounds.most_out {
        return Some((format!("{} backends died beside {out} that are out", room.dead), true));
    }
    let spare = room.spare();
    if spare < bounds.least_spare {
        return Some((format!("room for {spare:.2} of the need, {} is wanted", bounds.least_spare), true));
    }
    None
}

impl Owner {
    fn since(&mut self, now_us: u64, name: &str, machine: &Machine) -> u64 {
        let since = self.since.entry(name.to_owned()).or_insert((machine.revision, now_us));
        if since.0 != machine.revision {
            *since = (machine.revision, now_us);
        }
        now_us.saturating_sub(since.1)
    }

    /// The actions that are due now. Called again on every change, and periodically.
    pub fn next(&mut self, before: &Before) -> Vec<Do> {
        let Before { now_us, work, sight, .. } = *before;
        let mut room = Room::of(sight, before.outs);
        let mut left = work.clone();
        let (mut steps, mut calls, mut says) = (Vec::new(), Vec::new(), Vec::new());
        let mut open: Vec<(&String, &Plan)> = work.open().collect();
        open.sort_by_key(|(_, plan)| plan.number);
        self.since.retain(|name, _| open.iter().any(|(_, plan)| plan.machines.contains_key(name)));
        let wrong = open.iter().find_map(|(_, plan)| {
            trouble(&plan.bounds, sight, &room, work.count().all)
                .map(|(why, back)| (why, back, plan.bounds.calm_us))
        });
        match &wrong {
            Some(_) => self.well_us = None,
            None => {
                self.well_us.get_or_insert(now_us);
            }
        }
        for (name, plan) in open {
            let mut waits: BTreeMap<String, u32> = BTreeMap::new();
            let mut wait = |why: String| *waits.entry(why).or_default() += 1;
            for (id, machine) in &plan.machines {
                if machine.stage.is_over() || machine.stage == Stage::Proposed && !plan.cancelled {
                    continue;
                }
                let for_us = self.since(now_us, id, machine);
                match self.one(before, plan, name, (id, machine), for_us, wrong.as_ref(), &left) {
                    Next::Step(to, why) => {
                        let step = step(before, name, id, machine, to, &why);
                        // A requested step counts as taken for the decisions that follow.
                        let _ = left.step(&step, before.token, before.voters.len());
                        if self.asks(now_us, id, machine) && steps.len() < MOST_STEPS {
                            steps.push(step);
                        }
                    }
                    Next::Begin(call) => {
                        wait(format!("{id}: its work has yet to be begun at {}", call.at));
                        let due = self.begun.get(&call.id).is_none_or(|at| now_us >= at + BEGIN_AGAIN_US);
                        if due {
                            self.begun.insert(call.id.clone(), now_us);
                            calls.push(Do::Begin(call));
                        }
                    }
                    Next::Wait(why) => wait(why),
                }
            }
            if plan.cancelled {
                // Wait for work in progress; start nothing new.
            } else if plan.paused {
                wait("paused".into());
            } else if let Some((why, ..)) = &wrong {
                wait(why.clone());
            } else if quiet(&plan.bounds, before.wall_us) {
                wait("hours in which none goes".into());
            } else if self.well_us.is_some_and(|since| now_us < since + plan.bounds.calm_us) {
                wait("all has been well for too short a time".into());
            } else {
                for (id, why) in self.go(before, plan, name, &mut left, &mut room, &mut wait) {
                    let machine = &plan.machines[&id];
                    if self.asks(now_us, &id, machine) && steps.len() < MOST_STEPS {
                        steps.push(step(before, name, &id, machine, Stage::Agreed, &why));
                    }
                }
            }
            says.extend(self.say(now_us, name, plan, &waits));
        }
        let steps = (!steps.is_empty()).then_some(Do::Steps(steps));
        steps.into_iter().chain(calls).chain(says).collect()
    }

    fn asks(&mut self, now_us: u64, id: &str, machine: &Machine) -> bool {
        let last = self.asked.get(id).copied();
        let again = last.is_none_or(|(revision, at)| revision != machine.revision || now_us >= at + AGAIN_US);
        if again {
            self.asked.insert(id.to_owned(), (machine.revision, now_us));
        }
        again
    }

    /// The next action for a machine that is past `Stage::Proposed`.
    fn one(
        &mut self,
        before: &Before,
        plan: &Plan,
        name: &str,
        (id, machine): (&String, &Machine),
        for_us: u64,
        wrong: Option<&(String, bool, u64)>,
        left: &Work,
    ) -> Next {
        let (bounds, sight, stage) = (&plan.bounds, before.sight, machine.stage);
        let hangs = for_us > bounds.hang_us;
        if plan.cancelled && (stage == Stage::Proposed || stage.may_return()) {
            return Next::Step(Stage::Cancelled, "the plan is cancelled".into());
        }
        if stage.may_return() {
            if plan.paused {
                return Next::Step(Stage::Proposed, "the plan is paused".into());
            }
            if let Some((why, true, _)) = wrong {
                return Next::Step(Stage::Proposed, format!("called back: {why}"));
            }
        }
        match stage {
            Stage::Agreed => {
                let objection = sight.objections.iter().find(|(_, of, _)| of == id);
                let looked = sight.considered >= machine.revision || for_us > before.patience_us;
                match objection {
                    Some((proxy, _, why)) if hangs => {
                        Next::Step(Stage::Proposed, format!("put back: {proxy} objects, {why}"))
                    }
                    Some((proxy, _, why)) => Next::Wait(format!("{id}: {proxy} objects, {why}")),
                    None if machine.is == Is::Backend && !looked => {
                        Next::Wait(format!("{id}: not every proxy has looked at it yet"))
                    }
                    None => Next::Step(Stage::Leaving, "nobody objects".into()),
                }
            }
            Stage::Leaving => match sight.waits.get(id) {
                Some(none) if none.is_empty() => {
                    Next::Step(Stage::Out, "nothing new and nothing in hand at any proxy".into())
                }
                Some(all) if hangs => Next::Step(Stage::Proposed, format!("put back: {}", all.join(", "))),
                Some(all) => Next::Wait(format!("{id}: {}", all.join(", "))),
                None => Next::Wait(format!("{id}: the leader has yet to hear of it")),
            },
            Stage::Out => Next::Step(Stage::Beginning, "about to be begun".into()),
            Stage::Beginning => match &plan.maintenance {
                None => Next::Step(Stage::Working, "begun: no maintenance system is named".into()),
                Some(at) => Next::Begin(Begin {
                    id: beginning(name, plan, id, machine),
                    plan: name.to_owned(),
                    machine: id.clone(),
                    token: before.token,
                    at: at.clone(),
                }),
            },
            Stage::Working if for_us > bounds.work_us => {
                Next::Wait(format!("{id}: under work for longer than the plan says, not done"))
            }
            Stage::Working => Next::Wait(format!("{id}: under work")),
            Stage::Failed => Next::Wait(format!("{id}: its work failed; it stays out until done")),
            Stage::Mended if left.count().cold >= bounds.most_cold => {
                Next::Wait(format!("{id}: as many are cold as may be"))
            }
            Stage::Mended => Next::Step(Stage::Back, "its turn to come back".into()),
            Stage::Back => {
                let behind = sight.behind.get(id).copied().unwrap_or(0);
                if behind > 0 {
                    return Next::Wait(format!("{id}: not every proxy uses it again yet"));
                }
                if sight.backends.get(id).is_some_and(Summed::lost) {
                    return Next::Wait(format!("{id}: it is back and not reached"));
                }
                match for_us >= bounds.warm_us {
                    true => Next::Step(Stage::Warm, "its time to warm up is over".into()),
                    false => Next::Wait(format!("{id}: cold")),
                }
            }
            Stage::Warm => Next::Step(Stage::Done, "as before its work".into()),
            Stage::Proposed | Stage::Done | Stage::Cancelled => Next::Wait(String::new()),
        }
    }

    /// Selects the machines that may be taken out now, the one that leaves the most capacity first. Each is
    /// checked with those selected before it already gone.
    fn go(
        &mut self,
        before: &Before,
        plan: &Plan,
        name: &str,
        left: &mut Work,
        room: &mut Room,
        wait: &mut impl FnMut(String),
    ) -> Vec<(String, String)> {
        let none = Summed::default();
        let sight = before.sight;
        let mut go = Vec::new();
        let proposed = plan.machines.iter().filter(|(_, machine)| machine.stage == Stage::Proposed);
        let mut proposed: Vec<_> = proposed.collect();
        // Sorted by the capacity as it is now, not updated after each selection: the order must not depend on
        // how many machines are taken out.
        let key = |(id, machine): &(&String, &Machine)| {
            let one = sight.backends.get(*id).unwrap_or(&none);
            let room = if machine.is == Is::Backend { room.left(one) } else { f64::INFINITY };
            (machine.put_back, room, one.load)
        };
        proposed.sort_by(|a, b| {
            let ((back_a, room_a, load_a), (back_b, room_b, load_b)) = (key(a), key(b));
            let back = back_a.cmp(&back_b);
            back.then(room_b.total_cmp(&room_a)).then(load_a.total_cmp(&load_b)).then(a.0.cmp(b.0))
        });
        for (id, machine) in proposed {
            // The rest of a long plan waits for the same reason.
            let (all, most) = (left.count().all, plan.bounds.most_out);
            if all >= most {
                wait(format!("{all} out of {most} that may be"));
                break;
            }
            let one = sight.backends.get(id);
            match self.may(before, plan, (id, machine), one, left, room) {
                Ok(why) => {
                    let step = step(before, name, id, machine, Stage::Agreed, &why);
                    let _ = left.step(&step, before.token, before.voters.len());
                    if let Some(one) = one.filter(|one| !one.lost() && !before.outs.contains(id)) {
                        room.take(one);
                    }
                    go.push((id.clone(), why));
                }
                Err(why) => wait(why),
            }
        }
        go
    }

    fn may(
        &self,
        before: &Before,
        plan: &Plan,
        (id, machine): (&String, &Machine),
        one: Option<&Summed>,
        left: &Work,
        room: &Room,
    ) -> Result<String, String> {
        if let Some(why) = left.over(plan, machine, before.voters.len()) {
            return Err(why);
        }
        let out = left.count().all;
        if room.dead > 0 && out + room.dead + 1 > plan.bounds.most_out {
            return Err(format!("{} backends are dead beside those out", room.dead));
        }
        if machine.votes {
            let silent =
                before.sight.silent.iter().filter(|name| before.voters.contains(name)).count() as u32;
            let bears = before.voters.len().saturating_sub(1) as u32 / 2;
            if silent + left.count().voters + 1 > bears {
                return Err(format!("{id}: {silent} voters are silent, and {bears} may be away"));
            }
        }
        // Out, unreachable or unknown to all proxies: taking it out removes no capacity.
        let Some(one) = one.filter(|one| !one.lost() && !before.outs.contains(id)) else {
            return Ok("nothing is sent there".into());
        };
        if room.last_of_cell(one) && !plan.bounds.last_of_cell {
            return Err(format!("{id}: the last ready backend of cell {} in zone {}", one.cell, one.zone));
        }
        let mut after = room.clone();
        after.take(one);
        let spare = after.spare();
        if spare < plan.bounds.least_spare {
            return Err(format!("room for {} of the need must be left", plan.bounds.least_spare));
        }
        Ok(format!("{:.1} times the need left near it, {spare:.1} in all", room.left(one)))
    }

    /// Reports what a plan is waiting for, if that has changed.
    fn say(&mut self, now_us: u64, name: &str, plan: &Plan, waits: &BTreeMap<String, u32>) -> Option<Do> {
        let line = |(why, count): (&String, &u32)| match count {
            1 => why.clone(),
            count => format!("{why} ({count})"),
        };
        // Reasons that name a machine come first, since an operator can act on them.
        let mut lines: Vec<(&String, &u32)> = waits.iter().collect();
        lines.sort_by_key(|(why, count)| (!why.contains(": "), **count, (*why).clone()));
        let why = lines.into_iter().take(3).map(line).collect::<Vec<_>>().join("; ");
        let due = self.said.get(name).is_none_or(|at| now_us >= at + SAY_US);
        if cut(&why) == plan.waits || !due {
            return None;
        }
        self.said.insert(name.to_owned(), now_us);
        Some(Do::Waits { plan: name.to_owned(), why })
    }

    /// The step to take when the maintenance system has accepted the call.
    pub fn begun(before: &Before, call: &Begin) -> Option<Step> {
        let machine = before.work.plans.get(&call.plan)?.machines.get(&call.machine)?;
        let plan = before.work.plans.get(&call.plan)?;
        let same = machine.stage == Stage::Beginning
            && call.id == beginning(&call.plan, plan, &call.machine, machine);
        same.then(|| {
            step(
                before,
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
fn beginning(name: &str, plan: &Plan, id: &str, machine: &Machine) -> String {
    format!("{name}/{}/{id}/{}", plan.number, machine.put_back)
}

enum Next {
    Step(Stage, String),
    Begin(Begin),
    Wait(String),
}

fn step(before: &Before, plan: &str, id: &str, machine: &Machine, to: Stage, why: &str) -> Step {
    Step {
        token: before.token,
        plan: plan.to_owned(),
        machine: id.to_owned(),
        from: machine.stage,
        to,
        revision: machine.revision,
        why: why.to_owned(),
        wall_us: before.wall_us,
    }
}
