//! Whether a request is taken at all: by what it would wait where it is best off, its objective and its rank.

use crate::backend::Backend;
use crate::fit::{CostModel, Estimate};
use std::time::Duration;

/// Objectives that the least and the most urgent requests of a service may wait for others'.
const LEAST_REACH: f64 = 0.8;
const MOST_REACH: f64 = 1.5;
/// Of the time until its deadline, what any may wait.
const DEADLINE_REACH: f64 = 0.8;
/// How much shorter a wait is borne where all answers wait for an objective.
const STRAIN: f64 = 10.0;
/// Of its slots, what a backend must have taken before anything is refused for it.
const TAKEN: f64 = 0.5;
/// The shortest objective reckoned with, in ms.
const LEAST_OBJECTIVE_MS: f64 = 1.0;
const LEAST_RETRY: Duration = Duration::from_millis(100);
const MOST_RETRY: Duration = Duration::from_secs(2);

/// When to come again where a request would wait too long even at the best backend for it.
pub(crate) fn refused(fit: &CostModel, best: &Backend, estimate: &Estimate) -> Option<Duration> {
    let requests = best.requests(fit.now);
    let taken = requests >= f64::from(best.view.slots.max(1)) * TAKEN;
    // A refusal while places are free and nothing waits would be for nothing.
    if !taken && best.pending_count() == 0 && !best.has_external_wait(fit.now) {
        return None;
    }
    // What it needs itself is no reason: the longest would never be served. The more urgent are let ahead.
    let wait_ms = estimate.wait_ms() * fit.service.priority_wait_ratio(fit.now, fit.request.priority);
    let limit_ms = limit_ms(fit);
    if wait_ms <= limit_ms {
        return None;
    }
    let retry = Duration::from_secs_f64((wait_ms - limit_ms / 2.0).max(0.0) / 1e3);
    Some(retry.clamp(LEAST_RETRY, MOST_RETRY))
}

/// The longest wait that a request of this rank is taken for.
fn limit_ms(fit: &CostModel) -> f64 {
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    let objective_ms = ms(fit.request.route.slo.saturating_sub(fit.request.elapsed));
    let urgency = fit.service.urgency(fit.request.priority);
    let reach = LEAST_REACH + (MOST_REACH - LEAST_REACH) * urgency;
    let strain = STRAIN * fit.service.baseline_wait_ms(fit.now) / objective_ms.max(LEAST_OBJECTIVE_MS);
    (objective_ms * reach / (1.0 + strain)).min(ms(fit.request.deadline) * DEADLINE_REACH)
}
