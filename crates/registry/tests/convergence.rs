//! Random interleavings of heartbeats, lost, duplicated and delayed announcements, restarts and crashes: the
//! views of all processes and gateways converge, and no acknowledged drain is ever undone at a gateway.

mod support;

use support::{FaultRates, Fleet};

const SCHEDULES: u64 = 2_000;

fn run(seed: u64, fault_rates: FaultRates) -> Fleet {
    let mut fleet = Fleet::new(seed, fault_rates);
    for _ in 0..120 {
        fleet.step();
    }
    fleet.stop_faults();
    for _ in 0..80 {
        fleet.step();
    }
    let expected = fleet.running_backends();
    for (index, view) in fleet.views().iter().enumerate() {
        assert_eq!(*view, expected, "seed {seed}, view {index}\n{:#?}", fleet.log);
    }
    fleet
}

#[test]
fn all_views_converge_and_no_drain_is_undone() {
    for seed in 0..SCHEDULES {
        let random = &mut fastrand::Rng::with_seed(seed);
        let fault_rates = FaultRates {
            lost: 0.3 * random.f64(),
            repeated: 0.3 * random.f64(),
            delayed: 0.6 * random.f64(),
            restart: 0.05 * random.f64(),
            crash: 0.05 * random.f64(),
            drain: 0.08 * random.f64(),
        };
        run(seed, fault_rates);
    }
}

#[test]
fn a_trace_of_one_schedule() {
    let fault_rates =
        FaultRates { lost: 0.1, repeated: 0.2, delayed: 0.3, restart: 0.04, crash: 0.03, drain: 0.05 };
    let fleet = run(7, fault_rates);
    insta::assert_debug_snapshot!((&fleet.log, fleet.views().last()));
}
