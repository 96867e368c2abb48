//! A replica: what goes in, what comes out, and which part takes it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::acceptor::Acceptor;
use crate::catch_up::Pending;
use crate::chain::Chain;
use crate::commands::{Submits, Waiting};
use crate::discovery::Discovery;
use crate::disk::{Disk, Effect};
use crate::freshness::Freshness;
use crate::invariant::{Invariants, Violation};
use crate::message::{Body, Message, Sender};
use crate::options::Options;
use crate::peers::Peers;
use crate::proposer::Proposer;
use crate::record::{Record, RecordBody, Snapshot};
use crate::state::State;
use crate::types::{Command, Entry, MemberId, Now, Outcome, View};

/// The host's name for a command it submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CommandId(pub u64);

/// Names a write to the disk. One is under way at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WriteId(pub u64);

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passes: every 50 ms.
    Tick,
    /// A message has come.
    Message(Message),
    /// The records of that write are synced.
    Persisted(WriteId),
    /// The write was refused: none of its records counts, and they will be asked for again.
    WriteFailed(WriteId),
    /// An operator's command, checked for all but its place.
    Submit {
        /// The host's name for it.
        key: CommandId,
        /// The command.
        command: Arc<Command>,
    },
    /// The settings name other seeds.
    SeedsChanged(Vec<SocketAddr>),
    /// Another process of the core has said that it is there.
    PeerDiscovered(SocketAddr),
    /// This process shuts down in order.
    Shutdown,
}

/// What the host is to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// Where.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// Append the records in one write, sync, and say `Persisted` or `DiskRefused`.
    Persist {
        /// Its name.
        write_id: WriteId,
        /// The records.
        records: Vec<Record>,
    },
    /// What became of a command.
    Answer {
        /// The host's name for it.
        key: CommandId,
        /// What became of it.
        outcome: Outcome,
    },
    /// The newest committed configuration is another one now.
    Committed(Arc<Entry>),
    /// The view is another one now.
    ViewChanged(View),
    /// An invariant is broken: this is a fault of the program, to be told under its code.
    Violation(Violation),
}

/// What the host is to do, in order.
pub type Outputs = Vec<Output>;

/// A replica, a member outside the chain, or a follower.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) options: Options,
    pub(crate) now: Now,
    pub(crate) random: fastrand::Rng,
    pub(crate) id: MemberId,
    pub(crate) incarnation: u64,
    /// The seeds, if this process takes part in the bootstrap.
    pub(crate) bootstrap: Vec<SocketAddr>,
    pub(crate) view: View,
    pub(crate) acceptor: Acceptor,
    pub(crate) state: State,
    pub(crate) chain: Chain,
    pub(crate) committed: Option<Arc<Entry>>,
    pub(crate) peers: Peers,
    pub(crate) freshness: Freshness,
    pub(crate) proposer: Proposer,
    pub(crate) discovery: Discovery,
    pub(crate) catch_up: Pending,
    pub(crate) submits: Submits,
    pub(crate) waiting: Vec<Waiting>,
    pub(crate) disk: Disk,
    pub(crate) leaving: bool,
    pub(crate) invariants: Invariants,
    was_sick: bool,
    /// What this process says to itself.
    inbox: VecDeque<Body>,
    outputs: Outputs,
}

impl Replica {
    /// Starts from the records of the disk; none mean a first start.
    pub fn restore(now: Now, options: Options, records: Vec<Record>, outputs: &mut Outputs) -> Replica {
        let mut replica = Replica::blank(now, options);
        let first = records.is_empty();
        replica.replay(records);
        if first {
            replica.draw_identity();
        } else {
            replica.discovery.identified = true;
        }
        if replica.view.epoch > 0 {
            replica.peers.enter(now, &replica.view, replica.id);
            replica.outputs.push(Output::ViewChanged(replica.view.clone()));
        }
        replica.chain.resume(now, &replica.view, replica.id, replica.state.last());
        replica.check_restored();
        replica.check_opened();
        replica.settle();
        outputs.append(&mut replica.outputs);
        replica
    }

