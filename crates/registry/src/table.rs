//! A gateway's view of the backends: immutable tables, built from the updates of its homes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::changes::{Changes, Cursor};
use crate::record::{BackendRecord, BackendState, Presence};
use crate::{Now, ProcessId};

/// How long the tombstone of an ended backend is kept, so that no late update revives it.
const TOMBSTONE_DURATION: Duration = Duration::from_secs(60);
/// The maximum number of tombstones.
const MAX_TOMBSTONES: usize = 4_096;

/// All backends that have not ended, by service. Immutable: a newer table replaces it.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    services: BTreeMap<String, Arc<[Arc<BackendRecord>]>>,
    number: u64,
}

impl BackendTable {
    /// A table of these backends, with the number 0.
    pub fn from_records(records: impl IntoIterator<Item = BackendRecord>) -> Self {
        Self::from_shared(0, records.into_iter().map(Arc::new))
    }

    fn from_shared(number: u64, records: impl Iterator<Item = Arc<BackendRecord>>) -> Self {
        let mut by_service: BTreeMap<String, Vec<Arc<BackendRecord>>> = BTreeMap::new();
        for record in records.filter(|record| record.state != BackendState::Gone) {
            by_service.entry(record.service.clone()).or_default().push(record);
        }
        let services = by_service.into_iter().map(|(service, records)| (service, records.into())).collect();
        Self { services, number }
    }

    /// The backends of a service (ready, draining and silent ones) in the order of their ids; none if the
    /// service is not known.
    pub fn service(&self, service: &str) -> &[Arc<BackendRecord>] {
        self.services.get(service).map_or(&[], |records| records)
    }

    /// All backends.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<BackendRecord>> {
        self.services.values().flat_map(|records| records.iter())
    }

    /// The number of backends.
    pub fn len(&self) -> usize {
        self.services.values().map(|records| records.len()).sum()
    }

    /// Whether there is no backend.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// The number of this table; rises with each table of one builder.
    pub fn number(&self) -> u64 {
        self.number
    }
}

/// A record, and when its backend ended, which makes it a tombstone.
#[derive(Clone, Debug)]
struct BuilderEntry {
    record: Arc<BackendRecord>,
    ended_at: Option<Now>,
}

/// Builds tables from the updates of one home after the other. Records of a former home are kept until the
/// current one, once it states absence, has sent all its records without them. A backend that once drained stays
/// draining.
#[derive(Clone, Debug, Default)]
pub struct TableBuilder {
    entries: BTreeMap<String, BuilderEntry>,
    cursor: Option<Cursor>,
    /// The incarnation of the current home's registry.
    home: Option<ProcessId>,
    /// The backends that the current home has not sent yet.
    unconfirmed: BTreeSet<String>,
    table: Arc<BackendTable>,
}

impl TableBuilder {
    /// A builder without any record.
    pub fn new() -> Self {
        Self::default()
    }

    /// The cursor from which the home is to send changes; `None` before the first update.
    pub fn cursor(&self) -> Option<Cursor> {
        self.cursor
    }

    /// The newest table.
    pub fn table(&self) -> Arc<BackendTable> {
        self.table.clone()
    }

    /// Applies an update of a home; returns whether there is a new table.
    pub fn apply(&mut self, now: Now, changes: Changes) -> bool {
        self.expect_confirmation(&changes);
        let mut changed = false;
        for update in changes.records {
            self.unconfirmed.remove(&update.id);
            changed |= self.merge(now, update);
        }
        if changes.states_absence {
            changed |= self.end_unconfirmed(now);
        }
        self.cursor = Some(changes.cursor);
        self.remove_tombstones(now);
        if changed {
            let records = self.entries.values().map(|entry| entry.record.clone());
            self.table = Arc::new(BackendTable::from_shared(self.table.number + 1, records));
        }
        changed
    }

    /// A home that is new, or that sends all its records, has yet to confirm each known backend.
    fn expect_confirmation(&mut self, changes: &Changes) {
        let home = changes.cursor.incarnation;
        if !changes.full && self.home == Some(home) {
            return;
        }
        self.home = Some(home);
        let running = self.entries.iter().filter(|(_, entry)| entry.ended_at.is_none());
        self.unconfirmed = running.map(|(id, _)| id.clone()).collect();
    }

    /// Merges one record; returns whether it changed anything.
    fn merge(&mut self, now: Now, update: BackendRecord) -> bool {
        let mut update = update.received(now);
        if let Some(known) = self.entries.get(&update.id).map(|entry| &entry.record) {
            let draining = update.draining || known.draining;
            let deleted = update.deleted || known.deleted;
            if update.seq < known.seq {
                update = BackendRecord::clone(known);
            }
            update.draining = draining;
            update.deleted = deleted;
            update.update_state();
            if update.has_same_content(known) && update.seq == known.seq {
                return false;
            }
        }
        let ended_at = (update.state == BackendState::Gone).then_some(now);
        self.entries.insert(update.id.clone(), BuilderEntry { record: Arc::new(update), ended_at });
        true
    }

    /// Ends the backends that a home which states absence has not sent. Their `seq` becomes 0, so that any later update
    /// revives them.
    fn end_unconfirmed(&mut self, now: Now) -> bool {
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let changed = !unconfirmed.is_empty();
        for id in unconfirmed {
            if let Some(entry) = self.entries.get_mut(&id) {
                let mut record = BackendRecord::clone(&entry.record);
                record.set_presence(0, Presence::Displaced);
                *entry = BuilderEntry { record: Arc::new(record), ended_at: Some(now) };
            }
        }
        changed
    }

    /// Removes the tombstones that are too old, and the oldest ones beyond the maximum number. Tables do not
    /// contain them, so this makes no new table.
    fn remove_tombstones(&mut self, now: Now) {
        let mut tombstones: Vec<(Now, String)> = Vec::new();
        for (id, entry) in &self.entries {
            if let Some(ended_at) = entry.ended_at {
                tombstones.push((ended_at, id.clone()));
            }
        }
        tombstones.sort();
        let surplus = tombstones.len().saturating_sub(MAX_TOMBSTONES);
        for (index, (ended_at, id)) in tombstones.into_iter().enumerate() {
            if index < surplus || now.saturating_sub(ended_at) > TOMBSTONE_DURATION {
                self.entries.remove(&id);
            }
        }
    }
}
