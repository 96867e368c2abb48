//! The cost model of best fit: estimates the time to the first event and the cost of sending a request to a backend.

use crate::backend::Backend;
use crate::interface::{DispatchRequest, PromptPart, Timestamp};
use crate::service::Service;
use crate::weights::Weights;

/// Estimated response size in bytes: per token, and for headers.
const RESPONSE_BYTES_PER_TOKEN: f64 = 9.0;
const HEADER_BYTES: f64 = 600.0;
/// The lower bound of an objective, in ms: configurations tell it in whole milliseconds.
const MIN_OBJECTIVE_MS: f64 = 1.0;
/// The cost of a nearly full backend and of one over capacity.
const OCCUPANCY_COST: f64 = 0.1;
const OVER_CAPACITY_COST: f64 = 2.0;
/// The share of an engine's KV cache that is considered usable, since its use is only estimated.
const USABLE_MEMORY_SHARE: f64 = 0.9;

/// Estimates the cost of sending one request to a backend.
pub(crate) struct CostModel<'a> {
    pub now: Timestamp,
    pub request: &'a DispatchRequest<'a>,
    pub service: &'a Service,
    weights: &'a Weights,
    /// The number of tokens in the shared prefix.
    shared_tokens: f64,
    /// The probability that the shared prefix was used before, by this gateway or another.
    reuse_probability: f64,
}

/// The estimate for a request at one backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// The number of prompt tokens that need prefill.
    pub prefill_tokens: f64,
    /// The time to the first event on an unloaded backend and at the current load, in ms.
    pub unloaded_ms: f64,
    pub first_event_ms: f64,
    /// The time to the complete answer at the current load, in ms.
    pub answer_ms: f64,
    /// The cost, in objectives of delay.
    pub cost: f64,
}

impl Estimate {
    /// The estimated wait for earlier requests.
    pub fn wait_ms(&self) -> f64 {
        self.first_event_ms - self.unloaded_ms
    }
}

/// The prompt parts that other requests may share: all but the last, unless there is only one.
pub(crate) fn shared_prefix<'a>(request: &DispatchRequest<'a>) -> &'a [PromptPart] {
    match request.parts {
        [] => &[],
        [_] => request.parts,
        [prefix @ .., _] => prefix,
    }
}

