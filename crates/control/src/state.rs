//! The replicated state: which commands were taken, and the newest one whole.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::types::{Command, Entry, EntryHeader, EntryId, Rank, StateTransfer};

/// Changes remembered, so that the same command again is known.
pub(crate) const HISTORY: usize = 4096;

/// The replicated state of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct State {
    /// It holds all that was acknowledged in this epoch and before it, while the replica is sealed.
    pub(crate) complete: u64,
    changes: VecDeque<EntryHeader>,
    /// Entries not known to be committed, and always the newest.
    entries: VecDeque<Arc<Entry>>,
}

impl State {
    pub(crate) fn restored(complete: u64, changes: Vec<EntryHeader>, entries: Vec<Arc<Entry>>) -> Self {
        State { complete, changes: changes.into(), entries: entries.into() }
    }

    /// The last entry.
    pub(crate) fn last(&self) -> EntryId {
        self.changes.back().map(|change| change.id).unwrap_or_default()
    }

    /// The version of the last entry.
    pub(crate) fn generation(&self) -> u64 {
        self.changes.back().map(|change| change.generation).unwrap_or_default()
    }

    pub(crate) fn rank(&self) -> Rank {
        Rank { complete: self.complete, last: self.last() }
    }

    pub(crate) fn changes(&self) -> Vec<EntryHeader> {
        self.changes.iter().copied().collect()
    }

    /// The newest changes, so many at the most, after one position and up to another.
    pub(crate) fn changes_between(&self, after: u64, last: u64, count: usize) -> Vec<EntryHeader> {
        let newest = self.changes.iter().rev().skip_while(|change| change.id.position > last);
        newest.take_while(|change| change.id.position > after).take(count).copied().collect()
    }

    pub(crate) fn entries(&self) -> Vec<Arc<Entry>> {
        self.entries.iter().cloned().collect()
    }

    /// The change that a command made, if it was taken.
    pub(crate) fn find(&self, command: &Command) -> Option<EntryHeader> {
        self.changes.iter().rev().find(|change| change.is_of(command)).copied()
    }

    /// Whether a command builds on so old a version that it may have been taken and is no longer remembered.
    pub(crate) fn has_forgotten(&self, command: &Command) -> bool {
        let oldest = self.changes.front();
        oldest.is_some_and(|oldest| oldest.id.position > 1 && command.if_match < oldest.if_match)
    }

    /// Whether the entry is part of this state.
    pub(crate) fn contains(&self, id: EntryId) -> bool {
        self.index(id.position)
            .and_then(|index| self.changes.get(index))
            .is_some_and(|change| change.id == id)
    }

    fn index(&self, position: u64) -> Option<usize> {
        let first = self.changes.front()?.id.position;
        usize::try_from(position.checked_sub(first)?).ok()
    }

    /// The entry at a position, if its bytes are still kept.
    pub(crate) fn entry(&self, position: u64) -> Option<&Arc<Entry>> {
        self.entries.iter().find(|entry| entry.id.position == position)
    }

    /// The bytes of the largest entry that is kept whole.
    pub(crate) fn largest_entry(&self) -> usize {
        self.entries.iter().map(|entry| entry.command.bytes.len()).max().unwrap_or(0)
    }

    pub(crate) fn append(&mut self, entry: Arc<Entry>) {
        self.changes.push_back(entry.change());
        self.entries.push_back(entry);
        self.bound();
    }

    /// Entries up to a position are committed: only the newest is kept whole.
    pub(crate) fn release(&mut self, committed: u64) {
        while self.entries.len() > 1
            && self.entries.front().is_some_and(|entry| entry.id.position <= committed)
        {
            self.entries.pop_front();
        }
    }

    /// Only the newest entry is kept whole.
    pub(crate) fn release_all(&mut self) {
        let spare = self.entries.len().saturating_sub(1);
        self.entries.drain(..spare);
    }

    /// What a replica that holds `since` lacks; the whole if that isn't part of this state.
    pub(crate) fn transfer(&self, since: EntryId, complete: u64) -> StateTransfer {
        let known = self.contains(since);
        let after = if known { since.position } else { 0 };
        let changes = self.changes.iter().filter(|change| change.id.position > after).copied().collect();
        let has_newest = known && since == self.last();
        let newest = if has_newest { None } else { self.entries.back().cloned() };
        StateTransfer { complete, since: known.then_some(since), changes, newest }
    }

    /// The part up to a committed entry that a replica with the last entry `since` lacks. The newest entry's bytes are
    /// left out where the receiver knows them.
    pub(crate) fn committed_transfer(
        &self,
        since: EntryId,
        committed: EntryId,
        known: EntryId,
    ) -> StateTransfer {
        let follows = self.contains(since) && since.position <= committed.position;
        let after = if follows { since.position } else { 0 };
        let lacked = |change: &&EntryHeader| (after + 1..=committed.position).contains(&change.id.position);
        let changes: Vec<EntryHeader> = self.changes.iter().filter(lacked).copied().collect();
        let has_newest = committed == since || committed == known;
        let newest = if has_newest { None } else { self.entry(committed.position).cloned() };
        StateTransfer { complete: 0, since: follows.then_some(since), changes, newest }
    }

    /// Takes what follows an entry of this state in place of what stood there. False, and nothing is changed, if that
    /// entry isn't part of this state.
    pub(crate) fn install(&mut self, transfer: &StateTransfer) -> bool {
        match transfer.since {
            Some(since) if since == EntryId::default() => self.changes.clear(),
            Some(since) if !self.contains(since) => return false,
            Some(since) => self.changes.retain(|change| change.id.position <= since.position),
            None => self.changes.clear(),
        }
        self.changes.extend(transfer.changes.iter().copied());
        let newest = transfer.newest.iter().filter(|newest| self.entry(newest.id.position) != Some(newest));
        let newest: Vec<Arc<Entry>> = newest.cloned().collect();
        self.entries.extend(newest);
        let entries = std::mem::take(&mut self.entries);
        self.entries = entries.into_iter().filter(|entry| self.contains(entry.id)).collect();
        self.complete = self.complete.max(transfer.complete);
        self.bound();
        true
    }

    fn bound(&mut self) {
        let spare = self.changes.len().saturating_sub(HISTORY);
        self.changes.drain(..spare);
    }
}
