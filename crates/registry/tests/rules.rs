//! The merge and expiry rules of the registry.

use std::time::Duration;

use crankpick_registry::{
    Announcement, BackendState, Heartbeat, HeartbeatError, HeartbeatState, ProcessId, Registry,
    RegistrySettings, TableBuilder,
};

const HEARTBEAT: Duration = Duration::from_millis(1200);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn registry(now: Duration, process: u64) -> Registry {
    Registry::new(now, ProcessId(process), RegistrySettings::new(HEARTBEAT))
}

fn heartbeat(port: u16, seq: u64, state: HeartbeatState) -> Heartbeat {
    let body = format!(
        r#"{{"service":"s","address":"10.0.0.1:{port}","zone":"z","slots":8,"state":"ready","seq":{seq},"new":1}}"#
    );
    Heartbeat { state, ..serde_json::from_str(&body).unwrap() }
}

fn ready(port: u16, seq: u64) -> Heartbeat {
    heartbeat(port, seq, HeartbeatState::Ready)
}

fn draining(port: u16, seq: u64) -> Heartbeat {
    heartbeat(port, seq, HeartbeatState::Draining)
}

/// Calls `tick` every 200 ms, as a host does. Returns the announcements.
fn tick_until(registry: &mut Registry, from: u64, until: u64) -> Vec<Announcement> {
    let times = (from..=until).step_by(200);
    times.filter_map(|time| registry.tick(at(time))).collect()
}

fn state(registry: &Registry, now: u64, id: &str) -> Option<BackendState> {
    let changes = registry.changes_since(at(now), None);
    changes.records.iter().find(|record| record.id == id).map(|record| record.state)
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let mut registry = registry(at(0), 1);
    registry.heartbeat(at(100), "i", ready(1, 7)).unwrap();
    registry.heartbeat(at(200), "i", draining(1, 9)).unwrap();
    let late = registry.heartbeat(at(300), "i", ready(2, 8)).unwrap();
    assert!(!late.changed);
    let record = registry.record("i").unwrap();
    assert_eq!((record.state, record.address.port(), record.seq), (BackendState::Draining, 1, 9));
    assert!(!registry.heartbeat(at(400), "i", ready(2, 9)).unwrap().changed);
}

#[test]
fn a_late_heartbeat_of_an_unchanged_backend_changes_nothing() {
    let mut registry = registry(at(0), 1);
    registry.heartbeat(at(100), "i", ready(1, 7)).unwrap();
    assert!(!registry.heartbeat(at(200), "i", ready(1, 9)).unwrap().changed);
    assert!(!registry.heartbeat(at(300), "i", ready(2, 8)).unwrap().changed);
    assert_eq!(registry.record("i").unwrap().address.port(), 1);
}

#[test]
fn draining_is_never_revoked() {
    let mut registry = registry(at(0), 1);
    registry.heartbeat(at(100), "i", draining(1, 1)).unwrap();
    registry.heartbeat(at(200), "i", ready(1, 2)).unwrap();
    assert_eq!(state(&registry, 200, "i"), Some(BackendState::Draining));
    registry.leave(at(300), "i").unwrap();
    registry.heartbeat(at(400), "i", ready(1, 3)).unwrap();
    assert_eq!(state(&registry, 400, "i"), Some(BackendState::Gone));
}

/// The announcements of one backend lead to the same record in every order of merging, also if they are
/// repeated.
#[test]
fn the_order_of_announcements_does_not_matter() {
    let announcements = announcements_of_one_backend();
    let orders = permutations(announcements.len());
    let mut ends = orders.iter().map(|order| {
        let mut registry = registry(at(0), 9);
        for index in order {
            registry.merge(at(5_000), &announcements[*index]);
            registry.merge(at(5_000), &announcements[*index]);
        }
        registry.record("i").cloned().unwrap()
    });
    let first = ends.next().unwrap();
    assert!(first.draining && first.state == BackendState::Silent, "{first:?}");
    assert!(ends.all(|end| end == first));
}

/// One backend is ready at one process, draining at a second, and ready, then silent, at a third.
fn announcements_of_one_backend() -> Vec<Announcement> {
    let mut announcements = Vec::new();
    let mut heard = |process: u64, heartbeat: Heartbeat| {
        let mut registry = registry(at(0), process);
        announcements.extend(registry.heartbeat(at(100), "i", heartbeat).unwrap().announcement);
        registry
    };
    heard(1, ready(1, 3));
    heard(2, draining(1, 5));
    let mut third = heard(3, ready(1, 6));
    announcements.extend(tick_until(&mut third, 200, 4_000));
    assert_eq!(announcements.len(), 4);
    announcements
}

