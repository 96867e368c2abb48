//! What is read of sound configurations, also of unusual ones.

use std::time::Duration;

use bytes::Bytes;
use crankpick_configuration::{
    read, ClientLimits, Configuration, Document, QuotaUnit, RouteKind, RoutingTable, DEFAULT_PRIORITY,
};
use prost::Message;
use serde_json::{json, Value};

/// An order as the operator's API has it.
const EXAMPLE: &str = include_str!("documents/example.json");

#[test]
fn the_example_is_read_as_it_stands() {
    insta::assert_json_snapshot!(read(EXAMPLE.as_bytes()).unwrap());
}

#[test]
fn the_example_compiles_to_rules() {
    let table = RoutingTable::compile(&read(EXAMPLE.as_bytes()).unwrap());
    let routes: Vec<_> = table.routes().collect();
    insta::assert_debug_snapshot!((routes, table.tenants().collect::<Vec<_>>(), table.limits()));
}

#[test]
fn a_document_keeps_the_bytes_as_sent() {
    let document = Document::read(Bytes::from_static(EXAMPLE.as_bytes())).unwrap();
    assert_eq!(document.bytes, EXAMPLE.as_bytes());
    assert_eq!(document.generation(), 7);
}

/// The example after a change to it.
fn read_after(change: impl FnOnce(&mut Value)) -> Configuration {
    let mut document: Value = serde_json::from_str(EXAMPLE).unwrap();
    change(&mut document);
    read(document.to_string().as_bytes()).expect("it is sound")
}

#[test]
fn whole_numbers_written_as_floats() {
    let floats =
        EXAMPLE.replace("12000", "12000.0").replace(": 7,", ": 7.0,").replace("4194304", "4.194304e6");
    assert_eq!(read(floats.as_bytes()).unwrap(), read(EXAMPLE.as_bytes()).unwrap());
}

#[test]
fn fractions_of_whole_figures_are_rounded_up() {
    let configuration = read_after(|document| document["routes"][0]["timeout_ms"] = json!(0.25));
    assert_eq!(configuration.routes[0].timeout_ms, 1);
}

#[test]
fn figures_beyond_their_range_are_the_largest() {
    let configuration = read_after(|document| {
        document["routes"][0]["timeout_ms"] = json!(1e300);
        document["routes"][0]["retries"] = json!(u64::MAX);
        document["routes"][0]["priority"] = json!(1_000);
        document["services"][0]["max_conns"] = json!(1e12);
    });
    assert_eq!(configuration.routes[0].timeout_ms, u64::MAX);
    let table = RoutingTable::compile(&configuration);
    let route = table.route("api.example", "/chat/").unwrap();
    assert_eq!(
        (route.timeout, route.retries, route.priority),
        (Duration::from_secs(86_400), u32::MAX, u8::MAX)
    );
    assert_eq!(table.service("model-a").unwrap().max_conns, u32::MAX);
}

#[test]
fn large_generations_are_exact() {
    let text = EXAMPLE.replacen(": 7,", ": 18446744073709551615,", 1);
    assert_eq!(read(text.as_bytes()).unwrap().generation, u64::MAX);
}

#[test]
fn unknown_fields_are_skipped_everywhere() {
    let configuration = read_after(|document| {
        let places = [
            "",
            "/routes/0",
            "/routes/0/split/0",
            "/services/0",
            "/services/0/engine",
            "/limits",
            "/tenants/0",
        ];
        for place in places {
            document.pointer_mut(place).unwrap()["later"] = json!({"a": [1, null, "b"], "name": 7});
        }
    });
    assert_eq!(configuration, read(EXAMPLE.as_bytes()).unwrap());
}

#[test]
fn the_least_that_is_a_configuration() {
    let configuration = read(br#"{"generation":1,"routes":[],"services":[]}"#).unwrap();
    let table = RoutingTable::compile(&configuration);
    assert_eq!((table.routes().len(), table.services().len(), table.has_tenants()), (0, 0, false));
    assert_eq!(*table.limits(), ClientLimits::default());
}

#[test]
fn the_least_that_is_a_route() {
    for absent in ["", r#","limits":null,"tenants":null"#, r#","limits":{},"tenants":[]"#] {
        let text = format!(
            r#"{{"generation":1,"routes":[{{"host":"h","prefix":"/","service":"s","timeout_ms":50}}],
            "services":[{{"name":"s"}}]{absent}}}"#
        );
        let table = RoutingTable::compile(&read(text.as_bytes()).unwrap());
        let route = table.route("h", "/any").unwrap();
        assert_eq!((route.kind, route.retries, route.priority), (RouteKind::Mutating, 1, DEFAULT_PRIORITY));
        assert_eq!((route.slo, route.gap_aim), (Duration::from_millis(50), None));
        assert_eq!((route.public, route.sticky, route.resume), (false, false, false));
        assert!(!table.has_tenants());
        assert_eq!(*table.limits(), ClientLimits::default());
    }
}

#[test]
fn null_is_as_good_as_absent() {
    let fields = [
        "name",
        "type",
        "slo_ms",
        "priority",
        "split",
        "retries",
        "public",
        "sticky",
        "resume",
        "gap_aim_ms",
    ];
    let with_null = read_after(|document| {
        for field in fields {
            document["routes"][1][field] = json!(null);
        }
    });
    let without = read_after(|document| {
        for field in fields {
            document["routes"][1].as_object_mut().unwrap().remove(field);
        }
    });
    assert_eq!(with_null, without);
}

#[test]
fn a_key_that_stands_twice_with_one_tenant() {
    let configuration = read_after(|document| document["tenants"][0]["api_keys"] = json!(["key", "key"]));
    let table = RoutingTable::compile(&configuration);
    assert_eq!(table.tenant_of_key("key").unwrap().name, "shop");
}

#[test]
fn an_empty_key_is_nobodys() {
    let configuration = read_after(|document| document["tenants"][0]["api_keys"] = json!(["", "key"]));
    let table = RoutingTable::compile(&configuration);
    assert!(table.tenant_of_key("").is_none());
    assert!(table.tenant_of_key("key").is_some());
}

#[test]
fn a_service_that_stands_twice_the_same() {
    let configuration = read_after(|document| {
        let copy = document["services"][0].clone();
        document["services"].as_array_mut().unwrap().push(copy);
    });
    assert_eq!(RoutingTable::compile(&configuration).services().len(), 2);
}

#[test]
fn tenants_without_a_quota() {
    let configuration =
        read_after(|document| document["tenants"] = json!([{"name": "shop", "api_keys": ["key"]}]));
    let table = RoutingTable::compile(&configuration);
    let tenant = table.tenant_of_key("key").unwrap();
    assert!(!tenant.is_limited());
    assert_eq!((tenant.unit, tenant.priority), (QuotaUnit::Requests, None));
}

#[test]
fn prost_carries_all_that_is_read() {
    let configuration = read(EXAMPLE.as_bytes()).unwrap();
    let carried = Configuration::decode(configuration.encode_to_vec().as_slice()).unwrap();
    assert_eq!(carried, configuration);
}

#[test]
fn json_written_is_read_again() {
    let configuration = read(EXAMPLE.as_bytes()).unwrap();
    let written = serde_json::to_vec(&configuration).unwrap();
    assert_eq!(read(&written).unwrap(), configuration);
}
