//! As of when this process surely knows all that was acknowledged.
//!
//! The latest time t such that a majority of the view's voters answered heartbeats sent at t or later without having
//! accepted another view (so none was decided by t, and nothing acknowledged in one), and the tail answered one sent
//! at t or later with a committed entry that is known here. Both are times of this process's own steady clock.

use crate::replica::Replica;
use crate::types::Now;

/// The latest moment that is confirmed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    confirmed: Option<Now>,
}

impl Freshness {
    pub(crate) fn confirmed(&self) -> Option<Now> {
        self.confirmed
    }
}

impl Replica {
    /// Looks at what the peers last answered.
    pub(crate) fn note_freshness(&mut self) {
        if self.view.epoch == 0 {
            return;
        }
        let tail = self.tail_answered();
        let majority = self.majority_answered();
        if let (Some(tail), Some(majority)) = (tail, majority) {
            self.freshness.confirmed = self.freshness.confirmed.max(Some(tail.min(majority)));
        }
    }

    /// When we asked what the tail last answered, if all that it has committed is known here.
    fn tail_answered(&self) -> Option<Now> {
        let tail = self.view.tail()?;
        let newest = self.committed_id().position;
        if tail == self.id {
            let known = self.chain.committed.position <= newest;
            return (self.chain.opened && known).then_some(self.now);
        }
        let peer = self.peers.get(tail)?;
        let heartbeat = peer.heartbeat?;
        let current = heartbeat.epoch == self.view.epoch && heartbeat.opened;
        peer.echoed.filter(|_| current && heartbeat.committed.position <= newest)
    }

    /// When we asked the last of the newest majority that hadn't accepted another view.
    fn majority_answered(&self) -> Option<Now> {
        let epoch = self.view.epoch;
        let mut answered: Vec<Now> = Vec::with_capacity(self.view.members.len());
        for peer in self.peers.voters() {
            let current = peer.heartbeat.is_some_and(|last| last.epoch == epoch && !last.accepted);
            answered.extend(peer.echoed.filter(|_| current));
        }
        let votes = self.view.member(self.id).is_some() && self.acceptor.accepted.is_none();
        answered.extend(votes.then_some(self.now));
        answered.sort_unstable_by(|one, other| other.cmp(one));
        answered.get(self.view.majority() - 1).copied()
    }
}