fn permutations(count: usize) -> Vec<Vec<usize>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for shorter in permutations(count - 1) {
        for position in 0..count {
            let mut longer = shorter.clone();
            longer.insert(position, count - 1);
            all.push(longer);
        }
    }
    all
}

#[test]
fn silence_carries_the_last_seq_and_is_ignored_where_a_newer_one_is_known() {
    let (mut first, mut second) = (registry(at(0), 1), registry(at(0), 2));
    first.peer_up(at(0), ProcessId(2));
    second.peer_up(at(0), ProcessId(1));
    let announcement = first.heartbeat(at(100), "i", ready(1, 4)).unwrap().announcement.unwrap();
    second.merge(at(110), &announcement);
    first.heartbeat(at(1_200), "i", ready(1, 5)).unwrap();
    let mut silent = tick_until(&mut first, 1_400, 4_400);
    assert_eq!(silent.len(), 1);
    let silent = silent.remove(0);
    assert_eq!((silent.backends[0].state, silent.backends[0].seq), (BackendState::Silent, 5));
    tick_until(&mut second, 200, 4_200);

    // The backend has moved to the second process, which has received newer heartbeats.
    second.heartbeat(at(4_300), "i", ready(1, 6)).unwrap();
    second.heartbeat(at(4_400), "i", ready(1, 7)).unwrap();
    assert_eq!(second.merge(at(4_500), &silent), None);
    assert_eq!(state(&second, 4_500, "i"), Some(BackendState::Ready));
}

#[test]
fn a_wrong_announcement_of_silence_is_corrected() {
    let mut first = registry(at(0), 1);
    first.heartbeat(at(100), "i", ready(1, 4)).unwrap();
    first.heartbeat(at(300), "i", ready(1, 6)).unwrap();
    let mut silent = first.full_state(at(300)).remove(0);
    silent.backends[0].seq = 5;
    let mut elsewhere = registry(at(0), 2);
    elsewhere.heartbeat(at(100), "i", ready(1, 5)).unwrap();
    let silent = tick_until(&mut elsewhere, 200, 4_000).remove(0);
    let correction = first.merge(at(500), &silent).unwrap();
    assert_eq!((correction.backends[0].state, correction.backends[0].seq), (BackendState::Ready, 6));
}

#[test]
fn the_newest_backend_keeps_a_shared_address() {
    let mut registry = registry(at(0), 1);
    registry.heartbeat(at(100), "old", ready(1, 4)).unwrap();
    let heard = registry.heartbeat(at(2_500), "new", ready(1, 1)).unwrap();
    assert_eq!(heard.announcement.unwrap().backends.len(), 2);
    assert_eq!(state(&registry, 2_500, "old"), Some(BackendState::Gone));
    assert_eq!(state(&registry, 2_500, "new"), Some(BackendState::Ready));
    // If the older backend still runs, its next heartbeat corrects this.
    registry.heartbeat(at(2_600), "old", ready(1, 5)).unwrap();
    assert_eq!(state(&registry, 2_600, "old"), Some(BackendState::Ready));
}

#[test]
fn backends_of_a_dead_process_are_silent_until_it_is_back() {
    let (mut first, mut second) = (registry(at(0), 1), registry(at(0), 2));
    second.peer_up(at(0), ProcessId(1));
    let announcement = first.heartbeat(at(100), "i", ready(1, 4)).unwrap().announcement.unwrap();
    second.merge(at(110), &announcement);
    tick_until(&mut second, 200, 800);
    second.peer_down(at(1_000), ProcessId(1));
    tick_until(&mut second, 1_000, 4_800);
    assert_eq!(state(&second, 4_800, "i"), Some(BackendState::Ready));
    tick_until(&mut second, 5_000, 5_200);
    assert_eq!(state(&second, 5_200, "i"), Some(BackendState::Silent));
    second.peer_up(at(5_300), ProcessId(1));
    assert_eq!(state(&second, 5_300, "i"), Some(BackendState::Ready));
}

#[test]
fn a_process_does_not_state_absence_right_after_a_freeze() {
    let mut registry = registry(at(0), 1);
    registry.heartbeat(at(100), "i", ready(1, 4)).unwrap();
    assert!(tick_until(&mut registry, 200, 4_000).len() == 1);
    assert!(registry.states_absence(at(4_000)));
    registry.heartbeat(at(4_100), "i", ready(1, 5)).unwrap();
    assert_eq!(registry.tick(at(20_000)), None);
    assert!(!registry.states_absence(at(20_000)));
    assert_eq!(state(&registry, 20_000, "i"), Some(BackendState::Ready));
}

