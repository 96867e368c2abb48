//! Which departures are durable, and what waits for them. Performs no I/O.
//!
//! One write is on its way to the disk at a time. What is staged meanwhile follows in one write with one sync, so that many
//! backends that depart at once cost few syncs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_registry::Now;

use crate::departure_record::DepartureRecord;

/// The delay before a failed write is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// A log of fewer bytes isn't rewritten.
const MIN_REWRITE_BYTES: u64 = 128 << 10;
/// A log is rewritten once it has grown by this factor since it was last rewritten.
const REWRITE_RATIO: u64 = 2;
/// More staged records than this are replaced by a rewrite of the log, which has each backend once.
const MAX_STAGED: usize = 4_096;
/// The maximum number of waiting acknowledgements; beyond it the oldest one is dropped, and its caller tries again.
const MAX_WAITING: usize = 8_192;

/// An acknowledgement that waits until all departures staged before it are durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DurabilityWaiter {
    /// That this process stores the announcement with this number, which it made itself.
    OwnAnnouncement {
        /// The number of the announcement.
        number: u64,
    },
    /// That this process stores the announcement with this number of a peer.
    PeerAnnouncement {
        /// The address of the peer.
        peer: SocketAddr,
        /// The number of the announcement.
        number: u64,
    },
}

/// A write that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DueWrite {
    /// These records are to be appended.
    Append(Vec<DepartureRecord>),
    /// The log is to be replaced by all departures that are known.
    Rewrite,
}

/// The departures on the way to the disk.
#[derive(Debug)]
pub struct DepartureStore {
    /// Without a disk, departures are in memory only, and durable as long as a majority of the processes runs.
    has_disk: bool,
    staged: Vec<DepartureRecord>,
    /// The number of records staged since the start.
    staged_count: u64,
    /// Of these, the number of those that are durable.
    synced_count: u64,
    /// The number of records that are durable once the write in flight is.
    in_flight: Option<u64>,
    rewrite_due: bool,
    /// The length of the log after it was last rewritten, in bytes.
    rewritten_bytes: u64,
    retry_at: Now,
    waiting: VecDeque<(u64, DurabilityWaiter)>,
}

impl DepartureStore {
    /// A store of a process that has a disk or not. Nothing is staged.
    pub fn new(has_disk: bool) -> DepartureStore {
        DepartureStore {
            has_disk,
            staged: Vec::new(),
            staged_count: 0,
            synced_count: 0,
            in_flight: None,
            rewrite_due: false,
            rewritten_bytes: 0,
            retry_at: Now::ZERO,
            waiting: VecDeque::new(),
        }
    }

    /// Adds records that are to become durable.
    pub fn stage(&mut self, records: impl IntoIterator<Item = DepartureRecord>) {
        if !self.has_disk {
            return;
        }
        let before = self.staged.len();
        self.staged.extend(records);
        self.staged_count += (self.staged.len() - before) as u64;
        if self.staged.len() > MAX_STAGED {
            self.rewrite_due = true;
        }
        if self.rewrite_due {
            self.staged.clear();
        }
    }

    /// Whether all that was staged is durable.
    pub fn is_synced(&self) -> bool {
        self.synced_count >= self.staged_count
    }

    /// Has `waiter` wait until all that was staged so far is durable. Returns it if that is the case already.
    pub fn wait(&mut self, waiter: DurabilityWaiter) -> Option<DurabilityWaiter> {
        if self.is_synced() {
            return Some(waiter);
        }
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back((self.staged_count, waiter));
        None
    }

    /// Starts the next write, if one is due. A failed one is due again after the retry interval.
    pub fn next_write(&mut self, now: Now) -> Option<DueWrite> {
        let is_due = self.rewrite_due || !self.staged.is_empty();
        if !is_due || self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        self.in_flight = Some(self.staged_count);
        let records = std::mem::take(&mut self.staged);
        Some(if std::mem::take(&mut self.rewrite_due) {
            DueWrite::Rewrite
        } else {
            DueWrite::Append(records)
        })
    }

    /// The append in flight is durable, and the log has this many bytes. Returns what no longer waits.
    pub fn appended(&mut self, bytes: u64) -> Vec<DurabilityWaiter> {
        let threshold = (self.rewritten_bytes * REWRITE_RATIO).max(MIN_REWRITE_BYTES);
        if bytes >= threshold {
            self.rewrite_due = true;
            // The rewrite has them from the registry.
            self.staged.clear();
        }
        self.synced()
    }

    /// The rewrite in flight is durable, and the log has this many bytes. Returns what no longer waits.
    pub fn rewritten(&mut self, bytes: u64) -> Vec<DurabilityWaiter> {
        self.rewritten_bytes = bytes;
        self.synced()
    }

    /// The write in flight has failed. A rewrite follows: it holds what this one was to store, and may free space.
    pub fn write_failed(&mut self, now: Now) {
        self.in_flight = None;
        self.rewrite_due = true;
        self.staged.clear();
        self.retry_at = now + RETRY_INTERVAL;
    }

    fn synced(&mut self) -> Vec<DurabilityWaiter> {
        let Some(count) = self.in_flight.take() else { return Vec::new() };
        self.synced_count = self.synced_count.max(count);
        let synced = self.waiting.partition_point(|(staged_before, _)| *staged_before <= self.synced_count);
        self.waiting.drain(..synced).map(|(_, waiter)| waiter).collect()
    }
}

#[cfg(test)]
#[path = "../tests/unit/departure_store.rs"]
mod tests;
