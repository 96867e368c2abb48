//! Connections to backends.

use crankpick_gateway::Cause;

use crate::stand_ins::*;

fn gateway(backend: &Backend) -> Gateway {
    Gateway::start(configuration(1, &route("/", "mutating", ""), ""), &[backend.address])
}

fn served(gateway: &Gateway, backend: &Backend, headers: &str) -> Asked {
    let mut client = gateway.get("/");
    let mut asked = backend.next();
    asked.answer(200, &format!("{SOUND}{headers}"), "");
    assert_eq!(client.answer().status(), 200);
    asked
}

#[test]
fn a_connection_serves_one_request_after_the_other() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    for _ in 0..5 {
        assert_eq!(served(&gateway, &backend, "Keep-Alive: timeout=5\r\n").connection, 0);
    }
    assert_eq!(gateway.count(Cause::BackendConnected), 1);
}

#[test]
fn a_connection_that_its_backend_closes_is_not_used_again() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    for number in 0..3 {
        assert_eq!(served(&gateway, &backend, "Connection: close\r\n").connection, number);
    }
    // A time that is all margin is none.
    assert_eq!(served(&gateway, &backend, "Keep-Alive: timeout=0\r\n").connection, 3);
    assert_eq!(served(&gateway, &backend, "").connection, 4);
}

/// A mutating request is not lost to a connection that its backend has ended meanwhile.
#[test]
fn a_connection_that_has_ended_is_not_used() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let asked = served(&gateway, &backend, "");
    asked.break_off();
    assert_eq!(served(&gateway, &backend, "").connection, 1);
}

#[test]
fn more_than_was_asked_for_ends_the_connection() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut asked = served(&gateway, &backend, "");
    asked.answer(200, SOUND, "surplus");
    assert_eq!(backend.closed.recv_timeout(PATIENCE), Ok(0));
    assert_eq!(served(&gateway, &backend, "").connection, 1);
}

#[test]
fn a_backend_gets_no_more_connections_than_this_gateways_share() {
    let backend = Backend::start();
    // Of the service `t`, which accepts two from all: nine tenths of that are one.
    let routing =
        configuration(1, &route("/", "mutating", "").replace(r#""service":"s""#, r#""service":"t""#), "");
    let gateway = Gateway::start(routing, &[]);
    gateway.shared.publish_backends(table("t", &[backend.address]));
    let mut client = gateway.get("/");
    let mut asked = backend.next();
    let refused = gateway.get("/").answer();
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some());
    asked.answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
    assert_eq!(gateway.count(Cause::BackendConnected), 1);
}

/// Another backend may come to the address of one that has gone.
#[test]
fn connections_to_a_backend_that_has_gone_are_ended() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    served(&gateway, &backend, "");
    gateway.shared.publish_backends(table("s", &[]));
    assert_eq!(backend.closed.recv_timeout(PATIENCE), Ok(0));
    assert_eq!(gateway.get("/").answer().status(), 503);
}
