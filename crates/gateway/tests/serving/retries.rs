//! What is sent again, and what never.

use std::time::Duration;

use crankpick_gateway::Cause;

use crate::stand_ins::*;

const REFUSED: &str = "X-Request-Id: 9c41d07be2a35f68\r\nX-Not-Executed: 1\r\n";

fn gateway(backends: &[std::net::SocketAddr]) -> Gateway {
    let routes = [
        route("/i/", "idempotent", r#","retries":2"#),
        route("/once/", "idempotent", r#","retries":1"#),
        route("/m/", "mutating", r#","retries":2"#),
    ];
    Gateway::start(configuration(1, &routes.join(","), ""), backends)
}

/// Two backends, the one that a request came to first, and the other.
fn two() -> (Gateway, [Backend; 2]) {
    let backends = [Backend::start(), Backend::start()];
    (gateway(&[backends[0].address, backends[1].address]), backends)
}

fn first(backends: &[Backend; 2]) -> (usize, Asked) {
    first_of(&[&backends[0], &backends[1]])
}

#[test]
fn what_may_have_run_and_must_not_twice_is_never_sent_again() {
    let (gateway, backends) = two();
    let mut client = gateway.ask("POST", "/m/", "", "x");
    first(&backends).1.break_off();
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("retry-after")), (502, None));
    assert!(backends.iter().all(Backend::is_quiet));
}

#[test]
fn what_a_backend_did_not_run_goes_to_another() {
    for status in [503, 429] {
        let (gateway, backends) = two();
        let mut client = gateway.ask("POST", "/m/", "", "x");
        let (number, mut asked) = first(&backends);
        asked.answer(status, REFUSED, "full");
        backends[1 - number].next().answer(200, SOUND, "done");
        assert_eq!(client.answer().text(), "done");
        assert_eq!(gateway.count(Cause::Retried), 1);
    }
}

#[test]
fn what_another_backend_at_the_address_turned_away_goes_elsewhere() {
    let (gateway, backends) = two();
    let mut client = gateway.ask("POST", "/m/", "", "x");
    let (number, mut asked) = first(&backends);
    asked.answer(421, "X-Instance-Id: i-other\r\n", "");
    backends[1 - number].next().answer(200, SOUND, "done");
    assert_eq!(client.answer().text(), "done");
    assert_eq!(gateway.count(Cause::BackendMisdirected), 1);
}

#[test]
fn what_found_no_connection_goes_elsewhere() {
    let backend = Backend::start();
    let gateway = gateway(&[refusing_address(), backend.address]);
    for _ in 0..8 {
        let mut client = gateway.ask("POST", "/m/", "", "x");
        backend.next().answer(200, SOUND, "done");
        assert_eq!(client.answer().text(), "done");
    }
    assert!(gateway.count(Cause::BackendUnreachable) > 0);
    assert_eq!(gateway.count(Cause::Retried), 0);
}

#[test]
fn what_may_run_twice_goes_to_another_backend() {
    let (gateway, backends) = two();
    let mut client = gateway.get("/i/");
    let (number, asked) = first(&backends);
    asked.break_off();
    backends[1 - number].next().answer(200, SOUND, "done");
    assert_eq!(client.answer().text(), "done");
}

#[test]
fn it_goes_to_no_more_backends_than_its_route_allows() {
    let (gateway, backends) = two();
    let mut client = gateway.get("/once/");
    first(&backends).1.break_off();
    assert_eq!(client.answer().status(), 502);
    assert!(backends.iter().all(Backend::is_quiet));
}

#[test]
fn a_backend_that_failed_is_replaced_where_it_may_be() {
    let (gateway, backends) = two();
    let mut client = gateway.get("/i/");
    let (number, mut asked) = first(&backends);
    asked.answer(500, SOUND, "no");
    let mut other = backends[1 - number].next();
    other.answer(500, SOUND, "nor I");
    // The last word is passed on as it is.
    let answer = client.answer();
    assert_eq!((answer.status(), answer.text()), (500, "nor I"));
}

/// These statuses promise that nothing ran; a backend that doesn't say so itself has not promised it.
#[test]
fn a_promise_is_made_only_where_nothing_ran() {
    for status in [503, 429, 408] {
        let (gateway, backends) = two();
        let mut client = gateway.ask("POST", "/m/", "", "x");
        first(&backends).1.answer(status, SOUND, "perhaps");
        let answer = client.answer();
        assert_eq!((answer.status(), answer.header("x-response-seal")), (502, None));
    }
}

#[test]
fn where_all_refuse_the_client_is_told_when_to_come_again() {
    let (gateway, backends) = two();
    let mut client = gateway.ask("POST", "/m/", "", "x");
    for _ in 0..2 {
        first(&backends).1.answer(503, &format!("{REFUSED}Retry-After: 0.25\r\n"), "full");
    }
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("0.250")));
}

