//! How fast a service's backends are, learned from times to the first event.

use crate::interface::Timestamp;

/// Before anything is learned.
const TOKENS_PER_MS: f64 = 60.0;
const OVERHEAD_MS: f64 = 12.0;
const INITIAL_RESPONSE_MS: f64 = 20.0;
/// Prompts from this length on show the rate, those below it the overhead.
const LONG_TOKENS: f64 = 1500.0;
const SHORT_TOKENS: f64 = 400.0;
/// How far one observation moves a quantile, as a share of it.
const STEP: f64 = 0.04;
/// The quantiles sought: what is quick has waited for nobody.
const RATE_QUANTILE: f64 = 0.75;
const OVERHEAD_QUANTILE: f64 = 0.3;
const RATE_BOUNDS: (f64, f64) = (1.0, 2000.0);
const OVERHEAD_BOUNDS: (f64, f64) = (0.5, 500.0);

/// A quantile that follows a stream of observations.
#[derive(Clone, Copy, Debug)]
struct Quantile {
    value: f64,
    seen: u32,
}

impl Quantile {
    fn observe(&mut self, observed: f64, quantile: f64, bounds: (f64, f64)) {
        // The first few move it farther, so that a wrong guess is soon left.
        self.seen = self.seen.saturating_add(1);
        let step = STEP * (1.0 + 8.0 / f64::from(self.seen).sqrt());
        let up = if observed > self.value { quantile } else { quantile - 1.0 };
        self.value = (self.value * (1.0 + step * up)).clamp(bounds.0, bounds.1);
    }
}

/// What a service's backends need for a request, all else idle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyModel {
    rate: Quantile,
    overhead: Quantile,
    response_ms: f64,
}

impl Default for LatencyModel {
    fn default() -> LatencyModel {
        LatencyModel {
            rate: Quantile { value: TOKENS_PER_MS, seen: 0 },
            overhead: Quantile { value: OVERHEAD_MS, seen: 0 },
            response_ms: INITIAL_RESPONSE_MS,
        }
    }
}

impl LatencyModel {
    /// The time until the first event of a prompt of which so much must be read.
    pub fn first_event_ms(&self, unread_tokens: f64) -> f64 {
        self.overhead.value + unread_tokens / self.rate.value
    }

    /// The time that reading takes.
    pub fn prefill_ms(&self, unread_tokens: f64) -> f64 {
        unread_tokens / self.rate.value
    }

    /// The usual time of an answer where nothing is read.
    pub fn response_ms(&self) -> f64 {
        self.response_ms
    }

    /// A first event came after this time, the prompt the only one of ours that waited there.
    pub fn observe_first_event(&mut self, unread_tokens: f64, took_ms: f64) {
        if unread_tokens >= LONG_TOKENS {
            let prefill_ms = (took_ms - self.overhead.value).max(1.0);
            self.rate.observe(unread_tokens / prefill_ms, RATE_QUANTILE, RATE_BOUNDS);
        } else if unread_tokens <= SHORT_TOKENS {
            let overhead_ms = (took_ms - unread_tokens / self.rate.value).max(0.1);
            self.overhead.observe(overhead_ms, OVERHEAD_QUANTILE, OVERHEAD_BOUNDS);
        }
    }

    /// A whole answer came after this time.
    pub fn observe_response(&mut self, took_ms: f64) {
        self.response_ms += (took_ms - self.response_ms) * STEP;
    }
}

/// A mean that forgets with time: it falls back to what is usual.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingMean {
    value: f64,
    at: Timestamp,
    tau_ms: f64,
}

impl DecayingMean {
    pub fn new(value: f64, tau_ms: f64) -> DecayingMean {
        DecayingMean { value, at: Timestamp::ZERO, tau_ms }
    }

    /// The value now, where `usual` is what it fades to.
    pub fn value(&self, now: Timestamp, baseline: f64) -> f64 {
        let age_ms = now.saturating_sub(self.at).as_secs_f64() * 1e3;
        baseline + (self.value - baseline) * (-age_ms / self.tau_ms).exp()
    }

    /// An observation that counts for `share` of the new value.
    pub fn observe(&mut self, now: Timestamp, baseline: f64, observed: f64, share: f64) {
        let value = self.value(now, baseline);
        self.value = value + (observed - value) * share;
        self.at = now;
    }
}

#[cfg(test)]
#[path = "../tests/unit/pace.rs"]
mod tests;
