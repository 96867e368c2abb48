//! Per-service state: groups, request statistics and latency baselines.

use crate::fit::shared_prefix;
use crate::groups::Groups;
use crate::interface::{DispatchRequest, ExpectedTime, ServiceView, Timestamp};
use crate::kinds::{size, Bands, Kind};
use crate::latency::{DecayingMean, DecayingRate, EstimateError, LatencyModel};

use std::time::Duration;

/// The number of distinct priorities; lower priorities share the last one.
const PRIORITY_LEVELS: usize = 10;
/// Bounds of the wait of one priority relative to the mean.
const PRIORITY_WAIT_BOUNDS: (f64, f64) = (0.1, 3.0);
/// Added to both waits before they are compared, so that waits near zero give no extreme ratio.
const PRIORITY_WAIT_OFFSET_MS: f64 = 5.0;
const BASELINE_DECAY_MS: f64 = 5000.0;
const BASELINE_SMOOTHING: f64 = 0.05;
/// The weight of one request in the running means.
const MEAN_SMOOTHING: f64 = 0.02;

/// The mean share of the shared prompt parts that is not cached and needs prefill.
const SHARED_PREFILL_SHARE: f64 = 0.3;

fn priority_level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}

/// The size of a request for bands and groups: the expected prefill tokens and the weighted response tokens.
fn load_size(request: &DispatchRequest) -> f64 {
    let shared: f64 = shared_prefix(request).iter().map(|part| f64::from(part.tokens)).sum();
    let prompt = (f64::from(request.prompt_tokens) - shared).max(0.0) + shared * SHARED_PREFILL_SHARE;
    size(prompt, f64::from(request.response_tokens))
}

/// A service with its groups and the baselines of its backends.
#[derive(Debug)]
pub(crate) struct Service {
    pub view: ServiceView,
    pub groups: Groups,
    /// A fingerprint of the member set that the groups were built from: the wrapping sum of the members' hashes.
    pub member_fingerprint: Option<u64>,
    pub bands: Bands,
    pub latency_model: LatencyModel,
    /// The mean wait caused by requests of other gateways, over all backends.
    baseline_wait_ms: DecayingMean,
    /// The same wait for each priority.
    priority_wait_ms: [DecayingMean; PRIORITY_LEVELS],
    /// The prefill time that this gateway sends to all backends, for each priority.
    prefill_rate: [DecayingRate; PRIORITY_LEVELS],
    /// The errors of the estimated times to the first event and to the complete answer, for each priority: a less urgent
    /// request is also overtaken by urgent ones that arrive later.
    first_event_error: [EstimateError; PRIORITY_LEVELS],
    answer_error: [EstimateError; PRIORITY_LEVELS],
    /// The logarithm of the ratio of measured to expected time.
    baseline_latency_ratio: DecayingMean,
    /// The mean prefill time of a request.
    pub mean_prefill_ms: f64,
    /// The mean time of a completed attempt, in ms; `None` before the first.
    mean_attempt_ms: Option<f64>,
    /// The mean KV cache use of a request, in tokens.
    pub mean_tokens: f64,
    /// The mean load units of a request.
    pub mean_load_units: f64,
}

impl Service {
    pub fn new(view: ServiceView) -> Service {
        Service {
            view,
            groups: Groups::default(),
            member_fingerprint: None,
            bands: Bands::default(),
            latency_model: LatencyModel::default(),
            baseline_wait_ms: DecayingMean::new(0.0, BASELINE_DECAY_MS),
            priority_wait_ms: [DecayingMean::new(0.0, BASELINE_DECAY_MS); PRIORITY_LEVELS],
            prefill_rate: [DecayingRate::new(BASELINE_DECAY_MS); PRIORITY_LEVELS],
            first_event_error: [EstimateError::new(BASELINE_DECAY_MS); PRIORITY_LEVELS],
            answer_error: [EstimateError::new(BASELINE_DECAY_MS); PRIORITY_LEVELS],
            baseline_latency_ratio: DecayingMean::new(0.0, BASELINE_DECAY_MS),
            mean_prefill_ms: 0.0,
            mean_attempt_ms: None,
            mean_tokens: 0.0,
            mean_load_units: 1.0,
        }
    }

    pub fn is_engine(&self) -> bool {
        self.view.engine.is_some()
    }

    pub fn kind(&self, request: &DispatchRequest) -> Kind {
        self.bands.kind(load_size(request))
    }

    /// This gateway's share of the connection limit per backend; at least 1.
    pub fn max_connections_per_backend(&self, gateways: usize) -> u32 {
        match self.view.max_conns {
            0 => u32::MAX,
            limit => (limit / gateways.max(1) as u32).max(1),
        }
    }

