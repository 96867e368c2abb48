//! The replicated state: the headers of the entries, and the newest ones with their bytes.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::types::{Command, Entry, EntryHeader, EntryId, Rank, StateTransfer};

/// The most entries remembered by their headers, so that a repeated command is recognized.
const MAX_REMEMBERED_ENTRIES: usize = 4096;

/// The replicated state, as one replica holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct State {
    /// The state holds all that was acknowledged in this epoch and before, while the replica is sealed.
    pub(crate) complete: u64,
    /// The headers of consecutive entries, oldest first; the last is that of the newest entry.
    headers: VecDeque<EntryHeader>,
    /// The entries that aren't known to be committed, and always the newest one.
    entries: VecDeque<Arc<Entry>>,
}

impl State {
    /// The state that a snapshot holds.
    pub(crate) fn restored(complete: u64, headers: Vec<EntryHeader>, entries: Vec<Arc<Entry>>) -> Self {
        State { complete, headers: headers.into(), entries: entries.into() }
    }

    /// The id of the last entry; that of the empty state if there is none.
    pub(crate) fn last(&self) -> EntryId {
        self.headers.back().map(|header| header.id).unwrap_or_default()
    }

    /// The version of the last entry; 0 if there is none.
    pub(crate) fn generation(&self) -> u64 {
        self.headers.back().map(|header| header.generation).unwrap_or_default()
    }

    /// The rank of this state.
    pub(crate) fn rank(&self) -> Rank {
        Rank { complete: self.complete, last: self.last() }
    }

    /// All headers, oldest first.
    pub(crate) fn headers(&self) -> Vec<EntryHeader> {
        self.headers.iter().copied().collect()
    }

    /// The headers after the position `after` and up to `last`, newest first; the newest `count` at the most.
    pub(crate) fn headers_between(&self, after: u64, last: u64, count: usize) -> Vec<EntryHeader> {
        let newest = self.headers.iter().rev().skip_while(|header| header.id.position > last);
        newest.take_while(|header| header.id.position > after).take(count).copied().collect()
    }

    /// The entries that are kept with their bytes, oldest first.
    pub(crate) fn entries(&self) -> Vec<Arc<Entry>> {
        self.entries.iter().cloned().collect()
    }

    /// The entry that a command made, if it was appended.
    pub(crate) fn find(&self, command: &Command) -> Option<EntryHeader> {
        self.headers.iter().rev().find(|header| header.is_of(command)).copied()
    }

    /// Whether a command builds on so old a version that it may have been appended and is no longer remembered.
    pub(crate) fn may_have_forgotten(&self, command: &Command) -> bool {
        let oldest = self.headers.front();
        oldest.is_some_and(|oldest| oldest.id.position > 1 && command.if_match < oldest.if_match)
    }

    /// Whether the entry is part of this state.
    pub(crate) fn contains(&self, id: EntryId) -> bool {
        let header = self.index(id.position).and_then(|index| self.headers.get(index));
        header.is_some_and(|header| header.id == id)
    }

    fn index(&self, position: u64) -> Option<usize> {
        let first = self.headers.front()?.id.position;
        usize::try_from(position.checked_sub(first)?).ok()
    }

    /// The entry at a position, if it is kept with its bytes.
    pub(crate) fn entry(&self, position: u64) -> Option<&Arc<Entry>> {
        self.entries.iter().find(|entry| entry.id.position == position)
    }

    /// The size in bytes of the largest entry that is kept with its bytes.
    pub(crate) fn largest_entry_bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.command.bytes.len()).max().unwrap_or(0)
    }

    /// Appends an entry, whose position must follow that of the last one.
    pub(crate) fn append(&mut self, entry: Arc<Entry>) {
        self.headers.push_back(entry.header());
        self.entries.push_back(entry);
        self.forget_oldest();
    }

    /// Discards the bytes of entries that are committed up to a position, but for the newest entry.
    pub(crate) fn discard_committed_bytes(&mut self, committed: u64) {
        let is_committed = |entry: &Arc<Entry>| entry.id.position <= committed;
        while self.entries.len() > 1 && self.entries.front().is_some_and(is_committed) {
            self.entries.pop_front();
        }
    }

    /// Discards the bytes of all entries but the newest.
    pub(crate) fn discard_all_but_newest(&mut self) {
        let excess = self.entries.len().saturating_sub(1);
        self.entries.drain(..excess);
    }

    /// What a replica whose state ends with `since` lacks of this state; the complete state if that entry isn't part of
    /// it.
    pub(crate) fn transfer(&self, since: EntryId, complete: u64) -> StateTransfer {
        let is_known = self.contains(since);
        let after = if is_known { since.position } else { 0 };
        let headers = self.headers.iter().filter(|header| header.id.position > after).copied().collect();
        let has_newest = is_known && since == self.last();
        let newest = if has_newest { None } else { self.entries.back().cloned() };
        StateTransfer { complete, since: is_known.then_some(since), headers, newest }
    }

    /// What a replica whose state ends with `since` lacks up to a committed entry. The newest entry's bytes are left out
    /// where the receiver has them: `known` is the newest entry that it holds with its bytes.
    pub(crate) fn committed_transfer(
        &self,
        since: EntryId,
        committed: EntryId,
        known: EntryId,
    ) -> StateTransfer {
        let is_part = self.contains(since) && since.position <= committed.position;
        let after = if is_part { since.position } else { 0 };
        let is_lacking =
            |header: &&EntryHeader| (after + 1..=committed.position).contains(&header.id.position);
        let headers: Vec<EntryHeader> = self.headers.iter().filter(is_lacking).copied().collect();
        let has_newest = committed == since || committed == known;
        let newest = if has_newest { None } else { self.entry(committed.position).cloned() };
        StateTransfer { complete: 0, since: is_part.then_some(since), headers, newest }
    }

    /// Replaces what follows the entry that the transfer builds on. False, and nothing is changed, if that entry isn't
    /// part of this state.
    pub(crate) fn install(&mut self, transfer: &StateTransfer) -> bool {
        match transfer.since {
            Some(since) if since == EntryId::default() => self.headers.clear(),
            Some(since) if !self.contains(since) => return false,
            Some(since) => self.headers.retain(|header| header.id.position <= since.position),
            None => self.headers.clear(),
        }
        self.headers.extend(transfer.headers.iter().copied());
        let newest = transfer.newest.iter().filter(|newest| self.entry(newest.id.position) != Some(newest));
        let newest: Vec<Arc<Entry>> = newest.cloned().collect();
        self.entries.extend(newest);
        let entries = std::mem::take(&mut self.entries);
        self.entries = entries.into_iter().filter(|entry| self.contains(entry.id)).collect();
        self.complete = self.complete.max(transfer.complete);
        self.forget_oldest();
        true
    }

    fn forget_oldest(&mut self) {
        let excess = self.headers.len().saturating_sub(MAX_REMEMBERED_ENTRIES);
        self.headers.drain(..excess);
    }
}
