//! What is judged of a backend, a tenant's share or the wait by what kept.rs remembers: how warm and fast a
//! backend is held to be, which executions count as lost, when old paces fade. Called by `balance`.

use crate::balance::{MIN_EXECUTION_LIMIT, RESTART_LIMIT_FACTOR};
use crate::interface::*;
use crate::kept::*;
use std::cmp::Reverse;

impl Backend {
    /// The part of its capacity that a started backend surely has; 1 once it is warm.
    pub fn warmup_factor(&self, cold: &ColdRule, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.since_us);
        let warm = self.since_us == 0 || age_us >= cold.cold_us;
        let age = if warm { 1.0 } else { age_us as f64 / cold.cold_us as f64 };
        cold.start_capacity + (1.0 - cold.start_capacity) * age
    }

    /// The part of its use that is left: all, unless the list has dropped it.
    pub fn phase_out_factor(&self) -> f64 {
        let steps = if self.listed.phase == Phase::Ready { PHASE_OUT_STEPS } else { self.phase_out_steps };
        f64::from(steps) / f64::from(PHASE_OUT_STEPS)
    }

    /// Takes in what a probe waited for or was told, less what is ours; `silent` where it was not answered.
    pub fn record_probe(
        &mut self,
        now_us: u64,
        waited_us: u64,
        report: LoadReport,
        each: f64,
        silent: Option<f64>,
    ) {
        let (own, count) = self.there().fold((0.0, 0.0), |sum, held| (sum.0 + held.work, sum.1 + 1.0));
        let held = report.held.map(|held| (held - count) * each);
        let there = held.unwrap_or(waited_us as f64 * self.pace - own).max(0.0);
        self.seen = (now_us, silent.unwrap_or(there));
        let passed = self.probe_in_flight.take().filter(|_| silent.is_none());
        self.last_completed_serial = self.last_completed_serial.max(passed.map_or(0, |(_, serial)| serial));
        self.record_report(report);
    }

    /// Sets what follows from its outcomes, notes and probes by now. `usual_pace` stands for it without
    /// outcomes and counts as `sure` of them beside.
    pub fn refresh_estimates(
        &mut self,
        now_us: u64,
        used: f64,
        usual_pace: f64,
        sure: f64,
        target_us: f64,
        quickest_us: u64,
    ) {
        self.told.retain(|told| told.until_us > now_us);
        self.effective_utilisation = self.utilisation.unwrap_or(used);
        let (count, learned) = (self.paces.len() as f64, self.median_pace.unwrap_or(usual_pace));
        self.pace = (learned * count + usual_pace * sure) / (count + sure);
        self.found = (self.seen.1 - self.pace * now_us.saturating_sub(self.seen.0) as f64).max(0.0);
        // One that has not answered yet holds at least what it could have done meanwhile.
        let silent =
            self.probe_in_flight.map(|sent| now_us.saturating_sub(sent.0.saturating_add(quickest_us)));
        self.found = self.found.max(silent.unwrap_or(0) as f64 * self.pace);
        // What later completions have passed by hangs on a dead connection once it is late as well.
        let (pace, passed) = (self.pace.max(1e-9), self.last_completed_serial);
        let late_us = |held: &Held| held.sent_us + (2.0 * target_us.max(held.work / pace)) as u64;
        self.held.range_mut(..passed).for_each(|(_, held)| held.lost = now_us > late_us(held));
    }

    pub fn decay_paces(&mut self, now_us: u64, after_us: u64) {
        if now_us > self.sampled_us + after_us {
            self.paces.halve();
            self.refresh_median_pace(now_us);
        }
    }
}

