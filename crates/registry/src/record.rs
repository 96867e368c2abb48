//! The record of one backend, and the merge of two records of the same backend.
//!
//! The merge is commutative, associative and idempotent: processes that have received the same updates, in
//! any order and any number of times, have the same record.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::departure::{BackendDeparture, DepartureKind};
use crate::heartbeat::{Heartbeat, HeartbeatState, LoadedModel};
use crate::{Now, ProcessId};

/// The state of a backend, derived from the other fields of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BackendState {
    /// Takes requests.
    Ready,
    /// Shuts down gracefully: takes no new requests.
    Draining,
    /// Has sent no heartbeat for longer than the timeout.
    Silent,
    /// Has ended, or another backend uses its address.
    Gone,
}

/// Whether a backend's heartbeats arrive. Of one `seq`, a later variant supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) enum Presence {
    /// Its heartbeats arrive.
    #[serde(rename = "Heard")]
    Present,
    /// Its heartbeats have stopped.
    Silent,
    /// Another backend uses its address, or it was silent for too long.
    Displaced,
}

/// The record of one backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// The incarnation: new at each start of a backend.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address that it accepts connections on.
    pub address: SocketAddr,
    /// The zone it runs in.
    pub zone: String,
    /// The generation of its software.
    pub generation: String,
    /// The number of requests that it works on at once.
    pub slots: u32,
    /// Its state.
    pub state: BackendState,
    /// Whether it has ever said that it drains. Never reset, not even while it is silent.
    pub draining: bool,
    /// Whether it has signed off. Never reset: an id is not used again.
    pub deleted: bool,
    /// Whether its heartbeats arrive, as of `seq`.
    pub(crate) presence: Presence,
    /// The `seq` of the newest heartbeat that this record is based on.
    pub seq: u64,
    /// The control-plane process that received this heartbeat.
    pub origin: ProcessId,
    /// How much longer its warm-up lasts, in milliseconds, from the time at which this was sent.
    pub cold_left_ms: u32,
    /// When its warm-up ends, by the clock of the process that has this record. Not sent.
    #[serde(skip)]
    pub warm_at: Now,
    /// Its stage, if its engine has stages.
    pub stage: String,
    /// The models that it has loaded.
    pub models: Vec<LoadedModel>,
}

impl BackendRecord {
    /// A record of a ready backend, for tests and tools.
    pub fn ready(id: &str, service: &str, address: SocketAddr, zone: &str, slots: u32) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            generation: String::new(),
            slots,
            state: BackendState::Ready,
            draining: false,
            deleted: false,
            presence: Presence::Present,
            seq: 0,
            origin: ProcessId(0),
            cold_left_ms: 0,
            warm_at: Now::ZERO,
            stage: String::new(),
            models: Vec::new(),
        }
    }

    /// The record of a backend whose heartbeat `origin` has received at `now`.
    pub(crate) fn from_heartbeat(now: Now, origin: ProcessId, id: &str, heartbeat: Heartbeat) -> Self {
        let mut record = Self {
            id: id.to_owned(),
            service: heartbeat.service,
            address: heartbeat.address,
            zone: heartbeat.zone,
            generation: heartbeat.generation,
            slots: heartbeat.slots,
            state: BackendState::Ready,
            draining: heartbeat.state == HeartbeatState::Draining,
            deleted: false,
            presence: Presence::Present,
            seq: heartbeat.seq,
            origin,
            cold_left_ms: heartbeat.cold_left_ms,
            warm_at: now + Duration::from_millis(heartbeat.cold_left_ms.into()),
            stage: heartbeat.stage,
            models: heartbeat.models,
        };
        record.update_state();
        record
    }

    /// The record of a backend of which only its departure is known: a tombstone, until a heartbeat tells more of it.
    pub(crate) fn departed(origin: ProcessId, departure: &BackendDeparture) -> Self {
        let unknown_address = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut record = Self::ready(&departure.id, "", unknown_address, "", 0);
        record.origin = origin;
        record.draining = departure.kind == DepartureKind::Draining;
        record.deleted = departure.kind == DepartureKind::SignedOff;
        record.set_presence(0, Presence::Displaced);
        record
    }

    /// How far the backend has departed; `None` if it has not.
    pub fn departure(&self) -> Option<DepartureKind> {
        match (self.deleted, self.draining) {
            (true, _) => Some(DepartureKind::SignedOff),
            (false, true) => Some(DepartureKind::Draining),
            (false, false) => None,
        }
    }

    /// Whether new requests may be sent to it: it is ready, or silent and has never said that it drains.
    pub fn may_receive(&self) -> bool {
        matches!(self.state, BackendState::Ready | BackendState::Silent) && !self.draining
    }

    /// Whether the backend is believed to run: it is ready or draining.
    pub fn is_alive(&self) -> bool {
        matches!(self.state, BackendState::Ready | BackendState::Draining)
    }

    /// Merges another record of the same id into this one; returns whether anything changed.
    pub(crate) fn merge(&mut self, now: Now, other: &Self) -> bool {
        let draining = self.draining || other.draining;
        let deleted = self.deleted || other.deleted;
        let newer = other.precedence() > self.precedence();
        if !newer && draining == self.draining && deleted == self.deleted {
            return false;
        }
        if newer {
            *self = other.clone().received(now);
        }
        self.draining = draining;
        self.deleted = deleted;
        self.update_state();
        true
    }

    /// This record as received at `now`: the rest of the warm-up becomes a time of the local clock.
    pub(crate) fn received(mut self, now: Now) -> Self {
        self.warm_at = now + Duration::from_millis(self.cold_left_ms.into());
        self
    }

    /// Sets whether its heartbeats arrive, as of `seq`.
    pub(crate) fn set_presence(&mut self, seq: u64, presence: Presence) {
        self.seq = seq;
        self.presence = presence;
        self.update_state();
    }

    /// Derives the state from the fields that decide it.
    pub(crate) fn update_state(&mut self) {
        self.state = match self.presence {
            _ if self.deleted => BackendState::Gone,
            Presence::Displaced => BackendState::Gone,
            Presence::Silent => BackendState::Silent,
            Presence::Present if self.draining => BackendState::Draining,
            Presence::Present => BackendState::Ready,
        };
    }

    /// The order in which records supersede each other: the newer heartbeat does; of one heartbeat, the worse
    /// presence.
    fn precedence(&self) -> (u64, Presence, ProcessId) {
        (self.seq, self.presence, self.origin)
    }

    /// Whether both describe the backend alike. Ignores which heartbeat they are based on, and its receiver.
    pub(crate) fn has_same_content(&self, other: &Self) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.generation == other.generation
            && self.slots == other.slots
            && self.state == other.state
            && self.stage == other.stage
            && self.models == other.models
    }

    /// The record as it is sent at `now`.
    pub(crate) fn to_wire(&self, now: Now) -> Self {
        let warm_up_left = self.warm_at.saturating_sub(now).as_millis();
        Self { cold_left_ms: u32::try_from(warm_up_left).unwrap_or(u32::MAX), ..self.clone() }
    }
}
