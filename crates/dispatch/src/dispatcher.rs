//! The dispatcher: tracks backends, services and in-flight attempts.

use crate::attempts::{Attempt, Attempts};
use crate::backend::Backend;
use crate::fit::shared_prefix;
use crate::groups::Member;
use crate::hash::RingEntry;
use crate::health::Verdict;
use crate::interface::*;
use crate::service::Service;
use fastrand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The number of shared prefixes whose last use is tracked. Beyond it the older half is forgotten.
const MAX_TRACKED_PREFIXES: usize = 8192;
/// How long a backend is kept after the view dropped it, because requests may still refer to its key.
const BACKEND_RETENTION: Duration = Duration::from_secs(120);
/// A gap between calls after which this process is assumed to have been stalled, so that attempts in flight say
/// nothing about their backends.
const PROCESS_STALL: Duration = Duration::from_millis(1500);
/// The maximum number of peers averaged for the peer failure rate.
const MAX_SAMPLED_PEERS: usize = 64;

/// Selects a backend for each request from this gateway's own attempts, the load that backends report and the
/// responses it has received.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: DispatcherSettings,
    pub(crate) rng: Rng,
    pub(crate) gateways: usize,
    pub(crate) services: Vec<Service>,
    service_indices: HashMap<Arc<str>, u32>,
    pub(crate) backends: Vec<Option<Backend>>,
    keys: HashMap<Arc<str>, BackendKey>,
    free_indices: Vec<u32>,
    attempts: Attempts,
    /// When this gateway last sent each shared prefix (identified by its last part) to any backend.
    prefix_uses: HashMap<u64, Timestamp>,
    /// The time of the most recent call.
    last_call: Timestamp,
    /// The end of the most recent stall of this process.
    resumed_at: Timestamp,
}

impl Dispatcher {
    /// Creates a dispatcher without backends; `seed` initializes the random generator, which also breaks ties.
    pub fn new(settings: DispatcherSettings, seed: u64) -> Dispatcher {
        Dispatcher {
            settings,
            rng: Rng::with_seed(seed),
            gateways: 1,
            services: Vec::new(),
            service_indices: HashMap::new(),
            backends: Vec::new(),
            keys: HashMap::new(),
            free_indices: Vec::new(),
            attempts: Attempts::default(),
            prefix_uses: HashMap::new(),
            last_call: Timestamp::ZERO,
            resumed_at: Timestamp::ZERO,
        }
    }

    /// Applies a changed view of the fleet.
    pub fn update(&mut self, now: Timestamp, view: &FleetView) {
        self.gateways = view.gateways.max(1);
        view.services.iter().for_each(|service| self.upsert_service(service));
        for backend in self.backends.iter_mut().flatten() {
            backend.gone_since = backend.gone_since.or(Some(now));
        }
        view.backends.iter().for_each(|backend| self.upsert_backend(backend));
        self.remove_expired_backends(now);
        for service in 0..self.services.len() {
            let members = self.members(service);
            let fingerprint =
                members.iter().fold(0, |fingerprint: u64, member| fingerprint.wrapping_add(member.hash));
            if self.services[service].member_fingerprint != Some(fingerprint) {
                self.services[service].member_fingerprint = Some(fingerprint);
                self.rebuild_groups(now, service, members);
            }
        }
    }

    fn upsert_service(&mut self, view: &ServiceView) {
        match self.service_indices.get(&view.name) {
            Some(index) => self.services[*index as usize].view = view.clone(),
            None => {
                self.service_indices.insert(view.name.clone(), self.services.len() as u32);
                self.services.push(Service::new(view.clone()));
            }
        }
    }

    fn upsert_backend(&mut self, view: &BackendView) {
        let known = self.keys.get(&view.id).and_then(|key| self.backends.get_mut(key.0 as usize));
        if let Some(Some(backend)) = known {
            backend.gone_since = None;
            if backend.view != *view {
                backend.view = view.clone();
            }
            return;
        }
        let settings = &self.settings;
        let backend = Some(Backend::new(view.clone(), &settings.zone, &settings.weights));
        let index = self.free_indices.pop().unwrap_or(self.backends.len() as u32);
        match self.backends.get_mut(index as usize) {
            Some(slot) => *slot = backend,
            None => self.backends.push(backend),
        }
        self.keys.insert(view.id.clone(), BackendKey(index));
    }

