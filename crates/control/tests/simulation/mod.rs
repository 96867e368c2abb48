//! Replicas in virtual time: a network that loses, doubles and reorders, disks that stall, fill up and forget what
//! wasn't synced, processes that die, freeze and lose their disks, and operators that watch from outside.

#![allow(dead_code)]

pub mod checks;
pub mod ends;
pub mod fences;
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
use machine::Flight;
pub use machine::{DiskMode, Node};
use operators::Operators;

/// Between two words of presence.
const PRESENCE: Duration = ms(500);
/// Messages up to this size have a connection of their own.
const SMALL: u64 = 16 << 10;
pub const TICK: Duration = Duration::from_millis(50);

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick {
        node: usize,
        life: u64,
    },
    Deliver {
        node: usize,
        message: Message,
    },
    Synced {
        node: usize,
        life: u64,
        write_id: WriteId,
    },
    Persisted {
        node: usize,
        life: u64,
        write_id: WriteId,
        refused: bool,
    },
    /// A process says to one that it has for a seed that it is there.
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

/// How the network treats messages.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub delay: Duration,
    pub spread: Duration,
    /// Of a thousand.
    pub lost: u64,
    pub doubled: u64,
    pub late: u64,
    /// What each machine sends and receives in a millisecond at the most; no limit if 0.
    pub bytes_per_ms: u64,
}

impl Network {
    pub const CALM: Network =
        Network { delay: ms(1), spread: ms(1), lost: 0, doubled: 0, late: 0, bytes_per_ms: 0 };
}

/// When a machine's link is free again, and all that it carried.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    free_at: Duration,
    pub bytes: u64,
}

/// All of it.
pub struct World {
    pub now: Duration,
    pub random: fastrand::Rng,
    pub nodes: Vec<Node>,
    pub network: Network,
    /// Of each machine, outward by false and inward by true.
    pub links: HashMap<(usize, bool), Link>,
    pub timing: Timing,
    pub tolerate: usize,
    /// One-way cuts.
    pub cuts: Vec<(usize, usize)>,
    pub checks: Checks,
    pub operators: Operators,
    pub messages: u64,
    /// All answers.
    pub heard: Vec<(CommandId, Outcome)>,
    /// All answers to operators who declared machines to be gone.
    pub departures: Vec<(CommandId, Departure)>,
    /// Prints what happens.
    pub verbose: bool,
    /// Those that stay down or sick at the end.
    pub left_out: Vec<usize>,
    /// When disks were lost.
    lost_disks: Vec<Duration>,
    /// The changes that each lost disk held.
    lost_copies: Vec<Vec<EntryHeader>>,
    /// Copies are counted at each acknowledgement too, not only at the first word of the commit: dear where disks are full.
    pub counts_copies_again: bool,
    /// The end that strikes at the next acknowledgement or change.
    pub pending_end: Option<ends::End>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    number: u64,
    addresses: HashMap<SocketAddr, usize>,
}

pub fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, place as u8 + 1], 7500))
}

impl World {
    /// Three seeds and as many more that join; nothing runs yet.
    pub fn new(seed: u64, seeds: usize, others: usize) -> World {
        let addresses: Vec<SocketAddr> = (0..seeds).map(address).collect();
        let mut world = World {
            now: ms(5000),
            random: fastrand::Rng::with_seed(seed),
            nodes: Vec::new(),
            network: Network::CALM,
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
            left_out: Vec::new(),
            lost_disks: Vec::new(),
            lost_copies: Vec::new(),
            counts_copies_again: false,
            pending_end: None,
            queue: BinaryHeap::new(),
            number: 0,
            addresses: HashMap::new(),
        };
        for place in 0..seeds + others {
            world.add_node(addresses.clone(), place < seeds, true);
        }
        world
    }

