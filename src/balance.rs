//! All decisions of the proxy. The host calls `Balancer::round` once for each batch of events, which it feeds
//! through `Inbox`; the round then places the waiting queries, and decisions leave through the `Writer`.
//! State is in kept.rs; docs/design.md describes the mechanism (types, groups, rotation, best fit) and each
//! exception to it.

pub use crate::inbox::Inbox;
use crate::interface::*;
pub use crate::kept::Balancer;
use crate::kept::*;
use crate::retry::Failure;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// The load values of the four query types, from plain to heavy in every respect, as measured in the paper
/// that docs/design.md names.
const TYPE_LOADS: [f64; 4] = [1.0, 2.0, 2.0, 3.0];
/// The cut-offs between types, in hinted load units: half-way between the load values; the cut-off between
/// the two equal types is half-way between its neighbours.
const TYPE_CUTOFFS: [f64; 3] = [1.5, 2.0, 2.5];
/// The longest interval between rebuilds of the groups.
const REGROUP_INTERVAL_US: u64 = 30_000_000;
/// The interval at which all backends' maxima are recomputed, where candidates are probed.
const MAXIMA_INTERVAL_US: u64 = 250_000;
const SWEEP_INTERVAL_US: u64 = 25_000;
/// The most executions by all proxies at one backend, as reported by peers: more would only queue where they
/// can no longer be rejected.
const EXECUTION_LIMIT_REPORTED: f64 = 4.0;
/// The same limit where the total has to be inferred because peers don't report.
const EXECUTION_LIMIT_INFERRED: f64 = 3.0;
/// The factor by which an unexpected restart lowers the execution limit, the lowest limit, and the factor by
/// which it recovers every quarter of a second.
pub(crate) const RESTART_LIMIT_FACTOR: f64 = 0.75;
pub(crate) const MIN_EXECUTION_LIMIT: f64 = 1.5;
const LIMIT_RECOVERY_FACTOR: f64 = 1.005;
/// The failure rate above which a workload's queries may themselves cause the failures; and the failure rate,
/// with the ratio by which others succeed more often, above which they block the backends that execute them.
const SUSPECT_FAILURE_RATE: f64 = 0.1;
const BLOCKING_FAILURE: (f64, f64) = (0.5, 3.0);
/// The target number of proxies that share one backend: with many, one query from each already overloads it.
const PROXIES_PER_BACKEND: usize = 3;
/// The minimum number of backends in an arc. The second applies where connections cost, or where peers are
/// notified and more than `MAX_PROXIES_PER_BACKEND` proxies would share a backend, since notes cost less with
/// fewer sharers.
const MIN_ARC: usize = 6;
const MIN_ARC_COSTLY: usize = 3;
const MAX_PROXIES_PER_BACKEND: usize = 16;
/// How many backends of its zone, and of other zones, a probing proxy draws.
const PROBING_SUBSET: usize = 8;
/// How many candidates are probed at a time.
const PROBES_PER_WAVE: usize = 2;
/// After this time a probe without an answer counts as lost, and another may be sent.
const PROBE_LOST_AFTER_US: u64 = 2_000_000;
/// The probed load, as a multiple of the maximum, above which even the most important query is rejected; and
/// the load below which none is.
const OVERLOAD_FACTOR: f64 = 3.0;
const ALWAYS_ACCEPTED_LOAD: f64 = 4.0;
/// For how long the load found by probes may cause the next queries to be rejected.
const PROBED_LOAD_TTL_US: f64 = 2e6;
/// The cost of each lost answer among the last eight, as a fraction of the SLO time, for a query that can be
/// executed only once.
const LOST_ANSWER_COST: f64 = 0.125;
/// The weight, in outcomes, of the prior for a backend's pace, since some backends yield few outcomes.
const PRIOR_OUTCOMES: f64 = 2.0;
/// How many outcomes are needed before the fastest pace is used: a single one, delayed by other load, would
/// make all queries appear impossible to complete in time.
const MIN_SPEED_SAMPLES: u64 = 16;

impl Backend {
    /// Whether neither an ejection nor a cool-down keeps queries of this importance away.
    fn open(&self, now_us: u64, importance: f64) -> bool {
        // The most important queries skip the cool-down, so that the less important ones are rejected
        // instead.
        let rested_us = self.cooldown.0 + (self.cooldown.1 * (1.0 - importance)) as u64;
        // A backend that was ejected gets one query at a time until one completes.
        self.ready()
            && (self.ejection_us == 0 || self.idle())
            && now_us >= self.ejected_until_us.max(rested_us)
    }
}

impl Balancer {
    /// Processes all events of one batch through `feed`, then places the waiting queries.
    pub fn round<E>(
        &mut self,
        now_us: u64,
        writer: &mut dyn Writer,
        feed: impl FnOnce(&mut Inbox) -> Result<(), E>,
    ) -> Result<(), E> {
        if std::mem::take(&mut self.must_subscribe) {
            writer.subscribe();
        }
        feed(&mut Inbox { balancer: self, writer, now_us })?;
        if now_us >= self.regroup_us {
            self.regroup(now_us);
        }
        // A note from a peer alone requires no decision.
        if self.waiting.is_empty() && self.sweep_scheduled {
            return Ok(());
        }
        self.set_maxima(now_us);
        // Only after all events: an execution that ended in this batch needs no hedged request.
        if !self.sweep_scheduled {
            self.sweep(now_us, writer);
        }
        self.place_waiting(now_us, writer);
        // If the timer has the longer interval and a query has begun to wait, a shorter one is set.
        if (!self.sweep_scheduled || self.idle_sweep && !self.waiting.is_empty()) && !self.queries.is_empty()
        {
            self.sweep_scheduled = true;
            self.idle_sweep = self.deployment.probes && self.waiting.is_empty();
            writer.wake(if self.idle_sweep { SWEEP_INTERVAL_US * 4 } else { SWEEP_INTERVAL_US }, "sweep");
        }
        Ok(())
    }

