//! How many losses the core bears from now on, and whether a process that leaves may end.

use crate::plan::says_well;
use crate::replica::Replica;

impl Replica {
    /// How many voters may be lost from now on so that commands are still taken, as far as this process can tell: enough
    /// for a majority and for the shortest chain must remain. None before the view is in service: a majority may not
    /// know it for good yet.
    pub fn bearable_losses(&self) -> usize {
        let in_service = self.chain.opened && self.view.tail() == Some(self.id) || self.tail_is_open();
        if !in_service {
            return 0;
        }
        let needed = self.view.majority().max(self.view.least_chain(self.options.tolerate_nodes));
        self.well_voters().saturating_sub(needed)
    }

    /// Voters that are reached, well and stay, this process among them.
    fn well_voters(&self) -> usize {
        let timing = &self.options.timing;
        let well =
            self.peers.voters().iter().filter(|peer| peer.connected(self.now, timing) && says_well(peer));
        let own = self.view.member(self.id).is_some() && !self.sick() && !self.leaving;
        well.count() + usize::from(own)
    }

    /// How many voters the losses to be borne ask for.
    pub fn wanted_voters(&self) -> usize {
        self.tolerance().wanted_voters()
    }

    /// Whether this process, having said that it leaves, may end: the others go on without its state, and without its
    /// vote if anybody can have it.
    pub fn has_left(&self) -> bool {
        if self.view.epoch == 0 || self.view.members.len() == 1 && self.view.member(self.id).is_some() {
            return true;
        }
        if self.in_chain() || !self.tail_is_open() {
            return false;
        }
        let votes = self.view.member(self.id).is_some();
        let replaceable = self.next_voters().iter().all(|member| member.id != self.id);
        !(votes && replaceable)
    }

    /// Whether the chain of the view that this process knows is in service.
    fn tail_is_open(&self) -> bool {
        let Some(tail) = self.view.tail().filter(|tail| self.is_current(*tail)) else { return false };
        self.peers.get(tail).and_then(|peer| peer.heartbeat).is_some_and(|last| last.opened)
    }
}
