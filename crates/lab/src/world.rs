//! A fleet in virtual time: whole nodes of `crankpick-fleet` on disks, links and clocks that fail as drawn from
//! a seed. The same seed plays the same run. Called by `crankpick-lab virtual` and the tests.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crankpick_fleet::kept::{Batch, Disk, Kept};
use crankpick_fleet::lease::Times;
use crankpick_fleet::node::{Event, Link, Node, Output, Plan};
use crankpick_fleet::state::{Command, Outcome};
use crankpick_fleet::words::{Ask, Publication, Told, Word, OUTS};
use crankpick_fleet::work::Terms;

use crate::history::{Kind, Line};

mod upkeep;

pub use upkeep::Plans;
use upkeep::Upkeep;

/// What a schedule may hold, and what is broken on purpose.
#[derive(Clone, Debug)]
pub struct Setup {
    pub voters: usize,
    pub others: usize,
    pub lease_us: u64,
    /// Faults come within this time; then all is healed.
    pub faulty_us: u64,
    /// Each clock's pace is off by up to this part.
    pub drift: f64,
    /// A disk forgets votes and terms over a restart: what must never happen.
    pub forgetful: bool,
    pub margin: Option<u64>,
    /// Machines out for work, if any.
    pub plans: Option<Plans>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            voters: 3,
            others: 2,
            lease_us: 1_000_000,
            faulty_us: 12_000_000,
            drift: 0.01,
            forgetful: false,
            margin: None,
            plans: None,
        }
    }
}

/// A disk in memory. What `write` returned for is there after a crash.
#[derive(Default)]
struct MemDisk {
    kept: Kept,
    full: bool,
    /// The power fails in the write after so many: it is there or not, as drawn, and the process is gone.
    tears: Option<(u32, bool)>,
    torn: bool,
}

impl Disk for MemDisk {
    fn write(&mut self, batch: &Batch) -> Result<(), String> {
        if self.full {
            return Err("no space left".into());
        }
        if let Some((left, there)) = &mut self.tears {
            if *left == 0 {
                if *there {
                    self.kept.absorb(batch);
                }
                (self.tears, self.torn) = (None, true);
                return Err("power lost".into());
            }
            *left -= 1;
        }
        self.kept.absorb(batch);
        Ok(())
    }
}

struct Host {
    name: String,
    node: Option<Node>,
    disk: MemDisk,
    incarnation: u64,
    paused: bool,
    /// Told to end: it owns nothing until it is started again.
    ending: bool,
    /// What came while it was paused.
    waiting: Vec<(Link, Word)>,
    /// Own time is `offset + pace * t`.
    offset: u64,
    pace: f64,
    revive_us: u64,
    /// The connection it has to each voter, by that voter's place.
    conns: BTreeMap<usize, u64>,
    /// Until when it may send, by its own clock.
    right_us: u64,
    /// What it sends nothing to, and until when it has something in hand at each.
    outs: BTreeSet<String>,
    busy: BTreeMap<String, u64>,
}

impl Host {
    fn clock(&self, t: u64) -> u64 {
        self.offset + (t as f64 * self.pace) as u64
    }

    fn true_time(&self, own: u64) -> u64 {
        (own.saturating_sub(self.offset) as f64 / self.pace) as u64
    }

    fn process(&self) -> String {
        format!("{}.{:x}", self.name, self.incarnation)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick(usize),
    /// To, and the place among the words on their way.
    Word(usize, u64),
    Fault(u32),
    Call(u32),
    /// What a maintenance system, its staff and the proxies' executions do.
    Upkeep,
}

/// One way from a process to another.
#[derive(Clone, Copy, Default)]
struct Way {
    /// Words are lost.
    cut: bool,
    /// Words come so much later.
    late_us: u64,
    loss: f32,
}

pub struct World {
    setup: Setup,
    plan_voters: Vec<String>,
    times: Times,
    rng: fastrand::Rng,
    t: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Due)>>,
    order: u64,
    words: BTreeMap<u64, (Link, Word)>,
    hosts: Vec<Host>,
    ways: BTreeMap<(usize, usize), Way>,
    /// Both ends of each connection.
    ends: BTreeMap<u64, (usize, usize)>,
    next_conn: u64,
    pub lines: Vec<Line>,
    /// The version each content was first seen under.
    contents: BTreeMap<u64, std::collections::BTreeSet<String>>,
    calls: BTreeMap<(usize, u64), (u128, bool, Vec<String>)>,
    next_command: u128,
    lost_a_disk: bool,
    started: bool,
    pub words_sent: u64,
    terms: Terms,
    upkeep: Upkeep,
}

