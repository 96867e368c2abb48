//! Heartbeats: what this process reports in them, and what follows from those of others.

use super::Replica;
use crate::message::{Body, Echo, Heartbeat, Sender, MAX_REPORTED_MEMBERS};
use crate::peers::Peer;

impl Replica {
    /// Sends a heartbeat to all voters at once.
    pub(crate) fn send_heartbeat_to_voters(&mut self) {
        let voters: Vec<Sender> = self.peers.voters().iter().map(|peer| peer.sender).collect();
        for voter in voters {
            self.send_heartbeat(voter);
        }
    }

    /// Sends a heartbeat to each peer that had none for an interval.
    pub(super) fn send_due_heartbeats(&mut self) {
        for peer in self.peers.due_heartbeats(self.now) {
            self.send_heartbeat(peer);
        }
    }

    pub(super) fn send_heartbeat(&mut self, to: Sender) {
        let echo = self.peers.record_heartbeat_sent(self.now, to.id);
        let sent = Echo { incarnation: self.incarnation, sent: self.now.as_micros() as u64 };
        let heartbeat = Heartbeat {
            sent,
            echo,
            epoch: self.view.epoch,
            accepted: self.acceptor.accepted.is_some(),
            sealed: self.acceptor.is_sealed(),
            matched: self.chain.matched,
            opened: self.chain.opened,
            last: self.state.last(),
            committed: self.known_committed(),
            disk_healthy: !self.is_disk_unhealthy(),
            shutting_down: self.shutting_down,
            unreachable: self.unreachable_members(),
            committed_bytes: self.committed_bytes() as u64,
        };
        self.send(to, Body::Heartbeat(heartbeat));
    }

    /// A bit for each member of the view that is suspected.
    fn unreachable_members(&self) -> u64 {
        let timing = &self.options.timing;
        let mut bits = 0;
        for (index, member) in self.view.members.iter().enumerate().take(MAX_REPORTED_MEMBERS) {
            let peer = self.peers.get(member.id);
            if peer.is_some_and(|peer| peer.suspected(self.now, timing)) {
                bits |= 1 << index;
            }
        }
        bits
    }

    /// Answers at once the first heartbeat of a peer's incarnation, instead of with the next regular one: until it has
    /// an echo, that process can confirm nothing. Each of two processes does so once for each start of the other.
    fn answer_first_contact(&mut self, sender: Sender) {
        if self.peers.get(sender.id).is_some_and(Peer::lacks_echo) {
            self.send_heartbeat(sender);
        }
    }

    pub(super) fn on_heartbeat(&mut self, sender: Sender, heartbeat: Heartbeat) {
        let before = self.peers.get(sender.id).and_then(|peer| peer.heartbeat);
        if !self.peers.record_heartbeat(self.now, sender, heartbeat) {
            return;
        }
        if heartbeat.epoch < self.view.epoch {
            self.send(sender, Body::Decide(Box::new(self.view.clone())));
        }
        self.answer_first_contact(sender);
        let is_first =
            before.is_none_or(|last| last.epoch != heartbeat.epoch || last.matched != heartbeat.matched);
        self.on_chain_heartbeat(sender, &heartbeat, is_first);
        self.update_freshness();
    }
}
