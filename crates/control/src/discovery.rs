//! Finding the others: words to the seeds, the bootstrap, and asking to be let in.
//!
//! A process that knows no view asks the seeds; only the three that start with `bootstrap` and an empty disk, and are
//! seeds themselves, ever decide a first one. A process with a disk that is no member asks the members to take it in.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::message::{Body, Hello, Sender};
use crate::replica::Replica;
use crate::types::{Member, MemberId, Now};

/// Requests of joiners count for so long.
const JOINER_KEPT: Duration = Duration::from_secs(2);
/// Joiners remembered at a time.
const JOINERS: usize = 16;
/// Addresses remembered at a time.
const MACHINES: usize = 64;
/// While a view is known but nobody of it is heard, the seeds are asked after this.
const LONELY: Duration = Duration::from_secs(1);

/// What this process knows of those that aren't in the view.
#[derive(Clone, Debug)]
pub(crate) struct Discovery {
    /// This process's own identity is synced.
    pub(crate) identified: bool,
    /// This process started with an empty disk.
    pub(crate) first_start: bool,
    started: Now,
    next_hello: Now,
    next_join: Now,
    /// Seeds that take part in the bootstrap and have a disk, as heard.
    durable_seeds: Vec<SocketAddr>,
    /// Seeds without a disk, as heard.
    volatile_seeds: Vec<SocketAddr>,
    joiners: Vec<Joiner>,
    /// Processes that could vote, as heard since the start, with whether they have a disk.
    heard: BTreeMap<SocketAddr, bool>,
}

/// One that asks to be let in.
#[derive(Clone, Debug)]
struct Joiner {
    member: Member,
    since: Now,
    last: Now,
    /// Its last install failed: it isn't tried again before this.
    postponed: Now,
}

impl Discovery {
    pub(crate) fn new(now: Now) -> Self {
        Discovery {
            identified: false,
            first_start: false,
            started: now,
            next_hello: now,
            next_join: now,
            durable_seeds: Vec::new(),
            volatile_seeds: Vec::new(),
            joiners: Vec::new(),
            heard: BTreeMap::new(),
        }
    }

    /// Notes a process that was heard.
    fn note_heard(&mut self, member: &Member) {
        if self.heard.len() < MACHINES || self.heard.contains_key(&member.address) {
            self.heard.insert(member.address, member.durable);
        }
    }

    /// Those that ask to be let in, longest first.
    pub(crate) fn joiners(&self) -> impl Iterator<Item = &Member> {
        self.joiners.iter().map(|joiner| &joiner.member)
    }

    /// Since when it has asked.
    pub(crate) fn asked_since(&self, id: MemberId) -> Option<Now> {
        self.joiners.iter().find(|joiner| joiner.member.id == id).map(|joiner| joiner.since)
    }

    /// Whether its last install failed a short while ago.
    pub(crate) fn is_postponed(&self, now: Now, id: MemberId) -> bool {
        self.joiners.iter().any(|joiner| joiner.member.id == id && now < joiner.postponed)
    }

    /// Its install failed.
    pub(crate) fn postpone(&mut self, id: MemberId, until: Now) {
        for joiner in self.joiners.iter_mut().filter(|joiner| joiner.member.id == id) {
            joiner.postponed = until;
        }
    }
}

impl Replica {
    fn own_member(&self) -> Member {
        let (address, zone) = (self.options.address, self.options.zone.clone());
        Member { id: self.id, address, zone, durable: self.options.durable }
    }

    /// Says what is due to seeds and members.
    pub(crate) fn discover(&mut self) {
        let now = self.now;
        self.discovery.joiners.retain(|joiner| now <= joiner.last + JOINER_KEPT);
        if now >= self.discovery.next_hello && self.is_lonely() {
            self.discovery.next_hello = now + self.jittered(self.options.timing.hello);
            self.hello_seeds();
        }
        if now >= self.discovery.next_join && self.wants_in() {
            self.discovery.next_join = now + self.jittered(self.options.timing.join_retry);
            self.ask_to_join();
        }
    }

    /// Between one and one and a half times an interval; after the first seconds twice that.
    fn jittered(&mut self, interval: Duration) -> Duration {
        let early = !self.has_run_for(Duration::from_secs(5));
        let interval = if early { interval } else { interval * 2 };
        interval + Duration::from_micros(self.random.u64(0..=interval.as_micros() as u64 / 2))
    }

    /// Whether this process started at least so long ago.
    pub(crate) fn has_run_for(&self, long: Duration) -> bool {
        self.now >= self.discovery.started + long
    }

    fn is_lonely(&self) -> bool {
        let mut others = self.peers.voters().iter();
        let alone = self.view.members.iter().all(|member| member.id == self.id);
        let heard = others.any(|peer| peer.heard.is_some_and(|at| self.now < at + LONELY));
        self.view.epoch == 0 || (!alone && !heard)
    }

