//! Admission control: decides from the estimated wait at the best backend, the latency objective and the priority
//! whether a request is accepted.

use crate::backend::Backend;
use crate::fit::{CostModel, Estimate};
use std::time::Duration;

/// The longest accepted wait for the least and the most urgent requests of a service, in latency objectives.
const MIN_WAIT_FACTOR: f64 = 0.8;
const MAX_WAIT_FACTOR: f64 = 1.5;
/// The share of the time until the deadline that any request may wait.
const MAX_DEADLINE_SHARE: f64 = 0.8;
/// How strongly congestion shortens the accepted wait: with a mean wait of one objective, to 1 / (1 + this factor).
const CONGESTION_FACTOR: f64 = 10.0;
/// The slot occupancy of a backend below which nothing is rejected, unless requests are already waiting there.
const MIN_OCCUPANCY: f64 = 0.5;
/// The lower bound of the objective in the congestion term, in ms.
const MIN_OBJECTIVE_MS: f64 = 1.0;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns a retry delay if the request would wait too long even at the best backend for it.
pub(crate) fn rejection_delay(
    cost_model: &CostModel,
    best: &Backend,
    estimate: &Estimate,
) -> Option<Duration> {
    let requests = best.requests(cost_model.now);
    let occupied = requests >= f64::from(best.view.slots.max(1)) * MIN_OCCUPANCY;
    // Rejecting a request while slots are free and nothing is queued would serve no purpose.
    if !occupied && best.pending_count() == 0 && !best.has_external_wait(cost_model.now) {
        return None;
    }
    // The request's own processing time does not count, otherwise the longest requests would never be served. The wait
    // is scaled by priority because more urgent requests are scheduled first.
    let wait_ms = estimate.wait_ms()
        * cost_model.service.priority_wait_ratio(cost_model.now, cost_model.request.priority);
    let max_wait_ms = max_wait_ms(cost_model);
    if wait_ms <= max_wait_ms {
        return None;
    }
    let retry = Duration::from_secs_f64((wait_ms - max_wait_ms / 2.0).max(0.0) / 1e3);
    Some(retry.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}

/// The longest wait with which the request is accepted, in ms.
fn max_wait_ms(cost_model: &CostModel) -> f64 {
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    let objective_ms = ms(cost_model.request.route.slo.saturating_sub(cost_model.request.elapsed));
    let urgency = cost_model.service.urgency(cost_model.request.priority);
    let wait_factor = MIN_WAIT_FACTOR + (MAX_WAIT_FACTOR - MIN_WAIT_FACTOR) * urgency;
    let congestion = CONGESTION_FACTOR * cost_model.service.baseline_wait_ms(cost_model.now)
        / objective_ms.max(MIN_OBJECTIVE_MS);
    (objective_ms * wait_factor / (1.0 + congestion))
        .min(ms(cost_model.request.deadline) * MAX_DEADLINE_SHARE)
}
