//! How things stand at a process of the control plane, as JSON for an operator.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{Now, Replica, ViolationKind};
use crankpick_registry::Registry;
use serde::Serialize;

use crate::resilience::{bearable_losses, TOO_FEW};

/// What a status is made of.
pub struct Facts<'a> {
    /// Now.
    pub now: Now,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: &'a str,
    /// The replica.
    pub replica: &'a Replica,
    /// The backends.
    pub registry: &'a Registry,
    /// The newest configuration's version.
    pub generation: Option<u64>,
    /// The machines of the gateways that have it for their home.
    pub gateways: Vec<String>,
    /// The gateways alive in the fleet.
    pub fleet_gateways: u32,
    /// Tenants whose quota it owns.
    pub tenants_owned: usize,
    /// Peers within reach.
    pub peers_up: usize,
    /// Losses of members that are to be borne.
    pub tolerated_losses: usize,
}

#[derive(Serialize)]
struct Status<'a> {
    address: SocketAddr,
    zone: &'a str,
    up_ms: u128,
    epoch: u64,
    in_chain: bool,
    members: Vec<Position>,
    freshness_ms: Option<u128>,
    generation: Option<u64>,
    backends: usize,
    backends_settled: bool,
    gateways_here: Vec<String>,
    gateways: u32,
    tenants_owned: usize,
    peers_up: usize,
    tolerated_losses: usize,
    bearable_losses: Option<usize>,
    /// How often an invariant was seen broken since the start, by the code of its kind.
    violations: BTreeMap<&'static str, u64>,
    warnings: Vec<&'static str>,
}

#[derive(Serialize)]
struct Position {
    address: SocketAddr,
    zone: String,
    in_chain: Option<usize>,
}

/// All kinds of violations by their codes, those never seen as well.
fn violations(replica: &Replica) -> BTreeMap<&'static str, u64> {
    let counted = |kind: ViolationKind| replica.violations().get(&kind).copied().unwrap_or_default();
    ViolationKind::ALL.into_iter().map(|kind| (kind.code(), counted(kind))).collect()
}

/// The status as JSON.
pub fn describe(facts: &Facts<'_>) -> String {
    let view = facts.replica.view();
    let members = view
        .members
        .iter()
        .map(|member| Position {
            address: member.address,
            zone: member.zone.clone(),
            in_chain: view.chain_index(member.id),
        })
        .collect();
    let bearable_losses = bearable_losses(facts.replica);
    let too_few = bearable_losses.is_none_or(|bearable| bearable < facts.tolerated_losses);
    let status = Status {
        address: facts.address,
        zone: facts.zone,
        up_ms: facts.now.as_millis(),
        epoch: view.epoch,
        in_chain: facts.replica.in_chain(),
        members,
        freshness_ms: facts.replica.freshness(facts.now).map(|age: Duration| age.as_millis()),
        generation: facts.generation,
        backends: facts.registry.len(),
        backends_settled: facts.registry.settled(facts.now),
        gateways_here: facts.gateways.clone(),
        gateways: facts.fleet_gateways,
        tenants_owned: facts.tenants_owned,
        peers_up: facts.peers_up,
        tolerated_losses: facts.tolerated_losses,
        bearable_losses,
        violations: violations(facts.replica),
        warnings: too_few.then_some(TOO_FEW).into_iter().collect(),
    };
    serde_json::to_string(&status).unwrap_or_default()
}

#[cfg(test)]
#[path = "../tests/unit/status.rs"]
mod tests;
