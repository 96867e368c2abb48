//! Decisions to close a connection that race with a request in its socket.

use std::future::Future;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use crankpick_configuration::{read, RoutingTable};

use super::*;
use crate::settings::GatewaySettings;

const UNKNOWN: &[u8] = b"GET /unknown HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 5b1f\r\n\r\n";

/// A gateway without routes and with this idle timeout.
fn gateway(idle_timeout_ms: u64) -> Arc<Shared> {
    let settings = GatewaySettings::new("z", 4_100, 260 << 20);
    let shared = Shared::new(settings, slog::Logger::root(slog::Discard, slog::o!()));
    let limits = format!(r#""limits":{{"idle_timeout_ms":{idle_timeout_ms}}}"#);
    let text = format!(r#"{{"generation":1,"routes":[],"services":[],{limits}}}"#);
    let configuration = read(text.as_bytes()).expect("a sound configuration");
    shared.publish_routing(Arc::new(RoutingTable::compile(&configuration)));
    shared
}

/// A connection and the client's end of it.
fn connected() -> (TcpStream, Arc<Client>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let (stream, _) = listener.accept().expect("accepted");
    stream.set_nonblocking(true).expect("settable");
    let stream = tokio::net::TcpStream::from_std(stream).expect("registered");
    (client, Arc::new(Client::new(stream)))
}

/// Puts a complete request into the connection's socket that the runtime has not seen yet.
fn send_request(mut client: &TcpStream, served: &Client) {
    client.write_all(UNKNOWN).expect("the kernel takes it");
    while served.is_quiescent() {
        std::thread::yield_now();
    }
}

/// All data that a client receives until its connection is closed.
fn received(mut client: TcpStream) -> String {
    let mut received = String::new();
    client.read_to_string(&mut received).expect("its connection ends in order");
    received.to_ascii_lowercase()
}

fn assert_close_announced(shared: &Shared, received: &str) {
    assert!(received.starts_with("http/1.1 "), "{received}");
    assert!(received.contains("\r\nconnection: close\r\n"), "{received}");
    assert!(!received.contains("\r\nkeep-alive: "), "{received}");
    let violations = [Cause::InvariantRequestUnanswered, Cause::InvariantRestCutShort];
    assert!(!shared.counts().iter().any(|count| violations.contains(&count.cause)));
}

#[tokio::test]
async fn request_racing_eviction_is_answered_with_close() {
    let shared = gateway(15_000);
    let (client, served) = connected();
    send_request(&client, &served);
    served.evict();
    serve(served, Arc::clone(&shared)).await;
    assert_close_announced(&shared, &received(client));
}

#[tokio::test(start_paused = true)]
async fn request_racing_idle_timeout_is_answered_with_close() {
    let shared = gateway(100);
    let (client, served) = connected();
    let mut serving = std::pin::pin!(serve(Arc::clone(&served), Arc::clone(&shared)));
    // It waits for a request and for the idle timeout.
    assert!(poll_fn(|cx| Poll::Ready(serving.as_mut().poll(cx).is_pending())).await);
    tokio::time::advance(Duration::from_millis(101)).await;
    send_request(&client, &served);
    serving.await;
    drop(served);
    assert_close_announced(&shared, &received(client));
}

/// hyper yields after sixteen requests with the rest in its buffer. A connection that is told to close at
/// that point must announce it.
#[tokio::test]
async fn unserved_pipelined_requests_get_a_close_announcement() {
    const PIPELINED: usize = 40;
    let shared = gateway(15_000);
    let (client, served) = connected();
    for _ in 0..PIPELINED {
        send_request(&client, &served);
    }
    let mut serving = std::pin::pin!(serve(Arc::clone(&served), Arc::clone(&shared)));
    while poll_fn(|cx| Poll::Ready(serving.as_mut().poll(cx).is_pending())).await
        && !served.has_sent_request()
    {
        tokio::task::yield_now().await;
    }
    served.evict();
    serving.await;
    drop(served);
    let received = received(client);
    let answers: Vec<&str> = received.split("http/1.1 ").skip(1).collect();
    assert!((1..PIPELINED).contains(&answers.len()), "{} answers", answers.len());
    assert_close_announced(&shared, &format!("http/1.1 {}", answers[answers.len() - 1]));
}
