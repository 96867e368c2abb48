//! The attempts in flight, indexed by ticket.

use crate::backend::Backend;
use crate::fit::CostModel;
use crate::interface::{BackendKey, DispatchRequest, Ticket, Timestamp};
use crate::service::Service;
use crate::weights::Weights;

/// The share of an engine's KV cache that is assumed to hold this gateway's prompt parts.
const KV_CACHE_SHARE: f64 = 0.8;
/// The assumed KV cache capacity in tokens if none is configured.
const DEFAULT_KV_TOKENS: u64 = 200_000;
/// Bounds of the latency ratio learned from a single response.
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.1, 20.0);

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub serial: u32,
    pub backend: BackendKey,
    pub service: u32,
    pub began: Timestamp,
    /// The load units that the attempt adds to its backend.
    pub units: f64,
    /// The estimated number of prompt tokens that need prefill.
    pub prefill_tokens: f64,
    /// The estimated time to the first event on an unloaded backend and at the load found there, in ms.
    pub unloaded_ms: f64,
    pub expected_ms: f64,
    /// The estimated time to the complete answer, in ms.
    pub expected_answer_ms: f64,
    /// The declared response tokens.
    pub response_tokens: u32,
    /// Whether no other attempt of this gateway was waiting for its first event there.
    pub only_pending: bool,
    /// When the first event arrived.
    pub first_event_at: Option<Timestamp>,
    /// Whether the latency of the first event has been recorded.
    pub latency_recorded: bool,
    /// Whether this is a trial of an ejected backend.
    pub trial: bool,
    pub priority: u8,
}

impl Attempt {
    pub fn new(serial: u32, backend: BackendKey, service: u32, began: Timestamp) -> Attempt {
        Attempt {
            serial,
            backend,
            service,
            began,
            units: 0.0,
            prefill_tokens: 0.0,
            unloaded_ms: 0.0,
            expected_ms: 0.0,
            expected_answer_ms: 0.0,
            response_tokens: 0,
            only_pending: false,
            first_event_at: None,
            latency_recorded: false,
            trial: false,
            priority: 0,
        }
    }

    /// Starts the attempt: adds it to the backend and, if it is the first of its request, to the service statistics.
    pub fn start(
        &mut self,
        service: &mut Service,
        backend: &mut Backend,
        request: &DispatchRequest,
        prefix_used: bool,
        weights: &Weights,
    ) {
        let kind = service.kind(request);
        let estimate =
            CostModel::new(self.began, request, service, weights, prefix_used).estimate(backend, 0.0);
        let prefill_ms = service.latency_model.prefill_ms(estimate.prefill_tokens);
        (self.units, self.prefill_tokens) = (kind.load_units(), estimate.prefill_tokens);
        (self.unloaded_ms, self.expected_ms) = (estimate.unloaded_ms, estimate.first_event_ms);
        (self.expected_answer_ms, self.response_tokens) = (estimate.answer_ms, request.response_tokens);
        self.only_pending = backend.pending_count() == 0;
        self.trial = backend.health.begin();
        self.priority = request.priority;
        backend.begin(self.began, self.serial, self.priority, prefill_ms, estimate.first_event_ms);
        backend.units += self.units;
        service.record_prefill(self.began, self.priority, prefill_ms);
        if let Some(engine) = service.view.engine {
            let kv_tokens = if engine.kv_tokens > 0 { engine.kv_tokens } else { DEFAULT_KV_TOKENS };
            backend.prefix_cache.record_prompt(
                self.began,
                request.parts,
                (kv_tokens as f64 * KV_CACHE_SHARE) as u64,
            );
        }
        if request.tried.is_empty() {
            service.observe(self.began, request, kind, prefill_ms);
        }
    }

