//! What the host may ask a replica.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Replica;
use crate::commands::DeclineReason;
use crate::invariant::ViolationKind;
use crate::options::Options;
use crate::types::{Entry, MemberId, Now, View};

impl Replica {
    /// How long ago the latest moment was as of which this replica surely knows all that was acknowledged; `None` if
    /// no such moment is known.
    pub fn freshness(&self, now: Now) -> Option<Duration> {
        self.freshness.confirmed().map(|at| now.saturating_sub(at))
    }

    /// The view this process is in; epoch 0 while it knows none.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The newest entry known to be committed that is here with its bytes.
    pub fn newest_committed(&self) -> Option<&Arc<Entry>> {
        self.committed.as_ref()
    }

    /// The id of this process.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Whether this process is a replica of the chain of its view.
    pub fn in_chain(&self) -> bool {
        self.view.chain_index(self.id).is_some()
    }

    /// Whether heartbeats arrive from a peer, and ours at it.
    pub fn reaches(&self, id: MemberId) -> bool {
        self.peers.get(id).is_some_and(|peer| peer.connected(self.now, &self.options.timing))
    }

    /// Whether this process reaches a majority of its view's voters both ways, itself counted if it votes. An unhealthy
    /// disk doesn't count against it: messages still arrive.
    pub fn reaches_majority(&self) -> bool {
        let reached =
            self.view.members.iter().filter(|member| member.id == self.id || self.reaches(member.id));
        self.view.epoch > 0 && reached.count() >= self.view.majority()
    }

    /// The settings of this replica; the seeds are the newest ones.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// How many messages were refused since the start because their sender used the epoch of a replaced view.
    pub fn stale_epochs_refused(&self) -> u64 {
        self.stale_epochs_refused
    }

    /// How many commands this process declined as the head since the start, for that reason.
    pub fn declined_commands(&self, reason: DeclineReason) -> u64 {
        self.declined_commands.of(reason)
    }

    /// How often each kind of violation was seen since the start; kinds never seen are left out.
    pub fn violations(&self) -> &BTreeMap<ViolationKind, u64> {
        self.invariants.counts()
    }
}
