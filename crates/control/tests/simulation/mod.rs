//! Deterministic simulation of replicas in virtual time. The network loses, duplicates and reorders messages;
//! disks stall, fill up and lose unsynced writes; processes die, freeze and lose their disks; simulated
//! operators submit commands.

#![allow(dead_code)]

pub mod checks;
pub mod ends;
pub mod fencing;
pub mod inspect;
pub mod machine;
pub mod operators;
pub mod schedule;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crankpick_control::{
    Body, Command, CommandId, Departure, EntryHeader, Input, Message, Outcome, Output, Record, Replica,
    Timing, WriteId,
};

use checks::Checks;
use machine::PendingWrite;
pub use machine::{DiskMode, Node};
use operators::Operators;

/// The interval between two presence announcements of a process.
const PRESENCE_INTERVAL: Duration = ms(500);
/// Messages up to this size use a separate connection.
const SMALL_MESSAGE_BYTES: u64 = 16 << 10;
pub const TICK: Duration = Duration::from_millis(50);

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick {
        node: usize,
        start_number: u64,
    },
    Deliver {
        node: usize,
        message: Message,
    },
    Synced {
        node: usize,
        start_number: u64,
        write_id: WriteId,
    },
    Persisted {
        node: usize,
        start_number: u64,
        write_id: WriteId,
        refused: bool,
    },
    /// A process announces itself to one of its seeds.
    Present {
        from: usize,
        node: usize,
    },
    Operator(operators::Wake),
    Fault(schedule::Fault),
}

struct Scheduled {
    at: Duration,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Network conditions.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub delay: Duration,
    pub jitter: Duration,
    /// Messages lost, per thousand.
    pub lost: u64,
    /// Messages delivered twice, per thousand.
    pub duplicated: u64,
    /// Messages with an additional delay of up to 400 ms, per thousand.
    pub delayed: u64,
    /// The bandwidth of each machine, per direction; unlimited if 0.
    pub bytes_per_ms: u64,
}

impl Network {
    pub const RELIABLE: Network =
        Network { delay: ms(1), jitter: ms(1), lost: 0, duplicated: 0, delayed: 0, bytes_per_ms: 0 };
}

/// One direction of a machine's network link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    free_at: Duration,
    /// The total of transmitted bytes.
    pub bytes: u64,
}

/// The simulated cluster: nodes, network, event queue, operators and checks.
pub struct Simulation {
    pub now: Duration,
    pub random: fastrand::Rng,
    pub nodes: Vec<Node>,
    pub network: Network,
    /// Links by machine and direction: false is outbound, true is inbound.
    pub links: HashMap<(usize, bool), Link>,
    pub timing: Timing,
    pub tolerate: usize,
    /// Pairs (from, to) between which messages are dropped, in that direction only.
    pub cuts: Vec<(usize, usize)>,
    pub checks: Checks,
    pub operators: Operators,
    pub messages: u64,
    /// All answers to submitted commands.
    pub heard: Vec<(CommandId, Outcome)>,
    /// All answers to declarations that a machine is gone.
    pub departures: Vec<(CommandId, Departure)>,
    /// Prints the outputs of the replicas.
    pub verbose: bool,
    /// Nodes that remain down or faulty after faults have stopped.
    pub left_faulty: Vec<usize>,
    /// The times at which disks were lost.
    lost_disks: Vec<Duration>,
    /// The entry headers that each lost disk held.
    lost_copies: Vec<Vec<EntryHeader>>,
    /// Counts copies at each acknowledgement too, not only when an entry is first reported as committed.
    /// Expensive when disks hold many records.
    pub checks_copies_on_acknowledgement: bool,
    /// The correlated failure that waits for its trigger.
    pub armed_failure: Option<ends::CorrelatedFailure>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    number: u64,
    addresses: HashMap<SocketAddr, usize>,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, index as u8 + 1], 7500))
}

