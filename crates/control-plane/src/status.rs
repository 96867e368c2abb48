//! The status of a control-plane member, as JSON for operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{DeclineReason, Now, Replica, ViolationKind};
use crankpick_registry::Registry;
use serde::Serialize;

use crate::fault_tolerance::{tolerable_losses, LOW_TOLERANCE_CODE};
use crate::host::{DISK_FAILING_CODE, REWRITE_FAILING_CODE};
use crate::quotas::RefusedEpochs;

/// The inputs of a status.
pub struct StatusInputs<'a> {
    /// The current time.
    pub now: Now,
    /// The address on which peers reach this process.
    pub address: SocketAddr,
    /// The zone of this process.
    pub zone: &'a str,
    /// The replica.
    pub replica: &'a Replica,
    /// The registry of backends.
    pub registry: &'a Registry,
    /// The generation of the newest configuration.
    pub generation: Option<u64>,
    /// The machines of the gateways whose home is this process.
    pub gateways: Vec<String>,
    /// The number of live gateways in the fleet.
    pub fleet_gateways: u32,
    /// The number of tenants whose quotas this process owns.
    pub tenants_owned: usize,
    /// The number of peers that are up.
    pub peers_up: usize,
    /// The number of member failures that must be tolerable.
    pub tolerated_losses: usize,
    /// Counts of refused quota epochs.
    pub refused_epochs: RefusedEpochs,
    /// Whether disk writes succeed in time; `None` without a disk.
    pub disk_healthy: Option<bool>,
    /// Whether the last rewrite of the log failed.
    pub rewrite_failing: bool,
}

impl StatusInputs<'_> {
    /// The codes of the current warnings.
    fn warnings(&self) -> Vec<&'static str> {
        let is_low = tolerable_losses(self.replica).is_none_or(|tolerable| tolerable < self.tolerated_losses);
        let conditions = [
            (self.disk_healthy == Some(false), DISK_FAILING_CODE),
            (is_low, LOW_TOLERANCE_CODE),
            (self.rewrite_failing, REWRITE_FAILING_CODE),
        ];
        conditions.into_iter().filter(|(holds, _)| *holds).map(|(_, code)| code).collect()
    }
}

#[derive(Serialize)]
struct Status<'a> {
    address: SocketAddr,
    zone: &'a str,
    up_ms: u128,
    epoch: u64,
    in_chain: bool,
    members: Vec<MemberStatus>,
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
    disk_healthy: Option<bool>,
    /// Counts of messages and demands refused since the start because a later epoch was in use.
    refused_epochs: RefusedEpochsStatus,
    /// Commands that this process declined as the head since the start, by reason.
    declined_commands: BTreeMap<&'static str, u64>,
    /// Invariant violations since the start, by code.
    violations: BTreeMap<&'static str, u64>,
    warnings: Vec<&'static str>,
}

#[derive(Serialize)]
struct RefusedEpochsStatus {
    /// Messages of the replication protocol that this process refused.
    messages_here: u64,
    /// Quota demands that this process refused as the owner.
    demands_here: u64,
    /// Quota demands of this process as a home that an owner refused.
    demands_elsewhere: u64,
}

#[derive(Serialize)]
struct MemberStatus {
    address: SocketAddr,
    zone: String,
    in_chain: Option<usize>,
}

/// The number of violations by code, including zeros.
fn violations(replica: &Replica) -> BTreeMap<&'static str, u64> {
    let counted = |kind: ViolationKind| replica.violations().get(&kind).copied().unwrap_or_default();
    ViolationKind::ALL.into_iter().map(|kind| (kind.code(), counted(kind))).collect()
}

/// The number of declined commands by reason, including zeros.
fn declined_commands(replica: &Replica) -> BTreeMap<&'static str, u64> {
    let counted = |reason: DeclineReason| (reason.name(), replica.declined_commands(reason));
    DeclineReason::ALL.into_iter().map(counted).collect()
}

/// Encodes the status as JSON.
pub fn status_json(inputs: &StatusInputs<'_>) -> String {
    let view = inputs.replica.view();
    let members = view
        .members
        .iter()
        .map(|member| MemberStatus {
            address: member.address,
            zone: member.zone.clone(),
            in_chain: view.chain_index(member.id),
        })
        .collect();
    let status = Status {
        address: inputs.address,
        zone: inputs.zone,
        up_ms: inputs.now.as_millis(),
        epoch: view.epoch,
        in_chain: inputs.replica.in_chain(),
        members,
        freshness_ms: inputs.replica.freshness(inputs.now).map(|age: Duration| age.as_millis()),
        generation: inputs.generation,
        backends: inputs.registry.len(),
        backends_settled: inputs.registry.states_absence(inputs.now),
        gateways_here: inputs.gateways.clone(),
        gateways: inputs.fleet_gateways,
        tenants_owned: inputs.tenants_owned,
        peers_up: inputs.peers_up,
        tolerated_losses: inputs.tolerated_losses,
        bearable_losses: tolerable_losses(inputs.replica),
        disk_healthy: inputs.disk_healthy,
        refused_epochs: RefusedEpochsStatus {
            messages_here: inputs.replica.stale_epochs_refused(),
            demands_here: inputs.refused_epochs.refused_here,
            demands_elsewhere: inputs.refused_epochs.refused_elsewhere,
        },
        declined_commands: declined_commands(inputs.replica),
        violations: violations(inputs.replica),
        warnings: inputs.warnings(),
    };
    serde_json::to_string(&status).unwrap_or_default()
}

#[cfg(test)]
#[path = "../tests/unit/status.rs"]
mod tests;
