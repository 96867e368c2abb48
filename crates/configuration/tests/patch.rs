//! Patches: what they make of a configuration, and each kind of unsound one with its code.

use crankpick_configuration::{read, Configuration, ConfigurationCode, Patch};
use quickcheck::{quickcheck, Arbitrary, Gen};
use serde_json::{json, Value};

const EXAMPLE: &str = include_str!("documents/example.json");

fn route(name: &str, service: &str) -> Value {
    json!({"name": name, "host": "h.example", "prefix": format!("/{name}/"), "type": "idempotent", "timeout_ms": 900,
        "service": service, "a field of a later version": [1, {"x": 2}]})
}

fn base() -> Value {
    json!({
        "generation": 7, "note": {"kept": true},
        "routes": [route("a", "s"), route("b", "s"), route("c", "t")],
        "services": [{"name": "s"}, {"name": "t"}],
        "limits": {"idle_timeout_ms": 9000},
    })
}

fn patched(base: &Value, patch: &Value) -> Result<Value, ConfigurationCode> {
    let patch = Patch::read(patch.to_string().as_bytes()).map_err(|error| error.code())?;
    let document = patch.apply(base.to_string().as_bytes()).map_err(|error| error.code())?;
    Ok(serde_json::from_slice(&document).unwrap())
}

#[test]
fn items_are_replaced_in_place_added_at_the_end_and_deleted() {
    let patch = json!({"generation": 9, "upsert": {"routes": [route("new", "t"), route("b", "t")]},
        "delete": {"routes": ["a"]}});
    let mut wanted = base();
    wanted["generation"] = json!(9);
    wanted["routes"] = json!([route("b", "t"), route("c", "t"), route("new", "t")]);
    assert_eq!(patched(&base(), &patch), Ok(wanted));
}

#[test]
fn a_list_that_was_absent_or_null_is_begun() {
    let tenant = json!({"name": "first", "api_keys": ["k"]});
    let patch = json!({"generation": 8, "upsert": {"tenants": [tenant]}});
    let mut wanted = base();
    wanted["generation"] = json!(8);
    wanted["tenants"] = json!([tenant]);
    assert_eq!(patched(&base(), &patch), Ok(wanted.clone()));
    let mut null = base();
    null["tenants"] = Value::Null;
    assert_eq!(patched(&null, &patch), Ok(wanted));
}

#[test]
fn a_patch_without_changes_makes_a_version() {
    let mut wanted = base();
    wanted["generation"] = json!(8);
    for patch in
        [json!({"generation": 8}), json!({"generation": 8.0, "upsert": null, "delete": {"routes": null}})]
    {
        assert_eq!(patched(&base(), &patch), Ok(wanted.clone()), "{patch}");
    }
}

