//! The records of a registry, numbered in the order in which they last changed.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use crate::departure::{BackendDeparture, DepartureKind};
use crate::record::{BackendRecord, BackendState, Presence};
use crate::{Now, ProcessId};

/// A record, and what only this process knows about it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The merged record.
    pub record: BackendRecord,
    /// Whether the process that received its heartbeats is unreachable: subscribers then see it as silent.
    pub orphaned: bool,
    /// When the record last changed.
    pub changed_at: Now,
    change_number: u64,
}

impl Entry {
    /// The record as it is sent to subscribers.
    pub fn subscriber_view(&self, now: Now) -> BackendRecord {
        let mut record = self.record.to_wire(now);
        if self.orphaned && record.presence == Presence::Present {
            record.set_presence(record.seq, Presence::Silent);
        }
        record
    }

    /// Whether the backend has ended, and is kept only so that no late update revives it.
    pub fn is_tombstone(&self) -> bool {
        self.record.state == BackendState::Gone
    }
}

/// The records of a registry, by id and by the number of their last change.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordStore {
    entries: BTreeMap<Arc<str>, Entry>,
    ids_by_change: BTreeMap<u64, Arc<str>>,
    newest_change: u64,
    /// The highest change number of a removed entry. A subscriber with a lower cursor may have missed it.
    newest_removed: u64,
    /// The departures that were stored since the host last took them.
    new_departures: Vec<BackendDeparture>,
}

impl RecordStore {
    /// The entry of `id`.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// The number of records, including tombstones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of the newest change; 0 before the first one.
    pub fn newest_change(&self) -> u64 {
        self.newest_change
    }

    /// All entries, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        self.entries.iter()
    }

    /// Whether all changes after `change` are still stored, so that a subscriber can resume there.
    pub fn covers_changes_since(&self, change: u64) -> bool {
        change >= self.newest_removed && change <= self.newest_change
    }

    /// The entries that changed after `change`, oldest change first.
    pub fn changed_since(&self, change: u64) -> impl Iterator<Item = &Entry> {
        let range = (Bound::Excluded(change), Bound::Unbounded);
        self.ids_by_change.range(range).filter_map(|(_, id)| self.entries.get(id))
    }

    /// Inserts or replaces the record of its id, as a new change.
    pub fn put(&mut self, now: Now, record: BackendRecord) {
        let id = self.shared_id(&record.id);
        self.record_departure(&record);
        self.newest_change += 1;
        let entry = Entry { record, orphaned: false, changed_at: now, change_number: self.newest_change };
        if let Some(former) = self.entries.insert(id.clone(), entry) {
            self.ids_by_change.remove(&former.change_number);
        }
        self.ids_by_change.insert(self.newest_change, id);
    }

    /// Removes and returns the departures that were stored since the last call.
    pub fn take_departures(&mut self) -> Vec<BackendDeparture> {
        std::mem::take(&mut self.new_departures)
    }

    /// Notes a departure that is stored for the first time.
    fn record_departure(&mut self, record: &BackendRecord) {
        let known: Option<DepartureKind> =
            self.entries.get(record.id.as_str()).and_then(|entry| entry.record.departure());
        let departure = record.departure();
        if let Some(kind) = departure.filter(|_| departure > known) {
            self.new_departures.push(BackendDeparture { id: record.id.clone(), kind });
        }
    }

    /// Ends the orphaning of all backends whose heartbeats `origin` received.
    pub fn clear_orphans_of(&mut self, now: Now, origin: ProcessId) {
        let orphans = self.entries.iter().filter(|(_, entry)| entry.orphaned);
        let orphans = orphans.filter(|(_, entry)| entry.record.origin == origin);
        let ids: Vec<Arc<str>> = orphans.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.set_orphaned(now, &id, false);
        }
    }

    /// Sets whether `id` is orphaned, as a new change: subscribers see it, peers do not.
    pub fn set_orphaned(&mut self, now: Now, id: &str, orphaned: bool) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        self.newest_change += 1;
        let former_change = std::mem::replace(&mut entry.change_number, self.newest_change);
        entry.orphaned = orphaned;
        entry.changed_at = now;
        if let Some(id) = self.ids_by_change.remove(&former_change) {
            self.ids_by_change.insert(self.newest_change, id);
        }
    }

    /// Removes the entry of `id`.
    pub fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.ids_by_change.remove(&entry.change_number);
            self.newest_removed = self.newest_removed.max(entry.change_number);
        }
    }

    /// The stored allocation of `id`, or a new one.
    fn shared_id(&self, id: &str) -> Arc<str> {
        match self.entries.get_key_value(id) {
            Some((key, _)) => key.clone(),
            None => Arc::from(id),
        }
    }
}
