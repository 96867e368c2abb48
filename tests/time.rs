//! The time left on a query where clocks differ: one notion for time-outs, rejections and what is too late to try.

mod ledger;

use crankpick::balance::Balancer;
use crankpick::interface::*;
use ledger::*;

const ERROR_US: u64 = 3_000_000;

/// A proxy before `backends`, where late answers earn nothing and the time left may be off by `error_us`.
fn start(kind: Repeat, backends: u32, error_us: u64) -> (Ledger, Balancer) {
    let limits =
        ExecutionLimits { max_executions: 4, cancel: true, max_backoff_us: 2_000_000, may_duplicate: false };
    let workload = Workload { tardy_importance: 0.0, ..workload(kind, DedupGroup::All, 1.0) };
    let mut ledger = Ledger::new(vec![workload], limits);
    ledger.standing.clocks.deadline_us = error_us;
    let mut balancer = ledger.balancer(5, 2, 0);
    let listed: Vec<Listed> = (0..backends).map(ready).collect();
    ledger.round(&mut balancer, 5_000, |ledger, inbox| ledger.tell(inbox, &listed));
    (ledger, balancer)
}

fn ask(ledger: &mut Ledger, balancer: &mut Balancer, id: &str, ttl_us: u64) {
    ledger.round(balancer, 5_000, |ledger, inbox| ledger.take(inbox, id, 0, ttl_us, None));
}

fn end(ledger: &mut Ledger, balancer: &mut Balancer, id: &str, after_us: u64, ended: Ended) {
    let number = ledger.queries[id].sent.len() - 1;
    ledger.round(balancer, after_us, |ledger, inbox| ledger.end(inbox, id, number, ended));
}

#[test]
fn what_is_told_to_have_no_time_left_is_tried_where_that_may_be_wrong() {
    let (mut ledger, mut balancer) = start(Repeat::Idempotent, 3, ERROR_US);
    ask(&mut ledger, &mut balancer, "q", 0);
    assert_eq!(ledger.queries["q"].sent.len(), 1, "it may have its whole time");
    end(&mut ledger, &mut balancer, "q", 300_000, Ended::Completed);
    assert_eq!((ledger.queries["q"].answer, ledger.wrong), (Some("completed"), vec![]));
    let (mut ledger, mut balancer) = start(Repeat::Idempotent, 3, 0);
    ask(&mut ledger, &mut balancer, "q", 0);
    assert_eq!(ledger.queries["q"].answer, Some("rejected"), "clocks agree: it has none");
}

/// A backend ahead of us takes what ends soon for expired, so that time-outs are the longest that a client may wait;
/// and here the SLO time, shorter than the error, ends what is still out.
#[test]
fn time_outs_are_the_longest_and_the_slo_time_ends_what_is_out() {
    let (mut ledger, mut balancer) = start(Repeat::Idempotent, 3, ERROR_US);
    ask(&mut ledger, &mut balancer, "q", 500_000);
    let (at_us, sent) = (ledger.now_us, &ledger.queries["q"].sent[0]);
    assert_eq!(sent.until_us - sent.at_us, 500_000 + ERROR_US);
    while ledger.queries["q"].answer.is_none() && ledger.now_us < at_us + 2_000_000 {
        ledger.round(&mut balancer, 5_000, |_, _| {});
    }
    assert_eq!(ledger.queries["q"].answer, Some("rejected"));
    assert!((1_000_000..1_060_000).contains(&(ledger.now_us - at_us)), "at the end of the SLO time");
    assert_eq!(ledger.advised, [2_000_000], "told when to come back");
}

/// What a client's own end cut off is answered then, and tells nothing against the backend.
#[test]
fn a_time_out_before_ours_is_the_clients_end() {
    let (mut ledger, mut balancer) = start(Repeat::Idempotent, 3, ERROR_US);
    for number in 0..40 {
        let id = format!("q{number}");
        ask(&mut ledger, &mut balancer, &id, 900_000);
        // Those at the second backend have little time in truth.
        let short = ledger.queries[&id].sent[0].backend == 1;
        let ended = if short { Ended::TimedOut } else { Ended::Completed };
        end(&mut ledger, &mut balancer, &id, 20_000, ended);
        assert!(ledger.queries[&id].answer.is_some(), "{id} is answered at once");
    }
    let at = |backend| ledger.queries.values().filter(|qry| qry.sent[0].backend == backend).count();
    assert!(at(1) >= 8, "it is used on: {} {} {}", at(0), at(1), at(2));
    assert_eq!(ledger.wrong, Vec::<String>::new());
}

#[test]
fn full_by_a_clock_is_not_full_by_load() {
    for (error_us, rests) in [(ERROR_US, false), (0, true)] {
        let (mut ledger, mut balancer) = start(Repeat::Idempotent, 3, error_us);
        let mut after = 0;
        for number in 0..60 {
            let id = format!("q{number}");
            ask(&mut ledger, &mut balancer, &id, 900_000);
            let at = ledger.queries[&id].sent[0].backend;
            after += usize::from(at == 1);
            let ended = if at == 1 { Ended::Rejected } else { Ended::Completed };
            end(&mut ledger, &mut balancer, &id, 5_000, ended);
            if ledger.queries[&id].answer.is_none() {
                end(&mut ledger, &mut balancer, &id, 5_000, Ended::Completed);
            }
        }
        assert_eq!(after < 10, rests, "{after} of 60 went there, error {error_us}");
        assert_eq!(ledger.wrong, Vec::<String>::new());
    }
}

#[test]
fn what_must_never_run_twice_is_aborted_at_its_end_and_not_rejected() {
    let (mut ledger, mut balancer) = start(Repeat::NonIdempotent, 3, ERROR_US);
    ask(&mut ledger, &mut balancer, "q", 100_000);
    (0..210).for_each(|_| ledger.round(&mut balancer, 5_000, |_, _| {}));
    assert_eq!((ledger.queries["q"].answer, ledger.wrong), (Some("aborted"), vec![]));
}