    pub fn add_node(&mut self, seeds: Vec<SocketAddr>, bootstrap: bool, durable: bool) -> usize {
        let place = self.nodes.len();
        self.addresses.insert(address(place), place);
        self.nodes.push(Node {
            address: address(place),
            zone: format!("z{}", place % 4),
            bootstrap,
            durable,
            seeds,
            replica: None,
            disk: Vec::new(),
            mode: DiskMode::Well,
            flight: None,
            rewrite: None,
            booted: Duration::ZERO,
            life: 0,
            frozen: false,
            held: Vec::new(),
            removed: false,
            identity: None,
        });
        place
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

    /// Starts a process from what its disk holds.
    pub fn start(&mut self, place: usize) {
        let entropy = self.random.u64(..);
        let node = &mut self.nodes[place];
        if node.replica.is_some() || node.removed {
            return;
        }
        if node.life == 0 {
            self.present_to_seeds(place);
        }
        let node = &mut self.nodes[place];
        node.life += 1;
        node.frozen = false;
        node.booted = self.now.saturating_sub(ms(self.random.u64(1..2000)));
        let options = self.options(place, entropy);
        let node = &mut self.nodes[place];
        node.bootstrap = false;
        let records = node.disk.iter().map(|bytes| Record::decode(bytes).expect("a sound record")).collect();
        let mut outputs = Vec::new();
        let replica = Replica::restore(self.now - node.booted, options, records, &mut outputs);
        node.identity = Some(replica.id());
        node.replica = Some(replica);
        let life = node.life;
        self.perform(place, outputs);
        let first = self.now + Duration::from_micros(self.random.u64(0..50_000));
        self.push(first, Event::Tick { node: place, life });
    }

    /// Each process presents itself to its seeds twice a second.
    fn present_to_seeds(&mut self, from: usize) {
        for seed in self.nodes[from].seeds.clone() {
            if let Some(node) = self.addresses.get(&seed).copied().filter(|node| *node != from) {
                self.push(self.now + PRESENCE, Event::Present { from, node });
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
            self.push(self.now + PRESENCE, Event::Present { from, node });
        }
    }

    /// The process ends. What it hadn't synced is there or not, by lot.
    pub fn kill(&mut self, place: usize) {
        let kept = self.random.bool();
        self.end(place, kept);
    }

    /// Power is lost, and all that wasn't synced with it.
    pub fn kill_without_power(&mut self, place: usize) {
        self.end(place, false);
    }

    fn end(&mut self, place: usize, kept: bool) {
        // A rewrite comes after the write under way, and is there or not by a lot of its own.
        let rewrite_kept = self.random.bool();
        let node = &mut self.nodes[place];
        node.replica = None;
        node.held.clear();
        node.frozen = false;
        if let Some(flight) = node.flight.take() {
            if kept && !flight.refused {
                node.disk.extend(flight.records);
                if let Some(rewrite) = node.rewrite.take().filter(|_| rewrite_kept) {
                    node.disk = rewrite;
                }
            }
        }
        node.rewrite = None;
        self.operators.lose(place);
    }

    /// The process ends and its disk is emptied.
    pub fn wipe(&mut self, place: usize) {
        let copies = self.changes_on_disk(place);
        self.lost_copies.push(copies);
        self.kill(place);
        self.nodes[place].disk.clear();
        self.nodes[place].mode = DiskMode::Well;
    }

    pub fn freeze(&mut self, place: usize) {
        self.nodes[place].frozen = self.nodes[place].replica.is_some();
    }

    pub fn thaw(&mut self, place: usize) {
        if !std::mem::take(&mut self.nodes[place].frozen) {
            return;
        }
        for event in std::mem::take(&mut self.nodes[place].held) {
            self.push(self.now, event);
        }
    }

    pub fn set_disk(&mut self, place: usize, mode: DiskMode) {
        let was = std::mem::replace(&mut self.nodes[place].mode, mode);
        if was == DiskMode::Stalled && mode != DiskMode::Stalled {
            let node = &self.nodes[place];
            if let Some(flight) = &node.flight {
                let event = Event::Synced { node: place, life: node.life, write_id: flight.write_id };
                self.push(self.now + ms(2), event);
            }
        }
    }

    /// Runs until a time.
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
            Event::Operator(wake) => self.operator_wakes(wake),
            Event::Fault(fault) => self.apply(fault),
            Event::Synced { node, life, write_id } => self.synced(node, life, write_id),
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
            Event::Tick { node, life }
                if life == self.nodes[node].life && self.nodes[node].replica.is_some() =>
            {
                self.input(node, Input::Tick);
                let late = Duration::from_micros(self.random.u64(0..8_000));
                self.push(self.now + TICK + late, Event::Tick { node, life });
            }
            Event::Deliver { node, message } => {
                let bytes = rmp_serde::to_vec(&message).expect("encoded");
                let message: Message = rmp_serde::from_slice(&bytes).expect("decoded");
                self.note_refusal(node, &message);
                if let Some(sender) = self.addresses.get(&message.sender.address) {
                    *self.checks.delivered.entry(*sender).or_default() += 1;
                }
                self.input(node, Input::Message(message));
            }
            Event::Persisted { node, life, write_id, refused } if life == self.nodes[node].life => {
                let input = if refused { Input::WriteFailed(write_id) } else { Input::Persisted(write_id) };
                self.input(node, input);
            }
            _ => {}
        }
    }