const TICK_US: u64 = 25_000;
/// Words in one schedule, many times what any should need.
const STORM: u64 = 1_000_000;

impl World {
    pub fn new(seed: u64, setup: Setup) -> Self {
        let mut times = Times::new(setup.lease_us);
        if let Some(margin) = setup.margin {
            times.margin_us = margin;
        }
        let mut rng = fastrand::Rng::with_seed(seed);
        let terms = setup.plans.as_ref().map(|plans| plans.terms).unwrap_or_default();
        let plan_voters: Vec<String> = (0..setup.voters).map(|number| format!("v{number}")).collect();
        let names = (0..setup.voters).map(|number| format!("v{number}"));
        let names: Vec<String> = names.chain((0..setup.others).map(|number| format!("p{number}"))).collect();
        let hosts = names
            .into_iter()
            .map(|name| Host {
                name,
                node: None,
                disk: MemDisk { kept: Kept::new(rng.u64(1..)), ..MemDisk::default() },
                incarnation: 0,
                paused: false,
                ending: false,
                waiting: Vec::new(),
                offset: rng.u64(0..1_000_000_000),
                pace: 1.0 + setup.drift * (2.0 * rng.f64() - 1.0),
                revive_us: 0,
                conns: BTreeMap::new(),
                right_us: 0,
                outs: BTreeSet::new(),
                busy: BTreeMap::new(),
            })
            .collect();
        let mut world = World {
            setup,
            plan_voters,
            times,
            rng,
            t: 1_000_000,
            queue: BinaryHeap::new(),
            order: 0,
            words: BTreeMap::new(),
            hosts,
            ways: BTreeMap::new(),
            ends: BTreeMap::new(),
            next_conn: 0,
            lines: Vec::new(),
            contents: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_command: 0,
            lost_a_disk: false,
            started: false,
            words_sent: 0,
            terms,
            upkeep: Upkeep::default(),
        };
        for at in 0..world.hosts.len() {
            world.begin(at);
            let first = world.t + world.rng.u64(0..TICK_US);
            world.plan(first, Due::Tick(at));
        }
        world
    }

    fn plan(&mut self, at_us: u64, due: Due) {
        self.order += 1;
        self.queue.push(Reverse((at_us, self.order, due)));
    }

    fn line(&mut self, kind: Kind) {
        self.lines.push(Line { t_us: self.t, kind });
    }

    /// Starts a process on what its disk holds, and its connections.
    fn begin(&mut self, at: usize) {
        let t = self.t;
        let host = &mut self.hosts[at];
        host.incarnation = host.clock(t).max(host.incarnation + 1);
        let mut kept = host.disk.kept.clone();
        if self.setup.forgetful {
            kept.log.hard.vote = 0;
            kept.log.hard.term = kept.log.entries.last().map_or(1, |entry| entry.term);
        }
        let plan = Plan {
            fleet: "f".into(),
            name: host.name.clone(),
            voters: self.plan_voters.clone(),
            times: self.times,
            terms: self.terms,
        };
        let node = Node::new(host.clock(t), plan, host.incarnation, kept, self.rng.u64(..));
        host.node = Some(node);
        (host.paused, host.ending, host.waiting) = (false, false, Vec::new());
        (host.right_us, host.outs, host.busy) = (0, BTreeSet::new(), BTreeMap::new());
        host.disk.torn = false;
        for voter in (0..self.setup.voters).filter(|voter| *voter != at) {
            self.connect(at, voter);
            if at < self.setup.voters {
                self.connect(voter, at);
            }
        }
        if at < self.setup.voters {
            (self.setup.voters..self.hosts.len()).for_each(|other| self.connect(other, at));
        }
        self.settle(at);
    }

    fn connect(&mut self, from: usize, voter: usize) {
        let Some(hello) = self.hosts[from].node.as_ref().map(Node::hello) else { return };
        self.next_conn += 1;
        let conn = self.next_conn;
        if let Some(old) = self.hosts[from].conns.insert(voter, conn) {
            self.ends.remove(&old);
            let t = self.t;
            let host = &mut self.hosts[voter];
            let own = host.clock(t);
            if let Some(node) = host.node.as_mut().filter(|_| !host.paused) {
                node.connection_closed(own, &Link::Conn(old));
            }
        }
        self.ends.insert(conn, (from, voter));
        self.send(from, voter, Link::Conn(conn), hello, true);
    }

