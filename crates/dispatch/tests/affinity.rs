//! Sessions find the same backend from every gateway, and another where that one is over.

#[path = "support/fixture.rs"]
#[allow(dead_code)]
mod fixture;

use crankpick_dispatch::*;
use fixture::*;
use std::collections::BTreeSet;

#[test]
fn gateways_of_a_zone_send_a_session_to_the_same_backend() {
    let view = engines(12);
    let mut gateways: Vec<Dispatcher> = (0..4).map(|seed| dispatcher(&view, seed)).collect();
    for session in 0..50 {
        let homes: BTreeSet<BackendKey> = gateways
            .iter_mut()
            .map(|gateway| {
                target(gateway.choose(at(1), &session_request(&session_parts(session, 0)))).backend
            })
            .collect();
        assert_eq!(homes.len(), 1, "session {session}");
    }
}

#[test]
fn long_sessions_have_one_home_for_all_zones() {
    let view = engines(12);
    let mut here = dispatcher(&view, 1);
    let mut there = Dispatcher::new(DispatcherSettings::new("b"), 2);
    there.update(at(0), &view);
    let same = (0..50).filter(|session| {
        let parts = session_parts(*session, 0);
        let request = session_request(&parts);
        target(here.choose(at(1), &request)).id == target(there.choose(at(1), &request)).id
    });
    assert!(same.count() >= 45);
}

#[test]
fn sessions_spread_over_all_backends() {
    let mut dispatcher = dispatcher(&engines(8), 1);
    let homes: BTreeSet<BackendKey> = (0..200)
        .map(|session| target(dispatcher.choose(at(1), &session_request(&session_parts(session, 0)))).backend)
        .collect();
    assert_eq!(homes.len(), 8);
}

#[test]
fn a_session_comes_back_to_where_it_was_read() {
    let mut dispatcher = dispatcher(&engines(12), 1);
    let home = play(&mut dispatcher, 0, &session_request(&session_parts(3, 0)), 80);
    for turn in 1..20 {
        let next = play(&mut dispatcher, turn * 500, &session_request(&session_parts(3, turn)), 40);
        assert_eq!(next.id, home.id);
    }
}

#[test]
fn a_home_that_is_over_its_bound_gives_way_to_the_next() {
    let mut dispatcher = dispatcher(&engines(12), 1);
    let mut reached = BTreeSet::new();
    for turn in 0..40 {
        let parts = session_parts(3, turn);
        let request = session_request(&parts);
        let target = target(dispatcher.choose(at(turn), &request));
        dispatcher.begin(at(turn), target.backend, &request);
        reached.insert(target.backend);
    }
    assert!(reached.len() > 2, "{reached:?}");
}

#[test]
fn a_backend_that_leaves_moves_its_own_sessions_only() {
    let mut view = engines(12);
    let mut dispatcher = dispatcher(&view, 1);
    let homes = |dispatcher: &mut Dispatcher, now_ms: u64| -> Vec<String> {
        let home = |session| {
            let parts = session_parts(session, 0);
            target(dispatcher.choose(at(now_ms), &session_request(&parts))).id.to_string()
        };
        (0..200).map(home).collect()
    };
    let before = homes(&mut dispatcher, 1);
    view.backends[4].state = BackendState::Draining;
    dispatcher.update(at(2), &view);
    let after = homes(&mut dispatcher, 3);
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || before == "llm-4", "{before} {after}");
    }
}

#[test]
fn candidates_are_bounded_where_backends_are_many() {
    let view = engines(3300);
    let mut here = dispatcher(&view, 1);
    let mut same_zone = dispatcher(&view, 2);
    for session in 0..100 {
        let parts = session_parts(session, 0);
        let request = session_request(&parts);
        let first = target(here.choose(at(1), &request));
        assert_eq!(first.id, target(same_zone.choose(at(1), &request)).id);
    }
}

#[test]
#[ignore = "prints the time of a choice among 3,300 backends"]
fn time_of_a_choice() {
    let mut dispatcher = dispatcher(&engines(3300), 1);
    let began = std::time::Instant::now();
    const COUNT: u64 = 20_000;
    for turn in 0..COUNT {
        let parts = session_parts(turn % 977, turn);
        play(&mut dispatcher, turn * 5, &session_request(&parts), 4);
    }
    println!("{:?} for each request", began.elapsed() / COUNT as u32);
}
