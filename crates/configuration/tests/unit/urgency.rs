use super::Urgencies;
use crate::message::{Route, Tenant};
use crate::rule::{RouteRule, TenantRule};

fn route(priority: u32) -> RouteRule {
    let service = std::sync::Arc::new(crate::rule::ServiceRule::compile(&Default::default()));
    let shares = crate::rule::shares([(service, 1.0)].into_iter());
    let route = Route { priority: Some(priority), timeout_ms: 1, ..Route::default() };
    RouteRule::compile(&route, "h".into(), shares).unwrap()
}

fn tenant(priority: Option<u32>) -> TenantRule {
    TenantRule::compile(&Tenant { priority, ..Tenant::default() })
}

fn urgencies(routes: &[u32], tenants: &[Option<u32>]) -> Urgencies {
    let routes: Vec<RouteRule> = routes.iter().map(|priority| route(*priority)).collect();
    let tenants: Vec<TenantRule> = tenants.iter().map(|priority| tenant(*priority)).collect();
    Urgencies::of(routes.iter(), tenants.iter())
}

#[test]
fn tenants_go_before_routes_and_routes_within_a_tenant() {
    let urgencies = urgencies(&[0, 1, 0], &[Some(0), Some(1), Some(1)]);
    let order = [(Some(0), 0), (Some(0), 1), (Some(1), 0), (Some(1), 1)];
    let places: Vec<u8> = order.iter().map(|(tenant, route)| urgencies.place(*tenant, *route)).collect();
    assert_eq!(places, [0, 1, 2, 3]);
}

#[test]
fn without_a_tenants_priority_the_routes_counts() {
    let urgencies = urgencies(&[0, 2], &[None, Some(1)]);
    let order = [(None, 0), (Some(1), 0), (Some(1), 2), (None, 2)];
    let places: Vec<u8> = order.iter().map(|(tenant, route)| urgencies.place(*tenant, *route)).collect();
    assert_eq!(places, [0, 1, 2, 3]);
}

#[test]
fn too_many_levels_fall_back_to_the_tenants_priority() {
    let urgencies = urgencies(&[0, 1, 2, 3], &[Some(0), Some(4), Some(30)]);
    assert_eq!(urgencies.place(Some(4), 0), 4);
    assert_eq!(urgencies.place(Some(4), 3), 4);
    assert_eq!(urgencies.place(Some(30), 1), 9);
    assert_eq!(urgencies.place(None, 2), 2);
}
