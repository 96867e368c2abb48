//! A fleet in virtual time: whole nodes of `crankpick-fleet` on disks, links and clocks that fail as drawn from
//! a seed. The same seed plays the same run. Called by `crankpick-lab virtual` and the tests.
//!
//! | module | job |
//! | --- | --- |
//! | `host`, `network` | machines with a disk and a clock; connections and messages on their way |
//! | `processes` | starts and ends of processes, what they take in and do |
//! | `faults` | drawn faults and calls, and their end |
//! | `script` | what scripted schedules do and ask |
//! | `upkeep` | machines out for work |

mod faults;
mod host;
mod network;
mod processes;
mod script;
mod upkeep;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crankpick_fleet::lease::Timing;
use crankpick_fleet::messages::Message;
use crankpick_fleet::node::{Link, Node};
use crankpick_fleet::storage::PersistentState;
use crankpick_fleet::work::SendPolicy;

use crate::history::{check, drop_settled, Found, Kind, Line};
use host::{Host, MemoryDisk};
use network::{Path, MOST_MESSAGES};
use processes::OutsCall;
use upkeep::Upkeep;

pub use upkeep::Plans;

const TICK_US: u64 = 25_000;
/// When the world begins: a moment that no clock takes for the beginning of time.
const FIRST_US: u64 = 1_000_000;
/// How long a founding takes where no fault comes into it.
const FOUNDING_US: u64 = 1_500_000;
/// The longest way back to a whole fleet, in leases: old leases, an election, a disk taken in, a snapshot, and a call.
const RECOVERY_LEASES: u64 = 10;
/// How a line of the history begins that tells of a broken promise.
const BREACH: &str = "BREACH";

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

/// What happens at a moment of the world.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Tick(usize),
    /// A message arrives: at which host, and its number among those in flight.
    Message(usize, u64),
    Fault(u32),
    Call(u32),
    /// What a maintenance system, its staff and the proxies' executions do.
    Upkeep,
}

/// The world. Voters come first among the hosts.
pub struct World {
    setup: Setup,
    voter_names: Vec<String>,
    times: Timing,
    terms: SendPolicy,
    rng: fastrand::Rng,
    /// Now, in microseconds.
    t: u64,
    /// By time, then in the order in which they were scheduled.
    queue: BinaryHeap<Reverse<(u64, u64, Occurrence)>>,
    sequence: u64,
    hosts: Vec<Host>,
    in_flight: BTreeMap<u64, (Link, Message)>,
    messages_sent: u64,
    /// From one host to another.
    paths: BTreeMap<(usize, usize), Path>,
    /// Both ends of each connection: who opened it, and the voter.
    ends: BTreeMap<u64, (usize, usize)>,
    last_connection: u64,
    pub lines: Vec<Line>,
    /// The content that each version was first seen with.
    contents: BTreeMap<u64, BTreeSet<String>>,
    /// Calls in hand, by host and the number that its process gave them.
    calls: BTreeMap<(usize, u64), OutsCall>,
    last_command: u128,
    lost_a_disk: bool,
    /// All voters were up once the founding was over.
    started: bool,
    upkeep: Upkeep,
}

impl World {
    pub fn new(seed: u64, setup: Setup) -> Self {
        let mut times = Timing::new(setup.lease_us);
        times.margin_us = setup.margin.unwrap_or(times.margin_us);
        let mut rng = fastrand::Rng::with_seed(seed);
        let voter_names: Vec<String> = (0..setup.voters).map(|number| format!("v{number}")).collect();
        let others = (0..setup.others).map(|number| format!("p{number}"));
        let names = voter_names.iter().cloned().chain(others);
        let hosts = names.map(|name| drawn_host(name, setup.drift, &mut rng)).collect();
        let mut world = World {
            voter_names,
            times,
            terms: setup.plans.as_ref().map(|plans| plans.terms).unwrap_or_default(),
            setup,
            rng,
            t: FIRST_US,
            queue: BinaryHeap::new(),
            sequence: 0,
            hosts,
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            paths: BTreeMap::new(),
            ends: BTreeMap::new(),
            last_connection: 0,
            lines: Vec::new(),
            contents: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_command: 0,
            lost_a_disk: false,
            started: false,
            upkeep: Upkeep::default(),
        };
        for at in 0..world.hosts.len() {
            world.start(at);
            let first = world.t + world.rng.u64(0..TICK_US);
            world.schedule(first, Occurrence::Tick(at));
        }
        world
    }

    fn schedule(&mut self, at_us: u64, occurrence: Occurrence) {
        self.sequence += 1;
        self.queue.push(Reverse((at_us, self.sequence, occurrence)));
    }

