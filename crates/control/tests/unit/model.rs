//! A model of the view change: real replicas, every order in which their messages arrive or are lost, proposers that
//! disagree about whom to leave out, a write on its way, and a restart from the disk.
//!
//! Time stands still and syncs are at once: what is lost of unsynced writes is for the schedules.

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

/// What is explored.
struct EntryHeader {
    members: usize,
    /// The first chain.
    chain: &'static [usize],
    /// Who may propose, whom it leaves out, and how often.
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
    /// On their way, in the order of their fingerprints.
    messages: Vec<(u64, Message)>,
    proposed: Vec<usize>,
    commands: usize,
    restarts: usize,
    views: BTreeMap<u64, View>,
    committed: BTreeMap<u64, EntryId>,
    /// The versions; a command's key is its version.
    acknowledged: Vec<u64>,
    /// What broke, if anything did.
    broken: Option<&'static str>,
}

/// All that tells one replica from another, times and random numbers left out.
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
        (&self.proposed, self.commands, self.restarts, &self.acknowledged, &self.broken).hash(state);
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

fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, place as u8], 1))
}

fn id(place: usize) -> MemberId {
    MemberId(place as u64 + 1)
}

fn options(place: usize) -> Options {
    Options {
        address: address(place),
        zone: "z".to_string(),
        seeds: Vec::new(),
        bootstrap: false,
        durable: true,
        tolerate_nodes: 1,
        tolerate_zones: 0,
        entropy: place as u64,
        timing: Timing::default(),
    }
}

