//! Which route, service and tenant a request falls to.

use crankpick_configuration::{normal_host, read, RoutingTable};
use serde_json::{json, Value};

fn route(name: &str, host: &str, prefix: &str) -> Value {
    json!({"name": name, "host": host, "prefix": prefix, "type": "idempotent", "timeout_ms": 1_000, "service": "s"})
}

fn table(routes: Vec<Value>) -> RoutingTable {
    let services = json!([{"name": "s"}, {"name": "t"}, {"name": "u"}]);
    let document = json!({"generation": 1, "routes": routes, "services": services});
    RoutingTable::compile(&read(document.to_string().as_bytes()).unwrap())
}

fn found<'a>(table: &'a RoutingTable, host: &str, path: &str) -> Option<&'a str> {
    table.route(host, path).map(|route| route.name.as_str())
}

#[test]
fn the_longest_prefix_that_begins_the_path() {
    let table = table(vec![route("root", "h", "/"), route("a", "h", "/a/"), route("abc", "h", "/a/b/c/")]);
    let expected = [
        ("/", "root"),
        ("/a", "root"),
        ("/a/", "a"),
        ("/a/b/", "a"),
        ("/a/b/c", "a"),
        ("/a/b/c/", "abc"),
        ("/a/b/c/d/e", "abc"),
        ("/ab/", "root"),
        ("/b/a/", "root"),
    ];
    for (path, name) in expected {
        assert_eq!(found(&table, "h", path), Some(name), "{path}");
    }
}

#[test]
fn no_route_where_no_prefix_begins_the_path() {
    let table = table(vec![route("a", "h", "/a/")]);
    for path in ["/", "/a", "/b/a/", "a/", "", "*", "//a/", "/A/"] {
        assert_eq!(found(&table, "h", path), None, "{path}");
    }
}

#[test]
fn slashes_in_the_query_are_no_path() {
    let table = table(vec![route("root", "h", "/"), route("a", "h", "/a/"), route("q", "h", "/a?next=/")]);
    assert_eq!(found(&table, "h", "/a?next=/b/"), Some("root"));
    assert_eq!(found(&table, "h", "/a/?next=/"), Some("a"));
}

#[test]
fn hosts_regardless_of_case_and_port() {
    let table = table(vec![route("a", "Api.Example", "/")]);
    for host in
        ["api.example", "API.EXAMPLE", "api.example:8080", "Api.Example:80", "api.example.", " api.example "]
    {
        assert_eq!(found(&table, host, "/"), Some("a"), "{host}");
    }
    for host in ["", "api", "example", "api.example.com", "xapi.example"] {
        assert_eq!(found(&table, host, "/"), None, "{host}");
    }
}

#[test]
fn hosts_keep_their_routes_apart() {
    let table = table(vec![route("a", "one", "/a/"), route("b", "two", "/a/"), route("c", "two", "/")]);
    assert_eq!(found(&table, "one", "/a/"), Some("a"));
    assert_eq!(found(&table, "two", "/a/"), Some("b"));
    assert_eq!(found(&table, "one", "/"), None);
}

#[test]
fn normal_hosts() {
    let expected =
        [("[::1]:80", "[::1]"), ("[::1]", "[::1]"), ("A:1", "a"), ("10.0.0.1:80", "10.0.0.1"), ("[", "[")];
    for (host, normal) in expected {
        assert_eq!(normal_host(host), normal);
    }
}

#[test]
fn a_path_of_many_slashes_and_letters_beyond_ascii() {
    let table = table(vec![route("root", "h", "/"), route("u", "h", "/ü/")]);
    assert_eq!(found(&table, "h", &"/".repeat(100_000)), Some("root"));
    assert_eq!(found(&table, "h", "/ü/x"), Some("u"));
    assert_eq!(found(&table, "h", "/üü/x"), Some("root"));
}

#[test]
fn draws_fall_to_services_by_their_weights() {
    let mut split = route("split", "h", "/");
    split["split"] = json!([
        {"service": "t", "weight": 0},
        {"service": "s", "weight": 0.75},
        {"service": "u", "weight": 0},
        {"service": "t", "weight": 0.25},
        {"service": "u", "weight": 0}
    ]);
    let table = table(vec![split]);
    let route = table.route("h", "/").unwrap();
    let three_quarters = u32::MAX / 4 * 3;
    for (draw, service) in [(0, "s"), (three_quarters, "s"), (three_quarters + 4, "t"), (u32::MAX, "t")] {
        assert_eq!(route.pick_service(draw), service, "{draw}");
    }
    assert!(route.leads_to("s") && route.leads_to("t") && !route.leads_to("u"));
}

#[test]
fn draws_at_the_boundary_of_two_halves() {
    let mut split = route("split", "h", "/");
    split["split"] = json!([{"service": "s", "weight": 1}, {"service": "t", "weight": 1}]);
    let table = table(vec![split]);
    let route = table.route("h", "/").unwrap();
    assert_eq!(route.pick_service((1 << 31) - 1), "s");
    assert_eq!(route.pick_service(1 << 31), "t");
}

#[test]
fn weights_of_any_size() {
    for weights in [[1e300, 1e300], [5e-324, 5e-324], [1.0, 1.0]] {
        let mut split = route("split", "h", "/");
        split["split"] =
            json!([{"service": "s", "weight": weights[0]}, {"service": "t", "weight": weights[1]}]);
        let table = table(vec![split]);
        let route = table.route("h", "/").unwrap();
        assert_eq!(route.pick_service(0), "s");
        assert_eq!(route.pick_service(u32::MAX / 2 - 1), "s");
        assert_eq!(route.pick_service(u32::MAX / 2 + 2), "t");
        assert_eq!(route.pick_service(u32::MAX), "t");
    }
}

#[test]
fn what_may_be_done_again() {
    let mut routes = Vec::new();
    let kinds =
        [("idempotent", false), ("mutating", true), ("streaming", false), ("streaming", true), ("new", true)];
    for (place, (kind, resume)) in kinds.into_iter().enumerate() {
        let mut route = route("r", "h", &format!("/{place}/"));
        route["type"] = json!(kind);
        route["resume"] = json!(resume);
        routes.push(route);
    }
    let table = table(routes);
    let repeatable: Vec<bool> = table.routes().map(|route| route.repeatable()).collect();
    assert_eq!(repeatable, [true, false, false, true, false]);
}
