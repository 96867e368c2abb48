//! Confirms as of when this process surely knows all that was acknowledged (`docs/control.md`, "Reads").
//!
//! Invariant: that is the latest time t such that a majority of the view's voters answered heartbeats sent at t or later
//! without having accepted another view (so none was decided by t, and nothing acknowledged in one), and the tail answered
//! one sent at t or later with a committed entry that is known here. Both are times of this process's own steady clock.

use super::Replica;
use crate::types::Now;

impl Replica {
    /// Evaluates the newest answers of the peers.
    pub(super) fn update_freshness(&mut self) {
        if self.view.epoch == 0 {
            return;
        }
        let tail = self.tail_confirmed_at();
        let majority = self.majority_confirmed_at();
        if let (Some(tail), Some(majority)) = (tail, majority) {
            self.freshness.confirm(tail.min(majority));
        }
    }

    /// When we sent the heartbeat that the tail answered last, if all that the tail had committed is known here.
    fn tail_confirmed_at(&self) -> Option<Now> {
        let tail = self.view.tail()?;
        let newest = self.committed_id().position;
        if tail == self.id {
            let is_known = self.chain.committed.position <= newest;
            return (self.chain.opened && is_known).then_some(self.now);
        }
        let peer = self.peers.get(tail)?;
        let heartbeat = peer.heartbeat?;
        let is_current = heartbeat.epoch == self.view.epoch && heartbeat.opened;
        peer.echoed_at.filter(|_| is_current && heartbeat.committed.position <= newest)
    }

    /// The latest time at or after which we sent heartbeats that a majority answered without having accepted another
    /// view.
    fn majority_confirmed_at(&self) -> Option<Now> {
        let epoch = self.view.epoch;
        let mut confirmed: Vec<Now> = Vec::with_capacity(self.view.members.len());
        for peer in self.peers.voters() {
            let is_current = peer.heartbeat.is_some_and(|last| last.epoch == epoch && !last.accepted);
            confirmed.extend(peer.echoed_at.filter(|_| is_current));
        }
        let votes_here = self.view.member(self.id).is_some() && self.acceptor.accepted.is_none();
        confirmed.extend(votes_here.then_some(self.now));
        confirmed.sort_unstable_by(|one, other| other.cmp(one));
        confirmed.get(self.view.majority() - 1).copied()
    }
}
