//! What control-plane processes flood to each other.

use serde::{Deserialize, Serialize};

use crate::gateway_leases::GatewayRecord;
use crate::record::BackendRecord;
use crate::ProcessId;

/// Changes that one process tells all others. Also used, in several batches, for the whole state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The process that tells.
    pub from: ProcessId,
    /// Backends, joined by the receiver into what it knows.
    pub backends: Vec<BackendRecord>,
    /// Gateways, joined likewise.
    pub gateways: Vec<GatewayRecord>,
}

impl Announcement {
    /// An announcement of backends alone.
    pub fn of_backends(from: ProcessId, backends: Vec<BackendRecord>) -> Self {
        Self { from, backends, gateways: Vec::new() }
    }

    /// An announcement of gateways alone.
    pub fn of_gateways(from: ProcessId, gateways: Vec<GatewayRecord>) -> Self {
        Self { from, backends: Vec::new(), gateways }
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty() && self.gateways.is_empty()
    }
}

/// Sums over what a process knows, by which two processes find where they differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// One sum for each bucket of ids.
    pub sums: Vec<u64>,
}
