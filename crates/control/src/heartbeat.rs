//! Heartbeats: what is said in them, and what follows from one.

use crate::message::{Body, Echo, Heartbeat, Sender};
use crate::replica::Replica;

impl Replica {
    /// Sends one to all voters.
    pub(crate) fn heartbeat_all(&mut self) {
        let peers: Vec<Sender> = self.peers.voters().iter().map(|peer| peer.sender).collect();
        for peer in peers {
            self.send_heartbeat(peer);
        }
    }

    pub(crate) fn send_heartbeat(&mut self, to: Sender) {
        let heard = self.peers.sending(self.now, to.id);
        let sent = Echo { incarnation: self.incarnation, sent: self.now.as_micros() as u64 };
        let heartbeat = Heartbeat {
            sent,
            heard,
            epoch: self.view.epoch,
            accepted: self.acceptor.accepted.is_some(),
            sealed: self.acceptor.sealed(),
            matched: self.chain.matched,
            opened: self.chain.opened,
            last: self.state.last(),
            committed: self.known_committed(),
            disk_well: !self.sick(),
            leaving: self.leaving,
            unreachable: self.unreachable(),
            committed_bytes: self.committed_bytes() as u64,
        };
        self.send(to, Body::Heartbeat(heartbeat));
    }

    /// A bit for each voter that is suspected.
    fn unreachable(&self) -> u64 {
        let timing = &self.options.timing;
        let mut bits = 0;
        for (place, member) in self.view.members.iter().enumerate().take(64) {
            let suspected = self.peers.get(member.id).is_some_and(|peer| peer.suspected(self.now, timing));
            if suspected {
                bits |= 1 << place;
            }
        }
        bits
    }

    pub(crate) fn on_heartbeat(&mut self, sender: Sender, heartbeat: Heartbeat) {
        let before = self.peers.get(sender.id).and_then(|peer| peer.heartbeat);
        if !self.peers.hear(self.now, sender, heartbeat) {
            return;
        }
        if heartbeat.epoch < self.view.epoch {
            self.send(sender, Body::Decide(Box::new(self.view.clone())));
        }
        let first =
            before.is_none_or(|last| last.epoch != heartbeat.epoch || last.matched != heartbeat.matched);
        self.follow_chain(sender, &heartbeat, first);
        self.note_freshness();
    }
}