    fn end(&mut self, at: usize, disk: bool) {
        let process = self.hosts[at].process();
        self.hosts[at].node = None;
        self.calls.retain(|(host, _), _| *host != at);
        self.line(Kind::Died { process, disk });
    }

    fn send(&mut self, from: usize, to: usize, link: Link, word: Word, sure: bool) {
        let way = self.ways.get(&(from, to)).copied().unwrap_or_default();
        if !sure && (way.cut || self.rng.f32() < way.loss) {
            return;
        }
        self.words_sent += 1;
        if self.words_sent > STORM {
            // Words that beget words: the run would never end.
            return;
        }
        let slow = if self.rng.u32(0..50) == 0 { 20_000 } else { 1_500 };
        let at_us = self.t + 100 + self.rng.u64(0..slow) + if sure { 0 } else { way.late_us };
        self.order += 1;
        let number = self.order;
        self.words.insert(number, (link, word));
        self.plan(at_us, Due::Word(to, number));
    }

    /// Everything a process has to do now, and what comes of it.
    fn settle(&mut self, at: usize) {
        let t = self.t;
        let host = &mut self.hosts[at];
        let own = host.clock(t);
        let Some(node) = &mut host.node else { return };
        node.pump(own, &mut host.disk);
        if host.disk.torn {
            self.line(Kind::Fault { what: format!("power lost in a write of {}", self.hosts[at].name) });
            self.end(at, true);
            return;
        }
        let outs: Vec<Output> = node.take_outputs().collect();
        for out in outs {
            match out {
                Output::Send(Link::Voter(name), word) => {
                    let voter = self.plan_voters.iter().position(|one| *one == name);
                    if let Some(voter) = voter.filter(|voter| *voter != at) {
                        if let Some(conn) = self.hosts[at].conns.get(&voter).copied() {
                            self.send(at, voter, Link::Conn(conn), word, false);
                        }
                    }
                }
                Output::Send(Link::Conn(conn), word) => {
                    if let Some((dialled, _)) =
                        self.ends.get(&conn).copied().filter(|(_, voter)| *voter == at)
                    {
                        let name = self.hosts[at].name.clone();
                        self.send(at, dialled, Link::Voter(name), word, false);
                    }
                }
                Output::Close(_) => {}
                Output::Hello(hello) => {
                    let conns: Vec<(usize, u64)> =
                        self.hosts[at].conns.iter().map(|(voter, conn)| (*voter, *conn)).collect();
                    for (voter, conn) in conns {
                        self.send(at, voter, Link::Conn(conn), hello.clone(), false);
                    }
                }
                Output::Apply(publication) => self.take(at, publication),
                Output::Answer(call, told) => self.told(at, call, told),
                Output::Event(event) => self.event(at, event),
                Output::SendUntil(until) => self.hosts[at].right_us = until,
                Output::Drain(drained) => self.drained(at, drained),
                Output::StartWork(call) => self.begin_work(at, call),
            }
        }
    }

    fn take(&mut self, at: usize, publication: Publication) {
        let t = self.t;
        let Publication { version, outs, .. } = publication;
        let busy = self.acts(at, &outs);
        let before = self.contents.entry(version).or_insert_with(|| outs.clone());
        if *before != outs {
            let what = format!("BREACH version {version} is {before:?} and {outs:?}");
            self.line(Kind::Fault { what });
        }
        let host = &mut self.hosts[at];
        let own = host.clock(t);
        if let Some(node) = &mut host.node {
            node.version_applied(own, version, busy);
        }
    }

    fn told(&mut self, at: usize, call: u64, told: Told) {
        let Some((id, out, ids)) = self.calls.remove(&(at, call)) else { return };
        let command = format!("{id:x}");
        match told {
            Told::Done(Outcome::Version(version)) => self.line(Kind::Acked { command, version, out, ids }),
            Told::Done(_) => {}
            // It may come into force yet.
            _ => self.line(Kind::Unsure { command, ids }),
        }
    }

