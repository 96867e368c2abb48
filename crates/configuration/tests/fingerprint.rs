//! Which documents count as the same one.

use crankpick_configuration::fingerprint;

const DOCUMENT: &str = r#"{"generation":7,"routes":[{"name":"r","prefix":"/a/","timeout_ms":12000,"on":true}],"services":[{"name":"é/s","x":null},{"name":"t","rate":0.5}]}"#;

fn of(document: &str) -> u128 {
    fingerprint(document.as_bytes()).unwrap_or_else(|| panic!("unreadable: {document}"))
}

#[test]
fn white_space_does_not_matter() {
    let spaced = DOCUMENT.replace(':', " : ").replace(',', ",\n  ");
    assert_eq!(of(&spaced), of(DOCUMENT));
}

#[test]
fn the_order_of_members_does_not_matter() {
    let reordered = r#"{"services":[{"x":null,"name":"é/s"},{"rate":0.5,"name":"t"}],"routes":[{"on":true,"timeout_ms":12000,"prefix":"/a/","name":"r"}],"generation":7}"#;
    assert_eq!(of(reordered), of(DOCUMENT));
}

#[test]
fn the_writing_of_one_string_or_number_does_not_matter() {
    let rewritten = DOCUMENT
        .replace('é', "\\u00e9")
        .replace("/a/", "\\/a\\/")
        .replace("12000", "1.2e4")
        .replace("0.5", "5e-1")
        .replace(":7,", ":7.0,");
    assert_eq!(of(&rewritten), of(DOCUMENT));
}

#[test]
fn each_change_of_what_is_said_matters() {
    let changes = [
        ("12000", "12001"),
        ("true", "false"),
        ("null", "0"),
        ("0.5", "0.25"),
        ("\"r\"", "\"q\""),
        ("\"x\":null", "\"y\":null"),
        (",\"x\":null", ""),
        (":7,", ":\"7\","),
    ];
    for (from, to) in changes {
        let changed = DOCUMENT.replacen(from, to, 1);
        assert_ne!(changed, DOCUMENT, "{from} is not in the document");
        assert_ne!(of(&changed), of(DOCUMENT), "{from} to {to}");
    }
}

#[test]
fn the_order_of_lists_matters() {
    assert_ne!(of(r#"{"a":[1,2]}"#), of(r#"{"a":[2,1]}"#));
    assert_ne!(of(r#"{"a":[[1],2]}"#), of(r#"{"a":[1,[2]]}"#));
}

#[test]
fn values_do_not_change_places_between_members() {
    assert_ne!(of(r#"{"a":1,"b":2}"#), of(r#"{"a":2,"b":1}"#));
    assert_ne!(of(r#"{"a":{"b":1}}"#), of(r#"{"b":{"a":1}}"#));
}

#[test]
fn what_is_no_document_has_none() {
    for unsound in ["", "{", "{\"a\":1} x", "\u{0}"] {
        assert_eq!(fingerprint(unsound.as_bytes()), None, "{unsound:?}");
    }
}
