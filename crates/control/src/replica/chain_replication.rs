//! Chain replication: entries go down the chain, each replica syncs one before it sends it on, and the tail's sync
//! commits it.
//!
//! Invariant (`docs/control.md`, "The view"): nothing is committed in a view before it is open. From the head down, each
//! replica reports that it holds the state with which the view begins. One that was installed by another proposal than
//! the decided one doesn't match; then the view never opens, and nothing is acknowledged in it.

use std::sync::Arc;
use std::time::Duration;

use super::Replica;
use crate::disk::Effect;
use crate::membership::required_replicas;
use crate::message::{Append, Body, Commit, Heartbeat, Sender};
use crate::options::transfer_time;
use crate::output::Output;
use crate::record::RecordBody;
use crate::types::{Command, Entry, EntryId, MemberId};

/// The most entries appended and not committed.
const MAX_ENTRIES_IN_FLIGHT: u64 = 8;
/// The most entries sent again at a time.
const MAX_RESENT_ENTRIES: u64 = 4;
/// Entries aren't sent again to a successor that one was sent to within this time.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// The pause between two requests for the newest committed entry, for a small one.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(300);

impl Replica {
    /// The newest committed entry that is here with its bytes.
    pub(crate) fn committed_id(&self) -> EntryId {
        self.committed.as_ref().map(|entry| entry.id).unwrap_or_default()
    }

    /// The size of that entry in bytes.
    pub(super) fn committed_bytes(&self) -> usize {
        self.committed.as_ref().map_or(0, |entry| entry.command.bytes.len())
    }

    /// The newest entry that is known to be committed, whether or not its bytes are here.
    pub(crate) fn known_committed(&self) -> EntryId {
        let learned = self.committed_id();
        if learned.position > self.chain.committed.position {
            learned
        } else {
            self.chain.committed
        }
    }

    pub(super) fn is_head(&self) -> bool {
        self.view.head() == Some(self.id)
    }

    fn is_tail(&self) -> bool {
        self.view.tail() == Some(self.id)
    }

    fn replica(&self, id: MemberId) -> Option<Sender> {
        self.view.member(id).map(Sender::from)
    }

    fn predecessor(&self) -> Option<Sender> {
        self.view.predecessor(self.id).and_then(|id| self.replica(id))
    }

    fn successor(&self) -> Option<Sender> {
        self.view.successor(self.id).and_then(|id| self.replica(id))
    }

    /// Whether this replica is a head that accepts commands.
    pub(super) fn accepts_commands(&self) -> bool {
        self.is_open_head() && self.has_enough_replicas()
    }

    /// Whether this replica is the head of an open view that nobody is replacing.
    pub(super) fn is_open_head(&self) -> bool {
        self.is_head() && self.chain.opened && !self.acceptor.is_sealed()
    }

    /// Whether the chain survives the losses to be tolerated.
    ///
    /// At the first start of a fleet the machines beyond the seeds join within seconds. A shorter chain must do only
    /// once that time has passed and too few machines are known: while others are known and unreachable, commands wait
    /// for them.
    fn has_enough_replicas(&self) -> bool {
        let required = required_replicas(self.options.tolerate_nodes);
        let too_few_machines = || {
            let waited = self.has_run_for(self.options.timing.short_chain_delay);
            waited && self.possible_replicas() < required
        };
        self.view.chain.len() >= required || too_few_machines()
    }

    /// Makes the next entry, as the head. `None` while too many entries are in flight.
    pub(super) fn append_command(&mut self, command: Arc<Command>) -> Option<EntryId> {
        let last = self.state.last();
        if last.position >= self.chain.committed.position + MAX_ENTRIES_IN_FLIGHT {
            return None;
        }
        let id = EntryId { epoch: self.view.epoch, position: last.position + 1 };
        self.append_entry(Arc::new(Entry { id, command }));
        Some(id)
    }

