//! The processes of the virtual world: their starts and ends, what they take in, and what they do next.

use crankpick_fleet::messages::{Ask, Message, Publication, Told};
use crankpick_fleet::node::{Event, Link, Node, Output, Plan};
use crankpick_fleet::state::{Command, Outcome};

use super::World;
use crate::history::Kind;

/// How often a disk that failed is tried again.
const DISK_RETRY_US: u64 = 200_000;
/// How long an operator waits for the answer to a call.
const PATIENCE_US: u64 = 3_000_000;

/// An operator's call that puts backends out, or back.
#[derive(Clone)]
pub(super) struct OutsCall {
    pub(super) id: u128,
    pub(super) out: bool,
    pub(super) ids: Vec<String>,
}

impl OutsCall {
    /// As the history names it.
    pub(super) fn name(&self) -> String {
        format!("{:x}", self.id)
    }
}

impl World {
    /// The process at this place and its own time, also while it is paused.
    pub(super) fn process(&mut self, at: usize) -> Option<(&mut Node, u64)> {
        let host = &mut self.hosts[at];
        let own = host.clock(self.t);
        host.node.as_mut().map(|node| (node, own))
    }

    /// The process at this place and its own time, if it isn't paused.
    pub(super) fn running(&mut self, at: usize) -> Option<(&mut Node, u64)> {
        if self.hosts[at].paused {
            return None;
        }
        self.process(at)
    }

    /// Starts a process on what its disk holds, and its connections.
    pub(super) fn start(&mut self, at: usize) {
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
            voters: self.voter_names.clone(),
            times: self.times,
            terms: self.terms,
        };
        host.node = Some(Node::new(host.clock(t), plan, host.incarnation, kept, self.rng.u64(..)));
        host.reset();
        self.connect_all(at);
        self.settle(at);
    }

    /// Ends a process at once.
    pub(super) fn crash(&mut self, at: usize, disk: bool) {
        let process = self.hosts[at].process();
        self.hosts[at].node = None;
        self.calls.retain(|(host, _), _| *host != at);
        self.record(Kind::Died { process, disk });
    }

    /// Tells a process that it is about to exit.
    pub(super) fn prepare_exit(&mut self, at: usize) {
        if let Some((node, own)) = self.process(at) {
            node.prepare_exit(own);
        }
        self.settle(at);
    }

    pub(super) fn tick(&mut self, at: usize) {
        self.retry_disk(at);
        let Some((node, own)) = self.process(at) else { return };
        node.tick(own);
        self.settle(at);
    }

    fn retry_disk(&mut self, at: usize) {
        let (t, host) = (self.t, &mut self.hosts[at]);
        let own = host.clock(t);
        let Some(node) = &mut host.node else { return };
        if node.disk_error().is_some() && t >= host.disk_retry_us {
            host.disk_retry_us = t + DISK_RETRY_US;
            if !host.disk.full {
                node.disk_recovered(own, host.disk.kept.clone());
            }
        }
    }

    pub(super) fn receive(&mut self, at: usize, link: Link, message: Message) {
        let Some((node, own)) = self.process(at) else { return };
        node.receive(own, link, message);
        self.settle(at);
    }

    /// Everything a process has to do now, and what comes of it.
    pub(super) fn settle(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        let own = host.clock(self.t);
        let Some(node) = &mut host.node else { return };
        node.pump(own, &mut host.disk);
        if host.disk.lost_power {
            self.record(Kind::Fault { what: format!("power lost in a write of {}", self.hosts[at].name) });
            self.crash(at, true);
            return;
        }
        let outputs: Vec<Output> = node.take_outputs().collect();
        for output in outputs {
            self.carry_out(at, output);
        }
    }

    fn carry_out(&mut self, at: usize, output: Output) {
        match output {
            Output::Send(link, message) => self.send_from(at, link, message),
            Output::Close(_) => {}
            Output::Hello(hello) => self.send_hello(at, &hello),
            Output::Apply(publication) => self.apply(at, publication),
            Output::Answer(call, told) => self.answered(at, call, told),
            Output::Event(event) => self.event(at, event),
            Output::SendUntil(until) => self.hosts[at].send_until_us = until,
            Output::Drain(drained) => self.drained(at, drained),
            Output::StartWork(call) => self.begin_work(at, call),
        }
    }

    fn apply(&mut self, at: usize, publication: Publication) {
        let Publication { version, outs, .. } = publication;
        let busy = self.acts(at, &outs);
        let before = self.contents.entry(version).or_insert_with(|| outs.clone());
        if *before != outs {
            let what = format!("BREACH version {version} is {before:?} and {outs:?}");
            self.record(Kind::Fault { what });
        }
        if let Some((node, own)) = self.process(at) {
            node.version_applied(own, version, busy);
        }
    }

    fn answered(&mut self, at: usize, call: u64, told: Told) {
        let Some(call) = self.calls.remove(&(at, call)) else { return };
        let command = call.name();
        let OutsCall { out, ids, .. } = call;
        match told {
            Told::Done(Outcome::Version(version)) => self.record(Kind::Acked { command, version, out, ids }),
            Told::Done(_) => {}
            // It may come into force yet.
            _ => self.record(Kind::Unsure { command, ids }),
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
        self.record(kind);
    }

    /// An operator's call at one process; whether the process took it.
    pub(super) fn call(&mut self, at: usize, call: &OutsCall) -> bool {
        let OutsCall { id, out, ids } = call.clone();
        let Some((node, own)) = self.process(at) else { return false };
        let Ok(number) = node.ask(own, Ask::Command(Command::Outs { id, out, ids }), PATIENCE_US) else {
            return false;
        };
        self.calls.insert((at, number), call.clone());
        true
    }
}
