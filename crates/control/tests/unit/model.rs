//! Model checking of view changes with real replicas: all orders in which messages arrive or are lost,
//! proposers that disagree about which member to exclude, a write in progress, and a restart from the disk.
//!
//! Time does not advance and syncs complete at once. The loss of unsynced writes is tested by the simulated
//! schedules.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stateright::{Checker, Model, Property};

use crate::input::Input;
use crate::message::{Body, Echo, Heartbeat, Message};
use crate::options::{Options, Timing};
use crate::output::Output;
use crate::record::{Record, RecordBody};
use crate::replica::Replica;
use crate::types::{Command, CommandId, EntryId, Member, MemberId, Outcome, View};

const NOW: Duration = Duration::from_millis(100);

/// The configuration of a model run.
struct ViewChangeModel {
    members: usize,
    /// The initial chain.
    chain: &'static [usize],
    /// For each proposer: its index, the member it excludes, and its maximum number of proposals.
    proposers: &'static [(usize, Option<usize>, usize)],
    commands: usize,
    restarts: usize,
}

#[derive(Clone, Debug)]
struct Node {
    replica: Replica,
    disk: Vec<Record>,
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Node>,
    /// Messages in flight, sorted by their fingerprints.
    messages: Vec<(u64, Message)>,
    proposed: Vec<usize>,
    commands: usize,
    restarts: usize,
    views: BTreeMap<u64, View>,
    committed: BTreeMap<u64, EntryId>,
    /// The acknowledged versions; the key of a command is its version.
    acknowledged: Vec<u64>,
    /// The violated property, if any.
    violation: Option<&'static str>,
}

/// Hashes the state of a replica, except for times and random numbers.
fn hash_replica<H: Hasher>(replica: &Replica, state: &mut H) {
    replica.view.hash(state);
    replica.acceptor.promised.hash(state);
    replica.acceptor.accepted.hash(state);
    replica.state.complete.hash(state);
    let changes: Vec<EntryId> = replica.state.headers().iter().map(|change| change.id).collect();
    let entries: Vec<EntryId> = replica.state.entries().iter().map(|entry| entry.id).collect();
    (changes, entries, replica.known_committed(), replica.committed_id()).hash(state);
    replica.incarnation.hash(state);
    format!("{:?}{:?}{:?}", replica.chain, replica.proposer, replica.blocked_commands).hash(state);
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        fingerprint(self) == fingerprint(other)
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.proposed, self.commands, self.restarts, &self.acknowledged, &self.violation).hash(state);
        for node in &self.nodes {
            hash_replica(&node.replica, state);
            node.disk.len().hash(state);
        }
        for (text, _) in &self.messages {
            text.hash(state);
        }
    }
}

fn fingerprint<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Propose(usize),
    Command,
    Deliver(usize),
    Restart(usize),
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 1))
}

fn id(index: usize) -> MemberId {
    MemberId(index as u64 + 1)
}

fn options(index: usize) -> Options {
    Options {
        address: address(index),
        zone: "z".to_string(),
        seeds: Vec::new(),
        bootstrap: false,
        durable: true,
        tolerate_nodes: 1,
        tolerate_zones: 0,
        entropy: index as u64,
        timing: Timing::default(),
    }
}

impl State {
    /// Applies the outputs of a replica; syncs complete at once.
    fn perform(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { message, to } => self.send(message, to),
                Output::Persist { write_id, records } => {
                    self.nodes[index].disk.extend(records);
                    self.input(index, Input::Persisted(write_id));
                }
                Output::Answer { outcome: Outcome::Committed, key } => self.acknowledged.push(key.0),
                Output::Answer { .. } | Output::DepartureAnswer { .. } => {}
                Output::Committed(entry) => {
                    let known = *self.committed.entry(entry.id.position).or_insert(entry.id);
                    if known != entry.id {
                        self.violation = Some("two entries at a position");
                    }
                }
                Output::Violation(_) => self.violation = Some("a replica reported a violated invariant"),
                Output::ViewChanged(view) => {
                    let known = self.views.entry(view.epoch).or_insert_with(|| view.clone());
                    if *known != view {
                        self.violation = Some("two views of an epoch");
                    }
                }
            }
        }
    }

    fn send(&mut self, message: Message, to: SocketAddr) {
        // Only heartbeats that open a view affect the model.
        if matches!(&message.body, Body::Heartbeat(heartbeat) if !heartbeat.opened) {
            return;
        }
        let text = fingerprint(&format!("{to}{message:?}"));
        if let Err(at) = self.messages.binary_search_by_key(&text, |(known, _)| *known) {
            self.messages.insert(at, (text, message));
        }
    }

    /// Removes messages that can no longer change any state: delivering them is equivalent to losing them.
    fn prune(&mut self) {
        let nodes = &self.nodes;
        self.messages.retain(|(_, message)| {
            let index = message.target.map_or(0, |target| target.0 as usize - 1);
            let replica = &nodes[index].replica;
            let epoch = replica.view.epoch;
            match &message.body {
                Body::Heartbeat(heartbeat) => heartbeat.epoch >= epoch,
                Body::Prepare(prepare) => prepare.view.epoch >= epoch,
                Body::Install(install) => install.view.epoch >= epoch,
                Body::Accept(accept) => accept.view.epoch >= epoch,
                Body::Promise(promise) => replica.proposer.is_proposing(promise.ballot),
                Body::Installed(ballot) | Body::Accepted(ballot) => replica.proposer.is_proposing(*ballot),
                Body::Nack(nack) => replica.proposer.is_proposing(nack.refused),
                Body::Decide(view) => view.epoch > epoch,
                Body::Append(append) => append.epoch >= epoch,
                Body::Commit(commit) => commit.epoch >= epoch,
                _ => true,
            }
        });
    }

    fn input(&mut self, index: usize, input: Input) {
        let mut outputs = Vec::new();
        self.nodes[index].replica.handle(NOW, input, &mut outputs);
        self.perform(index, outputs);
    }

    fn deliver(&mut self, at: usize) {
        let (_, message) = self.messages.remove(at);
        let index = message.target.map_or(0, |target| target.0 as usize - 1);
        self.input(index, Input::Message(message));
    }
}

