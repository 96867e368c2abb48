//! The sends that have not ended, found by their tickets.

use crate::backend::Backend;
use crate::fit::Fit;
use crate::interface::{BackendKey, DispatchRequest, Ticket, Timestamp};
use crate::service::Service;
use crate::weights::Weights;

/// Of an engine's memory, what this gateway's prompts are believed to be kept in.
const KEPT_SHARE: f64 = 0.8;
/// Tokens of memory where the configuration doesn't tell.
const USUAL_MEMORY: u64 = 200_000;
/// How far one answer may teach, in times what was expected.
const TIMES_BOUNDS: (f64, f64) = (0.1, 20.0);

/// A send that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Send {
    pub serial: u32,
    pub backend: BackendKey,
    pub service: u32,
    pub began: Timestamp,
    /// The units it adds to its backend's load.
    pub units: f64,
    /// Tokens of its prompt that are expected to be read.
    pub unread: f64,
    /// What it would take alone, and what was expected with what is there before it, in ms.
    pub alone_ms: f64,
    pub expected_ms: f64,
    /// Whether nothing else of this gateway's waited there.
    pub alone: bool,
    /// When its first event came, and whether that has taught anything yet.
    pub answered: Option<Timestamp>,
    pub taught: bool,
    pub trial: bool,
    pub priority: u8,
}

impl Send {
    pub fn new(serial: u32, backend: BackendKey, service: u32, began: Timestamp) -> Send {
        Send {
            serial,
            backend,
            service,
            began,
            units: 0.0,
            unread: 0.0,
            alone_ms: 0.0,
            expected_ms: 0.0,
            alone: false,
            answered: None,
            taught: false,
            trial: false,
            priority: 0,
        }
    }

    /// Goes out: counts at its backend, and at its service if it is a request's first.
    pub fn leave(
        &mut self,
        service: &mut Service,
        backend: &mut Backend,
        request: &DispatchRequest,
        last_used: Option<Timestamp>,
        weights: &Weights,
    ) {
        let kind = service.kind(request);
        let expected = Fit::new(self.began, request, service, weights, last_used).expected(backend, 0.0);
        let reading_ms = service.pace.reading_ms(expected.unread);
        (self.units, self.unread) = (kind.value(), expected.unread);
        (self.alone_ms, self.expected_ms) = (expected.alone_ms, expected.first_ms);
        self.alone = backend.waiting() == 0;
        self.trial = backend.health.begin();
        backend.begin(self.began, self.serial, reading_ms, expected.first_ms);
        self.priority = request.priority;
        backend.units += self.units;
        if let Some(engine) = service.view.engine {
            let memory = if engine.kv_tokens > 0 { engine.kv_tokens } else { USUAL_MEMORY };
            backend.kept.sent(self.began, request.parts, (memory as f64 * KEPT_SHARE) as u64);
        }
        if request.tried.is_empty() {
            service.see(self.began, request, kind, reading_ms);
        }
    }

    /// It was not a refusal that came: what its first event teaches of its service's and its backend's pace.
    pub fn teach(&mut self, service: &mut Service, backend: &mut Backend, weights: &Weights) {
        let Some(now) = self.answered.filter(|_| !self.taught) else { return };
        self.taught = true;
        let took_ms = (now.saturating_sub(self.began).as_secs_f64() * 1e3).max(0.1);
        let times = took_ms / self.expected_ms.max(0.1);
        if !service.is_engine() {
            service.pace.see_work(took_ms);
        }
        // What waited behind others of this gateway tells of them.
        if !self.alone {
            return;
        }
        if service.is_engine() {
            service.pace.see_first(self.unread, took_ms);
        }
        let usual_ms = service.usual_wait_ms(now);
        let against = (times / service.usual_times(now)).clamp(TIMES_BOUNDS.0, TIMES_BOUNDS.1);
        let late_ms = took_ms - self.alone_ms;
        backend.learn(now, late_ms, usual_ms, against, weights.late_share);
        service.learn(now, self.priority, late_ms, times);
    }
}

/// All sends that have not ended.
#[derive(Debug, Default)]
pub(crate) struct Sends {
    places: Vec<Option<Send>>,
    free: Vec<u32>,
    last_serial: u32,
}

impl Sends {
    pub fn next_serial(&mut self) -> u32 {
        self.last_serial = self.last_serial.wrapping_add(1);
        self.last_serial
    }

    pub fn is_empty(&self) -> bool {
        self.places.len() == self.free.len()
    }

    pub fn insert(&mut self, send: Send) -> Ticket {
        let serial = send.serial;
        let index = self.free.pop().unwrap_or(self.places.len() as u32);
        match self.places.get_mut(index as usize) {
            Some(place) => *place = Some(send),
            None => self.places.push(Some(send)),
        }
        Ticket { index, serial }
    }

    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Send> {
        self.places.get_mut(ticket.index as usize)?.as_mut().filter(|send| send.serial == ticket.serial)
    }

    pub fn remove(&mut self, ticket: Ticket) -> Option<Send> {
        let place = self.places.get_mut(ticket.index as usize)?;
        let send = place.take_if(|send| send.serial == ticket.serial)?;
        self.free.push(ticket.index);
        Some(send)
    }
}
