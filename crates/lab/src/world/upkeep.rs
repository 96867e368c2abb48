//! Machines out for work in the virtual world: a maintenance system that may answer late or not at all, staff that
//! say when work is over, proxies with something in hand, and what must hold whatever fails. Part of `world`.

use std::collections::{BTreeMap, BTreeSet};

use crankpick_fleet::node::{Node, WorkStart};
use crankpick_fleet::order::Begin;
use crankpick_fleet::sight::{Coarse, Sees, View};
use crankpick_fleet::state::{Command, Fleet};
use crankpick_fleet::words::{Ask, WORK};
use crankpick_fleet::work::{Bounds, Is, Machine, Order, Plan, Say, Stage, Terms, Work};

use super::{Due, World};
use crate::history::Kind;

const LOOK_US: u64 = 50_000;
const UNSURE_US: u64 = 5_000_000;
const SEES_US: u64 = 500_000;
const PATIENCE_US: u64 = 2_000_000;
/// Staff say it again until it is agreed.
const SAY_US: u64 = 700_000;

/// What is to be worked on, and what binds the proxies meanwhile.
#[derive(Clone, Debug)]
pub struct Plans {
    pub terms: Terms,
    pub backends: usize,
    pub zones: usize,
    pub bounds: Bounds,
    /// Proxies that are to be worked on too.
    pub proxies: usize,
    /// Operators pause, cancel and add meanwhile.
    pub operators: bool,
}

impl Plans {
    /// What binds the proxies, and whether they are worked on too, by the seed.
    pub fn drawn(seed: u64) -> Self {
        let terms = Terms { drains: seed.is_multiple_of(2), waits: true, longest_us: 1_500_000 };
        Plans { terms, proxies: if seed.is_multiple_of(3) { 5 } else { 0 }, ..Plans::default() }
    }
}

impl Default for Plans {
    fn default() -> Self {
        let bounds = Bounds {
            most_out: 3,
            most_out_zone: 2,
            most_out_cell: 1,
            most_cold: 2,
            hang_us: 3_000_000,
            work_us: 5_000_000,
            warm_us: 500_000,
            calm_us: 300_000,
            ..Bounds::default()
        };
        let terms = Terms { drains: false, waits: true, longest_us: 1_500_000 };
        Plans { terms, backends: 12, zones: 3, bounds, proxies: 0, operators: true }
    }
}

#[derive(Default)]
pub(super) struct Upkeep {
    /// The maintenance system: the highest token it has heard, and what it has begun.
    seen: u64,
    begun: BTreeSet<String>,
    pub(super) begun_machines: BTreeMap<String, u32>,
    calls: Vec<(u64, usize, Begin)>,
    pub(super) stale: u64,
    pub(super) again: u64,
    /// Until when each machine is worked on.
    under: BTreeMap<String, u64>,
    /// What staff have yet to be heard with, and when it is said again.
    says: Vec<(u64, u128, Order)>,
    sees_us: u64,
    /// For scripts: each call comes so late; nobody says that work is over; this proxy reports so much load.
    late_us: Option<u64>,
    no_staff: bool,
    liar: Option<(usize, f64)>,
    /// Breaches told once.
    told: BTreeSet<String>,
    pub(super) most_out: u32,
}

pub(super) fn place(number: usize, zones: usize) -> (String, u32) {
    (format!("z{}", number % zones), (number / zones % 2) as u32)
}

impl World {
    fn breach(&mut self, what: String) {
        if self.upkeep.told.insert(what.clone()) {
            self.line(Kind::Fault { what: format!("BREACH {what}") });
        }
    }

    /// A version of what is out comes to a proxy: at what goes out something may be in hand for a while.
    pub(super) fn acts(&mut self, at: usize, outs: &BTreeSet<String>) -> BTreeSet<String> {
        let (t, longest) = (self.t, self.terms.longest_us);
        let host = &mut self.hosts[at];
        for id in outs.difference(&host.outs.clone()) {
            if longest > 0 && self.rng.bool() {
                // What its right to send did not cover was never sent.
                let last = if host.right_us == u64::MAX { t } else { t.min(host.true_time(host.right_us)) };
                host.busy.insert(id.clone(), last + self.rng.u64(0..longest));
            }
        }
        host.outs.clone_from(outs);
        self.busy(at)
    }

