//! How clients' connections end: no request of a client that keeps to what it was told may cross the end of its
//! connection, and no refusal may be lost to it.

use std::io::Write;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crankpick_gateway::{Cause, ConnectionEnds, EndReason};

use crate::stand_ins::*;

fn limits(idle_timeout_ms: u64) -> String {
    format!(r#","limits":{{"idle_timeout_ms":{idle_timeout_ms}}}"#)
}

fn gateway(backend: &Backend, idle_timeout_ms: u64) -> Gateway {
    let routing = configuration(1, &route("/", "mutating", ""), &limits(idle_timeout_ms));
    Gateway::start(routing, &[backend.address])
}

/// One request that is answered.
fn serve_one(client: &mut Client, backend: &Backend) -> Message {
    client.ask("GET", "/", "", "");
    backend.next().answer(200, SOUND, "");
    let answer = client.answer();
    assert_eq!(answer.status(), 200);
    answer
}

/// For how long the client may let its connection rest behind this answer.
fn told_rest(answer: &Message) -> Duration {
    let field = answer.header("keep-alive").expect("the answer says for how long its connection is kept");
    let seconds = field.strip_prefix("timeout=").expect("a time-out").parse().expect("whole seconds");
    Duration::from_secs(seconds)
}

#[test]
fn a_client_is_told_how_long_its_connection_may_rest() {
    let backend = Backend::start();
    for (idle_timeout_ms, told) in [(15_000, 12), (2_000, 1), (300, 1)] {
        let gateway = gateway(&backend, idle_timeout_ms);
        let answer = serve_one(&mut gateway.connect(), &backend);
        assert_eq!(told_rest(&answer), Duration::from_secs(told), "{idle_timeout_ms} ms");
    }
}

/// What concerns the connection alone is named by `Connection`, so that nobody in between passes it on.
#[test]
fn the_rest_is_told_as_an_option_of_the_connection() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 15_000);
    let answer = serve_one(&mut gateway.connect(), &backend);
    assert_eq!(answer.header("connection"), Some("keep-alive"));
}

#[test]
fn a_refusal_tells_it_as_well() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/known/", "mutating", ""), &limits(15_000));
    let gateway = Gateway::start(routing, &[backend.address]);
    let answer = gateway.get("/unknown").answer();
    assert_eq!((answer.status(), told_rest(&answer)), (404, Duration::from_secs(12)));
}

/// A limit of less than a second can't be told; what was told holds.
#[test]
fn a_connection_is_kept_for_as_long_as_its_client_was_told() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 300);
    let mut client = gateway.connect();
    let told = told_rest(&serve_one(&mut client, &backend));
    sleep(told);
    serve_one(&mut client, &backend);
}

#[test]
fn a_smaller_limit_binds_only_answers_that_tell_it() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 2_500);
    let mut client = gateway.connect();
    let told = told_rest(&serve_one(&mut client, &backend));
    assert_eq!(told, Duration::from_secs(2));
    let smaller = configuration(2, &route("/", "mutating", ""), &limits(100));
    gateway.shared.publish_routing(smaller);
    sleep(told);
    let answer = serve_one(&mut client, &backend);
    assert_eq!(told_rest(&answer), Duration::from_secs(1));
}

/// Keys, routes and a configuration that is out of date are judged from the head, before the body is there.
#[test]
fn a_refusal_waits_for_the_body_and_its_connection_serves_on() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/known/", "mutating", ""), "");
    let gateway = Gateway::start(routing, &[backend.address]);
    let body = "x".repeat(20_000);
    let mut client = gateway.connect();
    let head = format!("POST /unknown HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n");
    client.say(&format!("{head}Content-Length: {}\r\n\r\n{}", body.len(), &body[..10_000]));
    while gateway.count(Cause::Requested) == 0 {
        std::thread::yield_now();
    }
    // The gateway has one thread: whatever it made of the part, it did so before this answer.
    assert_eq!(gateway.get("/other").answer().status(), 404);
    client.say(&body[10_000..]);
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (404, Some("keep-alive")));
    client.ask("GET", "/known/", "", "");
    backend.next().answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
}

/// What is too long to be read for nothing ends with its refusal, which says so.
#[test]
fn a_refusal_of_a_long_body_says_that_it_ends_the_connection() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/known/", "mutating", ""), "");
    let gateway = Gateway::start(routing, &[backend.address]);
    let mut client = gateway.ask("POST", "/unknown", "", &"x".repeat(300_000));
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (404, Some("close")));
    assert!(client.ends());
}

/// A client that waits to be asked for its body isn't asked for one that nobody needs.
#[test]
fn a_body_that_waits_to_be_asked_for_is_not_asked_for_in_vain() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/known/", "mutating", ""), "");
    let gateway = Gateway::start(routing, &[backend.address]);
    let mut client = gateway.connect();
    let head = format!("POST /unknown HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n");
    client.say(&format!("{head}Content-Length: 5\r\nExpect: 100-continue\r\n\r\n"));
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (404, Some("close")));
    assert!(client.ends());
}

