//! Parsing of valid settings, including minimal ones.

use std::path::Path;
use std::time::Duration;

use crankpick_settings::{Bounds, Limits, Settings, Tolerate};

const EXAMPLE: &str = include_str!("documents/example.conf");
const MINIMAL: &str = "node=n\nzone=east\nip=10.0.0.1\nport_range=7500,7515\n";

fn parse(text: &str) -> Settings {
    Settings::parse(Path::new("local.conf"), text.as_bytes()).expect("valid settings")
}

#[test]
fn the_example_is_read_as_it_stands() {
    insta::assert_debug_snapshot!(parse(EXAMPLE));
}

#[test]
fn file_is_read_from_its_path() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/documents/example.conf");
    assert_eq!(Settings::read(path).unwrap(), parse(EXAMPLE));
}

#[test]
fn served_roles() {
    let settings = parse(EXAMPLE);
    assert!(settings.serves_edge() && settings.serves_control());
    let settings = parse(MINIMAL);
    assert!(!settings.serves_edge() && !settings.serves_control());
}

#[test]
fn contracts_in_force() {
    let settings = parse(EXAMPLE);
    assert!(settings.has_contract("tenants"));
    assert!(!settings.has_contract("quota"));
}

#[test]
fn absent_keys_take_defaults() {
    let settings = parse(MINIMAL);
    assert_eq!(settings.bounds, Bounds::default());
    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.tolerate, Tolerate::default());
    assert_eq!(settings.heartbeat, Duration::from_millis(1_200));
    assert_eq!((settings.bootstrap, settings.counts_for_quorum), (false, false));
    assert_eq!((settings.data_dir, settings.listen.front), (None, None));
    assert!(settings.seeds.is_empty() && settings.contracts.is_empty());
    assert_eq!(settings.zones.len(), 1);
}

#[test]
fn empty_keys_take_defaults() {
    let required = ["node", "zone", "ip", "port_range"];
    let mut sparse = MINIMAL.to_owned();
    for line in EXAMPLE.lines() {
        let (key, _) = line.split_once('=').unwrap();
        if !required.contains(&key) && !key.starts_with("zones.") {
            sparse.push_str(&format!("{key}=\n"));
        }
    }
    assert_eq!(parse(&sparse), parse(MINIMAL));
}

#[test]
fn unknown_keys_are_ignored() {
    let more = format!("{EXAMPLE}later.key=1\nlater=\nbounds.later_ms=soon\n[section]\nno value\n# a note\n");
    assert_eq!(parse(&more), parse(EXAMPLE));
}

#[test]
fn line_endings_and_whitespace_are_ignored() {
    assert_eq!(parse(&EXAMPLE.replace('\n', "\r\n")), parse(EXAMPLE));
    assert_eq!(parse(&EXAMPLE.replace('\n', "  \n\n").replace('=', " = ")), parse(EXAMPLE));
    assert_eq!(parse(EXAMPLE.trim_end()), parse(EXAMPLE));
    assert_eq!(parse(&EXAMPLE.replace(',', " , ").replace("7500 , ", "7500, ")), parse(EXAMPLE));
}

#[test]
fn non_ascii_names() {
    let settings = parse(&MINIMAL.replace("east", "Улаанбаатар").replace("node=n", "node=結び目"));
    assert_eq!((settings.zone.as_str(), settings.node.as_str()), ("Улаанбаатар", "結び目"));
}

#[test]
fn integers_written_as_floats() {
    assert_eq!(parse(&EXAMPLE.replace("=4100", "=4100.0").replace("=300\n", "=300.0\n")), parse(EXAMPLE));
}

#[test]
fn last_occurrence_of_a_duplicate_key_wins() {
    assert_eq!(parse(&format!("{MINIMAL}node=other\n")).node, "other");
}

#[test]
fn own_zone_is_added_to_the_zones() {
    let settings = parse(&format!("{MINIMAL}region=coast\nzones.west=hills\n"));
    assert_eq!(settings.zones["east"], "coast");
    assert_eq!(settings.zones["west"], "hills");
}