    /// Recomputes the maxima: the work that a backend does within the target time, at its learned pace or
    /// else at the others' mean for its weight. Where candidates are probed, only their maxima have to be
    /// current; the others are recomputed four times a second.
    fn set_maxima(&mut self, now_us: u64) {
        let bound = |entry: &QueueKey| self.queries[&entry.2].binding_execution().is_some();
        let ids: Vec<u32> = if self.deployment.probes && now_us < self.next_maxima_us {
            self.waiting.iter().flat_map(|entry| self.queries[&entry.2].probed.iter().copied()).collect()
        } else {
            self.next_maxima_us = now_us + MAXIMA_INTERVAL_US;
            let median_paces = || self.subset_backends().filter_map(|backend| backend.median_pace);
            let mean = mean_or(median_paces(), DEFAULT_MAX_LOAD / self.target_us);
            self.slowest_pace = median_paces().fold(mean, f64::min);
            let by_weight = |backend: &Backend| backend.median_pace.map(|pace| pace / backend.weight());
            self.pace_per_weight =
                mean_or(self.subset_backends().filter_map(by_weight), DEFAULT_MAX_LOAD / self.target_us);
            self.mean_utilisation =
                mean_or(self.subset_backends().filter_map(|backend| backend.utilisation), 0.0);
            match self.waiting.iter().any(bound) {
                true => self.fleet.keys().copied().collect(),
                false => self.subset.iter().chain(&self.remote_subset).copied().collect(),
            }
        };
        for id in ids {
            let Some(backend) = self.fleet.get_mut(&id) else { continue };
            let usual_pace = self.pace_per_weight * backend.weight();
            backend.refresh_estimates(
                now_us,
                self.mean_utilisation,
                usual_pace,
                PRIOR_OUTCOMES,
                self.target_us,
                self.fastest_probe_us,
            );
            // A stalled backend yields no outcomes, so the oldest execution that wasn't overtaken bounds its
            // pace.
            let ends = !self.deployment.probes && now_us >= self.buffer_state.until_us;
            for (_, exec) in backend.executions.range(backend.last_completed_serial..).take(usize::from(ends))
            {
                let age_us = now_us.saturating_sub(exec.sent_us).max(1);
                backend.pace = backend.pace.min(exec.work_at_send / age_us as f64);
            }
            backend.max = backend.pace
                * self.target_us
                * backend.warmup_factor(&self.cold, now_us)
                * backend.phase_out_factor();
        }
    }

    /// Rebuilds the subset and the groups. Each type's group gets learned capacity in proportion to the
    /// type's share of the load, the strongest backends first.
    fn regroup(&mut self, now_us: u64) {
        // A proxy that has just started has seen no traffic: its first groups contain all backends and are
        // rebuilt soon.
        self.regroup_us = now_us + self.regroup_interval_us;
        self.regroup_interval_us = (self.regroup_interval_us * 2).min(REGROUP_INTERVAL_US);
        // There is no evidence that a backend still works if it was removed from the list and isn't used
        // here.
        let unused = |id: &u32| !self.subset.contains(id) && !self.remote_subset.contains(id);
        let others = self.fleet.iter_mut().filter(|(id, _)| unused(id));
        others.for_each(|(_, backend)| backend.phase_out_steps = backend.phase_out_steps.saturating_sub(1));
        let ids: Vec<u32> = self.fleet.values().filter(|b| b.ready()).map(|b| b.listed.backend).collect();
        (self.next_maxima_us, self.subset, self.remote_subset) = (0, Vec::new(), Vec::new());
        if self.deployment.probes {
            // Each connection costs, and a backend accepts a limited number: use a few random ones of the own
            // zone.
            self.draw_subset(ids, PROBING_SUBSET);
        } else {
            // With many proxies, each uses its own contiguous part of the list, an arc.
            let many_sharers = MIN_ARC * self.proxy_count > MAX_PROXIES_PER_BACKEND * ids.len();
            let use_small_arc =
                if self.deployment.peers { many_sharers } else { self.deployment.connection > 0.0 };
            let min_arc = if use_small_arc { MIN_ARC_COSTLY } else { MIN_ARC };
            let arc =
                (PROXIES_PER_BACKEND * ids.len()).div_ceil(self.proxy_count).max(min_arc).min(ids.len());
            // So that a partitioned zone leaves each proxy some backends, even of a small arc.
            let ids = if self.deployment.peers { self.interleave_zones(&ids) } else { ids };
            self.assign_arc(&ids, arc);
        }
        self.set_maxima(now_us);
        self.max_weight = self.fleet.values().map(|backend| backend.listed.weight).fold(0.0, f64::max);
        let mut rng = self.rng.fork();
        let mut servers: Vec<&Backend> = self.subset_backends().collect();
        servers.sort_by(|a, b| b.max.total_cmp(&a.max));
        let total_capacity: f64 = servers.iter().map(|server| server.max).sum();
        let total_traffic: f64 = self.traffic.iter().sum();
        let mut wanted = self.traffic.map(|traffic| total_capacity * traffic / total_traffic.max(1e-9));
        let mut groups: [Vec<Member>; 4] = Default::default();
        for (index, server) in servers.iter().enumerate().filter(|_| total_traffic > 0.0) {
            let lacks_backends = |kind: &usize| self.traffic[*kind] > 0.0 && groups[*kind].is_empty();
            let spare = servers.len() - index > (0..4).filter(lacks_backends).count();
            let candidates = (0..4).filter(|kind| spare || lacks_backends(kind));
            let kind = candidates.max_by(|a, b| wanted[*a].total_cmp(&wanted[*b])).unwrap_or(0);
            wanted[kind] -= server.max;
            groups[kind].push(Member::new(server, rng.f64()));
        }
        for group in groups.iter_mut().filter(|group| group.is_empty()) {
            group.extend(servers.iter().map(|server| Member::new(server, rng.f64())));
        }
        self.groups = groups;
        self.traffic = self.traffic.map(|traffic| traffic / 2.0);
    }

