//! Connections to backends.

use crankpick_gateway::Cause;

use crate::support::*;

fn gateway(backend: &Backend) -> Gateway {
    Gateway::start(configuration(1, &route("/", "mutating", ""), ""), &[backend.address])
}

fn serve_request(gateway: &Gateway, backend: &Backend, headers: &str) -> BackendRequest {
    let mut client = gateway.get("/");
    let mut request = backend.next_request();
    request.respond(200, &format!("{VALID_HEADERS}{headers}"), "");
    assert_eq!(client.read_response().status(), 200);
    request
}

#[test]
fn backend_connection_is_reused() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    for _ in 0..5 {
        assert_eq!(serve_request(&gateway, &backend, "Keep-Alive: timeout=5\r\n").connection, 0);
    }
    assert_eq!(gateway.count(Cause::BackendConnected), 1);
}

#[test]
fn connection_closed_by_backend_is_not_reused() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    for number in 0..3 {
        assert_eq!(serve_request(&gateway, &backend, "Connection: close\r\n").connection, number);
    }
    // A keep-alive timeout within the safety margin does not permit reuse.
    assert_eq!(serve_request(&gateway, &backend, "Keep-Alive: timeout=0\r\n").connection, 3);
    assert_eq!(serve_request(&gateway, &backend, "").connection, 4);
}

/// A mutating request must not be lost to a connection that the backend has closed meanwhile.
#[test]
fn dead_idle_connection_is_not_used() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let request = serve_request(&gateway, &backend, "");
    request.disconnect();
    assert_eq!(serve_request(&gateway, &backend, "").connection, 1);
}

#[test]
fn surplus_data_closes_connection() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut request = serve_request(&gateway, &backend, "");
    request.respond(200, VALID_HEADERS, "surplus");
    assert_eq!(backend.closed.recv_timeout(TEST_TIMEOUT), Ok(0));
    assert_eq!(serve_request(&gateway, &backend, "").connection, 1);
}

#[test]
fn connections_per_backend_are_limited_to_gateway_share() {
    let backend = Backend::start();
    // Service `t` accepts two connections from all gateways; nine tenths of that, rounded down, are one.
    let routing =
        configuration(1, &route("/", "mutating", "").replace(r#""service":"s""#, r#""service":"t""#), "");
    let gateway = Gateway::start(routing, &[]);
    gateway.shared.publish_backends(backend_table("t", &[backend.address]));
    let mut client = gateway.get("/");
    let mut request = backend.next_request();
    let refused = gateway.get("/").read_response();
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some());
    request.respond(200, VALID_HEADERS, "");
    assert_eq!(client.read_response().status(), 200);
    assert_eq!(gateway.count(Cause::BackendConnected), 1);
}

/// The address of a removed backend may be reused by another one.
#[test]
fn connections_to_removed_backend_are_closed() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    serve_request(&gateway, &backend, "");
    gateway.shared.publish_backends(backend_table("s", &[]));
    assert_eq!(backend.closed.recv_timeout(TEST_TIMEOUT), Ok(0));
    assert_eq!(gateway.get("/").read_response().status(), 503);
}
