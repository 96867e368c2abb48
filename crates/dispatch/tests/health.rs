//! Ejection by outcomes and silence, return by trials, and that a service never runs out of backends.

#[path = "support/scene.rs"]
#[allow(dead_code)]
mod scene;

use crankpick_dispatch::*;
use scene::*;

fn in_one_zone(mut view: FleetView) -> FleetView {
    view.backends.iter_mut().for_each(|backend| backend.zone = "a".into());
    view
}

/// Sends to `bad` fail so, all others are answered; how many of `count` reached it.
fn traffic(dispatcher: &mut Dispatcher, from_ms: u64, count: u64, bad: &str, outcome: Outcome) -> usize {
    let request = request("llm", 500, 50);
    let mut reached = 0;
    for turn in 0..count {
        let now_ms = from_ms + turn * 20;
        let target = target(dispatcher.choose(at(now_ms), &request));
        let ticket = dispatcher.begin(at(now_ms), target.backend, &request);
        if &*target.id == bad {
            reached += 1;
            dispatcher.end(at(now_ms + 2), ticket, outcome);
        } else {
            dispatcher.first_event(at(now_ms + 10), ticket, None);
            dispatcher.end(at(now_ms + 10), ticket, Outcome::Done);
        }
    }
    reached
}

#[test]
fn a_backend_without_connections_is_ejected_at_once() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    let reached = traffic(&mut dispatcher, 0, 15, "llm-1", Outcome::NoConnection);
    assert_eq!(reached, 1);
}

#[test]
fn resets_and_errors_eject_after_a_few() {
    for outcome in [Outcome::Reset, Outcome::BackendError] {
        let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
        let reached = traffic(&mut dispatcher, 0, 24, "llm-1", outcome);
        assert_eq!(reached, 3, "{outcome:?}");
    }
}

#[test]
fn rests_grow_and_each_ends_in_a_trial() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    // A request each 20 ms for 20 s: the first one, then trials after about 0.5, 1, 2, 4 and 8 s.
    let reached = traffic(&mut dispatcher, 0, 1000, "llm-1", Outcome::NoConnection);
    assert!((5..=7).contains(&reached), "{reached}");
}

#[test]
fn one_trial_is_out_at_a_time_and_a_good_one_brings_it_back() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    traffic(&mut dispatcher, 0, 15, "llm-1", Outcome::NoConnection);
    let request = request("llm", 500, 50);
    let mut trials = Vec::new();
    for turn in 0..40 {
        let target = target(dispatcher.choose(at(1500 + turn), &request));
        let ticket = dispatcher.begin(at(1500 + turn), target.backend, &request);
        match &*target.id {
            "llm-1" => trials.push(ticket),
            _ => dispatcher.end(at(1500 + turn), ticket, Outcome::Done),
        }
    }
    assert_eq!(trials.len(), 1);
    dispatcher.first_event(at(1541), trials[0], None);
    dispatcher.end(at(1541), trials[0], Outcome::Done);
    let reached = traffic(&mut dispatcher, 1600, 40, "llm-1", Outcome::ClientGone);
    assert_eq!(reached, 10);
}

#[test]
fn trials_are_left_to_requests_that_may_run_twice_for_a_while() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    traffic(&mut dispatcher, 0, 15, "llm-1", Outcome::NoConnection);
    let once = RoutePolicy { idempotent: false, ..TERMS };
    let mut reached_at = None;
    for now_ms in (400..4000).step_by(20) {
        let request = DispatchRequest { route: once, ..request("llm", 500, 50) };
        let target = play(&mut dispatcher, now_ms, &request, 5);
        reached_at = reached_at.or((&*target.id == "llm-1").then_some(now_ms));
    }
    let reached_at = reached_at.expect("it is tried in the end");
    assert!((1300..2000).contains(&reached_at), "{reached_at}");
}

#[test]
fn no_more_than_half_of_a_service_is_ejected() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(6)), 1);
    let request = request("llm", 500, 50);
    for turn in 0..200 {
        fail(&mut dispatcher, turn * 5, &request, Outcome::NoConnection);
    }
    let mut reached = std::collections::BTreeSet::new();
    for turn in 0..60 {
        let target = target(dispatcher.choose(at(1001 + turn), &request));
        dispatcher.begin(at(1001 + turn), target.backend, &request);
        reached.insert(target.backend);
    }
    assert!(reached.len() >= 3, "{reached:?}");
}

