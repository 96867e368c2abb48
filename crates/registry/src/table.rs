//! A gateway's view of the backends: immutable tables, built from what its homes tell.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::changes::{Changes, Cursor};
use crate::record::{BackendRecord, BackendState, Presence};
use crate::{Now, ProcessId};

/// How long an ended backend is remembered, so that no late word brings it back.
const TOMBSTONE: Duration = Duration::from_secs(60);
/// The most ended backends remembered.
const MAX_TOMBSTONES: usize = 4_096;

/// All backends that have not ended, by service. Never changed: a newer table takes its place.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    services: BTreeMap<String, Arc<[Arc<BackendRecord>]>>,
    number: u64,
}

impl BackendTable {
    /// A table of these backends.
    pub fn of(records: impl IntoIterator<Item = BackendRecord>) -> Self {
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

    /// The backends of a service, in the order of their ids: ready, draining and silent ones.
    pub fn service(&self, service: &str) -> &[Arc<BackendRecord>] {
        self.services.get(service).map_or(&[], |records| records)
    }

    /// The backends of a service, to be kept.
    pub fn shared_service(&self, service: &str) -> Option<Arc<[Arc<BackendRecord>]>> {
        self.services.get(service).cloned()
    }

    /// All services that have a backend.
    pub fn services(&self) -> impl Iterator<Item = (&str, &Arc<[Arc<BackendRecord>]>)> {
        self.services.iter().map(|(service, records)| (service.as_str(), records))
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

    /// Rises with each table of one builder.
    pub fn number(&self) -> u64 {
        self.number
    }
}

/// A backend as the gateway holds it.
#[derive(Clone, Debug)]
struct Held {
    record: Arc<BackendRecord>,
    ended_at: Option<Now>,
}

/// Builds tables from what one home after the other tells. What a former home told is kept until the
/// present one, once it may speak about absence, contradicts it. That a backend drains is never unlearned.
#[derive(Clone, Debug, Default)]
pub struct TableBuilder {
    held: BTreeMap<String, Held>,
    cursor: Option<Cursor>,
    /// What the present home, a registry of this incarnation, has not told of.
    home: Option<ProcessId>,
    untold: BTreeSet<String>,
    table: Arc<BackendTable>,
}

impl TableBuilder {
    /// A builder that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Where the present home is to read on.
    pub fn cursor(&self) -> Option<Cursor> {
        self.cursor
    }

    /// The newest table.
    pub fn table(&self) -> Arc<BackendTable> {
        self.table.clone()
    }

    /// Takes in what a home told; whether there is a new table.
    pub fn apply(&mut self, now: Now, changes: Changes) -> bool {
        self.follow(&changes);
        let mut changed = false;
        for word in changes.records {
            self.untold.remove(&word.id);
            changed |= self.take(now, word);
        }
        if changes.settled {
            changed |= self.drop_untold(now);
        }
        self.cursor = Some(changes.cursor);
        changed |= self.forget_old(now);
        if changed {
            let records = self.held.values().map(|held| held.record.clone());
            self.table = Arc::new(BackendTable::from_shared(self.table.number + 1, records));
        }
        changed
    }

    /// A home that tells everything anew has not told yet of what is held.
    fn follow(&mut self, changes: &Changes) {
        let home = changes.cursor.incarnation;
        if !changes.whole && self.home == Some(home) {
            return;
        }
        self.home = Some(home);
        self.untold =
            self.held.iter().filter(|(_, held)| held.ended_at.is_none()).map(|(id, _)| id.clone()).collect();
    }

    /// Takes one word; whether it changed anything.
    fn take(&mut self, now: Now, word: BackendRecord) -> bool {
        let mut word = word.received(now);
        if let Some(held) = self.held.get(&word.id) {
            let (draining, deleted) =
                (word.draining || held.record.draining, word.deleted || held.record.deleted);
            if word.seq < held.record.seq {
                word = BackendRecord::clone(&held.record);
            }
            word.draining = draining;
            word.deleted = deleted;
            word.settle_state();
            if word.same_content(&held.record) && word.seq == held.record.seq {
                return false;
            }
        }
        let ended_at = (word.state == BackendState::Gone).then_some(now);
        self.held.insert(word.id.clone(), Held { record: Arc::new(word), ended_at });
        true
    }

    /// The home speaks about absence: what it has not told of is gone. Any later word brings it back.
    fn drop_untold(&mut self, now: Now) -> bool {
        let untold = std::mem::take(&mut self.untold);
        let changed = !untold.is_empty();
        for id in untold {
            if let Some(held) = self.held.get_mut(&id) {
                let mut record = BackendRecord::clone(&held.record);
                record.set_presence(0, Presence::Displaced);
                *held = Held { record: Arc::new(record), ended_at: Some(now) };
            }
        }
        changed
    }

    /// Forgets tombstones by age, and the oldest ones beyond a number. Tables do not hold them.
    fn forget_old(&mut self, now: Now) -> bool {
        let mut ended: Vec<(Now, String)> = Vec::new();
        for (id, held) in &self.held {
            if let Some(ended_at) = held.ended_at {
                ended.push((ended_at, id.clone()));
            }
        }
        ended.sort();
        let surplus = ended.len().saturating_sub(MAX_TOMBSTONES);
        for (position, (ended_at, id)) in ended.into_iter().enumerate() {
            if position < surplus || now.saturating_sub(ended_at) > TOMBSTONE {
                self.held.remove(&id);
            }
        }
        false
    }
}
