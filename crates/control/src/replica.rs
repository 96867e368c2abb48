//! A replica: its state, and how an input is processed.
//!
//! The components that hold the state (`chain`, `acceptor`, `peers`, ...) are modules of the crate that know nothing of
//! the replica. The modules below this one implement its protocols on top of them.

mod catching_up;
mod chain_replication;
mod checks;
mod command_handling;
mod confirmation;
mod departure;
mod fencing;
mod heartbeats;
mod joining;
mod planning;
mod proposing;
mod resilience;
mod restore;
mod routing;
mod status;
mod voting;

use std::net::SocketAddr;
use std::sync::Arc;

use crate::acceptor::Acceptor;
use crate::catch_up::CatchUpRequest;
use crate::chain::ChainState;
use crate::commands::{BlockedCommands, DeclinedCommands, PendingCommands};
use crate::discovery::Discovery;
use crate::disk::{Disk, Effect};
use crate::freshness::Freshness;
use crate::input::Input;
use crate::invariant::Invariants;
use crate::options::Options;
use crate::output::{Outbox, Output, Outputs};
use crate::peers::Peers;
use crate::proposer::Proposer;
use crate::record::{Record, RecordBody};
use crate::state::State;
use crate::types::{Departure, Entry, MemberId, Now, View, WriteId};

/// A process of the core: a replica of the chain, a member outside it, or a follower.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) options: Options,
    /// The time of the newest input.
    pub(crate) now: Now,
    pub(crate) random: fastrand::Rng,
    pub(crate) id: MemberId,
    /// Drawn at each start: distinguishes this run of the process from earlier ones.
    pub(crate) incarnation: u64,
    /// The seeds, if this process takes part in the bootstrap; else empty.
    pub(crate) bootstrap: Vec<SocketAddr>,
    /// The newest decided view that is known here; epoch 0 while none is.
    pub(crate) view: View,
    pub(crate) acceptor: Acceptor,
    pub(crate) state: State,
    pub(crate) chain: ChainState,
    /// The newest entry known to be committed that is here with its bytes, perhaps learned from another replica.
    pub(crate) committed: Option<Arc<Entry>>,
    pub(crate) peers: Peers,
    pub(crate) freshness: Freshness,
    pub(crate) proposer: Proposer,
    pub(crate) discovery: Discovery,
    pub(crate) catch_up: CatchUpRequest,
    pub(crate) pending_commands: PendingCommands,
    pub(crate) blocked_commands: BlockedCommands,
    pub(crate) disk: Disk,
    /// This process is shutting down gracefully.
    pub(crate) shutting_down: bool,
    pub(crate) invariants: Invariants,
    /// Messages that were refused since their sender used the epoch of a replaced view.
    pub(crate) stale_epochs_refused: u64,
    /// Commands that this process, as the head, could not take, by the reason.
    pub(crate) declined_commands: DeclinedCommands,
    /// What the last heartbeat to all voters said of this process's disk.
    was_disk_unhealthy: bool,
    outbox: Outbox,
}

impl Replica {
    /// Starts a replica from the records of its disk; no records mean a first start. Appends the first actions for the
    /// host to `outputs`.
    pub fn restore(now: Now, options: Options, records: Vec<Record>, outputs: &mut Outputs) -> Replica {
        let mut replica = Replica::new(now, options);
        let is_first_start = records.is_empty();
        replica.replay(records);
        if is_first_start {
            replica.create_identity();
        } else {
            replica.discovery.identified = true;
        }
        if replica.view.epoch > 0 {
            replica.peers.enter(now, &replica.view, replica.id);
            replica.outbox.push(Output::ViewChanged(replica.view.clone()));
        }
        replica.chain.resume(now, &replica.view, replica.id, replica.state.last());
        replica.check_restored();
        replica.check_opened();
        replica.process_pending();
        replica.outbox.drain_into(outputs);
        replica
    }

    fn new(now: Now, options: Options) -> Replica {
        let mut random = fastrand::Rng::with_seed(options.entropy);
        let id = MemberId(random.u64(1..));
        let incarnation = random.u64(1..);
        let first_key = random.u64(..) >> 1;
        Replica {
            peers: Peers::new(now, incarnation, &options.timing),
            disk: Disk::new(!options.durable, 0),
            pending_commands: PendingCommands::new(first_key),
            discovery: Discovery::new(now),
            catch_up: CatchUpRequest::default(),
            outbox: Outbox::default(),
            options,
            now,
            random,
            id,
            incarnation,
            bootstrap: Vec::new(),
            view: View::default(),
            acceptor: Acceptor::default(),
            state: State::default(),
            chain: ChainState::default(),
            committed: None,
            freshness: Freshness::default(),
            proposer: Proposer::default(),
            blocked_commands: BlockedCommands::default(),
            shutting_down: false,
            invariants: Invariants::default(),
            stale_epochs_refused: 0,
            declined_commands: DeclinedCommands::default(),
            was_disk_unhealthy: false,
        }
    }

