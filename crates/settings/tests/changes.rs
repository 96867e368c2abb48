//! Differences between reloaded settings and the old ones, and which of them a running process applies.

use std::path::Path;

use crankpick_settings::{Settings, SettingsChange};

const EXAMPLE: &str = include_str!("documents/example.conf");

fn parse(text: &str) -> Settings {
    Settings::parse(Path::new("local.conf"), text.as_bytes()).expect("valid settings")
}

/// The differences after replacing a line of the example.
fn change(line: &str, replacement: &str) -> SettingsChange {
    assert!(EXAMPLE.contains(line));
    parse(&EXAMPLE.replace(line, replacement)).diff(&parse(EXAMPLE))
}

#[test]
fn equal_settings_have_no_differences() {
    let settings = parse(EXAMPLE);
    assert!(settings.diff(&settings).is_empty());
    assert!(change("entry=vip", "entry=list").is_empty());
}

#[test]
fn changes_that_a_running_process_applies() {
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
fn changes_that_need_a_restart() {
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
    for (line, replacement, key) in changes {
        let expected = SettingsChange { needs_restart: vec![key], ..SettingsChange::default() };
        assert_eq!(change(line, replacement), expected);
    }
    assert_eq!(change("\nzone=east", "\nzone=west").needs_restart, ["zone"]);
}

#[test]
fn running_process_keeps_values_that_need_a_restart() {
    let old = parse(EXAMPLE);
    let new =
        parse(&EXAMPLE.replace("bounds.drain_ms=2100", "bounds.drain_ms=1000").replace("=true", "=false"));
    let live = new.clone().without_restart_changes(&old);
    assert_eq!(live.bounds, new.bounds);
    assert_eq!(Settings { bounds: old.bounds, ..live }, old);
}
