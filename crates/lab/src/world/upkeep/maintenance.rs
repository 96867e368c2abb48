//! The maintenance system, which begins work on machines, and its staff, who say when work is over.

use std::collections::{BTreeMap, BTreeSet};

use crankpick_fleet::messages::Ask;
use crankpick_fleet::node::WorkStart;
use crankpick_fleet::scheduler::WorkStartRequest;
use crankpick_fleet::state::{Command, Fleet};
use crankpick_fleet::work::{Order, Say, Stage};

use crate::world::World;

/// Voters that have just started know less than is agreed for so long after the faults.
const UNSURE_US: u64 = 5_000_000;
/// How long staff and operators wait for an answer.
const PATIENCE_US: u64 = 2_000_000;
/// Staff say it again until it is agreed.
const REPEAT_US: u64 = 700_000;
/// How late a call arrives where nothing is wrong.
const CALL_US: u64 = 2_000;

/// A call on its way to the maintenance system.
struct PendingCall {
    due_us: u64,
    /// Who made it.
    from: usize,
    call: WorkStartRequest,
}

/// What staff or an operator have yet to be heard with.
pub(super) struct PendingOrder {
    /// When it is said, or said again.
    pub(super) due_us: u64,
    pub(super) id: u128,
    pub(super) order: Order,
}

#[derive(Default)]
pub(super) struct Maintenance {
    /// The highest token heard.
    seen: u64,
    /// Calls carried out, by id.
    begun: BTreeSet<String>,
    /// How often work on each machine was begun.
    pub(super) begun_machines: BTreeMap<String, u32>,
    calls: Vec<PendingCall>,
    /// Calls of old owners, refused.
    pub(super) stale: u64,
    /// Calls repeated under the same id.
    pub(super) again: u64,
    /// Until when each machine is worked on.
    pub(super) under: BTreeMap<String, u64>,
    pub(super) orders: Vec<PendingOrder>,
    /// For scripts: each call comes so late; nobody says that work is over.
    pub(super) late_us: Option<u64>,
    pub(super) no_staff: bool,
}

impl World {
    /// A call to begin work. Now and then it comes late, perhaps after another owner's, or not at all.
    pub(in crate::world) fn begin_work(&mut self, from: usize, call: WorkStartRequest) {
        let late = if self.rng.u32(0..5) == 0 { self.rng.u64(0..3 * self.setup.lease_us) } else { CALL_US };
        let scripted = self.upkeep.maintenance.late_us;
        if self.rng.u32(0..10) > 0 || scripted.is_some() {
            let due_us = self.t + scripted.unwrap_or(late);
            self.upkeep.maintenance.calls.push(PendingCall { due_us, from, call });
        }
    }

    /// Answers the calls that have arrived. An answer may be lost.
    pub(super) fn answer_calls(&mut self) {
        let t = self.t;
        let calls = self.upkeep.maintenance.calls.drain(..);
        let (due, later): (Vec<_>, Vec<_>) = calls.partition(|call| call.due_us <= t);
        self.upkeep.maintenance.calls = later;
        for PendingCall { from, call, .. } in due {
            let answer = self.work_start(&call);
            let host = &mut self.hosts[from];
            let own = host.clock(t);
            if let Some(node) = host.node.as_mut().filter(|_| !host.paused && self.rng.u32(0..10) > 0) {
                node.work_start_answered(own, &call, answer);
            }
            self.settle(from);
        }
    }

    /// What the maintenance system makes of a call: an old owner's is refused, a repeated one is begun once.
    fn work_start(&mut self, call: &WorkStartRequest) -> WorkStart {
        let maintenance = &mut self.upkeep.maintenance;
        if call.token < maintenance.seen {
            maintenance.stale += 1;
            return WorkStart::StaleToken(maintenance.seen);
        }
        maintenance.seen = call.token;
        if !maintenance.begun.insert(call.id.clone()) {
            maintenance.again += 1;
            return WorkStart::Started;
        }
        let times = maintenance.begun_machines.entry(call.machine.clone()).or_default();
        *times += 1;
        if *times > 1 || maintenance.under.contains_key(&call.machine) {
            self.breach(format!("work on {} begun twice", call.machine));
        }
        let until = self.t + self.rng.u64(200_000..2_000_000);
        self.upkeep.maintenance.under.insert(call.machine.clone(), until);
        WorkStart::Started
    }

