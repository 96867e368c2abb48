//! How many losses the core tolerates from now on, and whether a process that shuts down may end.

use super::Replica;

impl Replica {
    /// How many voters may be lost from now on so that commands are still accepted, as far as this process knows:
    /// enough for a majority and for the shortest safe chain must remain. 0 before the view is open: a majority may not
    /// have stored it for good yet.
    pub fn bearable_losses(&self) -> usize {
        let is_own_tail_open = self.chain.opened && self.view.tail() == Some(self.id);
        if !is_own_tail_open && !self.is_tail_open() {
            return 0;
        }
        let needed = self.view.majority().max(self.view.least_chain(self.options.tolerate_nodes));
        self.healthy_voters().saturating_sub(needed)
    }

    /// The number of voters that are connected, healthy and not shutting down, this process included.
    fn healthy_voters(&self) -> usize {
        let timing = &self.options.timing;
        let voters = self.peers.voters().iter();
        let healthy = voters.filter(|peer| peer.is_healthy(self.now, timing));
        let is_healthy_voter = self.view.member(self.id).is_some() && self.is_healthy();
        healthy.count() + usize::from(is_healthy_voter)
    }

    /// The number of voters that the losses to be tolerated ask for.
    pub fn wanted_voters(&self) -> usize {
        self.tolerance().wanted_voters()
    }

    /// Whether this process, having announced its shutdown, may end: the others go on without its state, and without its
    /// vote if another process can have it.
    pub fn has_left(&self) -> bool {
        let is_voter = self.view.member(self.id).is_some();
        let is_alone = self.view.members.len() == 1 && is_voter;
        if self.view.epoch == 0 || is_alone {
            return true;
        }
        if self.in_chain() || !self.is_tail_open() {
            return false;
        }
        let is_replaceable = self.next_voters().iter().all(|member| member.id != self.id);
        !(is_voter && is_replaceable)
    }

    /// Whether the tail of this process's view, another process, reports that it is open.
    fn is_tail_open(&self) -> bool {
        let Some(tail) = self.view.tail().filter(|tail| self.is_current(*tail)) else { return false };
        self.peers.get(tail).and_then(|peer| peer.heartbeat).is_some_and(|last| last.opened)
    }
}