    fn append_entry(&mut self, entry: Arc<Entry>) {
        let epoch = self.view.epoch;
        let id = entry.id;
        self.state.append(entry.clone());
        self.chain.commit_pending_since.get_or_insert(self.now);
        self.disk.stage(RecordBody::Appended { entry }, Some(Effect::EntrySynced { epoch, id }));
    }

    pub(super) fn on_append(&mut self, sender: Sender, append: Append) {
        let is_current = self.is_current_epoch(sender, append.epoch) && self.chain.matched;
        let from_predecessor = self.view.predecessor(self.id) == Some(sender.id);
        if !is_current || self.acceptor.is_sealed() || !from_predecessor {
            return;
        }
        self.on_predecessor_open();
        let id = append.entry.id;
        if id.epoch == self.view.epoch && id.position == self.state.last().position + 1 {
            self.append_entry(append.entry);
        }
        self.commit_up_to(append.committed);
    }

    pub(super) fn on_entry_synced(&mut self, epoch: u64, id: EntryId) {
        if epoch != self.view.epoch || !self.chain.matched || !self.state.contains(id) {
            return;
        }
        self.chain.synced = id;
        if self.is_tail() {
            self.commit_as_tail();
        } else {
            self.send_to_successor(id.position);
        }
    }

    fn send_to_successor(&mut self, position: u64) {
        let Some(entry) = self.state.entry(position).cloned() else { return };
        let Some(successor) = self.successor() else { return };
        self.check_synced(entry.id);
        let append = Append { epoch: self.view.epoch, entry, committed: self.known_committed() };
        self.chain.last_append_at = Some(self.now);
        self.send(successor, Body::Append(append));
    }

    pub(super) fn on_view_entry_synced(&mut self, epoch: u64) {
        if epoch != self.view.epoch {
            return;
        }
        self.chain.entered = true;
        // Entries that arrived in the meantime are synced by later writes, which report them.
        self.chain.synced = self.view.start;
        if let Some(predecessor) = self.predecessor() {
            self.send_heartbeat(predecessor);
        }
        self.check_opened();
    }

    fn on_predecessor_open(&mut self) {
        self.chain.predecessor_open = true;
        self.check_opened();
    }

    /// Opens this replica's part of the view once it and all before it hold the state.
    pub(super) fn check_opened(&mut self) {
        let predecessors_open = self.is_head() || self.chain.predecessor_open;
        if !self.chain.is_ready_to_open() || !predecessors_open {
            return;
        }
        self.chain.opened = true;
        if self.is_tail() {
            self.commit_as_tail();
            self.update_freshness();
            // Nobody can confirm a read before it knows that the tail is open.
            self.send_heartbeat_to_voters();
        } else if let Some(successor) = self.successor() {
            self.send_heartbeat(successor);
        }
        self.resume_blocked_commands();
    }

    /// Commits what this tail has synced: all other replicas have.
    fn commit_as_tail(&mut self) {
        if !self.chain.opened {
            return;
        }
        let committed = self.chain.synced;
        if committed.position > self.chain.committed.position {
            self.check_synced(committed);
            self.check_replica_count(committed);
        }
        self.commit_up_to(committed);
        let commit = Commit { epoch: self.view.epoch, committed };
        for id in self.view.chain.clone() {
            let replica = self.replica(id).filter(|_| id != self.id);
            if let Some(replica) = replica {
                self.send(replica, Body::Commit(commit));
            }
        }
        self.send_newest_outside_chain();
    }

    /// Sends the newest committed entry to the processes outside the chain that lack it.
    fn send_newest_outside_chain(&mut self) {
        let Some(entry) = self.committed.clone() else { return };
        let timing = self.options.timing;
        let peers = self.peers.voters().iter().chain(self.peers.non_voters());
        let connected = peers.filter(|peer| peer.connected(self.now, &timing));
        let outside = connected.filter(|peer| self.view.chain_index(peer.sender.id).is_none());
        let lacking = outside.filter(|peer| peer.can_receive_entry(self.now, entry.id));
        let receivers: Vec<Sender> = lacking.map(|peer| peer.sender).collect();
        for receiver in receivers {
            self.peers.record_learn_sent(self.now, receiver.id, &entry);
            self.send(receiver, Body::Learn(entry.clone()));
        }
    }

