//! A day of a fleet, played in virtual time.

use super::engine::{Engine, EngineJob, Yield};
use super::figures::{Ended, Figures};
use super::policies::Policy;
use super::traffic::{arrivals, Arrival, Day, Site};
use super::troubles::Troubles;
use super::worker::{Taken, Worker};
use crankpick_dispatch::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

const AGAIN_US: u64 = 10_000_000;
const CROSS_US: u64 = 900;
const HERE_US: u64 = 200;
const HEAD_BYTES: u64 = 600;
const SILENCE_US: u64 = 1_500_000;
const EVENT_BYTES: u64 = 65;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Reach(usize),
    Stepped(usize, u32),
    Worked(usize, usize),
    First(usize, ReportedLoadKey),
    Piece(usize),
    Done(usize),
    Failed(usize, u8),
    Silence(usize),
    Darken,
    Tell(u8),
}

type ReportedLoadKey = (u32, u32, u32);

enum Host {
    Engine(Box<Engine>),
    Worker(Worker),
}

struct Backend {
    host: Host,
    zone: usize,
    stepping: bool,
    dark: bool,
    life: u32,
    resets: f64,
}

struct Send {
    request: usize,
    gateway: usize,
    backend: usize,
    heard_us: u64,
    answered: bool,
    over: bool,
    pause_us: u64,
}

struct Request {
    arrival: Arrival,
    gateway: usize,
    tried: Vec<BackendKey>,
    first_us: Option<u64>,
    refused: bool,
}

struct Fleet<'a> {
    site: &'a Site,
    troubles: Troubles,
    now_us: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Step)>>,
    serial: u64,
    backends: Vec<Backend>,
    gateways: Vec<Box<dyn Policy>>,
    requests: Vec<Request>,
    sends: Vec<Send>,
    used: HashMap<u64, u64>,
    view: FleetView,
    figures: Figures,
    rng: fastrand::Rng,
}

/// Plays a day; `policy` makes the way of choosing of the gateway of this number and zone.
pub fn play(
    site: &Site,
    day: &Day,
    troubles: &Troubles,
    seed: u64,
    policy: &dyn Fn(usize, &str) -> Box<dyn Policy>,
) -> Figures {
    let mut fleet = Fleet::new(site, day, troubles, seed, policy);
    while let Some(Reverse((at_us, _, step))) = fleet.queue.pop() {
        fleet.now_us = at_us;
        fleet.step(step);
    }
    fleet.figures
}

pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