    /// Whether rule 2 (repeated executions) permits a further execution of this query on this backend now.
    fn repeat_allowed(&self, qry: &Query, on: &Listed, now_us: u64) -> bool {
        let Some(first) = qry.binding_execution() else { return true };
        let workload = &self.workloads[qry.workload];
        let first_on = &self.fleet[&first.backend].listed;
        let together = match workload.group {
            DedupGroup::All => true,
            DedupGroup::Zone => on.zone == first_on.zone,
            DedupGroup::Cell => on.cell == first_on.cell,
        };
        match workload.repeat {
            Repeat::Deduplicated => together && qry.dedup_left_us(&self.workloads, now_us) > 0,
            other => other == Repeat::Idempotent,
        }
    }

    /// Rule 4 (cold backends): whether the work fits into this proxy's share of what a cold backend can take
    /// in a window, at the slowest pace seen.
    fn within_cold_budget(&self, backend: &Backend, work: f64, now_us: u64) -> bool {
        let window_us = self.cold.window_us.max(1);
        let warmth = |at: &Backend| at.warmup_factor(&self.cold, now_us.saturating_sub(window_us / 2));
        let budget = self.cold.capacity_multiple * warmth(backend) * self.slowest_pace * window_us as f64;
        let sent = backend.cold_work_since(now_us.saturating_sub(window_us));
        let (sharers, slot_number, slot_start_us) = self.time_slot(backend, now_us, window_us);
        let share = budget / (sharers * self.processes) as f64;
        // A share below one query is granted in time slots that add up to the share. A slot may only be used
        // in its first half and only if it began after the start was known; otherwise slots of several
        // proxies would be used at once.
        let slot_granted = slot_number * work < share
            && slot_start_us >= backend.start_learned_us
            && now_us < slot_start_us + window_us / 2;
        // A proxy that has just started knows no pace, and may replace a process that has sent work there
        // already. Only the proxies that have the backend in their subset have a share.
        let newly_started = |condition: bool| condition && self.subset_backends().any(|at| warmth(at) >= 1.0);
        let may_follow_predecessor =
            backend.since_us < self.first_list_us && now_us < self.first_list_us + window_us;
        let within_share =
            || sent + work <= share && !newly_started(may_follow_predecessor) || sent <= 0.0 && slot_granted;
        let in_subset = || self.deployment.probes || self.subset.contains(&backend.listed.backend);
        let pace_known = || !newly_started(self.subset_backends().all(|at| at.median_pace.is_none()));
        warmth(backend) >= 1.0 || within_share() && in_subset() && pace_known()
    }

    /// Whether this proxy has as much in flight as its share at overloaded backends. Always false where load
    /// is known from probes, peers, or a reported utilisation below 0.9.
    fn inferred_overload(&self, now_us: u64) -> bool {
        let load_known =
            self.deployment.probes || self.deployment.peers || (1e-9..0.9).contains(&self.mean_utilisation);
        let users = |backend: &Backend| 1.0 / (backend.sharing_peers.len() + 1) as f64;
        let fair: f64 =
            self.subset_backends().filter(|backend| backend.ejected_until_us <= now_us).map(users).sum();
        let enough_reports = self.reported_in_flight.count >= 16;
        let share = if enough_reports {
            self.own_in_flight.mean / self.reported_in_flight.mean.max(1e-9)
        } else {
            0.0
        };
        !load_known && self.executions_in_flight() >= EXECUTION_LIMIT_INFERRED * share.clamp(fair, fair * 2.0)
    }

    /// Whether the executions of this workload fail far more often than another's on the same backends; and
    /// whether they block these backends: then only one is sent at a time, and none for a while after each
    /// failure.
    fn suspect_workload(&self, workload: usize) -> (bool, bool) {
        let others = self.failure_rates.iter().enumerate().filter(|(other, _)| *other != workload);
        let least = others.filter(|(_, of)| of.count >= 8).map(|(_, of)| of.mean).fold(1.0, f64::min);
        let own =
            if self.failure_rates[workload].count >= 8 { self.failure_rates[workload].mean } else { 0.0 };
        let blocks = own > BLOCKING_FAILURE.0 && (1.0 - own) * BLOCKING_FAILURE.1 < 1.0 - least;
        (own > (least * 2.0).max(SUSPECT_FAILURE_RATE), blocks)
    }

    /// Whether the rules, health and execution limit permit this query on this backend at all.
    fn usable(&self, qry: &Query, backend: &Backend, now_us: u64) -> bool {
        backend.open(now_us, qry.importance)
            && (self.deployment.probes || (backend.execution_count() as f64) < self.execution_limit)
            && qry.executions.iter().all(|exec| exec.backend != backend.listed.backend)
            && self.repeat_allowed(qry, &backend.listed, now_us)
            && self.within_cold_budget(backend, qry.work, now_us)
    }

    /// The cost of placing a query on this backend, in units of its work: for crossing zones, by the query's
    /// importance relative to the others', and for answers lost recently.
    fn placement_cost(&self, qry: &Query, backend: &Backend) -> f64 {
        let other_zone = self.deployment.zone.is_some_and(|zone| zone != backend.listed.zone);
        let relative_importance = qry.importance * qry.work / self.mean_importance.max(1e-9);
        let crossing =
            f64::from(u8::from(other_zone)) * self.deployment.cross_zone_cost / relative_importance.max(1e-3);
        // A query that must not be executed twice is lost with its answer, so recently lost answers count as
        // a cost.
        let single_execution = self.workloads[qry.workload].repeat == Repeat::NonIdempotent;
        let lost =
            f64::from(u8::from(single_execution) * backend.failures.count_ones() as u8) * LOST_ANSWER_COST;
        (crossing + lost) * qry.slo_us as f64 * backend.pace
    }