    fn event(&mut self, at: usize, event: Event) {
        let host = &self.hosts[at];
        let process = host.process();
        let kind = match event {
            Event::LeaseHeld { duty, token, from_us, until_us } => {
                let (from_us, until_us) = (host.true_time(from_us), host.true_time(until_us));
                Kind::Held { duty, token, process, from_us, until_us }
            }
            Event::LeaseReleased { duty, token } => Kind::LetGo { duty, token, process },
            Event::PublicationApplied { duty, token, version, owner } => {
                Kind::Effect { duty, token, version, owner, receiver: process }
            }
            Event::StalePublication { duty, token, version, owner, .. } => {
                Kind::StaleRefused { duty, token, version, owner, receiver: process }
            }
            Event::DutyGranted { duty, token, to } => Kind::Granted { duty, token, to },
            _ => return,
        };
        self.line(kind);
    }

    fn voters_up(&self) -> usize {
        let sound = |host: &&Host| host.node.is_some() && !host.disk.full;
        self.hosts[..self.setup.voters].iter().filter(sound).count()
    }

    /// One drawn fault, and its end some time later.
    fn fault(&mut self, number: u32) {
        let (voters, all) = (self.setup.voters, self.hosts.len());
        if number % 2 == 1 {
            return self.heal_some();
        }
        let at = if self.rng.u32(0..4) == 0 { self.rng.usize(0..all) } else { self.rng.usize(0..voters) };
        // The owner or the leader more often than chance has it.
        let owner = self.hosts.iter().position(|host| {
            host.node
                .as_ref()
                .is_some_and(|node| node.session.holding.all(host.clock(self.t)).next().is_some())
        });
        let leader = self.hosts.iter().position(|host| host.node.as_ref().is_some_and(Node::is_leader));
        let at = match self.rng.u32(0..4) {
            0 => owner.unwrap_or(at),
            1 => leader.unwrap_or(at),
            _ => at,
        };
        let name = self.hosts[at].name.clone();
        let what = match self.rng.u32(0..12) {
            0 | 1 if self.hosts[at].node.is_some() => {
                self.end(at, true);
                format!("kill {name}")
            }
            2 if at < voters && self.started && !self.lost_a_disk && self.hosts[at].node.is_some() => {
                self.lost_a_disk = true;
                self.end(at, false);
                self.hosts[at].disk.kept = Kept::new(self.rng.u64(1..));
                format!("kill {name}, its disk is lost")
            }
            3 | 4 if !self.hosts[at].paused => {
                self.hosts[at].paused = true;
                format!("stop {name}")
            }
            5 => {
                self.hosts[at].disk.full = true;
                format!("disk of {name} full")
            }
            6 => {
                (0..voters / 2 + 1).for_each(|voter| self.hosts[voter].disk.full = true);
                "disks of a majority full".into()
            }
            7 => {
                self.hosts[at].disk.tears = Some((self.rng.u32(0..6), self.rng.bool()));
                format!("power of {name} about to fail in a write")
            }
            8 => {
                // In two, the process drawn on the smaller side or alone.
                let side: Vec<bool> = (0..all).map(|one| one == at || self.rng.u32(0..4) == 0).collect();
                let one_way = self.rng.u32(0..3) == 0;
                for (from, to) in pairs(all) {
                    if side[from] != side[to] && (!one_way || side[from]) {
                        self.ways.entry((from, to)).or_default().cut = true;
                    }
                }
                format!("cut {side:?} one way {one_way}")
            }
            9 => {
                let late_us = self.rng.u64(200_000..3 * self.setup.lease_us);
                for to in 0..all {
                    self.ways.entry((at, to)).or_default().late_us = late_us;
                }
                format!("words of {name} late by {late_us} us")
            }
            10 => {
                let loss = 0.3 * self.rng.f32();
                for pair in pairs(all) {
                    self.ways.entry(pair).or_default().loss = loss;
                }
                format!("loss {loss:.2}")
            }
            _ => {
                let (t, host) = (self.t, &mut self.hosts[at]);
                let own = host.clock(t);
                if let Some(node) = host.node.as_mut().filter(|_| !host.paused) {
                    node.prepare_exit(own);
                    host.ending = true;
                }
                self.settle(at);
                format!("{name} told to end")
            }
        };
        self.line(Kind::Fault { what });
    }

