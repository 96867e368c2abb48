//! What a gateway and its home tell each other.

use std::net::SocketAddr;

use crankpick_quota::{Demand, Grant};
use crankpick_registry::{Changes, Cursor, GatewayTotal, ProcessId};
use serde::{Deserialize, Serialize};

/// A gateway in one incarnation of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayIdentity {
    /// The machine.
    pub node: String,
    /// Drawn at the process's start.
    pub incarnation: u64,
    /// Where the machine stands.
    pub zone: String,
}

/// Which configuration a process has: later ones compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigurationVersion {
    /// Its place in the chain's history.
    pub position: u64,
    /// The operator's number for it.
    pub generation: u64,
}

/// A configuration on its way to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    /// Which one.
    pub mark: ConfigurationVersion,
    /// Its bytes as the operator sent them, packed for a gateway that takes it so.
    #[serde(with = "serde_bytes")]
    pub document: Vec<u8>,
}

/// What a gateway tells its home, a few times a second: it renews the gateway's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Counted up; the answer names it.
    pub number: u64,
    /// The configuration in force at the gateway.
    pub configuration: Option<ConfigurationVersion>,
    /// What it has of the registry's changes.
    pub cursor: Option<Cursor>,
    /// What it would take of tenants' quotas, and holds.
    pub demands: Vec<TenantDemand>,
    /// Whether it takes configurations packed; earlier builds don't, and don't say so.
    #[serde(default)]
    pub takes_packed: bool,
}

/// One tenant's part in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantDemand {
    /// The tenant's name.
    pub tenant: String,
    /// What is asked for and held.
    pub demand: Demand,
}

/// One tenant's part in an update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantGrant {
    /// The tenant's name.
    pub tenant: String,
    /// What may be taken.
    pub grant: Grant,
}

/// A process of the control plane, as gateways know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreMember {
    /// Where gateways reach it.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: String,
}

/// What a home tells a gateway: the answer to a report, or at once where something changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeUpdate {
    /// This start of the home.
    pub home: ProcessId,
    /// The report that this answers.
    pub answers: Option<u64>,
    /// How long ago the home's configuration was known to be the newest acknowledged one, in ms.
    pub freshness_ms: Option<u32>,
    /// All processes of the control plane; none where they are those told before.
    pub members: Vec<CoreMember>,
    /// A configuration that the gateway hasn't.
    pub configuration: Option<ConfigurationUpdate>,
    /// Changes of the registry that the gateway hasn't.
    pub changes: Option<Changes>,
    /// Gateways alive in the fleet.
    pub gateways: GatewayTotal,
    /// What the gateway may take of tenants' quotas.
    pub grants: Vec<TenantGrant>,
}
