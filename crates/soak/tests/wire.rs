//! Messages and ends of connections on raw sockets, and what relays do to them.

use std::time::Duration;

use crankpick_soak::relay::Relay;
use crankpick_soak::wire::{Rest, Wire, WireError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const SOON: Duration = Duration::from_secs(20);

/// Both ends of a connection.
async fn connection() -> (Wire, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (wire, accepted) = tokio::join!(Wire::connect(address, SOON), listener.accept());
    (wire.expect("open"), accepted.expect("open").0)
}

#[tokio::test]
async fn answers_are_read_by_length_and_by_chunks_one_after_the_other() {
    let (mut wire, mut peer) = connection().await;
    let first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    let second = "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n";
    peer.write_all(format!("{first}{second}").as_bytes()).await.expect("open");
    let answer = wire.read_answer().await.expect("whole");
    assert_eq!((answer.head.status(), answer.body.as_slice()), (Some(200), b"whole".as_slice()));
    assert_eq!(wire.at_rest(), Rest::Bytes, "the second one lies there");
    let answer = wire.read_answer().await.expect("whole");
    assert_eq!((answer.head.status(), answer.body.as_slice()), (Some(503), b"onetwo".as_slice()));
    assert!(answer.head.closes());
    assert_eq!(wire.at_rest(), Rest::Open);
    drop(peer);
    assert_eq!(wire.disturbed().await, Rest::Ended);
    assert_eq!(wire.at_rest(), Rest::Ended);
}

#[tokio::test]
async fn an_end_before_an_answer_is_told_from_one_within_it() {
    let (mut wire, peer) = connection().await;
    drop(peer);
    let wrong = wire.read_answer().await.expect_err("no answer");
    assert!(wrong.before_first_byte(), "{wrong}");
    for part in ["H", "HTTP/1.1 200 OK\r\n\r", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhol"] {
        let (mut wire, mut peer) = connection().await;
        peer.write_all(part.as_bytes()).await.expect("open");
        drop(peer);
        let wrong = wire.read_answer().await.expect_err("no whole answer");
        assert!(!wrong.before_first_byte() && matches!(wrong, WireError::Ended { .. }), "{part:?}: {wrong}");
    }
}

#[tokio::test]
async fn a_message_behind_another_counts_its_own_bytes() {
    let (mut wire, mut peer) = connection().await;
    peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("open");
    wire.read_answer().await.expect("whole");
    drop(peer);
    let wrong = wire.read_answer().await.expect_err("no answer");
    assert!(wrong.before_first_byte(), "{wrong}");
}

#[tokio::test]
async fn a_cut_relay_holds_bytes_up_and_passes_them_on_later() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let relay = Relay::start(listener.local_addr().expect("bound")).await.expect("a port");
    let mut caller = TcpStream::connect(relay.address).await.expect("open");
    let (mut called, _) = listener.accept().await.expect("open");
    let mut byte = [0];
    caller.write_all(b"a").await.expect("open");
    called.read_exact(&mut byte).await.expect("passed on");
    relay.cut();
    caller.write_all(b"b").await.expect("open");
    // Nothing tells that a byte will never come; for so long it didn't.
    let held = timeout(Duration::from_millis(100), called.read_exact(&mut byte)).await;
    assert!(held.is_err(), "passed on through a cut");
    relay.join();
    timeout(SOON, called.read_exact(&mut byte)).await.expect("in time").expect("passed on");
    assert_eq!(&byte, b"b");
}

#[tokio::test]
async fn a_relay_with_a_delay_keeps_the_order_and_passes_nothing_on_sooner() {
    const DELAY: Duration = Duration::from_millis(30);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let relay = Relay::with_delay(listener.local_addr().expect("bound"), DELAY).await.expect("a port");
    let mut caller = TcpStream::connect(relay.address).await.expect("open");
    let (mut called, _) = listener.accept().await.expect("open");
    let begun = tokio::time::Instant::now();
    caller.write_all(b"one ").await.expect("open");
    caller.write_all(b"two").await.expect("open");
    drop(caller);
    let mut all = Vec::new();
    timeout(SOON, called.read_to_end(&mut all)).await.expect("in time").expect("in order");
    assert_eq!(all, b"one two");
    assert!(begun.elapsed() >= DELAY);
}

#[tokio::test]
async fn a_relay_passes_ends_and_resets_on() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let relay = Relay::start(listener.local_addr().expect("bound")).await.expect("a port");
    let mut caller = TcpStream::connect(relay.address).await.expect("open");
    let (called, _) = listener.accept().await.expect("open");
    drop(called);
    let end = timeout(SOON, caller.read(&mut [0])).await.expect("in time");
    assert_eq!(end.expect("in order"), 0);
    let mut caller = TcpStream::connect(relay.address).await.expect("open");
    let (mut called, _) = listener.accept().await.expect("open");
    called.write_all(b"a").await.expect("open");
    caller.read_exact(&mut [0]).await.expect("passed on");
    relay.reset();
    let end = timeout(SOON, caller.read(&mut [0])).await.expect("in time");
    assert!(end.is_err(), "{end:?}");
}
