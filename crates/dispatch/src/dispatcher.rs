//! The dispatcher: the backends and services it knows, and the choice for each request.

use crate::backend::Backend;
use crate::interface::*;
use fastrand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// When to come again where all places are taken.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// A send that has not ended.
#[derive(Debug)]
struct Send {
    serial: u32,
    backend: BackendKey,
    answered: bool,
}

/// Chooses a backend for each request by what this gateway sent, was told and was answered.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    rng: Rng,
    gateways: usize,
    services: HashMap<Arc<str>, ServiceView>,
    backends: Vec<Option<Backend>>,
    keys: HashMap<Arc<str>, BackendKey>,
    sends: Vec<Option<Send>>,
    last_serial: u32,
}

impl Dispatcher {
    /// A dispatcher that knows no backend yet; `seed` draws its ties.
    pub fn new(settings: DispatcherSettings, seed: u64) -> Dispatcher {
        Dispatcher {
            settings,
            rng: Rng::with_seed(seed),
            gateways: 1,
            services: HashMap::new(),
            backends: Vec::new(),
            keys: HashMap::new(),
            sends: Vec::new(),
            last_serial: 0,
        }
    }

    /// Takes in a changed view of the fleet.
    pub fn update(&mut self, _now: Now, view: &FleetView) {
        self.gateways = view.gateways.max(1);
        self.services = view.services.iter().map(|service| (service.name.clone(), service.clone())).collect();
        for (_, key) in self.keys.iter() {
            if let Some(backend) = self.backends.get_mut(key.0 as usize).and_then(Option::as_mut) {
                backend.view.state = BackendState::Gone;
            }
        }
        for backend in &view.backends {
            self.take_in(backend);
        }
    }

    fn take_in(&mut self, view: &BackendView) {
        let known = self.keys.get(&view.id).and_then(|key| self.backends.get_mut(key.0 as usize));
        if let Some(Some(backend)) = known {
            backend.view = view.clone();
            return;
        }
        self.keys.insert(view.id.clone(), BackendKey(self.backends.len() as u32));
        self.backends.push(Some(Backend::new(view.clone(), &self.settings.zone)));
    }

    /// The backend for a request, or why there is none.
    pub fn choose(&mut self, _now: Now, request: &DispatchRequest) -> Choice {
        let Some(service) = self.services.get(request.service) else { return Choice::NoBackend };
        let bound = match service.max_conns {
            0 => u32::MAX,
            most => (most / self.gateways as u32).max(1),
        };
        let mut best: Option<(BackendKey, (u32, bool))> = None;
        let (mut ties, mut known) = (0, false);
        for (index, backend) in self.backends.iter().enumerate() {
            let key = BackendKey(index as u32);
            let Some(backend) = backend.as_ref().filter(|backend| &*backend.view.service == request.service)
            else {
                continue;
            };
            if !backend.ready() || request.tried.contains(&key) {
                continue;
            }
            known = true;
            if backend.in_flight >= bound {
                continue;
            }
            let rank = (backend.load() * 8 / backend.view.slots.max(1), !backend.near);
            ties = if best.is_some_and(|(_, least)| least == rank) { ties + 1 } else { 1 };
            let less = best.is_none_or(|(_, least)| rank < least);
            if less || best.is_some_and(|(_, least)| rank == least) && self.rng.u32(0..ties) == 0 {
                best = Some((key, rank));
            }
        }
        let engine = service.engine.is_some();
        match best.and_then(|(key, _)| self.backend(key).map(|backend| (key, backend))) {
            Some((backend, at)) => Choice::Send(Target {
                backend,
                id: at.view.id.clone(),
                address: at.view.address,
                priority_header: engine.then_some(request.priority.min(9)),
            }),
            None if known => Choice::Full { retry_after: RETRY_AFTER },
            None => Choice::NoBackend,
        }
    }

    /// A request goes out to a backend.
    pub fn begin(&mut self, _now: Now, backend: BackendKey, _request: &DispatchRequest) -> Ticket {
        if let Some(backend) = self.backend_mut(backend) {
            backend.in_flight += 1;
            backend.waiting += 1;
        }
        self.last_serial = self.last_serial.wrapping_add(1);
        let send = Send { serial: self.last_serial, backend, answered: false };
        let index = self.sends.iter().position(Option::is_none).unwrap_or(self.sends.len());
        if index == self.sends.len() {
            self.sends.push(None);
        }
        self.sends[index] = Some(send);
        Ticket { index: index as u32, serial: self.last_serial }
    }

    /// The head of its answer has come; for a stream, its first event.
    pub fn first_event(&mut self, _now: Now, ticket: Ticket, load: Option<ReportedLoad>) {
        let Some(send) = self.send_mut(ticket) else { return };
        let (key, first) = (send.backend, !std::mem::replace(&mut send.answered, true));
        if let Some(backend) = self.backend_mut(key) {
            backend.waiting -= u32::from(first);
            backend.reported = load.or(backend.reported);
        }
    }

    /// A further event of a stream has come.
    pub fn event(&mut self, _now: Now, _ticket: Ticket, _tokens: u32) {}

    /// A send has ended. A ticket ends once; what comes after is ignored.
    pub fn end(&mut self, _now: Now, ticket: Ticket, _outcome: Outcome) {
        let Some(place) = self.sends.get_mut(ticket.index as usize) else { return };
        let Some(send) = place.take_if(|send| send.serial == ticket.serial) else { return };
        if let Some(backend) = self.backend_mut(send.backend) {
            backend.in_flight -= 1;
            backend.waiting -= u32::from(!send.answered);
        }
    }

    fn backend(&self, key: BackendKey) -> Option<&Backend> {
        self.backends.get(key.0 as usize)?.as_ref()
    }

    fn backend_mut(&mut self, key: BackendKey) -> Option<&mut Backend> {
        self.backends.get_mut(key.0 as usize)?.as_mut()
    }

    fn send_mut(&mut self, ticket: Ticket) -> Option<&mut Send> {
        self.sends.get_mut(ticket.index as usize)?.as_mut().filter(|send| send.serial == ticket.serial)
    }
}
