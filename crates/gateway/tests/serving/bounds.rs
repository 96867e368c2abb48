//! Size and time limits for client requests.

use crankpick_gateway::Cause;

use crate::support::*;

const LIMITS: &str = r#","limits":{"max_header_bytes":9000,"max_body_bytes":100,"header_timeout_ms":100,
    "idle_timeout_ms":300}"#;

fn gateway(backend: &Backend) -> Gateway {
    Gateway::start(configuration(1, &route("/", "mutating", ""), LIMITS), &[backend.address])
}

#[test]
fn oversized_head_is_refused() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let headers = format!("X-Long: {}\r\n", "x".repeat(9_000));
    assert_eq!(gateway.send_request("GET", "/", &headers, "").read_response().status(), 431);
}

#[test]
fn oversized_body_is_refused_and_connection_closed() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.send_request("POST", "/", "", &"x".repeat(101));
    assert_eq!(client.read_response().status(), 413);
    assert!(client.is_closed());
    let mut client = gateway.connect();
    let head = format!(
        "POST / HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    client.write_raw(&format!("{head}65\r\n{}\r\n", "x".repeat(101)));
    assert_eq!(client.read_response().status(), 413);
    assert!(client.is_closed());
    assert!(backend.has_no_request());
}

#[test]
fn ambiguous_framing_is_refused_and_connection_closed() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let lengths = [
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Content-Length: +3\r\n",
    ];
    for lengths in lengths {
        let mut client = gateway.send_request("POST", "/", lengths, "");
        client.write_raw("0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_response().status(), 400, "{lengths}");
        assert!(client.is_closed(), "{lengths}");
    }
    assert!(backend.has_no_request());
}

#[test]
fn missing_or_repeated_id_or_host_is_refused() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.connect();
    client.write_raw(&format!("GET / HTTP/1.1\r\nHost: {HOST}\r\n\r\n"));
    assert_eq!(client.read_response().status(), 400);
    assert_eq!(gateway.send_request("GET", "/", "X-Request-Id: b\r\n", "").read_response().status(), 400);
    assert_eq!(gateway.send_request("GET", "/", "Host: b\r\n", "").read_response().status(), 400);
    assert!(backend.has_no_request());
}

#[test]
fn incomplete_head_closes_connection() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.connect();
    client.write_raw("GET / HTTP/1.1\r\nHost: a");
    assert!(client.is_closed());
    // The same on a connection that has served a request.
    let mut client = gateway.get("/");
    backend.next_request().respond(200, VALID_HEADERS, "");
    client.read_response();
    client.write_raw("GET / HTTP/1.1\r\nHost: a");
    assert!(client.is_closed());
    assert_eq!(gateway.count(Cause::ClientTimedOut), 2);
}

#[test]
fn missing_body_is_refused_as_not_executed() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.send_request("POST", "/", "Content-Length: 5\r\n", "");
    client.write_raw("half");
    assert_eq!(client.read_response().status(), 408);
    assert!(client.is_closed());
    assert!(backend.has_no_request());
}

#[test]
fn idle_connection_is_closed_after_timeout() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut silent = gateway.connect();
    let mut used = gateway.get("/");
    backend.next_request().respond(200, VALID_HEADERS, "");
    assert_eq!(used.read_response().status(), 200);
    assert!(silent.is_closed() && used.is_closed());
}

/// Empty lines before a request are not part of it and do not keep a connection open.
#[test]
fn connection_with_only_empty_lines_is_closed_after_timeout() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.connect();
    client.write_raw("\r\n");
    assert!(client.is_closed());
}

#[test]
fn idle_connections_are_evicted_at_the_limit() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/", "mutating", ""), "");
    let gateway = Gateway::with(routing, &[backend.address], |settings| settings.max_client_connections = 2);
    let mut held: Vec<_> = (0..2).map(|_| gateway.connect()).collect();
    for client in &mut held {
        client.send_request("GET", "/", "", "");
        backend.next_request().respond(200, VALID_HEADERS, "");
        assert_eq!(client.read_response().status(), 200);
    }
    let mut further = gateway.get("/");
    backend.next_request().respond(200, VALID_HEADERS, "");
    assert_eq!(further.read_response().status(), 200);
    assert!(held.iter_mut().any(Client::is_closed));
}
