//! The state of a replica in the chain of its view.

use crate::types::{EntryId, MemberId, Now, View};

/// The state of this replica in the chain of its view.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChainState {
    /// The replica holds the state with which the view begins, and all entries since.
    pub(crate) matched: bool,
    /// A proposal has since installed another state in place of the chain's: nothing proves that the replicas before this
    /// one hold it. Such a replica is sealed, and opens no more in this view.
    pub(crate) state_replaced: bool,
    /// The record of entering the view is synced.
    pub(crate) entered: bool,
    /// All replicas before this one are open.
    pub(crate) predecessor_open: bool,
    /// This replica and all before it match and have synced that they entered.
    pub(crate) opened: bool,
    /// The last entry that is synced.
    pub(crate) synced: EntryId,
    /// Entries of this replica's own state up to here are known to be committed. An entry learned from another replica
    /// proves nothing about the entries before it here.
    pub(crate) committed: EntryId,
    /// When an entry was last sent to the successor.
    pub(crate) last_append_at: Option<Now>,
    /// When the newest committed entry was last asked for.
    pub(crate) last_fetch_at: Option<Now>,
    /// Since when an entry has been pending without a commit.
    pub(crate) commit_pending_since: Option<Now>,
}

impl ChainState {
    /// A view begins; `matched` says whether this replica holds its state.
    pub(crate) fn begin(&mut self, now: Now) {
        *self = ChainState {
            matched: self.matched,
            committed: self.committed,
            commit_pending_since: self.matched.then_some(now),
            ..ChainState::default()
        };
    }

    /// The process has restarted in a view: all that its disk holds is synced.
    pub(crate) fn resume(&mut self, now: Now, view: &View, id: MemberId, last: EntryId) {
        self.entered = view.chain_index(id).is_some();
        self.commit_pending_since = self.matched.then_some(now);
        self.synced = last;
    }

    /// Whether this replica may open, but for the replicas before it.
    pub(crate) fn is_ready_to_open(&self) -> bool {
        self.matched && self.entered && !self.opened && !self.state_replaced
    }
}
