//! The design on the ordinary path: types reach their groups, light groups rotate, busy ones take the best fit.

#[path = "support/scene.rs"]
#[allow(dead_code)]
mod scene;

use crankpick_dispatch::*;
use scene::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Light and heavy requests by turns, each answered before the next: nothing is ever busy.
fn typed_traffic(dispatcher: &mut Dispatcher, from_ms: u64, count: u64) -> [BTreeMap<String, u32>; 2] {
    let mut reached = [BTreeMap::new(), BTreeMap::new()];
    for turn in 0..count {
        let heavy = (turn % 2) as usize;
        let lengths = [(400, 20), (4000, 200)][heavy];
        let request = request("llm", lengths.0, lengths.1);
        let target = play(dispatcher, from_ms + turn * 20, &request, 10);
        *reached[heavy].entry(target.id.to_string()).or_insert(0) += 1;
    }
    reached
}

#[test]
fn types_reach_their_groups_sized_by_load() {
    let mut dispatcher = dispatcher(&engines(12), 7);
    typed_traffic(&mut dispatcher, 0, 200);
    let [light, heavy] = typed_traffic(&mut dispatcher, 4000, 400);
    let of = |group: &BTreeMap<String, u32>| group.keys().cloned().collect::<BTreeSet<_>>();
    assert!(of(&light).is_disjoint(&of(&heavy)), "{light:?} {heavy:?}");
    assert!(of(&heavy).len() > of(&light).len(), "{light:?} {heavy:?}");
}

#[test]
fn until_traffic_is_known_one_group_holds_all() {
    let mut dispatcher = dispatcher(&engines(6), 7);
    let [light, heavy] = typed_traffic(&mut dispatcher, 0, 60);
    let all: BTreeSet<&String> = light.keys().chain(heavy.keys()).collect();
    // Those of the own zone, in turn.
    assert_eq!(all.len(), 3);
}

#[test]
fn a_light_group_rotates_evenly() {
    let mut dispatcher = dispatcher(&engines(8), 3);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for turn in 0..80 {
        let target = play(&mut dispatcher, turn * 20, &request("llm", 500, 50), 10);
        *counts.entry(target.id.to_string()).or_insert(0) += 1;
    }
    let expected: Vec<u32> = vec![20; 4];
    assert_eq!(counts.into_values().collect::<Vec<_>>(), expected);
}

#[test]
fn a_busy_group_takes_the_backend_with_most_room() {
    let mut dispatcher = dispatcher(&ledgers(8), 3);
    let request = request("ledger", 0, 0);
    let mut taken: BTreeMap<BackendKey, u32> = BTreeMap::new();
    for turn in 0..12 {
        let target = target(dispatcher.choose(at(turn), &request));
        dispatcher.begin(at(turn), target.backend, &request);
        *taken.entry(target.backend).or_insert(0) += 1;
    }
    // Four near backends: three each, by room.
    assert_eq!(taken.into_values().collect::<Vec<_>>(), vec![3; 4]);
}

#[test]
fn the_own_zone_is_kept_while_it_has_room_and_left_when_it_is_full() {
    let view = ledgers(4);
    let mut dispatcher = dispatcher(&view, 3);
    let request = request("ledger", 0, 0);
    let mut zones = Vec::new();
    for turn in 0..20 {
        let target = target(dispatcher.choose(at(turn), &request));
        dispatcher.begin(at(turn), target.backend, &request);
        let listed = view.backends.iter().find(|of| of.id == target.id).expect("it is listed");
        zones.push(listed.zone.to_string());
    }
    assert!(zones[..6].iter().all(|zone| zone == "a"), "{zones:?}");
    assert!(zones.iter().any(|zone| zone == "b"), "{zones:?}");
}

#[test]
fn draining_silent_and_gone_backends_leave_at_once() {
    for state in [BackendState::Draining, BackendState::Silent, BackendState::Gone] {
        let mut view = engines(4);
        let mut dispatcher = dispatcher(&view, 5);
        typed_traffic(&mut dispatcher, 0, 200);
        view.backends[0].state = state;
        dispatcher.update(at(4000), &view);
        let [light, heavy] = typed_traffic(&mut dispatcher, 4000, 200);
        assert!(!light.contains_key("llm-0") && !heavy.contains_key("llm-0"), "{state:?}");
    }
}

