//! Random interleavings of heartbeats, floods that are lost, repeated and delayed, restarts and crashes:
//! all converge, and no acknowledged drain is ever undone at a gateway.

mod support;

use support::{Fleet, Trouble};

const SCHEDULES: u64 = 2_000;

fn run(seed: u64, trouble: Trouble) -> Fleet {
    let mut fleet = Fleet::new(seed, trouble);
    for _ in 0..120 {
        fleet.step();
    }
    fleet.calm();
    for _ in 0..80 {
        fleet.step();
    }
    let truth = fleet.truth();
    for (index, view) in fleet.views().iter().enumerate() {
        assert_eq!(*view, truth, "seed {seed}, view {index}\n{:#?}", fleet.log);
    }
    fleet
}

#[test]
fn all_converge_and_no_drain_is_undone() {
    for seed in 0..SCHEDULES {
        let random = &mut fastrand::Rng::with_seed(seed);
        let trouble = Trouble {
            lost: 0.3 * random.f64(),
            repeated: 0.3 * random.f64(),
            delayed: 0.6 * random.f64(),
            restart: 0.05 * random.f64(),
            crash: 0.05 * random.f64(),
            drain: 0.08 * random.f64(),
        };
        run(seed, trouble);
    }
}

#[test]
fn a_trace_of_one_schedule() {
    let trouble = Trouble { lost: 0.1, repeated: 0.2, delayed: 0.3, restart: 0.04, crash: 0.03, drain: 0.05 };
    let fleet = run(7, trouble);
    insta::assert_debug_snapshot!((&fleet.log, fleet.views().last()));
}