impl<'a> Fleet<'a> {
    fn new(
        site: &'a Site,
        day: &Day,
        troubles: &Troubles,
        seed: u64,
        policy: &dyn Fn(usize, &str) -> Box<dyn Policy>,
    ) -> Fleet<'a> {
        let gateways = site.gateways.iter().enumerate();
        let gateways = gateways.map(|(number, zone)| policy(number, &zone_name(*zone))).collect();
        let mut fleet = Fleet {
            site,
            troubles: troubles.clone(),
            now_us: 0,
            queue: BinaryHeap::new(),
            serial: 0,
            backends: Vec::new(),
            gateways,
            requests: Vec::new(),
            sends: Vec::new(),
            used: HashMap::new(),
            view: FleetView::default(),
            figures: Figures::new(site),
            rng: fastrand::Rng::with_seed(seed ^ 0xf1ee7),
        };
        fleet.build();
        for arrival in arrivals(site, day, seed) {
            let here: Vec<usize> =
                (0..site.gateways.len()).filter(|at| site.gateways[*at] == arrival.zone).collect();
            let gateway = here[fleet.rng.usize(..here.len())];
            let at_us = arrival.at_us;
            let request = fleet.requests.len();
            fleet.requests.push(Request {
                arrival,
                gateway,
                tried: Vec::new(),
                first_us: None,
                refused: false,
            });
            fleet.at(at_us, Step::Arrive(request));
        }
        if let Some(dark) = troubles.dark {
            let us = |s: f64| (s * 1e6) as u64;
            fleet.at(us(dark.from_s), Step::Darken);
            fleet.at(us(dark.from_s + 3.0), Step::Tell(0));
            fleet.at(us(dark.from_s + dark.for_s), Step::Tell(1));
        }
        fleet
    }

    fn build(&mut self) {
        let site = self.site;
        let service = |name: &str, max_conns, engine| ServiceView { name: name.into(), max_conns, engine };
        let engine = EngineView { slots: site.engine.slots as u32, kv_tokens: site.engine.kv_tokens };
        self.view.services =
            vec![service("llm", site.engine_conns, Some(engine)), service("ledger", site.worker_conns, None)];
        self.view.gateways = site.gateways.len();
        for (number, zone) in site.engines.iter().enumerate() {
            let slow = self.troubles.slow.iter().find(|slow| slow.0 == number).map_or(1.0, |slow| slow.1);
            let resets = self.troubles.resets.iter().find(|of| of.0 == number).map_or(0.0, |of| of.1);
            let host = Host::Engine(Box::new(Engine::new(site.engine, slow)));
            self.add("llm", host, *zone, site.engine.slots as u32, resets);
        }
        for number in 0..site.workers {
            self.add("ledger", Host::Worker(Worker::new(6, 24)), number % 4, 6, 0.0);
        }
        self.publish();
    }

    fn add(&mut self, service: &str, host: Host, zone: usize, slots: u32, resets: f64) {
        let number = self.backends.len();
        self.backends.push(Backend { host, zone, stepping: false, dark: false, life: 0, resets });
        self.view.backends.push(BackendView {
            id: format!("b{number}").into(),
            service: service.into(),
            address: format!("127.0.0.1:{}", 1000 + number).parse().expect("an address"),
            zone: zone_name(zone).into(),
            slots,
            state: BackendState::Ready,
            warm_at: Duration::ZERO,
        });
    }

    fn publish(&mut self) {
        let now = Duration::from_micros(self.now_us);
        self.gateways.iter_mut().for_each(|gateway| gateway.update(now, &self.view));
    }

    fn at(&mut self, at_us: u64, step: Step) {
        self.serial += 1;
        self.queue.push(Reverse((at_us, self.serial, step)));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(request) => self.dispatch(request),
            Step::Reach(send) => self.reach(send),
            Step::Stepped(backend, life) => self.step_end(backend, life),
            Step::Worked(backend, send) => self.worked(backend, send),
            Step::First(send, load) => self.first(send, load),
            Step::Piece(send) => self.piece(send),
            Step::Done(send) => self.end(send, Outcome::Done),
            Step::Failed(send, refused) => {
                let outcome = if refused == 1 { Outcome::Refused } else { Outcome::Reset };
                self.end(send, outcome);
            }
            Step::Silence(send) => self.silence(send),
            Step::Darken => self.darken(),
            Step::Tell(back) => self.tell(back == 1),
        }
    }

    fn wire_us(&self, gateway: usize, backend: usize) -> u64 {
        let far = self.site.gateways[gateway] != self.backends[backend].zone;
        if far {
            CROSS_US
        } else {
            HERE_US
        }
    }

    fn dispatch(&mut self, index: usize) {
        let now = Duration::from_micros(self.now_us);
        let request = &self.requests[index];
        let class = &self.site.classes[request.arrival.class];
        let elapsed = now - Duration::from_micros(request.arrival.at_us);
        let deadline = Duration::from_secs_f64(class.deadline_ms / 1e3);
        let parts = &request.arrival.parts;
        let engine = class.work.is_none();
        let asked = DispatchRequest {
            service: class.service,
            route: RoutePolicy {
                slo: Duration::from_secs_f64(class.slo_ms / 1e3),
                sticky: engine,
                idempotent: class.again,
            },
            priority: class.priority,
            prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
            response_tokens: if engine { request.arrival.answer_tokens } else { 0 },
            parts,
            request_bytes: class.request_bytes,
            elapsed,
            deadline: deadline.saturating_sub(elapsed),
            tried: &request.tried,
        };
        let gateway = &mut self.gateways[request.gateway];
        let target = match gateway.choose(now, &asked) {
            Choice::Send(target) => target,
            Choice::Full { retry_after } => return self.refuse(index, retry_after),
            Choice::NoBackend => return self.refuse(index, Duration::from_millis(200)),
        };
        let send = self.sends.len();
        gateway.begin(now, send, target.backend, &asked);
        let backend = self.view.backends.iter().position(|of| of.id == target.id).expect("it was listed");
        let (gateway, answered) = (request.gateway, false);
        self.figures.further_sends += usize::from(!request.tried.is_empty());
        self.requests[index].tried.push(target.backend);
        let heard_us = self.now_us;
        self.sends.push(Send {
            request: index,
            gateway,
            backend,
            heard_us,
            answered,
            over: false,
            pause_us: 0,
        });
        let wire_us = self.wire_us(gateway, backend);
        self.at(self.now_us + wire_us, Step::Reach(send));
        self.at(self.now_us + SILENCE_US, Step::Silence(send));
    }

    /// The client comes again once, when it is told to, at whatever gateway of its zone.
    fn refuse(&mut self, index: usize, retry_after: Duration) {
        let request = &mut self.requests[index];
        let class = &self.site.classes[request.arrival.class];
        let left_us = (request.arrival.at_us + (class.deadline_ms * 1e3) as u64).saturating_sub(self.now_us);
        if std::mem::replace(&mut request.refused, true) || !request.tried.is_empty() {
            self.figures.count(request.arrival.class, Ended::Refused);
            return;
        }
        let zone = self.site.gateways[request.gateway];
        let here: Vec<usize> =
            (0..self.site.gateways.len()).filter(|at| self.site.gateways[*at] == zone).collect();
        request.gateway = here[self.rng.usize(..here.len())];
        let wait_us = (retry_after.as_micros() as u64).min(left_us / 3);
        self.at(self.now_us + wait_us, Step::Arrive(index));
    }

    fn reach(&mut self, send: usize) {
        let (backend, request) = (self.sends[send].backend, self.sends[send].request);
        if self.backends[backend].dark {
            self.figures.into_dark += 1;
            return;
        }
        if self.rng.f64() < self.backends[backend].resets {
            self.at(self.now_us + 1000, Step::Failed(send, 0));
            return;
        }
        let request = &self.requests[request];
        let class = &self.site.classes[request.arrival.class];
        for part in &request.arrival.parts {
            self.used.entry(part.id).or_insert(0);
        }
        match &mut self.backends[backend].host {
            Host::Engine(engine) => {
                let parts = request.arrival.parts.clone();
                let answer_tokens = request.arrival.answer_tokens;
                engine.push(EngineJob { id: send, priority: class.priority, parts, answer_tokens });
                self.begin_step(backend);
            }
            Host::Worker(worker) => match worker.push(send) {
                Taken::Started => self.start_work(backend, send),
                Taken::Queued => {}
                Taken::Refused => self.at(self.now_us + 1000, Step::Failed(send, 1)),
            },
        }
    }

    fn begin_step(&mut self, at: usize) {
        let backend = &mut self.backends[at];
        let Host::Engine(engine) = &mut backend.host else { return };
        if backend.stepping || engine.idle() {
            return;
        }
        backend.stepping = true;
        let us = (engine.begin_step() * 1e3) as u64;
        let life = backend.life;
        self.at(self.now_us + us, Step::Stepped(at, life));
    }

    fn step_end(&mut self, at: usize, life: u32) {
        let backend = &mut self.backends[at];
        if backend.life != life || backend.dark {
            return;
        }
        backend.stepping = false;
        let Host::Engine(engine) = &mut backend.host else { return };
        let first_us = (engine.first_ms() * 1e3) as u64;
        let yields = engine.finish_step();
        let read = std::mem::take(&mut engine.read);
        for part in read {
            self.figures.read += u64::from(part.tokens);
            let used = self.used.get(&part.id).copied().unwrap_or(0);
            let again = used > 0 && self.now_us - used < AGAIN_US;
            self.figures.read_again += if again { u64::from(part.tokens) } else { 0 };
            if again && part.id < 1 << 60 {
                let place = ((part.id >> 40) as usize - 1) * 2 + ((part.id >> 32 & 3) as usize - 1);
                self.figures.again_by[place] += u64::from(part.tokens);
            }
            self.used.insert(part.id, self.now_us);
        }
        for of in yields {
            let id = match of {
                Yield::First { id, .. } | Yield::Event { id } | Yield::Done { id } => id,
            };
            let at_us = self.now_us + first_us + self.wire_us(self.sends[id].gateway, at);
            let step = match of {
                Yield::First { load, .. } => Step::First(id, (load.running, load.waiting, load.slots)),
                Yield::Event { .. } => Step::Piece(id),
                Yield::Done { .. } => Step::Done(id),
            };
            if matches!(of, Yield::First { .. }) {
                let request = self.sends[id].request;
                let parts = self.requests[request].arrival.parts.clone();
                self.used.extend(parts.iter().map(|part| (part.id, self.now_us)));
            }
            self.at(at_us, step);
        }
        self.begin_step(at);
    }

    fn start_work(&mut self, backend: usize, send: usize) {
        let work_ms = self.requests[self.sends[send].request].arrival.work_ms;
        self.at(self.now_us + (work_ms * 1e3) as u64, Step::Worked(backend, send));
    }

    fn worked(&mut self, at: usize, send: usize) {
        let Host::Worker(worker) = &mut self.backends[at].host else { return };
        let next = worker.done();
        let load = worker.load();
        let wire_us = self.wire_us(self.sends[send].gateway, at);
        self.at(self.now_us + wire_us, Step::First(send, (load.running, load.waiting, load.slots)));
        self.at(self.now_us + wire_us, Step::Done(send));
        next.into_iter().for_each(|send| self.start_work(at, send));
    }

    fn first(&mut self, send: usize, load: ReportedLoadKey) {
        let now = Duration::from_micros(self.now_us);
        let of = &mut self.sends[send];
        if of.over || of.answered {
            return;
        }
        (of.answered, of.heard_us) = (true, self.now_us);
        let (running, waiting, slots) = load;
        let load = ReportedLoad { running, waiting, slots };
        self.gateways[of.gateway].first_event(now, send, Some(load));
        self.requests[of.request].first_us = Some(self.now_us);
    }

    fn piece(&mut self, send: usize) {
        let now = Duration::from_micros(self.now_us);
        let of = &mut self.sends[send];
        if !of.over {
            of.pause_us = of.pause_us.max(self.now_us - of.heard_us);
            of.heard_us = self.now_us;
            self.gateways[of.gateway].event(now, send);
        }
    }

    fn silence(&mut self, send: usize) {
        let of = &self.sends[send];
        if of.over {
            return;
        }
        // A gateway tries another after a while, where that is allowed; a client bears more.
        let request = &self.requests[of.request];
        let class = &self.site.classes[request.arrival.class];
        let patience_us = (class.slo_ms * 4e3).max(2e6) as u64;
        let again = class.again && !of.answered && request.tried.len() < 2;
        let bears_us = if again { SILENCE_US } else { patience_us };
        if self.now_us - of.heard_us >= bears_us {
            self.end(send, Outcome::TimedOut);
        } else {
            self.at(of.heard_us + bears_us, Step::Silence(send));
        }
    }

    fn end(&mut self, send: usize, outcome: Outcome) {
        let now = Duration::from_micros(self.now_us);
        let of = &mut self.sends[send];
        if std::mem::replace(&mut of.over, true) {
            return;
        }
        self.gateways[of.gateway].end(now, send, outcome);
        let (index, backend, gateway, pause_us) = (of.request, of.backend, of.gateway, of.pause_us);
        if let Host::Engine(engine) = &mut self.backends[backend].host {
            if outcome != Outcome::Done {
                engine.cancel(send);
            }
        }
        let class = self.requests[index].arrival.class;
        let terms = &self.site.classes[class];
        if self.site.gateways[gateway] != self.backends[backend].zone {
            let events = u64::from(self.requests[index].arrival.answer_tokens / 7);
            let answer = if terms.work.is_some() { 800 } else { events * EVENT_BYTES };
            self.figures.crossed_bytes += u64::from(terms.request_bytes) + answer + HEAD_BYTES;
        }
        let request = &self.requests[index];
        let again = outcome == Outcome::Refused || terms.again || outcome == Outcome::NoConnection;
        match (outcome, request.first_us) {
            (Outcome::Done, Some(first_us)) => {
                let first_ms = (first_us - request.arrival.at_us) as f64 / 1e3;
                let second = request.refused;
                let stalled = pause_us as f64 / 1e3 > terms.gap_ms;
                self.figures.count(class, Ended::Answered { first_ms, second, stalled });
            }
            (_, None) if again && request.tried.len() < 2 => self.dispatch(index),
            _ => self.figures.count(class, Ended::Lost),
        }
    }

    fn darkened(&self) -> Vec<usize> {
        let dark = self.troubles.dark.map_or(0.0, |dark| dark.share);
        let count = (self.site.engines.len() as f64 * dark).ceil() as usize;
        (0..count).map(|number| number * self.site.engines.len() / count.max(1)).collect()
    }

    fn darken(&mut self) {
        for at in self.darkened() {
            self.backends[at].dark = true;
            self.backends[at].life += 1;
        }
    }

    fn tell(&mut self, back: bool) {
        for at in self.darkened() {
            let listed = &mut self.view.backends[at];
            listed.state = if back { BackendState::Ready } else { BackendState::Silent };
            if back {
                let backend = &mut self.backends[at];
                listed.id = Arc::from(format!("b{at}.{}", backend.life));
                backend.dark = false;
                backend.stepping = false;
                backend.host = Host::Engine(Box::new(Engine::new(self.site.engine, 1.0)));
            }
        }
        self.publish();
    }
}