    fn busy(&mut self, at: usize) -> BTreeSet<String> {
        let t = self.t;
        let host = &mut self.hosts[at];
        host.busy.retain(|_, until| *until > t);
        host.busy.keys().filter(|id| host.outs.contains(*id)).cloned().collect()
    }

    pub(super) fn drained(&mut self, at: usize, drained: bool) {
        let (t, host) = (self.t, &mut self.hosts[at]);
        let own = host.clock(t);
        if let Some(node) = &mut host.node {
            node.set_willing(own, !drained);
            node.set_idle(own, drained);
        }
    }

    pub(super) fn begin_work(&mut self, at: usize, call: Begin) {
        // Now and then it comes late, perhaps after another owner's.
        let late = if self.rng.u32(0..5) == 0 { self.rng.u64(0..3 * self.setup.lease_us) } else { 2_000 };
        let late = self.upkeep.late_us.unwrap_or(late);
        if self.rng.u32(0..10) > 0 || self.upkeep.late_us.is_some() {
            self.upkeep.calls.push((self.t + late, at, call));
        }
    }

    fn maintenance(&mut self) {
        let t = self.t;
        let (due, later): (Vec<_>, Vec<_>) = self.upkeep.calls.drain(..).partition(|(due, ..)| *due <= t);
        self.upkeep.calls = later;
        for (_, at, call) in due {
            let begun = if call.token < self.upkeep.seen {
                self.upkeep.stale += 1;
                WorkStart::StaleToken(self.upkeep.seen)
            } else {
                self.upkeep.seen = call.token;
                if self.upkeep.begun.insert(call.id.clone()) {
                    let times = self.upkeep.begun_machines.entry(call.machine.clone()).or_default();
                    *times += 1;
                    if *times > 1 || self.upkeep.under.contains_key(&call.machine) {
                        self.breach(format!("work on {} begun twice", call.machine));
                    }
                    let until = t + self.rng.u64(200_000..2_000_000);
                    self.upkeep.under.insert(call.machine.clone(), until);
                } else {
                    self.upkeep.again += 1;
                }
                WorkStart::Started
            };
            // An answer may be lost.
            let host = &mut self.hosts[at];
            let own = host.clock(t);
            if let Some(node) = host.node.as_mut().filter(|_| !host.paused && self.rng.u32(0..10) > 0) {
                node.work_start_answered(own, &call, begun);
            }
            self.settle(at);
        }
    }