    /// Ends one kind of trouble.
    fn heal_some(&mut self) {
        match self.rng.u32(0..4) {
            0 => self.ways.clear(),
            1 => (0..self.hosts.len()).for_each(|at| self.wake(at)),
            2 => self.hosts.iter_mut().for_each(|host| host.disk.full = false),
            _ => {
                for at in 0..self.hosts.len() {
                    if self.hosts[at].node.is_none() {
                        self.begin(at);
                    }
                }
            }
        }
    }

    fn wake(&mut self, at: usize) {
        if !std::mem::take(&mut self.hosts[at].paused) {
            return;
        }
        // What stood in its sockets is read now, and its timers fire late: either may come first.
        if self.rng.bool() {
            self.tick(at);
        }
        for (link, word) in std::mem::take(&mut self.hosts[at].waiting) {
            self.hear(at, link, word);
        }
    }

    fn heal(&mut self) {
        self.line(Kind::Heal { what: "all".into() });
        self.ways.clear();
        for at in 0..self.hosts.len() {
            self.hosts[at].disk.full = false;
            self.hosts[at].disk.tears = None;
            self.wake(at);
            // One told to end has ended by now. Of the others some go on as they are: a start anew would hide what
            // they can't get out of.
            let goes_on = self.hosts[at].node.is_some() && !self.hosts[at].ending && self.rng.bool();
            if goes_on {
                continue;
            }
            if self.hosts[at].node.is_some() {
                self.end(at, true);
            }
            self.begin(at);
        }
    }

    fn tick(&mut self, at: usize) {
        let (t, host) = (self.t, &mut self.hosts[at]);
        let own = host.clock(t);
        let kept = (!host.disk.full).then(|| host.disk.kept.clone());
        let Some(node) = host.node.as_mut() else { return };
        if node.disk_error().is_some() && t >= host.revive_us {
            host.revive_us = t + 200_000;
            if let Some(kept) = kept {
                node.disk_recovered(own, kept);
            }
        }
        node.tick(own);
        self.settle(at);
    }

    fn hear(&mut self, at: usize, link: Link, word: Word) {
        let (t, host) = (self.t, &mut self.hosts[at]);
        let own = host.clock(t);
        let Some(node) = &mut host.node else { return };
        // A connection that has ended since says nothing more.
        node.receive(own, link, word);
        self.settle(at);
    }

    fn call(&mut self) {
        let at = self.rng.usize(0..self.hosts.len());
        if self.hosts[at].paused || self.hosts[at].node.is_none() {
            return;
        }
        self.next_command += 1;
        let (id, out) = (self.next_command, self.rng.u32(0..3) > 0);
        let ids: Vec<String> =
            (0..self.rng.usize(1..3)).map(|_| format!("b{}", self.rng.u32(0..12))).collect();
        let ask = Ask::Command(Command::Outs { id, out, ids: ids.clone() });
        let twice = self.rng.u32(0..8) == 0;
        let other = self.rng.usize(0..self.hosts.len());
        let t = self.t;
        for at in [Some(at), twice.then_some(other)].into_iter().flatten() {
            let host = &mut self.hosts[at];
            let own = host.clock(t);
            let Some(node) = host.node.as_mut().filter(|_| !host.paused) else { continue };
            if let Ok(call) = node.ask(own, ask.clone(), 3_000_000) {
                // Until it is told, nobody knows: a process that dies first leaves it unsure.
                self.line(Kind::Unsure { command: format!("{id:x}"), ids: ids.clone() });
                self.calls.insert((at, call), (id, out, ids.clone()));
            }
            self.settle(at);
        }
    }

    fn run_until(&mut self, end_us: u64) {
        while let Some(Reverse((at_us, ..))) = self.queue.peek() {
            if *at_us > end_us {
                break;
            }
            let Some(Reverse((at_us, _, due))) = self.queue.pop() else { break };
            self.t = at_us;
            match due {
                Due::Tick(at) => {
                    self.plan(at_us + TICK_US, Due::Tick(at));
                    if !self.hosts[at].paused {
                        self.tick(at);
                    }
                }
                Due::Word(to, number) => {
                    let Some((link, word)) = self.words.remove(&number) else { continue };
                    match self.hosts[to].paused {
                        true => self.hosts[to].waiting.push((link, word)),
                        false => self.hear(to, link, word),
                    }
                }
                Due::Fault(number) => self.fault(number),
                Due::Call(_) => self.call(),
                Due::Upkeep => self.keep_up(),
            }
        }
        self.t = end_us;
    }