    /// The next in the smooth weighted round robin among the group's members that `may` be used.
    fn rotate(&mut self, kind: usize, may: &[u32]) -> Option<u32> {
        let mut among: Vec<&mut Member> =
            self.groups[kind].iter_mut().filter(|member| may.contains(&member.backend)).collect();
        let weight =
            |at: &Member| self.fleet[&at.backend].listed.weight * self.fleet[&at.backend].phase_out_factor();
        let total_weight: f64 = among.iter().map(|member| weight(member)).sum();
        among.iter_mut().for_each(|member| member.current_weight += weight(member));
        let next = among.into_iter().max_by(|a, b| a.current_weight.total_cmp(&b.current_weight))?;
        next.current_weight -= total_weight;
        Some(next.backend)
    }

    /// Probes candidates: the group's next in rotation; unless that is lightly loaded, some of the group; if
    /// none of them fits, some of the zone; and some of all where waiting costs more than crossing zones.
    /// True once the best is known.
    fn probe_candidates(&mut self, id: &str, now_us: u64, writer: &mut dyn Writer) -> bool {
        loop {
            let qry = &self.queries[id];
            let usable = |at: &&Backend| self.usable(qry, at, now_us);
            let spare = |backend: &Backend| backend.spare_capacity() - self.placement_cost(qry, backend);
            let probed = qry.probed.iter().map(|at| &self.fleet[at]).filter(usable);
            let best = probed.max_by(|a, b| spare(a).total_cmp(&spare(b)));
            // The next in rotation is still lightly loaded with one mean query: whether it has several cores
            // is unknown.
            let light = if qry.probe_waves == 1 { TYPE_LOADS[1] } else { 0.0 };
            let fits = |best: &Backend| qry.probe_waves > 1 && best.load() + qry.load <= best.max;
            let enough = |best: &Backend| best.load() <= light.max(best.max / 10.0) || fits(best);
            if best.is_some_and(enough) || qry.probe_waves >= MAX_PROBE_WAVES {
                // The load found, as a multiple of the maximum: the next queries may be rejected for it
                // without a probe.
                let found_load =
                    best.filter(|at| at.probe_in_flight.is_none()).map(|at| at.load() / at.max.max(1e-9));
                self.probed_load =
                    found_load.map_or(self.probed_load, |load| (now_us, load.min(OVERLOAD_FACTOR * 2.0)));
                return found_load.is_some() || best.is_none();
            }
            let fit = |at: &u32| {
                let backend = &self.fleet[at];
                let worth_it = best.is_none_or(|best| self.placement_cost(qry, backend) < best.load());
                worth_it
                    && backend.probed_work < backend.max * OVERLOAD_FACTOR
                    && !qry.probed.contains(at)
                    && usable(&backend)
            };
            let (kind, bound) = (qry.kind, qry.binding_execution().is_some());
            let group = || self.groups[kind].iter().map(|member| member.backend).collect();
            let (next_wave, from): (u32, Vec<u32>) = match qry.probe_waves {
                _ if bound => (MAX_PROBE_WAVES, self.fleet.keys().copied().filter(fit).collect()),
                0 if qry.load <= TYPE_LOADS[3] => (1, group()),
                0 | 1 => (2, group()),
                2 => (3, self.subset.clone()),
                _ => (MAX_PROBE_WAVES, self.remote_subset.clone()),
            };
            let mut chosen: Vec<u32> = Vec::new();
            if next_wave == 1 {
                let may: Vec<u32> = from.into_iter().filter(fit).collect();
                chosen.extend(self.rotate(kind, &may));
            } else {
                let mut rng = self.rng.clone();
                for _ in 0..if from.is_empty() { 0 } else { PROBES_PER_WAVE * 4 } {
                    let at = from[rng.usize(..from.len())];
                    let drawn = rng.f64() * self.max_weight <= self.fleet[&at].listed.weight;
                    if drawn && chosen.len() < PROBES_PER_WAVE && !chosen.contains(&at) && fit(&at) {
                        chosen.push(at);
                    }
                }
                self.rng = rng;
            }
            chosen.iter().for_each(|at| self.probe(*at, now_us, writer));
            let qry = self.queries.get_mut(id).expect("waiting queries are open");
            qry.probe_waves = next_wave;
            qry.probed.extend(chosen);
        }
    }

    /// Probes a backend, unless a probe is pending there that doesn't count as lost.
    fn probe(&mut self, id: u32, now_us: u64, writer: &mut dyn Writer) {
        let backend = self.fleet.get_mut(&id).expect("only listed backends are probed");
        if backend.probe_in_flight.is_none_or(|(sent_us, _)| now_us > sent_us + PROBE_LOST_AFTER_US) {
            backend.probe_in_flight = Some((now_us, self.last_serial + 1));
            writer.probe(id);
        }
    }

