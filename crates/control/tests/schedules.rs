//! Seeded schedules of faults in virtual time. `CONTROL_SCHEDULES` sets their number, `CONTROL_FIRST`
//! the first seed.

mod simulation;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use simulation::schedule::Report;
use simulation::{ends, schedule};

fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run_all(run: fn(u64) -> Report, first: u64, count: u64, threads: usize) -> Vec<Report> {
    let next = AtomicU64::new(first);
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + count {
                    break;
                }
                let report = run(seed);
                reports.lock().expect("no panic").push(report);
            });
        }
    });
    let mut reports = reports.into_inner().expect("no panic");
    reports.sort_by_key(|report| report.seed);
    reports
}

#[test]
fn schedules_of_faults_break_nothing() {
    assert_no_breaches_in_schedules(schedule::run);
}

#[test]
fn schedules_of_correlated_failures_lose_nothing() {
    assert_no_breaches_in_schedules(ends::run);
}

/// Regression test: a restarted tail committed an entry that a proposal had installed, which was on only two
/// of five disks although two may be lost.
#[test]
fn a_correlated_failure_two_ms_after_an_install_loses_nothing() {
    let report = ends::run(6_004_873);
    assert!(report.breaches.is_empty(), "{:#?}", report.breaches);
}

fn assert_no_breaches_in_schedules(run: fn(u64) -> Report) {
    let count = from_environment("CONTROL_SCHEDULES", 300);
    let reports = run_all(run, from_environment("CONTROL_FIRST", 1), count, 3);
    let failed: Vec<&Report> = reports.iter().filter(|report| !report.breaches.is_empty()).collect();
    for report in failed.iter().take(5) {
        println!("seed {}: {:#?}\n{}", report.seed, report.breaches, report.trace);
    }
    let mut recovered: Vec<Duration> = reports.iter().filter_map(|report| report.recovered).collect();
    recovered.sort_unstable();
    let at = |share: usize| recovered.get(recovered.len() * share / 100).copied().unwrap_or_default();
    let sum = |value: fn(&Report) -> u64| reports.iter().map(value).sum::<u64>();
    println!(
        "{count} schedules, {} failed; {} acknowledgements, {} refusals, {} views, {} reads, {} messages, {} violations; \
         recovered after {:?} median, {:?} p99, {:?} at most",
        failed.len(),
        sum(|report| report.acknowledgements as u64),
        sum(|report| report.refusals),
        sum(|report| report.views),
        sum(|report| report.reads),
        sum(|report| report.messages),
        sum(|report| report.violations),
        at(50),
        at(99),
        recovered.last(),
    );
    let seeds: Vec<u64> = failed.iter().map(|report| report.seed).collect();
    assert!(seeds.is_empty(), "breaches at seeds {seeds:?}");
}