impl State {
    /// Takes what a replica puts out; syncs are at once.
    fn perform(&mut self, place: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { message, to } => self.send(message, to),
                Output::Persist { write_id, records } => {
                    self.nodes[place].disk.extend(records);
                    self.input(place, Input::Persisted(write_id));
                }
                Output::Answer { outcome: Outcome::Committed, key } => self.acknowledged.push(key.0),
                Output::Answer { .. } | Output::DepartureAnswer { .. } => {}
                Output::Committed(entry) => {
                    let known = *self.committed.entry(entry.id.position).or_insert(entry.id);
                    if known != entry.id {
                        self.broken = Some("two entries at a position");
                    }
                }
                Output::Violation(_) => self.broken = Some("an invariant"),
                Output::ViewChanged(view) => {
                    let known = self.views.entry(view.epoch).or_insert_with(|| view.clone());
                    if *known != view {
                        self.broken = Some("two views of an epoch");
                    }
                }
            }
        }
    }

    fn send(&mut self, message: Message, to: SocketAddr) {
        // Of heartbeats only what opens a view matters here.
        if matches!(&message.body, Body::Heartbeat(heartbeat) if !heartbeat.opened) {
            return;
        }
        let text = fingerprint(&format!("{to}{message:?}"));
        if let Err(at) = self.messages.binary_search_by_key(&text, |(known, _)| *known) {
            self.messages.insert(at, (text, message));
        }
    }

    /// Leaves out what can change nothing any more: that it arrives is as if it were lost.
    fn prune(&mut self) {
        let nodes = &self.nodes;
        self.messages.retain(|(_, message)| {
            let place = message.target.map_or(0, |target| target.0 as usize - 1);
            let replica = &nodes[place].replica;
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

    fn input(&mut self, place: usize, input: Input) {
        let mut outputs = Vec::new();
        self.nodes[place].replica.handle(NOW, input, &mut outputs);
        self.perform(place, outputs);
    }

    fn deliver(&mut self, at: usize) {
        let (_, message) = self.messages.remove(at);
        let place = message.target.map_or(0, |target| target.0 as usize - 1);
        self.input(place, Input::Message(message));
    }
}

impl EntryHeader {
    fn first(&self) -> State {
        let members = (0..self.members)
            .map(|place| Member {
                id: id(place),
                address: address(place),
                zone: "z".to_string(),
                durable: true,
            })
            .collect();
        let chain = self.chain.iter().map(|place| id(*place)).collect();
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
            broken: None,
        };
        for place in 0..self.members {
            let identity = RecordBody::Identity { id: id(place), bootstrap: Vec::new() };
            let entered = RecordBody::Entered(Box::new(view.clone()));
            let disk = vec![Record { number: 1, body: identity }, Record { number: 2, body: entered }];
            let node = self.start(place, &disk);
            state.nodes.push(Node { replica: node, disk });
        }
        // The first view opens, from the head down.
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

    /// A replica from its disk, with its own opinion of the others.
    fn start(&self, place: usize, disk: &[Record]) -> Replica {
        let mut replica = Replica::restore(NOW, options(place), disk.to_vec(), &mut Vec::new());
        let opinion = self.proposers.iter().find(|(proposer, _, _)| *proposer == place);
        let left_out = opinion.and_then(|(_, left_out, _)| left_out.map(id));
        replica.proposer.healthy_since = Some(Duration::ZERO);
        for peer in replica.peers.voters_mut() {
            if Some(peer.sender.id) == left_out {
                peer.heartbeat = Some(unhealthy_heartbeat());
            } else {
                (peer.last_seen, peer.echoed_at, peer.healthy_since) =
                    (Some(NOW), Some(NOW), Some(Duration::ZERO));
            }
        }
        replica
    }
}

/// What a member with a sick disk says, once and for all.
fn unhealthy_heartbeat() -> Heartbeat {
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

impl Model for EntryHeader {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.first()]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.broken.is_some() {
            return;
        }
        for (at, (place, _, most)) in self.proposers.iter().enumerate() {
            let epoch = state.nodes[*place].replica.view.epoch;
            if state.proposed[at] < *most && epoch <= 2 {
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
                let place = self.proposers[at].0;
                state.proposed[at] += 1;
                state.nodes[place].replica.start_proposal();
                state.input(place, Input::SeedsChanged(Vec::new()));
            }
            Step::Command => {
                state.commands += 1;
                let generation = state.commands as u64;
                let command = Arc::new(Command::new(generation - 1, generation, vec![0]));
                let head = self.chain[0];
                state.input(head, Input::Submit { key: CommandId(generation), command });
            }
            Step::Deliver(at) => state.deliver(at),
            Step::Restart(place) => {
                state.restarts += 1;
                let disk = state.nodes[place].disk.clone();
                let mut replica = self.start(place, &disk);
                replica.incarnation += state.restarts as u64;
                state.nodes[place].replica = replica;
            }
        }
        state.prune();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one view an epoch, one entry a position", |_, state| {
                state.broken.is_none()
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
            Property::<Self>::sometimes("an order is taken", |_, state| !state.acknowledged.is_empty()),
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

/// Explores all, or as many states as `CONTROL_MODEL_STATES` says.
fn check(name: &str, model: EntryHeader) {
    let most =
        std::env::var("CONTROL_MODEL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(150_000);
    let commands = model.commands;
    let checker = model.checker().threads(2).target_state_count(most).spawn_dfs().join();
    println!(
        "{name}: {} states, {} unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_no_discovery("one view an epoch, one entry a position");
    checker.assert_no_discovery("what was acknowledged is on each replica of the newest chain");
    if commands > 0 {
        checker.assert_any_discovery("an order is taken");
    }
    checker.assert_any_discovery("a changed view opens");
}

#[test]
fn a_proposer_outside_the_chain_and_a_write() {
    let model =
        EntryHeader { members: 3, chain: &[0, 1], proposers: &[(2, Some(0), 1)], commands: 1, restarts: 0 };
    check("a proposer outside the chain, a write", model);
}

#[test]
fn a_proposer_in_the_chain_and_a_write() {
    let model = EntryHeader {
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
    let model = EntryHeader { members: 3, chain: &[0, 1, 2], proposers, commands: 0, restarts: 0 };
    check("two proposers", model);
}

#[test]
fn two_proposers_and_a_write() {
    let proposers = &[(0, Some(2), 1), (2, Some(0), 1)];
    let model = EntryHeader { members: 3, chain: &[0, 1], proposers, commands: 1, restarts: 0 };
    check("two proposers, a write", model);
}

#[test]
fn a_restart_in_the_middle() {
    let model =
        EntryHeader { members: 3, chain: &[0, 1], proposers: &[(2, Some(0), 2)], commands: 1, restarts: 1 };
    check("one proposer twice, a write, a restart", model);
}

#[test]
fn a_voter_restarts_between_two_proposers() {
    let proposers = &[(0, Some(2), 1), (1, Some(0), 1)];
    let model = EntryHeader { members: 3, chain: &[0, 1, 2], proposers, commands: 0, restarts: 1 };
    check("two proposers, a restart", model);
}
