//! Simulation of control-plane processes, backends and gateways with an unreliable broadcast, in virtual
//! time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crankpick_registry::{
    Announcement, BackendRecord, BackendState, Heartbeat, HeartbeatState, ProcessId, Registry,
    RegistrySettings, TableBuilder,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1200);
const PROCESSES: usize = 4;
const GATEWAYS: usize = 3;

/// The probabilities of faults.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// The fractions of announcements that are lost, duplicated, or delayed and thus reordered.
    pub lost: f64,
    pub repeated: f64,
    pub delayed: f64,
    /// The probabilities of a process restart, and of a backend crash or drain, per step.
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
    fault_rates: FaultRates,
    in_flight: Vec<(usize, ProcessId, Announcement)>,
    ids: u64,
}

impl Fleet {
    pub fn new(seed: u64, fault_rates: FaultRates) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1),
            random: fastrand::Rng::with_seed(seed),
            processes: Vec::new(),
            gateways: (0..GATEWAYS).map(|home| Gateway { builder: TableBuilder::new(), home }).collect(),
            backends: Vec::new(),
            acknowledged_drains: BTreeSet::new(),
            log: Vec::new(),
            fault_rates,
            in_flight: Vec::new(),
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

    /// Connects a process to all others: both sides send each other their full state.
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
                self.processes[process].registry.full_state(self.now),
                self.processes[peer].registry.full_state(self.now),
            );
            ours.iter().for_each(|announcement| self.deliver(peer, announcement));
            theirs.iter().for_each(|announcement| self.deliver(process, announcement));
        }
    }

    /// Advances the time by one step and injects faults. Checks the invariant afterwards.
    pub fn step(&mut self) {
        self.now += Duration::from_millis(self.random.u64(50..250));
        self.inject_faults();
        self.send_due_heartbeats();
        self.tick_processes();
        self.deliver_in_flight();
        self.exchange_digest();
        self.update_gateways();
        self.check();
    }

    /// Disables all faults.
    pub fn stop_faults(&mut self) {
        self.fault_rates =
            FaultRates { lost: 0.0, repeated: 0.0, delayed: 0.0, restart: 0.0, crash: 0.0, drain: 0.0 };
    }

    fn inject_faults(&mut self) {
        if self.random.f64() < self.fault_rates.restart {
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
        if draw < self.fault_rates.crash {
            self.log.push(format!("{} crashes", self.backends[chosen].id));
            self.backends[chosen].alive = false;
            let port = self.backends[chosen].port;
            self.start_backend(port);
        } else if draw < self.fault_rates.crash + self.fault_rates.drain {
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

    /// Starts to drain a backend; if it is already draining, it leaves and ends.
    fn drain(&mut self, index: usize) {
        if self.backends[index].draining {
            let (id, home) = (self.backends[index].id.clone(), self.backends[index].home);
            self.log.push(format!("{id} signs off"));
            let outcome = self.processes[home].registry.leave(self.now, &id).unwrap();
            if let Some(announcement) = outcome.announcement {
                self.broadcast(home, announcement);
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

    fn send_due_heartbeats(&mut self) {
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
        let heartbeat = heartbeat_with(backend.port, backend.seq, backend.draining);
        let outcome = self.processes[home].registry.heartbeat(self.now, &id, heartbeat).unwrap();
        let Some(announcement) = outcome.announcement else {
            return;
        };
        if !reliably {
            return self.broadcast(home, announcement);
        }
        // A drain is acknowledged once all reachable processes have it.
        for peer in (0..PROCESSES).filter(|peer| *peer != home) {
            self.deliver(peer, &announcement);
        }
        self.acknowledged_drains.insert(id);
    }

    fn broadcast(&mut self, from: usize, announcement: Announcement) {
        for peer in (0..PROCESSES).filter(|peer| *peer != from) {
            if self.random.f64() < self.fault_rates.lost {
                continue;
            }
            let to = self.processes[peer].registry.process();
            self.in_flight.push((peer, to, announcement.clone()));
            if self.random.f64() < self.fault_rates.repeated {
                self.in_flight.push((peer, to, announcement.clone()));
            }
        }
    }

    fn deliver_in_flight(&mut self) {
        let mut in_flight = std::mem::take(&mut self.in_flight);
        self.random.shuffle(&mut in_flight);
        for (peer, to, announcement) in in_flight {
            if self.random.f64() < self.fault_rates.delayed {
                self.in_flight.push((peer, to, announcement));
            } else if self.processes[peer].registry.process() == to {
                self.deliver(peer, &announcement);
            }
        }
    }

    fn deliver(&mut self, to: usize, announcement: &Announcement) {
        let announcement: Announcement =
            rmp_serde::from_slice(&rmp_serde::to_vec(announcement).unwrap()).unwrap();
        if let Some(correction) = self.processes[to].registry.merge(self.now, &announcement) {
            self.broadcast(to, correction);
        }
    }

    fn tick_processes(&mut self) {
        for process in 0..PROCESSES {
            if let Some(announcement) = self.processes[process].registry.tick(self.now) {
                self.broadcast(process, announcement);
            }
        }
    }

    fn exchange_digest(&mut self) {
        let (one, other) = (self.random.usize(..PROCESSES), self.random.usize(..PROCESSES));
        if one == other {
            return;
        }
        let digest = self.processes[one].registry.digest();
        for announcement in self.processes[other].registry.answer_digest(self.now, &digest) {
            self.deliver(one, &announcement);
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

    /// Checks the invariant that no gateway sends to a backend whose drain was acknowledged.
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

    /// The states of the running backends, as each process and each gateway sees them.
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

    /// The actual states of the running backends.
    pub fn running_backends(&self) -> BTreeMap<String, BackendState> {
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
    records.filter(|record| record.is_alive()).map(|record| (record.id.clone(), record.state)).collect()
}

pub fn heartbeat_with(port: u16, seq: u64, draining: bool) -> Heartbeat {
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
