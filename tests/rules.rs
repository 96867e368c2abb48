//! Seeded random runs: `ledger` checks the four rules after every round.

mod ledger;

use crankpick::interface::{Ended::*, *};
use crankpick::retry::Failure;
use ledger::*;
use quickcheck::{Gen, QuickCheck};

fn run(seed: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let groups = [DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell];
    let group = groups[rng.usize(0..3)];
    let kinds = [Repeat::Idempotent, Repeat::Deduplicated, Repeat::NonIdempotent];
    let workloads = kinds.iter().map(|kind| workload(*kind, group, 1.0 + rng.f64() * 9.0)).collect();
    let (may_duplicate, cancel, max_executions) = (rng.bool(), rng.bool(), rng.u32(1..6));
    let max_backoff_us = rng.u64(0..2) * 500_000;
    let limits = ExecutionLimits { may_duplicate, cancel, max_executions, max_backoff_us };
    let mut ledger = Ledger::new(workloads, limits);
    ledger.peers = rng.bool();
    let zone = [None, Some(0), Some(1), Some(7)][rng.usize(0..4)];
    let removal_not_binding = rng.bool();
    let (crossing, probes) = (rng.f64() * 0.3, rng.bool());
    let clocks = ClockError { deadline_us: [0, 0, 400_000, 3_000_000][rng.usize(0..4)], start_us: 0 };
    ledger.deployment = Deployment {
        zone,
        cross_zone_cost: crossing,
        probes,
        removal_not_binding,
        clocks,
        ..Deployment::default()
    };
    let mut balancer = ledger.balancer(seed, rng.u32(0..12), rng.u32(0..12));
    let (backends, hinted, rate) = (rng.u32(0..12), rng.bool(), rng.usize(1..6));
    let (failing, steps) = (rng.f64() * 0.5, 250);
    for step in 0..steps + 150 {
        let pause_us = rng.u64(1_000..15_000);
        if rng.u8(0..60) == 0 {
            let workloads =
                (0..3).map(|_| workload(kinds[rng.usize(0..3)], group, 1.0 + rng.f64())).collect();
            let limits = ExecutionLimits { max_executions: rng.u32(1..6), cancel: rng.bool(), ..limits };
            ledger.reload(&mut balancer, workloads, limits);
        }
        ledger.round(&mut balancer, pause_us, |ledger, inbox| {
            if step == 0 {
                let listed: Vec<Listed> = (0..backends).map(ready).collect();
                ledger.update_list(inbox, &listed);
            } else if rng.u8(0..12) == 0 && backends > 0 {
                let mut item = ready(rng.u32(0..backends + 2));
                item.phase = [Phase::Ready, Phase::Ready, Phase::Terminating, Phase::Gone][rng.usize(0..4)];
                item.since_us = [0, ledger.now_us - 500_000][rng.usize(0..2)];
                ledger.update_list(inbox, &[item]);
            }
            if rng.u8(0..10) == 0 {
                inbox.peer_note(rng.u32(0..12), ["3!$!z", "5\"!!!", "", "3éé", "zz"][rng.usize(0..5)]);
            }
            if rng.u8(0..20) == 0 {
                let (backend, drained) = (rng.u32(0..backends + 2), rng.bool());
                ledger.set_manual_drain(inbox, backend, drained);
            }
            if rng.u8(0..40) == 0 {
                inbox.processes(rng.usize(1..3));
                inbox.list_failed([Failure::Refused, Failure::Silent][rng.usize(0..2)]);
            }
            // Some probes never return, and some outcomes are for probes that were never sent.
            let unsolicited = (rng.u8(0..20) == 0).then_some(99);
            for backend in std::mem::take(&mut ledger.probed).into_iter().chain(unsolicited) {
                let report =
                    LoadReport { in_flight: rng.bool().then(|| rng.f64() * 9.0), ..LoadReport::default() };
                let ended = [Completed, Completed, Rejected, TimedOut, Unreachable][rng.usize(0..5)];
                if rng.u8(0..8) > 0 {
                    inbox.probe_outcome(backend, ended, rng.u64(100..300_000), Some(report));
                }
            }
            let live: Vec<String> =
                ledger.queries.iter().filter(|qry| qry.1.answer.is_none()).map(|qry| qry.0.clone()).collect();
            if !live.is_empty() && rng.u8(0..20) == 0 {
                let id = &live[rng.usize(0..live.len())];
                ledger.queries.get_mut(id).expect("live").answer = Some("withdrawn");
                inbox.withdrawn(id);
            }
            for (id, number) in ledger.in_flight() {
                let sent = &ledger.queries[&id].sent[number];
                let ends = [Errored, Rejected, Unreachable, Dropped, Cancelled];
                let ended = if rng.f64() < failing { ends[rng.usize(0..5)] } else { Completed };
                if ledger.now_us >= sent.until_us {
                    ledger.finish(inbox, &id, number, TimedOut);
                } else if rng.u8(0..12) == 0 {
                    ledger.finish(inbox, &id, number, ended);
                }
            }
            for number in 0..if step < steps { rng.usize(0..rate) } else { 0 } {
                let (id, kind) = (format!("{step}-{number}"), rng.usize(0..3));
                let ttl_us =
                    [rng.u64(0..60_000), rng.u64(200_000..1_500_000)][usize::from(rng.u8(0..10) > 0)];
                let hint_us = hinted.then(|| rng.u64(1_000..400_000));
                ledger.send_query(inbox, &id, kind, ttl_us, hint_us);
            }
        });
        if !ledger.violations.is_empty() {
            break;
        }
    }
    ledger.violations
}

#[test]
fn rules_hold_in_random_runs() {
    fn holds(seed: u64) -> Result<(), String> {
        run(seed).first().map_or(Ok(()), |wrong| Err(wrong.clone()))
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 41)).tests(300).quickcheck(holds as fn(u64) -> _);
}
