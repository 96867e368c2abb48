//! Backend selection: rotation within the type's group while it is lightly loaded, otherwise best fit over all
//! candidates. Requests with prefix affinity always use best fit.

use crate::admission::rejection_delay;
use crate::backend::Backend;
use crate::dispatcher::Dispatcher;
use crate::fit::{shared_prefix, CostModel, Estimate};
use crate::interface::*;
use crate::kinds::Kind;

/// The maximum number of candidates taken from each list.
const MAX_CANDIDATES: usize = 16;

/// A backend considered for a request.
#[derive(Clone, Copy)]
struct Candidate {
    key: BackendKey,
    /// The probability that it has cached shared parts that this gateway did not send there.
    cached_probability: f64,
    /// The additional cost, in objectives of delay.
    penalty: f64,
}

/// A selected backend with the estimate for the request.
#[derive(Clone, Copy)]
struct Selection {
    key: BackendKey,
    estimate: Estimate,
}

/// The part of the prompt by which a request with prefix affinity is routed.
fn affinity_part(request: &DispatchRequest) -> Option<u64> {
    shared_prefix(request).last().filter(|_| request.route.sticky).map(|part| part.id)
}

impl Dispatcher {
    /// Selects the backend for a request, or returns why none is available.
    pub fn choose(&mut self, now: Timestamp, request: &DispatchRequest) -> Choice {
        self.detect_stall(now);
        let Some(index) = self.service_index(request.service) else { return Choice::NoBackend };
        if self.services[index].groups.rebuild_due(now) {
            self.regroup(now, index);
        }
        let kind = self.services[index].kind(request);
        let part = affinity_part(request);
        let candidates = self.candidates_for(index, kind, request);
        let rotate =
            part.is_none() && request.restricted_to.is_none() && self.lightly_loaded(now, index, &candidates);
        let next_in_rotation = if rotate { self.next_in_rotation(now, index, kind, request) } else { None };
        let selection = next_in_rotation.or_else(|| self.best_fit(now, index, request, &candidates, part));
        let Some(selection) = selection else { return self.no_candidate(index, request, &candidates) };
        self.admit(now, index, request, selection, part)
    }

    /// Estimates, for 95 in 100 requests, when the backend that suits the request best answers it. If no backend may be
    /// used, the estimate is that of an unloaded one.
    pub fn expected_time(&mut self, now: Timestamp, request: &DispatchRequest) -> ExpectedTime {
        let Some(index) = self.service_index(request.service) else { return ExpectedTime::default() };
        let kind = self.services[index].kind(request);
        let candidates = self.candidates_for(index, kind, request);
        let selection = self.best_fit(now, index, request, &candidates, affinity_part(request));
        let service = &self.services[index];
        let unloaded = || CostModel::new(now, request, service, &self.settings.weights, false).unloaded_ms();
        let (first_event_ms, answer_ms) =
            selection.map_or_else(unloaded, |best| (best.estimate.first_event_ms, best.estimate.answer_ms));
        service.expected_time(now, request.priority, first_event_ms, answer_ms)
    }

    /// The candidates for a request: those that it is restricted to, or those that suit its type and its prompt.
    fn candidates_for(&mut self, index: usize, kind: Kind, request: &DispatchRequest) -> Vec<Candidate> {
        let random_key = self.rng.u64(..);
        let part = affinity_part(request);
        // A single part may be private to the request and never be repeated.
        let sharing_likelihood = match (part, request.parts.len()) {
            (None, _) => 0.0,
            (_, 1) => 0.5,
            _ => 1.0,
        };
        match request.restricted_to {
            Some(backends) => self.restricted_candidates(index, backends),
            None => self.candidates(index, kind, part.unwrap_or(random_key), sharing_likelihood),
        }
    }