    /// Chooses a backend for a query, or for a hedged request if `second`.
    fn choose(&mut self, id: &str, now_us: u64, second: bool, writer: &mut dyn Writer) -> Option<u32> {
        if self.inferred_overload(now_us) {
            return None;
        }
        let probes = self.deployment.probes && !second;
        if probes && !self.probe_candidates(id, now_us, writer) {
            return None;
        }
        let mut rng = self.rng.fork();
        let qry = &self.queries[id];
        // The less important the query, the lower the probed load up to which it is placed.
        let acceptable =
            |at: &Backend| at.load() <= (at.max * OVERLOAD_FACTOR * qry.importance).max(ALWAYS_ACCEPTED_LOAD);
        let probe_answered = |at: &Backend| {
            qry.probed.contains(&at.listed.backend) && at.probe_in_flight.is_none() && acceptable(at)
        };
        let usable = |at: &Backend| (!probes || probe_answered(at)) && self.usable(qry, at, now_us);
        let (kind, tail) = (qry.kind, qry.load > TYPE_LOADS[3]);
        let (mut load, mut max) = (0.0, 0.0);
        let mut own = Vec::new();
        for member in &self.groups[kind] {
            let backend = &self.fleet[&member.backend];
            if usable(backend) {
                (load, max) = (load + backend.load(), max + backend.max);
                own.push(member.backend);
            }
        }
        // The rotation would send a long-tail query to the slowest backend as readily as to the fastest.
        if load <= max / 10.0 && !own.is_empty() && !tail && !probes {
            return self.rotate(kind, &own);
        }
        // A long-tail query exceeds every maximum: it fits where it would end within its SLO time.
        let left_us = qry.slo_remaining_us(now_us) as f64;
        let (load, work, overload_allowance) = (qry.load, qry.work, 1.0 + qry.importance);
        let fits = |at: &Backend| match tail {
            true => at.load() < at.max && at.work() + work <= at.pace * left_us,
            false => {
                at.idle() && at.probed_work <= 0.0 && work <= at.pace * left_us || at.load() + load <= at.max
            }
        };
        // More important queries may exceed the maximum further; the others wait here, where they can still
        // be rejected.
        let within_allowance =
            |backend: &Backend| !second && backend.load() < backend.max * overload_allowance;
        let mut best_fit = |among: &[u32], takes: &dyn Fn(&Backend) -> bool| {
            let (mut best, mut most, mut ties) = (None, f64::NEG_INFINITY, 0);
            for (id, backend) in among.iter().map(|id| (id, &self.fleet[id])).filter(|of| takes(of.1)) {
                let (toll, ahead) = (self.placement_cost(qry, backend), backend.work() + work);
                let room =
                    if tail { -(ahead + toll) / backend.pace } else { backend.spare_capacity() - toll };
                ties = if room == most { ties + 1 } else { 1 };
                if room > most || room == most && rng.u32(0..ties) == 0 {
                    (best, most) = (Some(*id), room);
                }
            }
            best
        };
        // The deduplication group of a query that may have run may lie outside the subset.
        let mut all = match qry.binding_execution() {
            _ if probes => qry.probed.clone(),
            Some(_) => self.fleet.keys().copied().collect(),
            None => self.subset.clone(),
        };
        all.retain(|id| usable(&self.fleet[id]));
        let first = best_fit(&own, &fits).or_else(|| best_fit(&all, &fits));
        first.or_else(|| best_fit(&own, &within_allowance)).or_else(|| best_fit(&all, &within_allowance))
    }

    /// Sends an execution of a query to a backend.
    fn execute(&mut self, qry: &str, id: u32, now_us: u64, writer: &mut dyn Writer) {
        self.last_serial += 1;
        let qry = self.queries.get_mut(qry).expect("placed queries are open");
        let backend = self.fleet.get_mut(&id).expect("only listed backends are used");
        if backend.warmup_factor(&self.cold, now_us) < 1.0 {
            backend.cold_sent.retain(|sent| sent.0 + self.cold.window_us >= now_us);
            backend.cold_sent.push_back((now_us, qry.work));
        }
        let (ahead, notifies_peers) = (backend.work() + qry.work, self.deployment.peers);
        backend
            .executions
            .insert(self.last_serial, InFlightExecution::new(qry, now_us, ahead, notifies_peers));
        let expected_us = (ahead / backend.pace.max(1e-9)) as u64;
        let timeout_us = qry.timeout_us(now_us, self.deployment.clocks.deadline_us);
        writer.execute(&qry.id, id, timeout_us, qry.dedup_left_us(&self.workloads, now_us));
        qry.executions.push(Execution::new(id, self.last_serial, now_us, expected_us));
        backend.notify_peers(notifies_peers, writer);
    }

    /// Places the waiting queries, in order, and gives up those that have no chance left.
    fn place_waiting(&mut self, now_us: u64, writer: &mut dyn Writer) {
        let mut full = false;
        for entry in self.waiting.clone() {
            let qry = &self.queries[&entry.2];
            let last_chance = self.subset.is_empty() || qry.remaining_us(now_us) <= 2 * SWEEP_INTERVAL_US;
            let (bound, on_time) = (qry.binding_execution().is_some(), qry.remaining_us(now_us) > 0);
            let chosen = if full || !on_time { None } else { self.choose(&entry.2, now_us, false, writer) };
            if let Some(id) = chosen {
                self.waiting.remove(&entry);
                self.execute(&entry.2, id, now_us, writer);
            } else if last_chance || self.queries[&entry.2].probing_done(&self.fleet) {
                self.give_up(&entry.2, writer);
            }
            // If an unrestricted query finds no room, neither will the less important ones after it.
            full |= chosen.is_none() && !bound && !self.deployment.probes;
        }
    }

    /// Immediately sends the final answer to a query that gets no further execution.
    fn give_up(&mut self, id: &str, writer: &mut dyn Writer) {
        let wait_us = self.expected_wait_us(Reverse(0)) as u64;
        let qry = &self.queries[id];
        let workload = &self.workloads[qry.workload];
        let all = workload.repeat == Repeat::Deduplicated && workload.group == DedupGroup::All;
        let retry_harmless =
            qry.binding_execution().is_none() || workload.repeat == Repeat::Idempotent || all;
        match retry_harmless {
            true => writer.reject(&qry.id, wait_us.max(self.target_us as u64).min(qry.limits.max_backoff_us)),
            false => writer.abort(&qry.id),
        }
        self.close(id, writer);
    }

