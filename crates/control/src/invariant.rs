//! What must hold whatever happens, checked where it could break.
//!
//! An entry that a process acknowledges, or says to be committed, is synced on at least min(t + 1, voters) members of the
//! view in which it was committed, and stands at its position for ever: the process neither forgets it nor names another
//! one there, and no later view begins without it. A replica sees its own part of this: what its own disk has synced
//! before it speaks, how long the chain is, and what it has known to be committed. The evidence is gathered apart from
//! the state that the decisions are taken by, from the records of finished writes.

use std::collections::BTreeMap;

use crate::membership::copies_wanted;
use crate::message::{Body, Sender};
use crate::record::{Record, RecordBody};
use crate::replica::{Output, Replica};
use crate::types::{Ballot, Command, Entry, EntryHeader, EntryId, View};

/// Committed changes remembered.
const REMEMBERED: usize = 1_024;

/// What was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ViolationKind {
    /// The tail committed, or a replica handed on, what its own disk hadn't synced.
    Unsynced,
    /// A promise, a vote or an installed state was told before it was synced.
    VoteUnsynced,
    /// An entry was committed in a chain that is too short for the losses to be borne.
    TooFewCopies,
    /// The newest committed entry of a replica's state became an older one.
    CommitWentBack,
    /// Another entry stands where one was committed, or a view begins without it.
    CommitReplaced,
    /// A command was answered as taken that isn't known to be committed.
    AcknowledgedUncommitted,
    /// Another process bears this one's identity.
    SameIdentity,
}

impl ViolationKind {
    /// All kinds.
    pub const ALL: [ViolationKind; 7] = [
        ViolationKind::Unsynced,
        ViolationKind::VoteUnsynced,
        ViolationKind::TooFewCopies,
        ViolationKind::CommitWentBack,
        ViolationKind::CommitReplaced,
        ViolationKind::AcknowledgedUncommitted,
        ViolationKind::SameIdentity,
    ];

    /// Its number in `docs/codes.md`.
    pub fn code(self) -> &'static str {
        match self {
            ViolationKind::Unsynced => "CTL-311",
            ViolationKind::VoteUnsynced => "CTL-312",
            ViolationKind::TooFewCopies => "CTL-313",
            ViolationKind::CommitWentBack => "CTL-314",
            ViolationKind::CommitReplaced => "CTL-315",
            ViolationKind::AcknowledgedUncommitted => "CTL-316",
            ViolationKind::SameIdentity => "CTL-317",
        }
    }
}

/// One violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// What was broken.
    pub kind: ViolationKind,
    /// The view in which it was.
    pub epoch: u64,
    /// The entry that it is about; the empty state's where it is about a vote.
    pub entry: EntryId,
}

/// Something that a voter tells once it is synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vote {
    Promised(Ballot),
    Accepted(Ballot),
    Installed(Ballot),
}

impl Vote {
    fn told_in(body: &Body) -> Option<Vote> {
        match body {
            Body::Promise(promise) => Some(Vote::Promised(promise.ballot)),
            Body::Accepted(ballot) => Some(Vote::Accepted(*ballot)),
            Body::Installed(ballot) => Some(Vote::Installed(*ballot)),
            _ => None,
        }
    }

    fn kept_in(body: &RecordBody) -> Option<Vote> {
        match body {
            RecordBody::Promised { ballot, .. } => Some(Vote::Promised(*ballot)),
            RecordBody::Accepted { ballot, .. } => Some(Vote::Accepted(*ballot)),
            RecordBody::Installed { ballot, .. } => Some(Vote::Installed(*ballot)),
            _ => None,
        }
    }
}

/// The evidence, and how often each kind was broken since the start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Invariants {
    /// The last entry of the state that the disk has synced.
    synced: EntryId,
    /// Votes of the last finished write.
    votes: Vec<Vote>,
    /// What was known to be committed, by position.
    committed: BTreeMap<u64, EntryHeader>,
    counts: BTreeMap<ViolationKind, u64>,
}

impl Invariants {
    /// A write has finished.
    pub(crate) fn note_synced(&mut self, records: &[Record]) {
        self.votes = records.iter().filter_map(|record| Vote::kept_in(&record.body)).collect();
        for record in records {
            match &record.body {
                RecordBody::Appended { entry } => self.synced = entry.id,
                RecordBody::Installed { transfer, .. } | RecordBody::CaughtUp { transfer } => {
                    self.synced = transfer.last();
                }
                _ => {}
            }
        }
    }

