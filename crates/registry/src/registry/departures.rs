//! What a process must know of departed backends before it believes a heartbeat.
//!
//! A process that has just started lacks the departures that others acknowledged while it was down, or that its disk has
//! lost. To it a late heartbeat of a backend that has signed off looks like that of a new one. Until it has read the
//! departures of enough members, it withholds heartbeats of backends that it doesn't know.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{RegistrationOutcome, Registry};
use crate::announcement::Announcement;
use crate::departure::BackendDeparture;
use crate::heartbeat::{Heartbeat, HeartbeatState};
use crate::record::BackendRecord;
use crate::Now;

/// The newest heartbeat of an unknown backend, not yet believed.
#[derive(Clone, Debug)]
struct WithheldHeartbeat {
    heartbeat: Heartbeat,
    received_at: Now,
}

/// The withheld heartbeats, by backend.
#[derive(Clone, Debug, Default)]
pub(super) struct WithheldHeartbeats {
    by_id: BTreeMap<Arc<str>, WithheldHeartbeat>,
}

impl WithheldHeartbeats {
    /// The number of backends.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Withholds a heartbeat, unless a newer one of this backend is withheld.
    pub fn insert(&mut self, now: Now, id: &str, heartbeat: Heartbeat) {
        let newest = self.by_id.get(id).map(|withheld| withheld.heartbeat.seq);
        if newest.is_none_or(|newest| heartbeat.seq > newest) {
            self.by_id.insert(Arc::from(id), WithheldHeartbeat { heartbeat, received_at: now });
        }
    }

    /// Drops the heartbeat of a backend.
    pub fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Drops the heartbeats of backends that have become silent meanwhile.
    pub fn expire(&mut self, now: Now, silence: Duration) {
        self.by_id.retain(|_, withheld| now.saturating_sub(withheld.received_at) <= silence);
    }
}

impl Registry {
    /// From now on, heartbeats of unknown backends are withheld until [`Self::departures_complete`] is called.
    pub fn require_departures(&mut self) {
        self.departures_known = false;
    }

    /// Whether this process withholds the heartbeats of unknown backends.
    pub fn requires_departures(&self) -> bool {
        !self.departures_known
    }

    /// Records that this process knows all departures that were acknowledged, and takes the withheld heartbeats.
    pub fn departures_complete(&mut self, now: Now) -> RegistrationOutcome {
        self.departures_known = true;
        let withheld = std::mem::take(&mut self.withheld);
        let mut records: Vec<BackendRecord> = Vec::new();
        for (id, withheld) in withheld.by_id {
            // A heartbeat was checked when it was withheld.
            let taken = self.heartbeat(now, &id, withheld.heartbeat).unwrap_or_default();
            records.extend(taken.announcement.into_iter().flat_map(|taken| taken.backends));
        }
        let changed = !records.is_empty();
        let announcement = changed.then(|| Announcement::of_backends(self.local_process, records));
        RegistrationOutcome { changed, announcement }
    }

    /// Merges departures from the disk or from a member. Backends of which nothing else is known become tombstones.
    pub fn merge_departures(&mut self, now: Now, departures: &[BackendDeparture]) {
        self.record_call(now);
        for departure in departures {
            self.withheld.remove(&departure.id);
            let record = BackendRecord::departed(self.local_process, departure);
            self.merge_record(now, &record);
        }
    }

    /// All departures that this process knows, in the order in which their records last changed.
    pub fn departures(&self) -> Vec<BackendDeparture> {
        let records = self.store.changed_since(0).map(|entry| &entry.record);
        records
            .filter_map(|record| {
                let kind = record.departure()?;
                Some(BackendDeparture { id: record.id.clone(), kind })
            })
            .collect()
    }

    /// Removes and returns the departures that have become known since the last call: by a backend's own word or by a
    /// merge. The host stores them before it acknowledges them.
    pub fn take_departures(&mut self) -> Vec<BackendDeparture> {
        self.store.take_departures()
    }

    /// Whether a heartbeat of an unknown backend must be withheld. One that says `draining` does no harm.
    pub(super) fn must_withhold(&self, heartbeat: &Heartbeat) -> bool {
        !self.departures_known && heartbeat.state == HeartbeatState::Ready
    }
}