impl ViewChangeModel {
    fn initial_state(&self) -> State {
        let members = (0..self.members)
            .map(|index| Member {
                id: id(index),
                address: address(index),
                zone: "z".to_string(),
                durable: true,
            })
            .collect();
        let chain = self.chain.iter().map(|index| id(*index)).collect();
        let view = View { epoch: 1, members, chain, start: EntryId::default() };
        let mut state = State {
            nodes: Vec::new(),
            messages: Vec::new(),
            proposed: vec![0; self.proposers.len()],
            commands: 0,
            restarts: 0,
            views: BTreeMap::new(),
            committed: BTreeMap::new(),
            acknowledged: Vec::new(),
            violation: None,
        };
        for index in 0..self.members {
            let identity = RecordBody::Identity { id: id(index), bootstrap: Vec::new() };
            let entered = RecordBody::Entered(Box::new(view.clone()));
            let disk = vec![Record { number: 1, body: identity }, Record { number: 2, body: entered }];
            let node = self.start(index, &disk);
            state.nodes.push(Node { replica: node, disk });
        }
        // Opens the initial view, from the head to the tail.
        for pair in self.chain.windows(2) {
            let heartbeat = state.nodes[pair[0]].replica.clone();
            let mut outputs = Vec::new();
            let mut head = heartbeat;
            head.send_heartbeat_to_voters();
            head.handle(NOW, Input::SeedsChanged(Vec::new()), &mut outputs);
            for output in outputs {
                if let Output::Send { message, .. } = output {
                    if message.target == Some(id(pair[1])) {
                        state.input(pair[1], Input::Message(message));
                    }
                }
            }
        }
        state.messages.clear();
        state
    }

    /// Restores a replica from its disk. A proposer considers the member that it excludes unhealthy.
    fn start(&self, index: usize, disk: &[Record]) -> Replica {
        let mut replica = Replica::restore(NOW, options(index), disk.to_vec(), &mut Vec::new());
        let opinion = self.proposers.iter().find(|(proposer, _, _)| *proposer == index);
        let excluded = opinion.and_then(|(_, excluded, _)| excluded.map(id));
        replica.proposer.healthy_since = Some(Duration::ZERO);
        for peer in replica.peers.voters_mut() {
            if Some(peer.sender.id) == excluded {
                peer.heartbeat = Some(unhealthy_disk_heartbeat());
            } else {
                (peer.last_seen, peer.echoed_at, peer.healthy_since) =
                    (Some(NOW), Some(NOW), Some(Duration::ZERO));
            }
        }
        replica
    }
}

/// A heartbeat that reports an unhealthy disk; its sequence number prevents later ones from replacing it.
fn unhealthy_disk_heartbeat() -> Heartbeat {
    Heartbeat {
        sent: Echo { incarnation: 0, sent: u64::MAX },
        echo: None,
        epoch: 0,
        accepted: false,
        sealed: false,
        matched: false,
        opened: false,
        last: EntryId::default(),
        committed: EntryId::default(),
        disk_healthy: false,
        shutting_down: false,
        unreachable: 0,
        committed_bytes: 0,
    }
}

