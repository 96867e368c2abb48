//! The updates that control-plane processes send to each other.

use serde::{Deserialize, Serialize};

use crate::gateway_leases::GatewayRecord;
use crate::record::BackendRecord;
use crate::ProcessId;

/// Records that one process sends to all others. The full state is sent as several of these.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The process that sends it.
    pub from: ProcessId,
    /// Records of backends; the receiver merges them into its own.
    pub backends: Vec<BackendRecord>,
    /// Records of gateways; the receiver merges them into its own.
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

    /// Whether it has no records.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty() && self.gateways.is_empty()
    }
}

/// Checksums over all backends of a process. Two processes compare them to find where they differ
/// (anti-entropy).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// One checksum for each bucket of backend ids.
    pub sums: Vec<u64>,
}