    /// Writes a line of the history.
    fn record(&mut self, kind: Kind) {
        self.lines.push(Line { t_us: self.t, kind });
    }

    fn run_until(&mut self, end_us: u64) {
        while self.queue.peek().is_some_and(|Reverse((at_us, ..))| *at_us <= end_us) {
            let Some(Reverse((at_us, _, occurrence))) = self.queue.pop() else { break };
            self.t = at_us;
            self.occur(occurrence);
        }
        self.t = end_us;
    }

    fn occur(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Tick(at) => {
                self.schedule(self.t + TICK_US, Occurrence::Tick(at));
                if !self.hosts[at].paused {
                    self.tick(at);
                }
            }
            Occurrence::Message(to, number) => {
                let Some((link, message)) = self.in_flight.remove(&number) else { return };
                match self.hosts[to].paused {
                    true => self.hosts[to].inbox.push((link, message)),
                    false => self.receive(to, link, message),
                }
            }
            Occurrence::Fault(number) => self.fault(number),
            Occurrence::Call(_) => self.drawn_call(),
            Occurrence::Upkeep => self.keep_up(),
        }
    }

    /// Plays the schedule whole: a founding, faults and calls, the end of all faults, and the state then.
    pub fn play(&mut self) {
        let start = self.t;
        // Now and then faults come into the founding itself.
        let first = if self.rng.u32(0..5) == 0 { start + 10_000 } else { start + FOUNDING_US };
        let end = start + self.setup.faulty_us;
        for number in 0..self.rng.u32(4..24) {
            let at_us = self.rng.u64(first..end);
            self.schedule(at_us, Occurrence::Fault(number));
        }
        for number in 0..self.rng.u32(4..20) {
            let at_us = self.rng.u64(first..end);
            self.schedule(at_us, Occurrence::Call(number));
        }
        self.run_until(first);
        self.started = self.voters_up() == self.setup.voters && first > start + 1_000_000;
        self.run_until(end);
        self.heal();
        self.run_until(end + RECOVERY_LEASES * self.setup.lease_us);
        self.check_end();
    }

    fn voters_up(&self) -> usize {
        let sound = |host: &&Host| host.node.is_some() && !host.disk.full;
        self.hosts[..self.setup.voters].iter().filter(sound).count()
    }

    /// What each process has in the end, and what must hold then.
    fn check_end(&mut self) {
        let finals: Vec<Kind> = self.hosts.iter().map(final_state).collect();
        let last = self.contents.last_key_value().map(|(version, outs)| (*version, outs.clone()));
        let (published, outs) = last.unwrap_or_default();
        if let Some(Kind::Final { version, outs: found, .. }) = finals.first() {
            if (*version, found) != (published, &outs) {
                self.breach_at_end(format!("ends at {version}, {published} was published"));
            }
        }
        finals.into_iter().for_each(|kind| self.record(kind));
        if self.messages_sent > MOST_MESSAGES {
            self.breach_at_end(format!("a storm of more than {MOST_MESSAGES} words"));
        }
        for at in 0..self.setup.voters {
            if !self.hosts[at].node.as_ref().is_some_and(Node::is_voter) {
                self.breach_at_end(format!("{} does not vote at the end", self.hosts[at].name));
            }
        }
        if !self.hosts.iter().any(|host| host.holds_a_lease(self.t)) {
            self.breach_at_end("nobody owns the duty at the end".into());
        }
    }

    fn breach_at_end(&mut self, what: String) {
        self.record(Kind::Fault { what: format!("{BREACH} {what}") });
    }

    /// What the checks find, the world's own among them. Calls that were acknowledged are sure after all.
    pub fn found(&self) -> Found {
        let mut lines = self.lines.clone();
        drop_settled(&mut lines);
        let mut found = check(&lines);
        let own = self.lines.iter().filter_map(|line| match &line.kind {
            Kind::Fault { what } if what.starts_with(BREACH) => Some(what.clone()),
            _ => None,
        });
        found.breaches.extend(own);
        found
    }
}

/// A host with a new disk and a clock of its own.
fn drawn_host(name: String, drift: f64, rng: &mut fastrand::Rng) -> Host {
    let disk = MemoryDisk::holding(PersistentState::new(rng.u64(1..)));
    let clock_offset = rng.u64(0..1_000_000_000);
    let pace = 1.0 + drift * (2.0 * rng.f64() - 1.0);
    Host::new(name, disk, clock_offset, pace)
}

fn final_state(host: &Host) -> Kind {
    let taken = host.node.as_ref().and_then(|node| node.session.taken.clone()).unwrap_or_default();
    Kind::Final { process: host.process(), version: taken.version, outs: taken.outs }
}