    /// The disk is done with a write, whether or not the process can hear it.
    fn synced(&mut self, place: usize, life: u64, write_id: WriteId) {
        let node = &mut self.nodes[place];
        let due = node.flight.as_ref().is_some_and(|flight| flight.write_id == write_id);
        if life != node.life || !due || node.mode == DiskMode::Stalled {
            return;
        }
        let Some(flight) = node.flight.take() else { return };
        if !flight.refused {
            node.disk.extend(flight.records);
        }
        if let Some(rewrite) = node.rewrite.take() {
            node.disk = rewrite;
        }
        let event = Event::Persisted { node: place, life, write_id, refused: flight.refused };
        self.push(self.now, event);
    }

    pub fn input(&mut self, place: usize, input: Input) {
        let now = self.now;
        let node = &mut self.nodes[place];
        let Some(replica) = &mut node.replica else { return };
        let mut outputs = Vec::new();
        replica.handle(now.saturating_sub(node.booted), input, &mut outputs);
        self.perform(place, outputs);
        self.check_freshness(place);
        self.maybe_rewrite(place);
    }

    fn maybe_rewrite(&mut self, place: usize) {
        let rewrites = self.random.u32(0..200) == 0;
        let node = &mut self.nodes[place];
        let (true, Some(replica)) = (rewrites && node.durable, &node.replica) else { return };
        let snapshot = replica.snapshot_records();
        let records: Vec<Vec<u8>> = snapshot.iter().map(|record| record.encode().expect("encoded")).collect();
        if node.flight.is_some() {
            node.rewrite = Some(records);
        } else if node.mode == DiskMode::Well {
            node.disk = records;
        }
    }

    fn perform(&mut self, place: usize, outputs: Vec<Output>) {
        for output in outputs {
            self.print(place, &output);
            match output {
                Output::Send { to, message } => self.send(place, to, message),
                Output::Persist { write_id, records } => self.persist(place, write_id, &records),
                Output::Answer { key, outcome } => {
                    self.heard.push((key, outcome));
                    self.operator_answered(place, key, outcome);
                }
                Output::DepartureAnswer { key, departure } => self.departures.push((key, departure)),
                Output::Committed(entry) => {
                    assert!(!entry.command.is_inquiry(), "an inquiry was taken for a change");
                    self.check_durable(&entry);
                    self.checks.committed(self.now, place, &entry);
                }
                Output::ViewChanged(view) => self.checks.view(self.now, place, &view),
                Output::Violation(violation) => self.checks.violated(self.now, place, violation),
            }
        }
    }

    /// What a replica puts out, for the reader of a failure.
    fn print(&self, place: usize, output: &Output) {
        if !self.verbose {
            return;
        }
        let quiet = |body: &Body| {
            matches!(body, Body::Heartbeat(_) | Body::Decide(_) | Body::Join(_) | Body::Hello(_))
        };
        match output {
            Output::Send { message, .. } if quiet(&message.body) => {}
            Output::Persist { .. } => {}
            output => println!("{:?} node {place}: {output:?}", self.now),
        }
    }

