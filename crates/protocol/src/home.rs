//! The messages between a gateway and its home, the control-plane process that it follows.
//!
//! Fields are encoded by position: their order must not change, and a new one needs `serde(default)`.

use std::net::SocketAddr;

use crankpick_quota::{Demand, Grant};
use crankpick_registry::{Changes, Cursor, GatewayTotal, ProcessId};
use serde::{Deserialize, Serialize};

/// The identity of a gateway, for one incarnation of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayIdentity {
    /// The name of the machine.
    pub node: String,
    /// Drawn at random when the process starts.
    pub incarnation: u64,
    /// The zone of the machine.
    pub zone: String,
}

/// The version of a configuration. Later ones compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigurationVersion {
    /// The position of its entry in the replicated log.
    pub position: u64,
    /// The version number that the operator gave it.
    pub generation: u64,
}

/// A configuration sent to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    /// The version.
    pub version: ConfigurationVersion,
    /// The document as the operator sent it, compressed if the gateway accepts that.
    #[serde(with = "serde_bytes")]
    pub document: Vec<u8>,
}

/// A gateway's report to its home, sent a few times a second. It renews the gateway's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// The number of the report, rising. The answer repeats it.
    pub number: u64,
    /// The configuration in force at the gateway.
    pub configuration: Option<ConfigurationVersion>,
    /// The registry changes that the gateway has.
    pub cursor: Option<Cursor>,
    /// The gateway's demands for tenants' quotas.
    pub demands: Vec<TenantDemand>,
    /// Whether it accepts compressed configurations. Earlier builds don't, and omit the field.
    #[serde(default)]
    pub accepts_compressed: bool,
}

/// A demand for one tenant's quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantDemand {
    /// The name of the tenant.
    pub tenant: String,
    /// The quota requested and the lease held.
    pub demand: Demand,
}

/// A grant of one tenant's quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantGrant {
    /// The name of the tenant.
    pub tenant: String,
    /// The quota granted.
    pub grant: Grant,
}

/// A process of the control plane, as it is known to gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlPlaneMember {
    /// The address on which gateways reach it.
    pub address: SocketAddr,
    /// The zone of the process.
    pub zone: String,
}

/// A home's message to a gateway: the answer to a report, or sent unasked when something has changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeUpdate {
    /// The incarnation of the home.
    pub home: ProcessId,
    /// The number of the report that this answers, if any.
    pub answers: Option<u64>,
    /// How long ago the home's configuration was known to be the newest acknowledged one, in milliseconds; `None` if
    /// that isn't known.
    pub freshness_ms: Option<u32>,
    /// All processes of the control plane; empty if unchanged since the last update.
    pub members: Vec<ControlPlaneMember>,
    /// A configuration that the gateway lacks.
    pub configuration: Option<ConfigurationUpdate>,
    /// Registry changes that the gateway lacks.
    pub changes: Option<Changes>,
    /// The number of live gateways in the fleet.
    pub gateways: GatewayTotal,
    /// Grants of tenants' quotas.
    pub grants: Vec<TenantGrant>,
}
