//! The registry of a control-plane process.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::announcement::Announcement;
use crate::changes::{Changes, Cursor};
use crate::digest;
use crate::heartbeat::{check_id, Heartbeat, HeartbeatError};
use crate::peers::Peers;
use crate::record::{BackendRecord, BackendState, Presence};
use crate::settings::RegistrySettings;
use crate::store::RecordStore;
use crate::{Digest, Now, ProcessId};

/// What came of a heartbeat or a sign-off.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Heard {
    /// Whether anything changed for subscribers.
    pub changed: bool,
    /// What the peers are to be told. Before a draining or a sign-off is acknowledged, the peers within
    /// reach must have it.
    pub announcement: Option<Announcement>,
}

/// When a backend was last heard here.
#[derive(Clone, Copy, Debug)]
struct Watch {
    seq: u64,
    heard_at: Now,
}

/// All backends as one control-plane process knows them.
#[derive(Clone, Debug)]
pub struct Registry {
    me: ProcessId,
    settings: RegistrySettings,
    store: RecordStore,
    /// The backends whose heartbeats come here.
    watches: BTreeMap<Arc<str>, Watch>,
    peers: Peers,
    last_call: Now,
    /// Until then nothing is said about absence.
    doubt_until: Now,
    isolated: bool,
}

impl Registry {
    /// A registry that knows nothing, begun at `now` in the process `me`.
    pub fn new(now: Now, me: ProcessId, settings: RegistrySettings) -> Self {
        let doubt_until = now + settings.grace;
        Self {
            me,
            store: RecordStore::default(),
            watches: BTreeMap::new(),
            peers: Peers::new(settings.peer_death),
            last_call: now,
            doubt_until,
            isolated: false,
            settings,
        }
    }

    /// The process that this registry lives in.
    pub fn process(&self) -> ProcessId {
        self.me
    }

    /// The number of backends known, ended ones included.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether no backend is known.
    pub fn is_empty(&self) -> bool {
        self.store.len() == 0
    }

    /// What is known of `id`.
    pub fn record(&self, id: &str) -> Option<&BackendRecord> {
        self.store.get(id).map(|entry| &entry.record)
    }

    /// Whether this process has been up, undisturbed and connected, for long enough to speak about absence.
    pub fn settled(&self, now: Now) -> bool {
        !self.isolated && now >= self.doubt_until
    }

    /// Says whether this process reaches the majority of the control plane.
    pub fn set_isolated(&mut self, now: Now, isolated: bool) {
        self.observe(now);
        if self.isolated && !isolated {
            self.doubt(now);
        }
        self.isolated = isolated;
    }

    /// A peer is connected. It is to be told the whole state.
    pub fn peer_up(&mut self, now: Now, peer: ProcessId) {
        self.observe(now);
        if peer == self.me {
            return;
        }
        self.peers.up(peer);
        self.store.clear_orphans_of(now, peer);
    }

    /// The connection to a peer is gone.
    pub fn peer_down(&mut self, now: Now, peer: ProcessId) {
        self.observe(now);
        self.peers.down(now, peer);
    }

    /// A backend's heartbeat.
    pub fn heartbeat(&mut self, now: Now, id: &str, heartbeat: Heartbeat) -> Result<Heard, HeartbeatError> {
        self.observe(now);
        heartbeat.check(id)?;
        let known = self.store.get(id).map(|entry| entry.record.clone());
        if known.is_none() && self.store.len() >= self.settings.max_backends {
            return Err(HeartbeatError::Full);
        }
        if known.as_ref().is_some_and(|record| record.deleted || heartbeat.seq <= self.newest_seq(record)) {
            return Ok(Heard::default());
        }
        let mut record = BackendRecord::heard(now, self.me, id, heartbeat);
        record.draining |= known.as_ref().is_some_and(|known| known.draining);
        record.settle_state();
        self.watch(now, id, record.seq);
        match known {
            Some(known) if known.origin == self.me && known.same_content(&record) => Ok(Heard::default()),
            Some(_) => Ok(self.changed(now, vec![record])),
            None => {
                let mut records = self.displaced_by(&record);
                records.push(record);
                Ok(self.changed(now, records))
            }
        }
    }

    /// A backend signs off.
    pub fn leave(&mut self, now: Now, id: &str) -> Result<Heard, HeartbeatError> {
        self.observe(now);
        check_id(id)?;
        self.watches.remove(id);
        let mut record = match self.store.get(id) {
            Some(entry) if entry.record.deleted => return Ok(Heard::default()),
            Some(entry) => entry.record.clone(),
            None if self.store.len() >= self.settings.max_backends => return Err(HeartbeatError::Full),
            None => BackendRecord::signed_off(self.me, id),
        };
        record.deleted = true;
        record.settle_state();
        Ok(self.changed(now, vec![record]))
    }