    /// Work that is over is said to be; a machine is taken for whole again from the first word on.
    fn staff(&mut self) {
        let t = self.t;
        let over = self.upkeep.under.iter().filter(|(_, until)| **until <= t && !self.upkeep.no_staff);
        let over: Vec<String> = over.map(|(id, _)| id.clone()).collect();
        for machine in over {
            self.upkeep.under.remove(&machine);
            let well = |well| Order::Ended { machine: machine.clone(), well };
            self.next_command += 2;
            if self.rng.u32(0..6) == 0 {
                self.upkeep.says.push((t, self.next_command - 1, well(false)));
            }
            self.upkeep.says.push((t + 1, self.next_command, well(true)));
        }
        let mut says = std::mem::take(&mut self.upkeep.says);
        for (due, id, order) in &mut says {
            if *due > t {
                continue;
            }
            *due = t + SAY_US;
            // Refused once, or agreed before what it answers, the same call is answered so for good.
            if !matches!(order, Order::Add { .. } | Order::Say { say: Say::Pause, .. }) {
                self.next_command += 1;
                *id = self.next_command;
            }
            let (id, order) = (*id, order.clone());
            self.order(id, order);
        }
        let pausing = says.iter().any(|(_, _, order)| matches!(order, Order::Say { say: Say::Pause, .. }));
        // Agreed, it need not be said again; `Fleet` knows by the machine's stage.
        // Voters that have just started know less than is agreed: what they show is no proof yet.
        let faulty = t < self.setup.faulty_us + UNSURE_US;
        if let Some(fleet) = self.agreed() {
            let stage = |machine: &String| {
                let plans = fleet.work.open().find_map(|(_, plan)| plan.machines.get(machine));
                plans.map_or(Stage::Done, |machine| machine.stage)
            };
            says.retain(|(_, _, order)| match order {
                // The voter that is furthest may be down.
                Order::Ended { machine, well: true } => {
                    !matches!(stage(machine), Stage::Mended | Stage::Back | Stage::Warm | Stage::Done)
                }
                Order::Ended { machine, well: false } => {
                    matches!(stage(machine), Stage::Out | Stage::Beginning | Stage::Working)
                }
                Order::Add { name, .. } => !fleet.work.plans.contains_key(name),
                Order::Say { name, say } => fleet.work.plans.get(name).is_none_or(|plan| {
                    !plan.is_over()
                        && match say {
                            Say::Pause => !plan.paused,
                            Say::Resume => plan.paused || pausing || faulty,
                            Say::Cancel => !plan.cancelled,
                        }
                }),
                Order::Forget { .. } => false,
            });
        }
        self.upkeep.says.extend(says);
    }

    fn order(&mut self, id: u128, order: Order) {
        let at = self.rng.usize(0..self.hosts.len());
        let (t, host) = (self.t, &mut self.hosts[at]);
        let own = host.clock(t);
        if let Some(node) = host.node.as_mut().filter(|_| !host.paused) {
            let _ = node.ask(own, Ask::Command(Command::Work { id, order }), PATIENCE_US);
        }
        self.settle(at);
    }

    /// The agreed state as the furthest voter has it.
    pub fn agreed(&self) -> Option<Fleet> {
        let nodes = self.hosts.iter().filter_map(|host| host.node.as_ref());
        nodes.filter_map(Node::fleet).max_by_key(|fleet| (fleet.work.revision, fleet.version)).cloned()
    }

    fn see(&mut self) {
        let Some(plans) = self.setup.plans.clone() else { return };
        if self.t < self.upkeep.sees_us + SEES_US {
            return;
        }
        self.upkeep.sees_us = self.t;
        let calm = self.rng.u32(0..8) > 0;
        for at in 0..self.hosts.len() {
            let mut view = View { queries: Coarse::of(20.0), ..View::default() };
            if !calm && self.faulty() {
                view.rejected = Coarse::of(5.0);
            }
            for number in 0..plans.backends {
                let (zone, cell) = place(number, plans.zones);
                let lost = self.faulty() && self.rng.u32(0..60) == 0;
                let liar = self.upkeep.liar.filter(|(liar, _)| *liar == at).map(|(_, load)| load);
                let (load, max) = (Coarse::of(liar.unwrap_or(0.2 + self.rng.f64())), Coarse::of(20.0));
                view.backends.insert(format!("s-{number}"), Sees { zone, cell, load, max, lost });
            }
            if let Some(node) = self.hosts[at].node.as_mut().filter(|_| self.rng.u32(0..10) > 0) {
                node.set_view(view);
            }
        }
    }

    fn faulty(&self) -> bool {
        self.t < self.setup.faulty_us
    }

    pub(super) fn keep_up(&mut self) {
        let next = self.t + LOOK_US;
        self.plan(next, Due::Upkeep);
        self.maintenance();
        self.staff();
        self.see();
        for at in 0..self.hosts.len() {
            let before = self.hosts[at].busy.len();
            let busy = self.busy(at);
            let (t, host) = (self.t, &mut self.hosts[at]);
            let own = host.clock(t);
            if let Some(node) = host.node.as_mut().filter(|_| !host.paused && busy.len() != before) {
                let version = node.session.acted;
                node.version_applied(own, version, busy);
                self.settle(at);
            }
        }
        self.nothing_sent();
        self.bounds();
    }

