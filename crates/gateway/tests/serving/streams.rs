//! Streams: events are forwarded immediately and completely, resumed at another backend, and never look
//! complete by mistake.

use crankpick_gateway::Cause;

use crate::support::*;

fn gateway(backends: &[&Backend]) -> Gateway {
    let routes = [
        route("/s/", "streaming", r#","retries":2,"gap_aim_ms":100"#),
        route("/r/", "streaming", r#","retries":2,"resume":true,"gap_aim_ms":100"#),
    ];
    let addresses: Vec<_> = backends.iter().map(|backend| backend.address).collect();
    Gateway::start(configuration(1, &routes.join(","), ""), &addresses)
}

fn two_backends() -> (Gateway, [Backend; 2]) {
    let backends = [Backend::start(), Backend::start()];
    (gateway(&[&backends[0], &backends[1]]), backends)
}

fn next_request(backends: &[Backend; 2]) -> (usize, BackendRequest) {
    next_request_of(&[&backends[0], &backends[1]])
}

fn event(id: u32) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

#[test]
fn each_event_is_forwarded_as_it_arrives() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.get("/s/");
    let mut request = backend.next_request();
    request.begin_stream();
    request.send_chunk(&event(7));
    let head = client.head();
    assert_eq!((head.status(), head.header("x-response-seal")), (200, Some("3e1b.07")));
    assert_eq!(client.chunk(), Some(event(7)));
    // The next event is sent only after this one has been read.
    request.send_chunk(&event(14));
    assert_eq!(client.chunk(), Some(event(14)));
    request.send_chunk("data: the end\n\n");
    request.end_stream();
    assert_eq!(client.chunk().as_deref(), Some("data: the end\n\n"));
    assert_eq!(client.chunk().as_deref(), Some(""));
    // Both connections are reused for the next request.
    client.send_request("GET", "/s/", "", "");
    assert_eq!(backend.next_request().connection, request.connection);
    assert_eq!(gateway.count(Cause::StreamCompleted), 1);
}

#[test]
fn truncated_stream_does_not_look_complete_and_ends_after_complete_event() {
    let (gateway, backends) = two_backends();
    let mut client = gateway.get("/s/");
    let (_, mut request) = next_request(&backends);
    request.begin_stream();
    request.send_chunk(&event(1));
    client.head();
    assert_eq!(client.chunk(), Some(event(1)));
    request.send_chunk("id: 2\ndata: ha");
    request.disconnect();
    assert_eq!(client.chunk(), None);
    assert!(backends.iter().all(Backend::has_no_request));
    assert_eq!(gateway.count(Cause::StreamBrokenOff), 1);
}

/// Nothing was forwarded yet, so the gateway sends a response of its own, which does not promise
/// non-execution.
#[test]
fn stream_truncated_before_first_event_is_bad_gateway() {
    let (gateway, backends) = two_backends();
    let mut client = gateway.get("/s/");
    let (_, mut request) = next_request(&backends);
    request.begin_stream();
    request.send_chunk("id: 1\nda");
    request.disconnect();
    assert_eq!(client.read_response().status(), 502);
    assert!(backends.iter().all(Backend::has_no_request));
}

#[test]
fn stream_resumes_at_another_backend_in_same_response() {
    let (gateway, backends) = two_backends();
    let mut client = gateway.get("/r/");
    let (number, mut request) = next_request(&backends);
    assert_eq!(request.message.header("last-event-id"), None);
    request.begin_stream();
    request.send_chunk(&event(1));
    request.send_chunk(&event(2));
    client.head();
    assert_eq!((client.chunk(), client.chunk()), (Some(event(1)), Some(event(2))));
    request.send_chunk("id: 3\n");
    request.disconnect();
    let mut other = backends[1 - number].next_request();
    assert_eq!(other.message.header("last-event-id"), Some("2"));
    assert_eq!(other.message.header("x-request-id"), Some(ID));
    other.begin_stream();
    other.send_chunk(&event(3));
    assert_eq!(client.chunk(), Some(event(3)));
    other.end_stream();
    assert_eq!(client.chunk().as_deref(), Some(""));
    assert_eq!(gateway.count(Cause::StreamResumed), 1);
}

/// A backend that starts over would repeat or replace what the client has received.
#[test]
fn restarted_run_is_never_mixed_in() {
    let (gateway, backends) = two_backends();
    let mut client = gateway.get("/r/");
    let (number, mut request) = next_request(&backends);
    request.begin_stream();
    request.send_chunk(&event(1));
    client.head();
    assert_eq!(client.chunk(), Some(event(1)));
    request.disconnect();
    let mut other = backends[1 - number].next_request();
    other.begin_stream();
    other.send_chunk(&event(1));
    other.end_stream();
    assert_eq!(client.chunk(), None);
}

#[test]
fn client_last_event_id_is_forwarded() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.send_request("GET", "/r/", "Last-Event-Id: 21\r\n", "");
    let mut request = backend.next_request();
    assert_eq!(request.message.header("last-event-id"), Some("21"));
    request.begin_stream();
    request.send_chunk(&event(28));
    request.end_stream();
    client.head();
    assert_eq!(client.chunk(), Some(event(28)));
}