    /// What is known of `id`, to be told to the peers again: that a backend ends may be known here while the peers
    /// never heard of it.
    pub fn announcement_of(&self, now: Now, id: &str) -> Option<Announcement> {
        let word = self.store.get(id)?.record.for_wire(now);
        Some(Announcement::of_backends(self.me, vec![word]))
    }

    /// Joins what a peer announced. What is returned is to be told to all peers: words that correct it.
    pub fn merge(&mut self, now: Now, announcement: &Announcement) -> Option<Announcement> {
        self.observe(now);
        let mut corrections = Vec::new();
        for word in &announcement.backends {
            self.join(now, word);
            corrections.extend(self.correction(now, &word.id));
        }
        self.changed(now, corrections).announcement
    }

    /// To be called each 250 ms or so: finds who has fallen silent. What is returned is to be told to all peers.
    pub fn tick(&mut self, now: Now) -> Option<Announcement> {
        self.observe(now);
        self.find_orphans(now);
        self.forget_old(now);
        let silent = self.fallen_silent(now);
        self.changed(now, silent).announcement
    }

    /// What changed since a subscriber's cursor; everything when it has none, or one of another incarnation.
    pub fn changes_since(&self, now: Now, cursor: Option<Cursor>) -> Changes {
        let number = cursor
            .filter(|cursor| cursor.incarnation == self.me && self.store.reaches_back_to(cursor.number))
            .map(|cursor| cursor.number);
        let records = self.store.since(number.unwrap_or(0)).map(|entry| entry.presented(now)).collect();
        Changes {
            cursor: Cursor { incarnation: self.me, number: self.store.newest() },
            whole: number.is_none(),
            settled: self.settled(now),
            records,
        }
    }

    /// The whole state in batches, for a peer that has just connected.
    pub fn whole(&self, now: Now) -> Vec<Announcement> {
        self.batches(self.store.since(0).map(|entry| entry.record.for_wire(now)).collect())
    }

    /// Sums by which a peer finds where it differs. To be sent to one peer in turn each second or so.
    pub fn digest(&self) -> Digest {
        digest::of(self.store.iter().map(|(_, entry)| entry).filter(|entry| !entry.ended()))
    }

    /// What a peer is to be told whose digest differs from this one's.
    pub fn answer_digest(&self, now: Now, theirs: &Digest) -> Vec<Announcement> {
        let buckets = digest::differing(&self.digest(), theirs);
        if buckets.is_empty() {
            return Vec::new();
        }
        let differs = |record: &BackendRecord| buckets.contains(&digest::bucket_of(&record.id));
        let entries = self.store.since(0).filter(|entry| differs(&entry.record));
        self.batches(entries.map(|entry| entry.record.for_wire(now)).collect())
    }

    fn batches(&self, records: Vec<BackendRecord>) -> Vec<Announcement> {
        let chunks = records.chunks(self.settings.max_batch);
        chunks.map(|chunk| Announcement::of_backends(self.me, chunk.to_vec())).collect()
    }

    /// Stores records that changed here, and says what the peers are to be told.
    fn changed(&mut self, now: Now, records: Vec<BackendRecord>) -> Heard {
        if records.is_empty() {
            return Heard::default();
        }
        let words = records.iter().map(|record| record.for_wire(now)).collect();
        for record in records {
            self.store.put(now, record);
        }
        Heard { changed: true, announcement: Some(Announcement::of_backends(self.me, words)) }
    }

    /// Notes that a backend was heard here.
    fn watch(&mut self, now: Now, id: &str, seq: u64) {
        let watch = Watch { seq, heard_at: now };
        match self.watches.get_mut(id) {
            Some(held) => *held = watch,
            None => {
                self.watches.insert(Arc::from(id), watch);
            }
        }
    }

    /// The newest `seq` that this process knows of.
    fn newest_seq(&self, record: &BackendRecord) -> u64 {
        let watched = self.watches.get(record.id.as_str()).map_or(0, |watch| watch.seq);
        watched.max(record.seq)
    }

    /// The older backends at the address of one that is new, as gone.
    fn displaced_by(&mut self, new: &BackendRecord) -> Vec<BackendRecord> {
        let holders = self.store.iter().map(|(_, entry)| &entry.record);
        let displaced: Vec<BackendRecord> = holders
            .filter(|record| record.address == new.address && record.state != BackendState::Gone)
            .cloned()
            .collect();
        displaced.into_iter().map(|record| self.displace(record)).collect()
    }

