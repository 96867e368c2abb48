//! Rule 4 over a fleet: checks, for every time window, how much work all proxies send to one cold backend.

mod ledger;

use crankpick::balance::Balancer;
use crankpick::interface::*;
use ledger::*;

/// How long a warm backend takes for one query. All queries are alike, so work is counted in queries.
const DURATION_US: u64 = 20_000;
const HINT_US: u64 = 20_000;
const STEP_US: u64 = 5_000;
/// Longer than a window, so that proxies have learned the paces of their backends when the cold one is added.
const WARM_UP_US: u64 = 3_000_000;
const COLD_BACKEND: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    Steady,
    /// No traffic for one window after the start was announced, then all of it at once.
    Burst,
    /// A third of the proxies run as two processes, both with traffic.
    Doubled,
    /// A third of the processes are killed some time after the start, and each is replaced by a new one.
    Killed,
}

/// A proxy process that runs from `from_us` to `until_us`.
struct Process {
    number: u32,
    seed: u64,
    processes: usize,
    from_us: u64,
    until_us: u64,
}

/// Runs one process and adds the times at which it sent queries to the cold backend.
fn run(process: &Process, proxies: u32, cold_us: u64, case: Case, sent_us: &mut Vec<u64>) {
    let limits = ExecutionLimits { max_executions: 3, cancel: true, ..ExecutionLimits::default() };
    let mut ledger = Ledger::new(vec![workload(Repeat::Idempotent, DedupGroup::All, 1.0)], limits);
    ledger.now_us = process.from_us;
    let mut balancer: Balancer = ledger.balancer(process.seed, proxies, process.number);
    let mut rng = fastrand::Rng::with_seed(process.seed);
    // Traffic differs by up to 20 times between proxies, but no proxy has overlapping queries: a learned pace would
    // count those together.
    let rate = [0.003, 0.01, 0.03, 0.06][process.number as usize % 4];
    let mut list: Vec<Listed> = (0..COLD_BACKEND).map(ready).collect();
    let (mut next, mut sent, mut list_updated) = (0, 0, false);
    while ledger.now_us < process.until_us {
        ledger.round(&mut balancer, STEP_US, |ledger, inbox| {
            if !list_updated && ledger.now_us >= cold_us {
                list.push(Listed { since_us: cold_us, ..ready(COLD_BACKEND) });
                list_updated = true;
            }
            if !list.is_empty() {
                ledger.update_list(inbox, &std::mem::take(&mut list));
                inbox.processes(process.processes);
            }
            for (id, number) in ledger.in_flight() {
                if ledger.now_us >= ledger.queries[&id].sent[number].at_us + DURATION_US {
                    ledger.finish(inbox, &id, number, Ended::Completed);
                }
            }
            let silent = cold_us..cold_us + COLD.window_us;
            let silent = case == Case::Burst && silent.contains(&ledger.now_us);
            next += u32::from(!silent && rng.f64() < rate);
            while sent < next {
                ledger.send_query(inbox, &sent.to_string(), 0, 900_000, Some(HINT_US));
                sent += 1;
            }
        });
    }
    assert_eq!(ledger.violations, Vec::<String>::new());
    let to_cold =
        ledger.queries.values().flat_map(|qry| &qry.sent).filter(|sent| sent.backend == COLD_BACKEND);
    sent_us.extend(to_cold.map(|sent| sent.at_us));
}

/// For the window most over budget: the queries sent, and the cold backend's budget for that window.
fn fullest_window(proxies: u32, case: Case, seed: u64) -> (f64, f64) {
    let (cold_us, until_us) = (7_000_000 + WARM_UP_US, 7_000_000 + WARM_UP_US + 9_000_000);
    let mut sent_us = Vec::new();
    for number in 0..proxies {
        let third = (number + seed as u32).is_multiple_of(3);
        let processes = if case == Case::Doubled && third { 2 } else { 1 };
        let killed = (case == Case::Killed && third).then_some(cold_us + 2_500_000);
        let mut process = Process {
            number,
            seed: seed * 1_000 + u64::from(number),
            processes,
            from_us: 7_000_000,
            until_us: killed.unwrap_or(until_us),
        };
        run(&process, proxies, cold_us, case, &mut sent_us);
        if killed.is_some() || processes == 2 {
            process.seed += 500;
            process.from_us = killed.map_or(7_000_000, |killed| killed + 300_000);
            process.until_us = until_us;
            run(&process, proxies, cold_us, case, &mut sent_us);
        }
    }
    sent_us.sort_unstable();
    let budget = |at_us: u64| {
        let age = (at_us - cold_us) as f64 / COLD.cold_us as f64;
        let warmth = COLD.start_capacity + (1.0 - COLD.start_capacity) * age;
        // Outcomes are delivered once per round, so a query completes up to one step late.
        COLD.capacity_multiple * warmth * COLD.window_us as f64 / (DURATION_US + STEP_US) as f64
    };
    let windows = sent_us.iter().enumerate().map(|(first, from_us)| {
        let end = sent_us.partition_point(|at| *at < from_us + COLD.window_us);
        // The budget grows during the window: its start gives the stricter bound.
        ((end - first) as f64, budget(*from_us))
    });
    let over = |window: &(f64, f64)| (window.0 - window.1) / window.1.sqrt();
    windows.max_by(|a, b| over(a).total_cmp(&over(b))).unwrap_or((0.0, budget(cold_us)))
}

/// Random variation may exceed the budget by twice its square root, plus two queries.
#[test]
fn all_proxies_together_stay_within_the_budget_of_a_cold_backend() {
    for case in [Case::Steady, Case::Burst, Case::Doubled, Case::Killed] {
        for proxies in [2, 20, 30, 300] {
            let seeds = if proxies == 300 { 3 } else { 10 };
            let windows: Vec<(f64, f64)> =
                (0..seeds).map(|seed| fullest_window(proxies, case, seed)).collect();
            let most = windows.iter().map(|(sent, budget)| (sent - budget) / budget.sqrt());
            println!(
                "{case:?}, {proxies} proxies: at most {:.2} square roots over budget",
                most.fold(f64::MIN, f64::max)
            );
            let within_budget =
                windows.iter().all(|(sent, budget)| *sent <= budget + 2.0 * budget.sqrt() + 2.0);
            assert!(within_budget, "{case:?}, {proxies} proxies: {windows:?}");
        }
    }
}
