//! The dispatcher: the backends and services it knows, and the choice for each request.

use crate::backend::Backend;
use crate::fit::shared;
use crate::groups::Member;
use crate::hash::Point;
use crate::health::Verdict;
use crate::interface::*;
use crate::sends::{Send, Sends};
use crate::service::Service;
use fastrand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Last shared parts whose last use is remembered, and for how long at the least.
const MOST_USED: usize = 8192;
const USED_FOR: Duration = Duration::from_secs(10);
/// A backend that the view dropped is remembered for as long as a request may name its key.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(120);
/// A pause in all calls after which what is out tells nothing of its backends.
const STOOD_STILL: Duration = Duration::from_millis(1500);
/// Peers asked for their failure rate.
const PEERS: usize = 64;
/// Chooses a backend for each request by what this gateway sent, was told and was answered.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: DispatcherSettings,
    pub(crate) rng: Rng,
    pub(crate) gateways: usize,
    pub(crate) services: Vec<Service>,
    service_names: HashMap<Arc<str>, u32>,
    pub(crate) backends: Vec<Option<Backend>>,
    keys: HashMap<Arc<str>, BackendKey>,
    free: Vec<u32>,
    sends: Sends,
    /// When each last shared part was last sent anywhere by this gateway.
    used: HashMap<u64, Now>,
    /// When it was last called, and when it last was after it had stood still.
    called: Now,
    resumed: Now,
}

impl Dispatcher {
    /// A dispatcher that knows no backend yet; `seed` draws its ties.
    pub fn new(settings: DispatcherSettings, seed: u64) -> Dispatcher {
        Dispatcher {
            settings,
            rng: Rng::with_seed(seed),
            gateways: 1,
            services: Vec::new(),
            service_names: HashMap::new(),
            backends: Vec::new(),
            keys: HashMap::new(),
            free: Vec::new(),
            sends: Sends::default(),
            used: HashMap::new(),
            called: Now::ZERO,
            resumed: Now::ZERO,
        }
    }

    /// Takes in a changed view of the fleet.
    pub fn update(&mut self, now: Now, view: &FleetView) {
        self.gateways = view.gateways.max(1);
        view.services.iter().for_each(|service| self.take_in_service(service));
        for backend in self.backends.iter_mut().flatten() {
            backend.gone_since = backend.gone_since.or(Some(now));
        }
        view.backends.iter().for_each(|backend| self.take_in(backend));
        self.forget(now);
        for service in 0..self.services.len() {
            let members = self.members(service);
            let mark = members.iter().fold(0, |mark: u64, member| mark.wrapping_add(member.hash));
            if self.services[service].members != Some(mark) {
                self.services[service].members = Some(mark);
                self.deal(now, service, members);
            }
        }
    }

    fn take_in_service(&mut self, view: &ServiceView) {
        match self.service_names.get(&view.name) {
            Some(index) => self.services[*index as usize].view = view.clone(),
            None => {
                self.service_names.insert(view.name.clone(), self.services.len() as u32);
                self.services.push(Service::new(view.clone()));
            }
        }
    }

    fn take_in(&mut self, view: &BackendView) {
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
        let index = self.free.pop().unwrap_or(self.backends.len() as u32);
        match self.backends.get_mut(index as usize) {
            Some(place) => *place = backend,
            None => self.backends.push(backend),
        }
        self.keys.insert(view.id.clone(), BackendKey(index));
    }

    /// Drops backends that are long gone and have no send; their keys may then be given to others.
    fn forget(&mut self, now: Now) {
        for (index, place) in self.backends.iter_mut().enumerate() {
            let over = |since: Now| now.saturating_sub(since) >= FORGOTTEN_AFTER;
            let dropped = place.take_if(|of| of.in_flight == 0 && of.gone_since.is_some_and(over));
            if let Some(backend) = dropped {
                self.keys.remove(&backend.view.id);
                self.free.push(index as u32);
            }
        }
    }

    /// Deals the groups anew, as their period is over.
    pub(crate) fn regroup(&mut self, now: Now, service: usize) {
        let members = self.members(service);
        self.deal(now, service, members);
    }

    fn deal(&mut self, now: Now, service: usize, members: Vec<Member>) {
        let start = self.rng.usize(..members.len().max(1));
        self.services[service].groups.rebuild(now, members, start);
    }

    /// The backends that a service's requests may go to.
    fn members(&self, service: usize) -> Vec<Member> {
        let ready = self.members_in(service, BackendState::Ready);
        if !ready.is_empty() {
            return ready;
        }
        // Those that fell silent may yet serve; where none is ready there is nothing better.
        self.members_in(service, BackendState::Silent)
    }

