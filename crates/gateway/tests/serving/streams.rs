//! Streams: events at once and whole, taken up at another backend, never whole by mistake.

use crankpick_gateway::Cause;

use crate::stand_ins::*;

fn gateway(backends: &[&Backend]) -> Gateway {
    let routes = [
        route("/s/", "streaming", r#","retries":2,"gap_aim_ms":100"#),
        route("/r/", "streaming", r#","retries":2,"resume":true,"gap_aim_ms":100"#),
    ];
    let addresses: Vec<_> = backends.iter().map(|backend| backend.address).collect();
    Gateway::start(configuration(1, &routes.join(","), ""), &addresses)
}

fn two() -> (Gateway, [Backend; 2]) {
    let backends = [Backend::start(), Backend::start()];
    (gateway(&[&backends[0], &backends[1]]), backends)
}

fn first(backends: &[Backend; 2]) -> (usize, Asked) {
    first_of(&[&backends[0], &backends[1]])
}

fn event(id: u32) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

#[test]
fn each_event_is_passed_on_as_it_comes() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.get("/s/");
    let mut asked = backend.next();
    asked.begin_stream();
    asked.piece(&event(7));
    let head = client.head();
    assert_eq!((head.status(), head.header("x-response-seal")), (200, Some("3e1b.07")));
    assert_eq!(client.chunk(), Some(event(7)));
    // The next one is said only after this one was read.
    asked.piece(&event(14));
    assert_eq!(client.chunk(), Some(event(14)));
    asked.piece("data: the end\n\n");
    asked.end_stream();
    assert_eq!(client.chunk().as_deref(), Some("data: the end\n\n"));
    assert_eq!(client.chunk().as_deref(), Some(""));
    // Both connections serve the next request.
    client.ask("GET", "/s/", "", "");
    assert_eq!(backend.next().connection, asked.connection);
    assert_eq!(gateway.count(Cause::StreamCompleted), 1);
}

#[test]
fn a_stream_that_breaks_off_does_not_look_whole_and_ends_behind_a_whole_event() {
    let (gateway, backends) = two();
    let mut client = gateway.get("/s/");
    let (_, mut asked) = first(&backends);
    asked.begin_stream();
    asked.piece(&event(1));
    client.head();
    assert_eq!(client.chunk(), Some(event(1)));
    asked.piece("id: 2\ndata: ha");
    asked.break_off();
    assert_eq!(client.chunk(), None);
    assert!(backends.iter().all(Backend::is_quiet));
    assert_eq!(gateway.count(Cause::StreamBrokenOff), 1);
}

/// Nothing was passed on: an answer of the gateway's own, without a promise.
#[test]
fn a_stream_that_breaks_off_before_its_first_event_is_a_bad_gateway() {
    let (gateway, backends) = two();
    let mut client = gateway.get("/s/");
    let (_, mut asked) = first(&backends);
    asked.begin_stream();
    asked.piece("id: 1\nda");
    asked.break_off();
    assert_eq!(client.answer().status(), 502);
    assert!(backends.iter().all(Backend::is_quiet));
}

#[test]
fn a_stream_goes_on_at_another_backend_in_the_same_answer() {
    let (gateway, backends) = two();
    let mut client = gateway.get("/r/");
    let (number, mut asked) = first(&backends);
    assert_eq!(asked.message.header("last-event-id"), None);
    asked.begin_stream();
    asked.piece(&event(1));
    asked.piece(&event(2));
    client.head();
    assert_eq!((client.chunk(), client.chunk()), (Some(event(1)), Some(event(2))));
    asked.piece("id: 3\n");
    asked.break_off();
    let mut other = backends[1 - number].next();
    assert_eq!(other.message.header("last-event-id"), Some("2"));
    assert_eq!(other.message.header("x-request-id"), Some(ID));
    other.begin_stream();
    other.piece(&event(3));
    assert_eq!(client.chunk(), Some(event(3)));
    other.end_stream();
    assert_eq!(client.chunk().as_deref(), Some(""));
    assert_eq!(gateway.count(Cause::StreamResumed), 1);
}

/// A backend that begins anew would repeat or replace what the client has.
#[test]
fn two_runs_are_never_mixed() {
    let (gateway, backends) = two();
    let mut client = gateway.get("/r/");
    let (number, mut asked) = first(&backends);
    asked.begin_stream();
    asked.piece(&event(1));
    client.head();
    assert_eq!(client.chunk(), Some(event(1)));
    asked.break_off();
    let mut other = backends[1 - number].next();
    other.begin_stream();
    other.piece(&event(1));
    other.end_stream();
    assert_eq!(client.chunk(), None);
}

#[test]
fn the_clients_own_place_is_passed_on() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.ask("GET", "/r/", "Last-Event-Id: 21\r\n", "");
    let mut asked = backend.next();
    assert_eq!(asked.message.header("last-event-id"), Some("21"));
    asked.begin_stream();
    asked.piece(&event(28));
    asked.end_stream();
    client.head();
    assert_eq!(client.chunk(), Some(event(28)));
}

