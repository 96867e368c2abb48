//! A machine: its process and its disk.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{MemberId, Replica, WriteId};

use super::Event;

/// How a disk does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMode {
    Well,
    /// Syncs take so long.
    Slow(Duration),
    /// Syncs end only once it is well again.
    Stalled,
    /// Writes are refused.
    Full,
}

/// A write on its way to the disk.
#[derive(Clone, Debug)]
pub struct Flight {
    pub write_id: WriteId,
    pub records: Vec<Vec<u8>>,
    pub refused: bool,
}

/// A machine.
pub struct Node {
    pub address: SocketAddr,
    pub zone: String,
    pub bootstrap: bool,
    pub durable: bool,
    pub seeds: Vec<SocketAddr>,
    pub replica: Option<Replica>,
    /// Synced.
    pub disk: Vec<Vec<u8>>,
    pub mode: DiskMode,
    pub flight: Option<Flight>,
    pub rewrite: Option<Vec<Vec<u8>>>,
    pub booted: Duration,
    /// Counts starts: events of an earlier one are dropped.
    pub life: u64,
    pub frozen: bool,
    pub held: Vec<Event>,
    /// Gone for good.
    pub removed: bool,
    /// Of its last process.
    pub identity: Option<MemberId>,
}
