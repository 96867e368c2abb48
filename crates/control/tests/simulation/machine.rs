//! A simulated machine: its process and its disk.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{MemberId, Replica, WriteId};

use super::Event;

/// The condition of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMode {
    Healthy,
    /// Each sync takes this long.
    Slow(Duration),
    /// Syncs complete only when the disk is healthy again.
    Stalled,
    /// Writes are refused.
    Full,
}

/// A write that the disk has not completed.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    pub write_id: WriteId,
    pub records: Vec<Vec<u8>>,
    pub refused: bool,
}

/// The state of a simulated machine.
pub struct Node {
    pub address: SocketAddr,
    pub zone: String,
    pub bootstrap: bool,
    pub durable: bool,
    pub seeds: Vec<SocketAddr>,
    pub replica: Option<Replica>,
    /// The synced records.
    pub disk: Vec<Vec<u8>>,
    pub disk_mode: DiskMode,
    pub pending_write: Option<PendingWrite>,
    pub pending_rewrite: Option<Vec<Vec<u8>>>,
    pub booted_at: Duration,
    /// The number of process starts; events of an earlier start are dropped.
    pub start_number: u64,
    pub frozen: bool,
    /// Events that arrived while the process was frozen.
    pub held: Vec<Event>,
    /// Permanently removed.
    pub removed: bool,
    /// The member identity of its last process.
    pub identity: Option<MemberId>,
}
