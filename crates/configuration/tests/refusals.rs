//! Each kind of unsound configuration is refused with its code.

use crankpick_configuration::{
    read, ConfigurationCode, MAX_DOCUMENT_BYTES, MAX_KEYS_OF_TENANT, MAX_ROUTES, MAX_SERVICES, MAX_SPLIT,
    MAX_TENANTS, MAX_TEXT_BYTES,
};
use serde_json::{json, Value};

const EXAMPLE: &str = include_str!("documents/example.json");

/// The code with which the example is refused after a change to it.
fn refused_after(change: impl FnOnce(&mut Value)) -> ConfigurationCode {
    let mut document: Value = serde_json::from_str(EXAMPLE).unwrap();
    change(&mut document);
    refused(document.to_string().as_bytes())
}

fn refused(bytes: &[u8]) -> ConfigurationCode {
    read(bytes).expect_err("it must be refused").code()
}

#[test]
fn a_document_cut_short_anywhere() {
    let end = EXAMPLE.trim_end().len();
    for length in 0..end {
        let cut = &EXAMPLE.as_bytes()[..length];
        assert_eq!(refused(cut), ConfigurationCode::CutShort, "cut after {length} bytes");
    }
    assert!(read(&EXAMPLE.as_bytes()[..end]).is_ok());
}

#[test]
fn what_is_no_json() {
    let error = read(b"{\"generation\": 7,\n \"routes\": [}").unwrap_err();
    assert_eq!((error.code(), error.line()), (ConfigurationCode::NotJson, Some(2)));
    assert_eq!(refused(b"generation: 7"), ConfigurationCode::NotJson);
    let doubled = format!("{EXAMPLE}{EXAMPLE}");
    assert_eq!(refused(doubled.as_bytes()), ConfigurationCode::NotJson);
    let trailing = format!("{EXAMPLE}]");
    assert_eq!(refused(trailing.as_bytes()), ConfigurationCode::NotJson);
}

#[test]
fn bytes_that_are_no_text_also_in_fields_that_are_skipped() {
    let error = read(b"{\"generation\":1,\"routes\":[],\n\"services\":[],\"note\":\"\xff\"}").unwrap_err();
    assert_eq!((error.code(), error.line()), (ConfigurationCode::NotJson, Some(2)));
}

#[test]
fn a_nesting_without_end() {
    let deep = "[".repeat(1_000_000);
    let skipped = format!("{{\"note\":{deep}");
    assert_eq!(refused(skipped.as_bytes()), ConfigurationCode::CutShort);
    let known = format!("{{\"routes\":{deep}");
    assert_eq!(refused(known.as_bytes()), ConfigurationCode::WrongType);
}

#[test]
fn documents_of_another_type() {
    for document in ["null", "7", "[]", "\"configuration\"", "true", "[8, [], []]"] {
        assert_eq!(refused(document.as_bytes()), ConfigurationCode::WrongType, "{document}");
    }
}

#[test]
fn a_part_that_is_missing() {
    for part in ["generation", "routes", "services"] {
        let code = refused_after(|document| drop(document.as_object_mut().unwrap().remove(part)));
        assert_eq!(code, ConfigurationCode::WrongType, "without {part}");
    }
}

#[test]
fn values_of_a_wrong_type() {
    let wrong = [
        ("/generation", json!("7")),
        ("/generation", json!(7.5)),
        ("/generation", json!(-1)),
        ("/generation", json!(1e30)),
        ("/generation", json!(null)),
        ("/routes", json!({})),
        ("/routes", json!("...")),
        ("/routes/0", json!("chat")),
        ("/routes/0", json!(["chat", "api.example", "/chat/", "streaming", 12_000])),
        ("/routes/0/split/0", json!(["model-a", 90])),
        ("/routes/0/host", json!(7)),
        ("/routes/0/timeout_ms", json!("soon")),
        ("/routes/0/timeout_ms", json!("12000")),
        ("/routes/0/timeout_ms", json!(-5)),
        ("/routes/0/timeout_ms", json!(-0.5)),
        ("/routes/0/public", json!("yes")),
        ("/routes/0/split", json!("model-a")),
        ("/routes/0/split/0/weight", json!(-1)),
        ("/routes/0/split/0/weight", json!([1])),
        ("/services", json!([7])),
        ("/services/0/engine", json!([64])),
        ("/services/0/engine/models/0", json!(["m"])),
        ("/services/0/max_conns", json!(true)),
        ("/limits", json!([1, 2])),
        ("/tenants", json!({"shop": []})),
        ("/tenants/0/api_keys", json!("key-one")),
        ("/tenants/0/api_keys/0", json!(1)),
        ("/tenants/0/rate_per_s", json!("much")),
    ];
    for (place, value) in wrong {
        let code = refused_after(|document| *document.pointer_mut(place).unwrap() = value.clone());
        assert_eq!(code, ConfigurationCode::WrongType, "{place} = {value}");
    }
}

