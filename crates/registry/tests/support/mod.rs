//! Control-plane processes, backends and gateways over an unreliable flood, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crankpick_registry::{
    Announcement, BackendRecord, BackendState, Heartbeat, HeartbeatState, ProcessId, Registry,
    RegistrySettings, TableBuilder,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1200);
const PROCESSES: usize = 4;
const GATEWAYS: usize = 3;

/// How badly things go.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// The part of floods that is lost, told twice, or delayed past others.
    pub lost: f64,
    pub repeated: f64,
    pub delayed: f64,
    /// The chance of each in one step.
    pub restart: f64,
    pub crash: f64,
    pub drain: f64,
}

pub struct Backend {
    pub id: String,
    pub port: u16,
    pub seq: u64,
    pub draining: bool,
    pub alive: bool,
    home: usize,
    next_heartbeat: Duration,
}

pub struct Process {
    pub registry: Registry,
}

pub struct Gateway {
    pub builder: TableBuilder,
    pub home: usize,
}

pub struct Fleet {
    pub now: Duration,
    pub random: fastrand::Rng,
    pub processes: Vec<Process>,
    pub gateways: Vec<Gateway>,
    pub backends: Vec<Backend>,
    pub acknowledged_drains: BTreeSet<String>,
    pub log: Vec<String>,
    trouble: Trouble,
    floods: Vec<(usize, ProcessId, Announcement)>,
    ids: u64,
}

