//! Keys, tenants and quotas.

use std::time::Duration;

use crankpick_gateway::Cause;
use crankpick_quota::{Grant, GrantSource, OwnerIncarnation};

use crate::stand_ins::*;

const TENANTS: &str = r#","tenants":[
    {"name":"free","api_keys":["k1","k2"],"priority":1},
    {"name":"bound","api_keys":["k3"],"unit":"token_count","plain_tokens":200,"rate_per_s":1000,"burst":1000}]"#;

fn gateway(backend: &Backend) -> Gateway {
    let routes = [
        route("/public/", "mutating", ""),
        route("/keyed/", "mutating", "").replace(r#""public":true"#, r#""public":false"#),
    ];
    Gateway::start(configuration(1, &routes.join(","), TENANTS), &[backend.address])
}

#[test]
fn a_key_is_asked_for_and_kept_from_the_backend() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    for headers in ["", "Authorization: Bearer nobody\r\n", "Authorization: k1\r\n"] {
        let refused = gateway.ask("GET", "/keyed/", headers, "").answer();
        assert_eq!((refused.status(), refused.text().starts_with(r#"{"code":4010,"#)), (401, true));
    }
    let mut client = gateway.ask("GET", "/keyed/", "Authorization: Bearer k2\r\nX-Tenant: bound\r\n", "");
    let mut asked = backend.next();
    assert_eq!(asked.message.header("authorization"), None);
    assert_eq!(asked.message.header("x-tenant"), Some("free"));
    asked.answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
    assert_eq!(gateway.count(Cause::Unauthorized), 3);
}

#[test]
fn a_public_route_asks_for_none() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.ask("GET", "/public/", "X-Tenant: free\r\n", "");
    let mut asked = backend.next();
    assert_eq!(asked.message.header("x-tenant"), None);
    asked.answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn a_key_that_was_taken_away_is_refused_on_an_open_connection() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let mut client = gateway.connect();
    client.ask("GET", "/keyed/", "Authorization: Bearer k1\r\n", "");
    backend.next().answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
    let keyed = route("/keyed/", "mutating", "").replace(r#""public":true"#, r#""public":false"#);
    gateway.shared.publish_routing(configuration(2, &keyed, &TENANTS.replace(r#""k1","#, "")));
    client.ask("GET", "/keyed/", "Authorization: Bearer k1\r\n", "");
    assert_eq!(client.answer().status(), 401);
}

fn grant(number: u64, credit: f64) -> Grant {
    let (rate, burst, valid_for) = (1.0, 100.0, Duration::from_secs(60));
    Grant {
        source: GrantSource::OWNER,
        token: 1,
        owner: OwnerIncarnation { token: 1, nonce: 1 },
        number,
        rate,
        burst,
        debt: 0.0,
        credit,
        valid_for,
    }
}

#[test]
fn beyond_its_quota_a_tenant_is_refused_and_told_when_to_come_again() {
    let backend = Backend::start();
    let gateway = gateway(&backend);
    let key = "Authorization: Bearer k3\r\n";
    assert!(gateway.shared.apply_quota_grant(gateway.shared.now(), "bound", grant(1, 100.0)));
    let mut client = gateway.ask("GET", "/keyed/", &format!("{key}X-Token-Usage: 40,50\r\n"), "");
    backend.next().answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
    // A request that tells no tokens counts as many as the configuration says.
    let refused = gateway.ask("GET", "/keyed/", key, "").answer();
    assert_eq!(refused.status(), 429);
    assert!(refused.header("retry-after").is_some_and(|after| after.parse::<f64>().is_ok()));
    assert!(backend.is_quiet());
    let demands = gateway.shared.quota_demands(GrantSource::OWNER);
    assert!(demands.iter().any(|demand| demand.tenant == "bound" && demand.demand.need > 0.0));
}

/// A gateway whose keyed requests may wait for a lease for long.
fn patient_gateway(backend: &Backend) -> Gateway {
    let keyed = route("/keyed/", "mutating", "").replace(r#""public":true"#, r#""public":false"#);
    let routing = configuration(1, &keyed.replace(r#""slo_ms":1000"#, r#""slo_ms":60000"#), TENANTS);
    Gateway::start(routing, &[backend.address])
}

/// The wait for a lease is short, and not a refusal where it comes.
#[test]
fn a_request_is_admitted_by_a_grant_that_comes_at_once() {
    let backend = Backend::start();
    let gateway = patient_gateway(&backend);
    let mut client = gateway.ask("GET", "/keyed/", "Authorization: Bearer k3\r\n", "");
    let waits = || gateway.shared.quota_demands(GrantSource::OWNER).iter().any(|of| of.demand.need > 0.0);
    while !waits() {
        std::thread::yield_now();
    }
    assert!(gateway.shared.apply_quota_grant(gateway.shared.now(), "bound", grant(1, 100.0)));
    assert!(gateway.shared.apply_quota_grant(gateway.shared.now(), "bound", grant(2, 300.0)));
    backend.next().answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
}

/// Reports keep a distance to each other; a need that comes within it is told once that is over, not by chance with the
/// next regular report.
#[test]
fn a_need_that_comes_right_after_a_report_is_reported_once_it_may_be() {
    let backend = Backend::start();
    let gateway = patient_gateway(&backend);
    // A lease at whose rate the share would come in minutes.
    assert!(gateway.shared.apply_quota_grant(gateway.shared.now(), "bound", grant(1, 0.0)));
    let clock = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let wanted = || {
        clock.block_on(async {
            tokio::time::timeout(PATIENCE, gateway.shared.wait_for_urgent_quota_need()).await
        })
    };
    let need =
        || gateway.shared.quota_demands(GrantSource::OWNER).iter().map(|of| of.demand.need).sum::<f64>();
    let _first = gateway.ask("GET", "/keyed/", "Authorization: Bearer k3\r\n", "");
    assert_eq!(wanted(), Ok(()), "the first need");
    assert!(need() > 0.0);
    let _second = gateway.ask("GET", "/keyed/", "Authorization: Bearer k3\r\n", "");
    assert_eq!(wanted(), Ok(()), "the need after the report");
    assert!(need() > 200.0, "both are needed");
}

#[test]
fn without_a_configuration_a_request_waits_a_little_and_is_refused_with_a_promise() {
    let gateway = Gateway::knowing_nothing(|_| {});
    let refused = gateway.get("/").answer();
    assert_eq!((refused.status(), refused.text().starts_with(r#"{"code":5030,"#)), (503, true));
    assert!(refused.header("retry-after").is_some());
    assert_eq!(gateway.count(Cause::NotReady), 1);
}

#[test]
fn a_first_configuration_that_comes_at_once_is_in_force_for_what_waits() {
    let backend = Backend::start();
    let gateway = Gateway::knowing_nothing(|settings| settings.configuration_wait = PATIENCE);
    let mut client = gateway.get("/public/");
    while gateway.count(Cause::Requested) == 0 {
        std::thread::yield_now();
    }
    gateway.shared.publish_routing(configuration(1, &route("/public/", "mutating", ""), ""));
    gateway.shared.publish_backends(table("s", &[backend.address]));
    backend.next().answer(200, SOUND, "");
    assert_eq!(client.answer().status(), 200);
}

/// Where the objective is far longer than the route's time, nothing is held for a part of the objective.
#[test]
fn no_wait_outlasts_the_routes_time() {
    let backend = Backend::start();
    let hasty = |text: String| {
        text.replace(r#""slo_ms":1000"#, r#""slo_ms":60000"#)
            .replace(r#""timeout_ms":10000"#, r#""timeout_ms":200"#)
    };
    let keyed = route("/keyed/", "mutating", "").replace(r#""public":true"#, r#""public":false"#);
    let routes = [hasty(keyed), hasty(route("/public/", "mutating", ""))].join(",");
    let began = std::time::Instant::now();
    // For its quota, of which this gateway has no lease.
    let gateway = Gateway::start(configuration(1, &routes, TENANTS), &[backend.address]);
    assert_eq!(gateway.ask("GET", "/keyed/", "Authorization: Bearer k3\r\n", "").answer().status(), 429);
    // For a first backend.
    let gateway = Gateway::start(configuration(1, &routes, TENANTS), &[]);
    assert_eq!(gateway.get("/public/").answer().status(), 503);
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert!(backend.is_quiet());
}