    /// Records the latency of the first event for the backend and the service, once. Called only when the response is
    /// known not to be a refusal.
    pub fn record_latency(&mut self, service: &mut Service, backend: &mut Backend, weights: &Weights) {
        let Some(now) = self.first_event_at.filter(|_| !self.latency_recorded) else { return };
        self.latency_recorded = true;
        let elapsed_ms = self.elapsed_ms(now).max(0.1);
        service.record_first_event_error(now, self.priority, elapsed_ms - self.expected_ms);
        let latency_ratio = elapsed_ms / self.expected_ms.max(0.1);
        if !service.is_engine() {
            service.latency_model.observe_response(elapsed_ms);
        }
        // The latency of an attempt queued behind others of this gateway includes theirs.
        if !self.only_pending {
            return;
        }
        if service.is_engine() {
            service.latency_model.observe_first_event(self.prefill_tokens, elapsed_ms);
        }
        let baseline_ms = service.baseline_wait_ms(now);
        let relative_ratio = (latency_ratio / service.baseline_latency_ratio(now))
            .clamp(LATENCY_RATIO_BOUNDS.0, LATENCY_RATIO_BOUNDS.1);
        let excess_ms = elapsed_ms - self.unloaded_ms;
        backend.record_latency(now, excess_ms, baseline_ms, relative_ratio, weights.excess_latency_smoothing);
        service.record_latency(now, self.priority, excess_ms, latency_ratio);
    }
}

impl Attempt {
    fn elapsed_ms(&self, now: Timestamp) -> f64 {
        now.saturating_sub(self.began).as_secs_f64() * 1e3
    }

    /// Records the time to the complete answer.
    pub fn record_answer(&self, now: Timestamp, service: &mut Service) {
        service.record_attempt_time(self.elapsed_ms(now));
        let Some(first_event_at) = self.first_event_at else { return };
        service.record_answer_error(now, self.priority, self.elapsed_ms(now) - self.expected_answer_ms);
        if service.is_engine() {
            let streaming_ms = now.saturating_sub(first_event_at).as_secs_f64() * 1e3;
            service.latency_model.observe_stream(f64::from(self.response_tokens), streaming_ms);
        }
    }

    /// Records that the attempt was given up. If that was later than its answer had been expected, the estimate was too
    /// short. How long the answer would have taken is unknown, so twice the time is assumed, as for a lost
    /// packet (RFC 6298, 5.5).
    pub fn record_abandoned(&self, now: Timestamp, service: &mut Service) {
        let elapsed_ms = self.elapsed_ms(now);
        if self.first_event_at.is_none() && elapsed_ms > self.expected_ms {
            service.record_first_event_error(now, self.priority, 2.0 * elapsed_ms - self.expected_ms);
        }
        if elapsed_ms > self.expected_answer_ms {
            service.record_answer_error(now, self.priority, 2.0 * elapsed_ms - self.expected_answer_ms);
        }
    }
}

/// All attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    slots: Vec<Option<Attempt>>,
    free_indices: Vec<u32>,
    last_serial: u32,
}

impl Attempts {
    pub fn next_serial(&mut self) -> u32 {
        self.last_serial = self.last_serial.wrapping_add(1);
        self.last_serial
    }

    pub fn is_empty(&self) -> bool {
        self.slots.len() == self.free_indices.len()
    }

    pub fn insert(&mut self, attempt: Attempt) -> Ticket {
        let serial = attempt.serial;
        let index = self.free_indices.pop().unwrap_or(self.slots.len() as u32);
        match self.slots.get_mut(index as usize) {
            Some(slot) => *slot = Some(attempt),
            None => self.slots.push(Some(attempt)),
        }
        Ticket { index, serial }
    }

    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Attempt> {
        self.slots.get_mut(ticket.index as usize)?.as_mut().filter(|attempt| attempt.serial == ticket.serial)
    }

    pub fn remove(&mut self, ticket: Ticket) -> Option<Attempt> {
        let slot = self.slots.get_mut(ticket.index as usize)?;
        let attempt = slot.take_if(|attempt| attempt.serial == ticket.serial)?;
        self.free_indices.push(ticket.index);
        Some(attempt)
    }
}
