//! Plans given to the fleet, schedules round them, and what scripts do and ask.

use std::collections::BTreeMap;

use crankpick_fleet::messages::WORK;
use crankpick_fleet::work::{Machine, MachineKind, Order, Plan, Say, Stage, Work};

use super::maintenance::Maintenance;
use super::{place, Plans, LOOK_US};
use crate::world::{Occurrence, World};

/// The plan of drawn schedules.
const PATCH: &str = "patch";

impl World {
    /// A plan of all backends and some proxies, given to the fleet, with what operators do meanwhile.
    pub fn plan_work(&mut self) {
        let Some(plans) = self.setup.plans.clone() else { return };
        let plan = self.drawn_plan(&plans);
        self.last_command += 1;
        let (t, id) = (self.t, self.last_command);
        self.pending_order(t, id, Order::Add { name: PATCH.into(), plan: Box::new(plan) });
        if plans.operators && self.rng.u32(0..3) == 0 {
            self.interrupt_plan();
        }
        self.schedule(t + LOOK_US, Occurrence::Upkeep);
    }

    fn drawn_plan(&self, plans: &Plans) -> Plan {
        let mut machines = BTreeMap::new();
        for number in 0..plans.backends {
            let (zone, cell) = place(number, plans.zones);
            machines.insert(format!("s-{number}"), Machine::new(MachineKind::Backend, &zone, cell, false));
        }
        for number in 0..plans.proxies {
            let votes = number < self.setup.voters;
            let name = self.hosts[number].name.clone();
            // Each has a zone of its own: the bounds by zone are the backends'.
            machines.insert(name.clone(), Machine::new(MachineKind::Proxy, &name, 0, votes));
        }
        Plan {
            why: "patches".into(),
            bounds: plans.bounds.clone(),
            maintenance: Some("there".into()),
            paused: false,
            cancelled: false,
            waits: String::new(),
            number: 0,
            machines,
        }
    }

    /// An operator pauses the plan for a while, and then resumes or cancels it.
    fn interrupt_plan(&mut self) {
        let when = self.t + self.rng.u64(1_000_000..8_000_000);
        let long = self.rng.u64(500_000..4_000_000);
        let ends = if self.rng.u32(0..4) == 0 { Say::Cancel } else { Say::Resume };
        for (when, say) in [(when, Say::Pause), (when + long, ends)] {
            self.last_command += 1;
            self.pending_order(when, self.last_command, Order::Say { name: PATCH.into(), say });
        }
    }

    /// Plays faults round a plan, and then without faults until it is over; returns how long that took.
    pub fn play_work(&mut self) {
        let start = self.t;
        let first = start + 1_500_000;
        self.setup.faulty_us += start;
        let end = self.setup.faulty_us;
        for number in 0..self.rng.u32(4..24) {
            let at_us = self.rng.u64(first..end);
            self.schedule(at_us, Occurrence::Fault(number));
        }
        self.run_until(first);
        self.started = self.voters_up() == self.setup.voters;
        self.plan_work();
        self.run_until(end);
        self.heal();
        let most = end + 120_000_000;
        let over = |world: &World| {
            let fleet = world.agreed();
            fleet.is_some_and(|fleet| fleet.work.plans.get(PATCH).is_some_and(Plan::is_over))
        };
        while !over(self) && self.t < most {
            let next = self.t + 500_000;
            self.run_until(next);
        }
        if !over(self) {
            let work = self.agreed().map(|fleet| fleet.work).unwrap_or_default();
            let told = work.plans.get(PATCH).map(|plan| {
                let left = plan.machines.iter().filter(|(_, machine)| !machine.stage.is_over());
                (plan.waits.clone(), left.map(|(id, one)| (id, one.stage, &one.why)).collect::<Vec<_>>())
            });
            let what = format!("the plan is not over: {told:?}");
            self.breach(what);
        }
    }

    // For scripts.

    pub fn calls_late(&mut self, late_us: Option<u64>) {
        self.upkeep.maintenance.late_us = late_us;
    }

    pub fn staff_away(&mut self, away: bool) {
        self.upkeep.maintenance.no_staff = away;
    }

    pub fn lies(&mut self, at: usize, load: f64) {
        self.upkeep.liar = Some((at, load));
    }

    /// An operator's order at one process, repeated until it is agreed or refused for good.
    pub fn say(&mut self, order: Order) {
        self.last_command += 1;
        let (t, id) = (self.t, self.last_command);
        self.pending_order(t, id, order);
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
        self.hosts.iter().position(|host| host.owns(self.t, WORK))
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
        &self.upkeep.maintenance.begun_machines
    }

    /// Machines worked on, begun anew under the same id, stale calls refused, and the most that were out.
    pub fn worked(&self) -> (usize, u64, u64, u32) {
        let Maintenance { begun_machines, again, stale, .. } = &self.upkeep.maintenance;
        (begun_machines.len(), *again, *stale, self.upkeep.most_out)
    }
}