    /// Records an outcome and ejects a backend whose recent outcomes are bad and twice as bad as the others'.
    /// If all fail alike no single backend is at fault; at most about a third of the subset is ejected.
    fn update_health(&mut self, id: u32, success: bool, now_us: u64) {
        let backend = self.fleet.get_mut(&id).expect("only listed backends are used");
        backend.failures = backend.failures << 1 | u8::from(!success);
        // For a backend removed from a list that isn't binding, outcomes decide: a success raises its use by
        // one step, a failure lowers it.
        let dropped = backend.phase_out_steps > 0;
        if dropped {
            backend.phase_out_steps = if success {
                (backend.phase_out_steps + 1).min(PHASE_OUT_STEPS)
            } else {
                backend.phase_out_steps - 1
            };
        }
        if success {
            (backend.ejection_us, backend.ejected_until_us) = (0, 0);
            return;
        }
        if dropped && backend.phase_out_steps == 0 {
            return self.remove_gone();
        }
        let recent = |backend: &Backend| backend.failures.count_ones();
        let shut = self.subset_backends().filter(|backend| backend.ejection_us > 0).count() as u32;
        let (ready, all): (u32, u32) = (self.subset.len() as u32, self.subset_backends().map(recent).sum());
        let backend = self.fleet.get_mut(&id).expect("only listed backends are used");
        // Probing proxies see few outcomes, so one failure counts like three elsewhere, and for longer.
        let (least, rest_us) = if self.deployment.probes { (1, 2_000_000) } else { (3, 500_000) };
        let worse = recent(backend) >= least && recent(backend) * ready >= 2 * all && shut * 3 < ready;
        if backend.ejection_us > 0 || worse {
            backend.ejection_us = (backend.ejection_us * 2).clamp(rest_us, rest_us * 8);
            backend.ejected_until_us = now_us + backend.ejection_us;
            backend.failures = 0;
        }
    }

    /// Periodic work: decays estimates, gives up queries that have waited too long, and sends hedged
    /// requests.
    fn sweep(&mut self, now_us: u64, writer: &mut dyn Writer) {
        if now_us >= self.next_decay_us {
            self.next_decay_us = now_us + MAXIMA_INTERVAL_US;
            // Old paces decay without new outcomes; otherwise a backend that was slow once would stay unused.
            self.fleet.values_mut().for_each(|backend| backend.decay_paces(now_us, 5_000_000));
            self.execution_limit =
                (self.execution_limit * LIMIT_RECOVERY_FACTOR).min(EXECUTION_LIMIT_REPORTED);
        }
        self.find_late(now_us);
        // After half the SLO time in the queue too little is left for the execution: a prompt rejection is
        // better.
        let waiting = self.waiting.iter().map(|entry| &self.queries[&entry.2]);
        let stale = waiting.filter(|qry| now_us > qry.arrived_us + qry.slo_us / 2);
        // Where clocks differ, time-outs exceed the time in which an answer is worth anything, so its end is
        // checked here.
        let ended = self
            .queries
            .values()
            .filter(|qry| !qry.finished && qry.has_in_flight() && qry.remaining_us(now_us) == 0);
        let ended = ended.filter(|_| self.deployment.clocks.deadline_us > 0);
        // A query that blocks its backend would be late in any case, as would those queued behind it.
        let holds: Vec<bool> = (0..self.failure_rates.len()).map(|of| self.suspect_workload(of).1).collect();
        let late = |qry: &&Query| {
            !qry.finished && holds[qry.workload] && qry.executions.iter().any(|at| at.in_flight && at.late)
        };
        let late = self.queries.values().filter(late);
        for id in stale.chain(ended).chain(late).map(|qry| qry.id.clone()).collect::<BTreeSet<String>>() {
            self.give_up(&id, writer);
        }
        // Hedged requests are sent only if the backend is slow relative to the others, not if all are slow,
        // and within a retry budget that overload exhausts at once, so that further executions don't amplify
        // it. Where executions may not run concurrently, a lost one is cancelled first; an answered probe
        // shows that it was overtaken.
        let mean_pace = mean_or(self.subset_backends().map(|backend| backend.pace), 0.0);
        let late = |qry: &Query| {
            let (executions, may_duplicate) = (qry.executions.len(), qry.limits.may_duplicate);
            let exec = qry.executions.last().filter(|exec| exec.in_flight && !exec.cancel_sent)?;
            let once = self.workloads[qry.workload].repeat == Repeat::NonIdempotent;
            let may = if may_duplicate {
                executions == 1
            } else {
                self.deployment.probes && qry.limits.cancel && !once
            };
            // After the deadline there is none: the time-out is about to arrive here.
            let late_us = exec.sent_us + (2 * exec.expected_duration_us).max(qry.slo_us / 3);
            let may = may && !self.suspect_workload(qry.workload).0;
            let due = may && !qry.finished && qry.may_retry(now_us) && now_us > late_us;
            due.then(|| (qry.id.clone(), exec.backend, exec.serial, may_duplicate))
        };
        for (id, at, serial, may_duplicate) in self.queries.values().filter_map(late).collect::<Vec<_>>() {
            let backend = &self.fleet[&at];
            let lost = backend.executions.get(&serial).is_some_and(|exec| exec.lost);
            let send_hedge = may_duplicate && (lost || backend.pace * 2.0 < mean_pace);
            if self.retry_budget < 1.0 {
                break;
            } else if !may_duplicate && lost {
                let qry = self.queries.get_mut(&id).expect("late queries are open");
                writer.cancel(&id, qry.executions.len() as u32 - 1);
                qry.executions.last_mut().expect("a late query has an execution").cancel_sent = true;
            } else if !may_duplicate && backend.last_completed_serial <= serial {
                self.probe(at, now_us, writer);
            } else if let Some(to) = send_hedge.then(|| self.choose(&id, now_us, true, writer)).flatten() {
                self.retry_budget -= 1.0;
                self.execute(&id, to, now_us, writer);
            }
        }
    }
}

