//! Checks of the invariants, where they could be violated (`docs/control.md`, "Invariants").
//!
//! Invariant: an entry that a process acknowledges, or reports as committed, is synced on at least min(t + 1, voters)
//! members of the view in which it was committed, and stays at its position for ever: the process neither forgets it nor
//! reports another one there, and no later view begins without it. A replica checks its own part of this: what its own
//! disk has synced before it sends a message, how long the chain is, and what it has known to be committed.

use super::Replica;
use crate::invariant::{Invariants, Violation, ViolationKind};
use crate::membership::required_replicas;
use crate::message::{Body, Sender};
use crate::output::Output;
use crate::types::{Command, Entry, EntryHeader, EntryId, View};

impl Replica {
    fn report_violation(&mut self, kind: ViolationKind, entry: EntryId) {
        self.invariants.count(kind);
        let epoch = self.view.epoch;
        self.outbox.push(Output::Violation(Violation { kind, epoch, entry }));
    }

    /// Called at the start: all that the disk holds is synced.
    pub(super) fn check_restored(&mut self) {
        self.invariants.restore(self.state.last());
        self.check_committed_since(0);
    }

    /// Called before an entry of the own state is committed by this tail, or sent to the successor.
    pub(super) fn check_synced(&mut self, entry: EntryId) {
        if self.options.durable && !self.invariants.is_synced(entry) {
            self.report_violation(ViolationKind::Unsynced, entry);
        }
    }

    /// Called before this tail commits an entry.
    pub(super) fn check_replica_count(&mut self, entry: EntryId) {
        let required = required_replicas(self.options.tolerate_nodes).min(self.view.members.len());
        if self.view.chain.len() < required {
            self.report_violation(ViolationKind::TooFewCopies, entry);
        }
    }

    /// Called before a message is sent that had to wait for a sync.
    pub(super) fn check_vote(&mut self, body: &Body) {
        if self.options.durable && self.invariants.has_unsynced_vote(body) {
            self.report_violation(ViolationKind::VoteUnsynced, EntryId::default());
        }
    }

    /// Called when a message arrives.
    pub(super) fn check_sender(&mut self, sender: Sender) {
        if sender.id == self.id && sender.address != self.options.address {
            self.report_violation(ViolationKind::SameIdentity, EntryId::default());
        }
    }

    /// Called once the own state is known to be committed further than up to the position `before`.
    pub(super) fn check_committed_since(&mut self, before: u64) {
        let committed = self.chain.committed;
        if committed.position < before {
            self.report_violation(ViolationKind::CommitWentBack, committed);
        }
        let count = Invariants::MAX_CHECKED_ENTRIES;
        let headers: Vec<EntryHeader> = self.state.headers_between(before, committed.position, count);
        for header in headers {
            self.check_committed_header(header);
        }
    }

    /// Called when an entry is learned to be committed, perhaps of another replica's state.
    pub(super) fn check_learned(&mut self, entry: &Entry) {
        self.check_committed_header(entry.header());
    }

    fn check_committed_header(&mut self, header: EntryHeader) {
        if !self.invariants.record_committed(header) {
            self.report_violation(ViolationKind::CommitReplaced, header.id);
        }
    }

    /// Called before a view is entered: what was committed in earlier ones is part of the state with which it begins.
    pub(super) fn check_view(&mut self, view: &View) {
        if let Some(missing) = self.invariants.missing_from(view) {
            self.report_violation(ViolationKind::CommitReplaced, missing);
        }
    }

    /// Called before a command is acknowledged as committed.
    pub(super) fn check_acknowledged(&mut self, command: &Command) {
        let header = self.state.find(command);
        if !header.is_some_and(|header| self.invariants.may_be_committed(&header)) {
            let entry = header.unwrap_or_default().id;
            self.report_violation(ViolationKind::AcknowledgedUncommitted, entry);
        }
    }
}