#[test]
fn a_single_backend_is_used_whatever_it_does() {
    let mut dispatcher = dispatcher(&engines(1), 1);
    for turn in 0..50 {
        fail(&mut dispatcher, turn * 5, &request("llm", 500, 50), Outcome::TimedOut);
    }
    target(dispatcher.choose(at(400), &request("llm", 500, 50)));
}

#[test]
fn a_backend_that_fell_silent_is_left_before_any_time_out() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    let request = request("llm", 500, 50);
    let mut into_dark = 0;
    // llm-1 says nothing from the start: what is out there shows it, well before anyone gives up.
    for turn in 0..100 {
        let now_ms = turn * 20;
        let target = target(dispatcher.choose(at(now_ms), &request));
        let ticket = dispatcher.begin(at(now_ms), target.backend, &request);
        if &*target.id == "llm-1" {
            into_dark += 1;
        } else {
            dispatcher.first_event(at(now_ms + 10), ticket, None);
            dispatcher.end(at(now_ms + 10), ticket, Outcome::Done);
        }
    }
    assert_eq!(into_dark, 1);
}

#[test]
fn streams_that_fall_silent_show_a_dark_backend() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(2)), 1);
    let request = request("llm", 500, 500);
    let first = target(dispatcher.choose(at(0), &request));
    let ticket = dispatcher.begin(at(0), first.backend, &request);
    dispatcher.first_event(at(12), ticket, None);
    (1..10).for_each(|event| dispatcher.event(at(12 + event * 25), ticket, 7));
    for turn in 0..10 {
        let target = target(dispatcher.choose(at(800 + turn), &request));
        assert_ne!(target.backend, first.backend);
    }
}

#[test]
fn a_gateway_that_stood_still_blames_nobody() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(2)), 1);
    let request = request("llm", 500, 50);
    let target = target(dispatcher.choose(at(0), &request));
    let ticket = dispatcher.begin(at(0), target.backend, &request);
    // Frozen for four seconds, then the client is gone.
    dispatcher.end(at(4000), ticket, Outcome::ClientGone);
    let reached = traffic(&mut dispatcher, 4001, 10, &target.id, Outcome::ClientGone);
    assert_eq!(reached, 5);
}

#[test]
fn a_slow_backend_gets_less() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    let mut reached = 0;
    for turn in 0..400 {
        let parts = [PromptPart { id: 5000 + turn, tokens: 3000 }];
        let route = RoutePolicy { sticky: true, ..TERMS };
        let request = DispatchRequest { route, parts: &parts, ..request("llm", 3000, 50) };
        let target = target(dispatcher.choose(at(turn * 40), &request));
        let ticket = dispatcher.begin(at(turn * 40), target.backend, &request);
        let slow = &*target.id == "llm-1";
        let took_ms = if slow { 300 } else { 60 };
        reached += u32::from(slow && turn >= 200);
        dispatcher.first_event(at(turn * 40 + took_ms), ticket, None);
        dispatcher.end(at(turn * 40 + took_ms), ticket, Outcome::Done);
    }
    assert!(reached < 20, "{reached} of 200");
}

#[test]
fn a_refusal_keeps_requests_away_for_a_moment_and_ejects_nobody() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(2)), 1);
    let request = request("llm", 500, 50);
    let full = fail(&mut dispatcher, 0, &request, Outcome::Refused);
    for turn in 2..10 {
        assert_ne!(target(dispatcher.choose(at(turn), &request)).backend, full.backend);
    }
    let reached = traffic(&mut dispatcher, 300, 10, &full.id, Outcome::Done);
    assert_eq!(reached, 5);
}

#[test]
fn a_ticket_ends_once() {
    let mut dispatcher = dispatcher(&engines(1), 1);
    let request = request("llm", 500, 50);
    let target = target(dispatcher.choose(at(0), &request));
    let ticket = dispatcher.begin(at(0), target.backend, &request);
    dispatcher.end(at(5), ticket, Outcome::Done);
    let other = dispatcher.begin(at(6), target.backend, &request);
    dispatcher.end(at(7), ticket, Outcome::TimedOut);
    dispatcher.first_event(at(8), ticket, None);
    dispatcher.end(at(9), other, Outcome::Done);
}
