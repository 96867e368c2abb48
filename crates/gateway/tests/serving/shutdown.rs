//! Readiness, and the way to the end.

use std::sync::mpsc::TryRecvError;
use std::sync::Arc;
use std::time::Duration;

use crankpick_gateway::{GatewaySettings, Shared};

use crate::stand_ins::*;

fn gateway(backend: &Backend) -> Gateway {
    Gateway::start(configuration(1, &route("/", "streaming", ""), ""), &[backend.address])
}

#[test]
fn it_is_ready_with_a_configuration_that_is_current_until_it_is_to_end() {
    let shared = knowing_nothing(ALWAYS);
    assert!(!shared.is_ready());
    shared.publish_routing(configuration(1, &route("/", "mutating", ""), ""));
    assert!(!shared.is_ready());
    shared.confirm_routing(shared.now());
    assert!(shared.is_ready());
    shared.begin_shutdown();
    assert!(!shared.is_ready());
}

#[test]
fn it_is_not_ready_with_a_configuration_that_was_current_too_long_ago() {
    let shared = knowing_nothing(Duration::ZERO);
    shared.publish_routing(configuration(1, &route("/", "mutating", ""), ""));
    shared.confirm_routing(Duration::ZERO);
    assert!(!shared.is_ready());
}

fn knowing_nothing(refuse_within: Duration) -> Arc<Shared> {
    let mut settings = GatewaySettings::new("z", 4_100, 260 << 20);
    settings.freshness.refuse_within = refuse_within;
    Shared::new(settings, slog::Logger::root(slog::Discard, slog::o!()))
}

#[test]
fn connections_that_still_come_are_served_and_each_ends_with_its_answer() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut before = gateway.connect();
    before.ask("GET", "/", "", "");
    backend.next().answer(200, SOUND, "");
    assert_eq!(before.answer().header("connection"), Some("keep-alive"));
    let mut resting = gateway.get("/");
    backend.next().answer(200, SOUND, "");
    resting.answer();
    gateway.shared.begin_shutdown();
    for mut client in [before, gateway.connect()] {
        client.ask("GET", "/", DONE_SOON, "");
        backend.next().answer(200, SOUND, "");
        let answer = client.answer();
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.ends());
    }
    // What rests ends in order, and then there is nothing left to wait for.
    assert!(resting.ends());
    gateway.ended.recv_timeout(PATIENCE).expect("it ends");
}

#[test]
fn a_stream_in_hand_is_passed_on_to_its_end() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.get("/");
    let mut asked = backend.next();
    asked.begin_stream();
    asked.piece("id: 1\n\n");
    client.head();
    client.chunk();
    let mut resting = gateway.connect();
    gateway.shared.begin_shutdown();
    assert!(resting.ends());
    assert_eq!(gateway.ended.try_recv(), Err(TryRecvError::Empty));
    asked.piece("id: 2\n\n");
    asked.end_stream();
    assert_eq!((client.chunk().as_deref(), client.chunk().as_deref()), (Some("id: 2\n\n"), Some("")));
    assert!(client.ends());
    gateway.ended.recv_timeout(PATIENCE).expect("it ends");
}

#[test]
fn it_ends_before_the_grace_is_over_whatever_is_in_hand() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/", "streaming", ""), "");
    let gateway = Gateway::with(routing, &[backend.address], |settings| {
        settings.grace = Duration::from_millis(3_500);
    });
    let mut client = gateway.get("/");
    let mut asked = backend.next();
    asked.begin_stream();
    asked.piece("id: 1\n\n");
    client.head();
    client.chunk();
    gateway.shared.begin_shutdown();
    gateway.ended.recv_timeout(Duration::from_millis(3_500)).expect("it ends in time");
    assert_eq!(client.chunk(), None);
}

/// To a client of HTTP/1.0 an end in order would say that the answer is whole.
#[test]
fn an_answer_without_chunks_that_the_end_of_the_grace_cuts_does_not_look_whole() {
    let backend = Backend::start();
    let routing = configuration(1, &route("/", "streaming", ""), "");
    let gateway = Gateway::with(routing, &[backend.address], |settings| {
        settings.grace = Duration::from_millis(3_500);
    });
    let mut client = gateway.connect();
    client.say(&format!("GET / HTTP/1.0\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n\r\n"));
    let mut asked = backend.next();
    asked.begin_stream();
    asked.piece("id: 1\n\n");
    client.head();
    gateway.shared.begin_shutdown();
    gateway.ended.recv_timeout(PATIENCE).expect("it ends");
    assert!(client.is_reset());
}

/// A configuration, backends and numbers published while requests are in hand cut none.
#[test]
fn nothing_published_cuts_a_request() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.get("/");
    let mut asked = backend.next();
    asked.begin_stream();
    asked.piece("id: 1\n\n");
    client.head();
    client.chunk();
    gateway.shared.publish_routing(configuration(2, &route("/x/", "mutating", ""), ""));
    gateway.shared.publish_backends(table("s", &[]));
    gateway.shared.set_gateways(40);
    asked.piece("id: 2\n\n");
    asked.end_stream();
    assert_eq!((client.chunk().as_deref(), client.chunk().as_deref()), (Some("id: 2\n\n"), Some("")));
}

/// What is broken off at the end of the grace is lost; what is refused before it runs is asked for elsewhere.
#[test]
fn a_request_that_may_outlast_the_grace_is_refused_once_the_process_ends() {
    let backend = Backend::start();
    let short = route("/short/", "streaming", "").replace(r#""timeout_ms":10000"#, r#""timeout_ms":1000"#);
    let routing = configuration(1, &format!("{},{short}", route("/long/", "streaming", "")), "");
    let gateway = Gateway::with(routing, &[backend.address], |settings| {
        settings.grace = Duration::from_secs(5);
    });
    let (mut long, mut short) = (gateway.connect(), gateway.connect());
    gateway.shared.begin_shutdown();
    long.ask("GET", "/long/", "", "");
    let refused = long.answer();
    assert_eq!((refused.status(), refused.header("connection")), (503, Some("close")));
    assert!(refused.header("retry-after").is_some());
    assert!(backend.is_quiet());
    short.ask("GET", "/short/", "", "");
    backend.next().answer(200, SOUND, "");
    assert_eq!(short.answer().status(), 200);
}