    pub(super) fn on_commit(&mut self, sender: Sender, commit: Commit) {
        if self.is_current_epoch(sender, commit.epoch) && self.chain.matched {
            self.commit_up_to(commit.committed);
        }
    }

    /// Takes note that an entry of the own state and all before it are committed.
    fn commit_up_to(&mut self, id: EntryId) {
        if id.position <= self.chain.committed.position || !self.state.contains(id) {
            return;
        }
        let before = std::mem::replace(&mut self.chain.committed, id);
        self.check_committed_since(before.position);
        self.disk.stage(RecordBody::Committed(id), None);
        let has_uncommitted = self.state.last().position > id.position;
        self.chain.commit_pending_since = has_uncommitted.then_some(self.now);
        if let Some(entry) = self.state.entry(id.position).cloned() {
            self.learn(entry);
        }
        self.state.discard_committed_bytes(id.position);
        self.resume_blocked_commands();
    }

    /// Takes a committed entry, perhaps of another replica's state, if it is the newest one.
    pub(super) fn learn(&mut self, entry: Arc<Entry>) {
        if entry.id.position <= self.committed_id().position {
            return;
        }
        self.check_learned(&entry);
        self.committed = Some(entry.clone());
        self.outbox.push(Output::Committed(entry));
        self.update_freshness();
    }

    pub(super) fn on_fetch(&mut self, sender: Sender) {
        let Some(entry) = self.committed.clone() else { return };
        let peer = self.peers.get(sender.id);
        if peer.is_none_or(|peer| peer.can_receive_entry(self.now, entry.id)) {
            self.peers.record_learn_sent(self.now, sender.id, &entry);
            self.send(sender, Body::Learn(entry));
        }
    }

    /// Reacts to what a peer's heartbeat reports of the chain. `first` means that it is the first one in that view and
    /// with that state.
    pub(super) fn on_chain_heartbeat(&mut self, sender: Sender, heartbeat: &Heartbeat, first: bool) {
        let in_view = heartbeat.epoch == self.view.epoch;
        if in_view && self.chain.matched {
            self.commit_up_to(heartbeat.committed);
        }
        if in_view && heartbeat.opened && self.view.predecessor(self.id) == Some(sender.id) {
            self.on_predecessor_open();
        }
        if in_view && heartbeat.matched && self.view.successor(self.id) == Some(sender.id) {
            self.resend_missing_entries(heartbeat, first);
        }
        self.fetch_if_behind(sender, heartbeat);
        self.clear_commit_pending();
    }

    fn resend_missing_entries(&mut self, heartbeat: &Heartbeat, first: bool) {
        if first && !heartbeat.opened && self.chain.opened {
            if let Some(successor) = self.successor() {
                self.send_heartbeat(successor);
            }
        }
        let recently = self.chain.last_append_at.is_some_and(|at| self.now < at + RESEND_INTERVAL);
        if !self.chain.opened || heartbeat.sealed || (recently && !first) {
            return;
        }
        let from = heartbeat.last.position + 1;
        let to = self.chain.synced.position.min(from + MAX_RESENT_ENTRIES - 1);
        for position in from..=to {
            self.send_to_successor(position);
        }
    }

    fn fetch_if_behind(&mut self, sender: Sender, heartbeat: &Heartbeat) {
        let interval = FETCH_RETRY_INTERVAL + transfer_time(heartbeat.committed_bytes as usize);
        let recently = self.chain.last_fetch_at.is_some_and(|at| self.now < at + interval);
        if heartbeat.committed.position > self.committed_id().position && !recently {
            self.chain.last_fetch_at = Some(self.now);
            self.send(sender, Body::Fetch);
        }
    }

    fn clear_commit_pending(&mut self) {
        let all_committed = self.state.last().position <= self.chain.committed.position;
        if self.chain.opened && all_committed {
            self.chain.commit_pending_since = None;
        }
    }
}