#[test]
fn a_stream_that_goes_silent_is_taken_up_within_the_clients_patience() {
    let (gateway, backends) = two();
    let mut client = gateway.get("/r/");
    let (number, mut asked) = first(&backends);
    asked.begin_stream();
    asked.piece(&event(1));
    client.head();
    assert_eq!(client.chunk(), Some(event(1)));
    let mut other = backends[1 - number].next();
    assert_eq!(other.message.header("last-event-id"), Some("1"));
    other.begin_stream();
    other.piece(&event(2));
    assert_eq!(client.chunk(), Some(event(2)));
    assert_eq!(gateway.count(Cause::BackendSilent), 1);
}

/// To a client of HTTP/1.0 an end in order would say that the answer is whole.
#[test]
fn a_stream_without_chunks_that_breaks_off_ends_by_a_reset() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.connect();
    client.say(&format!("GET /s/ HTTP/1.0\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n\r\n"));
    let mut asked = backend.next();
    asked.begin_stream();
    asked.piece(&event(1));
    assert_eq!(client.head().header("transfer-encoding"), None);
    asked.break_off();
    assert!(client.is_reset());
}

/// The same where its client takes nothing of it for too long.
#[test]
fn a_stream_without_chunks_that_is_not_taken_ends_by_a_reset() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.connect();
    client.say(&format!("GET /s/ HTTP/1.0\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n\r\n"));
    let mut asked = backend.next();
    asked.begin_stream();
    let long = format!("data: {}\n\n", "x".repeat(60_000));
    // More than the kernel holds: the rest is written until the gateway gives up.
    for _ in 0..500 {
        asked.piece(&long);
    }
    while gateway.count(Cause::ClientTimedOut) == 0 {
        std::thread::yield_now();
    }
    assert!(client.is_reset());
}

/// A backend's silence gives no reason to end an answer: there is nobody else who could go on.
#[test]
fn a_silent_stream_without_another_backend_is_waited_for() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.ask("GET", "/r/", "X-Deadline-Ms: 5000\r\n", "");
    let mut asked = backend.next();
    asked.begin_stream();
    asked.piece(&event(1));
    client.head();
    assert_eq!(client.chunk(), Some(event(1)));
    // It has looked for another in vain.
    while gateway.count(Cause::NoBackend) == 0 {
        std::thread::yield_now();
    }
    asked.piece(&event(2));
    asked.end_stream();
    assert_eq!((client.chunk(), client.chunk().as_deref()), (Some(event(2)), Some("")));
}

#[test]
fn a_stream_ends_at_its_deadline_and_does_not_look_whole() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.ask("GET", "/s/", "X-Deadline-Ms: 200\r\n", "");
    let mut asked = backend.next();
    asked.begin_stream();
    asked.piece(&event(1));
    client.head();
    assert_eq!(client.chunk(), Some(event(1)));
    assert_eq!(client.chunk(), None);
    assert_eq!(backend.closed.recv_timeout(PATIENCE), Ok(0));
}

#[test]
fn a_client_that_goes_ends_its_backends_work() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.get("/s/");
    let mut asked = backend.next();
    asked.begin_stream();
    asked.piece(&event(1));
    client.head();
    client.leave();
    assert_eq!(backend.closed.recv_timeout(PATIENCE), Ok(asked.connection));
    // Before the first event as well.
    let client = gateway.get("/s/");
    let asked = backend.next();
    client.leave();
    assert_eq!(backend.closed.recv_timeout(PATIENCE), Ok(asked.connection));
    assert_eq!(gateway.count(Cause::ClientGone), 2);
}
