//! One workload stalls while others run normally: it must be limited, and no backend may be ejected because of it.

mod ledger;

use crankpick::balance::Balancer;
use crankpick::interface::*;
use ledger::*;

const BACKENDS: u32 = 6;

fn start() -> (Ledger, Balancer) {
    let limits =
        ExecutionLimits { max_executions: 3, cancel: true, max_backoff_us: 2_000_000, may_duplicate: false };
    let important = Workload { tardy_importance: 0.0, ..workload(Repeat::Idempotent, DedupGroup::All, 5.0) };
    let unimportant = Workload { importance: 1.0, ..important.clone() };
    let mut ledger = Ledger::new(vec![important, unimportant], limits);
    let mut balancer = ledger.balancer(5, 1, 0);
    let listed: Vec<Listed> = (0..BACKENDS).map(ready).collect();
    ledger.round(&mut balancer, 5_000, |ledger, inbox| ledger.update_list(inbox, &listed));
    (ledger, balancer)
}

/// Each backend executes one query at a time, in 20 ms. From 2 to 12 s each query of workload 0 blocks its backend for
/// 2.5 s, even if cancelled. Returns, for 4 to 12 s and from 16 s on, the fraction of each workload's queries that
/// complete within the SLO time.
fn completed_fractions() -> [[f64; 2]; 2] {
    let (mut ledger, mut balancer) = start();
    let (mut free_us, mut sent, mut done) = ([0; 6], [[0; 2]; 2], [[0; 2]; 2]);
    let start_us = ledger.now_us;
    for step in 0..4_000 {
        ledger.round(&mut balancer, 5_000, |ledger, inbox| {
            let now_us = ledger.now_us - start_us;
            let span = usize::from(now_us > 16_000_000);
            let counts = (4_000_000..12_000_000).contains(&now_us) || now_us > 16_000_000;
            if step % 2 == 0 {
                let class = step / 2 % 3 % 2;
                ledger.send_query(inbox, &format!("{class}-{step:06}"), class, 3_000_000, Some(20_000));
                sent[span][class] += usize::from(counts);
            }
            for (id, number) in ledger.in_flight() {
                let class = usize::from(id.starts_with('1'));
                let (at, at_us) = (
                    ledger.queries[&id].sent[number].backend as usize,
                    ledger.queries[&id].sent[number].at_us,
                );
                if ledger.queries[&id].answer.is_some() {
                    ledger.finish(inbox, &id, number, Ended::Cancelled);
                } else if ledger.now_us >= at_us.max(free_us[at]) + 20_000 {
                    let slow = class == 0 && (2_000_000..12_000_000).contains(&now_us);
                    free_us[at] = ledger.now_us + if slow { 2_500_000 } else { 0 };
                    if !slow {
                        ledger.finish(inbox, &id, number, Ended::Completed);
                        done[span][class] += usize::from(counts && ledger.now_us < at_us + 1_000_000);
                    }
                } else if ledger.now_us >= ledger.queries[&id].sent[number].until_us {
                    ledger.finish(inbox, &id, number, Ended::TimedOut);
                }
            }
        });
    }
    assert_eq!(ledger.violations, Vec::<String>::new());
    let fraction = |span: usize, class: usize| done[span][class] as f64 / sent[span][class].max(1) as f64;
    [0, 1].map(|span| [fraction(span, 0), fraction(span, 1)])
}

#[test]
fn a_stalled_workload_does_not_displace_the_others_and_recovers() {
    let [during, after] = completed_fractions();
    assert!(during[1] > 0.6, "the other workload is served: {during:?}");
    assert!(after[0] > 0.9 && after[1] > 0.9, "both are served again: {after:?}");
}