    fn own_hello(&self) -> Body {
        let bootstrap = !self.bootstrap.is_empty() && self.view.epoch == 0;
        Body::Hello(Hello { member: self.own_member(), bootstrap, epoch: self.view.epoch })
    }

    /// Says hello to one that may know the view.
    pub(crate) fn hello(&mut self, to: Sender) {
        let hello = self.own_hello();
        self.send(to, hello);
    }

    /// All that this process knows may be gone: one that it hears by other ways may know the view.
    pub(crate) fn hello_if_lonely(&mut self, address: SocketAddr) {
        if self.is_lonely() {
            let hello = self.own_hello();
            self.send_to_address(address, None, hello);
        }
    }

    fn hello_seeds(&mut self) {
        let hello = self.own_hello();
        for seed in self.options.seeds.clone() {
            if seed != self.options.address {
                self.send_to_address(seed, None, hello.clone());
            }
        }
    }

    pub(crate) fn on_hello(&mut self, sender: Sender, hello: Hello) {
        if self.view.epoch > hello.epoch {
            self.send(sender, Body::Decide(Box::new(self.view.clone())));
        }
        self.note_seed(sender.address, hello.member.durable, hello.bootstrap);
        self.discovery.note_heard(&hello.member);
    }

    /// A seed with a disk takes part if it started for the bootstrap; one without a disk is known by being so.
    fn note_seed(&mut self, address: SocketAddr, durable: bool, takes_part: bool) {
        if !self.bootstrap.contains(&address) {
            return;
        }
        let known = match durable {
            true if !takes_part => return,
            true => &mut self.discovery.durable_seeds,
            false => &mut self.discovery.volatile_seeds,
        };
        if !known.contains(&address) {
            known.push(address);
        }
    }

    /// The seeds that decide on the first view: those with a disk; if none has one, all. One that wasn't heard yet
    /// counts among those with a disk, so that any two majorities meet whoever was heard.
    pub(crate) fn electorate(&self) -> Vec<SocketAddr> {
        let volatile = |seed: &SocketAddr| {
            let own = *seed == self.options.address && !self.options.durable;
            own || self.discovery.volatile_seeds.contains(seed)
        };
        let durable: Vec<SocketAddr> =
            self.bootstrap.iter().copied().filter(|seed| !volatile(seed)).collect();
        if durable.is_empty() {
            self.bootstrap.clone()
        } else {
            durable
        }
    }

    /// How many machines could hold a copy of the state, as far as this process can tell: the members, those that were
    /// heard, and in the process that took part in the bootstrap the seeds that weren't. Where anybody has a disk, only
    /// those with one.
    pub(crate) fn possible_copies(&self) -> usize {
        let members = self.view.members.iter().map(|member| (member.address, member.durable));
        let heard = self.discovery.heard.iter().map(|(address, durable)| (*address, *durable));
        let known: Vec<(SocketAddr, bool)> =
            members.chain(heard).chain([(self.options.address, self.options.durable)]).collect();
        let with_disk = known.iter().any(|(_, durable)| *durable);
        let mut machines: BTreeSet<SocketAddr> =
            known.iter().filter(|(_, durable)| *durable || !with_disk).map(|(address, _)| *address).collect();
        if self.discovery.first_start {
            machines.extend(self.electorate());
        }
        machines.len()
    }

    /// Whether the first view may be proposed: all that decide on it are heard, or enough and the last one is late.
    pub(crate) fn seeds_are_heard(&self) -> bool {
        let electorate = self.electorate();
        let heard = |seed: &&SocketAddr| {
            **seed == self.options.address
                || self.discovery.durable_seeds.contains(seed)
                || self.discovery.volatile_seeds.contains(seed)
        };
        let heard = electorate.iter().filter(heard).count();
        let waited = self.has_run_for(self.options.timing.bootstrap_wait);
        heard == electorate.len() || (waited && heard > electorate.len() / 2)
    }

    /// Whether this process may vote in the view that it knows: without a disk only among others without one.
    pub(crate) fn may_vote(&self) -> bool {
        self.options.durable || self.view.members.iter().all(|member| !member.durable)
    }

    fn wants_in(&self) -> bool {
        let outside = self.view.epoch > 0 && self.view.member(self.id).is_none();
        outside && self.may_vote() && self.discovery.identified && !self.leaving
    }

    fn ask_to_join(&mut self) {
        let member = self.own_member();
        for voter in self.view.members.clone() {
            let to = Sender { id: voter.id, address: voter.address };
            self.send(to, Body::Join(member.clone()));
        }
    }

    pub(crate) fn on_join(&mut self, member: Member) {
        self.discovery.note_heard(&member);
        let now = self.now;
        let joiners = &mut self.discovery.joiners;
        joiners.retain(|known| known.member.id == member.id || known.member.address != member.address);
        if let Some(known) = joiners.iter_mut().find(|known| known.member.id == member.id) {
            known.last = now;
            known.member = member;
        } else if joiners.len() < JOINERS {
            joiners.push(Joiner { member, since: now, last: now, postponed: now });
        }
    }
}