/// Room is made in order before connections at rest must be ended for it.
#[test]
fn where_few_places_are_left_connections_end_with_their_answers() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/", "mutating", ""), "");
    let gateway = Gateway::with(routing, &[backend.address], |settings| settings.max_client_connections = 16);
    let mut clients: Vec<_> = (0..15).map(|_| gateway.connect()).collect();
    let mut closed = clients.iter_mut().map(|client| {
        let answer = serve_one(client, &backend);
        answer.header("connection") == Some("close")
    });
    assert!(closed.any(|closed| closed));
    assert_eq!(gateway.count(Cause::ClientEvicted), 0);
}

#[test]
fn an_answer_that_ends_its_connection_announces_no_rest() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 15_000);
    let mut client = gateway.connect();
    serve_one(&mut client, &backend);
    gateway.shared.begin_shutdown();
    client.ask("GET", "/", DONE_SOON, "");
    backend.next().answer(200, SOUND, "");
    let answer = client.answer();
    assert_eq!(answer.status(), 200);
    assert_eq!((answer.header("connection"), answer.header("keep-alive")), (Some("close"), None));
}

/// Which answers announce a rest, by what the client said of its connection.
#[test]
fn no_rest_is_announced_to_a_client_whose_connection_ends() {
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
        client.say(&format!("GET / {version}\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n{fields}\r\n"));
        backend.next().answer(200, SOUND, "");
        let answer = client.answer();
        let told = (answer.header("connection"), answer.header("keep-alive"));
        assert_eq!(told, expected, "{version} {fields}");
        assert!(expected == kept || client.ends(), "{version} {fields}");
    }
}

/// What comes behind the last request that is answered must not cost that answer: a connection that is closed over
/// unread bytes is reset, and what its client has not taken yet is lost.
#[test]
fn an_answer_is_not_lost_to_bytes_behind_its_request() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 15_000);
    let mut client = gateway.get("/");
    let mut asked = backend.next();
    // More than is read ahead of an answer.
    client.ask("POST", "/", "", &"x".repeat(200_000));
    gateway.shared.begin_shutdown();
    let body = "y".repeat(400_000);
    asked.answer(200, SOUND, &body);
    gateway.ended.recv_timeout(PATIENCE).expect("all is served");
    let answer = client.answer();
    assert_eq!((answer.status(), answer.body.len()), (200, body.len()));
}

/// A client on a slow link may send its body for longer than its refusal is on its way.
#[test]
fn a_refusal_is_not_lost_to_a_long_body_that_still_comes() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/known/", "mutating", ""), "");
    let gateway = Gateway::start(routing, &[backend.address]);
    let mut client = gateway.ask("POST", "/unknown", "Content-Length: 1000000\r\n", "");
    let pieces = 50;
    for _ in 0..pieces {
        client.say(&"x".repeat(1_000_000 / pieces));
        sleep(Duration::from_millis(20));
    }
    assert_eq!(client.answer().status(), 404);
    assert!(client.ends());
}

/// What the gateway ends must not say that it is kept.
#[test]
fn an_end_is_told_to_a_client_of_the_older_version_that_asked_for_a_kept_connection() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 15_000);
    let mut client = gateway.connect();
    gateway.shared.begin_shutdown();
    let head = format!("GET / HTTP/1.0\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n");
    client.say(&format!("{head}{DONE_SOON}Connection: keep-alive\r\n\r\n"));
    backend.next().answer(200, SOUND, "");
    let answer = client.answer();
    assert_eq!((answer.header("connection"), answer.header("keep-alive")), (Some("close"), None));
    assert!(client.ends());
}

/// A body that drips never stands still, and yet must not hold its refusal and its place for long.
#[test]
fn a_refusal_does_not_wait_for_a_body_that_drips() {
    let backend = Backend::start();
    let limits = r#","limits":{"header_timeout_ms":500}"#;
    let routing = configuration(1, &route("/known/", "mutating", ""), limits);
    let gateway = Gateway::start(routing, &[backend.address]);
    let mut client = gateway.ask("POST", "/unknown", "Content-Length: 200000\r\n", "");
    let mut dripping = client.second_handle();
    std::thread::spawn(move || {
        // It ends with the connection.
        while dripping.write_all(b"x").is_ok() {
            sleep(Duration::from_millis(20));
        }
    });
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (404, Some("close")));
    assert!(client.ends());
}

#[test]
fn ends_are_counted_by_reason_with_their_rest() {
    let backend = Backend::start();
    let gateway = gateway(&backend, 100);
    let mut resting = gateway.connect();
    let told = told_rest(&serve_one(&mut resting, &backend));
    let mut left = gateway.connect();
    serve_one(&mut left, &backend);
    left.leave();
    assert!(resting.ends());
    let idle = counted_end(&gateway, EndReason::Idle);
    assert_eq!((idle.number, counted_end(&gateway, EndReason::Closed).number), (1, 1));
    assert!(idle.min_idle.expect("it rested") > told);
}

/// What was counted of the ends for one reason. A client may see an end before it is counted.
fn counted_end(gateway: &Gateway, reason: EndReason) -> ConnectionEnds {
    let until = Instant::now() + PATIENCE;
    loop {
        let ends = gateway.shared.connection_ends();
        if let Some(counted) = ends.into_iter().find(|end| end.reason == reason) {
            return counted;
        }
        assert!(Instant::now() < until, "an end is counted: {reason:?}");
        std::thread::yield_now();
    }
}
