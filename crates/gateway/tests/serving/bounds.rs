//! What clients may send, and how long they may take.

use crankpick_gateway::Cause;

use crate::stand_ins::*;

const LIMITS: &str = r#","limits":{"max_header_bytes":9000,"max_body_bytes":100,"header_timeout_ms":100,
    "idle_timeout_ms":300}"#;

fn gateway(backend: &Backend) -> Gateway {
    Gateway::start(configuration(1, &route("/", "mutating", ""), LIMITS), &[backend.address])
}

#[test]
fn a_head_that_is_too_long_is_refused() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let headers = format!("X-Long: {}\r\n", "x".repeat(9_000));
    assert_eq!(gateway.ask("GET", "/", &headers, "").answer().status(), 431);
}

#[test]
fn a_body_that_is_too_long_is_refused_and_the_connection_ended() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.ask("POST", "/", "", &"x".repeat(101));
    assert_eq!(client.answer().status(), 413);
    assert!(client.ends());
    let mut client = gateway.connect();
    let head = format!(
        "POST / HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    client.say(&format!("{head}65\r\n{}\r\n", "x".repeat(101)));
    assert_eq!(client.answer().status(), 413);
    assert!(client.ends());
    assert!(backend.is_quiet());
}

#[test]
fn framing_in_doubt_is_refused_and_the_connection_ended() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let lengths = [
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Content-Length: +3\r\n",
    ];
    for lengths in lengths {
        let mut client = gateway.ask("POST", "/", lengths, "");
        client.say("0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n");
        assert_eq!(client.answer().status(), 400, "{lengths}");
        assert!(client.ends(), "{lengths}");
    }
    assert!(backend.is_quiet());
}

#[test]
fn a_request_without_one_id_or_host_is_refused() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.connect();
    client.say(&format!("GET / HTTP/1.1\r\nHost: {HOST}\r\n\r\n"));
    assert_eq!(client.answer().status(), 400);
    assert_eq!(gateway.ask("GET", "/", "X-Request-Id: b\r\n", "").answer().status(), 400);
    assert_eq!(gateway.ask("GET", "/", "Host: b\r\n", "").answer().status(), 400);
    assert!(backend.is_quiet());
}

#[test]
fn a_head_that_does_not_end_ends_its_connection() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.connect();
    client.say("GET / HTTP/1.1\r\nHost: a");
    assert!(client.ends());
    // On a connection that was used before as well.
    let mut client = gateway.get("/");
    backend.next().answer(200, SOUND, "");
    client.answer();
    client.say("GET / HTTP/1.1\r\nHost: a");
    assert!(client.ends());
    assert_eq!(gateway.count(Cause::ClientTimedOut), 2);
}

#[test]
fn a_body_that_does_not_come_is_refused_with_a_promise() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.ask("POST", "/", "Content-Length: 5\r\n", "");
    client.say("half");
    assert_eq!(client.answer().status(), 408);
    assert!(client.ends());
    assert!(backend.is_quiet());
}

#[test]
fn a_connection_at_rest_ends_after_its_time() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut silent = gateway.connect();
    let mut used = gateway.get("/");
    backend.next().answer(200, SOUND, "");
    assert_eq!(used.answer().status(), 200);
    assert!(silent.ends() && used.ends());
}

/// Empty lines ahead of a request are no part of it, and none of them keeps a connection.
#[test]
fn a_connection_that_sends_empty_lines_alone_ends_after_its_time() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.connect();
    client.say("\r\n");
    assert!(client.ends());
}

#[test]
fn where_there_is_no_room_connections_at_rest_end() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/", "mutating", ""), "");
    let gateway = Gateway::with(routing, &[backend.address], |settings| settings.max_client_connections = 2);
    let mut held: Vec<_> = (0..2).map(|_| gateway.connect()).collect();
    for client in &mut held {
        client.ask("GET", "/", "", "");
        backend.next().answer(200, SOUND, "");
        assert_eq!(client.answer().status(), 200);
    }
    let mut further = gateway.get("/");
    backend.next().answer(200, SOUND, "");
    assert_eq!(further.answer().status(), 200);
    assert!(held.iter_mut().any(Client::ends));
}
