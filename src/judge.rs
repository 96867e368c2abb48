//! Estimates derived from the state in kept.rs, for `balance`: the warm-up and pace of a backend, which
//! executions count as lost, when old paces decay, whether a query is within its tenant's quota, and the
//! expected wait.

use crate::balance::{MIN_EXECUTION_LIMIT, RESTART_LIMIT_FACTOR};
use crate::interface::*;
use crate::kept::*;
use std::cmp::Reverse;

impl Backend {
    /// The fraction of its capacity that a recently started backend is certain to have; 1 once it is warm.
    pub fn warmup_factor(&self, cold: &ColdRule, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.since_us);
        let warm = self.since_us == 0 || age_us >= cold.cold_us;
        let age = if warm { 1.0 } else { age_us as f64 / cold.cold_us as f64 };
        cold.start_capacity + (1.0 - cold.start_capacity) * age
    }

    /// The remaining fraction of its use while it is phased out: 1 unless it was removed from the list.
    pub fn phase_out_factor(&self) -> f64 {
        let steps = if self.listed.phase == Phase::Ready { PHASE_OUT_STEPS } else { self.phase_out_steps };
        f64::from(steps) / f64::from(PHASE_OUT_STEPS)
    }

    /// Records the result of a probe: the work of others there, from the reported executions at a load of
    /// `load_each` or from the time the probe waited, less this proxy's own; `silent` is the work assumed if
    /// the probe was not answered.
    pub fn record_probe(
        &mut self,
        now_us: u64,
        waited_us: u64,
        report: LoadReport,
        load_each: f64,
        silent: Option<f64>,
    ) {
        let (own, count) =
            self.active_executions().fold((0.0, 0.0), |sum, exec| (sum.0 + exec.work, sum.1 + 1.0));
        let reported = report.in_flight.map(|in_flight| (in_flight - count) * load_each);
        let others = reported.unwrap_or(waited_us as f64 * self.pace - own).max(0.0);
        self.last_probe = (now_us, silent.unwrap_or(others));
        let passed = self.probe_in_flight.take().filter(|_| silent.is_none());
        self.last_completed_serial = self.last_completed_serial.max(passed.map_or(0, |(_, serial)| serial));
        self.record_report(report);
    }

    /// Recomputes the estimates that follow from outcomes, notes and probes. `usual_pace` is the prior for
    /// its pace, with the weight of `prior_weight` outcomes.
    pub fn refresh_estimates(
        &mut self,
        now_us: u64,
        mean_utilisation: f64,
        usual_pace: f64,
        prior_weight: f64,
        target_us: f64,
        quickest_us: u64,
    ) {
        self.peer_reports.retain(|report| report.until_us > now_us);
        self.effective_utilisation = self.utilisation.unwrap_or(mean_utilisation);
        let (count, learned) = (self.paces.len() as f64, self.median_pace.unwrap_or(usual_pace));
        self.pace = (learned * count + usual_pace * prior_weight) / (count + prior_weight);
        self.probed_work =
            (self.last_probe.1 - self.pace * now_us.saturating_sub(self.last_probe.0) as f64).max(0.0);
        // A backend that hasn't answered its probe yet has at least the work that it could have done since.
        let silent =
            self.probe_in_flight.map(|sent| now_us.saturating_sub(sent.0.saturating_add(quickest_us)));
        self.probed_work = self.probed_work.max(silent.unwrap_or(0) as f64 * self.pace);
        // An execution that later ones have overtaken, and that is late as well, hangs on a dead connection.
        let (pace, passed) = (self.pace.max(1e-9), self.last_completed_serial);
        let late_us =
            |exec: &InFlightExecution| exec.sent_us + (2.0 * target_us.max(exec.work / pace)) as u64;
        self.executions.range_mut(..passed).for_each(|(_, exec)| exec.lost = now_us > late_us(exec));
    }

    /// Halves the weight of the recorded paces if no outcome came for `after_us`.
    pub fn decay_paces(&mut self, now_us: u64, after_us: u64) {
        if now_us > self.sampled_us + after_us {
            self.paces.halve();
            self.refresh_median_pace(now_us);
        }
    }
}

impl Query {
    /// Sets the deadline from the remaining time that the client sent, which may be off by `error_us` either
    /// way; all other times left derive from it. The longest possible time is assumed: giving up a query that
    /// still has time loses it, while a query whose client has gone ends with the client. Where late answers
    /// earn nothing, the SLO time bounds it.
    pub fn set_deadline(&mut self, ttl_us: u64, error_us: u64, late_for_nothing: bool) {
        self.longest_us = self.arrived_us.saturating_add(ttl_us).saturating_add(error_us);
        let worth_us = if late_for_nothing { self.slo_us } else { u64::MAX };
        self.deadline_us = self.longest_us.min(self.arrived_us.saturating_add(worth_us));
    }