    fn persist(&mut self, place: usize, write_id: WriteId, records: &[Record]) {
        let usual = Duration::from_micros(self.random.u64(800..3_000));
        let node = &mut self.nodes[place];
        assert!(node.flight.is_none(), "one write at a time");
        let records = records.iter().map(|record| record.encode().expect("encoded")).collect();
        let refused = node.mode == DiskMode::Full;
        node.flight = Some(Flight { write_id, records, refused });
        let takes = match node.mode {
            DiskMode::Slow(takes) => takes,
            _ => usual,
        };
        let event = Event::Synced { node: place, life: node.life, write_id };
        self.push(self.now + takes, event);
    }

    /// Remembers what a process is told of fences by a message that it takes.
    fn note_refusal(&mut self, place: usize, message: &Message) {
        let node = &self.nodes[place];
        let is_taken = message.target.is_none_or(|target| node.identity == Some(target));
        if node.replica.is_some() && is_taken {
            self.checks.fences.received((place, node.life), message);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        self.messages += 1;
        if let Some(text) = self.checks.fences.reused((from, self.nodes[from].life), &message) {
            let now = self.now;
            self.checks.breach(format!("{now:?}: {text}: {:?}", message.body));
        }
        self.strike_after_an_install(&message.body);
        let Some(to) = self.addresses.get(&to).copied() else { return };
        if self.cuts.contains(&(from, to)) || self.random.u64(0..1000) < self.network.lost {
            return;
        }
        let sent = self.carry(from, to, &message);
        let copies = if self.random.u64(0..1000) < self.network.doubled { 2 } else { 1 };
        for _ in 0..copies {
            let spread = self.random.u64(0..=self.network.spread.as_micros() as u64);
            let mut delay = self.network.delay + Duration::from_micros(spread);
            if self.random.u64(0..1000) < self.network.late {
                delay += ms(self.random.u64(1..400));
            }
            self.push(sent + delay, Event::Deliver { node: to, message: message.clone() });
        }
    }
}

impl World {
    /// When both machines' links have carried a message.
    fn carry(&mut self, from: usize, to: usize, message: &Message) -> Duration {
        if self.network.bytes_per_ms == 0 {
            return self.now;
        }
        let bytes = rmp_serde::to_vec(message).expect("encoded").len() as u64;
        let takes = Duration::from_micros(bytes * 1000 / self.network.bytes_per_ms);
        if bytes <= SMALL {
            // On a connection of its own it shares the link with a large one and doesn't wait for its end.
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

impl Drop for World {
    /// Whatever a test looks at, no replica may have seen its own invariants broken. Schedules report it themselves.
    fn drop(&mut self) {
        if !std::thread::panicking() && !self.checks.violations_reported {
            assert_eq!(self.checks.violations, 0, "{:#?}", self.checks.breaches);
        }
    }
}

/// A core: its machines, and the losses that it bears.
#[derive(Clone, Copy, Debug)]
pub struct Core {
    pub machines: usize,
    pub losses: usize,
}

impl Core {
    /// How many of the machines vote.
    pub fn voters(self) -> usize {
        2 * self.losses + 1
    }

    /// Its machines, which start one after another; nothing has run yet.
    pub fn starting(self, seed: u64) -> World {
        let mut world = World::new(seed, 3, self.machines - 3);
        world.tolerate = self.losses;
        for place in 0..self.machines {
            world.fault_at(world.now + ms(40 * place as u64), schedule::Fault::Start(place));
        }
        world
    }
}

/// Lets time pass.
pub fn run(world: &mut World, millis: u64) {
    world.run_until(world.now + ms(millis));
}

pub fn command(if_match: u64, generation: u64, salt: u64) -> Arc<Command> {
    Arc::new(Command::new(if_match, generation, format!("{generation} on {if_match} by {salt}").into_bytes()))
}

pub fn submit(world: &mut World, place: usize, key: u64, command: Arc<Command>) {
    world.input(place, Input::Submit { key: CommandId(key), command });
}

pub fn is_refusal(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Conflict { .. } | Outcome::Invalid { .. })
}