impl<'a> CostModel<'a> {
    pub fn new(
        now: Timestamp,
        request: &'a DispatchRequest<'a>,
        service: &'a Service,
        weights: &'a Weights,
        prefix_used: bool,
    ) -> CostModel<'a> {
        let shared_tokens = shared_prefix(request).iter().map(|part| f64::from(part.tokens)).sum();
        let reuse_probability = if prefix_used { 1.0 } else { weights.remote_use_probability };
        CostModel { now, request, service, weights, shared_tokens, reuse_probability }
    }

    /// The cost of a first event after this time: its ratio to the objective, raised to a power.
    fn latency_cost(&self, first_event_ms: f64) -> f64 {
        let objective_ms = self.request.route.slo.as_secs_f64() * 1e3;
        (first_event_ms / objective_ms.max(MIN_OBJECTIVE_MS)).powf(self.weights.latency_cost_exponent)
    }

    /// The cost of the request and response bytes that cross a zone boundary.
    fn cross_zone_cost(&self, backend: &Backend) -> f64 {
        let response = f64::from(self.request.response_tokens) * RESPONSE_BYTES_PER_TOKEN + HEADER_BYTES;
        let kb = (f64::from(self.request.request_bytes) + response) / 1e3;
        if backend.same_zone {
            0.0
        } else {
            kb * self.weights.cross_zone_cost_per_kb
        }
    }

    /// Estimates the request at a backend. `cache_probability` is the probability that shared parts not known to be
    /// cached there are cached nevertheless.
    pub fn estimate(&self, backend: &Backend, cache_probability: f64) -> Estimate {
        let slowness = backend.slowness(self.now);
        if !self.service.is_engine() {
            return self.estimate_without_prefill(backend, slowness);
        }
        let cached_tokens = f64::from(backend.prefix_cache.cached_tokens(self.now, self.request.parts));
        let uncached_tokens = (self.shared_tokens - cached_tokens).max(0.0);
        let likely_cached_tokens = uncached_tokens * cache_probability;
        let prompt = f64::from(self.request.prompt_tokens).max(self.shared_tokens);
        let prefill_tokens = (prompt - cached_tokens - likely_cached_tokens).max(0.0);
        let baseline_ms = self.service.baseline_wait_ms(self.now);
        let unloaded_ms = self.service.latency_model.first_event_ms(prefill_tokens) * slowness;
        let priority = self.request.priority;
        let priority_ratio = self.service.priority_wait_ratio(self.now, priority);
        let wait_ms = backend.wait_ms(self.now, priority, priority_ratio, baseline_ms, self.weights);
        let first_event_ms = unloaded_ms + wait_ms;
        let response_tokens = f64::from(self.request.response_tokens);
        let answer_ms = first_event_ms + self.service.latency_model.streaming_ms(response_tokens) * slowness;
        let reprefill_cost = (uncached_tokens - likely_cached_tokens) / 1e3
            * self.weights.reprefill_cost_per_k_tokens
            * self.reuse_probability;
        let cost = self.latency_cost(first_event_ms)
            + self.cross_zone_cost(backend)
            + reprefill_cost
            + self.occupancy_cost(backend)
            + self.stall_cost(backend, prefill_tokens);
        Estimate { prefill_tokens, unloaded_ms, first_event_ms, answer_ms, cost }
    }

    /// The times to the first event and to the complete answer at an unloaded backend that has cached nothing, in ms.
    pub fn unloaded_ms(&self) -> (f64, f64) {
        let model = &self.service.latency_model;
        if !self.service.is_engine() {
            return (model.response_ms(), model.response_ms());
        }
        let first_event_ms = model.first_event_ms(f64::from(self.request.prompt_tokens));
        (first_event_ms, first_event_ms + model.streaming_ms(f64::from(self.request.response_tokens)))
    }

    /// The cost to running streams: a long prefill delays their events.
    fn stall_cost(&self, backend: &Backend, prefill_tokens: f64) -> f64 {
        let prefill_ms = self.service.latency_model.prefill_ms(prefill_tokens) * backend.slowness(self.now);
        let blocked_ms = prefill_ms + backend.own_prefill_wait_ms(self.now);
        let share = (blocked_ms / self.weights.stall_prefill_ms - 0.5).clamp(0.0, 1.0);
        share
            * (prefill_ms / blocked_ms.max(1.0))
            * backend.active_streams(self.now)
            * self.weights.stall_cost_per_stream
    }

    /// Estimates a request to a service that is not an inference engine and has no prefill.
    fn estimate_without_prefill(&self, backend: &Backend, slowness: f64) -> Estimate {
        let slots = f64::from(backend.view.slots.max(1));
        let queued_per_slot = (backend.requests(self.now) + 1.0 - slots).max(0.0) / slots;
        let unloaded_ms = self.service.latency_model.response_ms() * slowness;
        let wait_ms = (unloaded_ms * queued_per_slot)
            .max(backend.silence_ms(self.now) * self.weights.silence_wait_factor);
        let first_event_ms = unloaded_ms + wait_ms;
        let cost =
            self.latency_cost(first_event_ms) + self.cross_zone_cost(backend) + self.occupancy_cost(backend);
        Estimate { prefill_tokens: 0.0, unloaded_ms, first_event_ms, answer_ms: first_event_ms, cost }
    }

    /// The cost of the occupied slots or memory, whichever share is higher. It stays small at low occupancy; over
    /// capacity a request has to wait for others to complete.
    fn occupancy_cost(&self, backend: &Backend) -> f64 {
        let requests = backend.requests(self.now);
        let slots = f64::from(backend.view.slots.max(1));
        let memory =
            self.service.view.engine.map_or(0.0, |engine| engine.kv_tokens as f64) * USABLE_MEMORY_SHARE;
        let request_tokens = f64::from(self.request.prompt_tokens) + f64::from(self.request.response_tokens);
        let tokens = requests * self.service.mean_tokens + request_tokens;
        let memory_occupancy = if memory > 0.0 && requests >= 1.0 { tokens / memory } else { 0.0 };
        let occupancy = memory_occupancy.max(requests / slots);
        if occupancy >= 1.0 {
            OVER_CAPACITY_COST * occupancy
        } else {
            OCCUPANCY_COST * occupancy.powi(4)
        }
    }
}
