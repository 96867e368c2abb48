//! One workload that waits or fails, others as usual: it is bounded, and no backend is judged bad for all.

mod ledger;

use crankpick::balance::Balancer;
use crankpick::interface::*;
use ledger::*;

const BACKENDS: u32 = 6;

fn start() -> (Ledger, Balancer) {
    let limits =
        ExecutionLimits { max_executions: 3, cancel: true, max_backoff_us: 2_000_000, may_duplicate: false };
    let dear = Workload { tardy_importance: 0.0, ..workload(Repeat::Idempotent, DedupGroup::All, 5.0) };
    let cheap = Workload { importance: 1.0, ..dear.clone() };
    let mut ledger = Ledger::new(vec![dear, cheap], limits);
    let mut balancer = ledger.balancer(5, 1, 0);
    let listed: Vec<Listed> = (0..BACKENDS).map(ready).collect();
    ledger.round(&mut balancer, 5_000, |ledger, inbox| ledger.tell(inbox, &listed));
    (ledger, balancer)
}

/// Each backend does one query at a time in 20 ms; from 2 to 12 s one of workload 0 takes 2.5 s beside, whatever is
/// called off. Returns the part of each workload that is completed within its SLO time, in seconds 4 to 12 and from 16.
fn served() -> [[f64; 2]; 2] {
    let (mut ledger, mut balancer) = start();
    let (mut free_us, mut asked, mut done) = ([0; 6], [[0; 2]; 2], [[0; 2]; 2]);
    let begun_us = ledger.now_us;
    for step in 0..4_000 {
        ledger.round(&mut balancer, 5_000, |ledger, inbox| {
            let now_us = ledger.now_us - begun_us;
            let span = usize::from(now_us > 16_000_000);
            let counts = (4_000_000..12_000_000).contains(&now_us) || now_us > 16_000_000;
            if step % 2 == 0 {
                let of = step / 2 % 3 % 2;
                ledger.take(inbox, &format!("{of}-{step:06}"), of, 3_000_000, Some(20_000));
                asked[span][of] += usize::from(counts);
            }
            for (id, number) in ledger.out() {
                let of = usize::from(id.starts_with('1'));
                let (at, at_us) = (
                    ledger.queries[&id].sent[number].backend as usize,
                    ledger.queries[&id].sent[number].at_us,
                );
                if ledger.queries[&id].answer.is_some() {
                    ledger.end(inbox, &id, number, Ended::Cancelled);
                } else if ledger.now_us >= at_us.max(free_us[at]) + 20_000 {
                    let slow = of == 0 && (2_000_000..12_000_000).contains(&now_us);
                    free_us[at] = ledger.now_us + if slow { 2_500_000 } else { 0 };
                    if !slow {
                        ledger.end(inbox, &id, number, Ended::Completed);
                        done[span][of] += usize::from(counts && ledger.now_us < at_us + 1_000_000);
                    }
                } else if ledger.now_us >= ledger.queries[&id].sent[number].until_us {
                    ledger.end(inbox, &id, number, Ended::TimedOut);
                }
            }
        });
    }
    assert_eq!(ledger.wrong, Vec::<String>::new());
    let part = |span: usize, of: usize| done[span][of] as f64 / asked[span][of].max(1) as f64;
    [0, 1].map(|span| [part(span, 0), part(span, 1)])
}

#[test]
fn a_workload_that_waits_everywhere_leaves_the_others_their_places_and_comes_back() {
    let [meanwhile, after] = served();
    assert!(meanwhile[1] > 0.6, "the other workload gets through: {meanwhile:?}");
    assert!(after[0] > 0.9 && after[1] > 0.9, "both are served again: {after:?}");
}
