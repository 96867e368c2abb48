//! Whether a request is taken at all: by what it would meet where it is best off, its objective and its rank.

use crate::backend::Backend;
use crate::fit::{Expected, Fit};
use std::time::Duration;

/// Objectives that the least and the most urgent requests of a service may wait for their first event.
const LEAST_REACH: f64 = 1.2;
const MOST_REACH: f64 = 3.0;
/// Of the time until its deadline, what any may wait.
const DEADLINE_REACH: f64 = 0.8;
/// Of its slots, what a backend must have taken before anything is refused for it.
const TAKEN: f64 = 0.5;
const LEAST_RETRY: Duration = Duration::from_millis(100);
const MOST_RETRY: Duration = Duration::from_secs(2);

/// When to come again where the best that a request would meet is too late for it.
pub(crate) fn refused(fit: &Fit, best: &Backend, expected: &Expected) -> Option<Duration> {
    let requests = best.requests(fit.now);
    let taken = requests >= f64::from(best.view.slots.max(1)) * TAKEN;
    // A refusal while places are free and nothing waits would be for nothing.
    if !taken && best.waiting() == 0 && !best.others_wait(fit.now) {
        return None;
    }
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    let slo_ms = ms(fit.request.route.slo.saturating_sub(fit.request.elapsed));
    let urgency = fit.service.urgency(fit.request.priority);
    let reach_ms = slo_ms * (LEAST_REACH + (MOST_REACH - LEAST_REACH) * urgency);
    let limit_ms = reach_ms.min(ms(fit.request.deadline) * DEADLINE_REACH);
    if expected.first_ms <= limit_ms {
        return None;
    }
    let wait_ms = (expected.first_ms - slo_ms / 2.0).max(0.0);
    Some(Duration::from_secs_f64(wait_ms / 1e3).clamp(LEAST_RETRY, MOST_RETRY))
}
