//! The end of backends that were not seen for too long, and the removal of tombstones.

use std::sync::Arc;

use super::Registry;
use crate::announcement::Announcement;
use crate::record::{BackendRecord, BackendState, Presence};
use crate::Now;

impl Registry {
    /// Finds the backends that have become silent, and removes old records. To be called about every 250 ms.
    /// Returns an update to be sent to all peers.
    pub fn tick(&mut self, now: Now) -> Option<Announcement> {
        self.record_call(now);
        self.mark_orphans(now);
        self.remove_tombstones(now);
        self.end_lost_backends(now);
        self.withheld.expire(now, self.settings.silence);
        let silent = self.take_silent_backends(now);
        self.publish(now, silent).announcement
    }

    /// The backends whose heartbeats arrived here and have not for too long, as silent.
    fn take_silent_backends(&mut self, now: Now) -> Vec<BackendRecord> {
        let silence = self.settings.silence;
        let overdue: Vec<(Arc<str>, u64)> = self
            .last_heartbeats
            .iter()
            .filter(|(_, heartbeat)| now.saturating_sub(heartbeat.received_at) > silence)
            .map(|(id, heartbeat)| (id.clone(), heartbeat.seq))
            .collect();
        let mut silent = Vec::new();
        for (id, seq) in overdue {
            self.last_heartbeats.remove(&id);
            if let Some(entry) = self.store.get(&id) {
                let mut record = entry.record.clone();
                record.set_presence(seq.max(record.seq), Presence::Silent);
                silent.push(record);
            }
        }
        silent
    }

    /// Marks the backends whose origin has been unreachable for too long. Only subscribers see this: each
    /// process judges by itself which peers it reaches, so one broken link does not affect the others.
    fn mark_orphans(&mut self, now: Now) {
        if self.isolated {
            return;
        }
        let dead = self.peers.remove_dead(now);
        if dead.is_empty() {
            return;
        }
        let orphans: Vec<Arc<str>> = self
            .store
            .iter()
            .filter(|(_, entry)| entry.record.is_alive() && dead.contains(&entry.record.origin))
            .map(|(id, _)| id.clone())
            .collect();
        for id in orphans {
            self.store.set_orphaned(now, &id, true);
        }
    }

    /// Turns backends that were silent for too long into tombstones.
    fn end_lost_backends(&mut self, now: Now) {
        let silent_memory = self.settings.silent_memory;
        let lost: Vec<BackendRecord> = self
            .store
            .iter()
            .map(|(_, entry)| entry)
            .filter(|entry| !entry.is_tombstone())
            .filter(|entry| entry.orphaned || entry.record.state == BackendState::Silent)
            .filter(|entry| now.saturating_sub(entry.changed_at) > silent_memory)
            .map(|entry| entry.record.clone())
            .collect();
        for mut record in lost {
            record.set_presence(record.seq, Presence::Displaced);
            self.store.put(now, record);
        }
    }

    /// Removes the tombstones that are too old, and the oldest ones beyond the maximum number.
    fn remove_tombstones(&mut self, now: Now) {
        let mut tombstones: Vec<(Now, Arc<str>)> = self
            .store
            .iter()
            .filter(|(_, entry)| entry.is_tombstone())
            .map(|(id, entry)| (entry.changed_at, id.clone()))
            .collect();
        tombstones.sort();
        let surplus = tombstones.len().saturating_sub(self.settings.max_tombstones);
        for (index, (ended_at, id)) in tombstones.into_iter().enumerate() {
            if index < surplus || now.saturating_sub(ended_at) > self.settings.tombstone {
                self.store.remove(&id);
            }
        }
    }
}
