//! Requests and responses are forwarded unchanged.

use crate::support::*;
use crankpick_gateway::Cause;

fn gateway(backends: &[&Backend]) -> Gateway {
    let routes = [
        route("/i/", "idempotent", r#","retries":2"#),
        route("/m/", "mutating", r#","retries":2"#),
        route("/i/deep/", "mutating", ""),
    ];
    let addresses: Vec<_> = backends.iter().map(|backend| backend.address).collect();
    Gateway::start(configuration(1, &routes.join(","), ""), &addresses)
}

#[test]
fn request_is_forwarded_with_documented_headers() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let headers =
        "X-Deadline-Ms: 3000\r\nX-Other: kept\r\nConnection: X-Hop\r\nX-Hop: gone\r\nX-Tenant: me\r\n";
    let mut client = gateway.send_request("PATCH", "/m/2f/%2e?a=b&c", headers, "the body");
    let mut request = backend.next_request();
    assert_eq!(request.message.start(), "PATCH /m/2f/%2e?a=b&c HTTP/1.1");
    assert_eq!(request.message.text(), "the body");
    assert_eq!(request.message.header("host"), Some(HOST));
    assert_eq!(request.message.header("x-request-id"), Some(ID));
    assert_eq!(request.message.header("x-expect-instance"), Some("b0"));
    assert_eq!(request.message.header("x-other"), Some("kept"));
    assert_eq!((request.message.header("x-hop"), request.message.header("x-tenant")), (None, None));
    let left: u64 = request.message.header("x-deadline-ms").expect("a deadline").parse().expect("a number");
    assert!((1_000..3_000).contains(&left), "{left}");
    request.respond(201, &format!("{VALID_HEADERS}X-Mine: too\r\n"), "all of it");
    let response = client.read_response();
    assert_eq!((response.status(), response.text()), (201, "all of it"));
    assert_eq!(response.header("x-response-seal"), Some("3e1b.07"));
    assert_eq!((response.header("x-request-id"), response.header("x-mine")), (Some(ID), Some("too")));
    assert_eq!(gateway.count(Cause::Answered), 1);
}

#[test]
fn prompt_headers_are_forwarded_unchanged() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let said = [
        ("x-model", "m:adapter/7"),
        ("x-token-usage", "1460,80"),
        ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410, e4402b7d:250,no-part"),
    ];
    let headers: String = said.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let mut client = gateway.send_request("POST", "/m/", &headers, "x");
    let mut request = backend.next_request();
    for (name, value) in said {
        assert_eq!(request.message.header(name), Some(value));
    }
    request.respond(200, VALID_HEADERS, "");
    assert_eq!(client.read_response().status(), 200);
}

/// The route's time budget also bounds a response that stalls halfway.
#[test]
fn stalled_long_response_ends_at_deadline() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.send_request("GET", "/m/", "X-Deadline-Ms: 300\r\n", "");
    let mut request = backend.next_request();
    request.write_raw(&format!(
        "HTTP/1.1 200 OK\r\n{VALID_HEADERS}Content-Length: 300000\r\n\r\n{}",
        "x".repeat(150_000)
    ));
    client.head();
    let mut read = 0;
    while client.byte().is_some() {
        read += 1;
    }
    assert!(read < 300_000, "{read}");
    assert_eq!(backend.closed.recv_timeout(TEST_TIMEOUT), Ok(request.connection));
}

