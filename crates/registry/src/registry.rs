//! The registry of a control-plane process: every backend it knows, from heartbeats and from its peers.
//!
//! The submodules hold what the registry does: [`registration`] takes the backends' own calls,
//! [`replication`] exchanges records with peers and subscribers, [`expiry`] ends what has not been seen, and [`departures`]
//! holds what a process must know of departed backends before it believes a heartbeat.

mod departures;
mod expiry;
mod registration;
mod replication;

use std::collections::BTreeMap;
use std::sync::Arc;

use self::departures::WithheldHeartbeats;
use crate::announcement::Announcement;
use crate::freeze::FreezeDetector;
use crate::peers::Peers;
use crate::record::BackendRecord;
use crate::settings::RegistrySettings;
use crate::store::RecordStore;
use crate::{Now, ProcessId};

/// The result of a heartbeat or a sign-off.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct RegistrationOutcome {
    /// Whether anything changed for subscribers.
    pub changed: bool,
    /// The update to send to all peers, if any. A draining or a sign-off may be acknowledged to the backend
    /// only after the reachable peers have this update.
    pub announcement: Option<Announcement>,
}

/// The newest heartbeat of a backend whose heartbeats arrive at this process.
#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    seq: u64,
    received_at: Now,
}

/// All backends as one control-plane process knows them.
#[derive(Clone, Debug)]
pub struct Registry {
    local_process: ProcessId,
    settings: RegistrySettings,
    store: RecordStore,
    /// The backends whose heartbeats arrive at this process.
    last_heartbeats: BTreeMap<Arc<str>, LastHeartbeat>,
    peers: Peers,
    freezes: FreezeDetector,
    /// Until then a backend that is missing here may still be known elsewhere, so absence is not stated.
    grace_until: Now,
    isolated: bool,
    /// Whether this process knows all departures that were acknowledged.
    departures_known: bool,
    /// The heartbeats of unknown backends that arrived while departures were missing.
    withheld: WithheldHeartbeats,
}

impl Registry {
    /// Creates an empty registry at `now`, in the process `local_process`.
    pub fn new(now: Now, local_process: ProcessId, settings: RegistrySettings) -> Self {
        let grace_until = now + settings.grace;
        Self {
            local_process,
            store: RecordStore::default(),
            last_heartbeats: BTreeMap::new(),
            peers: Peers::new(settings.peer_death),
            freezes: FreezeDetector::new(now, settings.freeze),
            grace_until,
            isolated: false,
            departures_known: true,
            withheld: WithheldHeartbeats::default(),
            settings,
        }
    }

    /// The process that this registry belongs to.
    pub fn process(&self) -> ProcessId {
        self.local_process
    }

    /// The number of known backends, including tombstones.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether no backend is known.
    pub fn is_empty(&self) -> bool {
        self.store.len() == 0
    }

    /// The record of the backend `id`.
    pub fn record(&self, id: &str) -> Option<&BackendRecord> {
        self.store.get(id).map(|entry| &entry.record)
    }

    /// Whether this process has been running, not frozen and not isolated, for long enough that a backend
    /// which it does not know is absent. Never while it withholds heartbeats.
    pub fn states_absence(&self, now: Now) -> bool {
        !self.isolated && self.departures_known && now >= self.grace_until
    }

    /// Sets whether this process is cut off from the majority of the control plane.
    pub fn set_isolated(&mut self, now: Now, isolated: bool) {
        self.record_call(now);
        if self.isolated && !isolated {
            self.restart_grace_period(now);
        }
        self.isolated = isolated;
    }

    /// Records that a peer is connected. The host then sends it the [full state](Self::full_state).
    pub fn peer_up(&mut self, now: Now, peer: ProcessId) {
        self.record_call(now);
        if peer == self.local_process {
            return;
        }
        self.peers.mark_reachable(peer);
        self.store.clear_orphans_of(now, peer);
    }

    /// Records that the connection to a peer is closed.
    pub fn peer_down(&mut self, now: Now, peer: ProcessId) {
        self.record_call(now);
        self.peers.mark_unreachable(now, peer);
    }

    /// Stores records that changed here, and returns the update for the peers.
    fn publish(&mut self, now: Now, records: Vec<BackendRecord>) -> RegistrationOutcome {
        if records.is_empty() {
            return RegistrationOutcome::default();
        }
        let updates = records.iter().map(|record| record.to_wire(now)).collect();
        for record in records {
            self.store.put(now, record);
        }
        let announcement = Announcement::of_backends(self.local_process, updates);
        RegistrationOutcome { changed: true, announcement: Some(announcement) }
    }

    /// Records the time of a call. A long pause since the last one may mean that this process was frozen and
    /// missed heartbeats: nothing expires by that pause, and the grace period starts again.
    fn record_call(&mut self, now: Now) {
        let Some(pause) = self.freezes.record_call(now) else { return };
        self.restart_grace_period(now);
        self.peers.extend_timeouts(pause);
        for heartbeat in self.last_heartbeats.values_mut() {
            heartbeat.received_at += pause;
        }
    }

    fn restart_grace_period(&mut self, now: Now) {
        self.grace_until = self.grace_until.max(now + self.settings.grace);
    }
}
