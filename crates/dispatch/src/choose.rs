//! The choice: the type's group, its rotation while it is light, else the best fit; kept parts first of all.

use crate::admission::refused;
use crate::backend::Backend;
use crate::dispatcher::Dispatcher;
use crate::fit::{shared, Expected, Fit};
use crate::interface::*;
use crate::kinds::Kind;
use std::time::Duration;

/// Candidates weighed for one request: of the own zone, and of all.
const CANDIDATES: usize = 16;
/// When to come again where this gateway's connections are all in use.
const CONNECTIONS_RETRY: Duration = Duration::from_millis(250);

/// The backends that are weighed for one request.
struct Candidates {
    keys: Vec<BackendKey>,
    /// Where the group's of all zones begin.
    far: usize,
    /// Where those outside the group begin.
    foreign: usize,
}

/// A backend and what the request would meet there.
#[derive(Clone, Copy)]
struct Found {
    key: BackendKey,
    expected: Expected,
}

impl Dispatcher {
    /// The backend for a request, or why there is none.
    pub fn choose(&mut self, now: Now, request: &DispatchRequest) -> Choice {
        let Some(index) = self.service_index(request.service) else { return Choice::NoBackend };
        if self.services[index].groups.due(now) {
            self.rebuild(now, index);
        }
        let kind = self.services[index].kind(request);
        let part = shared(request).last().filter(|_| request.route.sticky).map(|part| part.id);
        let drawn = self.rng.u64(..);
        let candidates = self.candidates(index, kind, part.unwrap_or(drawn));
        let light = part.is_none() && self.light(now, index, &candidates);
        let rotated = if light { self.rotated(now, index, kind, request) } else { None };
        let found = rotated.or_else(|| self.best(now, index, request, &candidates, part));
        let Some(found) = found else { return self.none(request, &candidates) };
        self.answer(now, index, request, found, part)
    }

    fn candidates(&self, index: usize, kind: Kind, key: u64) -> Candidates {
        let groups = &self.services[index].groups;
        let mut keys = Vec::with_capacity(4 * CANDIDATES);
        groups.of(kind).near.candidates(key, CANDIDATES, &mut keys);
        let far = keys.len();
        groups.of(kind).all.candidates(key, CANDIDATES, &mut keys);
        let foreign = keys.len();
        if groups.of(kind).all.len() < groups.whole.all.len() {
            groups.whole.near.candidates(key, CANDIDATES, &mut keys);
            groups.whole.all.candidates(key, CANDIDATES, &mut keys);
        }
        Candidates { keys, far, foreign }
    }

    /// Whether the group's mean load is at most a tenth of its mean maximum.
    fn light(&self, now: Now, index: usize, candidates: &Candidates) -> bool {
        let value = self.services[index].mean_value;
        let group = candidates.keys[..candidates.foreign].iter().filter_map(|key| self.backend(*key));
        let (load, max) = group.fold((0.0, 0.0), |(load, max), backend| {
            (load + backend.load_units(now, value), max + backend.max_units(now, value))
        });
        load <= max * self.settings.weights.light
    }

    fn usable(&self, key: BackendKey, request: &DispatchRequest, bound: u32) -> Option<&Backend> {
        let backend = self.backend(key)?;
        (backend.in_flight < bound && !request.tried.contains(&key)).then_some(backend)
    }

    /// The next of a light group, of its own zone's members where one of them may be used.
    fn rotated(&mut self, now: Now, index: usize, kind: Kind, request: &DispatchRequest) -> Option<Found> {
        let bound = self.services[index].conns_bound(self.gateways);
        let repeatable = request.route.repeatable;
        let usable = |key: BackendKey| {
            let backend = self.usable(key, request, bound).filter(|backend| backend.open(now, repeatable));
            backend.is_some_and(|backend| backend.silence_ms(now) <= 0.0)
        };
        let group = self.services[index].groups.of(kind);
        let mut turns = group.turns;
        let near = turns.near.next(group.near.points(), usable);
        let key = near.or_else(|| turns.all.next(group.all.points(), usable))?;
        let fit = Fit::new(now, request, &self.services[index], &self.settings.weights, None);
        let expected = fit.expected(self.backend(key)?, false);
        self.services[index].groups.of_mut(kind).turns = turns;
        Some(Found { key, expected })
    }

    /// The candidate that costs least; ties are drawn. Those that fail or are full only where no other is left.
    fn best(
        &mut self, now: Now, index: usize, request: &DispatchRequest, candidates: &Candidates,
        part: Option<u64>,
    ) -> Option<Found> {
        let bound = self.services[index].conns_bound(self.gateways);
        let last_used = part.and_then(|part| self.used(part));
        let mut rng = self.rng.fork();
        let fit = Fit::new(now, request, &self.services[index], &self.settings.weights, last_used);
        let foreign = self.settings.weights.foreign;
        for open in [true, false] {
            let mut best: Option<Found> = None;
            let mut ties = 1;
            for (place, key) in candidates.keys.iter().enumerate() {
                let Some(backend) = self.usable(*key, request, bound) else { continue };
                if open && !backend.open(now, request.route.repeatable) {
                    continue;
                }
                let first = part.is_some() && (place == 0 || place == candidates.far);
                let mut expected = fit.expected(backend, first);
                expected.cost += if place >= candidates.foreign { foreign } else { 0.0 };
                let least = best.map_or(f64::INFINITY, |best| best.expected.cost);
                let tied = expected.cost == least && best.is_some_and(|best| best.key != *key);
                if tied {
                    ties += 1;
                } else if expected.cost < least {
                    ties = 1;
                }
                if expected.cost < least || tied && rng.u32(0..ties) == 0 {
                    best = Some(Found { key: *key, expected });
                }
            }
            if best.is_some() {
                return best;
            }
        }
        None
    }

    fn none(&self, request: &DispatchRequest, candidates: &Candidates) -> Choice {
        if candidates.keys.iter().any(|key| self.usable(*key, request, u32::MAX).is_some()) {
            Choice::Full { retry_after: CONNECTIONS_RETRY }
        } else {
            Choice::NoBackend
        }
    }

    fn answer(
        &self, now: Now, index: usize, request: &DispatchRequest, found: Found, part: Option<u64>,
    ) -> Choice {
        let Some(backend) = self.backend(found.key) else { return Choice::NoBackend };
        let service = &self.services[index];
        let last_used = part.and_then(|part| self.used(part));
        let fit = Fit::new(now, request, service, &self.settings.weights, last_used);
        if let Some(retry_after) = refused(&fit, backend, &found.expected) {
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
