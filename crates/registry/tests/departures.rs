//! Departures: what the host stores of them, and what a process without them withholds.

use std::time::Duration;

use crankpick_registry::{
    BackendDeparture, BackendState, DepartureKind, Heartbeat, HeartbeatState, ProcessId, Registry,
    RegistrySettings,
};

const HEARTBEAT: Duration = Duration::from_millis(1200);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn registry(process: u64) -> Registry {
    Registry::new(at(0), ProcessId(process), RegistrySettings::new(HEARTBEAT))
}

/// A registry of a process that has just started without the departures that others acknowledged.
fn uninformed_registry() -> Registry {
    let mut registry = registry(1);
    registry.require_departures();
    registry
}

fn heartbeat(seq: u64, state: HeartbeatState) -> Heartbeat {
    let body = format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready","seq":{seq}}}"#
    );
    Heartbeat { state, ..serde_json::from_str(&body).unwrap() }
}

fn ready(seq: u64) -> Heartbeat {
    heartbeat(seq, HeartbeatState::Ready)
}

fn draining(seq: u64) -> Heartbeat {
    heartbeat(seq, HeartbeatState::Draining)
}

fn departure(id: &str, kind: DepartureKind) -> BackendDeparture {
    BackendDeparture { id: id.to_owned(), kind }
}

fn state(registry: &Registry, now: u64, id: &str) -> Option<BackendState> {
    let changes = registry.changes_since(at(now), None);
    changes.records.iter().find(|record| record.id == id).map(|record| record.state)
}

#[test]
fn late_heartbeat_does_not_revive_a_backend_whose_sign_off_was_restored() {
    let mut registry = registry(1);
    registry.merge_departures(at(0), &[departure("i", DepartureKind::SignedOff)]);
    let late = registry.heartbeat(at(100), "i", ready(7)).unwrap();
    assert!(!late.changed);
    assert_eq!(state(&registry, 100, "i"), Some(BackendState::Gone));
}

#[test]
fn late_heartbeat_leaves_a_backend_draining_whose_draining_was_restored() {
    let mut registry = registry(1);
    registry.merge_departures(at(0), &[departure("i", DepartureKind::Draining)]);
    registry.heartbeat(at(100), "i", ready(7)).unwrap();
    assert_eq!(state(&registry, 100, "i"), Some(BackendState::Draining));
    assert!(!registry.record("i").unwrap().may_receive());
}

#[test]
fn heartbeat_of_an_unknown_backend_is_withheld_until_all_departures_are_known() {
    let mut registry = uninformed_registry();
    assert!(!registry.heartbeat(at(100), "late", ready(7)).unwrap().changed);
    assert!(!registry.heartbeat(at(100), "alive", ready(7)).unwrap().changed);
    assert!(registry.is_empty());
    registry.merge_departures(at(200), &[departure("late", DepartureKind::SignedOff)]);
    let taken = registry.departures_complete(at(300));
    let announced: Vec<String> =
        taken.announcement.unwrap().backends.into_iter().map(|record| record.id).collect();
    assert_eq!(announced, ["alive"]);
    assert_eq!(state(&registry, 300, "alive"), Some(BackendState::Ready));
    assert_eq!(state(&registry, 300, "late"), Some(BackendState::Gone));
    assert!(registry.heartbeat(at(400), "new", ready(1)).unwrap().changed);
}

#[test]
fn sign_off_ends_a_backend_whose_heartbeat_is_withheld() {
    let mut registry = uninformed_registry();
    registry.heartbeat(at(100), "i", ready(7)).unwrap();
    assert!(registry.leave(at(200), "i").unwrap().changed);
    assert!(!registry.departures_complete(at(300)).changed);
    assert_eq!(state(&registry, 300, "i"), Some(BackendState::Gone));
}

#[test]
fn draining_is_never_withheld() {
    let mut registry = uninformed_registry();
    assert!(registry.heartbeat(at(100), "i", draining(7)).unwrap().changed);
    assert_eq!(state(&registry, 100, "i"), Some(BackendState::Draining));
}

#[test]
fn backend_known_from_a_peer_is_not_withheld() {
    let mut peer = registry(2);
    let announcement = peer.heartbeat(at(0), "i", ready(7)).unwrap().announcement.unwrap();
    let mut registry = uninformed_registry();
    registry.merge(at(100), &announcement);
    registry.heartbeat(at(200), "i", ready(8)).unwrap();
    assert_eq!(state(&registry, 200, "i"), Some(BackendState::Ready));
}

#[test]
fn heartbeat_of_a_backend_that_became_silent_while_withheld_is_dropped() {
    let mut registry = uninformed_registry();
    registry.heartbeat(at(0), "i", ready(7)).unwrap();
    for time in (200..=3_600).step_by(200) {
        registry.tick(at(time));
    }
    assert!(!registry.departures_complete(at(3_700)).changed);
}

#[test]
fn absence_is_not_stated_while_heartbeats_are_withheld() {
    let mut registry = uninformed_registry();
    for time in (200..=6_000).step_by(200) {
        registry.tick(at(time));
    }
    assert!(!registry.states_absence(at(6_000)));
    registry.departures_complete(at(6_000));
    assert!(registry.states_absence(at(6_000)));
}

/// Each departure is told to the host once, whether it comes from the backend, from a peer or from a report: what isn't
/// told isn't stored, and what is told twice costs a write.
#[test]
fn each_departure_is_told_to_the_host_once() {
    let mut registry = registry(1);
    registry.heartbeat(at(0), "i", ready(1)).unwrap();
    assert_eq!(registry.take_departures(), []);
    registry.heartbeat(at(100), "i", draining(2)).unwrap();
    registry.heartbeat(at(200), "i", draining(3)).unwrap();
    assert_eq!(registry.take_departures(), [departure("i", DepartureKind::Draining)]);
    registry.leave(at(300), "i").unwrap();
    registry.leave(at(400), "i").unwrap();
    assert_eq!(registry.take_departures(), [departure("i", DepartureKind::SignedOff)]);
    let mut peer = self::registry(2);
    let announcement = peer.leave(at(500), "other").unwrap().announcement.unwrap();
    registry.merge(at(500), &announcement);
    registry.merge(at(600), &announcement);
    registry.merge_departures(at(700), &[departure("other", DepartureKind::SignedOff)]);
    assert_eq!(registry.take_departures(), [departure("other", DepartureKind::SignedOff)]);
    let all = [departure("i", DepartureKind::SignedOff), departure("other", DepartureKind::SignedOff)];
    assert_eq!(registry.departures(), all);
}

/// A restored departure is kept as long as a tombstone, and no longer: the log on disk doesn't grow for good.
#[test]
fn restored_departure_of_a_backend_that_never_calls_again_is_forgotten() {
    let mut registry = registry(1);
    registry.merge_departures(at(0), &[departure("i", DepartureKind::Draining)]);
    for time in (200..=59_000).step_by(200) {
        registry.tick(at(time));
    }
    assert_eq!(registry.departures(), [departure("i", DepartureKind::Draining)]);
    for time in (59_200..=61_000).step_by(200) {
        registry.tick(at(time));
    }
    assert_eq!(registry.departures(), []);
}
