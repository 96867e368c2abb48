//! Exponential backoff and jitter.

use std::time::Duration;

/// More doublings than this would overflow the factor; every interval has reached its maximum by then.
const MAX_DOUBLINGS: u32 = 16;

/// `min`, doubled for each of `failures`, and at most `max`.
pub(super) fn exponential(min: Duration, failures: u32, max: Duration) -> Duration {
    min.saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(max)
}

/// A random duration between half of `interval` and one and a half of it.
pub(super) fn jittered(random: &mut fastrand::Rng, interval: Duration) -> Duration {
    interval.mul_f64(jitter_factor(random))
}

/// A random factor between one half and one and a half.
pub(super) fn jitter_factor(random: &mut fastrand::Rng) -> f64 {
    random.f64() + 0.5
}