#[test]
fn untouched_items_keep_their_bytes() {
    let base = br#"{"generation":1, "routes":[ {"name" : "a","host":"h","prefix":"/","timeout_ms":1.50e3,"service":"s"}],"services":[{"name":"s"}]}"#;
    let patch = Patch::read(br#"{"generation":2,"upsert":{"services":[{"name":"t"}]}}"#).unwrap();
    let wanted = br#"{"generation":2,"routes":[ {"name" : "a","host":"h","prefix":"/","timeout_ms":1.50e3,"service":"s"}],"services":[{"name":"s"},{"name":"t"}]}"#;
    assert_eq!(String::from_utf8_lossy(&patch.apply(base).unwrap()), String::from_utf8_lossy(wanted));
}

#[test]
fn unsound_patches_are_refused_with_their_codes() {
    let named = route("a", "s");
    let cases = [
        (json!({"upsert": {}}), ConfigurationCode::WrongType),
        (json!({"generation": "9"}), ConfigurationCode::WrongType),
        (json!({"generation": 9, "upsert": []}), ConfigurationCode::WrongType),
        (json!({"generation": 9, "upsert": {"routes": {}}}), ConfigurationCode::WrongType),
        (json!([9]), ConfigurationCode::WrongType),
        (json!("patch"), ConfigurationCode::WrongType),
        (json!({"generation": 9, "upsert": {"limits": [{"name": "x"}]}}), ConfigurationCode::UnknownList),
        (json!({"generation": 9, "delete": {"keys": ["k"]}}), ConfigurationCode::UnknownList),
        (json!({"generation": 9, "upsert": {"routes": [{"host": "h"}]}}), ConfigurationCode::Unnamed),
        (json!({"generation": 9, "upsert": {"routes": [{"name": ""}]}}), ConfigurationCode::Unnamed),
        (json!({"generation": 9, "upsert": {"routes": ["a"]}}), ConfigurationCode::Unnamed),
        (json!({"generation": 9, "delete": {"routes": [{"name": "a"}]}}), ConfigurationCode::Unnamed),
        (json!({"generation": 9, "upsert": {"routes": [named, named]}}), ConfigurationCode::NamedTwice),
        (json!({"generation": 9, "delete": {"routes": ["a", "a"]}}), ConfigurationCode::NamedTwice),
        (
            json!({"generation": 9, "upsert": {"routes": [named]}, "delete": {"routes": ["a"]}}),
            ConfigurationCode::ReplacedAndDeleted,
        ),
        (json!({"generation": 9, "delete": {"routes": ["nobody"]}}), ConfigurationCode::NotThere),
        (json!({"generation": 9, "delete": {"tenants": ["nobody"]}}), ConfigurationCode::NotThere),
        (json!({"generation": 9, "delete": {"services": ["t"]}}), ConfigurationCode::UnknownService),
        (
            json!({"generation": 9, "upsert": {"routes": [{"name": "a", "host": "h.example", "prefix": "/b/",
                "timeout_ms": 5, "service": "s"}]}}),
            ConfigurationCode::SharedPrefix,
        ),
    ];
    for (patch, code) in cases {
        assert_eq!(patched(&base(), &patch), Err(code), "{patch}");
    }
    let whole = Patch::read(br#"{"generation":9,"upsert":{"routes":[]"#).unwrap_err();
    assert_eq!(whole.code(), ConfigurationCode::CutShort);
}

#[test]
fn a_name_that_several_items_bear_is_ambiguous() {
    let mut doubled = base();
    let mut twin = route("x", "s");
    twin["name"] = json!("a");
    doubled["routes"] = json!([route("a", "s"), route("b", "s"), twin]);
    let by_name = |name: &str| json!({"generation": 9, "upsert": {"routes": [route(name, "t")]}});
    assert_eq!(patched(&doubled, &by_name("a")), Err(ConfigurationCode::NamedTwice));
    assert_eq!(
        patched(&doubled, &json!({"generation": 9, "delete": {"routes": ["a"]}})),
        Err(ConfigurationCode::NamedTwice)
    );
    assert!(patched(&doubled, &by_name("b")).is_ok());
}

#[test]
fn patches_are_told_apart_by_what_they_say() {
    let fingerprint = |bytes: &[u8]| Patch::read(bytes).unwrap().fingerprint();
    let one = fingerprint(br#"{"generation":9,"delete":{"routes":["a"]}}"#);
    assert_eq!(one, fingerprint(b"{ \"delete\": {\"routes\": [\"a\"]},\n \"generation\": 9.0}"));
    assert_ne!(one, fingerprint(br#"{"generation":9,"delete":{"routes":["b"]}}"#));
    let both = br#"{"generation":9,"routes":[],"services":[]}"#;
    assert_ne!(Some(fingerprint(both)), crankpick_configuration::fingerprint(both));
}

/// Changes of named items as an operator draws them, which may or may not be sound.
#[derive(Clone, Debug)]
struct Change {
    upsert: Vec<(u8, u8)>,
    delete: Vec<u8>,
}

impl Arbitrary for Change {
    fn arbitrary(gen: &mut Gen) -> Change {
        Change { upsert: few(gen), delete: few(gen) }
    }
}

fn few<T: Arbitrary>(gen: &mut Gen) -> Vec<T> {
    (0..usize::arbitrary(gen) % 4).map(|_| T::arbitrary(gen)).collect()
}

impl Change {
    fn patch(&self, generation: u64) -> Value {
        let upsert = self.upsert.iter().map(|(name, service)| {
            let service = ["s", "t", "gone"][usize::from(*service % 16).saturating_sub(13).min(2)];
            route(&format!("r{}", name % 12), service)
        });
        let delete = self.delete.iter().map(|name| format!("r{}", name % 12));
        json!({"generation": generation, "upsert": {"routes": upsert.collect::<Vec<_>>()},
            "delete": {"routes": delete.collect::<Vec<_>>()}})
    }

    /// The same change made on the document's values, without a look at whether it is sound.
    fn apply(&self, document: &mut Value, generation: u64) {
        document["generation"] = json!(generation);
        let patch = self.patch(generation);
        let routes = document["routes"].as_array_mut().unwrap();
        for new in patch["upsert"]["routes"].as_array().unwrap() {
            match routes.iter_mut().find(|route| route["name"] == new["name"]) {
                Some(route) => *route = new.clone(),
                None => routes.push(new.clone()),
            }
        }
        for name in patch["delete"]["routes"].as_array().unwrap() {
            routes.retain(|route| route["name"] != *name);
        }
    }
}

quickcheck! {
    fn a_row_of_patches_equals_the_whole_configuration_of_its_result(changes: Vec<Change>) -> bool {
        let mut by_patches = base();
        let mut whole = base();
        for (place, change) in changes.iter().enumerate() {
            let generation = 8 + place as u64;
            if let Ok(document) = patched(&by_patches, &change.patch(generation)) {
                by_patches = document;
                change.apply(&mut whole, generation);
            }
        }
        let configuration = |document: &Value| -> Configuration { read(document.to_string().as_bytes()).unwrap() };
        by_patches == whole && configuration(&by_patches) == configuration(&whole)
    }

    fn arbitrary_bytes_are_read_or_refused(bytes: Vec<u8>) -> bool {
        if let Ok(patch) = Patch::read(&bytes) {
            let _taken_or_refused = patch.apply(&bytes);
        }
        Patch::read(EXAMPLE.as_bytes()).is_ok()
    }
}
