//! An operator's word that a machine is gone for good.
//!
//! A head whose chain is shorter than the losses to be tolerated ask for waits for machines that it knows and can't reach:
//! no clock tells a machine that is gone from one that is only silent. The word is stored before it is answered. It holds
//! for what was known of that address; a process that announces itself there later counts again.

use std::net::SocketAddr;

use super::Replica;
use crate::disk::Effect;
use crate::output::Output;
use crate::record::RecordBody;
use crate::types::{CommandId, Departure};

impl Replica {
    /// Declares that the machine at an address is gone for good. One that votes, or is heard, can't be.
    pub(super) fn declare_gone(&mut self, key: CommandId, address: SocketAddr) {
        if let Some(refusal) = self.departure_refusal(address) {
            return self.outbox.push(Output::DepartureAnswer { key, departure: refusal });
        }
        self.discovery.record_gone(address);
        self.disk.stage(RecordBody::MachineGone { address }, Some(Effect::DepartureStored { key }));
    }

    fn departure_refusal(&self, address: SocketAddr) -> Option<Departure> {
        let is_member = self.view.members.iter().any(|member| member.address == address);
        let timing = &self.options.timing;
        let mut others = self.peers.non_voters().iter().filter(|peer| peer.sender.address == address);
        let is_heard = others.any(|peer| peer.connected(self.now, timing));
        if is_member || is_heard || address == self.options.address {
            return Some(Departure::StillHere);
        }
        let is_expected = self.discovery.first_start && self.electorate().contains(&address);
        let is_known = self.discovery.has_heard_of(address) || self.discovery.is_gone(address);
        (!is_expected && !is_known).then_some(Departure::UnknownMachine)
    }
}
