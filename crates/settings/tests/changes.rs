//! What settings that were read again change, and what a running process takes of them.

use std::path::Path;

use crankpick_settings::{Settings, SettingsChange};

const EXAMPLE: &str = include_str!("documents/example.conf");

fn parse(text: &str) -> Settings {
    Settings::parse(Path::new("local.conf"), text.as_bytes()).expect("they are sound")
}

/// What another value for a line of the example changes.
fn change(line: &str, other: &str) -> SettingsChange {
    assert!(EXAMPLE.contains(line));
    parse(&EXAMPLE.replace(line, other)).changed_from(&parse(EXAMPLE))
}

#[test]
fn nothing() {
    let settings = parse(EXAMPLE);
    assert!(settings.changed_from(&settings).is_empty());
    assert!(change("entry=vip", "entry=list").is_empty());
}

#[test]
fn what_may_be_taken_live() {
    let none = SettingsChange::default();
    let seeds = change("10.5.0.18:8367", "10.5.0.19:8367");
    assert_eq!(seeds, SettingsChange { seeds: true, ..none.clone() });
    let bounds = change("bounds.drain_ms=2100", "bounds.drain_ms=1000");
    assert_eq!(bounds, SettingsChange { bounds: true, ..none.clone() });
    let limits = change("limits.max_fds=5000", "limits.max_fds=4000");
    assert_eq!(limits, SettingsChange { limits: true, ..none.clone() });
    let tolerate = change("tolerate.zones=1", "tolerate.zones=0");
    assert_eq!(tolerate, SettingsChange { tolerate: true, ..none.clone() });
    let contracts = change("contracts=base,drain", "contracts=base");
    assert_eq!(contracts, SettingsChange { contracts: true, ..none.clone() });
    let zones = change("zones.west=coast", "zones.west=hills");
    assert_eq!(zones, SettingsChange { zones: true, ..none.clone() });
    let heartbeat = change("heartbeat_ms=1500", "heartbeat_ms=1000");
    assert_eq!(heartbeat, SettingsChange { heartbeat: true, ..none });
}

#[test]
fn what_holds_from_the_next_start() {
    let changes = [
        ("node=edge-east-1", "node=edge-east-2", "node"),
        ("role=control-plane", "role=gate", "role"),
        ("node_class=edge", "node_class=core", "node_class"),
        ("serves=edge,control", "serves=edge", "serves"),
        ("ip=10.4.0.3", "ip=10.4.0.4", "ip"),
        ("region=coast", "region=hills", "region"),
        ("listen.front=10.4.0.3:8360", "listen.front=10.4.0.3:8361", "listen"),
        ("port_range=7500,7515", "port_range=7500,7516", "port_range"),
        ("bootstrap=true", "bootstrap=false", "bootstrap"),
        ("counts_for_quorum=true", "counts_for_quorum=false", "counts_for_quorum"),
        ("data_dir=/data/control-plane", "data_dir=/data/other", "data_dir"),
    ];
    for (line, other, key) in changes {
        let expected = SettingsChange { needs_restart: vec![key], ..SettingsChange::default() };
        assert_eq!(change(line, other), expected);
    }
    assert_eq!(change("\nzone=east", "\nzone=west").needs_restart, ["zone"]);
}

#[test]
fn a_running_process_keeps_what_holds_from_the_next_start() {
    let old = parse(EXAMPLE);
    let new =
        parse(&EXAMPLE.replace("bounds.drain_ms=2100", "bounds.drain_ms=1000").replace("=true", "=false"));
    let live = new.clone().taken_live(&old);
    assert_eq!(live.bounds, new.bounds);
    assert_eq!(Settings { bounds: old.bounds, ..live }, old);
}
