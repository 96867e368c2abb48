//! Peers come, fall silent, and come back as the same or another process.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_registry::ProcessId;

use super::{PeerChange, Peers};

const ONE: ProcessId = ProcessId(1);
const OTHER: ProcessId = ProcessId(2);

fn place() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7500))
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_peer_is_up_once_and_down_once() {
    let mut peers = Peers::default();
    assert_eq!(peers.presence_received(at(0), place(), ONE, "a".into()), [PeerChange::Up(place(), ONE)]);
    assert_eq!(peers.presence_received(at(500), place(), ONE, "a".into()), []);
    assert_eq!(peers.tick(at(1_999)), []);
    assert_eq!(peers.tick(at(2_000)), [PeerChange::Down(ONE)]);
    assert_eq!(peers.tick(at(3_000)), []);
    assert_eq!(peers.up().count(), 0);
}

#[test]
fn a_peer_that_comes_back_is_up_again() {
    let mut peers = Peers::default();
    peers.presence_received(at(0), place(), ONE, "a".into());
    peers.tick(at(2_000));
    assert_eq!(peers.presence_received(at(2_100), place(), ONE, "a".into()), [PeerChange::Up(place(), ONE)]);
}

#[test]
fn another_process_at_the_address_takes_its_place() {
    let mut peers = Peers::default();
    peers.presence_received(at(0), place(), ONE, "a".into());
    let changes = peers.presence_received(at(100), place(), OTHER, "a".into());
    assert_eq!(changes, [PeerChange::Down(ONE), PeerChange::Up(place(), OTHER)]);
    assert_eq!(peers.processes().collect::<Vec<_>>(), [OTHER]);
}

#[test]
fn a_peer_that_others_name_is_known_until_they_no_longer_do() {
    let mut peers = Peers::default();
    peers.add_mentions(at(0), &[place()]);
    assert_eq!(peers.mentions().collect::<Vec<_>>(), [place()]);
    assert_eq!(peers.up().count(), 0, "named isn't heard");
    peers.tick(at(2_999));
    assert_eq!(peers.mentions().count(), 1);
    peers.tick(at(3_000));
    assert_eq!(peers.mentions().count(), 0);
}

#[test]
fn gateways_may_have_any_peer_that_is_up_for_their_home() {
    let mut peers = Peers::default();
    peers.presence_received(at(0), place(), ONE, "a".into());
    let homes: Vec<_> = peers.homes().map(|home| (home.address, home.zone)).collect();
    assert_eq!(homes, [(place(), "a".to_string())]);
    peers.tick(at(2_000));
    assert_eq!(peers.homes().count(), 0);
}