#[test]
fn silent_stream_resumes_within_tolerated_silence() {
    let (gateway, backends) = two_backends();
    let mut client = gateway.get("/r/");
    let (number, mut request) = next_request(&backends);
    request.begin_stream();
    request.send_chunk(&event(1));
    client.head();
    assert_eq!(client.chunk(), Some(event(1)));
    let mut other = backends[1 - number].next_request();
    assert_eq!(other.message.header("last-event-id"), Some("1"));
    other.begin_stream();
    other.send_chunk(&event(2));
    assert_eq!(client.chunk(), Some(event(2)));
    assert_eq!(gateway.count(Cause::BackendSilent), 1);
}

/// For an HTTP/1.0 client an orderly close would mean that the response is complete.
#[test]
fn truncated_unchunked_stream_is_reset() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.connect();
    client.write_raw(&format!("GET /s/ HTTP/1.0\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n\r\n"));
    let mut request = backend.next_request();
    request.begin_stream();
    request.send_chunk(&event(1));
    assert_eq!(client.head().header("transfer-encoding"), None);
    request.disconnect();
    assert!(client.is_reset());
}

/// The same if the client does not read the response for too long.
#[test]
fn unread_unchunked_stream_is_reset() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.connect();
    client.write_raw(&format!("GET /s/ HTTP/1.0\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n\r\n"));
    let mut request = backend.next_request();
    request.begin_stream();
    let long = format!("data: {}\n\n", "x".repeat(60_000));
    // More than the kernel buffers hold: the rest stays pending until the gateway's write timeout.
    for _ in 0..500 {
        request.send_chunk(&long);
    }
    while gateway.count(Cause::ClientTimedOut) == 0 {
        std::thread::yield_now();
    }
    assert!(client.is_reset());
}

/// Silence of a backend is no reason to end a response if no other backend can continue it.
#[test]
fn silent_stream_without_alternative_is_kept() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.send_request("GET", "/r/", "X-Deadline-Ms: 5000\r\n", "");
    let mut request = backend.next_request();
    request.begin_stream();
    request.send_chunk(&event(1));
    client.head();
    assert_eq!(client.chunk(), Some(event(1)));
    // The gateway has looked for another backend and found none.
    while gateway.count(Cause::NoBackend) == 0 {
        std::thread::yield_now();
    }
    request.send_chunk(&event(2));
    request.end_stream();
    assert_eq!((client.chunk(), client.chunk().as_deref()), (Some(event(2)), Some("")));
}

#[test]
fn stream_ends_at_deadline_and_does_not_look_complete() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.send_request("GET", "/s/", "X-Deadline-Ms: 200\r\n", "");
    let mut request = backend.next_request();
    request.begin_stream();
    request.send_chunk(&event(1));
    client.head();
    assert_eq!(client.chunk(), Some(event(1)));
    assert_eq!(client.chunk(), None);
    assert_eq!(backend.closed.recv_timeout(TEST_TIMEOUT), Ok(0));
}

#[test]
fn stream_client_disconnect_closes_backend_connection() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.get("/s/");
    let mut request = backend.next_request();
    request.begin_stream();
    request.send_chunk(&event(1));
    client.head();
    client.disconnect();
    assert_eq!(backend.closed.recv_timeout(TEST_TIMEOUT), Ok(request.connection));
    // The same before the first event.
    let client = gateway.get("/s/");
    let request = backend.next_request();
    client.disconnect();
    assert_eq!(backend.closed.recv_timeout(TEST_TIMEOUT), Ok(request.connection));
    assert_eq!(gateway.count(Cause::ClientGone), 2);
}