    // For scripted schedules: faults one by one, and what can be asked of the fleet between them.

    pub fn run_for(&mut self, us: u64) {
        self.run_until(self.t + us);
    }

    pub fn now_us(&self) -> u64 {
        self.t
    }

    /// Who believes to be the owner of the backends out now: those that are stopped believe nothing until they wake.
    pub fn owners(&self) -> Vec<usize> {
        let owns = |host: &Host| {
            let own = host.clock(self.t);
            host.node.as_ref().is_some_and(|node| node.session.holding.token(own, OUTS).is_some())
        };
        (0..self.hosts.len()).filter(|at| !self.hosts[*at].paused && owns(&self.hosts[*at])).collect()
    }

    pub fn leader(&self) -> Option<usize> {
        self.hosts.iter().position(|host| !host.paused && host.node.as_ref().is_some_and(Node::is_leader))
    }

    pub fn taken(&self, at: usize) -> Option<Publication> {
        self.hosts[at].node.as_ref().and_then(|node| node.session.taken.clone())
    }

    pub fn pause(&mut self, at: usize) {
        self.hosts[at].paused = true;
    }

    pub fn resume(&mut self, at: usize) {
        self.wake(at);
    }

    pub fn kill(&mut self, at: usize) {
        self.end(at, true);
    }

    /// The disk goes with it: it starts again with a new one.
    pub fn kill_with_disk(&mut self, at: usize) {
        self.end(at, false);
        self.hosts[at].disk.kept = Kept::new(self.rng.u64(1..));
    }

    pub fn restart(&mut self, at: usize) {
        self.begin(at);
    }

    pub fn full(&mut self, at: usize, full: bool) {
        self.hosts[at].disk.full = full;
    }

