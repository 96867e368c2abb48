//! Data that a process persists, as values: the Raft log and votes, the voter's id, and the last accepted
//! publication. `consensus` and `node` decide what to write; the store in `crankpick-carry` reads and writes
//! it.

use raft::eraftpb::{Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

use crate::messages::{Publication, Roster};

/// Written atomically, and durable before the write returns.
#[derive(Default, Clone, Debug)]
pub struct Batch {
    /// Replace the log from the first of these entries on.
    pub entries: Vec<Entry>,
    pub hard: Option<HardState>,
    /// Log entries up to its index are dropped.
    pub snapshot: Option<Snapshot>,
    pub roster: Option<Roster>,
    pub taken: Option<Publication>,
}

impl Batch {
    pub fn is_empty(&self) -> bool {
        let Batch { entries, hard, snapshot, roster, taken } = self;
        entries.is_empty() && hard.is_none() && snapshot.is_none() && roster.is_none() && taken.is_none()
    }
}

/// A disk that writes batches.
pub trait Disk {
    fn write(&mut self, batch: &Batch) -> Result<(), String>;
}

/// Everything on the disk, as read at start.
#[derive(Default, Clone, Debug)]
pub struct PersistentState {
    /// The id that this disk was given when it was new. A voter with this id never returns with less than it
    /// has promised, because a new disk gets a new id.
    pub seat: u64,
    pub roster: Option<Roster>,
    pub log: Log,
    pub taken: Option<Publication>,
}

impl PersistentState {
    pub fn new(seat: u64) -> Self {
        PersistentState { seat, ..PersistentState::default() }
    }

    pub fn apply(&mut self, batch: &Batch) {
        self.log.apply(batch);
        if batch.roster.is_some() {
            self.roster.clone_from(&batch.roster);
        }
        if batch.taken.is_some() {
            self.taken.clone_from(&batch.taken);
        }
    }
}

/// The Raft library's view of the disk, cached in memory.
#[derive(Default, Clone, Debug)]
pub struct Log {
    pub hard: HardState,
    pub snapshot: Snapshot,
    /// Contiguous, starting after the snapshot's index.
    pub entries: Vec<Entry>,
}

impl Log {
    pub fn apply(&mut self, batch: &Batch) {
        if let Some(snapshot) = &batch.snapshot {
            let index = snapshot.get_metadata().index;
            self.snapshot = snapshot.clone();
            self.entries.retain(|entry| entry.index > index);
            self.hard.commit = self.hard.commit.max(index);
        }
        if let Some(first) = batch.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend(batch.entries.iter().cloned());
        }
        if let Some(hard) = &batch.hard {
            self.hard = hard.clone();
            self.hard.commit = self.hard.commit.max(self.snapshot_index());
        }
    }

    /// The index of the snapshot; 0 before the log has been created.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    fn last_entry_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot_index(), |entry| entry.index)
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf_state = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState { hard_state: self.hard.clone(), conf_state })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.snapshot_index() {
            return Err(StorageError::Compacted.into());
        }
        let from = (low - self.snapshot_index() - 1) as usize;
        let until = (high - self.snapshot_index() - 1) as usize;
        let Some(part) = self.entries.get(from..until) else { return Err(StorageError::Unavailable.into()) };
        let mut part = part.to_vec();
        raft::util::limit_size(&mut part, max_size.into());
        Ok(part)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.snapshot_index() {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get((index - self.snapshot_index() - 1) as usize);
        entry.map(|entry| entry.term).ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_entry_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        match self.snapshot_index() >= request_index {
            true => Ok(self.snapshot.clone()),
            false => Err(StorageError::SnapshotTemporarilyUnavailable.into()),
        }
    }
}
