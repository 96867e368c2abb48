//! Outlier ejection by outcomes and silence, recovery by trials, and the limit on ejected backends.

#[path = "support/fixture.rs"]
#[allow(dead_code)]
mod fixture;

use crankpick_dispatch::*;
use fixture::*;

fn in_one_zone(mut view: FleetView) -> FleetView {
    view.backends.iter_mut().for_each(|backend| backend.zone = "a".into());
    view
}

/// Sends `count` requests; those to the backend `failing` end with `outcome`, all others complete. Returns how many went
/// to `failing`.
fn send_requests(
    dispatcher: &mut Dispatcher,
    from_ms: u64,
    count: u64,
    failing: &str,
    outcome: Outcome,
) -> usize {
    let request = request("llm", 500, 50);
    let mut reached = 0;
    for index in 0..count {
        let now_ms = from_ms + index * 20;
        let target = target(dispatcher.choose(at(now_ms), &request));
        let ticket = dispatcher.begin(at(now_ms), target.backend, &request);
        if &*target.id == failing {
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
fn a_backend_that_accepts_no_connections_is_ejected_at_once() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    let reached = send_requests(&mut dispatcher, 0, 15, "llm-1", Outcome::NoConnection);
    assert_eq!(reached, 1);
}

#[test]
fn resets_and_errors_eject_after_three_failures() {
    for outcome in [Outcome::Reset, Outcome::BackendError] {
        let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
        let reached = send_requests(&mut dispatcher, 0, 24, "llm-1", outcome);
        assert_eq!(reached, 3, "{outcome:?}");
    }
}

#[test]
fn ejection_times_grow_and_each_ends_with_a_trial() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    // One request every 20 ms for 20 s: the first failure, then trials after about 0.5, 1, 2, 4 and 8 s.
    let reached = send_requests(&mut dispatcher, 0, 1000, "llm-1", Outcome::NoConnection);
    assert!((5..=7).contains(&reached), "{reached}");
}

#[test]
fn one_trial_is_in_flight_at_a_time_and_success_ends_the_ejection() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    send_requests(&mut dispatcher, 0, 15, "llm-1", Outcome::NoConnection);
    let request = request("llm", 500, 50);
    let mut trials = Vec::new();
    for index in 0..40 {
        let target = target(dispatcher.choose(at(1500 + index), &request));
        let ticket = dispatcher.begin(at(1500 + index), target.backend, &request);
        match &*target.id {
            "llm-1" => trials.push(ticket),
            _ => dispatcher.end(at(1500 + index), ticket, Outcome::Done),
        }
    }
    assert_eq!(trials.len(), 1);
    dispatcher.first_event(at(1541), trials[0], None);
    dispatcher.end(at(1541), trials[0], Outcome::Done);
    let reached = send_requests(&mut dispatcher, 1600, 40, "llm-1", Outcome::ClientGone);
    assert_eq!(reached, 10);
}

#[test]
fn requests_that_are_not_idempotent_become_trials_later() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    send_requests(&mut dispatcher, 0, 15, "llm-1", Outcome::NoConnection);
    let not_idempotent = RoutePolicy { idempotent: false, ..ROUTE };
    let mut reached_at = None;
    for now_ms in (400..4000).step_by(20) {
        let request = DispatchRequest { route: not_idempotent, ..request("llm", 500, 50) };
        let target = send_and_complete(&mut dispatcher, now_ms, &request, 5);
        reached_at = reached_at.or((&*target.id == "llm-1").then_some(now_ms));
    }
    let reached_at = reached_at.expect("a trial is sent eventually");
    assert!((1300..2000).contains(&reached_at), "{reached_at}");
}

#[test]
fn no_more_than_half_of_a_service_is_ejected() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(6)), 1);
    let request = request("llm", 500, 50);
    for index in 0..200 {
        send_and_fail(&mut dispatcher, index * 5, &request, Outcome::NoConnection);
    }
    let mut reached = std::collections::BTreeSet::new();
    for index in 0..60 {
        let target = target(dispatcher.choose(at(1001 + index), &request));
        dispatcher.begin(at(1001 + index), target.backend, &request);
        reached.insert(target.backend);
    }
    assert!(reached.len() >= 3, "{reached:?}");
}

