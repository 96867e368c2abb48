//! Machines out for work in the virtual world: a maintenance system that may answer late or not at all, staff that
//! say when work is over, proxies with something in hand, and what must hold whatever fails. Part of `world`.
//!
//! | module | job |
//! | --- | --- |
//! | `maintenance` | the maintenance system, and its staff |
//! | `checks` | what must hold at each moment |
//! | `script` | plans given to the fleet, and what scripts do and ask |

mod checks;
mod maintenance;
mod script;

use std::collections::BTreeSet;

use crankpick_fleet::node::Node;
use crankpick_fleet::observation::{BackendView, Quantized, View};
use crankpick_fleet::state::Fleet;
use crankpick_fleet::work::{Bounds, SendPolicy};

use super::{Occurrence, World};
use crate::history::Kind;
use maintenance::Maintenance;

/// How often the maintenance system, its staff and the checks come to their turn.
const LOOK_US: u64 = 50_000;
/// How often proxies tell what they see of the backends.
const VIEW_US: u64 = 500_000;

/// What is to be worked on, and what binds the proxies meanwhile.
#[derive(Clone, Debug)]
pub struct Plans {
    pub terms: SendPolicy,
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
        let terms = SendPolicy { drains: seed.is_multiple_of(2), waits: true, longest_us: 1_500_000 };
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
        let terms = SendPolicy { drains: false, waits: true, longest_us: 1_500_000 };
        Plans { terms, backends: 12, zones: 3, bounds, proxies: 0, operators: true }
    }
}

/// All that concerns machines out for work.
#[derive(Default)]
pub(super) struct Upkeep {
    maintenance: Maintenance,
    viewed_us: u64,
    /// For scripts: a proxy that reports so much load.
    liar: Option<(usize, f64)>,
    /// Breaches told once.
    told: BTreeSet<String>,
    most_out: u32,
}

/// The zone and the cell of a backend.
fn place(number: usize, zones: usize) -> (String, u32) {
    (format!("z{}", number % zones), (number / zones % 2) as u32)
}

impl World {
    /// What the maintenance system, its staff and the proxies' executions do now, and whether all still holds.
    pub(super) fn keep_up(&mut self) {
        self.schedule(self.t + LOOK_US, Occurrence::Upkeep);
        self.answer_calls();
        self.staff();
        self.see();
        (0..self.hosts.len()).for_each(|at| self.end_executions(at));
        self.check_nothing_sent();
        self.check_bounds();
    }

    /// Executions that are over by now: the process is told where there are any.
    fn end_executions(&mut self, at: usize) {
        let before = self.hosts[at].busy.len();
        let busy = self.busy(at);
        if busy.len() == before {
            return;
        }
        if let Some((node, own)) = self.running(at) {
            let version = node.session.acted;
            node.version_applied(own, version, busy);
            self.settle(at);
        }
    }

    /// A broken promise, told once.
    fn breach(&mut self, what: String) {
        if self.upkeep.told.insert(what.clone()) {
            self.record(Kind::Fault { what: format!("BREACH {what}") });
        }
    }

    /// A version of what is out comes to a proxy: at what goes out something may be in hand for a while.
    pub(super) fn acts(&mut self, at: usize, outs: &BTreeSet<String>) -> BTreeSet<String> {
        let (t, longest) = (self.t, self.terms.longest_us);
        let host = &mut self.hosts[at];
        for id in outs.difference(&host.outs.clone()) {
            if longest > 0 && self.rng.bool() {
                // What its right to send did not cover was never sent.
                let last = if host.send_until_us == u64::MAX {
                    t
                } else {
                    t.min(host.true_time(host.send_until_us))
                };
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

    /// A proxy is told to drain for work, or that it need not: what it has in hand ends at once.
    pub(super) fn drained(&mut self, at: usize, drained: bool) {
        if let Some((node, own)) = self.process(at) {
            node.set_willing(own, !drained);
            node.set_idle(own, drained);
        }
    }

    /// The agreed state as the furthest voter has it.
    pub fn agreed(&self) -> Option<Fleet> {
        let nodes = self.hosts.iter().filter_map(|host| host.node.as_ref());
        nodes.filter_map(Node::fleet).max_by_key(|fleet| (fleet.work.revision, fleet.version)).cloned()
    }

    /// Now and then each proxy tells what it sees of the backends; with faults about, not always the truth.
    fn see(&mut self) {
        let Some(plans) = self.setup.plans.clone() else { return };
        if self.t < self.upkeep.viewed_us + VIEW_US {
            return;
        }
        self.upkeep.viewed_us = self.t;
        let calm = self.rng.u32(0..8) > 0;
        for at in 0..self.hosts.len() {
            let mut view = View { queries: Quantized::of(20.0), ..View::default() };
            if !calm && self.faulty() {
                view.rejected = Quantized::of(5.0);
            }
            for number in 0..plans.backends {
                let (zone, cell) = place(number, plans.zones);
                let lost = self.faulty() && self.rng.u32(0..60) == 0;
                let liar = self.upkeep.liar.filter(|(liar, _)| *liar == at).map(|(_, load)| load);
                let (load, max) = (Quantized::of(liar.unwrap_or(0.2 + self.rng.f64())), Quantized::of(20.0));
                view.backends.insert(format!("s-{number}"), BackendView { zone, cell, load, max, lost });
            }
            if let Some(node) = self.hosts[at].node.as_mut().filter(|_| self.rng.u32(0..10) > 0) {
                node.set_view(view);
            }
        }
    }

    fn faulty(&self) -> bool {
        self.t < self.setup.faulty_us
    }
}