impl Simulation {
    /// Creates `seeds` seed nodes and `others` nodes that join them. No process is started.
    pub fn new(seed: u64, seeds: usize, others: usize) -> Simulation {
        let addresses: Vec<SocketAddr> = (0..seeds).map(address).collect();
        let mut sim = Simulation {
            now: ms(5000),
            random: fastrand::Rng::with_seed(seed),
            nodes: Vec::new(),
            network: Network::RELIABLE,
            links: HashMap::new(),
            timing: Timing::default(),
            tolerate: 1,
            cuts: Vec::new(),
            checks: Checks::default(),
            operators: Operators::default(),
            messages: 0,
            heard: Vec::new(),
            departures: Vec::new(),
            verbose: std::env::var_os("CONTROL_VERBOSE").is_some(),
            left_faulty: Vec::new(),
            lost_disks: Vec::new(),
            lost_copies: Vec::new(),
            checks_copies_on_acknowledgement: false,
            armed_failure: None,
            queue: BinaryHeap::new(),
            number: 0,
            addresses: HashMap::new(),
        };
        for index in 0..seeds + others {
            sim.add_node(addresses.clone(), index < seeds, true);
        }
        sim
    }

    pub fn add_node(&mut self, seeds: Vec<SocketAddr>, bootstrap: bool, durable: bool) -> usize {
        let index = self.nodes.len();
        self.addresses.insert(address(index), index);
        self.nodes.push(Node {
            address: address(index),
            zone: format!("z{}", index % 4),
            bootstrap,
            durable,
            seeds,
            replica: None,
            disk: Vec::new(),
            disk_mode: DiskMode::Healthy,
            pending_write: None,
            pending_rewrite: None,
            booted_at: Duration::ZERO,
            start_number: 0,
            frozen: false,
            held: Vec::new(),
            removed: false,
            identity: None,
        });
        index
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(Scheduled { at, number: self.number, event }));
    }

    pub fn fault_at(&mut self, at: Duration, fault: schedule::Fault) {
        self.push(at, Event::Fault(fault));
    }

    pub fn wake_operator_at(&mut self, at: Duration, wake: operators::Wake) {
        self.push(at, Event::Operator(wake));
    }

    /// Starts a process from the records on its disk.
    pub fn start(&mut self, index: usize) {
        let entropy = self.random.u64(..);
        let node = &mut self.nodes[index];
        if node.replica.is_some() || node.removed {
            return;
        }
        if node.start_number == 0 {
            self.present_to_seeds(index);
        }
        let node = &mut self.nodes[index];
        node.start_number += 1;
        node.frozen = false;
        node.booted_at = self.now.saturating_sub(ms(self.random.u64(1..2000)));
        let options = self.options(index, entropy);
        let node = &mut self.nodes[index];
        node.bootstrap = false;
        let records = node.disk.iter().map(|bytes| Record::decode(bytes).expect("a valid record")).collect();
        let mut outputs = Vec::new();
        let replica = Replica::restore(self.now - node.booted_at, options, records, &mut outputs);
        node.identity = Some(replica.id());
        node.replica = Some(replica);
        let start_number = node.start_number;
        self.perform(index, outputs);
        let first = self.now + Duration::from_micros(self.random.u64(0..50_000));
        self.push(first, Event::Tick { node: index, start_number });
    }

    /// Each process presents itself to its seeds twice a second.
    fn present_to_seeds(&mut self, from: usize) {
        for seed in self.nodes[from].seeds.clone() {
            if let Some(node) = self.addresses.get(&seed).copied().filter(|node| *node != from) {
                self.push(self.now + PRESENCE_INTERVAL, Event::Present { from, node });
            }
        }
    }

    fn present(&mut self, from: usize, node: usize) {
        let runs = self.nodes[from].replica.is_some();
        if runs && !self.nodes[from].frozen && !self.nodes[node].frozen && !self.cuts.contains(&(from, node))
        {
            self.input(node, Input::PeerDiscovered(address(from)));
        }
        if !self.nodes[from].removed {
            self.push(self.now + PRESENCE_INTERVAL, Event::Present { from, node });
        }
    }

    /// Kills a process. Its unsynced write reaches the disk or not, at random.
    pub fn kill(&mut self, index: usize) {
        let kept = self.random.bool();
        self.stop_process(index, kept);
    }

    /// Cuts the power of a machine: all unsynced writes are lost.
    pub fn power_off(&mut self, index: usize) {
        self.stop_process(index, false);
    }

    fn stop_process(&mut self, index: usize, kept: bool) {
        // A file rewrite follows the pending write; whether it reaches the disk is drawn separately.
        let rewrite_kept = self.random.bool();
        let node = &mut self.nodes[index];
        node.replica = None;
        node.held.clear();
        node.frozen = false;
        if let Some(pending_write) = node.pending_write.take() {
            if kept && !pending_write.refused {
                node.disk.extend(pending_write.records);
                if let Some(pending_rewrite) = node.pending_rewrite.take().filter(|_| rewrite_kept) {
                    node.disk = pending_rewrite;
                }
            }
        }
        node.pending_rewrite = None;
        self.operators.drop_calls_to(index);
    }

    /// Kills a process and erases its disk.
    pub fn wipe(&mut self, index: usize) {
        let copies = self.changes_on_disk(index);
        self.lost_copies.push(copies);
        self.kill(index);
        self.nodes[index].disk.clear();
        self.nodes[index].disk_mode = DiskMode::Healthy;
    }

    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen = self.nodes[index].replica.is_some();
    }

    pub fn thaw(&mut self, index: usize) {
        if !std::mem::take(&mut self.nodes[index].frozen) {
            return;
        }
        for event in std::mem::take(&mut self.nodes[index].held) {
            self.push(self.now, event);
        }
    }

    pub fn set_disk(&mut self, index: usize, disk_mode: DiskMode) {
        let was = std::mem::replace(&mut self.nodes[index].disk_mode, disk_mode);
        if was == DiskMode::Stalled && disk_mode != DiskMode::Stalled {
            let node = &self.nodes[index];
            if let Some(pending_write) = &node.pending_write {
                let event = Event::Synced {
                    node: index,
                    start_number: node.start_number,
                    write_id: pending_write.write_id,
                };
                self.push(self.now + ms(2), event);
            }
        }
    }

    /// Processes all events up to the time `end`.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > end {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = self.now.max(next.at);
            self.step(next.event);
        }
        self.now = self.now.max(end);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Operator(wake) => self.wake_operator(wake),
            Event::Fault(fault) => self.apply(fault),
            Event::Synced { node, start_number, write_id } => self.synced(node, start_number, write_id),
            Event::Present { from, node } => self.present(from, node),
            Event::Tick { node, .. } | Event::Deliver { node, .. } | Event::Persisted { node, .. } => {
                if self.nodes[node].frozen {
                    self.nodes[node].held.push(event);
                } else {
                    self.process(event);
                }
            }
        }
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Tick { node, start_number }
                if start_number == self.nodes[node].start_number && self.nodes[node].replica.is_some() =>
            {
                self.input(node, Input::Tick);
                let late = Duration::from_micros(self.random.u64(0..8_000));
                self.push(self.now + TICK + late, Event::Tick { node, start_number });
            }
            Event::Deliver { node, message } => {
                let bytes = rmp_serde::to_vec(&message).expect("encoded");
                let message: Message = rmp_serde::from_slice(&bytes).expect("decoded");
                self.record_refusal(node, &message);
                if let Some(sender) = self.addresses.get(&message.sender.address) {
                    *self.checks.delivered.entry(*sender).or_default() += 1;
                }
                self.input(node, Input::Message(message));
            }
            Event::Persisted { node, start_number, write_id, refused }
                if start_number == self.nodes[node].start_number =>
            {
                let input = if refused { Input::WriteFailed(write_id) } else { Input::Persisted(write_id) };
                self.input(node, input);
            }
            _ => {}
        }
    }

    /// Completes a disk write, even if the process is frozen.
    fn synced(&mut self, index: usize, start_number: u64, write_id: WriteId) {
        let node = &mut self.nodes[index];
        let due = node.pending_write.as_ref().is_some_and(|pending_write| pending_write.write_id == write_id);
        if start_number != node.start_number || !due || node.disk_mode == DiskMode::Stalled {
            return;
        }
        let Some(pending_write) = node.pending_write.take() else { return };
        if !pending_write.refused {
            node.disk.extend(pending_write.records);
        }
        if let Some(pending_rewrite) = node.pending_rewrite.take() {
            node.disk = pending_rewrite;
        }
        let event = Event::Persisted { node: index, start_number, write_id, refused: pending_write.refused };
        self.push(self.now, event);
    }

    pub fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else { return };
        let mut outputs = Vec::new();
        replica.handle(now.saturating_sub(node.booted_at), input, &mut outputs);
        self.perform(index, outputs);
        self.check_freshness(index);
        self.maybe_rewrite(index);
    }

    fn maybe_rewrite(&mut self, index: usize) {
        let rewrites = self.random.u32(0..200) == 0;
        let node = &mut self.nodes[index];
        let (true, Some(replica)) = (rewrites && node.durable, &node.replica) else { return };
        let snapshot = replica.snapshot_records();
        let records: Vec<Vec<u8>> = snapshot.iter().map(|record| record.encode().expect("encoded")).collect();
        if node.pending_write.is_some() {
            node.pending_rewrite = Some(records);
        } else if node.disk_mode == DiskMode::Healthy {
            node.disk = records;
        }
    }

    fn perform(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            self.print(index, &output);
            match output {
                Output::Send { to, message } => self.send(index, to, message),
                Output::Persist { write_id, records } => self.persist(index, write_id, &records),
                Output::Answer { key, outcome } => {
                    self.heard.push((key, outcome));
                    self.operator_answered(index, key, outcome);
                }
                Output::DepartureAnswer { key, departure } => self.departures.push((key, departure)),
                Output::Committed(entry) => {
                    assert!(!entry.command.is_inquiry(), "an inquiry was committed as a change");
                    self.check_durable(&entry);
                    self.checks.committed(self.now, index, &entry);
                }
                Output::ViewChanged(view) => self.checks.view(self.now, index, &view),
                Output::Violation(violation) => self.checks.violated(self.now, index, violation),
            }
        }
    }

    /// Prints an output of a replica, for debugging a failed run.
    fn print(&self, index: usize, output: &Output) {
        if !self.verbose {
            return;
        }
        let quiet = |body: &Body| {
            matches!(body, Body::Heartbeat(_) | Body::Decide(_) | Body::Join(_) | Body::Hello(_))
        };
        match output {
            Output::Send { message, .. } if quiet(&message.body) => {}
            Output::Persist { .. } => {}
            output => println!("{:?} node {index}: {output:?}", self.now),
        }
    }

    fn persist(&mut self, index: usize, write_id: WriteId, records: &[Record]) {
        let usual = Duration::from_micros(self.random.u64(800..3_000));
        let node = &mut self.nodes[index];
        assert!(node.pending_write.is_none(), "one write at a time");
        let records = records.iter().map(|record| record.encode().expect("encoded")).collect();
        let refused = node.disk_mode == DiskMode::Full;
        node.pending_write = Some(PendingWrite { write_id, records, refused });
        let takes = match node.disk_mode {
            DiskMode::Slow(takes) => takes,
            _ => usual,
        };
        let event = Event::Synced { node: index, start_number: node.start_number, write_id };
        self.push(self.now + takes, event);
    }

    /// Records epochs and ballots that a process learns to be refused from a message that it accepts.
    fn record_refusal(&mut self, index: usize, message: &Message) {
        let node = &self.nodes[index];
        let is_accepted = message.target.is_none_or(|target| node.identity == Some(target));
        if node.replica.is_some() && is_accepted {
            self.checks.fencing.received((index, node.start_number), message);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        self.messages += 1;
        if let Some(text) = self.checks.fencing.reused((from, self.nodes[from].start_number), &message) {
            let now = self.now;
            self.checks.record_breach(format!("{now:?}: {text}: {:?}", message.body));
        }
        self.trigger_on_install(&message.body);
        let Some(to) = self.addresses.get(&to).copied() else { return };
        if self.cuts.contains(&(from, to)) || self.random.u64(0..1000) < self.network.lost {
            return;
        }
        let sent = self.transmit(from, to, &message);
        let copies = if self.random.u64(0..1000) < self.network.duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let jitter = self.random.u64(0..=self.network.jitter.as_micros() as u64);
            let mut delay = self.network.delay + Duration::from_micros(jitter);
            if self.random.u64(0..1000) < self.network.delayed {
                delay += ms(self.random.u64(1..400));
            }
            self.push(sent + delay, Event::Deliver { node: to, message: message.clone() });
        }
    }
}

