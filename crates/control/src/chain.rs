//! The chain: entries go down it, each replica syncs before it passes one on, and the tail's sync commits.
//!
//! Before anything is committed in a view, the view opens: from the head down each replica says that it holds the
//! state with which the view begins. A replica that was installed by another proposal than the decided one doesn't
//! match, the view never opens, and nothing is acknowledged in it.

use std::sync::Arc;

use crate::disk::Effect;
use crate::membership::copies_wanted;
use crate::message::{Append, Body, Commit, Heartbeat, Sender};
use crate::options::transfer_time;
use crate::record::RecordBody;
use crate::replica::{Output, Replica};
use crate::types::{Command, Entry, EntryId, MemberId, Now, View};
use std::time::Duration;

/// Entries appended and not committed.
pub(crate) const IN_FLIGHT: u64 = 8;
/// Entries sent again at a time.
const RESENT: u64 = 4;
/// What was sent to a successor isn't sent again for so long.
const RESEND_AFTER: Duration = Duration::from_millis(200);
/// Between two questions for an entry.
const FETCH_AGAIN: Duration = Duration::from_millis(300);

/// Where this replica stands in the chain of its view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Chain {
    /// It holds the state with which the view begins, and all entries since.
    pub(crate) matched: bool,
    /// A proposal has put another state in place of the chain's since: nothing says that the replicas before this one
    /// hold it. Such a replica is sealed, and opens no more in this view.
    pub(crate) replaced: bool,
    /// Entering the view is synced.
    entered: bool,
    /// All before it match, synced.
    predecessor_open: bool,
    /// It and all before it match, synced.
    pub(crate) opened: bool,
    /// The last entry that is synced.
    stored: EntryId,
    /// Entries of this replica's own state up to here are known to be committed. What was learned of an entry of
    /// another replica says nothing of the entries here.
    pub(crate) committed: EntryId,
    /// When an entry was last sent to the successor.
    sent: Option<Now>,
    /// When the newest committed entry was last asked for.
    fetched: Option<Now>,
    /// Nothing was committed since, though something waits.
    pub(crate) waits: Option<Now>,
}

impl Chain {
    /// A view begins.
    pub(crate) fn begin(&mut self, now: Now) {
        let waits = self.matched.then_some(now);
        *self = Chain { matched: self.matched, committed: self.committed, waits, ..Chain::default() };
    }

    /// All that the disk holds is synced.
    pub(crate) fn resume(&mut self, now: Now, view: &View, id: MemberId, last: EntryId) {
        self.entered = view.chain_index(id).is_some();
        self.waits = self.matched.then_some(now);
        self.stored = last;
    }
}

impl Replica {
    /// The newest committed entry whose bytes are here.
    pub(crate) fn committed_id(&self) -> EntryId {
        self.committed.as_ref().map(|entry| entry.id).unwrap_or_default()
    }