    /// Drops backends whose retention has expired and that have no attempts in flight; their keys may be reused.
    fn remove_expired_backends(&mut self, now: Timestamp) {
        for (index, slot) in self.backends.iter_mut().enumerate() {
            let expired = |since: Timestamp| now.saturating_sub(since) >= BACKEND_RETENTION;
            let dropped =
                slot.take_if(|backend| backend.in_flight == 0 && backend.gone_since.is_some_and(expired));
            if let Some(backend) = dropped {
                self.keys.remove(&backend.view.id);
                self.free_indices.push(index as u32);
            }
        }
    }

    /// Rebuilds the groups of a service when its rebuild interval has elapsed.
    pub(crate) fn regroup(&mut self, now: Timestamp, service: usize) {
        let members = self.members(service);
        self.rebuild_groups(now, service, members);
    }

    fn rebuild_groups(&mut self, now: Timestamp, service: usize, members: Vec<Member>) {
        let start = self.rng.usize(..members.len().max(1));
        self.services[service].groups.rebuild(now, members, start);
    }

    /// The backends eligible for a service's requests.
    fn members(&self, service: usize) -> Vec<Member> {
        let ready = self.members_in_state(service, BackendState::Ready);
        if !ready.is_empty() {
            return ready;
        }
        // Without ready backends, fall back to silent ones: they may still serve.
        self.members_in_state(service, BackendState::Silent)
    }

    fn members_in_state(&self, service: usize, state: BackendState) -> Vec<Member> {
        let name = &self.services[service].view.name;
        let of_service = |backend: &Backend| {
            backend.gone_since.is_none() && backend.view.state == state && backend.view.service == *name
        };
        let known = self.backends.iter().enumerate();
        let known = known.filter_map(|(index, backend)| Some((index, backend.as_ref()?)));
        known
            .filter(|(_, backend)| of_service(backend))
            .map(|(index, backend)| Member {
                zone: backend.view.zone.clone(),
                hash: backend.hash,
                backend: BackendKey(index as u32),
                same_zone: backend.same_zone,
            })
            .collect()
    }

    pub(crate) fn service_index(&self, name: &str) -> Option<usize> {
        self.service_indices.get(name).map(|index| *index as usize)
    }

    /// Whether this gateway has sent a request whose shared prefix ends with this part, as far as it remembers.
    pub(crate) fn prefix_was_used(&self, part: u64) -> bool {
        self.prefix_uses.contains_key(&part)
    }

    pub(crate) fn backend(&self, key: BackendKey) -> Option<&Backend> {
        self.backends.get(key.0 as usize)?.as_ref()
    }

    /// The registration state of the backend `id`; `None` if it isn't known, or is gone.
    pub fn backend_state(&self, id: &str) -> Option<BackendState> {
        let backend = self.backend(*self.keys.get(id)?)?;
        backend.gone_since.is_none().then_some(backend.view.state)
    }

    /// Records the start of an attempt at a backend.
    pub fn begin(&mut self, now: Timestamp, key: BackendKey, request: &DispatchRequest) -> Ticket {
        self.detect_stall(now);
        let serial = self.attempts.next_serial();
        let index = self.service_indices.get(request.service).copied().unwrap_or(u32::MAX);
        let mut attempt = Attempt::new(serial, key, index, now);
        if let Some(service) = self.services.get_mut(index as usize) {
            let part = shared_prefix(request).last().map(|part| part.id);
            let prefix_used = part.is_some_and(|part| self.prefix_uses.contains_key(&part));
            let backend = self.backends.get_mut(key.0 as usize).and_then(Option::as_mut);
            let weights = &self.settings.weights;
            backend
                .into_iter()
                .for_each(|backend| attempt.start(service, backend, request, prefix_used, weights));
            part.into_iter().for_each(|part| self.record_prefix_use(now, part));
        }
        self.attempts.insert(attempt)
    }

    fn record_prefix_use(&mut self, now: Timestamp, part: u64) {
        self.prefix_uses.insert(part, now);
        if self.prefix_uses.len() > MAX_TRACKED_PREFIXES {
            let mut uses: Vec<Timestamp> = self.prefix_uses.values().copied().collect();
            let (_, median, _) = uses.select_nth_unstable(MAX_TRACKED_PREFIXES / 2);
            let median = *median;
            self.prefix_uses.retain(|_, used| *used > median);
        }
    }