impl Model for ViewChangeModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.violation.is_some() {
            return;
        }
        for (at, (index, _, limit)) in self.proposers.iter().enumerate() {
            let epoch = state.nodes[*index].replica.view.epoch;
            if state.proposed[at] < *limit && epoch <= 2 {
                steps.push(Step::Propose(at));
            }
        }
        if state.commands < self.commands {
            steps.push(Step::Command);
        }
        steps.extend((0..state.messages.len()).map(Step::Deliver));
        if state.restarts < self.restarts {
            steps.extend((0..state.nodes.len()).map(Step::Restart));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Propose(at) => {
                let index = self.proposers[at].0;
                state.proposed[at] += 1;
                state.nodes[index].replica.start_proposal();
                state.input(index, Input::SeedsChanged(Vec::new()));
            }
            Step::Command => {
                state.commands += 1;
                let generation = state.commands as u64;
                let command = Arc::new(Command::new(generation - 1, generation, vec![0]));
                let head = self.chain[0];
                state.input(head, Input::Submit { key: CommandId(generation), command });
            }
            Step::Deliver(at) => state.deliver(at),
            Step::Restart(index) => {
                state.restarts += 1;
                let disk = state.nodes[index].disk.clone();
                let mut replica = self.start(index, &disk);
                replica.incarnation += state.restarts as u64;
                state.nodes[index].replica = replica;
            }
        }
        state.prune();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one view an epoch, one entry a position", |_, state| {
                state.violation.is_none()
            }),
            Property::<Self>::always(
                "what was acknowledged is on each replica of the newest chain",
                |_, state| {
                    let newest = state.views.keys().max().copied().unwrap_or(1);
                    let replicas = state.nodes.iter().map(|node| &node.replica);
                    let matched =
                        replicas.filter(|replica| replica.view.epoch == newest && replica.chain.matched);
                    matched
                        .into_iter()
                        .all(|replica| state.acknowledged.iter().all(|version| holds(replica, *version)))
                },
            ),
            Property::<Self>::sometimes("a command is committed", |_, state| !state.acknowledged.is_empty()),
            Property::<Self>::sometimes("a view is changed", |_, state| state.views.contains_key(&2)),
            Property::<Self>::sometimes("a changed view opens", |_, state| {
                state.nodes.iter().any(|node| {
                    let replica = &node.replica;
                    replica.view.epoch > 1 && replica.chain.opened && replica.view.tail() == Some(replica.id)
                })
            }),
        ]
    }
}

fn holds(replica: &Replica, version: u64) -> bool {
    replica.state.headers().iter().any(|change| change.generation == version)
}

/// Explores at most `CONTROL_MODEL_STATES` states, 150,000 by default, and checks the properties.
fn check(name: &str, model: ViewChangeModel) {
    let limit =
        std::env::var("CONTROL_MODEL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(150_000);
    let commands = model.commands;
    let checker = model.checker().threads(2).target_state_count(limit).spawn_dfs().join();
    println!(
        "{name}: {} states, {} unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_no_discovery("one view an epoch, one entry a position");
    checker.assert_no_discovery("what was acknowledged is on each replica of the newest chain");
    if commands > 0 {
        checker.assert_any_discovery("a command is committed");
    }
    checker.assert_any_discovery("a changed view opens");
}

#[test]
fn a_proposer_outside_the_chain_and_a_write() {
    let model = ViewChangeModel {
        members: 3,
        chain: &[0, 1],
        proposers: &[(2, Some(0), 1)],
        commands: 1,
        restarts: 0,
    };
    check("a proposer outside the chain, a write", model);
}

#[test]
fn a_proposer_in_the_chain_and_a_write() {
    let model = ViewChangeModel {
        members: 3,
        chain: &[0, 1, 2],
        proposers: &[(1, Some(0), 1)],
        commands: 1,
        restarts: 0,
    };
    check("a proposer in the chain, a write", model);
}

#[test]
fn two_proposers() {
    let proposers = &[(0, Some(2), 1), (1, Some(0), 1)];
    let model = ViewChangeModel { members: 3, chain: &[0, 1, 2], proposers, commands: 0, restarts: 0 };
    check("two proposers", model);
}

#[test]
fn two_proposers_and_a_write() {
    let proposers = &[(0, Some(2), 1), (2, Some(0), 1)];
    let model = ViewChangeModel { members: 3, chain: &[0, 1], proposers, commands: 1, restarts: 0 };
    check("two proposers, a write", model);
}

#[test]
fn a_restart_in_the_middle() {
    let model = ViewChangeModel {
        members: 3,
        chain: &[0, 1],
        proposers: &[(2, Some(0), 2)],
        commands: 1,
        restarts: 1,
    };
    check("one proposer twice, a write, a restart", model);
}

#[test]
fn a_voter_restarts_between_two_proposers() {
    let proposers = &[(0, Some(2), 1), (1, Some(0), 1)];
    let model = ViewChangeModel { members: 3, chain: &[0, 1, 2], proposers, commands: 0, restarts: 1 };
    check("two proposers, a restart", model);
}