    /// Takes note of a committed change. The one that stood there before, if it was another.
    fn note_committed(&mut self, change: EntryHeader) -> Option<EntryHeader> {
        let known = self.committed.insert(change.id.position, change);
        while self.committed.len() > REMEMBERED {
            self.committed.pop_first();
        }
        known.filter(|known| *known != change)
    }
}

impl Replica {
    /// How often each kind of violation was seen since the start; kinds never seen are left out.
    pub fn violations(&self) -> &BTreeMap<ViolationKind, u64> {
        &self.invariants.counts
    }

    fn violated(&mut self, kind: ViolationKind, entry: EntryId) {
        *self.invariants.counts.entry(kind).or_default() += 1;
        let epoch = self.view.epoch;
        self.output(Output::Violation(Violation { kind, epoch, entry }));
    }

    /// All that the disk held at the start is synced.
    pub(crate) fn check_restored(&mut self) {
        self.invariants.synced = self.state.last();
        self.check_committed_since(0);
    }

    /// An entry of the own state is about to be committed by this tail, or handed on.
    pub(crate) fn check_synced(&mut self, entry: EntryId) {
        if self.options.durable && entry.position > self.invariants.synced.position {
            self.violated(ViolationKind::Unsynced, entry);
        }
    }

    /// This tail is about to commit.
    pub(crate) fn check_copies(&mut self, entry: EntryId) {
        let possible = copies_wanted(self.options.tolerate_nodes).min(self.view.members.len());
        if self.view.chain.len() < possible {
            self.violated(ViolationKind::TooFewCopies, entry);
        }
    }

    /// Something is about to be said.
    pub(crate) fn check_vote(&mut self, body: &Body) {
        let Some(vote) = Vote::told_in(body).filter(|_| self.options.durable) else { return };
        if !self.invariants.votes.contains(&vote) {
            self.violated(ViolationKind::VoteUnsynced, EntryId::default());
        }
    }

    /// A message has come.
    pub(crate) fn check_sender(&mut self, sender: Sender) {
        if sender.id == self.id && sender.address != self.options.address {
            self.violated(ViolationKind::SameIdentity, EntryId::default());
        }
    }

    /// The own state is known to be committed up to another entry than before.
    pub(crate) fn check_committed_since(&mut self, before: u64) {
        let committed = self.chain.committed;
        if committed.position < before {
            self.violated(ViolationKind::CommitWentBack, committed);
        }
        let changes: Vec<EntryHeader> = self.state.changes_between(before, committed.position, REMEMBERED);
        for change in changes {
            self.check_change(change);
        }
    }

    /// An entry is known to be committed, perhaps of another replica's state.
    pub(crate) fn check_learned(&mut self, entry: &Entry) {
        self.check_change(entry.change());
    }

    fn check_change(&mut self, change: EntryHeader) {
        if self.invariants.note_committed(change).is_some() {
            self.violated(ViolationKind::CommitReplaced, change.id);
        }
    }

    /// A view is entered: what was committed in earlier ones is part of the state with which it begins.
    pub(crate) fn check_view(&mut self, view: &View) {
        let earlier = |change: &&EntryHeader| change.id.epoch < view.epoch;
        let newest = self.invariants.committed.values().rev().find(earlier).map(|change| change.id);
        let Some(newest) = newest else { return };
        let lacks = newest.position > view.start.position;
        let other = newest.position == view.start.position && newest != view.start;
        if lacks || other {
            self.violated(ViolationKind::CommitReplaced, newest);
        }
    }

    /// A command is about to be answered as taken.
    pub(crate) fn check_acknowledged(&mut self, command: &Command) {
        let oldest = self.invariants.committed.first_key_value().map(|(position, _)| *position);
        let remembered = |change: &EntryHeader| oldest.is_none_or(|oldest| change.id.position >= oldest);
        let change = self.state.find(command);
        let known =
            change.is_some_and(|change| self.invariants.committed.get(&change.id.position) == Some(&change));
        if !known && change.as_ref().is_none_or(remembered) {
            self.violated(ViolationKind::AcknowledgedUncommitted, change.unwrap_or_default().id);
        }
    }
}
