//! A departure is acknowledged only once it is durable, also when the disk fails; many of them cost few writes.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_registry::{BackendDeparture, DepartureKind, Now};

use super::{DepartureStore, DueWrite, DurabilityWaiter, MAX_STAGED, MIN_REWRITE_BYTES};
use crate::departure_record::DepartureRecord;

fn at(ms: u64) -> Now {
    Duration::from_millis(ms)
}

fn record(number: usize) -> DepartureRecord {
    let id = format!("i-{number:08x}");
    DepartureRecord::Departed(BackendDeparture { id, kind: DepartureKind::SignedOff })
}

fn waiter(number: u64) -> DurabilityWaiter {
    DurabilityWaiter::PeerAnnouncement { peer: SocketAddr::from(([10, 0, 0, 2], 7500)), number }
}

#[test]
fn acknowledgement_waits_for_the_sync() {
    let mut store = DepartureStore::new(true);
    assert_eq!(store.wait(waiter(1)), Some(waiter(1)), "nothing is to be stored");
    store.stage([record(1)]);
    assert_eq!(store.wait(waiter(2)), None);
    assert_eq!(store.next_write(at(0)), Some(DueWrite::Append(vec![record(1)])));
    assert_eq!(store.wait(waiter(3)), None);
    assert!(!store.is_synced());
    assert_eq!(store.appended(100), [waiter(2), waiter(3)]);
    assert_eq!(store.wait(waiter(4)), Some(waiter(4)));
}

#[test]
fn what_is_staged_during_a_write_follows_in_one_write() {
    let mut store = DepartureStore::new(true);
    store.stage([record(1)]);
    assert!(store.next_write(at(0)).is_some());
    store.stage([record(2)]);
    store.stage([record(3)]);
    assert_eq!(store.wait(waiter(3)), None);
    assert_eq!(store.next_write(at(0)), None, "one write at a time");
    assert_eq!(store.appended(100), [], "the first write doesn't hold the later records");
    assert_eq!(store.next_write(at(1)), Some(DueWrite::Append(vec![record(2), record(3)])));
    assert_eq!(store.appended(200), [waiter(3)]);
}

#[test]
fn failed_write_acknowledges_nothing_and_is_followed_by_a_rewrite() {
    let mut store = DepartureStore::new(true);
    store.stage([record(1)]);
    assert_eq!(store.wait(waiter(1)), None);
    assert!(store.next_write(at(0)).is_some());
    store.write_failed(at(10));
    store.stage([record(2)]);
    assert_eq!(store.wait(waiter(2)), None);
    assert_eq!(store.next_write(at(500)), None, "the disk is left alone for a while");
    assert_eq!(store.next_write(at(510)), Some(DueWrite::Rewrite));
    store.write_failed(at(520));
    assert!(!store.is_synced());
    assert_eq!(store.next_write(at(1_020)), Some(DueWrite::Rewrite));
    assert_eq!(store.rewritten(200), [waiter(1), waiter(2)]);
    assert_eq!(store.next_write(at(1_030)), None);
}

#[test]
fn departure_staged_during_a_rewrite_is_not_covered_by_it() {
    let mut store = DepartureStore::new(true);
    store.stage([record(1)]);
    assert!(store.next_write(at(0)).is_some());
    store.write_failed(at(0));
    assert_eq!(store.next_write(at(500)), Some(DueWrite::Rewrite));
    store.stage([record(2)]);
    assert_eq!(store.wait(waiter(2)), None);
    assert_eq!(store.rewritten(200), []);
    assert_eq!(store.next_write(at(600)), Some(DueWrite::Append(vec![record(2)])));
    assert_eq!(store.appended(300), [waiter(2)]);
}

#[test]
fn long_log_is_rewritten_before_it_doubles_again() {
    let mut store = DepartureStore::new(true);
    store.stage([record(1)]);
    assert!(store.next_write(at(0)).is_some());
    store.stage([record(2)]);
    store.appended(MIN_REWRITE_BYTES);
    assert_eq!(store.next_write(at(1)), Some(DueWrite::Rewrite));
    assert!(store.rewritten(MIN_REWRITE_BYTES).is_empty());
    store.stage([record(3)]);
    assert!(matches!(store.next_write(at(2)), Some(DueWrite::Append(_))));
    store.appended(MIN_REWRITE_BYTES * 2 - 1);
    assert_eq!(store.next_write(at(3)), None);
}

#[test]
fn staged_records_are_bounded() {
    let mut store = DepartureStore::new(true);
    store.stage([record(0)]);
    assert!(store.next_write(at(0)).is_some());
    store.stage((1..=MAX_STAGED + 1).map(record));
    assert_eq!(store.wait(waiter(1)), None);
    assert_eq!(store.appended(100), []);
    assert_eq!(store.next_write(at(1)), Some(DueWrite::Rewrite));
    assert_eq!(store.rewritten(100), [waiter(1)]);
}

#[test]
fn without_a_disk_nothing_waits() {
    let mut store = DepartureStore::new(false);
    store.stage([record(1)]);
    assert_eq!(store.wait(waiter(1)), Some(waiter(1)));
    assert_eq!(store.next_write(at(0)), None);
}