    fn create_identity(&mut self) {
        if self.options.bootstrap && self.options.seeds.contains(&self.options.address) {
            self.bootstrap = self.options.seeds.clone();
        }
        self.discovery.first_start = true;
        let body = RecordBody::Identity { id: self.id, bootstrap: self.bootstrap.clone() };
        self.disk.stage(body, Some(Effect::Identified));
    }

    /// Processes one input, and appends the actions for the host to `outputs`. `now` never counts as earlier than that
    /// of an input before.
    pub fn handle(&mut self, now: Now, input: Input, outputs: &mut Outputs) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Message(message) => self.receive(message),
            Input::Persisted(write) => self.on_persisted(write),
            Input::WriteFailed(write) => self.disk.write_failed(self.now, write),
            Input::Submit { key, command } => self.submit(key, command),
            Input::MachineGone { key, address } => self.declare_gone(key, address),
            Input::SeedsChanged(seeds) => self.options.seeds = seeds,
            Input::PeerDiscovered(address) => self.hello_if_isolated(address),
            Input::EpochUsed { address, epoch } => self.on_epoch_used(address, epoch),
            Input::Shutdown => self.shut_down(),
        }
        self.process_pending();
        self.outbox.drain_into(outputs);
    }

    fn on_persisted(&mut self, write: WriteId) {
        if let Some(records) = self.disk.persisted(write) {
            self.invariants.record_synced(&records);
        }
    }

    fn tick(&mut self) {
        self.peers.tick(self.now);
        self.check_idle_disk();
        self.report_disk_health();
        self.record_voter_health();
        self.discover();
        self.advance_proposal();
        self.propose_if_needed();
        self.forward_pending_commands();
        self.catch_up_if_behind();
        self.send_due_heartbeats();
        self.update_freshness();
    }

    fn shut_down(&mut self) {
        self.shutting_down = true;
        self.send_heartbeat_to_voters();
    }

    /// Writes to an idle disk. One that is full or hangs would else be noticed only after the loss of another replica,
    /// when this one is needed.
    fn check_idle_disk(&mut self) {
        if self.disk.is_idle(self.now, self.options.timing.disk_check_interval) {
            self.disk.stage(RecordBody::Committed(self.chain.committed), None);
        }
    }

    /// Tells the voters at once when the health of this process's disk changes.
    fn report_disk_health(&mut self) {
        let unhealthy = self.is_disk_unhealthy();
        if unhealthy != self.was_disk_unhealthy {
            self.was_disk_unhealthy = unhealthy;
            self.send_heartbeat_to_voters();
        }
    }

    /// Whether this process reports nothing against itself: its disk works, and it isn't shutting down.
    fn is_healthy(&self) -> bool {
        !self.is_disk_unhealthy() && !self.shutting_down
    }

    /// Whether the disk refuses writes, or takes too long for one.
    pub fn is_disk_unhealthy(&self) -> bool {
        self.disk.is_unhealthy(self.now, self.options.timing.disk_sync_timeout)
    }

    /// Processes all that has become due: effects of finished writes, messages of the replica to itself, the next write.
    fn process_pending(&mut self) {
        loop {
            for effect in self.disk.take_ready_effects() {
                self.apply(effect);
            }
            match self.outbox.next_local_message() {
                Some(body) => self.dispatch(self.sender(), body),
                None if self.disk.has_ready_effects() => {}
                None => break,
            }
        }
        let retry_interval = self.options.timing.disk_retry_interval;
        if let Some((write_id, records)) = self.disk.next_write(self.now, retry_interval) {
            self.outbox.push(Output::Persist { write_id, records });
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, body } => {
                self.check_vote(&body);
                self.send(to, body);
            }
            Effect::EntrySynced { epoch, id } => self.on_entry_synced(epoch, id),
            Effect::ViewEntered { epoch } => self.on_view_entry_synced(epoch),
            Effect::Identified => self.discovery.identified = true,
            Effect::DepartureStored { key } => {
                let departure = Departure::Recorded;
                self.outbox.push(Output::DepartureAnswer { key, departure });
            }
        }
    }
}
