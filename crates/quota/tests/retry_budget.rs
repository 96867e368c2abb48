//! The sum of the retries of all gateways stays within the limit, also when all gateways restart.

use std::time::Duration;

use crankpick_quota::{RetryBudget, RetryBudgetSettings};

const SETTINGS: RetryBudgetSettings =
    RetryBudgetSettings { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10) };

/// Sends requests, each followed by as many retries as the budget allows. Returns the maximum number of
/// retries beyond the limit in any of the sampled windows; negative if all are within the limit.
fn worst_excess(gateways: usize, requests_per_s: f64, kill_all_at: Option<f64>, seed: u64) -> f64 {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut budgets: Vec<RetryBudget> =
        (0..gateways).map(|_| RetryBudget::new(SETTINGS, gateways as u32)).collect();
    let mut started = 0.0;
    let mut events: Vec<(f64, bool)> = Vec::new();
    let mut time = 0.0;
    while time < 60.0 {
        // Phases with long gaps leave shares unused.
        let pause = if time % 20.0 < 9.0 { 20.0 } else { 1.0 };
        time += -(1.0 - random.f64()).ln() / requests_per_s * pause;
        if kill_all_at.is_some_and(|at| time >= at && started < at) {
            started = kill_all_at.unwrap_or(0.0);
            budgets = (0..gateways).map(|_| RetryBudget::new(SETTINGS, gateways as u32)).collect();
        }
        let gateway = random.usize(..gateways);
        let now = Duration::from_secs_f64(time - started);
        budgets[gateway].deposit(now);
        events.push((time, false));
        while budgets[gateway].take(now) {
            events.push((time, true));
        }
    }
    let count = |from: f64, until: f64, repeats: bool| {
        let inside = events.iter().filter(|(at, repeat)| *at > from && *at <= until && *repeat == repeats);
        inside.count() as f64
    };
    let excess = events.iter().step_by(7).map(|(end, _)| {
        let most_requests = [0.0, 5.0, 10.0].map(|back| count(end - 10.0 - back, end - back, false));
        let requests = most_requests.into_iter().fold(0.0, f64::max);
        count(end - 10.0, *end, true) - (requests * SETTINGS.ratio + SETTINGS.slack)
    });
    excess.fold(f64::MIN, f64::max)
}

#[test]
fn the_sum_of_all_gateways_stays_within_the_budget() {
    for seed in 0..4 {
        for gateways in [1, 13, 40] {
            for kill in [None, Some(31.0)] {
                let excess = worst_excess(gateways, 40.0, kill, seed);
                assert!(excess <= 0.0, "{gateways} gateways, {kill:?}, seed {seed}: {excess} over");
            }
        }
    }
}

#[test]
fn a_used_budget_is_refilled() {
    let mut budget = RetryBudget::new(SETTINGS, 13);
    let now = Duration::from_secs(20);
    assert_eq!((0..10).filter(|_| budget.take(now)).count(), 3);
    for _ in 0..20 {
        budget.deposit(now);
    }
    assert_eq!((0..10).filter(|_| budget.take(now)).count(), 3);
    assert!(budget.available(Duration::from_secs(32)) > 3.0);
}
