//! Admission control: requests are rejected only under load, the least urgent first, with a plausible retry delay.

#[path = "support/fixture.rs"]
#[allow(dead_code)]
mod fixture;

use crankpick_dispatch::*;
use fixture::*;
use std::time::Duration;

/// Queues prefill work: sends `count` requests with prompts of 20,000 tokens that never complete.
fn fill(dispatcher: &mut Dispatcher, count: u64, priority: u8) {
    for index in 0..count {
        let request = DispatchRequest { priority, ..request("llm", 20_000, 50) };
        if let Choice::Send(target) = dispatcher.choose(at(index), &request) {
            dispatcher.begin(at(index), target.backend, &request);
        }
    }
}

fn retry_delay(choice: Choice) -> Option<Duration> {
    match choice {
        Choice::Full { retry_after } => Some(retry_after),
        _ => None,
    }
}

#[test]
fn nothing_is_rejected_without_waiting_requests() {
    let mut dispatcher = dispatcher(&engines(2), 1);
    let long = DispatchRequest { priority: 9, ..request("llm", 200_000, 50) };
    target(dispatcher.choose(at(0), &long));
}

#[test]
fn the_least_urgent_requests_are_rejected_first() {
    let mut dispatcher = dispatcher(&engines(2), 1);
    let complete_one = |dispatcher: &mut Dispatcher, priority| {
        send_and_complete(dispatcher, 0, &DispatchRequest { priority, ..request("llm", 500, 50) }, 10)
    };
    complete_one(&mut dispatcher, 0);
    complete_one(&mut dispatcher, 2);
    // Two requests wait at each engine, 333 ms each: more than 0.8 and less than 1.5 times the objective of 500 ms.
    fill(&mut dispatcher, 4, 0);
    let with_priority = |priority| DispatchRequest { priority, ..request("llm", 500, 50) };
    assert!(retry_delay(dispatcher.choose(at(20), &with_priority(2))).is_some());
    assert!(retry_delay(dispatcher.choose(at(20), &with_priority(0))).is_none());
}

#[test]
fn a_rejection_contains_a_retry_delay() {
    let mut dispatcher = dispatcher(&engines(2), 1);
    fill(&mut dispatcher, 200, 0);
    let retry = retry_delay(dispatcher.choose(at(210), &request("llm", 500, 50)));
    let retry = retry.expect("the wait far exceeds the objective at every engine");
    assert!(retry >= Duration::from_millis(100) && retry <= Duration::from_secs(2), "{retry:?}");
}

#[test]
fn a_long_request_is_not_rejected_for_its_own_length() {
    let mut dispatcher = dispatcher(&engines(2), 1);
    // One short request waits at each engine, so that the wait is short but not zero.
    for _ in 0..2 {
        let short = request("llm", 500, 50);
        let target = target(dispatcher.choose(at(0), &short));
        dispatcher.begin(at(0), target.backend, &short);
    }
    target(dispatcher.choose(at(1), &request("llm", 60_000, 50)));
}

#[test]
fn plain_backends_with_full_slots_queue_and_then_reject() {
    let mut dispatcher = dispatcher(&plain_backends(2), 1);
    let route = RoutePolicy { slo: Duration::from_millis(100), idempotent: false, sticky: false };
    let request = DispatchRequest { route, ..request("ledger", 0, 0) };
    let mut sent = 0;
    while let Choice::Send(target) = dispatcher.choose(at(1), &request) {
        dispatcher.begin(at(1), target.backend, &request);
        sent += 1;
        assert!(sent < 1000, "no request is rejected");
    }
    assert!(sent > 12, "only {sent} requests were accepted, which leaves none queued behind the 12 slots");
}