    /// Records the response headers or, for a stream, the first event.
    pub fn first_event(&mut self, now: Timestamp, ticket: Ticket, load: Option<ReportedLoad>) {
        self.detect_stall(now);
        let Some(attempt) = self.attempts.get_mut(ticket).filter(|attempt| attempt.first_event_at.is_none())
        else {
            return;
        };
        attempt.first_event_at = Some(now);
        let Some(backend) = self.backends.get_mut(attempt.backend.0 as usize).and_then(Option::as_mut) else {
            return;
        };
        backend.record_activity(now);
        backend.remove_pending(attempt.serial);
        if let Some((load, service)) = load.zip(self.services.get(attempt.service as usize)) {
            backend.record_reported_load(now, load, service.mean_prefill_ms, service.baseline_wait_ms(now));
        }
    }

    /// Records a further event of a stream.
    pub fn event(&mut self, now: Timestamp, ticket: Ticket, _tokens: u32) {
        self.detect_stall(now);
        let Some(attempt) = self.attempts.get_mut(ticket) else { return };
        let backend = self.backends.get_mut(attempt.backend.0 as usize).and_then(Option::as_mut);
        if let Some((backend, service)) = backend.zip(self.services.get_mut(attempt.service as usize)) {
            backend.record_activity(now);
            attempt.record_latency(service, backend, &self.settings.weights);
        }
    }

    /// Records the end of an attempt. Later calls with the same ticket are ignored.
    pub fn end(&mut self, now: Timestamp, ticket: Ticket, outcome: Outcome) {
        self.detect_stall(now);
        let Some(mut attempt) = self.attempts.remove(ticket) else { return };
        let peer_failure_rate = if outcome == Outcome::Done { 0.0 } else { self.peer_failure_rate(&attempt) };
        let backend = self.backends.get_mut(attempt.backend.0 as usize).and_then(Option::as_mut);
        let Some((backend, service)) = backend.zip(self.services.get_mut(attempt.service as usize)) else {
            return;
        };
        backend.in_flight -= 1;
        backend.units -= attempt.units;
        backend.remove_pending(attempt.serial);
        let silence = backend.overdue_silence(now, attempt.began, attempt.expected_ms, self.resumed_at);
        let verdict = Verdict::classify(outcome, silence, backend.responded_recently(now));
        match outcome {
            Outcome::Done => {
                backend.record_activity(now);
                attempt.record_latency(service, backend, &self.settings.weights);
                attempt.record_answer(now, service);
            }
            Outcome::ClientGone | Outcome::TimedOut => attempt.record_abandoned(now, service),
            Outcome::Refused => backend.record_refusal(now),
            // The instance may be gone and its prefix cache with it.
            Outcome::NoConnection | Outcome::Misdirected => backend.prefix_cache.clear(),
            _ => {}
        }
        if backend.health.record_outcome(verdict, attempt.trial, peer_failure_rate) {
            self.eject(now, &attempt);
        }
    }

    /// Detects that this process was stalled, and then discounts the silence of all backends meanwhile.
    pub(crate) fn detect_stall(&mut self, now: Timestamp) {
        if now.saturating_sub(self.last_call) > PROCESS_STALL && !self.attempts.is_empty() {
            self.resumed_at = now;
            self.backends.iter_mut().flatten().for_each(|backend| backend.resume(now));
        }
        self.last_call = now;
    }

    /// The mean failure rate of the other backends of the same service.
    fn peer_failure_rate(&self, attempt: &Attempt) -> f64 {
        let Some(service) = self.services.get(attempt.service as usize) else { return 0.0 };
        let others =
            service.groups.all_backends.all.entries().iter().filter(|entry| entry.backend != attempt.backend);
        let rates = others.take(MAX_SAMPLED_PEERS).filter_map(|entry| self.backend(entry.backend));
        let (sum, count) = rates
            .fold((0.0, 0.0), |(sum, count), backend| (sum + backend.health.failure_rate(), count + 1.0));
        sum / f64::max(count, 1.0)
    }

    /// Ejects a backend, unless half of its service is ejected already.
    fn eject(&mut self, now: Timestamp, attempt: &Attempt) {
        let Some(service) = self.services.get(attempt.service as usize) else { return };
        let entries = service.groups.all_backends.all.entries();
        let ejected =
            |entry: &&RingEntry| self.backend(entry.backend).is_some_and(|backend| backend.health.ejected());
        let ejected = entries.iter().filter(ejected).count();
        let max_ejected = entries.len() / 2;
        let jitter = self.rng.f64();
        let Some(backend) = self.backends.get_mut(attempt.backend.0 as usize).and_then(Option::as_mut) else {
            return;
        };
        if backend.health.ejected() || ejected < max_ejected {
            backend.health.eject(now, jitter);
        }
    }
}
