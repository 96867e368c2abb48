//! The choice: the type's group, its rotation while it is light, else the best fit; kept parts first of all.

use crate::admission::refused;
use crate::backend::Backend;
use crate::dispatcher::Dispatcher;
use crate::fit::{shared_prefix, CostModel, Estimate};
use crate::interface::*;
use crate::kinds::Kind;
use std::time::Duration;

/// Candidates weighed for one request: of the own zone, and of all.
const CANDIDATES: usize = 16;
/// When to come again where this gateway's connections are all in use.
const CONNECTIONS_RETRY: Duration = Duration::from_millis(250);

/// A backend that is weighed for a request.
#[derive(Clone, Copy)]
struct Candidate {
    key: BackendKey,
    /// The chance that it keeps shared parts that this gateway hasn't sent there.
    kept: f64,
    /// What it costs more than others, in shares of the request's worth.
    penalty: f64,
}

/// A backend and what the request would meet there.
#[derive(Clone, Copy)]
struct Found {
    key: BackendKey,
    estimate: Estimate,
}

impl Dispatcher {
    /// The backend for a request, or why there is none.
    pub fn choose(&mut self, now: Timestamp, request: &DispatchRequest) -> Choice {
        self.detect_stall(now);
        let Some(index) = self.service_index(request.service) else { return Choice::NoBackend };
        if self.services[index].groups.due(now) {
            self.regroup(now, index);
        }
        let kind = self.services[index].kind(request);
        let part = shared_prefix(request).last().filter(|_| request.route.sticky).map(|part| part.id);
        let drawn = self.rng.u64(..);
        // A part that stands alone may be the request's own and never come again.
        let shares = match (part, request.parts.len()) {
            (None, _) => 0.0,
            (_, 1) => 0.5,
            _ => 1.0,
        };
        let candidates = self.candidates(index, kind, part.unwrap_or(drawn), shares);
        let light = part.is_none() && self.light(now, index, &candidates);
        let rotated = if light { self.rotated(now, index, kind, request) } else { None };
        let found = rotated.or_else(|| self.best(now, index, request, &candidates, part));
        let Some(found) = found else { return self.none(request, &candidates) };
        self.answer(now, index, request, found, part)
    }

    /// The type's group before all others. A key's first backends, in the own zone and of all, are the same for
    /// all its requests but the heaviest, whatever their types: what they share is kept there.
    fn candidates(&self, index: usize, kind: Kind, key: u64, shares: f64) -> Vec<Candidate> {
        let groups = &self.services[index].groups;
        let (group, homes, whole) = (groups.of(kind), groups.homes(kind), &groups.whole);
        let weights = &self.settings.weights;
        let lists = [
            (&group.same_zone, 0.0, None),
            (&group.all, 0.0, None),
            (&homes.same_zone, 0.0, Some(weights.kept_near)),
            (&homes.all, 0.0, Some(weights.kept_at_first)),
            (&whole.same_zone, weights.foreign, None),
            (&whole.all, weights.foreign, None),
        ];
        let mut keys = Vec::with_capacity(CANDIDATES);
        let mut candidates: Vec<Candidate> = Vec::with_capacity(lists.len() * CANDIDATES);
        for (circle, penalty, kept) in lists {
            keys.clear();
            circle.candidates(key, CANDIDATES, &mut keys);
            for (rank, key) in keys.iter().enumerate() {
                let kept = if rank == 0 { kept.unwrap_or(0.0) * shares } else { 0.0 };
                // Lists come by rising penalty: what is there already stays.
                match candidates.iter_mut().find(|of| of.key == *key) {
                    Some(known) => known.kept = known.kept.max(kept),
                    None => candidates.push(Candidate { key: *key, kept, penalty }),
                }
            }
        }
        candidates
    }

    /// Whether the group's mean load is at most a tenth of its mean maximum.
    fn light(&self, now: Timestamp, index: usize, candidates: &[Candidate]) -> bool {
        let value = self.services[index].mean_load_units;
        let group = candidates.iter().filter(|of| of.penalty <= 0.0).filter_map(|of| self.backend(of.key));
        let (load, max) = group.fold((0.0, 0.0), |(load, max), backend| {
            (load + backend.load_units(now, value), max + backend.max_load_units(now, value))
        });
        load <= max * self.settings.weights.light
    }

