//! Requests and answers are passed on unchanged.

use crate::stand_ins::*;
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
fn a_request_arrives_as_it_was_with_what_the_pages_add() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let headers =
        "X-Deadline-Ms: 3000\r\nX-Other: kept\r\nConnection: X-Hop\r\nX-Hop: gone\r\nX-Tenant: me\r\n";
    let mut client = gateway.ask("PATCH", "/m/2f/%2e?a=b&c", headers, "the body");
    let mut asked = backend.next();
    assert_eq!(asked.message.start(), "PATCH /m/2f/%2e?a=b&c HTTP/1.1");
    assert_eq!(asked.message.text(), "the body");
    assert_eq!(asked.message.header("host"), Some(HOST));
    assert_eq!(asked.message.header("x-request-id"), Some(ID));
    assert_eq!(asked.message.header("x-expect-instance"), Some("b0"));
    assert_eq!(asked.message.header("x-other"), Some("kept"));
    assert_eq!((asked.message.header("x-hop"), asked.message.header("x-tenant")), (None, None));
    let left: u64 = asked.message.header("x-deadline-ms").expect("a deadline").parse().expect("a number");
    assert!((1_000..3_000).contains(&left), "{left}");
    asked.answer(201, &format!("{SOUND}X-Mine: too\r\n"), "all of it");
    let answer = client.answer();
    assert_eq!((answer.status(), answer.text()), (201, "all of it"));
    assert_eq!(answer.header("x-response-seal"), Some("3e1b.07"));
    assert_eq!((answer.header("x-request-id"), answer.header("x-mine")), (Some(ID), Some("too")));
    assert_eq!(gateway.count(Cause::Answered), 1);
}

#[test]
fn what_a_request_says_of_its_prompt_arrives_unchanged() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let said = [
        ("x-model", "m:adapter/7"),
        ("x-token-usage", "1460,80"),
        ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410, e4402b7d:250,no-part"),
    ];
    let headers: String = said.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let mut client = gateway.ask("POST", "/m/", &headers, "x");
    let mut asked = backend.next();
    for (name, value) in said {
        assert_eq!(asked.message.header(name), Some(value));
    }
    asked.answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
}

/// Of a route's time nothing is left for an answer that stands still midway.
#[test]
fn a_long_answer_that_stands_still_ends_at_its_deadline() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.ask("GET", "/m/", "X-Deadline-Ms: 300\r\n", "");
    let mut asked = backend.next();
    asked.say(&format!("HTTP/1.1 200 OK\r\n{SOUND}Content-Length: 300000\r\n\r\n{}", "x".repeat(150_000)));
    client.head();
    let mut read = 0;
    while client.byte().is_some() {
        read += 1;
    }
    assert!(read < 300_000, "{read}");
    assert_eq!(backend.closed.recv_timeout(PATIENCE), Ok(asked.connection));
}