    /// Collects the candidates, those of the type's group before all others. A key's home backends, one in this
    /// gateway's zone and one over all zones, are the same for all request types but the heaviest, so that requests
    /// with a common prefix share one cached copy.
    fn candidates(&self, index: usize, kind: Kind, key: u64, sharing_likelihood: f64) -> Vec<Candidate> {
        let groups = &self.services[index].groups;
        let (group, homes, all_backends) =
            (groups.group(kind), groups.home_group(kind), &groups.all_backends);
        let weights = &self.settings.weights;
        let lists = [
            (&group.same_zone, 0.0, None),
            (&group.all, 0.0, None),
            (&homes.same_zone, 0.0, Some(weights.same_zone_home_cached_probability)),
            (&homes.all, 0.0, Some(weights.home_cached_probability)),
            (&all_backends.same_zone, weights.outside_group_cost, None),
            (&all_backends.all, weights.outside_group_cost, None),
        ];
        let mut keys = Vec::with_capacity(MAX_CANDIDATES);
        let mut candidates: Vec<Candidate> = Vec::with_capacity(lists.len() * MAX_CANDIDATES);
        for (ring, penalty, cached_probability) in lists {
            keys.clear();
            ring.candidates(key, MAX_CANDIDATES, &mut keys);
            for (rank, key) in keys.iter().enumerate() {
                let cached_probability =
                    if rank == 0 { cached_probability.unwrap_or(0.0) * sharing_likelihood } else { 0.0 };
                // The lists are ordered by penalty, so an existing entry already has the lowest one.
                match candidates.iter_mut().find(|candidate| candidate.key == *key) {
                    Some(existing) => {
                        existing.cached_probability = existing.cached_probability.max(cached_probability)
                    }
                    None => candidates.push(Candidate { key: *key, cached_probability, penalty }),
                }
            }
        }
        candidates
    }

    /// Those of the given backends that may receive the service's requests.
    fn restricted_candidates(&self, index: usize, backends: &[BackendKey]) -> Vec<Candidate> {
        let service = &self.services[index].view.name;
        let may_receive = |key: &BackendKey| {
            self.backend(*key).is_some_and(|backend| {
                backend.gone_since.is_none()
                    && backend.view.service == *service
                    && matches!(backend.view.state, BackendState::Ready | BackendState::Silent)
            })
        };
        let eligible = backends.iter().copied().filter(may_receive);
        eligible.map(|key| Candidate { key, cached_probability: 0.0, penalty: 0.0 }).collect()
    }

    /// Whether the group's load is at most `Weights::light_load_threshold` (0.1 by default) of its capacity.
    fn lightly_loaded(&self, now: Timestamp, index: usize, candidates: &[Candidate]) -> bool {
        let value = self.services[index].mean_load_units;
        let group = candidates
            .iter()
            .filter(|candidate| candidate.penalty <= 0.0)
            .filter_map(|candidate| self.backend(candidate.key));
        let (load, max) = group.fold((0.0, 0.0), |(load, max), backend| {
            (load + backend.load_units(now, value), max + backend.max_load_units(now, value))
        });
        load <= max * self.settings.weights.light_load_threshold
    }

    /// The backend if it is below the connection limit and was not tried before.
    fn usable(&self, key: BackendKey, request: &DispatchRequest, max_in_flight: u32) -> Option<&Backend> {
        let backend = self.backend(key)?;
        (backend.in_flight < max_in_flight && !request.tried.contains(&key)).then_some(backend)
    }