    fn usable(&self, key: BackendKey, request: &DispatchRequest, bound: u32) -> Option<&Backend> {
        let backend = self.backend(key)?;
        (backend.in_flight < bound && !request.tried.contains(&key)).then_some(backend)
    }

    /// The next of a light group, of its own zone's members where one of them may be used.
    fn rotated(
        &mut self,
        now: Timestamp,
        index: usize,
        kind: Kind,
        request: &DispatchRequest,
    ) -> Option<Found> {
        let bound = self.services[index].max_connections_per_backend(self.gateways);
        let idempotent = request.route.idempotent;
        // Few load units may yet be long prompts: one that waits as long is not light.
        let bears_ms = request.route.slo.as_secs_f64() * 1e3 * self.settings.weights.light;
        let fit = CostModel::new(now, request, &self.services[index], &self.settings.weights, None);
        let usable = |key: BackendKey| {
            let backend = self.usable(key, request, bound).filter(|backend| backend.open(now, idempotent));
            backend.is_some_and(|backend| fit.estimate(backend, 0.0).wait_ms() <= bears_ms)
        };
        let group = self.services[index].groups.of(kind);
        let mut turns = group.turns;
        let same_zone = turns.same_zone.next(group.same_zone.points(), usable);
        let key = same_zone.or_else(|| turns.all.next(group.all.points(), usable))?;
        let estimate = fit.estimate(self.backend(key)?, 0.0);
        self.services[index].groups.of_mut(kind).turns = turns;
        Some(Found { key, estimate })
    }

    /// The candidate that costs least; ties are drawn. Those that fail or are full only where no other is left.
    fn best(
        &mut self,
        now: Timestamp,
        index: usize,
        request: &DispatchRequest,
        candidates: &[Candidate],
        part: Option<u64>,
    ) -> Option<Found> {
        let bound = self.services[index].max_connections_per_backend(self.gateways);
        let last_used = part.and_then(|part| self.last_prefix_use(part));
        let mut rng = self.rng.fork();
        let fit = CostModel::new(now, request, &self.services[index], &self.settings.weights, last_used);
        for open in [true, false] {
            let mut best: Option<Found> = None;
            let mut ties = 1;
            for candidate in candidates {
                let Some(backend) = self.usable(candidate.key, request, bound) else { continue };
                if open && !backend.open(now, request.route.idempotent) {
                    continue;
                }
                let mut estimate = fit.estimate(backend, candidate.kept);
                estimate.cost += candidate.penalty;
                let least = best.map_or(f64::INFINITY, |best| best.estimate.cost);
                let tied = estimate.cost == least && best.is_some_and(|best| best.key != candidate.key);
                if tied {
                    ties += 1;
                } else if estimate.cost < least {
                    ties = 1;
                }
                if estimate.cost < least || tied && rng.u32(0..ties) == 0 {
                    best = Some(Found { key: candidate.key, estimate });
                }
            }
            if best.is_some() {
                return best;
            }
        }
        None
    }

    fn none(&self, request: &DispatchRequest, candidates: &[Candidate]) -> Choice {
        if candidates.iter().any(|of| self.usable(of.key, request, u32::MAX).is_some()) {
            Choice::Full { retry_after: CONNECTIONS_RETRY }
        } else {
            Choice::NoBackend
        }
    }

    fn answer(
        &self,
        now: Timestamp,
        index: usize,
        request: &DispatchRequest,
        found: Found,
        part: Option<u64>,
    ) -> Choice {
        let Some(backend) = self.backend(found.key) else { return Choice::NoBackend };
        let service = &self.services[index];
        let last_used = part.and_then(|part| self.last_prefix_use(part));
        let fit = CostModel::new(now, request, service, &self.settings.weights, last_used);
        if let Some(retry_after) = refused(&fit, backend, &found.estimate) {
            return Choice::Full { retry_after };
        }
        Choice::Send(Target {
            backend: found.key,
            id: backend.view.id.clone(),
            address: backend.view.address,
            priority_header: service.is_engine().then_some(request.priority.min(9)),
        })
    }
}
