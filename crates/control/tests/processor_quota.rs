//! CPU quotas with a period of 100 ms: a process runs at full speed for a part of it and stalls for up to 90
//! ms. This must not cause failure suspicions, expired leases or view changes, and changes must still commit.

mod simulation;

use std::time::Duration;

use crankpick_control::{CommandId, Outcome};
use simulation::{command, ms, run, submit, ClusterConfig, Simulation};

/// The quota period, in steps.
const STEPS: usize = 10;
/// The duration of a step, in milliseconds.
const STEP_MS: u64 = 10;
/// A gateway switches away from a home whose configuration was last confirmed longer ago than this.
const MAX_FRESH_AGE: Duration = ms(600);
/// Callers switch to another process after this time without an answer.
const CALLERS_TIMEOUT: Duration = ms(1_000);

/// Which processes stall, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stall {
    /// All at the same time.
    Together,
    /// Each at a different time, so that mostly no two processes run simultaneously.
    Apart,
    /// Only the head of the chain.
    Head,
    /// Only the tail.
    Tail,
}

/// Whether a process runs in a step.
fn runs(sim: &Simulation, stall: Stall, index: usize, step: usize) -> bool {
    let view = sim.newest_view();
    let is = |id: Option<_>| id.and_then(|id| sim.index_of(id)) == Some(index);
    match stall {
        Stall::Together => step == 0,
        Stall::Apart => step == index * 3 % STEPS,
        Stall::Head => step == 0 || !is(view.head()),
        Stall::Tail => step == 0 || !is(view.tail()),
    }
}

/// Measurements over a run with stalls.
#[derive(Debug, Default)]
struct Observations {
    views: u64,
    taken: u64,
    oldest_confirmation: Duration,
    slowest_change: Duration,
}

/// An operator that submits changes one after another, each to the next process.
struct Caller {
    key: u64,
    index: usize,
    sent_at: Option<Duration>,
}

impl Caller {
    /// Submits the change if the process runs, or processes its answer.
    fn poll(&mut self, sim: &mut Simulation, seen: &mut Observations) {
        let Some(sent_at) = self.sent_at else {
            if !sim.nodes[self.index].frozen {
                self.sent_at = Some(sim.now);
                submit(sim, self.index, self.key, command(self.key, self.key + 1, 0));
            }
            return;
        };
        let is_answer = |(key, _): &&(CommandId, Outcome)| key.0 == self.key;
        let Some((_, outcome)) = sim.heard.iter().find(is_answer) else { return };
        assert_eq!(*outcome, Outcome::Committed, "change {} at {}", self.key, self.index);
        seen.slowest_change = seen.slowest_change.max(sim.now - sent_at);
        seen.taken += 1;
        *self = Caller { key: self.key + 1, index: (self.index + 1) % sim.nodes.len(), sent_at: None };
    }
}

fn run_case(cluster: ClusterConfig, stall: Stall, seed: u64) -> Observations {
    let mut sim = cluster.start_cluster(seed);
    run(&mut sim, 7_000);
    let views = sim.checks.views_changed;
    let mut seen = Observations::default();
    let mut caller = Caller { key: 0, index: 0, sent_at: None };
    for _ in 0..200 {
        for step in 0..STEPS {
            for index in 0..sim.nodes.len() {
                if runs(&sim, stall, index, step) {
                    sim.thaw(index);
                } else {
                    sim.freeze(index);
                }
            }
            caller.poll(&mut sim, &mut seen);
            run(&mut sim, STEP_MS);
            record_confirmation_ages(&sim, &mut seen);
        }
    }
    assert!(sim.checks.breaches.is_empty(), "{cluster:?} {stall:?} seed {seed}: {:#?}", sim.checks.breaches);
    seen.views = sim.checks.views_changed - views;
    seen
}

/// Records the maximum age of the confirmation that a running process relies on.
fn record_confirmation_ages(sim: &Simulation, seen: &mut Observations) {
    for node in sim.nodes.iter().filter(|node| !node.frozen) {
        let Some(replica) = &node.replica else { continue };
        let age = replica.freshness(sim.now - node.booted_at).unwrap_or(ms(99_000));
        seen.oldest_confirmation = seen.oldest_confirmation.max(age);
    }
}

#[test]
fn stalls_of_90_ms_per_100_ms_change_no_view() {
    let clusters = [
        ClusterConfig { machines: 3, losses: 1 },
        ClusterConfig { machines: 5, losses: 2 },
        ClusterConfig { machines: 8, losses: 1 },
    ];
    for cluster in clusters {
        for stall in [Stall::Together, Stall::Apart, Stall::Head, Stall::Tail] {
            for seed in 0..6 {
                let seen = run_case(cluster, stall, 8_000 + seed);
                println!("{cluster:?} {stall:?} {seed}: {seen:?}");
                assert_eq!(seen.views, 0, "{cluster:?} {stall:?} seed {seed}: {seen:?}");
                assert!(
                    seen.slowest_change <= CALLERS_TIMEOUT,
                    "{cluster:?} {stall:?} seed {seed}: {seen:?}"
                );
                assert!(
                    seen.oldest_confirmation <= MAX_FRESH_AGE,
                    "{cluster:?} {stall:?} seed {seed}: {seen:?}"
                );
            }
        }
    }
}