impl Fleet {
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1),
            random: fastrand::Rng::with_seed(seed),
            processes: Vec::new(),
            gateways: (0..GATEWAYS).map(|home| Gateway { builder: TableBuilder::new(), home }).collect(),
            backends: Vec::new(),
            acknowledged_drains: BTreeSet::new(),
            log: Vec::new(),
            trouble,
            floods: Vec::new(),
            ids: 0,
        };
        for _ in 0..PROCESSES {
            let process = fleet.new_process();
            fleet.processes.push(process);
        }
        for process in 0..PROCESSES {
            fleet.connect(process);
        }
        for port in 0..6 {
            fleet.start_backend(8000 + port);
        }
        fleet
    }

    fn new_process(&mut self) -> Process {
        self.ids += 1;
        let settings = RegistrySettings::new(HEARTBEAT);
        Process { registry: Registry::new(self.now, ProcessId(self.ids), settings) }
    }

    fn start_backend(&mut self, port: u16) {
        self.ids += 1;
        let id = format!("i-{}", self.ids);
        let home = self.random.usize(..PROCESSES);
        let next_heartbeat = self.now;
        self.backends.push(Backend { id, port, seq: 0, draining: false, alive: true, home, next_heartbeat });
    }

    /// A process is connected to all others: both sides tell each other everything.
    fn connect(&mut self, process: usize) {
        let id = self.processes[process].registry.process();
        for peer in 0..PROCESSES {
            if peer == process {
                continue;
            }
            let peer_id = self.processes[peer].registry.process();
            self.processes[process].registry.peer_up(self.now, peer_id);
            self.processes[peer].registry.peer_up(self.now, id);
            let (ours, theirs) = (
                self.processes[process].registry.whole(self.now),
                self.processes[peer].registry.whole(self.now),
            );
            ours.iter().for_each(|words| self.deliver(peer, words));
            theirs.iter().for_each(|words| self.deliver(process, words));
        }
    }

    /// One step of time, with whatever goes wrong in it.
    pub fn step(&mut self) {
        self.now += Duration::from_millis(self.random.u64(50..250));
        self.disturb();
        self.heartbeats();
        self.ticks();
        self.deliver_floods();
        self.exchange_digest();
        self.update_gateways();
        self.check();
    }

    /// From now on nothing goes wrong.
    pub fn calm(&mut self) {
        self.trouble =
            Trouble { lost: 0.0, repeated: 0.0, delayed: 0.0, restart: 0.0, crash: 0.0, drain: 0.0 };
    }

    fn disturb(&mut self) {
        if self.random.f64() < self.trouble.restart {
            let process = self.random.usize(..PROCESSES);
            self.restart(process);
        }
        let running: Vec<usize> =
            (0..self.backends.len()).filter(|index| self.backends[*index].alive).collect();
        if running.is_empty() {
            return;
        }
        let chosen = running[self.random.usize(..running.len())];
        let draw = self.random.f64();
        if draw < self.trouble.crash {
            self.log.push(format!("{} crashes", self.backends[chosen].id));
            self.backends[chosen].alive = false;
            let port = self.backends[chosen].port;
            self.start_backend(port);
        } else if draw < self.trouble.crash + self.trouble.drain {
            self.drain(chosen);
        }
    }

    pub fn restart(&mut self, process: usize) {
        let former = self.processes[process].registry.process();
        self.log.push(format!("process {former:?} restarts"));
        self.processes[process] = self.new_process();
        for peer in (0..PROCESSES).filter(|peer| *peer != process) {
            self.processes[peer].registry.peer_down(self.now, former);
        }
        self.connect(process);
        for gateway in 0..GATEWAYS {
            if self.gateways[gateway].home == process {
                self.gateways[gateway].home = self.random.usize(..PROCESSES);
            }
        }
    }

    /// A backend says that it drains; once acknowledged and drained, it may sign off and end.
    fn drain(&mut self, index: usize) {
        if self.backends[index].draining {
            let (id, home) = (self.backends[index].id.clone(), self.backends[index].home);
            self.log.push(format!("{id} signs off"));
            let heard = self.processes[home].registry.leave(self.now, &id).unwrap();
            if let Some(words) = heard.announcement {
                self.flood(home, words);
            }
            self.backends[index].alive = false;
            let port = self.backends[index].port;
            self.start_backend(port);
            return;
        }
        self.backends[index].draining = true;
        self.log.push(format!("{} drains", self.backends[index].id));
        self.send_heartbeat(index, true);
    }

    fn heartbeats(&mut self) {
        for index in 0..self.backends.len() {
            if self.backends[index].alive && self.backends[index].next_heartbeat <= self.now {
                self.backends[index].next_heartbeat = self.now + HEARTBEAT;
                self.send_heartbeat(index, false);
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize, reliably: bool) {
        if self.random.u8(..) < 20 {
            self.backends[index].home = self.random.usize(..PROCESSES);
        }
        self.backends[index].seq += 1;
        let backend = &self.backends[index];
        let (home, id) = (backend.home, backend.id.clone());
        let heartbeat = heartbeat_of(backend.port, backend.seq, backend.draining);
        let heard = self.processes[home].registry.heartbeat(self.now, &id, heartbeat).unwrap();
        let Some(words) = heard.announcement else {
            return;
        };
        if !reliably {
            return self.flood(home, words);
        }
        // Draining is acknowledged when all within reach have it.
        for peer in (0..PROCESSES).filter(|peer| *peer != home) {
            self.deliver(peer, &words);
        }
        self.acknowledged_drains.insert(id);
    }

    fn flood(&mut self, from: usize, words: Announcement) {
        for peer in (0..PROCESSES).filter(|peer| *peer != from) {
            if self.random.f64() < self.trouble.lost {
                continue;
            }
            let to = self.processes[peer].registry.process();
            self.floods.push((peer, to, words.clone()));
            if self.random.f64() < self.trouble.repeated {
                self.floods.push((peer, to, words.clone()));
            }
        }
    }

    fn deliver_floods(&mut self) {
        let mut floods = std::mem::take(&mut self.floods);
        self.random.shuffle(&mut floods);
        for (peer, to, words) in floods {
            if self.random.f64() < self.trouble.delayed {
                self.floods.push((peer, to, words));
            } else if self.processes[peer].registry.process() == to {
                self.deliver(peer, &words);
            }
        }
    }

    fn deliver(&mut self, to: usize, words: &Announcement) {
        let words: Announcement = rmp_serde::from_slice(&rmp_serde::to_vec(words).unwrap()).unwrap();
        if let Some(correction) = self.processes[to].registry.merge(self.now, &words) {
            self.flood(to, correction);
        }
    }

    fn ticks(&mut self) {
        for process in 0..PROCESSES {
            if let Some(words) = self.processes[process].registry.tick(self.now) {
                self.flood(process, words);
            }
        }
    }

    fn exchange_digest(&mut self) {
        let (one, other) = (self.random.usize(..PROCESSES), self.random.usize(..PROCESSES));
        if one == other {
            return;
        }
        let digest = self.processes[one].registry.digest();
        for words in self.processes[other].registry.answer_digest(self.now, &digest) {
            self.deliver(one, &words);
        }
    }

    fn update_gateways(&mut self) {
        for gateway in 0..GATEWAYS {
            if self.random.f64() < 0.02 {
                self.gateways[gateway].home = self.random.usize(..PROCESSES);
            }
            let home = &self.processes[self.gateways[gateway].home].registry;
            let changes = home.changes_since(self.now, self.gateways[gateway].builder.cursor());
            self.gateways[gateway].builder.apply(self.now, changes);
        }
    }

    /// What must hold at each moment.
    fn check(&self) {
        for (index, gateway) in self.gateways.iter().enumerate() {
            for record in gateway.builder.table().iter() {
                let drained = self.acknowledged_drains.contains(&record.id);
                assert!(
                    !drained || !record.may_receive(),
                    "gateway {index} sends to {record:?}\n{:#?}",
                    self.log
                );
            }
        }
    }

    /// What each process, and the gateways that follow it, hold to be the state of the running backends.
    pub fn views(&self) -> Vec<BTreeMap<String, BackendState>> {
        let processes = self.processes.iter().map(|process| {
            let changes = process.registry.changes_since(self.now, None);
            running(changes.records.iter())
        });
        let gateways = self.gateways.iter().map(|gateway| {
            let table = gateway.builder.table();
            let records: Vec<BackendRecord> =
                table.iter().map(|record| BackendRecord::clone(record)).collect();
            running(records.iter())
        });
        processes.chain(gateways).collect()
    }

    /// What is so.
    pub fn truth(&self) -> BTreeMap<String, BackendState> {
        let running = self.backends.iter().filter(|backend| backend.alive);
        running
            .map(|backend| {
                let state = if backend.draining { BackendState::Draining } else { BackendState::Ready };
                (backend.id.clone(), state)
            })
            .collect()
    }
}

fn running<'a>(records: impl Iterator<Item = &'a BackendRecord>) -> BTreeMap<String, BackendState> {
    records.filter(|record| record.alive()).map(|record| (record.id.clone(), record.state)).collect()
}

pub fn heartbeat_of(port: u16, seq: u64, draining: bool) -> Heartbeat {
    Heartbeat {
        service: format!("service-{}", port % 2),
        address: format!("10.0.0.1:{port}").parse().unwrap(),
        zone: "zone-a".to_owned(),
        generation: "v1".to_owned(),
        slots: 64,
        state: if draining { HeartbeatState::Draining } else { HeartbeatState::Ready },
        cold_left_ms: 0,
        stage: String::new(),
        models: Vec::new(),
        seq,
    }
}