    fn blank(now: Now, options: Options) -> Replica {
        let mut random = fastrand::Rng::with_seed(options.entropy);
        let id = MemberId(random.u64(1..));
        let incarnation = random.u64(1..);
        let first_key = random.u64(..) >> 1;
        Replica {
            peers: Peers::new(now, incarnation, &options.timing),
            disk: Disk::new(!options.durable, 0),
            submits: Submits::new(first_key),
            discovery: Discovery::new(now),
            catch_up: Pending::default(),
            options,
            now,
            random,
            id,
            incarnation,
            bootstrap: Vec::new(),
            view: View::default(),
            acceptor: Acceptor::default(),
            state: State::default(),
            chain: Chain::default(),
            committed: None,
            freshness: Freshness::default(),
            proposer: Proposer::default(),
            waiting: Vec::new(),
            leaving: false,
            invariants: Invariants::default(),
            was_sick: false,
            inbox: VecDeque::new(),
            outputs: Vec::new(),
        }
    }

    fn draw_identity(&mut self) {
        if self.options.bootstrap && self.options.seeds.contains(&self.options.address) {
            self.bootstrap = self.options.seeds.clone();
        }
        self.discovery.first_start = true;
        let body = RecordBody::Identity { id: self.id, bootstrap: self.bootstrap.clone() };
        self.disk.stage(body, Some(Effect::Identified));
    }

