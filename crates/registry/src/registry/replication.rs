//! The exchange of records with peers, and their distribution to subscribers.

use super::Registry;
use crate::announcement::{Announcement, Digest};
use crate::changes::{Changes, Cursor};
use crate::digest;
use crate::record::{BackendRecord, Presence};
use crate::Now;

/// A heartbeat received within this many heartbeat intervals refutes a peer's update that the backend is
/// silent or displaced.
const REFUTING_HEARTBEAT_INTERVALS: f64 = 1.25;

impl Registry {
    /// The current record of `id` as an announcement, to be sent to the peers again. A repeated draining or
    /// sign-off changes nothing here, but the first announcement of it may have been lost.
    pub fn announcement_of(&self, now: Now, id: &str) -> Option<Announcement> {
        let record = self.store.get(id)?.record.to_wire(now);
        Some(Announcement::of_backends(self.local_process, vec![record]))
    }

    /// Merges a peer's announcement. Returns corrections, to be sent to all peers.
    pub fn merge(&mut self, now: Now, announcement: &Announcement) -> Option<Announcement> {
        self.record_call(now);
        let mut corrections = Vec::new();
        for update in &announcement.backends {
            self.merge_record(now, update);
            corrections.extend(self.correction(now, &update.id));
        }
        self.publish(now, corrections).announcement
    }

    /// The records that changed since a subscriber's cursor. All records, if it has no cursor, one of another
    /// incarnation, or one older than a tombstone that was removed.
    pub fn changes_since(&self, now: Now, cursor: Option<Cursor>) -> Changes {
        let number = cursor
            .filter(|cursor| cursor.incarnation == self.local_process)
            .filter(|cursor| self.store.covers_changes_since(cursor.number))
            .map(|cursor| cursor.number);
        let entries = self.store.changed_since(number.unwrap_or(0));
        Changes {
            cursor: Cursor { incarnation: self.local_process, number: self.store.newest_change() },
            full: number.is_none(),
            states_absence: self.states_absence(now),
            records: entries.map(|entry| entry.subscriber_view(now)).collect(),
        }
    }

    /// All records in batches, for a peer that has just connected.
    pub fn full_state(&self, now: Now) -> Vec<Announcement> {
        self.batches(self.store.changed_since(0).map(|entry| entry.record.to_wire(now)).collect())
    }

    /// Checksums of the records, by which a peer finds where it differs. To be sent to one peer in turn, about
    /// once a second.
    pub fn digest(&self) -> Digest {
        digest::digest_of(self.store.iter().map(|(_, entry)| entry).filter(|entry| !entry.is_tombstone()))
    }

    /// The records to send to a peer whose digest differs from this registry's.
    pub fn answer_digest(&self, now: Now, theirs: &Digest) -> Vec<Announcement> {
        let buckets = digest::differing_buckets(&self.digest(), theirs);
        if buckets.is_empty() {
            return Vec::new();
        }
        let differs = |record: &BackendRecord| buckets.contains(&digest::bucket_of(&record.id));
        let entries = self.store.changed_since(0).filter(|entry| differs(&entry.record));
        self.batches(entries.map(|entry| entry.record.to_wire(now)).collect())
    }

    fn batches(&self, records: Vec<BackendRecord>) -> Vec<Announcement> {
        let chunks = records.chunks(self.settings.max_batch);
        chunks.map(|chunk| Announcement::of_backends(self.local_process, chunk.to_vec())).collect()
    }

    /// Merges one record of a peer into the store.
    pub(super) fn merge_record(&mut self, now: Now, update: &BackendRecord) {
        if update.is_alive() && update.origin != self.local_process {
            self.peers.track(now, update.origin);
        }
        match self.store.get(&update.id) {
            Some(entry) => {
                let mut record = entry.record.clone();
                if record.merge(now, update) {
                    self.store.put(now, record);
                }
            }
            None if self.store.len() < self.settings.max_backends => {
                self.store.put(now, update.clone().received(now));
            }
            None => {}
        }
    }

    /// After a merge: the record that refutes it, if this process has had a newer heartbeat of the backend.
    fn correction(&mut self, now: Now, id: &str) -> Option<BackendRecord> {
        let heartbeat = *self.last_heartbeats.get(id)?;
        let record = &self.store.get(id)?.record;
        let confirmed = record.presence == Presence::Present && record.origin == self.local_process;
        if confirmed && !record.deleted {
            return None;
        }
        let max_age = self.settings.heartbeat.mul_f64(REFUTING_HEARTBEAT_INTERVALS);
        let recent = now.saturating_sub(heartbeat.received_at) <= max_age;
        if record.deleted || !recent || heartbeat.seq <= record.seq {
            self.last_heartbeats.remove(id);
            return None;
        }
        let mut record = record.clone();
        record.origin = self.local_process;
        record.set_presence(heartbeat.seq, Presence::Present);
        Some(record)
    }
}
