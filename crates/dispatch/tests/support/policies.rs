//! What a gateway chooses by: the dispatcher, and the plain ways that it is measured against.

use crankpick_dispatch::*;
use fastrand::Rng;
use std::collections::HashMap;

/// The way one gateway chooses; sends are named by the harness's serial.
pub trait Policy {
    fn update(&mut self, now: Timestamp, view: &FleetView);
    fn choose(&mut self, now: Timestamp, request: &DispatchRequest) -> Choice;
    fn begin(&mut self, now: Timestamp, send: usize, backend: BackendKey, request: &DispatchRequest);
    fn first_event(&mut self, now: Timestamp, send: usize, load: Option<ReportedLoad>);
    fn event(&mut self, now: Timestamp, send: usize);
    fn end(&mut self, now: Timestamp, send: usize, outcome: Outcome);
}

/// Chooses by a dispatcher.
pub struct ByDispatcher {
    pub dispatcher: Dispatcher,
    tickets: HashMap<usize, Ticket>,
}

impl ByDispatcher {
    pub fn new(settings: DispatcherSettings, seed: u64) -> ByDispatcher {
        ByDispatcher { dispatcher: Dispatcher::new(settings, seed), tickets: HashMap::new() }
    }
}

impl Policy for ByDispatcher {
    fn update(&mut self, now: Timestamp, view: &FleetView) {
        self.dispatcher.update(now, view);
    }

    fn choose(&mut self, now: Timestamp, request: &DispatchRequest) -> Choice {
        self.dispatcher.choose(now, request)
    }

    fn begin(&mut self, now: Timestamp, send: usize, backend: BackendKey, request: &DispatchRequest) {
        let ticket = self.dispatcher.begin(now, backend, request);
        self.tickets.insert(send, ticket);
    }

    fn first_event(&mut self, now: Timestamp, send: usize, load: Option<ReportedLoad>) {
        self.dispatcher.first_event(now, self.tickets[&send], load);
    }

    fn event(&mut self, now: Timestamp, send: usize) {
        self.dispatcher.event(now, self.tickets[&send], 7);
    }

    fn end(&mut self, now: Timestamp, send: usize, outcome: Outcome) {
        let ticket = self.tickets.remove(&send).expect("a send ends once");
        self.dispatcher.end(now, ticket, outcome);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plain {
    /// Each ready backend in turn.
    Rotation,
    /// The fewest requests by the newest report or by own sends.
    LeastLoaded,
}

/// Chooses in a plain way.
pub struct ByPlain {
    way: Plain,
    view: FleetView,
    turn: usize,
    rng: Rng,
    out: Vec<u32>,
    told: Vec<u32>,
    sends: HashMap<usize, usize>,
}

impl ByPlain {
    pub fn new(way: Plain, seed: u64) -> ByPlain {
        let mut rng = Rng::with_seed(seed);
        let (turn, view) = (rng.usize(..64), FleetView::default());
        ByPlain { way, view, turn, rng, out: Vec::new(), told: Vec::new(), sends: HashMap::new() }
    }

    fn pick(&mut self, usable: &[usize]) -> usize {
        self.turn += 1;
        match self.way {
            Plain::Rotation => usable[self.turn % usable.len()],
            Plain::LeastLoaded => {
                let load = |at: &usize| self.out[*at].max(self.told[*at]);
                let least = usable.iter().map(load).min().unwrap_or(0);
                let ties: Vec<usize> = usable.iter().copied().filter(|at| load(at) == least).collect();
                ties[self.rng.usize(..ties.len())]
            }
        }
    }
}

impl Policy for ByPlain {
    fn update(&mut self, _now: Timestamp, view: &FleetView) {
        self.view = view.clone();
        self.out.resize(view.backends.len(), 0);
        self.told.resize(view.backends.len(), 0);
    }

    fn choose(&mut self, _now: Timestamp, request: &DispatchRequest) -> Choice {
        let usable: Vec<usize> = (0..self.view.backends.len())
            .filter(|at| {
                let backend = &self.view.backends[*at];
                let tried = request.tried.contains(&BackendKey(*at as u32));
                &*backend.service == request.service && backend.state == BackendState::Ready && !tried
            })
            .collect();
        if usable.is_empty() {
            return Choice::NoBackend;
        }
        let at = self.pick(&usable);
        let backend = &self.view.backends[at];
        let (id, address) = (backend.id.clone(), backend.address);
        let priority_header = Some(request.priority);
        Choice::Send(Target { backend: BackendKey(at as u32), id, address, priority_header })
    }

    fn begin(&mut self, _now: Timestamp, send: usize, backend: BackendKey, _request: &DispatchRequest) {
        self.out[backend.0 as usize] += 1;
        self.sends.insert(send, backend.0 as usize);
    }

    fn first_event(&mut self, _now: Timestamp, send: usize, load: Option<ReportedLoad>) {
        let at = self.sends[&send];
        self.told[at] = load.map_or(self.told[at], |load| load.running + load.waiting);
    }

    fn event(&mut self, _now: Timestamp, _send: usize) {}

    fn end(&mut self, _now: Timestamp, send: usize, _outcome: Outcome) {
        let at = self.sends.remove(&send).expect("a send ends once");
        self.out[at] -= 1;
    }
}