    fn members_in(&self, service: usize, state: BackendState) -> Vec<Member> {
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
                near: backend.near,
            })
            .collect()
    }

    pub(crate) fn service_index(&self, name: &str) -> Option<usize> {
        self.service_names.get(name).map(|index| *index as usize)
    }

    /// When this gateway last sent a request with this last shared part.
    pub(crate) fn used(&self, part: u64) -> Option<Now> {
        self.used.get(&part).copied()
    }

    pub(crate) fn backend(&self, key: BackendKey) -> Option<&Backend> {
        self.backends.get(key.0 as usize)?.as_ref()
    }

    /// A request goes out to a backend.
    pub fn begin(&mut self, now: Now, key: BackendKey, request: &DispatchRequest) -> Ticket {
        self.notice(now);
        let serial = self.sends.next_serial();
        let index = self.service_names.get(request.service).copied().unwrap_or(u32::MAX);
        let mut send = Send::new(serial, key, index, now);
        if let Some(service) = self.services.get_mut(index as usize) {
            let part = shared(request).last().map(|part| part.id);
            let last_used = part.and_then(|part| self.used.get(&part).copied());
            let backend = self.backends.get_mut(key.0 as usize).and_then(Option::as_mut);
            let weights = &self.settings.weights;
            backend.into_iter().for_each(|backend| send.leave(service, backend, request, last_used, weights));
            part.into_iter().for_each(|part| self.use_part(now, part));
        }
        self.sends.insert(send)
    }

    fn use_part(&mut self, now: Now, part: u64) {
        self.used.insert(part, now);
        if self.used.len() > MOST_USED {
            self.used.retain(|_, used| now.saturating_sub(*used) < USED_FOR);
        }
    }

    /// The head of its answer has come; for a stream, its first event.
    pub fn first_event(&mut self, now: Now, ticket: Ticket, load: Option<ReportedLoad>) {
        self.notice(now);
        let Some(send) = self.sends.get_mut(ticket).filter(|send| send.answered.is_none()) else { return };
        send.answered = Some(now);
        let Some(backend) = self.backends.get_mut(send.backend.0 as usize).and_then(Option::as_mut) else {
            return;
        };
        backend.hear(now);
        backend.settle(send.serial);
        if let Some((load, service)) = load.zip(self.services.get(send.service as usize)) {
            backend.report(now, load, service.mean_reading_ms, service.usual_wait_ms(now));
        }
    }

    /// A further event of a stream has come.
    pub fn event(&mut self, now: Now, ticket: Ticket, _tokens: u32) {
        self.notice(now);
        let Some(send) = self.sends.get_mut(ticket) else { return };
        let backend = self.backends.get_mut(send.backend.0 as usize).and_then(Option::as_mut);
        if let Some((backend, service)) = backend.zip(self.services.get_mut(send.service as usize)) {
            backend.hear(now);
            send.teach(service, backend, &self.settings.weights);
        }
    }

    /// A send has ended. A ticket ends once; what comes after is ignored.
    pub fn end(&mut self, now: Now, ticket: Ticket, outcome: Outcome) {
        self.notice(now);
        let Some(mut send) = self.sends.remove(ticket) else { return };
        let peers = if outcome == Outcome::Done { 0.0 } else { self.peers_failure_rate(&send) };
        let backend = self.backends.get_mut(send.backend.0 as usize).and_then(Option::as_mut);
        let Some((backend, service)) = backend.zip(self.services.get_mut(send.service as usize)) else {
            return;
        };
        backend.in_flight -= 1;
        backend.units -= send.units;
        backend.settle(send.serial);
        let silent = backend.silent(now, send.began, send.expected_ms, self.resumed);
        let verdict = Verdict::of(outcome, silent, backend.heard_lately(now));
        match outcome {
            Outcome::Done => {
                backend.hear(now);
                send.teach(service, backend, &self.settings.weights);
            }
            Outcome::Refused => backend.refused(now),
            // What it kept is lost with it, if it is gone.
            Outcome::NoConnection | Outcome::Misdirected => backend.kept.clear(),
            _ => {}
        }
        if backend.health.judge(verdict, send.trial, peers) {
            self.eject(now, &send);
        }
    }

    /// Whether this gateway itself stood still: nothing came of all that is out, for long.
    pub(crate) fn notice(&mut self, now: Now) {
        if now.saturating_sub(self.called) > STOOD_STILL && !self.sends.is_empty() {
            self.resumed = now;
            self.backends.iter_mut().flatten().for_each(|backend| backend.resume(now));
        }
        self.called = now;
    }

    /// The mean failure rate of the others that serve the same.
    fn peers_failure_rate(&self, send: &Send) -> f64 {
        let Some(service) = self.services.get(send.service as usize) else { return 0.0 };
        let others = service.groups.whole.all.points().iter().filter(|point| point.backend != send.backend);
        let rates = others.take(PEERS).filter_map(|point| self.backend(point.backend));
        let (sum, count) =
            rates.fold((0.0, 0.0), |(sum, count), of| (sum + of.health.failure_rate(), count + 1.0));
        sum / f64::max(count, 1.0)
    }

    /// Ejects a backend, unless as many as half of its service rest already.
    fn eject(&mut self, now: Now, send: &Send) {
        let Some(service) = self.services.get(send.service as usize) else { return };
        let points = service.groups.whole.all.points();
        let resting = |point: &&Point| self.backend(point.backend).is_some_and(|of| of.health.ejected());
        let resting = points.iter().filter(resting).count();
        let bound = points.len() / 2;
        let jitter = self.rng.f64();
        let Some(backend) = self.backends.get_mut(send.backend.0 as usize).and_then(Option::as_mut) else {
            return;
        };
        if backend.health.ejected() || resting < bound {
            backend.health.eject(now, jitter);
        }
    }
}
