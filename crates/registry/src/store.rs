//! The records of a registry, numbered in the order in which they last changed.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use crate::record::{BackendRecord, BackendState, Presence};
use crate::{Now, ProcessId};

/// A record and what only this process knows about it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The joined record.
    pub record: BackendRecord,
    /// The process that heard it is out of reach: subscribers are told that it is silent.
    pub orphaned: bool,
    /// When the record last changed.
    pub changed_at: Now,
    number: u64,
}

impl Entry {
    /// The record as subscribers are told it.
    pub fn presented(&self, now: Now) -> BackendRecord {
        let mut record = self.record.for_wire(now);
        if self.orphaned && record.presence == Presence::Heard {
            record.set_presence(record.seq, Presence::Silent);
        }
        record
    }

    /// Whether it has ended and is only remembered.
    pub fn ended(&self) -> bool {
        self.record.state == BackendState::Gone
    }
}

/// The records of a registry.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordStore {
    entries: BTreeMap<Arc<str>, Entry>,
    by_number: BTreeMap<u64, Arc<str>>,
    newest: u64,
    /// Subscribers that have read less than this may have missed a forgotten record.
    floor: u64,
}

impl RecordStore {
    /// What is known of `id`.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// The number of records, ended ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of the newest change.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// All entries by id.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        self.entries.iter()
    }

    /// Whether a subscriber that has read up to `number` can be told only what changed since.
    pub fn reaches_back_to(&self, number: u64) -> bool {
        number >= self.floor && number <= self.newest
    }

    /// The entries that changed after `number`, oldest change first.
    pub fn since(&self, number: u64) -> impl Iterator<Item = &Entry> {
        let range = (Bound::Excluded(number), Bound::Unbounded);
        self.by_number.range(range).filter_map(|(_, id)| self.entries.get(id))
    }

    /// Sets the record of its id: a change.
    pub fn put(&mut self, now: Now, record: BackendRecord) {
        let id = self.key(&record.id);
        self.newest += 1;
        let entry = Entry { record, orphaned: false, changed_at: now, number: self.newest };
        if let Some(former) = self.entries.insert(id.clone(), entry) {
            self.by_number.remove(&former.number);
        }
        self.by_number.insert(self.newest, id);
    }

    /// The process that heard these is within reach again.
    pub fn clear_orphans_of(&mut self, now: Now, origin: ProcessId) {
        let held = self.entries.iter().filter(|(_, entry)| entry.orphaned && entry.record.origin == origin);
        let orphans: Vec<Arc<str>> = held.map(|(id, _)| id.clone()).collect();
        for id in orphans {
            self.set_orphaned(now, &id, false);
        }
    }

    /// Says whether the process that heard `id` is out of reach: a change for subscribers alone.
    pub fn set_orphaned(&mut self, now: Now, id: &str, orphaned: bool) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        self.newest += 1;
        let former = std::mem::replace(&mut entry.number, self.newest);
        entry.orphaned = orphaned;
        entry.changed_at = now;
        if let Some(id) = self.by_number.remove(&former) {
            self.by_number.insert(self.newest, id);
        }
    }

    /// Forgets `id` altogether.
    pub fn forget(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.by_number.remove(&entry.number);
            self.floor = self.floor.max(entry.number);
        }
    }

    fn key(&self, id: &str) -> Arc<str> {
        match self.entries.get_key_value(id) {
            Some((key, _)) => key.clone(),
            None => Arc::from(id),
        }
    }
}