#[test]
fn without_a_backend_it_is_refused_with_a_promise() {
    let gateway = gateway(&[]);
    let answer = gateway.get("/i/").answer();
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
}

/// After a start the first backends are told a moment later.
#[test]
fn a_request_waits_a_little_for_the_first_backend() {
    let backend = Backend::start();
    let patient = route("/i/", "idempotent", "").replace(r#""slo_ms":1000"#, r#""slo_ms":60000"#);
    let gateway = Gateway::start(configuration(1, &patient, ""), &[]);
    let mut client = gateway.get("/i/");
    while gateway.count(Cause::NoBackend) == 0 {
        std::thread::yield_now();
    }
    gateway.shared.publish_backends(table("s", &[backend.address]));
    backend.next().answer(200, SOUND, "done");
    assert_eq!(client.answer().text(), "done");
}

#[test]
fn beyond_the_budget_nothing_is_sent_again() {
    let backends = [Backend::start(), Backend::start()];
    let routing = configuration(1, &route("/i/", "idempotent", r#","retries":2"#), "");
    let addresses = [backends[0].address, backends[1].address];
    let gateway = Gateway::with(routing, &addresses, |settings| {
        settings.retry.slack = 0.0;
        settings.retry.ratio = 0.0;
        settings.retry.window = Duration::from_secs(10);
    });
    let mut client = gateway.get("/i/");
    first(&backends).1.answer(503, REFUSED, "full");
    assert_eq!(client.answer().status(), 503);
    let mut client = gateway.get("/i/");
    first(&backends).1.break_off();
    assert_eq!(client.answer().status(), 502);
    assert!(backends.iter().all(Backend::is_quiet));
    assert_eq!(gateway.count(Cause::RetryOverBudget), 2);
}

#[test]
fn at_its_deadline_a_request_that_may_have_run_ends_without_a_promise() {
    let (gateway, backends) = two();
    let mut client = gateway.ask("GET", "/i/", "X-Deadline-Ms: 150\r\n", "");
    let (_, asked) = first(&backends);
    assert_eq!(client.answer().status(), 504);
    // Nobody waits for it any more: its connection ends, which tells the backend.
    let (closed, connection) = (&backends[0].closed, asked.connection);
    let told = closed.try_recv().or_else(|_| first_closed(&backends));
    assert_eq!(told, Ok(connection));
}

fn first_closed(backends: &[Backend; 2]) -> Result<usize, std::sync::mpsc::TryRecvError> {
    let until = std::time::Instant::now() + PATIENCE;
    loop {
        for backend in backends {
            if let Ok(number) = backend.closed.try_recv() {
                return Ok(number);
            }
        }
        assert!(std::time::Instant::now() < until, "the connection ends");
        std::thread::yield_now();
    }
}

#[test]
fn what_comes_too_late_to_be_sent_is_refused_with_a_promise() {
    let (gateway, backends) = two();
    assert_eq!(gateway.ask("POST", "/m/", "X-Deadline-Ms: 0\r\n", "x").answer().status(), 503);
    assert!(backends.iter().all(Backend::is_quiet));
}