    /// Work that is over is said to be; a machine is taken for whole again from the first word on.
    pub(super) fn staff(&mut self) {
        self.end_work();
        let mut orders = std::mem::take(&mut self.upkeep.maintenance.orders);
        for pending in &mut orders {
            self.say_if_due(pending);
        }
        self.drop_agreed(&mut orders);
        self.upkeep.maintenance.orders.extend(orders);
    }

    fn end_work(&mut self) {
        let (t, maintenance) = (self.t, &self.upkeep.maintenance);
        let over = maintenance.under.iter().filter(|(_, until)| **until <= t && !maintenance.no_staff);
        let over: Vec<String> = over.map(|(machine, _)| machine.clone()).collect();
        for machine in over {
            self.upkeep.maintenance.under.remove(&machine);
            let ended = |well| Order::Ended { machine: machine.clone(), well };
            self.last_command += 2;
            let id = self.last_command;
            if self.rng.u32(0..6) == 0 {
                self.pending_order(t, id - 1, ended(false));
            }
            self.pending_order(t + 1, id, ended(true));
        }
    }

    pub(super) fn pending_order(&mut self, due_us: u64, id: u128, order: Order) {
        self.upkeep.maintenance.orders.push(PendingOrder { due_us, id, order });
    }

    fn say_if_due(&mut self, pending: &mut PendingOrder) {
        if pending.due_us > self.t {
            return;
        }
        pending.due_us = self.t + REPEAT_US;
        // Refused once, or agreed before what it answers, the same call is answered so for good.
        if !matches!(pending.order, Order::Add { .. } | Order::Say { say: Say::Pause, .. }) {
            self.last_command += 1;
            pending.id = self.last_command;
        }
        self.order(pending.id, pending.order.clone());
    }

    /// What is agreed need not be said again. The voter that is furthest may be down, and voters that have just started know less than is agreed: what they show
    /// is no proof yet.
    fn drop_agreed(&self, orders: &mut Vec<PendingOrder>) {
        let Some(fleet) = self.agreed() else { return };
        let pausing = |pending: &PendingOrder| matches!(pending.order, Order::Say { say: Say::Pause, .. });
        let may_pause = orders.iter().any(pausing) || self.t < self.setup.faulty_us + UNSURE_US;
        orders.retain(|pending| !is_agreed(&pending.order, &fleet, may_pause));
    }

    /// An order at any process.
    fn order(&mut self, id: u128, order: Order) {
        let at = self.rng.usize(0..self.hosts.len());
        if let Some((node, own)) = self.running(at) {
            let _ = node.ask(own, Ask::Command(Command::Work { id, order }), PATIENCE_US);
        }
        self.settle(at);
    }
}

/// Whether the agreed state shows that an order was taken, or can't be any more. `may_pause`: a pause may come yet.
fn is_agreed(order: &Order, fleet: &Fleet, may_pause: bool) -> bool {
    match order {
        Order::Ended { machine, well: true } => {
            matches!(stage(fleet, machine), Stage::Mended | Stage::Back | Stage::Warm | Stage::Done)
        }
        Order::Ended { machine, well: false } => {
            !matches!(stage(fleet, machine), Stage::Out | Stage::Beginning | Stage::Working)
        }
        Order::Add { name, .. } => fleet.work.plans.contains_key(name),
        Order::Say { name, say } => fleet.work.plans.get(name).is_some_and(|plan| {
            plan.is_over()
                || match say {
                    Say::Pause => plan.paused,
                    Say::Resume => !plan.paused && !may_pause,
                    Say::Cancel => plan.cancelled,
                }
        }),
        Order::Forget { .. } => true,
    }
}

fn stage(fleet: &Fleet, machine: &str) -> Stage {
    let found = fleet.work.open_plans().find_map(|(_, plan)| plan.machines.get(machine));
    found.map_or(Stage::Done, |machine| machine.stage)
}