    /// Nobody may still send to what is under work, nor have anything in hand there.
    fn nothing_sent(&mut self) {
        let mut breaches = Vec::new();
        for machine in self.upkeep.under.keys().filter(|id| id.starts_with("s-")) {
            for host in self.hosts.iter().filter(|host| host.node.is_some()) {
                let (name, t) = (host.process(), self.t);
                if host.busy.get(machine).is_some_and(|until| *until > t) {
                    breaches.push(format!("{name} has something in hand at {machine}, which is under work"));
                }
                // What it sent last may take so long.
                let may = host.right_us == u64::MAX
                    || host.right_us > 0 && t < host.true_time(host.right_us) + self.terms.longest_us;
                if may && !host.outs.contains(machine) {
                    breaches.push(format!("{name} may send to {machine}, which is under work"));
                }
            }
        }
        breaches.into_iter().for_each(|what| self.breach(what));
    }

    /// In whatever state the log is.
    fn bounds(&mut self) {
        let Some(plans) = &self.setup.plans else { return };
        let bounds = plans.bounds.clone();
        let mut breaches = Vec::new();
        let mut most = 0;
        for fleet in self.hosts.iter().filter_map(|host| host.node.as_ref().and_then(Node::fleet)) {
            let count = fleet.work.count();
            most = most.max(count.all);
            let zones = count.zones.values().all(|out| *out <= bounds.most_out_zone);
            let cells = count.cells.values().all(|out| *out <= bounds.most_out_cell);
            if count.all > bounds.most_out || !zones || !cells || count.cold > bounds.most_cold {
                breaches.push(format!("a bound: {count:?}"));
            }
            let all = fleet.work.plans.values().flat_map(|plan| &plan.machines);
            let voters = all.filter(|(_, machine)| machine.votes && machine.stage.is_out()).count();
            if voters > (self.setup.voters - 1) / 2 {
                breaches.push(format!("{voters} voters out"));
            }
        }
        self.upkeep.most_out = self.upkeep.most_out.max(most);
        breaches.into_iter().for_each(|what| self.breach(what));
    }

    /// A plan of all backends and some proxies, given to the fleet, with what operators do meanwhile.
    pub fn plan_work(&mut self) {
        let Some(plans) = self.setup.plans.clone() else { return };
        let mut machines = BTreeMap::new();
        for number in 0..plans.backends {
            let (zone, cell) = place(number, plans.zones);
            machines.insert(format!("s-{number}"), Machine::new(Is::Backend, &zone, cell, false));
        }
        for number in 0..plans.proxies {
            let votes = number < self.setup.voters;
            let name = self.hosts[number].name.clone();
            // Each has a zone of its own: the bounds by zone are the backends'.
            machines.insert(name.clone(), Machine::new(Is::Proxy, &name, 0, votes));
        }
        let plan = Plan {
            why: "patches".into(),
            bounds: plans.bounds,
            maintenance: Some("there".into()),
            paused: false,
            cancelled: false,
            waits: String::new(),
            number: 0,
            machines,
        };
        self.next_command += 1;
        let (t, id) = (self.t, self.next_command);
        self.upkeep.says.push((t, id, Order::Add { name: "patch".into(), plan: Box::new(plan) }));
        if plans.operators && self.rng.u32(0..3) == 0 {
            let when = t + self.rng.u64(1_000_000..8_000_000);
            let long = self.rng.u64(500_000..4_000_000);
            let name = || "patch".to_owned();
            let ends = if self.rng.u32(0..4) == 0 { Say::Cancel } else { Say::Resume };
            for (when, say) in [(when, Say::Pause), (when + long, ends)] {
                self.next_command += 1;
                self.upkeep.says.push((when, self.next_command, Order::Say { name: name(), say }));
            }
        }
        let next = t + LOOK_US;
        self.plan(next, Due::Upkeep);
    }

