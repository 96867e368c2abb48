//! Ends of client connections: a client that respects the announced idle time must not lose a request to a
//! closed connection, and no refusal may be lost.

use std::io::Write;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crankpick_gateway::{Cause, ConnectionEnds, EndReason};

use crate::support::*;

fn limits(idle_timeout_ms: u64) -> String {
    format!(r#","limits":{{"idle_timeout_ms":{idle_timeout_ms}}}"#)
}

fn gateway(backend: &Backend, idle_timeout_ms: u64) -> Gateway {
    let routing = configuration(1, &route("/", "mutating", ""), &limits(idle_timeout_ms));
    Gateway::start(routing, &[backend.address])
}

/// Serves one request.
fn serve_one(client: &mut Client, backend: &Backend) -> Message {
    client.send_request("GET", "/", "", "");
    backend.next_request().respond(200, VALID_HEADERS, "");
    let response = client.read_response();
    assert_eq!(response.status(), 200);
    response
}

/// The idle time that the response announces.
fn announced_idle(response: &Message) -> Duration {
    let field = response.header("keep-alive").expect("the response announces a keep-alive timeout");
    let seconds = field.strip_prefix("timeout=").expect("a timeout").parse().expect("whole seconds");
    Duration::from_secs(seconds)
}

#[test]
fn idle_timeout_is_announced_to_client() {
    let backend = Backend::start();
    for (idle_timeout_ms, announced) in [(15_000, 12), (2_000, 1), (300, 1)] {
        let gateway = gateway(&backend, idle_timeout_ms);
        let response = serve_one(&mut gateway.connect(), &backend);
        assert_eq!(announced_idle(&response), Duration::from_secs(announced), "{idle_timeout_ms} ms");
    }
}

/// Hop-by-hop fields must be listed in `Connection`, so that intermediaries do not forward them.
#[test]
fn keep_alive_is_listed_in_connection_header() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 15_000);
    let response = serve_one(&mut gateway.connect(), &backend);
    assert_eq!(response.header("connection"), Some("keep-alive"));
}

#[test]
fn idle_timeout_is_announced_with_refusal() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/known/", "mutating", ""), &limits(15_000));
    let gateway = Gateway::start(routing, &[backend.address]);
    let response = gateway.get("/unknown").read_response();
    assert_eq!((response.status(), announced_idle(&response)), (404, Duration::from_secs(12)));
}

/// A limit below one second cannot be announced; the announced time applies.
#[test]
fn connection_is_kept_for_announced_time() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 300);
    let mut client = gateway.connect();
    let announced = announced_idle(&serve_one(&mut client, &backend));
    sleep(announced);
    serve_one(&mut client, &backend);
}

#[test]
fn shorter_limit_applies_only_after_it_was_announced() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 2_500);
    let mut client = gateway.connect();
    let announced = announced_idle(&serve_one(&mut client, &backend));
    assert_eq!(announced, Duration::from_secs(2));
    let smaller = configuration(2, &route("/", "mutating", ""), &limits(100));
    gateway.shared.publish_routing(smaller);
    sleep(announced);
    let response = serve_one(&mut client, &backend);
    assert_eq!(announced_idle(&response), Duration::from_secs(1));
}

/// Keys, routes and outdated configurations are checked by the head, before the body has arrived.
#[test]
fn refusal_waits_for_body_and_connection_is_reused() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/known/", "mutating", ""), "");
    let gateway = Gateway::start(routing, &[backend.address]);
    let body = "x".repeat(20_000);
    let mut client = gateway.connect();
    let head = format!("POST /unknown HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n");
    client.write_raw(&format!("{head}Content-Length: {}\r\n\r\n{}", body.len(), &body[..10_000]));
    while gateway.count(Cause::Requested) == 0 {
        std::thread::yield_now();
    }
    // The gateway is single-threaded: it has processed the first part before it sends this response.
    assert_eq!(gateway.get("/other").read_response().status(), 404);
    client.write_raw(&body[10_000..]);
    let response = client.read_response();
    assert_eq!((response.status(), response.header("connection")), (404, Some("keep-alive")));
    client.send_request("GET", "/known/", "", "");
    backend.next_request().respond(200, VALID_HEADERS, "");
    assert_eq!(client.read_response().status(), 200);
}

/// A body too long to be discarded closes the connection, and the refusal announces that.
#[test]
fn refusal_of_long_body_announces_close() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/known/", "mutating", ""), "");
    let gateway = Gateway::start(routing, &[backend.address]);
    let mut client = gateway.send_request("POST", "/unknown", "", &"x".repeat(300_000));
    let response = client.read_response();
    assert_eq!((response.status(), response.header("connection")), (404, Some("close")));
    assert!(client.is_closed());
}

/// A client that sends `Expect: 100-continue` is not asked for a body that is not needed.
#[test]
fn body_is_not_requested_for_refused_expect_continue() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/known/", "mutating", ""), "");
    let gateway = Gateway::start(routing, &[backend.address]);
    let mut client = gateway.connect();
    let head = format!("POST /unknown HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n");
    client.write_raw(&format!("{head}Content-Length: 5\r\nExpect: 100-continue\r\n\r\n"));
    let response = client.read_response();
    assert_eq!((response.status(), response.header("connection")), (404, Some("close")));
    assert!(client.is_closed());
}

/// Connections are closed in an orderly way before idle ones have to be evicted.
#[test]
fn connections_close_after_response_when_nearly_full() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/", "mutating", ""), "");
    let gateway = Gateway::with(routing, &[backend.address], |settings| settings.max_client_connections = 16);
    let mut clients: Vec<_> = (0..15).map(|_| gateway.connect()).collect();
    let mut closed = clients.iter_mut().map(|client| {
        let response = serve_one(client, &backend);
        response.header("connection") == Some("close")
    });
    assert!(closed.any(|closed| closed));
    assert_eq!(gateway.count(Cause::ClientEvicted), 0);
}