#[test]
fn a_single_backend_is_used_despite_failures() {
    let mut dispatcher = dispatcher(&engines(1), 1);
    for index in 0..50 {
        send_and_fail(&mut dispatcher, index * 5, &request("llm", 500, 50), Outcome::TimedOut);
    }
    target(dispatcher.choose(at(400), &request("llm", 500, 50)));
}

#[test]
fn a_silent_backend_is_avoided_before_any_attempt_times_out() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    let request = request("llm", 500, 50);
    let mut sent_to_silent = 0;
    // llm-1 never responds: the overdue attempt in flight reveals it long before any attempt times out.
    for index in 0..100 {
        let now_ms = index * 20;
        let target = target(dispatcher.choose(at(now_ms), &request));
        let ticket = dispatcher.begin(at(now_ms), target.backend, &request);
        if &*target.id == "llm-1" {
            sent_to_silent += 1;
        } else {
            dispatcher.first_event(at(now_ms + 10), ticket, None);
            dispatcher.end(at(now_ms + 10), ticket, Outcome::Done);
        }
    }
    assert_eq!(sent_to_silent, 1);
}

#[test]
fn silent_streams_reveal_an_unresponsive_backend() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(2)), 1);
    let request = request("llm", 500, 500);
    let first = target(dispatcher.choose(at(0), &request));
    let ticket = dispatcher.begin(at(0), first.backend, &request);
    dispatcher.first_event(at(12), ticket, None);
    (1..10).for_each(|event| dispatcher.event(at(12 + event * 25), ticket, 7));
    for index in 0..10 {
        let target = target(dispatcher.choose(at(800 + index), &request));
        assert_ne!(target.backend, first.backend);
    }
}

#[test]
fn a_stalled_gateway_ejects_no_backend() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(2)), 1);
    let request = request("llm", 500, 50);
    let target = target(dispatcher.choose(at(0), &request));
    let ticket = dispatcher.begin(at(0), target.backend, &request);
    // The gateway process is stalled for four seconds, then the client has disconnected.
    dispatcher.end(at(4000), ticket, Outcome::ClientGone);
    let reached = send_requests(&mut dispatcher, 4001, 10, &target.id, Outcome::ClientGone);
    assert_eq!(reached, 5);
}

#[test]
fn a_slow_backend_receives_fewer_requests() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(4)), 1);
    let mut reached = 0;
    for index in 0..400 {
        let parts = [PromptPart { id: 5000 + index, tokens: 3000 }];
        let route = RoutePolicy { sticky: true, ..ROUTE };
        let request = DispatchRequest { route, parts: &parts, ..request("llm", 3000, 50) };
        let target = target(dispatcher.choose(at(index * 40), &request));
        let ticket = dispatcher.begin(at(index * 40), target.backend, &request);
        let slow = &*target.id == "llm-1";
        let elapsed_ms = if slow { 300 } else { 60 };
        reached += u32::from(slow && index >= 200);
        dispatcher.first_event(at(index * 40 + elapsed_ms), ticket, None);
        dispatcher.end(at(index * 40 + elapsed_ms), ticket, Outcome::Done);
    }
    assert!(reached < 20, "{reached} of 200");
}

#[test]
fn a_refusal_pauses_requests_briefly_without_ejection() {
    let mut dispatcher = dispatcher(&in_one_zone(engines(2)), 1);
    let request = request("llm", 500, 50);
    let refusing = send_and_fail(&mut dispatcher, 0, &request, Outcome::Refused);
    for index in 2..10 {
        assert_ne!(target(dispatcher.choose(at(index), &request)).backend, refusing.backend);
    }
    let reached = send_requests(&mut dispatcher, 300, 10, &refusing.id, Outcome::Done);
    assert_eq!(reached, 5);
}

#[test]
fn a_ticket_is_invalid_after_its_end() {
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
