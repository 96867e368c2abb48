//! What a gateway refuses and serves while its configuration may be out of date.

use std::time::Duration;

use crankpick_gateway::Cause;

use crate::stand_ins::*;

const TENANTS: &str = r#","tenants":[{"name":"a","api_keys":["k1"]}]"#;
const KNOWN_KEY: &str = "Authorization: Bearer k1\r\n";
const UNKNOWN_KEY: &str = "Authorization: Bearer k2\r\n";

fn routing() -> std::sync::Arc<crankpick_configuration::RoutingTable> {
    let routes = [
        route("/public/", "mutating", ""),
        route("/keyed/", "mutating", "").replace(r#""public":true"#, r#""public":false"#),
    ];
    configuration(1, &routes.join(","), TENANTS)
}

/// One whose configuration was never known to be the newest.
fn unconfirmed(backend: &Backend) -> Gateway {
    let gateway = Gateway::knowing_nothing(|_| {});
    gateway.shared.publish_routing(routing());
    gateway.shared.publish_backends(table("s", &[backend.address]));
    gateway
}

fn assert_refused_for_now(answer: &Message) {
    assert_eq!((answer.status(), answer.text().starts_with(r#"{"code":5035,"#)), (503, true));
    assert!(answer.header("retry-after").is_some());
}

fn assert_served(gateway: &Gateway, backend: &Backend, path: &str, headers: &str) {
    let mut client = gateway.ask("GET", path, headers, "");
    backend.next().answer(200, SOUND, "done");
    assert_eq!(client.answer().text(), "done");
}

#[test]
fn an_unknown_key_or_route_is_refused_for_good_only_by_a_current_configuration() {
    let backend = Backend::start();
    let gateway = unconfirmed(&backend);
    assert_refused_for_now(&gateway.ask("GET", "/keyed/", UNKNOWN_KEY, "").answer());
    assert_refused_for_now(&gateway.ask("GET", "/keyed/", "", "").answer());
    assert_refused_for_now(&gateway.get("/none/").answer());
    assert_eq!(gateway.count(Cause::NotCurrent), 3);
    gateway.shared.confirm_routing(gateway.shared.now());
    assert_eq!(gateway.ask("GET", "/keyed/", UNKNOWN_KEY, "").answer().status(), 401);
    assert_eq!(gateway.get("/none/").answer().status(), 404);
    assert!(backend.is_quiet());
}

#[test]
fn a_configuration_that_was_current_too_long_ago_refuses_nothing_for_good() {
    let backend = Backend::start();
    let gateway = Gateway::with(routing(), &[backend.address], |settings| {
        settings.freshness.refuse_within = Duration::ZERO;
    });
    assert_refused_for_now(&gateway.ask("GET", "/keyed/", UNKNOWN_KEY, "").answer());
    assert_refused_for_now(&gateway.get("/none/").answer());
    assert!(backend.is_quiet());
}

#[test]
fn what_an_old_configuration_knows_is_served() {
    let backend = Backend::start();
    let gateway = unconfirmed(&backend);
    assert_served(&gateway, &backend, "/public/", "");
    assert_served(&gateway, &backend, "/keyed/", KNOWN_KEY);
    assert_eq!(gateway.count(Cause::NotCurrent), 0);
}

/// Where the deployment bounds withdrawn keys, one that may have been withdrawn for longer is accepted no more.
#[test]
fn keys_are_accepted_no_longer_than_withdrawn_ones_may_be() {
    let backend = Backend::start();
    for (within, accepted) in [(ALWAYS, true), (Duration::ZERO, false)] {
        let gateway = Gateway::with(routing(), &[backend.address], |settings| {
            settings.freshness.accept_keys_within = Some(within);
        });
        if accepted {
            assert_served(&gateway, &backend, "/keyed/", KNOWN_KEY);
        } else {
            assert_refused_for_now(&gateway.ask("GET", "/keyed/", KNOWN_KEY, "").answer());
        }
        // Nobody needs a key here.
        assert_served(&gateway, &backend, "/public/", "");
        assert!(backend.is_quiet());
    }
}