    /// Records a request at its first attempt.
    pub fn observe(&mut self, now: Timestamp, request: &DispatchRequest, kind: Kind, prefill_ms: f64) {
        let tokens = f64::from(request.prompt_tokens) + f64::from(request.response_tokens);
        let size = load_size(request);
        self.bands.observe(size);
        // Load units of the types lie within one order of magnitude, sizes of engine requests span three.
        self.groups.observe(now, kind, if self.is_engine() { size } else { kind.load_units() });
        self.mean_prefill_ms += (prefill_ms - self.mean_prefill_ms) * MEAN_SMOOTHING;
        self.mean_tokens += (tokens - self.mean_tokens) * MEAN_SMOOTHING;
        self.mean_load_units += (kind.load_units() - self.mean_load_units) * MEAN_SMOOTHING;
    }

    /// The external wait that a backend's estimate decays to without new observations.
    pub fn baseline_wait_ms(&self, now: Timestamp) -> f64 {
        self.baseline_wait_ms.value(now, 0.0)
    }

    /// The mean ratio of measured to expected time.
    pub fn baseline_latency_ratio(&self, now: Timestamp) -> f64 {
        self.baseline_latency_ratio.value(now, 0.0).exp()
    }

    /// The external wait of a priority relative to the mean of all requests.
    pub fn priority_wait_ratio(&self, now: Timestamp, priority: u8) -> f64 {
        let mean = self.baseline_wait_ms(now) + PRIORITY_WAIT_OFFSET_MS;
        let own = self.priority_wait_ms[priority_level(priority)].value(now, mean) + PRIORITY_WAIT_OFFSET_MS;
        (own / mean).clamp(PRIORITY_WAIT_BOUNDS.0, PRIORITY_WAIT_BOUNDS.1)
    }

    /// The mean time of a completed attempt.
    pub fn mean_attempt_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_attempt_ms.unwrap_or(self.latency_model.response_ms()) / 1e3)
    }

    /// Records the time of a completed attempt.
    pub fn record_attempt_time(&mut self, elapsed_ms: f64) {
        let mean_ms = self.mean_attempt_ms.unwrap_or(elapsed_ms);
        self.mean_attempt_ms = Some(mean_ms + (elapsed_ms - mean_ms) * MEAN_SMOOTHING);
    }

    /// The margins to add to the estimated times to the first event and to the complete answer, in ms.
    pub fn margins_ms(&self, now: Timestamp, priority: u8) -> (f64, f64) {
        let level = priority_level(priority);
        (self.first_event_error[level].margin_ms(now), self.answer_error[level].margin_ms(now))
    }

    /// The share of a backend's time that requests more urgent than this priority take, if every gateway sends as much
    /// as this one. They are scheduled ahead of all that wait.
    pub fn urgent_share(&self, now: Timestamp, priority: u8, gateways: usize) -> f64 {
        let backends = self.groups.all_backends.all.entries().len().max(1) as f64;
        let urgent = &self.prefill_rate[..priority_level(priority)];
        urgent.iter().map(|rate| rate.per_ms(now)).sum::<f64>() * gateways as f64 / backends
    }

    /// Records an attempt with its estimated prefill time.
    pub fn record_prefill(&mut self, now: Timestamp, priority: u8, prefill_ms: f64) {
        self.prefill_rate[priority_level(priority)].add(now, prefill_ms);
    }

    /// These estimated times, in ms, with their margins.
    pub fn expected_time(
        &self,
        now: Timestamp,
        priority: u8,
        first_event_ms: f64,
        answer_ms: f64,
    ) -> ExpectedTime {
        let (first_event_margin_ms, answer_margin_ms) = self.margins_ms(now, priority);
        let time = |ms: f64| Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX);
        let first_event = time(first_event_ms + first_event_margin_ms);
        ExpectedTime { first_event, answer: time(answer_ms + answer_margin_ms).max(first_event) }
    }

    /// Records by how much the time to a first event exceeded its estimate, in ms.
    pub fn record_first_event_error(&mut self, now: Timestamp, priority: u8, excess_ms: f64) {
        self.first_event_error[priority_level(priority)].observe(now, excess_ms, BASELINE_SMOOTHING);
    }

    /// Records by how much the time to a complete answer exceeded its estimate, in ms.
    pub fn record_answer_error(&mut self, now: Timestamp, priority: u8, excess_ms: f64) {
        self.answer_error[priority_level(priority)].observe(now, excess_ms, BASELINE_SMOOTHING);
    }

    /// Records the delay of a first event and the ratio of its measured to its expected time.
    pub fn record_latency(&mut self, now: Timestamp, priority: u8, excess_ms: f64, latency_ratio: f64) {
        let baseline = self.baseline_wait_ms(now);
        self.baseline_wait_ms.observe(now, 0.0, excess_ms.max(0.0), BASELINE_SMOOTHING);
        let priority_wait = &mut self.priority_wait_ms[priority_level(priority)];
        priority_wait.observe(now, baseline, excess_ms.max(0.0), BASELINE_SMOOTHING);
        self.baseline_latency_ratio.observe(now, 0.0, latency_ratio.ln(), BASELINE_SMOOTHING);
    }
}
