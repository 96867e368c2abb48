//! Clients that read slowly hold the few buffers for answers: told from slow backends, and nobody is cut off for it.

mod ledger;

use crankpick::balance::Balancer;
use crankpick::interface::*;
use ledger::*;

const BACKENDS: u32 = 4;

fn start(room: Option<usize>) -> (Ledger, Balancer) {
    let limits =
        ExecutionLimits { max_executions: 3, cancel: true, max_backoff_us: 2_000_000, may_duplicate: false };
    let long = Workload { tardy_importance: 0.0, ..workload(Repeat::Idempotent, DedupGroup::All, 1.0) };
    let short = Workload { slo_us: 400_000, ..long.clone() };
    let mut ledger = Ledger::new(vec![long, short], limits);
    ledger.standing.response_buffers = room;
    let mut balancer = ledger.balancer(5, 1, 0);
    let listed: Vec<Listed> = (0..BACKENDS).map(ready).collect();
    ledger.round(&mut balancer, 5_000, |ledger, inbox| ledger.tell(inbox, &listed));
    (ledger, balancer)
}

fn take(ledger: &mut Ledger, balancer: &mut Balancer, id: &str, workload: usize) {
    ledger.round(balancer, 5_000, |ledger, inbox| ledger.take(inbox, id, workload, 3_000_000, Some(20_000)));
}

/// All that is out and was sent 20 ms ago comes back, but for `held`.
fn serve(ledger: &mut Ledger, balancer: &mut Balancer, held: &[&str]) {
    ledger.round(balancer, 20_000, |ledger, inbox| {
        for (id, number) in ledger.out() {
            if !held.contains(&id.as_str()) {
                ledger.end(inbox, &id, number, Ended::Completed);
            }
        }
    });
}

fn learn(ledger: &mut Ledger, balancer: &mut Balancer) {
    for number in 0..40 {
        take(ledger, balancer, &format!("learn{number}"), number % 2);
        serve(ledger, balancer, &[]);
    }
}

/// A slow reader holds the only buffer, and an answer from another backend waits behind it. What would end before the
/// buffer is free is answered at once, what ends after it is executed.
#[test]
fn what_would_only_wait_for_a_buffer_is_not_executed() {
    let (mut ledger, mut balancer) = start(Some(1));
    learn(&mut ledger, &mut balancer);
    take(&mut ledger, &mut balancer, "slow", 0);
    take(&mut ledger, &mut balancer, "behind", 0);
    (0..90).for_each(|_| ledger.round(&mut balancer, 5_000, |_, _| {}));
    take(&mut ledger, &mut balancer, "short", 1);
    assert_eq!(
        ledger.queries["short"].answer,
        Some("rejected"),
        "its SLO time ends before the buffer is free"
    );
    assert!(ledger.queries["short"].sent.is_empty() && !ledger.advised.is_empty());
    take(&mut ledger, &mut balancer, "long", 0);
    assert_eq!(ledger.queries["long"].sent.len(), 1, "it can still be read in time");
    assert_eq!(ledger.queries["slow"].answer, None, "nobody is cut off for one slow answer");
    (0..100).for_each(|_| ledger.round(&mut balancer, 5_000, |_, _| {}));
    serve(&mut ledger, &mut balancer, &["slow"]);
    take(&mut ledger, &mut balancer, "after", 1);
    assert_eq!(ledger.queries["after"].sent.len(), 1, "the buffer is free again");
}

/// While answers still come back it is one backend that is late, and the buffers are not taken.
#[test]
fn a_late_backend_is_not_a_slow_reader() {
    for room in [Some(1), None] {
        let (mut ledger, mut balancer) = start(room);
        learn(&mut ledger, &mut balancer);
        take(&mut ledger, &mut balancer, "slow", 0);
        for number in 0..20 {
            take(&mut ledger, &mut balancer, &format!("other{number}"), 0);
            serve(&mut ledger, &mut balancer, &["slow"]);
        }
        take(&mut ledger, &mut balancer, "short", 1);
        assert_eq!(ledger.queries["short"].sent.len(), 1, "room {room:?}");
    }
}

/// Buffers taken for a while are no backend's fault: none is shut or held for slow afterwards.
#[test]
fn held_buffers_teach_nothing_about_backends() {
    let (mut ledger, mut balancer) = start(Some(2));
    learn(&mut ledger, &mut balancer);
    for id in ["slow-a", "slow-b", "behind-a", "behind-b", "behind-c"] {
        take(&mut ledger, &mut balancer, id, 0);
    }
    (0..195).for_each(|_| ledger.round(&mut balancer, 5_000, |_, _| {}));
    (0..10).for_each(|_| {
        ledger.round(&mut balancer, 5_000, |ledger, inbox| {
            for (id, number) in ledger.out() {
                if ledger.now_us >= ledger.queries[&id].sent[number].until_us {
                    ledger.end(inbox, &id, number, Ended::TimedOut);
                }
            }
        })
    });
    let mut used = [0; 4];
    for number in 0..40 {
        let id = format!("after{number}");
        take(&mut ledger, &mut balancer, &id, 0);
        used[ledger.queries[&id].sent.first().expect("taken at once").backend as usize] += 1;
        serve(&mut ledger, &mut balancer, &["slow-a", "slow-b"]);
    }
    assert!(used.iter().all(|used| *used >= 5), "{used:?}");
    ledger.wrong.retain(|wrong| !wrong.contains("no answer in time"));
    assert_eq!(ledger.wrong, Vec::<String>::new());
}