#[test]
fn closing_response_announces_no_keep_alive() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 15_000);
    let mut client = gateway.connect();
    serve_one(&mut client, &backend);
    gateway.shared.begin_shutdown();
    client.send_request("GET", "/", DEADLINE_WITHIN_GRACE, "");
    backend.next_request().respond(200, VALID_HEADERS, "");
    let response = client.read_response();
    assert_eq!(response.status(), 200);
    assert_eq!((response.header("connection"), response.header("keep-alive")), (Some("close"), None));
}

/// Which responses announce an idle time, depending on the client's version and `Connection` header.
#[test]
fn keep_alive_is_announced_only_if_client_keeps_connection() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 15_000);
    let kept = (Some("keep-alive"), Some("timeout=12"));
    let cases = [
        ("HTTP/1.1", "Connection: close\r\n", (Some("close"), None)),
        ("HTTP/1.1", "Connection: x-hop, Close\r\n", (Some("close"), None)),
        ("HTTP/1.0", "", (Some("close"), None)),
        ("HTTP/1.0", "Connection: keep-alive\r\n", kept),
    ];
    for (version, fields, expected) in cases {
        let mut client = gateway.connect();
        client.write_raw(&format!("GET / {version}\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n{fields}\r\n"));
        backend.next_request().respond(200, VALID_HEADERS, "");
        let response = client.read_response();
        let announced = (response.header("connection"), response.header("keep-alive"));
        assert_eq!(announced, expected, "{version} {fields}");
        assert!(expected == kept || client.is_closed(), "{version} {fields}");
    }
}

/// Data after the last answered request must not cost that response: closing a connection with unread data
/// resets it, and the client loses what it has not read yet.
#[test]
fn response_is_not_lost_to_unread_bytes() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 15_000);
    let mut client = gateway.get("/");
    let mut request = backend.next_request();
    // More than the gateway reads ahead of a response.
    client.send_request("POST", "/", "", &"x".repeat(200_000));
    gateway.shared.begin_shutdown();
    let body = "y".repeat(400_000);
    request.respond(200, VALID_HEADERS, &body);
    gateway.ended.recv_timeout(TEST_TIMEOUT).expect("all is served");
    let response = client.read_response();
    assert_eq!((response.status(), response.body.len()), (200, body.len()));
}

/// A client on a slow link may still be sending its body when the refusal has been sent.
#[test]
fn refusal_is_not_lost_while_long_body_arrives() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/known/", "mutating", ""), "");
    let gateway = Gateway::start(routing, &[backend.address]);
    let mut client = gateway.send_request("POST", "/unknown", "Content-Length: 1000000\r\n", "");
    let pieces = 50;
    for _ in 0..pieces {
        client.write_raw(&"x".repeat(1_000_000 / pieces));
        sleep(Duration::from_millis(20));
    }
    assert_eq!(client.read_response().status(), 404);
    assert!(client.is_closed());
}

/// A response must not announce keep-alive if the gateway closes the connection.
#[test]
fn close_is_announced_to_http10_keep_alive_client() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 15_000);
    let mut client = gateway.connect();
    gateway.shared.begin_shutdown();
    let head = format!("GET / HTTP/1.0\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n");
    client.write_raw(&format!("{head}{DEADLINE_WITHIN_GRACE}Connection: keep-alive\r\n\r\n"));
    backend.next_request().respond(200, VALID_HEADERS, "");
    let response = client.read_response();
    assert_eq!((response.header("connection"), response.header("keep-alive")), (Some("close"), None));
    assert!(client.is_closed());
}

/// A slowly sent body never stalls, but must not delay its refusal or occupy its connection for long.
#[test]
fn refusal_does_not_wait_for_slow_body() {
    let backend = Backend::start();
    let limits = r#","limits":{"header_timeout_ms":500}"#;
    let routing = configuration(1, &route("/known/", "mutating", ""), limits);
    let gateway = Gateway::start(routing, &[backend.address]);
    let mut client = gateway.send_request("POST", "/unknown", "Content-Length: 200000\r\n", "");
    let mut dripping = client.clone_stream();
    std::thread::spawn(move || {
        // The write fails when the connection is closed.
        while dripping.write_all(b"x").is_ok() {
            sleep(Duration::from_millis(20));
        }
    });
    let response = client.read_response();
    assert_eq!((response.status(), response.header("connection")), (404, Some("close")));
    assert!(client.is_closed());
}

#[test]
fn connection_ends_are_counted_by_reason_with_idle_time() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 100);
    let mut idle_client = gateway.connect();
    let announced = announced_idle(&serve_one(&mut idle_client, &backend));
    let mut left = gateway.connect();
    serve_one(&mut left, &backend);
    left.disconnect();
    assert!(idle_client.is_closed());
    let idle = counted_end(&gateway, EndReason::Idle);
    assert_eq!((idle.number, counted_end(&gateway, EndReason::Closed).number), (1, 1));
    assert!(idle.min_idle.expect("it was idle") > announced);
}

/// The counted ends for one reason. A client may see an end before it is counted.
fn counted_end(gateway: &Gateway, reason: EndReason) -> ConnectionEnds {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let ends = gateway.shared.connection_ends();
        if let Some(counted) = ends.into_iter().find(|end| end.reason == reason) {
            return counted;
        }
        assert!(Instant::now() < until, "the end is not counted: {reason:?}");
        std::thread::yield_now();
    }
}
