//! The network of the virtual world: connections to voters, and messages that are late or lost on their way.

use crankpick_fleet::messages::Message;
use crankpick_fleet::node::{Link, Node};

use super::{Occurrence, World};

/// Messages in one schedule, many times what any should need.
pub(super) const MOST_MESSAGES: u64 = 1_000_000;

/// Delays in microseconds: the least, and what is drawn on top for most messages and for one in `SLOW_ONE_IN`.
const LEAST_DELAY_US: u64 = 100;
const USUAL_DELAY_US: u64 = 1_500;
const SLOW_DELAY_US: u64 = 20_000;
const SLOW_ONE_IN: u32 = 50;

/// What ails the path from one process to another.
#[derive(Clone, Copy, Default)]
pub(super) struct Path {
    /// All messages are lost.
    pub(super) cut: bool,
    /// Messages come so much later.
    pub(super) late_us: u64,
    /// The part of the messages that is lost.
    pub(super) loss: f32,
}

impl World {
    /// Opens a connection to a voter; an old one is closed.
    pub(super) fn connect(&mut self, from: usize, voter: usize) {
        let Some(hello) = self.hosts[from].node.as_ref().map(Node::hello) else { return };
        self.last_connection += 1;
        let connection = self.last_connection;
        if let Some(old) = self.hosts[from].connections.insert(voter, connection) {
            self.ends.remove(&old);
            if let Some((node, own)) = self.running(voter) {
                node.connection_closed(own, &Link::Conn(old));
            }
        }
        self.ends.insert(connection, (from, voter));
        self.deliver(voter, Link::Conn(connection), hello, 0);
    }

    /// All connections of a process that has just started, and those of others to it.
    pub(super) fn connect_all(&mut self, at: usize) {
        let voters = self.setup.voters;
        for voter in (0..voters).filter(|voter| *voter != at) {
            self.connect(at, voter);
            if at < voters {
                self.connect(voter, at);
            }
        }
        if at < voters {
            (voters..self.hosts.len()).for_each(|other| self.connect(other, at));
        }
    }

    /// Sends over a connection, either way.
    pub(super) fn send_from(&mut self, at: usize, link: Link, message: Message) {
        match link {
            Link::Voter(name) => {
                let voter = self.voter_names.iter().position(|voter| *voter == name);
                let Some(voter) = voter.filter(|voter| *voter != at) else { return };
                if let Some(connection) = self.hosts[at].connections.get(&voter).copied() {
                    self.send(at, voter, Link::Conn(connection), message);
                }
            }
            Link::Conn(connection) => {
                let ends = self.ends.get(&connection).copied();
                if let Some((opener, _)) = ends.filter(|(_, voter)| *voter == at) {
                    let name = self.hosts[at].name.clone();
                    self.send(at, opener, Link::Voter(name), message);
                }
            }
        }
    }

    /// Says hello anew on all connections that a process has opened.
    pub(super) fn send_hello(&mut self, at: usize, hello: &Message) {
        let connections = self.hosts[at].connections.clone();
        for (voter, connection) in connections {
            self.send(at, voter, Link::Conn(connection), hello.clone());
        }
    }

    fn send(&mut self, from: usize, to: usize, link: Link, message: Message) {
        let path = self.paths.get(&(from, to)).copied().unwrap_or_default();
        if path.cut || self.rng.f32() < path.loss {
            return;
        }
        self.deliver(to, link, message, path.late_us);
    }

    fn deliver(&mut self, to: usize, link: Link, message: Message, late_us: u64) {
        self.messages_sent += 1;
        if self.messages_sent > MOST_MESSAGES {
            // Messages that beget messages: the run would never end.
            return;
        }
        let slow = if self.rng.u32(0..SLOW_ONE_IN) == 0 { SLOW_DELAY_US } else { USUAL_DELAY_US };
        let at_us = self.t + LEAST_DELAY_US + self.rng.u64(0..slow) + late_us;
        self.sequence += 1;
        let number = self.sequence;
        self.in_flight.insert(number, (link, message));
        self.schedule(at_us, Occurrence::Message(to, number));
    }

    /// All messages from any of `from` to any of `to` are lost from now on.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to))) {
            self.paths.entry((from, to)).or_default().cut = true;
        }
    }

    /// All that a process sends comes so much later.
    pub fn late(&mut self, from: usize, late_us: u64) {
        let all: Vec<usize> = (0..self.hosts.len()).collect();
        self.late_to(from, &all, late_us);
    }

    /// What a process sends to these comes so much later.
    pub fn late_to(&mut self, from: usize, to: &[usize], late_us: u64) {
        for to in to {
            self.paths.entry((from, *to)).or_default().late_us = late_us;
        }
    }

    /// Nothing ails the network any more.
    pub fn mend(&mut self) {
        self.paths.clear();
    }
}