impl Inbox<'_> {
    /// A query has arrived, with the remaining time of its client and an optional cost hint; `is_retry` marks
    /// one that its client has sent before. Fails if the workload does not exist.
    pub fn query(
        &mut self,
        id: &str,
        workload: usize,
        tenant: usize,
        ttl_us: u64,
        hint_us: Option<u64>,
        is_retry: bool,
    ) -> Result<(), String> {
        let b = &mut *self.balancer;
        let settings = b.workloads.get(workload).ok_or_else(|| format!("unknown workload {workload}"))?;
        let (slo_us, tardy) = (settings.slo_us, settings.tardy_importance);
        let mut importance = settings.importance / b.max_importance;
        if !b.tenants.get_mut(tenant).is_none_or(|share| share.try_take(self.now_us)) {
            importance *= b.tenants[tenant].over_quota_importance;
        }
        hint_us.into_iter().for_each(|hint_us| b.record_hint(hint_us as f64));
        let units = hint_us.filter(|_| b.unit_us > 0.0).map(|hint_us| hint_us as f64 / b.unit_us);
        let kind = TYPE_CUTOFFS.iter().filter(|cut| units.is_some_and(|units| units >= **cut)).count();
        // The exception for long tails: above the heaviest type's value, the hint itself is the load.
        let load = units.filter(|_| kind == 3).map_or(TYPE_LOADS[kind], |units| units.max(TYPE_LOADS[3]));
        b.traffic[kind] += load;
        // Some queries can't end in time even on the fastest backend: they would only keep it from the
        // others.
        let fastest = b.speeds.at(0.9).filter(|_| b.speeds.len() >= MIN_SPEED_SAMPLES);
        let fastest_duration_us =
            hint_us.zip(fastest).map_or(0.0, |(hint, fastest)| hint as f64 * 1e3 / fastest);
        if fastest_duration_us > slo_us as f64 {
            importance *= tardy;
        }
        // A late answer earns nothing, so its execution would only occupy a backend. Probing proxies move it
        // instead.
        let late = tardy <= 0.0 && !b.deployment.probes && b.limits.max_backoff_us > 0;
        b.retry_budget = (b.retry_budget + 0.1).min(20.0);
        let mut qry = Query::new(id, b.last_serial + 1, workload, self.now_us, b.limits);
        (qry.kind, qry.load, qry.work) = (kind, load, units.unwrap_or(load));
        (qry.slo_us, qry.importance) = (slo_us, importance);
        qry.set_deadline(ttl_us, b.deployment.clocks.deadline_us, late);
        // A query that would only wait for a response buffer is rejected, with a back-off until one is free.
        let buffers_full = b.buffer_state.until_us > qry.deadline_us;
        let (left_us, place) = (qry.remaining_us(self.now_us), qry.queue_key());
        b.admit(qry);
        // Rejects with a probability that rises from 0 at an expected wait of 0.02 of the SLO time to 1 at
        // 0.12; for the less important the expected wait is longer.
        let rejection_probability = if b.deployment.probes {
            let age_us = self.now_us.saturating_sub(b.probed_load.0) as f64;
            let strain = b.probed_load.1 * (1.0 - age_us / PROBED_LOAD_TTL_US).max(0.0);
            strain / (OVERLOAD_FACTOR * importance.max(1e-9)) - 0.9
        } else {
            (b.expected_wait_us(place.0) / slo_us.max(1) as f64 - 0.02) / 0.1
        };
        let (suspect, blocks) = b.suspect_workload(workload);
        let paused = self.now_us < b.failure_rates[workload].paused_until_us;
        let blocked = blocks
            && (paused || b.queries.values().any(|qry| qry.workload == workload && qry.has_in_flight()));
        // Clients also retry queries that crash or hang every backend that takes them, so a suspect one isn't
        // executed again.
        if fastest_duration_us > left_us as f64
            || is_retry && suspect
            || blocked
            || buffers_full
            || b.rng.f64() < rejection_probability
        {
            b.give_up(id, self.writer);
        } else {
            b.waiting.insert(place);
        }
        Ok(())
    }

    /// An execution has ended; `over` if no further execution is needed.
    pub fn outcome(
        &mut self,
        id: &str,
        execution: u32,
        ended: Ended,
        took_us: u64,
        over: bool,
        report: Option<LoadReport>,
    ) {
        let (b, now_us) = (&mut *self.balancer, self.now_us);
        let Some(qry) = b.queries.get_mut(id) else { return };
        let spent = qry.remaining_us(now_us) == 0;
        let Some(exec) = qry.executions.get_mut(execution as usize).filter(|exec| exec.in_flight) else {
            return;
        };
        let backend = b.fleet.get_mut(&exec.backend).expect("only listed backends are used");
        // Where clocks differ, the client's deadline may pass earlier than assumed here, which is not the
        // backend's fault. A cancellation at the end of the query's worth counts as the time-out that it
        // replaced.
        let error_us = b.deployment.clocks.deadline_us;
        let cut = error_us > 0 && matches!(ended, Ended::TimedOut | Ended::NotSent);
        let cut = cut && now_us + SWEEP_INTERVAL_US < qry.longest_us;
        // Nor is it the backend's fault if the response buffers here were full; the time taken then says
        // nothing of its pace.
        let delayed_by_buffers = b.buffer_state.last_full_us > exec.sent_us;
        qry.deadline_us = if cut { qry.deadline_us.min(now_us) } else { qry.deadline_us };
        let gone = error_us > 0 && ended == Ended::Cancelled && spent;
        let ended = if gone { Ended::TimedOut } else { ended };
        // A backend whose clock is ahead treats a query as expired that is still in time here: that isn't
        // overload.
        let by_clock = qry.longest_us.saturating_sub(now_us) < error_us * 2 && backend.load() < backend.max;
        // A backend that drops all its executions has died: it returns cold, whatever the list says so far.
        let dropped = ended == Ended::Dropped && !over && backend.listed.phase == Phase::Ready;
        let (backend_died, execution_count) = (
            dropped && backend.record_drop(now_us),
            (backend.execution_count() + DEATH_DROPS as usize) as f64,
        );
        if backend_died && backend.since_us + b.cold.window_us < now_us {
            backend.mark_dead(now_us);
        }
        exec.in_flight = false;
        exec.may_have_run = !matches!(ended, Ended::Rejected | Ended::Unreachable | Ended::NotSent);
        let removed = backend.executions.remove(&exec.serial);
        backend.notify_peers(removed.as_ref().is_some_and(|removed| removed.notifies_peers), self.writer);
        backend.record_report(report.unwrap_or_default());
        report
            .and_then(|report| report.in_flight)
            .into_iter()
            .for_each(|count| b.reported_in_flight.add(count, 64));
        let completed = ended == Ended::Completed;
        let counts = completed || matches!(ended, Ended::TimedOut | Ended::Dropped | Ended::Errored);
        b.buffer_state.last_response_us = if completed { now_us } else { b.buffer_state.last_response_us };
        if counts && !exec.late && !delayed_by_buffers {
            b.failure_rates[qry.workload].ended(completed, now_us + qry.slo_us * 4);
        }
        let informative = completed || ended == Ended::TimedOut && !b.deployment.probes;
        if let Some(removed) = removed.filter(|_| informative && !delayed_by_buffers) {
            backend.record_pace(removed.work_at_send / took_us.max(1) as f64, 16, now_us);
            // Time beyond the execution's own work was spent on other proxies' load: pause, so that all
            // proxies take turns.
            let alone_us = b.speeds.at(0.9).map_or(0.0, |fastest| removed.work * b.unit_us * 1e3 / fastest);
            let extra_us = (took_us as f64 - alone_us - b.target_us).clamp(0.0, 1e6);
            let sharers_above_target = backend.sharing_peers.len().saturating_sub(PROXIES_PER_BACKEND) as f64;
            backend.cooldown = (now_us, extra_us * sharers_above_target / 2.0);
        }
        if ended == Ended::Unreachable || ended == Ended::Rejected && !by_clock {
            // The backend itself says that it is full; since it answers at once, it would otherwise appear to
            // have the most spare capacity.
            backend.ejected_until_us = backend.ejected_until_us.max(now_us + 2 * b.target_us as u64);
        }
        let lost = b.deployment.probes && (ended == Ended::TimedOut || exec.cancel_sent);
        backend.failures = backend.failures << u8::from(lost) | u8::from(lost);
        backend.last_completed_serial =
            backend.last_completed_serial.max(if completed { exec.serial } else { 0 });
        if completed && b.unit_us > 0.0 {
            b.speeds.record(qry.work * b.unit_us * 1e3 / took_us.max(1) as f64, 256);
        }
        let (backend_id, closed, still_in_flight) = (exec.backend, over || qry.finished, qry.has_in_flight());
        (qry.probe_waves, qry.probed) = (0, Vec::new());
        let no_verdict = matches!(ended, Ended::Cancelled | Ended::NotSent | Ended::Rejected | Ended::Stale);
        if !(lost || cut || no_verdict || delayed_by_buffers && ended == Ended::TimedOut) {
            b.update_health(backend_id, completed, now_us);
        }
        if backend_died {
            b.lower_execution_limit(Some(execution_count));
        }
        if closed {
            b.close(id, self.writer);
        } else if !still_in_flight {
            let qry = &b.queries[id];
            // An execution that reached no backend, or hardly did, loads none and costs no retry budget.
            let rejected_while_probing = b.deployment.probes && ended == Ended::Rejected;
            let retry_cost = if rejected_while_probing || matches!(ended, Ended::Unreachable | Ended::Stale) {
                0.0
            } else {
                1.0
            };
            let first_retry = qry.executions.len() < 2 && qry.importance >= 1.0;
            let more = qry.may_retry(now_us)
                && (first_retry || !b.suspect_workload(qry.workload).0)
                && b.retry_budget >= retry_cost
                && b.fleet
                    .values()
                    .any(|other| other.ready() && b.repeat_allowed(qry, &other.listed, now_us));
            if more {
                b.retry_budget -= retry_cost;
                b.waiting.insert(qry.queue_key());
            } else {
                b.give_up(id, self.writer);
            }
        }
    }

    /// A probe has ended: the time it waited, or the executions that the backend reports, give the load
    /// there.
    pub fn probe_outcome(&mut self, id: u32, ended: Ended, took_us: u64, report: Option<LoadReport>) {
        let (b, now_us) = (&mut *self.balancer, self.now_us);
        let Some(backend) = b.fleet.get_mut(&id).filter(|backend| backend.probe_in_flight.is_some()) else {
            return;
        };
        b.fastest_probe_us =
            if ended == Ended::Completed { b.fastest_probe_us.min(took_us) } else { b.fastest_probe_us };
        // A backend that rejects probes is assumed to be well above its maximum, one that does not answer
        // even further.
        let maxima = if ended == Ended::Rejected { 4.0 } else { 8.0 };
        let silent = (ended != Ended::Completed).then_some(maxima * backend.max);
        let waited_us = took_us.saturating_sub(b.fastest_probe_us);
        backend.record_probe(now_us, waited_us, report.unwrap_or_default(), TYPE_LOADS[1], silent);
        let errors = report.and_then(|report| report.errors_per_s);
        let error_rate_high = errors.is_some_and(|errors| errors * TYPE_LOADS[1] > backend.pace * 1e6 / 16.0);
        if error_rate_high || matches!(ended, Ended::TimedOut | Ended::Unreachable | Ended::Dropped) {
            b.update_health(id, false, now_us);
        }
    }

    /// The call to discovery has failed: requests the list again after a jittered wait, as `retry`
    /// determines.
    pub fn list_failed(&mut self, failure: Failure) {
        let b = &mut *self.balancer;
        self.writer.wake(b.rng.u64(b.retry.failed(failure)), "ask");
    }

    /// Entries of the list of backends have arrived: the complete list if `complete`, else the changed ones.
    pub fn list(&mut self, complete: bool, items: &[Listed]) {
        // Arcs are cut from the complete list: where there are any, a backend that leaves moves them all.
        let b = &mut *self.balancer;
        // Probes show the load of other proxies: with few proxies, each knows a large part of the load
        // itself.
        b.deployment.probes &= b.first_list_us > 0 || b.proxy_count > items.len();
        let (added, removed, executions) = b.listed(complete, items, self.now_us);
        b.lower_execution_limit(executions);
        if added || removed && b.proxy_count > PROXIES_PER_BACKEND || b.groups.iter().any(Vec::is_empty) {
            b.regroup_us = self.now_us;
        }
    }
}
