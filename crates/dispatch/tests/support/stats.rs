//! Statistics of a simulation run.

use super::traffic::Deployment;

/// The final result of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestResult {
    /// `retried` if the request was rejected once before, `stalled` if the gap between two events exceeded the limit.
    Completed {
        first_event_ms: f64,
        retried: bool,
        stalled: bool,
    },
    Failed,
    Rejected,
}

/// The results of all requests of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassStats {
    pub first_event_ms: Vec<f64>,
    /// The times of the requests that completed at the client's second try; on time they earn half their value.
    pub retried: Vec<f64>,
    /// The times of the stalled requests, which count as late regardless of their first event.
    pub stalled: Vec<f64>,
    pub failed: usize,
    pub rejected: usize,
}

impl ClassStats {
    pub fn count(&self) -> usize {
        self.first_event_ms.len() + self.failed + self.rejected
    }

    pub fn quantile(&self, share: f64) -> f64 {
        let mut sorted = self.first_event_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().saturating_sub(1);
        sorted.get((last as f64 * share) as usize).copied().unwrap_or(0.0)
    }

    /// The share of requests without a first event within `ms`.
    pub fn share_over(&self, ms: f64) -> f64 {
        let late = self.first_event_ms.iter().filter(|first| **first > ms).count();
        (late + self.failed + self.rejected) as f64 / self.count().max(1) as f64
    }
}

/// The results of one simulation run.
#[derive(Clone, Debug)]
pub struct RunStats {
    pub classes: Vec<ClassStats>,
    /// Tokens of parts that were prefilled although some engine had used them within the reuse window.
    pub reprefilled_tokens: u64,
    /// The same by part type: two entries per class, for the shared part and for the session part.
    pub reprefilled_by_part: [u64; 8],
    pub prefilled_tokens: u64,
    pub cross_zone_bytes: u64,
    pub retries: usize,
    pub sent_to_unresponsive: usize,
}

impl RunStats {
    pub fn new(deployment: &Deployment) -> RunStats {
        let classes = vec![ClassStats::default(); deployment.classes.len()];
        RunStats {
            classes,
            reprefilled_tokens: 0,
            reprefilled_by_part: [0; 8],
            prefilled_tokens: 0,
            cross_zone_bytes: 0,
            retries: 0,
            sent_to_unresponsive: 0,
        }
    }

    pub fn record(&mut self, class: usize, result: RequestResult) {
        let stats = &mut self.classes[class];
        match result {
            RequestResult::Completed { first_event_ms, retried, stalled } => {
                stats.stalled.extend(stalled.then_some(first_event_ms));
                stats.first_event_ms.push(first_event_ms);
                stats.retried.extend(retried.then_some(first_event_ms));
            }
            RequestResult::Failed => stats.failed += 1,
            RequestResult::Rejected => stats.rejected += 1,
        }
    }

    /// The earned share of the maximum value: gross, and net of the costs of cross-zone traffic and repeated prefill.
    pub fn value(&self, deployment: &Deployment) -> (f64, f64) {
        let (mut earned, mut maximum) = (0.0, 0.0);
        for (class, stats) in deployment.classes.iter().zip(&self.classes) {
            let on_time = |times: &[f64]| times.iter().filter(|first| **first <= class.slo_ms).count();
            let (on_time, stalled) = (on_time(&stats.first_event_ms), on_time(&stats.stalled));
            let on_time = on_time - stalled;
            let late = stats.first_event_ms.len() - on_time;
            let retried_on_time = stats.retried.iter().filter(|first| **first <= class.slo_ms).count();
            earned += (on_time as f64 - retried_on_time as f64 / 2.0) * class.value
                + late as f64 * class.late_value;
            maximum += stats.count() as f64 * class.value;
        }
        let cross_zone_cost = self.cross_zone_bytes as f64 * deployment.cross_zone_cost_per_gb / 1e9;
        let reprefill_cost = self.reprefilled_tokens as f64 * deployment.reprefill_cost_per_k_tokens / 1e3;
        (earned / maximum, (earned - cross_zone_cost - reprefill_cost) / maximum)
    }

    /// For the requests to engines: the 95th percentile of the time to the first event, in ms, and the share over 600 ms.
    pub fn engine_latency(&self, deployment: &Deployment) -> (f64, f64) {
        let mut all = ClassStats::default();
        for (_, stats) in
            deployment.classes.iter().zip(&self.classes).filter(|(class, _)| class.processing_ms.is_none())
        {
            all.first_event_ms.extend(&stats.first_event_ms);
            (all.failed, all.rejected) = (all.failed + stats.failed, all.rejected + stats.rejected);
        }
        (all.quantile(0.95), all.share_over(600.0))
    }
}
