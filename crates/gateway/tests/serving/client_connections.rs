//! How clients' connections end: no request of a client that keeps to what it was told may cross the end of its
//! connection, and no refusal may be lost to it.

use std::thread::sleep;
use std::time::Duration;

use crankpick_gateway::Cause;

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
    assert_eq!((answer.status(), answer.header("connection")), (404, None));
    client.ask("GET", "/known/", "", "");
    backend.next().answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
}
