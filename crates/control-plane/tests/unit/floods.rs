//! A draining backend is acknowledged once its peers have the word, or the patience is over.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::oneshot;

use super::Floods;

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7500))
}

#[test]
fn acknowledged_once_all_peers_have_it() {
    let mut floods = Floods::default();
    let (reply, mut answer) = oneshot::channel();
    let number = floods.begin(Duration::ZERO, [peer(1), peer(2)], reply);
    floods.acknowledged(number, peer(1));
    floods.acknowledged(number, peer(1));
    assert!(answer.try_recv().is_err());
    floods.acknowledged(number, peer(2));
    assert_eq!(answer.try_recv(), Ok(Ok(())));
}

#[test]
fn acknowledged_without_a_peer_that_stays_silent() {
    let mut floods = Floods::default();
    let (reply, mut answer) = oneshot::channel();
    let number = floods.begin(Duration::ZERO, [peer(1)], reply);
    floods.tick(Duration::from_millis(299));
    assert!(answer.try_recv().is_err());
    floods.tick(Duration::from_millis(300));
    assert_eq!(answer.try_recv(), Ok(Ok(())));
    floods.acknowledged(number, peer(1));
}

#[test]
fn acknowledged_at_once_where_there_is_no_peer() {
    let mut floods = Floods::default();
    let (reply, mut answer) = oneshot::channel();
    floods.begin(Duration::ZERO, [], reply);
    assert_eq!(answer.try_recv(), Ok(Ok(())));
}