    /// Words from any of `from` to any of `to` are lost from now on.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to))) {
            self.ways.entry((from, to)).or_default().cut = true;
        }
    }

    pub fn late(&mut self, from: usize, late_us: u64) {
        for to in 0..self.hosts.len() {
            self.ways.entry((from, to)).or_default().late_us = late_us;
        }
    }

    pub fn late_to(&mut self, from: usize, to: &[usize], late_us: u64) {
        for to in to {
            self.ways.entry((from, *to)).or_default().late_us = late_us;
        }
    }

    pub fn mend(&mut self) {
        self.ways.clear();
    }

    pub fn told_to_end(&mut self, at: usize) {
        let (t, host) = (self.t, &mut self.hosts[at]);
        let own = host.clock(t);
        if let Some(node) = &mut host.node {
            node.prepare_exit(own);
        }
        self.settle(at);
    }

    /// A second process of a proxy on a machine of its own, as in an upgrade; returns its place.
    pub fn second_process(&mut self, of: usize) -> usize {
        let (name, offset, pace) = (self.hosts[of].name.clone(), self.hosts[of].offset, self.hosts[of].pace);
        let incarnation = self.hosts[of].incarnation + 1_000_000;
        self.hosts.push(Host {
            name,
            node: None,
            disk: MemDisk::default(),
            incarnation,
            paused: false,
            ending: false,
            waiting: Vec::new(),
            offset,
            pace,
            revive_us: u64::MAX,
            conns: BTreeMap::new(),
            right_us: 0,
            outs: BTreeSet::new(),
            busy: BTreeMap::new(),
        });
        let at = self.hosts.len() - 1;
        // The first one has the disk: without it this one neither votes nor owns.
        self.begin(at);
        let first = self.t + TICK_US;
        self.plan(first, Due::Tick(at));
        at
    }

    /// A call at one process, under an id of its own or a repeated one.
    pub fn ask(&mut self, at: usize, id: u128, out: bool, ids: &[&str]) {
        let t = self.t;
        let ids: Vec<String> = ids.iter().map(|id| (*id).to_owned()).collect();
        let host = &mut self.hosts[at];
        let own = host.clock(t);
        let Some(node) = &mut host.node else { return };
        let ask = Ask::Command(Command::Outs { id, out, ids: ids.clone() });
        if let Ok(call) = node.ask(own, ask, 3_000_000) {
            self.calls.insert((at, call), (id, out, ids));
        }
        self.settle(at);
    }

    /// The versions that were acknowledged, by call.
    pub fn acked(&self) -> Vec<(String, u64)> {
        let acked = self.lines.iter().filter_map(|line| match &line.kind {
            Kind::Acked { command, version, .. } => Some((command.clone(), *version)),
            _ => None,
        });
        acked.collect()
    }

    /// What each process is, for a test that fails.
    pub fn told_of(&self) -> String {
        let one = |host: &Host| {
            let trouble = host.node.as_ref().and_then(|node| node.disk_error().map(str::to_owned));
            let stands = host.node.as_ref().map(Node::describe);
            format!("{} paused={} disk={trouble:?} {stands:?}", host.process(), host.paused)
        };
        self.hosts.iter().map(one).collect::<Vec<_>>().join("\n")
    }

    pub fn count(&self, is: impl Fn(&Kind) -> bool) -> usize {
        self.lines.iter().filter(|line| is(&line.kind)).count()
    }

    /// Plays the schedule whole: a founding, faults and calls, the end of all faults, and the state then.
    pub fn play(&mut self) {
        let start = self.t;
        // Now and then faults come into the founding itself.
        let first = if self.rng.u32(0..5) == 0 { start + 10_000 } else { start + 1_500_000 };
        let end = start + self.setup.faulty_us;
        for number in 0..self.rng.u32(4..24) {
            let at_us = self.rng.u64(first..end);
            self.plan(at_us, Due::Fault(number));
        }
        for number in 0..self.rng.u32(4..20) {
            let at_us = self.rng.u64(first..end);
            self.plan(at_us, Due::Call(number));
        }
        self.run_until(first);
        self.started = self.voters_up() == self.setup.voters && first > start + 1_000_000;
        self.run_until(end);
        self.heal();
        // The longest way back: old leases, an election, a disk taken in, a snapshot, and a call besides.
        self.run_until(end + 10 * self.setup.lease_us);
        let (version, outs) = self
            .contents
            .last_key_value()
            .map(|(version, outs)| (*version, outs.clone()))
            .unwrap_or_default();
        let mut finals = Vec::new();
        for host in &self.hosts {
            let taken = host.node.as_ref().and_then(|node| node.session.taken.clone());
            let taken = taken.unwrap_or_default();
            finals.push(Kind::Final { process: host.process(), version: taken.version, outs: taken.outs });
        }
        if let Some(Kind::Final { version: at, outs: set, .. }) = finals.first() {
            if (*at, set) != (version, &outs) {
                self.line(Kind::Fault { what: format!("BREACH ends at {at}, {version} was published") });
            }
        }
        finals.into_iter().for_each(|kind| self.line(kind));
        if self.words_sent > STORM {
            self.line(Kind::Fault { what: format!("BREACH a storm of more than {STORM} words") });
        }
        for at in 0..self.setup.voters {
            if !self.hosts[at].node.as_ref().is_some_and(Node::is_voter) {
                let what = format!("BREACH {} does not vote at the end", self.hosts[at].name);
                self.line(Kind::Fault { what });
            }
        }
        let owned = self.hosts.iter().any(|host| {
            host.node
                .as_ref()
                .is_some_and(|node| node.session.holding.all(host.clock(self.t)).next().is_some())
        });
        if !owned {
            self.line(Kind::Fault { what: "BREACH nobody owns the duty at the end".into() });
        }
    }

    /// What the checks find, the world's own among them. Calls that were acknowledged are sure after all.
    pub fn found(&self) -> crate::history::Found {
        let acked: Vec<&str> = self
            .lines
            .iter()
            .filter_map(|line| match &line.kind {
                Kind::Acked { command, .. } => Some(command.as_str()),
                _ => None,
            })
            .collect();
        let unsure = |line: &&Line| match &line.kind {
            Kind::Unsure { command, .. } => !acked.contains(&command.as_str()),
            _ => true,
        };
        let lines: Vec<Line> = self.lines.iter().filter(unsure).cloned().collect();
        let mut found = crate::history::check(&lines);
        for line in &self.lines {
            if let Kind::Fault { what } = &line.kind {
                if what.starts_with("BREACH") {
                    found.breaches.push(what.clone());
                }
            }
        }
        found
    }
}

fn pairs(all: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..all).flat_map(move |from| (0..all).filter(move |to| *to != from).map(move |to| (from, to)))
}