    fn displace(&mut self, mut record: BackendRecord) -> BackendRecord {
        let seq = self.newest_seq(&record);
        record.set_presence(seq, Presence::Displaced);
        self.watches.remove(record.id.as_str());
        record
    }

    /// Joins one word of a peer into the store.
    fn join(&mut self, now: Now, word: &BackendRecord) {
        if word.alive() && word.origin != self.me {
            self.peers.named(now, word.origin);
        }
        match self.store.get(&word.id) {
            Some(entry) => {
                let mut record = entry.record.clone();
                if record.join(now, word) {
                    self.store.put(now, record);
                }
            }
            None if self.store.len() < self.settings.max_backends => {
                self.store.put(now, word.clone().received(now));
            }
            None => {}
        }
    }

    /// After a join: what to say about a backend that this process has heard since.
    fn correction(&mut self, now: Now, id: &str) -> Option<BackendRecord> {
        let watch = *self.watches.get(id)?;
        let record = &self.store.get(id)?.record;
        let confirmed = record.presence == Presence::Heard && record.origin == self.me;
        if confirmed && !record.deleted {
            return None;
        }
        let fresh = now.saturating_sub(watch.heard_at) <= self.settings.heartbeat.mul_f64(FRESH_HEARTBEATS);
        let heard_since = watch.seq > record.seq && fresh && !record.deleted;
        if !heard_since {
            self.watches.remove(id);
            return None;
        }
        let mut record = record.clone();
        record.origin = self.me;
        record.set_presence(watch.seq, Presence::Heard);
        Some(record)
    }

    /// The backends watched here that were not heard for too long, as silent.
    fn fallen_silent(&mut self, now: Now) -> Vec<BackendRecord> {
        let overdue = |watch: &Watch| now.saturating_sub(watch.heard_at) > self.settings.silence;
        let fallen: Vec<(Arc<str>, u64)> = self
            .watches
            .iter()
            .filter(|(_, watch)| overdue(watch))
            .map(|(id, watch)| (id.clone(), watch.seq))
            .collect();
        let mut silent = Vec::new();
        for (id, seq) in fallen {
            self.watches.remove(&id);
            if let Some(entry) = self.store.get(&id) {
                let mut record = entry.record.clone();
                record.set_presence(seq.max(record.seq), Presence::Silent);
                silent.push(record);
            }
        }
        silent
    }

    /// Finds the backends whose origin has been out of reach for too long. Told to subscribers alone: each
    /// process judges for itself which peers it reaches.
    fn find_orphans(&mut self, now: Now) {
        if self.isolated {
            return;
        }
        let dead = self.peers.take_dead(now);
        if dead.is_empty() {
            return;
        }
        let orphans: Vec<Arc<str>> = self
            .store
            .iter()
            .filter(|(_, entry)| entry.record.alive() && dead.contains(&entry.record.origin))
            .map(|(id, _)| id.clone())
            .collect();
        for id in orphans {
            self.store.set_orphaned(now, &id, true);
        }
    }

    /// Forgets tombstones, and lets what was silent for too long go.
    fn forget_old(&mut self, now: Now) {
        let old = |changed_at: Now, memory: Now| now.saturating_sub(changed_at) > memory;
        let mut ended: Vec<(Now, Arc<str>)> = Vec::new();
        let mut lost = Vec::new();
        for (id, entry) in self.store.iter() {
            let silent = entry.orphaned || entry.record.state == BackendState::Silent;
            if entry.ended() {
                ended.push((entry.changed_at, id.clone()));
            } else if silent && old(entry.changed_at, self.settings.silent_memory) {
                lost.push(entry.record.clone());
            }
        }
        for mut record in lost {
            record.set_presence(record.seq, Presence::Displaced);
            self.store.put(now, record);
        }
        ended.sort();
        let surplus = ended.len().saturating_sub(self.settings.max_tombstones);
        for (position, (changed_at, id)) in ended.into_iter().enumerate() {
            if position < surplus || old(changed_at, self.settings.tombstone) {
                self.store.forget(&id);
            }
        }
    }

    /// Notes the time of a call. A long pause may mean that this process was frozen: it then doubts first.
    fn observe(&mut self, now: Now) {
        let pause = now.saturating_sub(self.last_call);
        self.last_call = self.last_call.max(now);
        if pause > self.settings.freeze {
            self.doubt(now);
            self.peers.excuse(pause);
            for watch in self.watches.values_mut() {
                watch.heard_at += pause;
            }
        }
    }

    fn doubt(&mut self, now: Now) {
        self.doubt_until = self.doubt_until.max(now + self.settings.grace);
    }
}

/// A backend heard within this many heartbeats contradicts a peer's word that it is silent or displaced.
const FRESH_HEARTBEATS: f64 = 1.25;
