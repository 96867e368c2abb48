//! Clients that read slowly occupy the few response buffers: this must be distinguished from slow backends, and no
//! client is cut off for it.

mod ledger;

use crankpick::balance::Balancer;
use crankpick::interface::*;
use ledger::*;

const BACKENDS: u32 = 4;

fn start(buffers: Option<usize>) -> (Ledger, Balancer) {
    let limits =
        ExecutionLimits { max_executions: 3, cancel: true, max_backoff_us: 2_000_000, may_duplicate: false };
    let long = Workload { tardy_importance: 0.0, ..workload(Repeat::Idempotent, DedupGroup::All, 1.0) };
    let short = Workload { slo_us: 400_000, ..long.clone() };
    let mut ledger = Ledger::new(vec![long, short], limits);
    ledger.deployment.response_buffers = buffers;
    let mut balancer = ledger.balancer(5, 1, 0);
    let listed: Vec<Listed> = (0..BACKENDS).map(ready).collect();
    ledger.round(&mut balancer, 5_000, |ledger, inbox| ledger.update_list(inbox, &listed));
    (ledger, balancer)
}

fn send_query(ledger: &mut Ledger, balancer: &mut Balancer, id: &str, workload: usize) {
    ledger.round(balancer, 5_000, |ledger, inbox| {
        ledger.send_query(inbox, id, workload, 3_000_000, Some(20_000))
    });
}

/// Completes all executions in flight after 20 ms, except those of `excluded`.
fn complete_except(ledger: &mut Ledger, balancer: &mut Balancer, excluded: &[&str]) {
    ledger.round(balancer, 20_000, |ledger, inbox| {
        for (id, number) in ledger.in_flight() {
            if !excluded.contains(&id.as_str()) {
                ledger.finish(inbox, &id, number, Ended::Completed);
            }
        }
    });
}

fn warm_up(ledger: &mut Ledger, balancer: &mut Balancer) {
    for number in 0..40 {
        send_query(ledger, balancer, &format!("learn{number}"), number % 2);
        complete_except(ledger, balancer, &[]);
    }
}

/// A slow reader occupies the only buffer, and an answer from another backend waits behind it. A query whose time ends
/// before the buffer is free is rejected at once; one whose time ends later is executed.
#[test]
fn a_query_that_would_only_wait_for_a_buffer_is_not_executed() {
    let (mut ledger, mut balancer) = start(Some(1));
    warm_up(&mut ledger, &mut balancer);
    send_query(&mut ledger, &mut balancer, "slow", 0);
    send_query(&mut ledger, &mut balancer, "behind", 0);
    (0..90).for_each(|_| ledger.round(&mut balancer, 5_000, |_, _| {}));
    send_query(&mut ledger, &mut balancer, "short", 1);
    assert_eq!(
        ledger.queries["short"].answer,
        Some("rejected"),
        "its SLO time ends before the buffer is free"
    );
    assert!(ledger.queries["short"].sent.is_empty() && !ledger.backoffs_us.is_empty());
    send_query(&mut ledger, &mut balancer, "long", 0);
    assert_eq!(ledger.queries["long"].sent.len(), 1, "it can still be read in time");
    assert_eq!(ledger.queries["slow"].answer, None, "no client is cut off for one slow answer");
    (0..100).for_each(|_| ledger.round(&mut balancer, 5_000, |_, _| {}));
    complete_except(&mut ledger, &mut balancer, &["slow"]);
    send_query(&mut ledger, &mut balancer, "after", 1);
    assert_eq!(ledger.queries["after"].sent.len(), 1, "the buffer is free again");
}

/// While other answers still arrive, a single backend is late and the buffers are not occupied.
#[test]
fn a_late_backend_is_not_a_slow_reader() {
    for buffers in [Some(1), None] {
        let (mut ledger, mut balancer) = start(buffers);
        warm_up(&mut ledger, &mut balancer);
        send_query(&mut ledger, &mut balancer, "slow", 0);
        for number in 0..20 {
            send_query(&mut ledger, &mut balancer, &format!("other{number}"), 0);
            complete_except(&mut ledger, &mut balancer, &["slow"]);
        }
        send_query(&mut ledger, &mut balancer, "short", 1);
        assert_eq!(ledger.queries["short"].sent.len(), 1, "buffers {buffers:?}");
    }
}

/// Occupied buffers are not the backends' fault: none may be ejected or considered slow afterwards.
#[test]
fn occupied_buffers_do_not_affect_backend_estimates() {
    let (mut ledger, mut balancer) = start(Some(2));
    warm_up(&mut ledger, &mut balancer);
    for id in ["slow-a", "slow-b", "behind-a", "behind-b", "behind-c"] {
        send_query(&mut ledger, &mut balancer, id, 0);
    }
    (0..195).for_each(|_| ledger.round(&mut balancer, 5_000, |_, _| {}));
    (0..10).for_each(|_| {
        ledger.round(&mut balancer, 5_000, |ledger, inbox| {
            for (id, number) in ledger.in_flight() {
                if ledger.now_us >= ledger.queries[&id].sent[number].until_us {
                    ledger.finish(inbox, &id, number, Ended::TimedOut);
                }
            }
        })
    });
    let mut used = [0; 4];
    for number in 0..40 {
        let id = format!("after{number}");
        send_query(&mut ledger, &mut balancer, &id, 0);
        used[ledger.queries[&id].sent.first().expect("sent at once").backend as usize] += 1;
        complete_except(&mut ledger, &mut balancer, &["slow-a", "slow-b"]);
    }
    assert!(used.iter().all(|used| *used >= 5), "{used:?}");
    ledger.violations.retain(|violation| !violation.contains("no answer in time"));
    assert_eq!(ledger.violations, Vec::<String>::new());
}