#[test]
fn a_restarted_home_does_not_state_absence_at_first() {
    let mut old = registry(at(0), 1);
    old.heartbeat(at(100), "a", ready(1, 4)).unwrap();
    old.heartbeat(at(100), "b", draining(2, 4)).unwrap();
    old.heartbeat(at(100), "c", ready(3, 4)).unwrap();
    let mut builder = TableBuilder::new();
    builder.apply(at(200), old.changes_since(at(200), None));

    let mut new = registry(at(300), 2);
    new.heartbeat(at(400), "a", ready(1, 5)).unwrap();
    new.heartbeat(at(450), "b", ready(2, 5)).unwrap();
    builder.apply(at(500), new.changes_since(at(500), builder.cursor()));
    assert_eq!(builder.table().len(), 3);
    let b = builder.table().service("s")[1].clone();
    assert_eq!((b.id.as_str(), b.state), ("b", BackendState::Draining));

    let mut time = 600;
    while time < 4_000 {
        new.heartbeat(at(time), "a", ready(1, time)).unwrap();
        new.heartbeat(at(time), "b", ready(2, time)).unwrap();
        new.tick(at(time));
        builder.apply(at(time), new.changes_since(at(time), builder.cursor()));
        let expected = if time < 300 + 3_600 { 3 } else { 2 };
        assert_eq!(builder.table().len(), expected, "at {time}");
        time += 200;
    }
    // An isolated process does not state absence either.
    new.set_isolated(at(time), true);
    assert!(!new.states_absence(at(time + 10_000)));
}

#[test]
fn tombstones_are_bounded() {
    let mut settings = RegistrySettings::new(HEARTBEAT);
    settings.max_tombstones = 10;
    settings.max_backends = 40;
    let mut registry = Registry::new(at(0), ProcessId(1), settings);
    for number in 0..30 {
        let id = format!("i-{number}");
        registry.heartbeat(at(100), &id, ready(1 + number, 1)).unwrap();
        registry.leave(at(200), &id).unwrap();
    }
    let cursor = registry.changes_since(at(200), None).cursor;
    assert_eq!(registry.len(), 30);
    registry.tick(at(300));
    assert_eq!(registry.len(), 10);
    assert!(!registry.changes_since(at(300), Some(cursor)).full);
    tick_until(&mut registry, 400, 60_600);
    assert!(registry.is_empty());
    for number in 0..40 {
        registry.heartbeat(at(60_700), &format!("j-{number}"), ready(100 + number, 1)).unwrap();
    }
    assert_eq!(registry.heartbeat(at(60_700), "k", ready(99, 1)), Err(HeartbeatError::Full));
}

#[test]
fn invalid_heartbeats_are_rejected() {
    let mut registry = registry(at(0), 1);
    let long = "x".repeat(129);
    let cases = [
        ("", ready(1, 1), HeartbeatError::Id),
        ("a b", ready(1, 1), HeartbeatError::Id),
        (long.as_str(), ready(1, 1), HeartbeatError::Id),
        ("i", Heartbeat { service: String::new(), ..ready(1, 1) }, HeartbeatError::Name),
        ("i", Heartbeat { zone: long.clone(), ..ready(1, 1) }, HeartbeatError::Name),
        ("i", ready(0, 1), HeartbeatError::Address),
    ];
    for (id, heartbeat, error) in cases {
        assert_eq!(registry.heartbeat(at(1), id, heartbeat), Err(error));
    }
    assert!(registry.is_empty());
    assert!(registry.leave(at(1), &long).is_err());
}

#[test]
fn an_unchanged_ending_can_be_announced_again() {
    let mut registry = registry(at(0), 1);
    assert_eq!(registry.announcement_of(at(0), "i"), None);
    registry.heartbeat(at(100), "i", ready(1, 1)).unwrap();
    let first = registry.heartbeat(at(200), "i", draining(1, 2)).unwrap().announcement;
    assert_eq!(registry.heartbeat(at(300), "i", draining(1, 3)).unwrap().announcement, None);
    assert_eq!(registry.announcement_of(at(300), "i"), first);
    registry.leave(at(400), "i").unwrap();
    assert_eq!(registry.leave(at(500), "i").unwrap().announcement, None);
    let mut peer = Registry::new(at(0), ProcessId(2), RegistrySettings::new(HEARTBEAT));
    peer.merge(at(500), &registry.announcement_of(at(500), "i").unwrap());
    assert!(peer.record("i").unwrap().deleted);
}
