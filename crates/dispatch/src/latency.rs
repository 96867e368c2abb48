//! The latency model of a service, learned from measured times to the first event, and a time-decaying mean.

use crate::interface::Timestamp;

/// Initial estimates, used until measurements are available.
const INITIAL_TOKENS_PER_MS: f64 = 60.0;
const INITIAL_OVERHEAD_MS: f64 = 12.0;
const INITIAL_RESPONSE_MS: f64 = 20.0;
/// Prompts of at least this length update the prefill rate.
const MIN_TOKENS_FOR_RATE: f64 = 1500.0;
/// Prompts of at most this length update the overhead.
const MAX_TOKENS_FOR_OVERHEAD: f64 = 400.0;
/// Of normally distributed errors, 95 in 100 lie below the mean plus this many mean deviations.
const DEVIATIONS_OF_95_PERCENT: f64 = 2.06;
/// The relative step of one observation.
const STEP_SIZE: f64 = 0.04;
/// The estimated quantiles lie on the fast side, because fast responses were not queued behind other requests.
const RATE_QUANTILE: f64 = 0.75;
const OVERHEAD_QUANTILE: f64 = 0.3;
const RATE_BOUNDS: (f64, f64) = (1.0, 2000.0);
const OVERHEAD_BOUNDS: (f64, f64) = (0.5, 500.0);

/// An online estimate of a quantile.
#[derive(Clone, Copy, Debug)]
struct Quantile {
    value: f64,
    observations: u32,
}

impl Quantile {
    fn observe(&mut self, observed: f64, quantile: f64, bounds: (f64, f64)) {
        // The first observations have a larger step, so that a wrong initial value is corrected quickly.
        self.observations = self.observations.saturating_add(1);
        let step = STEP_SIZE * (1.0 + 8.0 / f64::from(self.observations).sqrt());
        let up = if observed > self.value { quantile } else { quantile - 1.0 };
        self.value = (self.value * (1.0 + step * up)).clamp(bounds.0, bounds.1);
    }
}

/// The time that an unloaded backend of a service needs for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyModel {
    rate: Quantile,
    overhead: Quantile,
    response_ms: f64,
    /// The time from the first event to the end of a stream, per declared response token.
    ms_per_response_token: f64,
}

impl Default for LatencyModel {
    fn default() -> LatencyModel {
        LatencyModel {
            rate: Quantile { value: INITIAL_TOKENS_PER_MS, observations: 0 },
            overhead: Quantile { value: INITIAL_OVERHEAD_MS, observations: 0 },
            response_ms: INITIAL_RESPONSE_MS,
            ms_per_response_token: 0.0,
        }
    }
}

impl LatencyModel {
    /// The time to the first event of a prompt with this many tokens to prefill, in ms.
    pub fn first_event_ms(&self, prefill_tokens: f64) -> f64 {
        self.overhead.value + prefill_tokens / self.rate.value
    }

    /// The prefill time, in ms.
    pub fn prefill_ms(&self, prefill_tokens: f64) -> f64 {
        prefill_tokens / self.rate.value
    }

    /// The mean response time of services without prefill, in ms.
    pub fn response_ms(&self) -> f64 {
        self.response_ms
    }

    /// The time from the first event to the end of a stream that declared this many response tokens, in ms.
    pub fn streaming_ms(&self, response_tokens: f64) -> f64 {
        response_tokens * self.ms_per_response_token
    }

    /// Records the time from the first event to the end of a stream.
    pub fn observe_stream(&mut self, response_tokens: f64, elapsed_ms: f64) {
        if response_tokens > 0.0 {
            let observed = elapsed_ms / response_tokens;
            self.ms_per_response_token += (observed - self.ms_per_response_token) * STEP_SIZE;
        }
    }

    /// Records the time to a first event. The attempt must have been the only one of this gateway waiting there.
    pub fn observe_first_event(&mut self, prefill_tokens: f64, elapsed_ms: f64) {
        if prefill_tokens >= MIN_TOKENS_FOR_RATE {
            let prefill_ms = (elapsed_ms - self.overhead.value).max(1.0);
            self.rate.observe(prefill_tokens / prefill_ms, RATE_QUANTILE, RATE_BOUNDS);
        } else if prefill_tokens <= MAX_TOKENS_FOR_OVERHEAD {
            let overhead_ms = (elapsed_ms - prefill_tokens / self.rate.value).max(0.1);
            self.overhead.observe(overhead_ms, OVERHEAD_QUANTILE, OVERHEAD_BOUNDS);
        }
    }

    /// Records the response time of a service without prefill.
    pub fn observe_response(&mut self, elapsed_ms: f64) {
        self.response_ms += (elapsed_ms - self.response_ms) * STEP_SIZE;
    }
}

/// A mean that decays over time towards a baseline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingMean {
    value: f64,
    updated_at: Timestamp,
    tau_ms: f64,
}

impl DecayingMean {
    pub fn new(value: f64, tau_ms: f64) -> DecayingMean {
        DecayingMean { value, updated_at: Timestamp::ZERO, tau_ms }
    }

    /// The current value, decayed towards `baseline`.
    pub fn value(&self, now: Timestamp, baseline: f64) -> f64 {
        let age_ms = now.saturating_sub(self.updated_at).as_secs_f64() * 1e3;
        baseline + (self.value - baseline) * (-age_ms / self.tau_ms).exp()
    }

    /// Records an observation, which contributes `share` of the new value.
    pub fn observe(&mut self, now: Timestamp, baseline: f64, observed: f64, share: f64) {
        let value = self.value(now, baseline);
        self.value = value + (observed - value) * share;
        self.updated_at = now;
    }
}

/// A rate, averaged over a time that decays exponentially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    sum: DecayingMean,
}

impl DecayingRate {
    pub fn new(tau_ms: f64) -> DecayingRate {
        DecayingRate { sum: DecayingMean::new(0.0, tau_ms) }
    }

    /// The rate per ms.
    pub fn per_ms(&self, now: Timestamp) -> f64 {
        self.sum.value(now, 0.0) / self.sum.tau_ms
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Timestamp, amount: f64) {
        let sum = self.sum.value(now, 0.0) + amount;
        self.sum.observe(now, 0.0, sum, 1.0);
    }
}

/// By how much measured times exceed their estimates. Without observations it decays to nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EstimateError {
    mean_ms: DecayingMean,
    deviation_ms: DecayingMean,
}

impl EstimateError {
    pub fn new(tau_ms: f64) -> EstimateError {
        EstimateError {
            mean_ms: DecayingMean::new(0.0, tau_ms),
            deviation_ms: DecayingMean::new(0.0, tau_ms),
        }
    }

    /// Records by how much a measured time exceeded its estimate, in ms; `share` is the weight of this observation.
    pub fn observe(&mut self, now: Timestamp, excess_ms: f64, share: f64) {
        let deviation_ms = (excess_ms - self.mean_ms.value(now, 0.0)).abs();
        self.deviation_ms.observe(now, 0.0, deviation_ms, share);
        self.mean_ms.observe(now, 0.0, excess_ms, share);
    }

    /// The margin to add to an estimate, so that 95 in 100 requests need no longer, in ms.
    pub fn margin_ms(&self, now: Timestamp) -> f64 {
        let mean_ms = self.mean_ms.value(now, 0.0);
        (mean_ms + self.deviation_ms.value(now, 0.0) * DEVIATIONS_OF_95_PERCENT).max(0.0)
    }
}

#[cfg(test)]
#[path = "../tests/unit/latency.rs"]
mod tests;
