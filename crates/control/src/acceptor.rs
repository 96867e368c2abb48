//! The durable state of a Paxos acceptor.
//!
//! There is one single-decree instance for each epoch: the voters of a view decide on the view after it.

use crate::types::{Ballot, Now, View};

/// What this voter has promised and accepted in the instance that decides the next view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Acceptor {
    /// The highest ballot promised.
    pub(crate) promised: Option<Ballot>,
    /// The proposal of the highest ballot accepted.
    pub(crate) accepted: Option<(Ballot, View)>,
    /// When it last promised or accepted.
    pub(crate) bound_at: Now,
}

impl Acceptor {
    /// Promises a ballot.
    pub(crate) fn promise(&mut self, now: Now, ballot: Ballot) {
        self.promised = self.promised.max(Some(ballot));
        self.bound_at = now;
    }

    /// Accepts a proposal.
    pub(crate) fn accept(&mut self, now: Now, ballot: Ballot, next: View) {
        self.promise(now, ballot);
        self.accepted = Some((ballot, next));
    }

    /// A view was entered: its instance begins with nothing promised.
    pub(crate) fn clear(&mut self) {
        *self = Acceptor::default();
    }

    /// Whether a promise seals the replica: it takes no more entries in its view.
    ///
    /// Invariant (`docs/control.md`, "Why nothing is lost"): an entry acknowledged in a view was taken before the seal
    /// by each replica of its chain, so the highest rank in a majority of promises covers it.
    pub(crate) fn is_sealed(&self) -> bool {
        self.promised.is_some()
    }
}