impl Simulation {
    /// Returns when the links of both machines have transmitted a message.
    fn transmit(&mut self, from: usize, to: usize, message: &Message) -> Duration {
        if self.network.bytes_per_ms == 0 {
            return self.now;
        }
        let bytes = rmp_serde::to_vec(message).expect("encoded").len() as u64;
        let takes = Duration::from_micros(bytes * 1000 / self.network.bytes_per_ms);
        if bytes <= SMALL_MESSAGE_BYTES {
            // A small message uses its own connection: it shares the bandwidth with a large one instead of
            // queueing behind it.
            return self.now + takes * 2;
        }
        let mut done = self.now;
        for link in [(from, false), (to, true)] {
            let link = self.links.entry(link).or_default();
            link.bytes += bytes;
            link.free_at = link.free_at.max(self.now) + takes;
            done = done.max(link.free_at);
        }
        done
    }
}

impl Drop for Simulation {
    /// Fails the test if a replica has reported an invariant violation. Schedules report violations
    /// themselves.
    fn drop(&mut self) {
        if !std::thread::panicking() && !self.checks.violations_reported {
            assert_eq!(self.checks.violations, 0, "{:#?}", self.checks.breaches);
        }
    }
}

/// The size of a cluster and the number of machine losses it tolerates.
#[derive(Clone, Copy, Debug)]
pub struct ClusterConfig {
    pub machines: usize,
    pub losses: usize,
}

impl ClusterConfig {
    /// The number of voting machines.
    pub fn voters(self) -> usize {
        2 * self.losses + 1
    }

    /// Creates a simulation in which the machines start 40 ms apart. No event has been processed yet.
    pub fn start_cluster(self, seed: u64) -> Simulation {
        let mut sim = Simulation::new(seed, 3, self.machines - 3);
        sim.tolerate = self.losses;
        for index in 0..self.machines {
            sim.fault_at(sim.now + ms(40 * index as u64), schedule::Fault::Start(index));
        }
        sim
    }
}

/// Runs the simulation for `millis` milliseconds.
pub fn run(sim: &mut Simulation, millis: u64) {
    sim.run_until(sim.now + ms(millis));
}

pub fn command(if_match: u64, generation: u64, salt: u64) -> Arc<Command> {
    Arc::new(Command::new(if_match, generation, format!("{generation} on {if_match} by {salt}").into_bytes()))
}

pub fn submit(sim: &mut Simulation, index: usize, key: u64, command: Arc<Command>) {
    sim.input(index, Input::Submit { key: CommandId(key), command });
}

pub fn is_refusal(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Conflict { .. } | Outcome::Invalid { .. })
}
