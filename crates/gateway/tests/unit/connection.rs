//! Decisions to end a connection that meet a request in its socket.

use std::future::Future;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use crankpick_configuration::{read, RoutingTable};

use super::*;
use crate::settings::GatewaySettings;

const UNKNOWN: &[u8] = b"GET /unknown HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 5b1f\r\n\r\n";

/// A gateway that knows no route, with this limit to the rest of connections.
fn gateway(idle_timeout_ms: u64) -> Arc<Shared> {
    let settings = GatewaySettings::new("z", 4_100, 260 << 20);
    let shared = Shared::new(settings, slog::Logger::root(slog::Discard, slog::o!()));
    let limits = format!(r#""limits":{{"idle_timeout_ms":{idle_timeout_ms}}}"#);
    let text = format!(r#"{{"generation":1,"routes":[],"services":[],{limits}}}"#);
    let configuration = read(text.as_bytes()).expect("a sound configuration");
    shared.publish_routing(Arc::new(RoutingTable::compile(&configuration)));
    shared
}

/// A connection, and its client's side.
fn connected() -> (TcpStream, Arc<Client>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let (stream, _) = listener.accept().expect("accepted");
    stream.set_nonblocking(true).expect("settable");
    let stream = tokio::net::TcpStream::from_std(stream).expect("registered");
    (client, Arc::new(Client::new(stream)))
}

/// A whole request lies in the connection's socket, which the runtime has not seen.
fn ask(mut client: &TcpStream, served: &Client) {
    client.write_all(UNKNOWN).expect("the kernel takes it");
    while served.is_quiescent() {
        std::thread::yield_now();
    }
}

/// All that a client got by the end of its connection.
fn received(mut client: TcpStream) -> String {
    let mut received = String::new();
    client.read_to_string(&mut received).expect("its connection ends in order");
    received.to_ascii_lowercase()
}

fn assert_told_of_the_end(shared: &Shared, received: &str) {
    assert!(received.starts_with("http/1.1 "), "{received}");
    assert!(received.contains("\r\nconnection: close\r\n"), "{received}");
    assert!(!received.contains("\r\nkeep-alive: "), "{received}");
    let violations = [Cause::InvariantRequestUnanswered, Cause::InvariantRestCutShort];
    assert!(!shared.counts().iter().any(|count| violations.contains(&count.cause)));
}

#[tokio::test]
async fn a_request_that_meets_the_end_for_room_is_answered_and_told_of_it() {
    let shared = gateway(15_000);
    let (client, served) = connected();
    ask(&client, &served);
    served.evict();
    serve(served, Arc::clone(&shared)).await;
    assert_told_of_the_end(&shared, &received(client));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_meets_the_end_of_the_rest_is_answered_and_told_of_it() {
    let shared = gateway(100);
    let (client, served) = connected();
    let mut serving = std::pin::pin!(serve(Arc::clone(&served), Arc::clone(&shared)));
    // It waits for a request, and for the end of its rest.
    assert!(poll_fn(|cx| Poll::Ready(serving.as_mut().poll(cx).is_pending())).await);
    tokio::time::advance(Duration::from_millis(101)).await;
    ask(&client, &served);
    serving.await;
    drop(served);
    assert_told_of_the_end(&shared, &received(client));
}

/// hyper stops for others behind sixteen requests, with the rest in its buffer: told to end then, a connection says so.
#[tokio::test]
async fn pipelined_requests_that_are_not_served_any_more_are_told_of_the_end() {
    const PIPELINED: usize = 40;
    let shared = gateway(15_000);
    let (client, served) = connected();
    for _ in 0..PIPELINED {
        ask(&client, &served);
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
    assert_told_of_the_end(&shared, &format!("http/1.1 {}", answers[answers.len() - 1]));
}
