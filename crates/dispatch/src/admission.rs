//! Admission control: a request is refused at once if it is not expected to be answered before its client gives up.
//!
//! What a request may wait for follows from the time that its client has left and from the work in front of it and of
//! its own. More urgent requests have less work in front of them, so the least urgent are refused first.

use crate::backend::Backend;
use crate::fit::{CostModel, Estimate};
use std::time::Duration;

/// Returns a retry delay if the request is not expected to be answered in time even at the best backend for it: the time
/// after which a request that has as much time is, or all of that time if none foreseeably is. Before one more request
/// has been completed nothing has changed.
pub(crate) fn rejection_delay(
    cost_model: &CostModel,
    gateways: usize,
    best: &Backend,
    estimate: &Estimate,
) -> Option<Duration> {
    // With a free slot and nothing queued there is nothing to wait for, and a later try would find no better.
    if starts_at_once(cost_model, best) {
        return None;
    }
    let excess_ms = excess_ms(cost_model, gateways, estimate);
    (excess_ms > 0.0).then(|| {
        let retry_ms = excess_ms.max(estimate.unloaded_ms).min(ms(cost_model.request.deadline));
        Duration::from_secs_f64(retry_ms / 1e3)
    })
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Whether the backend has a free slot and, as far as is known, nothing queued.
fn starts_at_once(cost_model: &CostModel, backend: &Backend) -> bool {
    let occupied = backend.requests(cost_model.now) >= f64::from(backend.view.slots.max(1));
    !occupied && backend.pending_count() == 0 && !backend.has_external_wait(cost_model.now)
}

/// By how much the first event, or the complete answer, is expected to come too late, in ms.
fn excess_ms(cost_model: &CostModel, gateways: usize, estimate: &Estimate) -> f64 {
    let (first_event_margin_ms, answer_margin_ms) =
        cost_model.service.margins_ms(cost_model.now, cost_model.request.priority);
    let overtaken_ms = overtaken_ms(cost_model, gateways, estimate);
    let first_event_ms = estimate.first_event_ms + overtaken_ms + first_event_margin_ms;
    let answer_ms = estimate.answer_ms + overtaken_ms + answer_margin_ms;
    let first_event_excess_ms = first_event_ms - ms(cost_model.request.first_event_within);
    first_event_excess_ms.max(answer_ms - ms(cost_model.request.deadline))
}

/// How much longer the request waits because more urgent ones arrive meanwhile and are scheduled first, in ms; infinite
/// if those leave no time for it.
fn overtaken_ms(cost_model: &CostModel, gateways: usize, estimate: &Estimate) -> f64 {
    let (now, wait_ms) = (cost_model.now, estimate.wait_ms());
    let urgent_share = cost_model.service.urgent_share(now, cost_model.request.priority, gateways);
    if wait_ms <= 0.0 {
        0.0
    } else if urgent_share >= 1.0 {
        f64::INFINITY
    } else {
        wait_ms * urgent_share / (1.0 - urgent_share)
    }
}