    /// Takes one input; pushes what is to be done.
    pub fn handle(&mut self, now: Now, input: Input, outputs: &mut Outputs) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Message(message) => self.receive(message),
            Input::Persisted(write_id) => self.persisted(write_id),
            Input::WriteFailed(write_id) => self.disk.refuse(self.now, write_id),
            Input::Submit { key, command } => self.submit(key, command),
            Input::SeedsChanged(seeds) => self.options.seeds = seeds,
            Input::PeerDiscovered(address) => self.hello_if_lonely(address),
            Input::Shutdown => self.leave(),
        }
        self.settle();
        outputs.append(&mut self.outputs);
    }

    fn persisted(&mut self, write_id: WriteId) {
        if let Some(records) = self.disk.persisted(write_id) {
            self.invariants.note_synced(&records);
        }
    }

    fn tick(&mut self) {
        self.peers.tick(self.now);
        self.probe_disk();
        self.note_sickness();
        self.watch_health();
        self.discover();
        self.drive_proposal();
        self.propose_if_needed();
        self.drive_submits();
        self.catch_up_if_behind();
        let due = self.peers.due(self.now, self.options.timing.heartbeat);
        for peer in due {
            self.send_heartbeat(peer);
        }
        self.note_freshness();
    }

    fn leave(&mut self) {
        self.leaving = true;
        self.heartbeat_all();
    }

    /// An idle disk may be full or hang without anybody knowing, until the loss of another one makes it needed.
    fn probe_disk(&mut self) {
        if self.disk.is_unproven(self.now, self.options.timing.disk_probe) {
            self.disk.stage(RecordBody::Committed(self.chain.committed), None);
        }
    }

    /// Others are to know at once that the disk fell ill.
    fn note_sickness(&mut self) {
        let sick = self.sick();
        if sick != self.was_sick {
            self.was_sick = sick;
            self.heartbeat_all();
        }
    }

    pub(crate) fn sick(&self) -> bool {
        self.disk.sick(self.now, self.options.timing.disk_sick)
    }

    /// Does what has become due: effects of syncs, words to itself, the next write.
    fn settle(&mut self) {
        loop {
            for effect in self.disk.take_ready() {
                self.apply(effect);
            }
            match self.inbox.pop_front() {
                Some(body) => self.receive_body(self.sender(), body),
                None if self.disk.is_ready() => {}
                None => break,
            }
        }
        if let Some((write_id, records)) = self.disk.next_write(self.now, self.options.timing.disk_retry) {
            self.outputs.push(Output::Persist { write_id, records });
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, body } => {
                self.check_vote(&body);
                self.send(to, body);
            }
            Effect::Stored { epoch, id } => self.on_stored(epoch, id),
            Effect::Entered { epoch } => self.on_entered(epoch),
            Effect::Identified => self.discovery.identified = true,
        }
    }

    fn receive(&mut self, message: Message) {
        self.check_sender(message.sender);
        let own = message.sender.id == self.id;
        let meant = message.target.is_none_or(|target| target == self.id);
        if meant && !own {
            self.receive_body(message.sender, message.body);
        } else if !own && self.view.epoch == 0 {
            // Meant for who lived here before the disk was lost: the sender knows the view.
            self.hello(message.sender);
        }
    }

    fn receive_body(&mut self, sender: Sender, body: Body) {
        match body {
            Body::Hello(hello) => self.on_hello(sender, hello),
            Body::Join(member) => self.on_join(member),
            Body::Heartbeat(heartbeat) => self.on_heartbeat(sender, heartbeat),
            Body::Prepare(prepare) => self.on_prepare(sender, prepare),
            Body::Promise(promise) => self.on_promise(sender, *promise),
            Body::Install(install) => self.on_install(sender, *install),
            Body::Installed(ballot) => self.on_installed(sender, ballot),
            Body::Accept(accept) => self.on_accept(sender, *accept),
            Body::Accepted(ballot) => self.on_accepted(sender, ballot),
            Body::Nack(nack) => self.on_nack(nack),
            Body::Decide(view) => self.on_decide(*view),
            Body::Append(append) => self.on_append(sender, append),
            Body::Commit(commit) => self.on_commit(commit),
            Body::Fetch => self.on_fetch(sender),
            Body::Learn(entry) => self.learn(entry),
            Body::Forward(forward) => self.on_forward(sender, forward),
            Body::ForwardAnswer(answer) => self.on_forward_answer(answer),
            Body::CatchUp(request) => self.on_catch_up(sender, request),
            Body::CaughtUp(answer) => self.on_caught_up(*answer),
        }
    }

    /// This process, as a sender.
    pub(crate) fn sender(&self) -> Sender {
        Sender { id: self.id, address: self.options.address }
    }

    /// Says something to one peer, or to this process itself.
    pub(crate) fn send(&mut self, to: Sender, body: Body) {
        if to.id == self.id {
            self.inbox.push_back(body);
        } else {
            self.send_to_address(to.address, Some(to.id), body);
        }
    }

    /// Says something to whoever lives at an address.
    pub(crate) fn send_to_address(&mut self, to: SocketAddr, target: Option<MemberId>, body: Body) {
        if to == self.options.address {
            self.inbox.push_back(body);
            return;
        }
        let message = Message { sender: self.sender(), target, body };
        self.outputs.push(Output::Send { to, message });
    }

    pub(crate) fn output(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// The records that hold all that counts, to rewrite the file with. Hand them to the disk in order with the
    /// writes asked for before and after.
    pub fn snapshot_records(&self) -> Vec<Record> {
        let snapshot = Snapshot {
            id: self.id,
            bootstrap: self.bootstrap.clone(),
            view: self.view.clone(),
            promised: self.acceptor.promised,
            accepted: self.acceptor.accepted.clone(),
            matched: self.chain.matched && !self.chain.replaced,
            complete: self.state.complete,
            committed: self.chain.committed,
            changes: self.state.changes(),
            entries: self.state.entries(),
        };
        vec![Record { number: self.disk.number, body: RecordBody::Snapshot(Box::new(snapshot)) }]
    }

    /// The age of the newest moment as of which this replica surely knows all that was acknowledged.
    pub fn freshness(&self, now: Now) -> Option<Duration> {
        self.freshness.confirmed().map(|at| now.saturating_sub(at))
    }

    /// The view this process is in; epoch 0 while it knows none.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The newest entry that it knows to be committed.
    pub fn newest_committed(&self) -> Option<&Arc<Entry>> {
        self.committed.as_ref()
    }

    /// Who this is.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Whether it stands in the chain of its view.
    pub fn in_chain(&self) -> bool {
        self.view.chain_index(self.id).is_some()
    }

    /// Whether a peer is heard and hears this process.
    pub fn reaches(&self, id: MemberId) -> bool {
        self.peers.get(id).is_some_and(|peer| peer.connected(self.now, &self.options.timing))
    }

    /// Whether this process reaches a majority of its view's voters both ways, itself counted if it votes. A sick disk
    /// doesn't count against it: it still hears.
    pub fn reaches_majority(&self) -> bool {
        let reached =
            self.view.members.iter().filter(|member| member.id == self.id || self.reaches(member.id));
        self.view.epoch > 0 && reached.count() >= self.view.majority()
    }

    /// What it was told at its start.
    pub fn options(&self) -> &Options {
        &self.options
    }
}
