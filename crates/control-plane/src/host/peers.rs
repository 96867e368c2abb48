//! Other processes of the core: announcements, presence, digests.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crankpick_control::Input;
use crankpick_protocol::CoreMember;
use crankpick_registry::{Announcement, ProcessId};
use slog::info;

use super::{Host, PRESENCE, SLOW_TICKS};
use crate::event::PeerPacket;
use crate::floods::Relay;
use crate::peers::PeerChange;

impl Host {
    pub(super) fn peer(&mut self, from: SocketAddr, packet: PeerPacket) {
        let now = self.now();
        match packet {
            PeerPacket::Replica(message) => self.replica(Input::Message(message)),
            PeerPacket::Announce { number, announcements } => self.announced(from, number, &announcements),
            PeerPacket::Relay { to, announcements } => self.pass_on(&to, &announcements),
            PeerPacket::Announced { number } => {
                if let Some(relay) = self.floods.answered(now, number, from) {
                    self.relay(&relay);
                }
            }
            PeerPacket::Presence { process, zone, peers, recall } => {
                self.peers.mentioned(now, &peers);
                self.presence(from, process, zone, recall);
            }
            PeerPacket::Digest(digest) => {
                let announcements = self.parts.registry.answer_digest(now, &digest);
                self.tell_all(from, announcements);
            }
            PeerPacket::Demands { number, home, epoch, demands } => {
                let others: Vec<ProcessId> = self.peers.processes().collect();
                let fresh = self.parts.replica.freshness(now);
                let grants = self.parts.quotas.own(now, home, epoch, demands, fresh, &others);
                if !grants.is_empty() {
                    self.links.send(from, &PeerPacket::Grants { number, grants });
                }
            }
            PeerPacket::Grants { number, grants } => self.granted(number, grants),
        }
    }

    pub(super) fn announced(&mut self, from: SocketAddr, number: u64, announcements: &[Announcement]) {
        let now = self.now();
        for announcement in announcements {
            let corrections = self.parts.registry.merge(now, announcement);
            self.flood(0, corrections);
            self.parts.gateways.merge(now, announcement);
        }
        if number > 0 {
            self.links.send(from, &PeerPacket::Announced { number });
        }
        self.push();
    }

    /// Tells peers what another one can't tell them: members and those within reach alone.
    pub(super) fn pass_on(&mut self, to: &[SocketAddr], announcements: &[Announcement]) {
        let known: BTreeSet<SocketAddr> =
            self.homes.iter().map(|home| home.address).chain(self.peers.up()).collect();
        let own = self.parts.address;
        for peer in to.iter().filter(|peer| known.contains(peer) && **peer != own) {
            self.tell_all(*peer, announcements.to_vec());
        }
    }

    pub(super) fn presence(&mut self, from: SocketAddr, process: ProcessId, zone: String, recall: bool) {
        let now = self.now();
        let changes = self.peers.heard(now, from, process, zone);
        let came = changes.iter().any(|change| matches!(change, PeerChange::Up(..)));
        self.peers_changed(changes);
        if recall || came {
            let whole = self.parts.registry.full_state(now);
            self.tell_all(from, whole);
            let whole = self.parts.gateways.full_state();
            self.tell_all(from, whole);
        }
    }

    pub(super) fn tell_all(&mut self, to: SocketAddr, announcements: Vec<Announcement>) {
        if !announcements.is_empty() {
            self.links.send(to, &PeerPacket::Announce { number: 0, announcements });
        }
    }

    /// The voters, whether or not they are within reach, all peers that are, and this process unless it leaves.
    pub(super) fn note_homes(&mut self) {
        let voters = self.parts.replica.view().members.iter();
        let voters = voters.map(|member| CoreMember { address: member.address, zone: member.zone.clone() });
        let own = CoreMember { address: self.parts.address, zone: self.parts.zone.clone() };
        let own = self.leaving_since.is_none().then_some(own);
        let mut homes: Vec<CoreMember> = voters.chain(self.peers.homes()).chain(own).collect();
        homes.sort_by_key(|home| home.address);
        homes.dedup_by_key(|home| home.address);
        self.homes = homes;
    }

    pub(super) fn peers_changed(&mut self, changes: Vec<PeerChange>) {
        let now = self.now();
        if !changes.is_empty() {
            self.note_homes();
        }
        for change in changes {
            match change {
                PeerChange::Up(address, process) => {
                    info!(self.parts.log, "peer up"; "address" => %address);
                    self.parts.registry.peer_up(now, process);
                    self.parts.gateways.peer_up(now, process);
                    self.replica(Input::PeerDiscovered(address));
                }
                PeerChange::Down(process) => {
                    info!(self.parts.log, "peer down"; "process" => process.0);
                    self.parts.registry.peer_down(now, process);
                    self.parts.gateways.peer_down(now, process);
                }
            }
        }
    }

    /// Ends the waits of backends that are over.
    pub(super) fn settle_floods(&mut self) {
        let now = self.now();
        if !self.parts.replica.reaches_majority() {
            self.floods.give_up_all();
        }
        for relay in self.floods.tick(now) {
            self.relay(&relay);
        }
    }

    /// Has those that hold an announcement pass it on.
    pub(super) fn relay(&mut self, relay: &Relay) {
        let packet =
            PeerPacket::Relay { to: relay.to.clone(), announcements: vec![relay.announcement.clone()] };
        for peer in &relay.via {
            self.links.send(*peer, &packet);
        }
    }

    pub(super) fn flood(&mut self, number: u64, announcement: Option<Announcement>) {
        let Some(announcement) = announcement else { return };
        let packet = PeerPacket::Announce { number, announcements: vec![announcement] };
        for peer in self.peers.up().collect::<Vec<_>>() {
            self.links.send(peer, &packet);
        }
    }

    pub(super) fn say_present(&mut self) {
        let own = self.parts.address;
        let mut others: Vec<SocketAddr> = self.homes.iter().map(|home| home.address).collect();
        others.extend(self.peers.up());
        others.extend(self.peers.mentions());
        others.extend(self.parts.seeds.iter().copied());
        others.sort();
        others.dedup();
        let recall = self.ticks <= SLOW_TICKS * PRESENCE;
        let (process, zone) = (self.parts.process, self.parts.zone.clone());
        let packet = PeerPacket::Presence { process, zone, peers: self.peers.up().collect(), recall };
        for other in others.into_iter().filter(|other| *other != own) {
            self.links.send(other, &packet);
        }
    }

    pub(super) fn send_digest(&mut self) {
        let peers: Vec<SocketAddr> = self.peers.up().collect();
        if peers.is_empty() {
            return;
        }
        self.digest_turn += 1;
        let digest = self.parts.registry.digest();
        self.links.send(peers[self.digest_turn % peers.len()], &PeerPacket::Digest(digest));
    }
}
