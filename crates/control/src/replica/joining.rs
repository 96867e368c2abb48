//! Finding the other processes: hellos to the seeds, the bootstrap, and requests for a vote.
//!
//! A process that knows no view asks the seeds. Only seeds that start with `bootstrap` and an empty disk ever decide a
//! first view. A process that may vote and is no member asks the members for a vote.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::Replica;
use crate::message::{Body, Hello, Sender};
use crate::types::{Member, Now};

/// A process that knows a view but has had no heartbeat of its voters for this long asks the seeds.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Hellos and requests for a vote go out half as often once a process has run for this long.
const FAST_DISCOVERY_PERIOD: Duration = Duration::from_secs(5);

impl Replica {
    fn own_member(&self) -> Member {
        Member {
            id: self.id,
            address: self.options.address,
            zone: self.options.zone.clone(),
            durable: self.options.durable,
        }
    }

    /// Sends the hellos and requests for a vote that are due.
    pub(super) fn discover(&mut self) {
        let now = self.now;
        self.discovery.remove_expired_requests(now);
        if now >= self.discovery.next_hello && self.is_isolated() {
            self.discovery.next_hello = now + self.jittered(self.options.timing.hello_interval);
            self.hello_seeds();
        }
        if now >= self.discovery.next_join && self.should_join() {
            self.discovery.next_join = now + self.jittered(self.options.timing.join_interval);
            self.send_join_requests();
        }
    }

    /// Between one and one and a half times an interval, or twice that once the process has run for a while.
    fn jittered(&mut self, interval: Duration) -> Duration {
        let interval = if self.has_run_for(FAST_DISCOVERY_PERIOD) { interval * 2 } else { interval };
        let max_jitter = interval.as_micros() as u64 / 2;
        interval + Duration::from_micros(self.random.u64(0..=max_jitter))
    }

    /// Whether this process started at least so long ago.
    pub(super) fn has_run_for(&self, duration: Duration) -> bool {
        self.now >= self.discovery.started_at + duration
    }

    /// Whether this process knows no view, or has had no heartbeat of another voter for a while.
    fn is_isolated(&self) -> bool {
        let is_recent = |at: Now| self.now < at + ISOLATION_TIMEOUT;
        let is_only_member = self.view.members.iter().all(|member| member.id == self.id);
        let reaches_voter = self.peers.voters().iter().any(|peer| peer.last_seen.is_some_and(is_recent));
        self.view.epoch == 0 || (!is_only_member && !reaches_voter)
    }

    pub(super) fn own_hello(&self) -> Body {
        let bootstrap = !self.bootstrap.is_empty() && self.view.epoch == 0;
        Body::Hello(Hello { member: self.own_member(), bootstrap, epoch: self.view.epoch })
    }

    /// Announces this process to one that may know the view.
    pub(super) fn hello(&mut self, to: Sender) {
        let hello = self.own_hello();
        self.send(to, hello);
    }

    /// Announces this process to one that was found in another way than through the seeds and members, all of which may
    /// be gone.
    pub(super) fn hello_if_isolated(&mut self, address: SocketAddr) {
        if self.is_isolated() {
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

    pub(super) fn on_hello(&mut self, sender: Sender, hello: Hello) {
        if self.view.epoch > hello.epoch {
            self.send(sender, Body::Decide(Box::new(self.view.clone())));
        }
        if self.bootstrap.contains(&sender.address) {
            self.discovery.record_seed(sender.address, hello.member.durable, hello.bootstrap);
        }
        self.discovery.record_machine(&hello.member);
    }

    /// The seeds that decide the first view: those with a disk, or all if none has one. A seed that hasn't announced
    /// itself counts among those with a disk, so that any two majorities intersect whichever seeds were seen.
    pub(super) fn electorate(&self) -> Vec<SocketAddr> {
        let is_volatile = |seed: &SocketAddr| {
            let is_own = *seed == self.options.address && !self.options.durable;
            is_own || self.discovery.is_volatile_seed(*seed)
        };
        let durable: Vec<SocketAddr> =
            self.bootstrap.iter().copied().filter(|seed| !is_volatile(seed)).collect();
        if durable.is_empty() {
            self.bootstrap.clone()
        } else {
            durable
        }
    }

    /// The number of machines that could be replicas, as far as this process knows: the members, those that announced
    /// themselves, and, in a process that took part in the bootstrap, the seeds that haven't. Where any has a disk, only
    /// those with one count. One that is only silent counts: it may hold the newest state, or come back. It ceases to
    /// count once an operator declares it to be gone.
    pub(super) fn possible_replicas(&self) -> usize {
        let members = self.view.members.iter().map(|member| (member.address, member.durable));
        let own = (self.options.address, self.options.durable);
        let candidates: Vec<(SocketAddr, bool)> =
            members.chain(self.discovery.known_machines()).chain([own]).collect();
        let any_durable = candidates.iter().any(|(_, durable)| *durable);
        let mut machines: BTreeSet<SocketAddr> = candidates
            .iter()
            .filter(|(_, durable)| *durable || !any_durable)
            .map(|(address, _)| *address)
            .collect();
        if self.discovery.first_start {
            let expected = self.electorate().into_iter();
            machines.extend(expected.filter(|seed| !self.discovery.is_gone(*seed)));
        }
        machines.len()
    }

    /// Whether the first view may be proposed: all seeds that decide it are known, or a majority is and the others are
    /// late.
    pub(super) fn can_bootstrap(&self) -> bool {
        let electorate = self.electorate();
        let is_known =
            |seed: &&SocketAddr| **seed == self.options.address || self.discovery.is_known_seed(**seed);
        let known = electorate.iter().filter(is_known).count();
        let waited = self.has_run_for(self.options.timing.bootstrap_timeout);
        known == electorate.len() || (waited && known > electorate.len() / 2)
    }

    /// Whether this process may vote in the view that it knows: without a disk only among others without one.
    pub(super) fn may_vote(&self) -> bool {
        self.options.durable || self.view.members.iter().all(|member| !member.durable)
    }

    fn should_join(&self) -> bool {
        let is_outside = self.view.epoch > 0 && self.view.member(self.id).is_none();
        is_outside && self.may_vote() && self.discovery.identified && !self.shutting_down
    }

    fn send_join_requests(&mut self) {
        let member = self.own_member();
        for voter in self.view.members.clone() {
            self.send(Sender::from(&voter), Body::Join(member.clone()));
        }
    }

    pub(super) fn on_join(&mut self, member: Member) {
        self.discovery.record_machine(&member);
        self.discovery.record_join_request(self.now, member);
    }
}
