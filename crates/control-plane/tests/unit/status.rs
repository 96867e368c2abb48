//! The keys of the status are stable, because operators and their tools depend on them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{Input, Options, Output, Outputs, Replica, Timing};
use crankpick_registry::{ProcessId, Registry, RegistrySettings};
use serde_json::Value;

use super::{status_json, StatusInputs};
use crate::redirector::RedirectState;

const STATUS_KEYS: [&str; 21] = [
    "address",
    "backends",
    "backends_settled",
    "bearable_losses",
    "declined_commands",
    "disk_healthy",
    "epoch",
    "freshness_ms",
    "gateways",
    "gateways_here",
    "generation",
    "in_chain",
    "members",
    "peers_up",
    "refused_epochs",
    "tenants_owned",
    "tolerated_losses",
    "up_ms",
    "violations",
    "warnings",
    "zone",
];

fn address() -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], 7500))
}

fn keys(value: &Value) -> Vec<&str> {
    let keys: BTreeSet<&str> = value.as_object().unwrap().keys().map(String::as_str).collect();
    keys.into_iter().collect()
}

/// A replica that is the only member of its core.
fn only_member() -> Replica {
    let options = Options {
        address: address(),
        zone: "zone-a".into(),
        seeds: vec![address()],
        bootstrap: true,
        durable: true,
        tolerate_nodes: 0,
        tolerate_zones: 0,
        entropy: 1,
        timing: Timing::default(),
    };
    let mut outputs = Outputs::new();
    let mut replica = Replica::restore(Duration::ZERO, options, Vec::new(), &mut outputs);
    for turn in 0..1_000 {
        let now = Duration::from_millis(20 * turn);
        let mut inputs = vec![Input::Tick];
        while let Some(input) = inputs.pop() {
            replica.handle(now, input, &mut outputs);
            inputs.extend(std::mem::take(&mut outputs).into_iter().filter_map(answer));
        }
    }
    replica
}

/// The input by which a host without peers responds to an output.
fn answer(output: Output) -> Option<Input> {
    match output {
        Output::Persist { write_id, .. } => Some(Input::Persisted(write_id)),
        Output::Send { to, message } if to == address() => Some(Input::Message(message)),
        _ => None,
    }
}

fn status() -> Value {
    status_with(|_| {})
}

/// The status for modified inputs.
fn status_with(change: impl FnOnce(&mut StatusInputs<'_>)) -> Value {
    let settings = RegistrySettings::new(Duration::from_secs(1));
    let replica = only_member();
    let registry = Registry::new(Duration::ZERO, ProcessId(9), settings);
    let mut inputs = StatusInputs {
        now: Duration::from_secs(20),
        address: address(),
        zone: "zone-a",
        replica: &replica,
        registry: &registry,
        generation: Some(42),
        gateways: vec!["gateway-1".into()],
        fleet_gateways: 2,
        tenants_owned: 3,
        peers_up: 4,
        tolerated_losses: 5,
        refused_epochs: crate::quotas::RefusedEpochs::default(),
        disk_healthy: Some(true),
        rewrite_failing: false,
    };
    change(&mut inputs);
    serde_json::from_str(&status_json(&inputs)).unwrap()
}

#[test]
fn the_status_keeps_its_keys() {
    let status = status();
    println!("{status}");
    assert_eq!(keys(&status), STATUS_KEYS);
    assert_eq!(keys(&status["members"][0]), ["address", "in_chain", "zone"]);
    assert_eq!(status["address"], "10.1.2.3:7500");
    assert_eq!(status["zone"], "zone-a");
    assert_eq!(status["up_ms"], 20_000);
    assert_eq!(status["generation"], 42);
    assert_eq!(status["gateways_here"][0], "gateway-1");
    assert_eq!(status["gateways"], 2);
    assert_eq!(status["tenants_owned"], 3);
    assert_eq!(status["peers_up"], 4);
    assert_eq!(status["tolerated_losses"], 5);
    assert_eq!(status["warnings"][0], "CTL-302");
}

#[test]
fn the_status_warns_of_disk_failures() {
    let healthy = status_with(|_| {});
    assert_eq!(healthy["warnings"].as_array().unwrap().len(), 1);
    let refusing = status_with(|inputs| inputs.disk_healthy = Some(false));
    assert_eq!(refusing["warnings"][0], "CTL-301");
    assert_eq!(refusing["disk_healthy"], false);
    let failing = status_with(|inputs| inputs.rewrite_failing = true);
    assert_eq!(failing["warnings"][1], "CTL-303");
    let without = status_with(|inputs| inputs.disk_healthy = None);
    assert!(without["disk_healthy"].is_null());
}

#[test]
fn the_status_outside_the_core_keeps_its_keys() {
    let redirect_state =
        RedirectState { redirects_to: Some(address()), epoch: 6, members: vec![address(), address()] };
    assert_eq!(
        serde_json::to_string(&redirect_state).unwrap(),
        r#"{"redirects_to":"10.1.2.3:7500","epoch":6,"members":["10.1.2.3:7500","10.1.2.3:7500"]}"#
    );
}
