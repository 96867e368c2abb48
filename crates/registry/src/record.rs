//! What is known of one backend, and how two words about it are joined.
//!
//! The join is commutative, associative and idempotent: processes that have heard the same words in any
//! order, any number of times, hold the same record.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::heartbeat::{Heartbeat, HeartbeatState, LoadedModel};
use crate::{Now, ProcessId};

/// Where a backend stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BackendState {
    /// Takes requests.
    Ready,
    /// Has said that it will end: no new requests.
    Draining,
    /// Has not been heard for a while.
    Silent,
    /// Has ended, or another backend holds its address.
    Gone,
}

/// What was heard of a backend, whatever it said. A later variant supersedes an earlier one at one `seq`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) enum Presence {
    /// It was heard.
    Heard,
    /// It was not heard any more.
    Silent,
    /// Another backend was heard at its address, or it was silent for too long.
    Displaced,
}

/// What is known of one backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// The incarnation: new at each start of a backend.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it runs in.
    pub zone: String,
    /// The generation of its software.
    pub generation: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Where it stands.
    pub state: BackendState,
    /// Whether it ever said that it drains. Sticky, and kept while it is silent.
    pub draining: bool,
    /// Whether it has signed off. Sticky: an id does not come back.
    pub deleted: bool,
    /// Whether it was heard as of `seq`, whatever it said.
    pub(crate) presence: Presence,
    /// The `seq` of its heartbeat that this record tells of.
    pub seq: u64,
    /// The control-plane process that heard it.
    pub origin: ProcessId,
    /// How much longer it stays slow, in milliseconds, as of the moment that this was sent.
    pub cold_left_ms: u32,
    /// When it is warm, by the clock of the process that holds this record. Not sent.
    #[serde(skip)]
    pub warm_at: Now,
    /// Its stage, for engines that have one.
    pub stage: String,
    /// The models it has loaded.
    pub models: Vec<LoadedModel>,
}

impl BackendRecord {
    /// A backend that takes requests, as a test or a tool may state it.
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
            presence: Presence::Heard,
            seq: 0,
            origin: ProcessId(0),
            cold_left_ms: 0,
            warm_at: Now::ZERO,
            stage: String::new(),
            models: Vec::new(),
        }
    }

    /// The record that a heartbeat gives.
    pub(crate) fn heard(now: Now, origin: ProcessId, id: &str, heartbeat: Heartbeat) -> Self {
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
            presence: Presence::Heard,
            seq: heartbeat.seq,
            origin,
            cold_left_ms: heartbeat.cold_left_ms,
            warm_at: now + Duration::from_millis(heartbeat.cold_left_ms.into()),
            stage: heartbeat.stage,
            models: heartbeat.models,
        };
        record.settle_state();
        record
    }

    /// The record of a backend of which nothing is known but that it signed off.
    pub(crate) fn signed_off(origin: ProcessId, id: &str) -> Self {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut record = Self { origin, deleted: true, ..Self::ready(id, "", nowhere, "", 0) };
        record.settle_state();
        record
    }

    /// Whether new requests may be sent here: ready, or silent without ever having said that it drains.
    pub fn may_receive(&self) -> bool {
        matches!(self.state, BackendState::Ready | BackendState::Silent) && !self.draining
    }

    /// Whether the backend is believed to run.
    pub fn alive(&self) -> bool {
        matches!(self.state, BackendState::Ready | BackendState::Draining)
    }

    /// Joins another word about the same id into this one; whether anything changed.
    pub(crate) fn join(&mut self, now: Now, other: &Self) -> bool {
        let draining = self.draining || other.draining;
        let deleted = self.deleted || other.deleted;
        let newer = other.order() > self.order();
        if !newer && draining == self.draining && deleted == self.deleted {
            return false;
        }
        if newer {
            *self = other.clone().received(now);
        }
        self.draining = draining;
        self.deleted = deleted;
        self.settle_state();
        true
    }

    /// This record, come over the wire at `now`.
    pub(crate) fn received(mut self, now: Now) -> Self {
        self.warm_at = now + Duration::from_millis(self.cold_left_ms.into());
        self
    }

    /// Sets whether it was heard as of `seq`.
    pub(crate) fn set_presence(&mut self, seq: u64, presence: Presence) {
        self.seq = seq;
        self.presence = presence;
        self.settle_state();
    }

    /// Makes the state agree with the words that it follows from.
    pub(crate) fn settle_state(&mut self) {
        self.state = match self.presence {
            _ if self.deleted => BackendState::Gone,
            Presence::Displaced => BackendState::Gone,
            Presence::Silent => BackendState::Silent,
            Presence::Heard if self.draining => BackendState::Draining,
            Presence::Heard => BackendState::Ready,
        };
    }

    /// A later word supersedes an earlier one; at one `seq`, the worse presence does.
    fn order(&self) -> (u64, Presence, ProcessId) {
        (self.seq, self.presence, self.origin)
    }

    /// Whether both tell the same of the backend, whenever and by whomever it was heard.
    pub(crate) fn same_content(&self, other: &Self) -> bool {
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
    pub(crate) fn for_wire(&self, now: Now) -> Self {
        let cold_left = self.warm_at.saturating_sub(now).as_millis();
        Self { cold_left_ms: u32::try_from(cold_left).unwrap_or(u32::MAX), ..self.clone() }
    }
}
