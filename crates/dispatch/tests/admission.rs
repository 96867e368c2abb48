//! Refusals: only where places are taken, the least urgent first, with a sound time to come again.

#[path = "support/scene.rs"]
#[allow(dead_code)]
mod scene;

use crankpick_dispatch::*;
use scene::*;
use std::time::Duration;

/// Fills the engines with what waits to be read: so many requests of 20,000 tokens each.
fn fill(dispatcher: &mut Dispatcher, count: u64, priority: u8) {
    for turn in 0..count {
        let request = DispatchRequest { priority, ..request("llm", 20_000, 50) };
        if let Choice::Send(target) = dispatcher.choose(at(turn), &request) {
            dispatcher.begin(at(turn), target.backend, &request);
        }
    }
}

fn refused(choice: Choice) -> Option<Duration> {
    match choice {
        Choice::Full { retry_after } => Some(retry_after),
        _ => None,
    }
}

#[test]
fn nothing_is_refused_while_nothing_waits() {
    let mut dispatcher = dispatcher(&engines(2), 1);
    let long = DispatchRequest { priority: 9, ..request("llm", 200_000, 50) };
    target(dispatcher.choose(at(0), &long));
}

#[test]
fn the_least_urgent_are_refused_first() {
    let mut dispatcher = dispatcher(&engines(2), 1);
    let play_one = |dispatcher: &mut Dispatcher, priority| {
        play(dispatcher, 0, &DispatchRequest { priority, ..request("llm", 500, 50) }, 10)
    };
    play_one(&mut dispatcher, 0);
    play_one(&mut dispatcher, 2);
    // Two deep at each, 333 ms each: past 0.8 objectives of 500 ms and below 1.5 of them.
    fill(&mut dispatcher, 4, 0);
    let at_all = |priority| DispatchRequest { priority, ..request("llm", 500, 50) };
    assert!(refused(dispatcher.choose(at(20), &at_all(2))).is_some());
    assert!(refused(dispatcher.choose(at(20), &at_all(0))).is_none());
}

#[test]
fn a_refusal_says_when_to_come_again() {
    let mut dispatcher = dispatcher(&engines(2), 1);
    fill(&mut dispatcher, 200, 0);
    let retry = refused(dispatcher.choose(at(210), &request("llm", 500, 50)));
    let retry = retry.expect("all wait far past their objective");
    assert!(retry >= Duration::from_millis(100) && retry <= Duration::from_secs(2), "{retry:?}");
}

#[test]
fn a_long_request_is_not_refused_for_its_own_length() {
    let mut dispatcher = dispatcher(&engines(2), 1);
    // One short request waits at each, so that something waits, though not for long.
    for _ in 0..2 {
        let short = request("llm", 500, 50);
        let target = target(dispatcher.choose(at(0), &short));
        dispatcher.begin(at(0), target.backend, &short);
    }
    target(dispatcher.choose(at(1), &request("llm", 60_000, 50)));
}

#[test]
fn full_slots_of_plain_backends_queue_and_then_refuse() {
    let mut dispatcher = dispatcher(&ledgers(2), 1);
    let terms = RoutePolicy { slo: Duration::from_millis(100), idempotent: false, sticky: false };
    let once = DispatchRequest { route: terms, ..request("ledger", 0, 0) };
    let mut sent = 0;
    while let Choice::Send(target) = dispatcher.choose(at(1), &once) {
        dispatcher.begin(at(1), target.backend, &once);
        sent += 1;
        assert!(sent < 1000, "nothing is ever refused");
    }
    assert!(sent > 12, "a few wait behind the slots: {sent}");
}
