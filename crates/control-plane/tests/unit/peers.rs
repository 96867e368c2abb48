//! Peers come up, time out, and return as the same or as another incarnation.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_registry::ProcessId;

use super::{PeerChange, Peers};

const ONE: ProcessId = ProcessId(1);
const OTHER: ProcessId = ProcessId(2);

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7500))
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn each_liveness_change_is_reported_once() {
    let mut peers = Peers::default();
    assert_eq!(peers.presence_received(at(0), address(), ONE, "a".into()), [PeerChange::Up(address(), ONE)]);
    assert_eq!(peers.presence_received(at(500), address(), ONE, "a".into()), []);
    assert_eq!(peers.tick(at(1_999)), []);
    assert_eq!(peers.tick(at(2_000)), [PeerChange::Down(ONE)]);
    assert_eq!(peers.tick(at(3_000)), []);
    assert_eq!(peers.up().count(), 0);
}

#[test]
fn returning_peer_is_up_again() {
    let mut peers = Peers::default();
    peers.presence_received(at(0), address(), ONE, "a".into());
    peers.tick(at(2_000));
    assert_eq!(
        peers.presence_received(at(2_100), address(), ONE, "a".into()),
        [PeerChange::Up(address(), ONE)]
    );
}

#[test]
fn another_process_at_the_address_replaces_the_peer() {
    let mut peers = Peers::default();
    peers.presence_received(at(0), address(), ONE, "a".into());
    let changes = peers.presence_received(at(100), address(), OTHER, "a".into());
    assert_eq!(changes, [PeerChange::Down(ONE), PeerChange::Up(address(), OTHER)]);
    assert_eq!(peers.processes().collect::<Vec<_>>(), [OTHER]);
}

#[test]
fn mentioned_peer_is_known_until_mentions_cease() {
    let mut peers = Peers::default();
    peers.add_mentions(at(0), &[address()]);
    assert_eq!(peers.mentions().collect::<Vec<_>>(), [address()]);
    assert_eq!(peers.up().count(), 0, "a mentioned peer isn't up");
    peers.tick(at(2_999));
    assert_eq!(peers.mentions().count(), 1);
    peers.tick(at(3_000));
    assert_eq!(peers.mentions().count(), 0);
}

#[test]
fn each_peer_that_is_up_is_a_home() {
    let mut peers = Peers::default();
    peers.presence_received(at(0), address(), ONE, "a".into());
    let homes: Vec<_> = peers.homes().map(|home| (home.address, home.zone)).collect();
    assert_eq!(homes, [(address(), "a".to_string())]);
    peers.tick(at(2_000));
    assert_eq!(peers.homes().count(), 0);
}