#[test]
fn a_field_that_stands_twice() {
    let twice = EXAMPLE.replacen("\"generation\": 7,", "\"generation\": 7, \"generation\": 8,", 1);
    assert_eq!(refused(twice.as_bytes()), ConfigurationCode::WrongType);
}

#[test]
fn a_generation_not_above_the_current_one() {
    let configuration = read(EXAMPLE.as_bytes()).unwrap();
    assert!(configuration.validate_against(0).is_ok());
    assert!(configuration.validate_against(6).is_ok());
    for current in [7, 8, u64::MAX] {
        let error = configuration.validate_against(current).unwrap_err();
        assert_eq!(error.code(), ConfigurationCode::Generation);
    }
}

#[test]
fn the_first_generation_is_above_0() {
    let text = EXAMPLE.replacen("\"generation\": 7", "\"generation\": 0", 1);
    let configuration = read(text.as_bytes()).unwrap();
    assert_eq!(configuration.validate_against(0).unwrap_err().code(), ConfigurationCode::Generation);
}

#[test]
fn an_unknown_service() {
    let code = refused_after(|document| document["routes"][1]["service"] = json!("model-c"));
    assert_eq!(code, ConfigurationCode::UnknownService);
}

#[test]
fn an_unknown_service_in_a_split_be_it_without_weight() {
    for weight in [10, 0] {
        let split = json!({"service": "model-c", "weight": weight});
        let code = refused_after(|document| document["routes"][0]["split"][1] = split);
        assert_eq!(code, ConfigurationCode::UnknownService);
    }
}

#[test]
fn a_split_without_a_service_name() {
    let code = refused_after(|document| document["routes"][0]["split"][1] = json!({"weight": 1}));
    assert_eq!(code, ConfigurationCode::UnknownService);
}

#[test]
fn an_unknown_service_beside_a_sound_split() {
    let code = refused_after(|document| document["routes"][0]["service"] = json!("model-c"));
    assert_eq!(code, ConfigurationCode::UnknownService);
}

#[test]
fn a_service_that_was_taken_away() {
    let code = refused_after(|document| drop(document["services"].as_array_mut().unwrap().remove(1)));
    assert_eq!(code, ConfigurationCode::UnknownService);
}

#[test]
fn two_routes_of_one_host_and_prefix() {
    for host in ["api.example", "API.Example", "api.example:8080", "api.example."] {
        let code = refused_after(|document| {
            let mut copy = document["routes"][0].clone();
            copy["name"] = json!("another");
            copy["host"] = json!(host);
            document["routes"].as_array_mut().unwrap().push(copy);
        });
        assert_eq!(code, ConfigurationCode::SharedPrefix, "{host}");
    }
}

#[test]
fn weights_that_add_up_to_0() {
    let code = refused_after(|document| {
        document["routes"][0]["split"][0]["weight"] = json!(0);
        document["routes"][0]["split"][1]["weight"] = json!(0.0);
    });
    assert_eq!(code, ConfigurationCode::NoWeight);
}

#[test]
fn weights_that_are_not_told() {
    let code = refused_after(|document| document["routes"][0]["split"] = json!([{"service": "model-a"}]));
    assert_eq!(code, ConfigurationCode::NoWeight);
}

#[test]
fn no_weight_though_a_service_is_named_besides() {
    let code = refused_after(|document| {
        document["routes"][1]["split"] = json!([{"service": "model-a", "weight": 0}]);
    });
    assert_eq!(code, ConfigurationCode::NoWeight);
}

#[test]
fn a_timeout_of_0() {
    for timeout in [json!(0), json!(0.0), json!(-0.0), json!(null)] {
        let code = refused_after(|document| document["routes"][1]["timeout_ms"] = timeout);
        assert_eq!(code, ConfigurationCode::NoTimeout);
    }
}

#[test]
fn a_timeout_that_is_not_told() {
    let code = refused_after(|document| {
        document["routes"][1].as_object_mut().unwrap().remove("timeout_ms");
    });
    assert_eq!(code, ConfigurationCode::NoTimeout);
}

