//! Per-service state: groups, request statistics and latency baselines.

use crate::fit::shared_prefix;
use crate::groups::Groups;
use crate::interface::{DispatchRequest, ServiceView, Timestamp};
use crate::kinds::{size, Bands, Kind};
use crate::latency::{DecayingMean, LatencyModel};

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
    /// The logarithm of the ratio of measured to expected time.
    baseline_latency_ratio: DecayingMean,
    /// The mean prefill time of a request.
    pub mean_prefill_ms: f64,
    /// The mean KV cache use of a request, in tokens.
    pub mean_tokens: f64,
    /// The mean load units of a request.
    pub mean_load_units: f64,
    /// The most urgent and the least urgent priority seen.
    priorities: Option<(u8, u8)>,
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
            baseline_latency_ratio: DecayingMean::new(0.0, BASELINE_DECAY_MS),
            mean_prefill_ms: 0.0,
            mean_tokens: 0.0,
            mean_load_units: 1.0,
            priorities: None,
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
        let (highest, lowest) = self.priorities.unwrap_or((request.priority, request.priority));
        self.priorities = Some((highest.min(request.priority), lowest.max(request.priority)));
    }

    /// The urgency of a priority, from 1 for the most urgent of this service to 0 for the least urgent.
    pub fn urgency(&self, priority: u8) -> f64 {
        match self.priorities {
            Some((highest, lowest)) if lowest > highest => {
                let urgency = f64::from(lowest.saturating_sub(priority)) / f64::from(lowest - highest);
                urgency.min(1.0)
            }
            _ => 1.0,
        }
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
        let own = self.priority_wait_ms[usize::from(priority).min(PRIORITY_LEVELS - 1)].value(now, mean)
            + PRIORITY_WAIT_OFFSET_MS;
        (own / mean).clamp(PRIORITY_WAIT_BOUNDS.0, PRIORITY_WAIT_BOUNDS.1)
    }

    /// Records the delay of a first event and the ratio of its measured to its expected time.
    pub fn record_latency(&mut self, now: Timestamp, priority: u8, excess_ms: f64, latency_ratio: f64) {
        let baseline = self.baseline_wait_ms(now);
        self.baseline_wait_ms.observe(now, 0.0, excess_ms.max(0.0), BASELINE_SMOOTHING);
        let priority_wait = &mut self.priority_wait_ms[usize::from(priority).min(PRIORITY_LEVELS - 1)];
        priority_wait.observe(now, baseline, excess_ms.max(0.0), BASELINE_SMOOTHING);
        self.baseline_latency_ratio.observe(now, 0.0, latency_ratio.ln(), BASELINE_SMOOTHING);
    }
}