#[test]
fn a_request_without_a_deadline_ends_at_its_routes_timeout() {
    let backend = Backend::start();
    let short = route("/m/", "mutating", "").replace(r#""timeout_ms":10000"#, r#""timeout_ms":200"#);
    let gateway = Gateway::start(configuration(1, &short, ""), &[backend.address]);
    let began = std::time::Instant::now();
    let mut client = gateway.ask("POST", "/m/", "X-Deadline-Ms: 60000\r\n", "x");
    let asked = backend.next();
    let left: u64 = asked.message.header("x-deadline-ms").expect("a deadline").parse().expect("a number");
    assert!(left <= 200, "{left}");
    assert_eq!(client.answer().status(), 504);
    // Half a second later the rule is broken.
    assert!(began.elapsed() < std::time::Duration::from_millis(700), "{:?}", began.elapsed());
}

#[test]
fn a_body_in_chunks_arrives_whole() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.connect();
    let head = format!(
        "POST /m/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    client.say(&format!("{head}4\r\nthe \r\n4\r\nbody\r\n0\r\n\r\n"));
    let mut asked = backend.next();
    assert_eq!(asked.message.text(), "the body");
    asked.answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.get("/i/deep/x");
    // Of the deeper route, which is mutating: a reset is not tried again.
    backend.next().break_off();
    assert_eq!(client.answer().status(), 502);
    assert_eq!(gateway.get("/none/").answer().status(), 404);
    let mut other = gateway.connect();
    other.say(&format!("GET /i/ HTTP/1.1\r\nHost: other.example\r\nX-Request-Id: {ID}\r\n\r\n"));
    let refused = other.answer();
    assert_eq!((refused.status(), refused.text().starts_with(r#"{"code":4040,"#)), (404, true));
}

/// The failures of backends are theirs, and passed on as they are.
#[test]
fn a_failure_is_passed_on_unchanged() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.ask("POST", "/m/", "", "x");
    backend.next().answer(500, SOUND, "its own words");
    let answer = client.answer();
    assert_eq!((answer.status(), answer.text()), (500, "its own words"));
    assert_eq!(answer.header("x-response-seal"), Some("3e1b.07"));
}

#[test]
fn an_answer_to_another_request_is_never_passed_on() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.ask("POST", "/m/", "", "x");
    let mut asked = backend.next();
    asked.answer(200, "X-Request-Id: another\r\nX-Response-Seal: 1\r\n", "another's");
    assert_eq!(client.answer().status(), 502);
    assert_eq!(backend.closed.recv_timeout(PATIENCE), Ok(asked.connection));
    assert_eq!(gateway.count(Cause::BackendForeignAnswer), 1);
}

#[test]
fn a_success_without_a_seal_or_an_id_is_none() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    for headers in [format!("X-Request-Id: {ID}\r\n"), "X-Response-Seal: 1\r\n".to_owned()] {
        let mut client = gateway.ask("POST", "/m/", "", "x");
        backend.next().answer(200, &headers, "who knows whose");
        assert_eq!(client.answer().status(), 502);
    }
}

#[test]
fn bytes_that_are_no_answer_are_not_passed_on() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.ask("POST", "/m/", "", "x");
    backend.next().say("what is this\r\n\r\n");
    assert_eq!(client.answer().status(), 502);
}

#[test]
fn a_long_answer_is_passed_on_as_it_comes() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let body = "0123456789".repeat(30_000);
    let mut client = gateway.get("/m/");
    backend.next().answer(200, SOUND, &body);
    let answer = client.answer();
    assert!(answer.status() == 200 && answer.text() == body);
    // Its connection serves the next one.
    let mut client = gateway.get("/m/");
    let mut asked = backend.next();
    assert_eq!(asked.connection, 0);
    asked.answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn a_long_answer_that_breaks_off_does_not_look_whole() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.get("/m/");
    let mut asked = backend.next();
    asked.say(&format!("HTTP/1.1 200 OK\r\n{SOUND}Content-Length: 300000\r\n\r\n{}", "x".repeat(150_000)));
    let head = client.head();
    assert_eq!(head.header("content-length"), Some("300000"));
    asked.break_off();
    let mut read = 0;
    while client.byte().is_some() {
        read += 1;
    }
    assert!(read < 300_000, "{read}");
}

/// A body without a length is whole where its connection ends in order. One that is reset or stands still on the way
/// is none (`send_endings::an_answer_without_a_length`).
#[test]
fn a_success_without_a_length_is_whole_where_its_connection_ends_in_order() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.get("/m/");
    let mut asked = backend.next();
    asked.say(&format!("HTTP/1.1 200 OK\r\n{SOUND}\r\nall of it"));
    asked.break_off();
    let answer = client.answer();
    assert_eq!((answer.status(), answer.text()), (200, "all of it"));
}

#[test]
fn a_newer_configuration_is_in_force_for_the_next_request_of_an_old_connection() {
    let backend = Backend::start();
    let gateway = gateway(&[&backend]);
    let mut client = gateway.connect();
    client.ask("GET", "/i/", "", "");
    let mut asked = backend.next();
    gateway.shared.publish_routing(configuration(2, &route("/j/", "idempotent", ""), ""));
    // The one in hand keeps what it came under.
    asked.answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
    client.ask("GET", "/i/", "", "");
    assert_eq!(client.answer().status(), 404);
    client.ask("GET", "/j/", "", "");
    backend.next().answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
}