    /// The time left until the deadline.
    pub fn remaining_us(&self, now_us: u64) -> u64 {
        self.deadline_us.saturating_sub(now_us)
    }

    /// The time left until its answer would miss the SLO time.
    pub fn slo_remaining_us(&self, now_us: u64) -> u64 {
        self.deadline_us.min(self.arrived_us + self.slo_us).saturating_sub(now_us)
    }

    /// The time-out of an execution. A backend whose clock is ahead would treat one that ends soon as
    /// expired, so where clocks differ it is the longest possible, and this proxy cancels executions that
    /// have lost their worth.
    pub fn timeout_us(&self, now_us: u64, error_us: u64) -> u64 {
        match error_us > 0 && self.limits.cancel {
            true => self.longest_us.saturating_sub(now_us),
            false => self.remaining_us(now_us),
        }
    }
}

impl QuotaBucket {
    /// Takes one token; false if there is none. The bucket holds what it gains in a second, at least
    /// `MIN_QUOTA_BURST`.
    pub fn try_take(&mut self, now_us: u64) -> bool {
        let gained = self.rate_per_us * now_us.saturating_sub(self.refilled_us) as f64;
        (self.left, self.refilled_us) =
            ((self.left + gained).min((self.rate_per_us * 1e6).max(MIN_QUOTA_BURST)), now_us);
        let within = self.left >= 1.0;
        self.left -= f64::from(u8::from(within));
        within
    }
}

impl Balancer {
    /// A backend has died or restarted without draining, with `executions` known to be there. The cause may
    /// also bring down the backends that take over its load, so the limit is lowered for all; it recovers
    /// with time.
    pub(crate) fn lower_execution_limit(&mut self, executions: Option<f64>) {
        let Some(executions) = executions else { return };
        self.execution_limit = (self.execution_limit.min(executions.max(1.0)) * RESTART_LIMIT_FACTOR)
            .max(MIN_EXECUTION_LIMIT)
            .min(self.execution_limit);
    }

    /// Counts executions in flight for longer than twice their work plus three target times as failed, once:
    /// by the time-out everything queued behind has failed too, and the cause could no longer be identified.
    /// If more are late than there are response buffers, at several backends, and no answer has arrived
    /// since, slow readers hold all buffers.
    pub(crate) fn find_late(&mut self, now_us: u64) {
        let (target_us, unit_us, last_response_us) =
            (self.target_us * 3.0, self.unit_us * 2.0, self.buffer_state.last_response_us);
        let mut late_executions = Vec::new();
        for qry in self.queries.values_mut().filter(|qry| !qry.finished) {
            let (late_us, deadline_us) = ((qry.work * unit_us + target_us) as u64, qry.deadline_us);
            let due = |exec: &&mut Execution| exec.in_flight && now_us > exec.sent_us + late_us;
            for exec in qry.executions.iter_mut().filter(due) {
                late_executions.extend(
                    (exec.sent_us + late_us > last_response_us).then_some((deadline_us, exec.backend)),
                );
                if !std::mem::replace(&mut exec.late, true) {
                    self.failure_rates[qry.workload].ended(false, now_us + qry.slo_us * 4);
                }
            }
        }
        late_executions.sort_unstable();
        let buffer_count = self.deployment.response_buffers.unwrap_or(usize::MAX);
        let buffers_full = late_executions.len() > buffer_count
            && late_executions.iter().any(|late| late.1 != late_executions[0].1);
        self.buffer_state.until_us =
            if buffers_full { late_executions[late_executions.len() - buffer_count].0 } else { 0 };
        self.buffer_state.last_full_us = if buffers_full { now_us } else { self.buffer_state.last_full_us };
    }

    /// How long the queued work of at least this importance takes at the learned paces of the backends.
    pub(crate) fn expected_wait_us(&self, rank: Reverse<u64>) -> f64 {
        let before = self.waiting.iter().take_while(|entry| entry.0 <= rank);
        let ahead: f64 = before.map(|entry| self.queries[&entry.2].work).sum();
        let users =
            |backend: &Backend| if self.deployment.peers { backend.sharing_peers.len() + 1 } else { 1 };
        let pace: f64 = self.subset_backends().map(|backend| backend.pace / users(backend) as f64).sum();
        ahead / pace.max(1e-9)
    }
}
