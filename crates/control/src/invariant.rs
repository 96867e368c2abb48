//! The violations that a replica can report, and the evidence that its checks rest on.
//!
//! The evidence is gathered apart from the state that decisions are based on: from the records of finished writes, and
//! from what was known to be committed.

use std::collections::BTreeMap;

use crate::message::Body;
use crate::record::{Record, RecordBody};
use crate::types::{Ballot, EntryHeader, EntryId, View};

/// The most committed entries remembered.
const MAX_REMEMBERED_COMMITS: usize = 1_024;

/// The kind of an invariant that was violated. The log shows the name of the variant: it must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ViolationKind {
    /// The tail committed, or a replica sent down the chain, an entry that its own disk hadn't synced.
    Unsynced,
    /// A promise, a vote or an installed state was reported before it was synced.
    VoteUnsynced,
    /// An entry was committed in a chain that is too short for the losses to be tolerated.
    TooFewCopies,
    /// The newest committed entry of a replica's state became an older one.
    CommitWentBack,
    /// Another entry is at the position of a committed one, or a view begins without it.
    CommitReplaced,
    /// A command was acknowledged that isn't known to be committed.
    AcknowledgedUncommitted,
    /// Another process has this one's id.
    SameIdentity,
}

impl ViolationKind {
    /// All kinds, in the order of their codes.
    pub const ALL: [ViolationKind; 7] = [
        ViolationKind::Unsynced,
        ViolationKind::VoteUnsynced,
        ViolationKind::TooFewCopies,
        ViolationKind::CommitWentBack,
        ViolationKind::CommitReplaced,
        ViolationKind::AcknowledgedUncommitted,
        ViolationKind::SameIdentity,
    ];

    /// The code of the kind in `docs/codes.md`.
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

/// One violation of an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The kind of the invariant.
    pub kind: ViolationKind,
    /// The epoch of the replica's view.
    pub epoch: u64,
    /// The entry concerned; the default id where no entry is.
    pub entry: EntryId,
}

/// A statement of a voter that must be synced before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vote {
    Promised(Ballot),
    Accepted(Ballot),
    Installed(Ballot),
}

impl Vote {
    fn sent_in(body: &Body) -> Option<Vote> {
        match body {
            Body::Promise(promise) => Some(Vote::Promised(promise.ballot)),
            Body::Accepted(ballot) => Some(Vote::Accepted(*ballot)),
            Body::Installed(ballot) => Some(Vote::Installed(*ballot)),
            _ => None,
        }
    }

    fn stored_in(body: &RecordBody) -> Option<Vote> {
        match body {
            RecordBody::Promised { ballot, .. } => Some(Vote::Promised(*ballot)),
            RecordBody::Accepted { ballot, .. } => Some(Vote::Accepted(*ballot)),
            RecordBody::Installed { ballot, .. } => Some(Vote::Installed(*ballot)),
            _ => None,
        }
    }
}

/// The evidence, and how often each kind of invariant was violated since the start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Invariants {
    /// The last entry of the state that the disk has synced.
    synced: EntryId,
    /// The votes in the last finished write.
    votes: Vec<Vote>,
    /// What was known to be committed, by position.
    committed: BTreeMap<u64, EntryHeader>,
    counts: BTreeMap<ViolationKind, u64>,
}

impl Invariants {
    /// The most entries up to a commit that are worth checking: no more are remembered.
    pub(crate) const MAX_CHECKED_ENTRIES: usize = MAX_REMEMBERED_COMMITS;

    /// How often each kind was violated since the start; kinds never violated are left out.
    pub(crate) fn counts(&self) -> &BTreeMap<ViolationKind, u64> {
        &self.counts
    }

    /// Counts a violation.
    pub(crate) fn count(&mut self, kind: ViolationKind) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// The process starts: its state up to this entry was read from the disk.
    pub(crate) fn restore(&mut self, synced: EntryId) {
        self.synced = synced;
    }

    /// A write of these records has finished.
    pub(crate) fn record_synced(&mut self, records: &[Record]) {
        self.votes = records.iter().filter_map(|record| Vote::stored_in(&record.body)).collect();
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

    /// Whether an entry of the own state is synced.
    pub(crate) fn is_synced(&self, entry: EntryId) -> bool {
        entry.position <= self.synced.position
    }

    /// Whether the message contains a vote that the last finished write doesn't.
    pub(crate) fn has_unsynced_vote(&self, body: &Body) -> bool {
        Vote::sent_in(body).is_some_and(|vote| !self.votes.contains(&vote))
    }

    /// Remembers a committed entry. False if another one was known to be committed at its position.
    pub(crate) fn record_committed(&mut self, header: EntryHeader) -> bool {
        let known = self.committed.insert(header.id.position, header);
        while self.committed.len() > MAX_REMEMBERED_COMMITS {
            self.committed.pop_first();
        }
        known.is_none_or(|known| known == header)
    }

    /// The newest entry committed in an earlier view that a view begins without, if there is one.
    pub(crate) fn missing_from(&self, view: &View) -> Option<EntryId> {
        let is_earlier = |header: &&EntryHeader| header.id.epoch < view.epoch;
        let newest = self.committed.values().rev().find(is_earlier)?.id;
        let is_lost = newest.position > view.start.position;
        let is_replaced = newest.position == view.start.position && newest != view.start;
        (is_lost || is_replaced).then_some(newest)
    }

    /// Whether an entry is known to be committed, or so old that it is no longer remembered.
    pub(crate) fn may_be_committed(&self, header: &EntryHeader) -> bool {
        let oldest = self.committed.first_key_value().map(|(position, _)| *position);
        let is_forgotten = oldest.is_some_and(|oldest| header.id.position < oldest);
        is_forgotten || self.committed.get(&header.id.position) == Some(header)
    }
}