    /// The bytes of the newest committed entry.
    pub(crate) fn committed_bytes(&self) -> usize {
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

    fn is_head(&self) -> bool {
        self.view.head() == Some(self.id)
    }

    fn is_tail(&self) -> bool {
        self.view.tail() == Some(self.id)
    }

    /// Whether this replica takes commands.
    pub(crate) fn accepts_commands(&self) -> bool {
        self.is_head() && self.chain.opened && !self.acceptor.sealed() && self.has_copies()
    }

    /// Whether the chain outlives the losses to be borne. At the first start of a fleet the machines beyond the seeds
    /// join within seconds. Fewer copies must do only where that time has passed and too few machines are known: while
    /// others are known and out of reach, a command waits for them.
    fn has_copies(&self) -> bool {
        let copies = copies_wanted(self.options.tolerate_nodes);
        let few_machines =
            || self.has_run_for(self.options.timing.few_machines) && self.possible_copies() < copies;
        self.view.chain.len() >= copies || few_machines()
    }

    /// The next entry, made by the head. Nothing while too many are in flight.
    pub(crate) fn append_command(&mut self, command: Arc<Command>) -> Option<EntryId> {
        let last = self.state.last();
        if last.position >= self.chain.committed.position + IN_FLIGHT {
            return None;
        }
        let id = EntryId { epoch: self.view.epoch, position: last.position + 1 };
        self.store(Arc::new(Entry { id, command }));
        Some(id)
    }

    fn store(&mut self, entry: Arc<Entry>) {
        let epoch = self.view.epoch;
        let id = entry.id;
        self.state.append(entry.clone());
        self.chain.waits.get_or_insert(self.now);
        self.disk.stage(RecordBody::Appended { entry }, Some(Effect::Stored { epoch, id }));
    }

    pub(crate) fn on_append(&mut self, sender: Sender, append: Append) {
        let in_view = append.epoch == self.view.epoch && self.chain.matched && !self.acceptor.sealed();
        if !in_view || self.view.predecessor(self.id) != Some(sender.id) {
            return;
        }
        self.open_from_predecessor();
        let id = append.entry.id;
        if id.epoch == self.view.epoch && id.position == self.state.last().position + 1 {
            self.store(append.entry);
        }
        self.note_committed(append.committed);
    }

    pub(crate) fn on_stored(&mut self, epoch: u64, id: EntryId) {
        if epoch != self.view.epoch || !self.chain.matched || !self.state.contains(id) {
            return;
        }
        self.chain.stored = id;
        if self.is_tail() {
            self.commit_as_tail();
        } else {
            self.pass_on(id.position);
        }
    }

    fn pass_on(&mut self, position: u64) {
        let Some(entry) = self.state.entry(position).cloned() else { return };
        let Some(successor) = self.replica(self.view.successor(self.id)) else { return };
        self.check_synced(entry.id);
        let append = Append { epoch: self.view.epoch, entry, committed: self.known_committed() };
        self.chain.sent = Some(self.now);
        self.send(successor, Body::Append(append));
    }

    fn replica(&self, id: Option<MemberId>) -> Option<Sender> {
        let member = self.view.member(id?)?;
        Some(Sender { id: member.id, address: member.address })
    }

    pub(crate) fn on_entered(&mut self, epoch: u64) {
        if epoch != self.view.epoch {
            return;
        }
        self.chain.entered = true;
        // Entries that came meanwhile are synced later, and say so.
        self.chain.stored = self.view.start;
        let neighbour = self.replica(self.view.predecessor(self.id));
        if let Some(predecessor) = neighbour {
            self.send_heartbeat(predecessor);
        }
        self.check_opened();
    }

    fn open_from_predecessor(&mut self) {
        self.chain.predecessor_open = true;
        self.check_opened();
    }

    /// Opens this replica's part of the view once it and all before it hold the state.
    pub(crate) fn check_opened(&mut self) {
        let ready = self.chain.matched && self.chain.entered && !self.chain.opened && !self.chain.replaced;
        if !ready || !(self.is_head() || self.chain.predecessor_open) {
            return;
        }
        self.chain.opened = true;
        if self.is_tail() {
            self.commit_as_tail();
            self.note_freshness();
        } else if let Some(successor) = self.replica(self.view.successor(self.id)) {
            self.send_heartbeat(successor);
        }
    }

    /// The tail has synced what all others have.
    fn commit_as_tail(&mut self) {
        if !self.chain.opened {
            return;
        }
        let committed = self.chain.stored;
        if committed.position > self.chain.committed.position {
            self.check_synced(committed);
            self.check_copies(committed);
        }
        self.note_committed(committed);
        let commit = Commit { epoch: self.view.epoch, committed };
        for id in self.view.chain.clone() {
            if id != self.id {
                if let Some(replica) = self.replica(Some(id)) {
                    self.send(replica, Body::Commit(commit));
                }
            }
        }
        self.tell_outsiders();
    }

    /// Those outside the chain get the newest entry as well.
    fn tell_outsiders(&mut self) {
        let Some(entry) = self.committed.clone() else { return };
        let timing = self.options.timing;
        let peers = self.peers.voters().iter().chain(self.peers.strangers());
        let outside = peers.filter(|peer| peer.connected(self.now, &timing));
        let outside = outside.filter(|peer| self.view.chain_index(peer.sender.id).is_none());
        let lacking = outside.filter(|peer| peer.takes_entry(self.now, entry.id));
        let receivers: Vec<Sender> = lacking.map(|peer| peer.sender).collect();
        for receiver in receivers {
            self.peers.telling(self.now, receiver.id, &entry);
            self.send(receiver, Body::Learn(entry.clone()));
        }
    }

    pub(crate) fn on_commit(&mut self, commit: Commit) {
        if commit.epoch == self.view.epoch && self.chain.matched {
            self.note_committed(commit.committed);
        }
    }

    /// An entry is committed, and all before it.
    fn note_committed(&mut self, id: EntryId) {
        if id.position <= self.chain.committed.position || !self.state.contains(id) {
            return;
        }
        let before = std::mem::replace(&mut self.chain.committed, id);
        self.check_committed_since(before.position);
        self.disk.stage(RecordBody::Committed(id), None);
        let waits = self.state.last().position > id.position;
        self.chain.waits = waits.then_some(self.now);
        if let Some(entry) = self.state.entry(id.position).cloned() {
            self.learn(entry);
        }
        self.state.release(id.position);
        self.answer_waiting();
    }

    /// The newest committed entry, perhaps of another replica's state.
    pub(crate) fn learn(&mut self, entry: Arc<Entry>) {
        if entry.id.position <= self.committed_id().position {
            return;
        }
        self.check_learned(&entry);
        self.committed = Some(entry.clone());
        self.output(Output::Committed(entry));
        self.note_freshness();
    }

    pub(crate) fn on_fetch(&mut self, sender: Sender) {
        let Some(entry) = self.committed.clone() else { return };
        let lacks = self.peers.get(sender.id).is_none_or(|peer| peer.takes_entry(self.now, entry.id));
        if lacks {
            self.peers.telling(self.now, sender.id, &entry);
            self.send(sender, Body::Learn(entry));
        }
    }

    /// What a peer's heartbeat means for the chain.
    pub(crate) fn follow_chain(&mut self, sender: Sender, heartbeat: &Heartbeat, first: bool) {
        let in_view = heartbeat.epoch == self.view.epoch;
        if in_view && self.chain.matched {
            self.note_committed(heartbeat.committed);
        }
        if in_view && heartbeat.opened && self.view.predecessor(self.id) == Some(sender.id) {
            self.open_from_predecessor();
        }
        if in_view && heartbeat.matched && self.view.successor(self.id) == Some(sender.id) {
            self.send_again(heartbeat, first);
        }
        self.fetch_if_behind(sender, heartbeat);
        self.clear_idle();
    }

    fn send_again(&mut self, heartbeat: &Heartbeat, first: bool) {
        if first && !heartbeat.opened && self.chain.opened {
            if let Some(successor) = self.replica(self.view.successor(self.id)) {
                self.send_heartbeat(successor);
            }
        }
        let lately = self.chain.sent.is_some_and(|at| self.now < at + RESEND_AFTER);
        if !self.chain.opened || heartbeat.sealed || (lately && !first) {
            return;
        }
        let from = heartbeat.last.position + 1;
        let to = self.chain.stored.position.min(from + RESENT - 1);
        for position in from..=to {
            self.pass_on(position);
        }
    }

    fn fetch_if_behind(&mut self, sender: Sender, heartbeat: &Heartbeat) {
        let wait = FETCH_AGAIN + transfer_time(heartbeat.committed_bytes as usize);
        let lately = self.chain.fetched.is_some_and(|at| self.now < at + wait);
        if heartbeat.committed.position > self.committed_id().position && !lately {
            self.chain.fetched = Some(self.now);
            self.send(sender, Body::Fetch);
        }
    }

    /// Nothing waits to be committed.
    fn clear_idle(&mut self) {
        let idle = self.state.last().position <= self.chain.committed.position;
        if self.chain.opened && idle {
            self.chain.waits = None;
        }
    }
}