#[test]
fn a_backend_that_the_view_drops_gets_nothing_and_may_come_back() {
    let mut view = engines(4);
    let mut dispatcher = dispatcher(&view, 5);
    let dropped = view.backends.remove(2);
    dispatcher.update(at(10), &view);
    let [light, heavy] = typed_traffic(&mut dispatcher, 20, 100);
    assert!(!light.contains_key("llm-2") && !heavy.contains_key("llm-2"));
    view.backends.push(dropped);
    dispatcher.update(at(200_000), &view);
    let [light, heavy] = typed_traffic(&mut dispatcher, 200_010, 100);
    assert!(light.contains_key("llm-2") || heavy.contains_key("llm-2"));
}

#[test]
fn silent_backends_serve_where_none_is_ready_but_never_draining_ones() {
    let mut view = engines(2);
    view.backends[0].state = BackendState::Silent;
    view.backends[1].state = BackendState::Draining;
    let mut dispatcher = dispatcher(&view, 5);
    let first = target(dispatcher.choose(at(1), &request("llm", 500, 50)));
    assert_eq!(&*first.id, "llm-0");
    view.backends[0].state = BackendState::Draining;
    dispatcher.update(at(2), &view);
    assert_eq!(dispatcher.choose(at(3), &request("llm", 500, 50)), Choice::NoBackend);
}

#[test]
fn what_was_tried_is_not_chosen_again() {
    let mut dispatcher = dispatcher(&engines(3), 5);
    let mut tried = Vec::new();
    for turn in 0..3 {
        let again = DispatchRequest { tried: &tried, ..request("llm", 500, 50) };
        let target = target(dispatcher.choose(at(turn), &again));
        assert!(!tried.contains(&target.backend));
        tried.push(target.backend);
    }
    let again = DispatchRequest { tried: &tried, ..request("llm", 500, 50) };
    assert_eq!(dispatcher.choose(at(9), &again), Choice::NoBackend);
}

#[test]
fn a_gateway_keeps_to_its_share_of_a_backends_connections() {
    let mut view = ledgers(2);
    (view.gateways, view.services[0].max_conns) = (25, 100);
    let mut dispatcher = dispatcher(&view, 5);
    let request = request("ledger", 0, 0);
    for turn in 0..8 {
        let target = target(dispatcher.choose(at(turn), &request));
        dispatcher.begin(at(turn), target.backend, &request);
    }
    assert!(matches!(dispatcher.choose(at(9), &request), Choice::Full { .. }));
}

#[test]
fn an_unknown_service_has_no_backend() {
    let mut dispatcher = dispatcher(&engines(2), 5);
    assert_eq!(dispatcher.choose(at(0), &request("other", 1, 1)), Choice::NoBackend);
}

#[test]
fn priorities_go_to_engines_alone() {
    let mut engines = dispatcher(&engines(2), 5);
    let urgent = DispatchRequest { priority: 12, ..request("llm", 500, 50) };
    assert_eq!(target(engines.choose(at(0), &urgent)).priority_header, Some(9));
    let mut ledgers = dispatcher(&ledgers(2), 5);
    assert_eq!(target(ledgers.choose(at(0), &request("ledger", 0, 0))).priority_header, None);
}

#[test]
fn a_cold_backend_is_taken_to_be_slower() {
    let mut view = engines(2);
    view.backends.iter_mut().for_each(|backend| backend.zone = "a".into());
    view.backends[0].warm_at = at(60_000);
    let mut dispatcher = dispatcher(&view, 5);
    let parts = [PromptPart { id: 9, tokens: 100 }];
    // One part, its own: no home is known, so that the pace alone decides between the two.
    let cold = (0..40).filter(|turn| {
        let parts = [PromptPart { id: 100 + turn, ..parts[0] }];
        let request = DispatchRequest {
            route: RoutePolicy { sticky: true, slo: Duration::from_millis(50), ..TERMS },
            parts: &parts,
            ..request("llm", 6000, 50)
        };
        &*target(dispatcher.choose(at(*turn), &request)).id == "llm-0"
    });
    assert!(cold.count() < 20);
}