    /// The next usable backend of a lightly loaded group, preferring this gateway's zone.
    fn next_in_rotation(
        &mut self,
        now: Timestamp,
        index: usize,
        kind: Kind,
        request: &DispatchRequest,
    ) -> Option<Selection> {
        let max_in_flight = self.services[index].max_connections_per_backend(self.gateways);
        let idempotent = request.route.idempotent;
        let cost_model = CostModel::new(now, request, &self.services[index], &self.settings.weights, false);
        let usable = |key: BackendKey| {
            let backend =
                self.usable(key, request, max_in_flight).filter(|backend| backend.open(now, idempotent));
            // Few load units can still mean long prompts: a backend is skipped where the request would wait for longer
            // than its own work takes.
            backend.is_some_and(|backend| {
                let estimate = cost_model.estimate(backend, 0.0);
                estimate.wait_ms() <= estimate.unloaded_ms
            })
        };
        let group = self.services[index].groups.group(kind);
        let mut rotations = group.rotations;
        let same_zone = rotations.same_zone.next(group.same_zone.entries(), usable);
        let key = same_zone.or_else(|| rotations.all.next(group.all.entries(), usable))?;
        let estimate = cost_model.estimate(self.backend(key)?, 0.0);
        self.services[index].groups.group_mut(kind).rotations = rotations;
        Some(Selection { key, estimate })
    }

    /// The candidate with the lowest cost; ties are broken at random. Ejected and refusing backends are used only if no
    /// other candidate is left.
    fn best_fit(
        &mut self,
        now: Timestamp,
        index: usize,
        request: &DispatchRequest,
        candidates: &[Candidate],
        part: Option<u64>,
    ) -> Option<Selection> {
        let max_in_flight = self.services[index].max_connections_per_backend(self.gateways);
        let prefix_used = part.is_some_and(|part| self.prefix_was_used(part));
        let mut rng = self.rng.fork();
        let cost_model =
            CostModel::new(now, request, &self.services[index], &self.settings.weights, prefix_used);
        for open in [true, false] {
            let mut best: Option<Selection> = None;
            let mut ties = 1;
            for candidate in candidates {
                let Some(backend) = self.usable(candidate.key, request, max_in_flight) else { continue };
                if open && !backend.open(now, request.route.idempotent) {
                    continue;
                }
                let mut estimate = cost_model.estimate(backend, candidate.cached_probability);
                estimate.cost += candidate.penalty;
                let min_cost = best.map_or(f64::INFINITY, |best| best.estimate.cost);
                let tied = estimate.cost == min_cost && best.is_some_and(|best| best.key != candidate.key);
                if tied {
                    ties += 1;
                } else if estimate.cost < min_cost {
                    ties = 1;
                }
                if estimate.cost < min_cost || tied && rng.u32(0..ties) == 0 {
                    best = Some(Selection { key: candidate.key, estimate });
                }
            }
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// The result if no candidate can be used: `Full` if only connection limits rule them out.
    fn no_candidate(&self, index: usize, request: &DispatchRequest, candidates: &[Candidate]) -> Choice {
        let usable = candidates.iter().filter_map(|candidate| self.usable(candidate.key, request, u32::MAX));
        let in_flight: u32 = usable.map(|backend| backend.in_flight).sum();
        if in_flight == 0 {
            return Choice::NoBackend;
        }
        // That many connections come free in the time that one attempt takes.
        Choice::Full { retry_after: self.services[index].mean_attempt_time() / in_flight }
    }

    /// Applies admission control to the selected backend.
    fn admit(
        &self,
        now: Timestamp,
        index: usize,
        request: &DispatchRequest,
        selection: Selection,
        part: Option<u64>,
    ) -> Choice {
        let Some(backend) = self.backend(selection.key) else { return Choice::NoBackend };
        let service = &self.services[index];
        let prefix_used = part.is_some_and(|part| self.prefix_was_used(part));
        let cost_model = CostModel::new(now, request, service, &self.settings.weights, prefix_used);
        if let Some(retry_after) = rejection_delay(&cost_model, self.gateways, backend, &selection.estimate) {
            return Choice::Full { retry_after };
        }
        let Estimate { first_event_ms, answer_ms, .. } = selection.estimate;
        Choice::Send(Target {
            backend: selection.key,
            id: backend.view.id.clone(),
            address: backend.view.address,
            priority_header: service.is_engine().then_some(request.priority.min(9)),
            expected: service.expected_time(now, request.priority, first_event_ms, answer_ms),
        })
    }
}