#[test]
fn a_key_of_two_tenants() {
    let code = refused_after(|document| {
        let other = json!({"name": "market", "api_keys": ["key-three", "key-two"]});
        document["tenants"].as_array_mut().unwrap().push(other);
    });
    assert_eq!(code, ConfigurationCode::SharedKey);
}

#[test]
fn a_route_without_service_and_split() {
    for absent in [json!(null), json!("")] {
        let code = refused_after(|document| {
            document["routes"][1]["service"] = absent;
            document["routes"][1]["split"] = json!([]);
        });
        assert_eq!(code, ConfigurationCode::NoService);
    }
}

#[test]
fn prefixes_without_their_slashes() {
    for prefix in ["", "chat/", "/chat", "chat", " /chat/"] {
        let code = refused_after(|document| document["routes"][0]["prefix"] = json!(prefix));
        assert_eq!(code, ConfigurationCode::Prefix, "{prefix:?}");
    }
}

#[test]
fn a_route_without_a_host() {
    for host in [json!(""), json!(null), json!(":8080")] {
        let code = refused_after(|document| document["routes"][0]["host"] = host);
        assert_eq!(code, ConfigurationCode::Host);
    }
}

#[test]
fn a_service_without_a_name() {
    let code = refused_after(|document| document["services"][0]["name"] = json!(""));
    assert_eq!(code, ConfigurationCode::Name);
}

#[test]
fn a_tenant_whose_name_would_split_a_header() {
    let code = refused_after(|document| document["tenants"][0]["name"] = json!("shop\r\nX-Tenant: other"));
    assert_eq!(code, ConfigurationCode::Name);
}

#[test]
fn two_services_of_one_name_that_differ() {
    let code = refused_after(|document| document["services"][1]["name"] = json!("model-a"));
    assert_eq!(code, ConfigurationCode::SharedName);
}

#[test]
fn two_tenants_of_one_name() {
    let code = refused_after(|document| {
        let other = json!({"name": "shop", "api_keys": ["key-three"]});
        document["tenants"].as_array_mut().unwrap().push(other);
    });
    assert_eq!(code, ConfigurationCode::SharedName);
}

#[test]
fn health_paths_that_are_none() {
    for path in ["healthz", "/health z", "/healthz\r\nHost: other"] {
        let code = refused_after(|document| document["services"][0]["health_path"] = json!(path));
        assert_eq!(code, ConfigurationCode::HealthPath, "{path:?}");
    }
}

#[test]
fn a_document_without_bound() {
    let padded = format!("{EXAMPLE}{}", " ".repeat(MAX_DOCUMENT_BYTES));
    assert_eq!(refused(padded.as_bytes()), ConfigurationCode::TooLarge);
}

#[test]
fn lists_without_bound() {
    let long = [
        ("/routes", json!({}), MAX_ROUTES),
        ("/services", json!({}), MAX_SERVICES),
        ("/tenants", json!({}), MAX_TENANTS),
        ("/routes/0/split", json!({"service": "model-a", "weight": 1}), MAX_SPLIT),
        ("/tenants/0/api_keys", json!("key-one"), MAX_KEYS_OF_TENANT),
    ];
    for (place, element, bound) in long {
        let code = refused_after(|document| {
            *document.pointer_mut(place).unwrap() = Value::Array(vec![element; bound + 2]);
        });
        assert_eq!(code, ConfigurationCode::TooMany, "{place}");
    }
}

#[test]
fn texts_without_bound() {
    let long = "a".repeat(MAX_TEXT_BYTES);
    let places =
        ["/routes/0/name", "/routes/0/host", "/services/0/name", "/tenants/0/name", "/tenants/0/api_keys/0"];
    for place in places {
        let code =
            refused_after(|document| *document.pointer_mut(place).unwrap() = json!(format!("{long}a")));
        assert_eq!(code, ConfigurationCode::TooLong, "{place}");
    }
    for place in ["/routes/0/prefix", "/services/0/health_path"] {
        let code =
            refused_after(|document| *document.pointer_mut(place).unwrap() = json!(format!("/{long}/")));
        assert_eq!(code, ConfigurationCode::TooLong, "{place}");
    }
}

#[test]
fn what_a_refusal_says() {
    let mut document: Value = serde_json::from_str(EXAMPLE).unwrap();
    document["routes"][1]["service"] = json!("model-c");
    let error = read(document.to_string().as_bytes()).unwrap_err();
    insta::assert_snapshot!(error, @r#"CFG-107 route "lookup" names the unknown service "model-c"; add the service, or name one that is there"#);
}
