//! For scripted schedules: faults one by one, and what can be asked of the fleet between them.

use crankpick_fleet::messages::{Publication, OUTS};
use crankpick_fleet::node::Node;

use super::host::{Host, MemoryDisk};
use super::processes::OutsCall;
use super::{Occurrence, World, TICK_US};
use crate::history::Kind;

/// How much newer a second process of the same name is than the first.
const NEWER: u64 = 1_000_000;

impl World {
    pub fn run_for(&mut self, us: u64) {
        self.run_until(self.t + us);
    }

    pub fn now_us(&self) -> u64 {
        self.t
    }

    /// Who believes to be the owner of the backends out now: those that are paused believe nothing until they go on.
    pub fn owners(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|at| self.hosts[*at].owns(self.t, OUTS)).collect()
    }

    pub fn leader(&self) -> Option<usize> {
        self.hosts.iter().position(|host| !host.paused && host.is_leader())
    }

    /// The publication in force at a process.
    pub fn taken(&self, at: usize) -> Option<Publication> {
        self.hosts[at].node.as_ref().and_then(|node| node.session.taken.clone())
    }

    pub fn pause(&mut self, at: usize) {
        self.hosts[at].paused = true;
    }

    pub fn kill(&mut self, at: usize) {
        self.crash(at, true);
    }

    pub fn restart(&mut self, at: usize) {
        self.start(at);
    }

    pub fn full(&mut self, at: usize, full: bool) {
        self.hosts[at].disk.full = full;
    }

    pub fn told_to_end(&mut self, at: usize) {
        self.prepare_exit(at);
    }

    /// A second process of a proxy on a machine of its own, as in an upgrade; returns its place. The first one has the
    /// disk: without it this one neither votes nor owns.
    pub fn second_process(&mut self, of: usize) -> usize {
        let first = &self.hosts[of];
        let mut second = Host::new(first.name.clone(), MemoryDisk::default(), first.clock_offset, first.pace);
        second.incarnation = first.incarnation + NEWER;
        second.disk_retry_us = u64::MAX;
        self.hosts.push(second);
        let at = self.hosts.len() - 1;
        self.start(at);
        self.schedule(self.t + TICK_US, Occurrence::Tick(at));
        at
    }

    /// A call at one process, under an id of its own or a repeated one.
    pub fn ask(&mut self, at: usize, id: u128, out: bool, ids: &[&str]) {
        let ids = ids.iter().map(|id| (*id).to_owned()).collect();
        self.call(at, &OutsCall { id, out, ids });
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
}
