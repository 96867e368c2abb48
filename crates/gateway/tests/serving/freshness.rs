//! Which requests are refused and served with a possibly outdated configuration.

use std::time::Duration;

use crankpick_gateway::Cause;

use crate::support::*;

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

/// A gateway whose configuration was never confirmed to be the newest.
fn unconfirmed(backend: &Backend) -> Gateway {
    let gateway = Gateway::unconfigured(|_| {});
    gateway.shared.publish_routing(routing());
    gateway.shared.publish_backends(backend_table("s", &[backend.address]));
    gateway
}

fn assert_temporary_refusal(response: &Message) {
    assert_eq!((response.status(), response.text().starts_with(r#"{"code":5035,"#)), (503, true));
    assert!(response.header("retry-after").is_some());
}

fn assert_served(gateway: &Gateway, backend: &Backend, path: &str, headers: &str) {
    let mut client = gateway.send_request("GET", path, headers, "");
    backend.next_request().respond(200, VALID_HEADERS, "done");
    assert_eq!(client.read_response().text(), "done");
}

#[test]
fn unknown_key_or_route_is_refused_permanently_only_if_configuration_is_current() {
    let backend = Backend::start();
    let gateway = unconfirmed(&backend);
    assert_temporary_refusal(&gateway.send_request("GET", "/keyed/", UNKNOWN_KEY, "").read_response());
    assert_temporary_refusal(&gateway.send_request("GET", "/keyed/", "", "").read_response());
    assert_temporary_refusal(&gateway.get("/none/").read_response());
    assert_eq!(gateway.count(Cause::NotCurrent), 3);
    gateway.shared.confirm_routing(gateway.shared.now());
    assert_eq!(gateway.send_request("GET", "/keyed/", UNKNOWN_KEY, "").read_response().status(), 401);
    assert_eq!(gateway.get("/none/").read_response().status(), 404);
    assert!(backend.has_no_request());
}

#[test]
fn outdated_configuration_refuses_nothing_permanently() {
    let backend = Backend::start();
    let gateway = Gateway::with(routing(), &[backend.address], |settings| {
        settings.freshness.refuse_within = Duration::ZERO;
    });
    assert_temporary_refusal(&gateway.send_request("GET", "/keyed/", UNKNOWN_KEY, "").read_response());
    assert_temporary_refusal(&gateway.get("/none/").read_response());
    assert!(backend.has_no_request());
}

#[test]
fn known_key_and_route_are_served_by_old_configuration() {
    let backend = Backend::start();
    let gateway = unconfirmed(&backend);
    assert_served(&gateway, &backend, "/public/", "");
    assert_served(&gateway, &backend, "/keyed/", KNOWN_KEY);
    assert_eq!(gateway.count(Cause::NotCurrent), 0);
}

/// If the deployment bounds the use of revoked keys, a key is not accepted after the configuration has been
/// unconfirmed for that long.
#[test]
fn keys_are_accepted_within_revocation_bound() {
    let backend = Backend::start();
    for (within, accepted) in [(LONGER_THAN_ANY_TEST, true), (Duration::ZERO, false)] {
        let gateway = Gateway::with(routing(), &[backend.address], |settings| {
            settings.freshness.accept_keys_within = Some(within);
        });
        if accepted {
            assert_served(&gateway, &backend, "/keyed/", KNOWN_KEY);
        } else {
            assert_temporary_refusal(&gateway.send_request("GET", "/keyed/", KNOWN_KEY, "").read_response());
        }
        // Public routes need no key.
        assert_served(&gateway, &backend, "/public/", "");
        assert!(backend.has_no_request());
    }
}