impl Query {
    /// The one notion of time left, from what its client told, which may be off by `error_us` either way. It
    /// is taken for the longest that it may be: to give up a query that has time loses it, while one whose
    /// client has gone ends with him. Where late answers earn nothing the SLO time bounds it.
    pub fn set_deadline(&mut self, ttl_us: u64, error_us: u64, late_for_nothing: bool) {
        self.longest_us = self.arrived_us.saturating_add(ttl_us).saturating_add(error_us);
        let worth_us = if late_for_nothing { self.slo_us } else { u64::MAX };
        self.deadline_us = self.longest_us.min(self.arrived_us.saturating_add(worth_us));
    }

    pub fn remaining_us(&self, now_us: u64) -> u64 {
        self.deadline_us.saturating_sub(now_us)
    }

    /// What is left of it until its answer is no longer on time.
    pub fn slo_remaining_us(&self, now_us: u64) -> u64 {
        self.deadline_us.min(self.arrived_us + self.slo_us).saturating_sub(now_us)
    }

    /// An execution's time-out. A backend whose clock is ahead holds one that ends soon for expired: where
    /// clocks differ it is the longest, and this proxy calls off what is no longer worth it.
    pub fn timeout_us(&self, now_us: u64, error_us: u64) -> u64 {
        match error_us > 0 && self.limits.cancel {
            true => self.longest_us.saturating_sub(now_us),
            false => self.remaining_us(now_us),
        }
    }
}

impl QuotaBucket {
    /// Takes one query from what has gathered over a second, or at most `SHARE_KEPT` where that is more.
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
    /// A backend has died or started anew without draining, with `held` there as far as was known. Whatever
    /// did that may do it to those that get its load: all are held to less, which comes back with time.
    pub(crate) fn lower_execution_limit(&mut self, held: Option<f64>) {
        let Some(held) = held else { return };
        self.execution_limit = (self.execution_limit.min(held.max(1.0)) * RESTART_LIMIT_FACTOR)
            .max(MIN_EXECUTION_LIMIT)
            .min(self.execution_limit);
    }

    /// Counts what is out for longer than twice its work and three target times as failed, once: by its
    /// time-out all behind it has failed too, and nobody could tell which it was. Where more are than there
    /// are buffers for answers, from several backends, and none has come back since, slow readers hold all.
    pub(crate) fn find_late(&mut self, now_us: u64) {
        let (target_us, unit_us, back_us) =
            (self.target_us * 3.0, self.unit_us * 2.0, self.unread.last_response_us);
        let mut unread = Vec::new();
        for qry in self.queries.values_mut().filter(|qry| !qry.finished) {
            let (late_us, deadline_us) = ((qry.work * unit_us + target_us) as u64, qry.deadline_us);
            let due = |exec: &&mut Execution| exec.out && now_us > exec.sent_us + late_us;
            for exec in qry.executions.iter_mut().filter(due) {
                unread.extend((exec.sent_us + late_us > back_us).then_some((deadline_us, exec.backend)));
                if !std::mem::replace(&mut exec.late, true) {
                    self.failure_rates[qry.workload].ended(false, now_us + qry.slo_us * 4);
                }
            }
        }
        unread.sort_unstable();
        let room = self.deployment.response_buffers.unwrap_or(usize::MAX);
        let several = unread.len() > room && unread.iter().any(|late| late.1 != unread[0].1);
        self.unread.until_us = if several { unread[unread.len() - room].0 } else { 0 };
        self.unread.last_full_us = if several { now_us } else { self.unread.last_full_us };
    }

    /// How long the work that waits at this rank or above takes the fleet at its learned paces.
    pub(crate) fn expected_wait_us(&self, rank: Reverse<u64>) -> f64 {
        let before = self.waiting.iter().take_while(|entry| entry.0 <= rank);
        let ahead: f64 = before.map(|entry| self.queries[&entry.2].work).sum();
        let users =
            |backend: &Backend| if self.deployment.peers { backend.sharing_peers.len() + 1 } else { 1 };
        let pace: f64 = self.subset_backends().map(|backend| backend.pace / users(backend) as f64).sum();
        ahead / pace.max(1e-9)
    }
}
