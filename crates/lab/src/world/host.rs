//! One machine of the virtual world: a disk in memory, a clock of its own pace, and the process that runs there.

use std::collections::{BTreeMap, BTreeSet};

use crankpick_fleet::messages::Message;
use crankpick_fleet::node::{Link, Node};
use crankpick_fleet::storage::{Batch, Disk, PersistentState};

/// A power failure that strikes in a write.
#[derive(Clone, Copy)]
pub(super) struct PowerFailure {
    /// Writes that still succeed before it.
    pub(super) writes_left: u32,
    /// Whether the write that it strikes is there afterwards.
    pub(super) last_write_survives: bool,
}

/// A disk in memory. What `write` returned for is there after a crash.
#[derive(Default)]
pub(super) struct MemoryDisk {
    pub(super) kept: PersistentState,
    pub(super) full: bool,
    pub(super) power_failure: Option<PowerFailure>,
    /// The power has failed in a write: the process is gone.
    pub(super) lost_power: bool,
}

impl MemoryDisk {
    pub(super) fn holding(kept: PersistentState) -> Self {
        MemoryDisk { kept, ..MemoryDisk::default() }
    }
}

impl Disk for MemoryDisk {
    fn write(&mut self, batch: &Batch) -> Result<(), String> {
        if self.full {
            return Err("no space left".into());
        }
        if let Some(failure) = &mut self.power_failure {
            if failure.writes_left == 0 {
                if failure.last_write_survives {
                    self.kept.apply(batch);
                }
                (self.power_failure, self.lost_power) = (None, true);
                return Err("power lost".into());
            }
            failure.writes_left -= 1;
        }
        self.kept.apply(batch);
        Ok(())
    }
}

pub(super) struct Host {
    pub(super) name: String,
    pub(super) node: Option<Node>,
    pub(super) disk: MemoryDisk,
    pub(super) incarnation: u64,
    pub(super) paused: bool,
    /// Told to exit: it owns nothing until it is started again.
    pub(super) exiting: bool,
    /// What came while it was paused.
    pub(super) inbox: Vec<(Link, Message)>,
    /// Own time is `clock_offset + pace * t`.
    pub(super) clock_offset: u64,
    pub(super) pace: f64,
    /// When a disk that failed is tried again.
    pub(super) disk_retry_us: u64,
    /// The connection it has to each voter, by that voter's place.
    pub(super) connections: BTreeMap<usize, u64>,
    /// Until when it may send, by its own clock.
    pub(super) send_until_us: u64,
    /// The backends that it sends nothing to.
    pub(super) outs: BTreeSet<String>,
    /// Until when it has something in hand at each backend.
    pub(super) busy: BTreeMap<String, u64>,
}

impl Host {
    pub(super) fn new(name: String, disk: MemoryDisk, clock_offset: u64, pace: f64) -> Self {
        Host {
            name,
            node: None,
            disk,
            incarnation: 0,
            paused: false,
            exiting: false,
            inbox: Vec::new(),
            clock_offset,
            pace,
            disk_retry_us: 0,
            connections: BTreeMap::new(),
            send_until_us: 0,
            outs: BTreeSet::new(),
            busy: BTreeMap::new(),
        }
    }

    /// Its own clock at a moment of the world.
    pub(super) fn clock(&self, t: u64) -> u64 {
        self.clock_offset + (t as f64 * self.pace) as u64
    }

    /// The moment of the world at which its own clock shows this.
    pub(super) fn true_time(&self, own: u64) -> u64 {
        (own.saturating_sub(self.clock_offset) as f64 / self.pace) as u64
    }

    /// The name of the process that runs here.
    pub(super) fn process(&self) -> String {
        format!("{}.{:x}", self.name, self.incarnation)
    }

    /// Whether its process holds any lease at a moment of the world.
    pub(super) fn holds_a_lease(&self, t: u64) -> bool {
        self.node.as_ref().is_some_and(|node| node.session.leases.iter(self.clock(t)).next().is_some())
    }

    /// Whether its process runs and believes to own the duty at a moment of the world.
    pub(super) fn owns(&self, t: u64, duty: &str) -> bool {
        let holds = |node: &Node| node.session.leases.token(self.clock(t), duty).is_some();
        !self.paused && self.node.as_ref().is_some_and(holds)
    }

    pub(super) fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(Node::is_leader)
    }

    /// As a process that starts anew finds itself.
    pub(super) fn reset(&mut self) {
        (self.paused, self.exiting, self.inbox) = (false, false, Vec::new());
        (self.send_until_us, self.outs, self.busy) = (0, BTreeSet::new(), BTreeMap::new());
        self.disk.lost_power = false;
    }
}