    /// Plays faults round a plan, and then without faults until it is over; returns how long that took.
    pub fn play_work(&mut self) {
        let start = self.t;
        let first = start + 1_500_000;
        self.setup.faulty_us += start;
        let end = self.setup.faulty_us;
        for number in 0..self.rng.u32(4..24) {
            let at_us = self.rng.u64(first..end);
            self.plan(at_us, Due::Fault(number));
        }
        self.run_until(first);
        self.started = self.voters_up() == self.setup.voters;
        self.plan_work();
        self.run_until(end);
        self.heal();
        let most = end + 120_000_000;
        let over = |world: &World| {
            let fleet = world.agreed();
            fleet.is_some_and(|fleet| fleet.work.plans.get("patch").is_some_and(Plan::is_over))
        };
        while !over(self) && self.t < most {
            let next = self.t + 500_000;
            self.run_until(next);
        }
        if !over(self) {
            let work = self.agreed().map(|fleet| fleet.work).unwrap_or_default();
            let told = work.plans.get("patch").map(|plan| {
                let left = plan.machines.iter().filter(|(_, machine)| !machine.stage.is_over());
                (plan.waits.clone(), left.map(|(id, one)| (id, one.stage, &one.why)).collect::<Vec<_>>())
            });
            let what = format!("the plan is not over: {told:?}");
            self.breach(what);
        }
    }

    // For scripts.

    pub fn calls_late(&mut self, late_us: Option<u64>) {
        self.upkeep.late_us = late_us;
    }

    pub fn staff_away(&mut self, away: bool) {
        self.upkeep.no_staff = away;
    }

    pub fn lies(&mut self, at: usize, load: f64) {
        self.upkeep.liar = Some((at, load));
    }

    /// An operator's order at one process, repeated until it is agreed or refused for good.
    pub fn say(&mut self, order: Order) {
        self.next_command += 1;
        let (t, id) = (self.t, self.next_command);
        self.upkeep.says.push((t, id, order));
    }

    pub fn work(&self) -> Work {
        self.agreed().map(|fleet| fleet.work).unwrap_or_default()
    }

    pub fn stage(&self, machine: &str) -> Option<Stage> {
        let work = self.work();
        let found = work.plans.values().find_map(|plan| plan.machines.get(machine)).map(|one| one.stage);
        found
    }

    /// A machine at this stage now.
    pub fn at_stage(&self, stage: Stage) -> Option<String> {
        let work = self.work();
        let mut all = work.plans.values().flat_map(|plan| &plan.machines);
        all.find(|(_, machine)| machine.stage == stage).map(|(id, _)| id.clone())
    }

    pub fn work_owner(&self) -> Option<usize> {
        self.hosts.iter().position(|host| {
            let own = host.clock(self.t);
            !host.paused
                && host.node.as_ref().is_some_and(|node| node.session.holding.token(own, WORK).is_some())
        })
    }

    /// Runs until this holds, looking often; whether it came to that.
    pub fn until(&mut self, most_us: u64, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.t + most_us;
        while !holds(self) && self.t < end {
            let next = self.t + 10_000;
            self.run_until(next);
        }
        holds(self)
    }

    pub fn plan_over(&self, name: &str) -> bool {
        self.work().plans.get(name).is_some_and(Plan::is_over)
    }

    /// Machines that went no further and were put back.
    pub fn put_back(&self) -> u64 {
        let work = self.work();
        let all = work.plans.values().flat_map(|plan| plan.machines.values());
        all.map(|machine| u64::from(machine.put_back)).sum()
    }

    /// How often work on each machine was begun.
    pub fn begun(&self) -> &BTreeMap<String, u32> {
        &self.upkeep.begun_machines
    }

    /// Machines worked on, begun anew under the same id, stale calls refused, and the most that were out.
    pub fn worked(&self) -> (usize, u64, u64, u32) {
        let upkeep = &self.upkeep;
        (upkeep.begun_machines.len(), upkeep.again, upkeep.stale, upkeep.most_out)
    }
}