#[test]
fn request_times_out_at_route_timeout() {
    let backend = Backend::start();
    let short = route("/m/", "mutating", "").replace(r#""timeout_ms":10000"#, r#""timeout_ms":200"#);
    let gateway = Gateway::start(configuration(1, &short, ""), &[backend.address]);
    let began = std::time::Instant::now();
    let mut client = gateway.send_request("POST", "/m/", "X-Deadline-Ms: 60000\r\n", "x");
    let request = backend.next_request();
    let left: u64 = request.message.header("x-deadline-ms").expect("a deadline").parse().expect("a number");
    assert!(left <= 200, "{left}");
    assert_eq!(client.read_response().status(), 504);
    // The limit is the timeout plus half a second.
    assert!(began.elapsed() < std::time::Duration::from_millis(700), "{:?}", began.elapsed());
}

#[test]
fn chunked_body_is_forwarded_completely() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.connect();
    let head = format!(
        "POST /m/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    client.write_raw(&format!("{head}4\r\nthe \r\n4\r\nbody\r\n0\r\n\r\n"));
    let mut request = backend.next_request();
    assert_eq!(request.message.text(), "the body");
    request.respond(200, VALID_HEADERS, "");
    assert_eq!(client.read_response().status(), 200);
}

#[test]
fn longest_matching_prefix_of_host_wins() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.get("/i/deep/x");
    // The more specific route is mutating, so a reset is not retried.
    backend.next_request().disconnect();
    assert_eq!(client.read_response().status(), 502);
    assert_eq!(gateway.get("/none/").read_response().status(), 404);
    let mut other = gateway.connect();
    other.write_raw(&format!("GET /i/ HTTP/1.1\r\nHost: other.example\r\nX-Request-Id: {ID}\r\n\r\n"));
    let refused = other.read_response();
    assert_eq!((refused.status(), refused.text().starts_with(r#"{"code":4040,"#)), (404, true));
}

/// Backend errors are forwarded as they are.
#[test]
fn server_error_is_forwarded_unchanged() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.send_request("POST", "/m/", "", "x");
    backend.next_request().respond(500, VALID_HEADERS, "its own words");
    let response = client.read_response();
    assert_eq!((response.status(), response.text()), (500, "its own words"));
    assert_eq!(response.header("x-response-seal"), Some("3e1b.07"));
}

#[test]
fn foreign_response_is_never_forwarded() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.send_request("POST", "/m/", "", "x");
    let mut request = backend.next_request();
    request.respond(200, "X-Request-Id: another\r\nX-Response-Seal: 1\r\n", "another's");
    assert_eq!(client.read_response().status(), 502);
    assert_eq!(backend.closed.recv_timeout(TEST_TIMEOUT), Ok(request.connection));
    assert_eq!(gateway.count(Cause::BackendForeignAnswer), 1);
}

#[test]
fn success_without_seal_or_id_is_rejected() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    for headers in [format!("X-Request-Id: {ID}\r\n"), "X-Response-Seal: 1\r\n".to_owned()] {
        let mut client = gateway.send_request("POST", "/m/", "", "x");
        backend.next_request().respond(200, &headers, "who knows whose");
        assert_eq!(client.read_response().status(), 502);
    }
}

#[test]
fn malformed_response_is_not_forwarded() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.send_request("POST", "/m/", "", "x");
    backend.next_request().write_raw("what is this\r\n\r\n");
    assert_eq!(client.read_response().status(), 502);
}

#[test]
fn long_response_is_forwarded_as_it_arrives() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let body = "0123456789".repeat(30_000);
    let mut client = gateway.get("/m/");
    backend.next_request().respond(200, VALID_HEADERS, &body);
    let response = client.read_response();
    assert!(response.status() == 200 && response.text() == body);
    // The connection is reused for the next request.
    let mut client = gateway.get("/m/");
    let mut request = backend.next_request();
    assert_eq!(request.connection, 0);
    request.respond(200, VALID_HEADERS, "");
    assert_eq!(client.read_response().status(), 200);
}

#[test]
fn truncated_long_response_does_not_look_complete() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.get("/m/");
    let mut request = backend.next_request();
    request.write_raw(&format!(
        "HTTP/1.1 200 OK\r\n{VALID_HEADERS}Content-Length: 300000\r\n\r\n{}",
        "x".repeat(150_000)
    ));
    let head = client.head();
    assert_eq!(head.header("content-length"), Some("300000"));
    request.disconnect();
    let mut read = 0;
    while client.byte().is_some() {
        read += 1;
    }
    assert!(read < 300_000, "{read}");
}

/// A body without framing is complete if its connection is closed in an orderly way. After a reset or a
/// stall it is incomplete (`send_endings::unframed_response_body`).
#[test]
fn unframed_success_is_complete_after_orderly_close() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.get("/m/");
    let mut request = backend.next_request();
    request.write_raw(&format!("HTTP/1.1 200 OK\r\n{VALID_HEADERS}\r\nall of it"));
    request.disconnect();
    let response = client.read_response();
    assert_eq!((response.status(), response.text()), (200, "all of it"));
}

#[test]
fn new_configuration_applies_to_next_request_on_open_connection() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.connect();
    client.send_request("GET", "/i/", "", "");
    let mut request = backend.next_request();
    gateway.shared.publish_routing(configuration(2, &route("/j/", "idempotent", ""), ""));
    // The request in flight keeps the configuration it was accepted under.
    request.respond(200, VALID_HEADERS, "");
    assert_eq!(client.read_response().status(), 200);
    client.send_request("GET", "/i/", "", "");
    assert_eq!(client.read_response().status(), 404);
    client.send_request("GET", "/j/", "", "");
    backend.next_request().respond(200, VALID_HEADERS, "");
    assert_eq!(client.read_response().status(), 200);
}
