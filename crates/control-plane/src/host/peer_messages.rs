//! Handles messages from control-plane peers: announcements, presence, digests and quota demands.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crankpick_control::Input;
use crankpick_protocol::ControlPlaneMember;
use crankpick_registry::{Announcement, ProcessId};
use slog::info;

use super::{Host, SLOW_TICKS_PER_PRESENCE, TICKS_PER_SLOW_TICK};
use crate::departure_store::DurabilityWaiter;
use crate::event::PeerMessage;
use crate::peers::{home_of, PeerChange};
use crate::pending_announcements::Relay;

impl Host {
    /// Handles a message from the peer that listens on `from`.
    pub(super) fn handle_peer_message(&mut self, from: SocketAddr, message: PeerMessage) {
        let now = self.now();
        match message {
            PeerMessage::Replica(message) => self.drive_replica(Input::Message(message)),
            PeerMessage::Announce { number, announcements } => {
                self.handle_announcements(from, number, &announcements)
            }
            PeerMessage::Relay { to, announcements } => self.relay_announcements(&to, &announcements),
            PeerMessage::AnnounceAcknowledged { number } => {
                if let Some(relay) = self.pending_announcements.acknowledged(now, number, from) {
                    self.request_relay(&relay);
                }
            }
            PeerMessage::Presence { process, zone, peers, wants_full_state } => {
                self.peers.add_mentions(now, &peers);
                self.handle_presence(from, process, zone, wants_full_state);
            }
            PeerMessage::Digest(digest) => {
                let announcements = self.components.registry.answer_digest(now, &digest);
                self.send_announcements(from, announcements);
            }
            PeerMessage::QuotaDemands { number, home, epoch, demands } => {
                self.handle_demands(from, number, home, epoch, demands);
            }
            PeerMessage::QuotaGrants { number, grants } => self.handle_grants(number, grants),
            PeerMessage::DepartureQuery => self.report_departures(from),
            PeerMessage::DepartureReport { epoch, sound, departures } => {
                self.handle_departure_report(from, epoch, sound, &departures);
            }
        }
    }

    /// Merges announcements from a peer. If their number is not 0, acknowledges them once the departures among them are
    /// durable.
    pub(super) fn handle_announcements(
        &mut self,
        from: SocketAddr,
        number: u64,
        announcements: &[Announcement],
    ) {
        let now = self.now();
        for announcement in announcements {
            let corrections = self.components.registry.merge(now, announcement);
            self.announce(0, corrections);
            self.components.gateways.merge(now, announcement);
        }
        self.store_departures();
        if number > 0 {
            self.when_departures_durable(DurabilityWaiter::PeerAnnouncement { peer: from, number });
        }
        self.push_updates();
    }

    /// Forwards announcements to peers that the sender can't reach. Ignores addresses that belong neither to a home nor to
    /// a peer that is up.
    pub(super) fn relay_announcements(&mut self, to: &[SocketAddr], announcements: &[Announcement]) {
        let known: BTreeSet<SocketAddr> =
            self.homes.iter().map(|home| home.address).chain(self.peers.up()).collect();
        let own = self.components.address;
        for peer in to.iter().filter(|peer| known.contains(peer) && **peer != own) {
            self.send_announcements(*peer, announcements.to_vec());
        }
    }

    /// Records the presence of a peer. A peer that has just come up or requests it is sent the full state.
    pub(super) fn handle_presence(
        &mut self,
        from: SocketAddr,
        process: ProcessId,
        zone: String,
        wants_full_state: bool,
    ) {
        let now = self.now();
        let changes = self.peers.presence_received(now, from, process, zone);
        let came_up = changes.iter().any(|change| matches!(change, PeerChange::Up(..)));
        self.apply_peer_changes(changes);
        if wants_full_state || came_up {
            let full_state = self.components.registry.full_state(now);
            self.send_announcements(from, full_state);
            let full_state = self.components.gateways.full_state();
            self.send_announcements(from, full_state);
        }
    }

    /// Sends announcements to one peer without requesting an acknowledgement.
    pub(super) fn send_announcements(&mut self, to: SocketAddr, announcements: Vec<Announcement>) {
        if !announcements.is_empty() {
            self.connections.send(to, &PeerMessage::Announce { number: 0, announcements });
        }
    }

    /// Recomputes the homes: all voters, all peers that are up, and this process unless it is shutting down.
    pub(super) fn update_homes(&mut self) {
        let voters = self.components.replica.view().members.iter().map(home_of);
        let own = ControlPlaneMember { address: self.components.address, zone: self.components.zone.clone() };
        let own = self.leaving_since.is_none().then_some(own);
        let mut homes: Vec<ControlPlaneMember> = voters.chain(self.peers.homes()).chain(own).collect();
        homes.sort_by_key(|home| home.address);
        homes.dedup_by_key(|home| home.address);
        self.homes = homes;
    }

    /// Applies liveness changes of peers to the registry, the gateway leases, the replica and the homes.
    pub(super) fn apply_peer_changes(&mut self, changes: Vec<PeerChange>) {
        let now = self.now();
        if !changes.is_empty() {
            self.update_homes();
        }
        for change in changes {
            match change {
                PeerChange::Up(address, process) => {
                    info!(self.components.log, "peer up"; "address" => %address);
                    self.components.registry.peer_up(now, process);
                    self.components.gateways.peer_up(now, process);
                    self.drive_replica(Input::PeerDiscovered(address));
                }
                PeerChange::Down(process) => {
                    info!(self.components.log, "peer down"; "process" => process.0);
                    self.components.registry.peer_down(now, process);
                    self.components.gateways.peer_down(now, process);
                }
            }
        }
    }

    /// Answers the backends whose announcements are complete, have timed out, or can't reach a majority.
    pub(super) fn expire_announcements(&mut self) {
        let now = self.now();
        if !self.components.replica.reaches_majority() {
            self.pending_announcements.fail_all();
        }
        for relay in self.pending_announcements.expire(now) {
            self.request_relay(&relay);
        }
    }

    /// Asks the peers that have an announcement to forward it.
    pub(super) fn request_relay(&mut self, relay: &Relay) {
        let message =
            PeerMessage::Relay { to: relay.to.clone(), announcements: vec![relay.announcement.clone()] };
        for peer in &relay.via {
            self.connections.send(*peer, &message);
        }
    }

    /// Sends an announcement, if there is one, to all peers that are up. A number above 0 requests acknowledgements.
    pub(super) fn announce(&mut self, number: u64, announcement: Option<Announcement>) {
        let Some(announcement) = announcement else { return };
        let message = PeerMessage::Announce { number, announcements: vec![announcement] };
        for peer in self.peers.up().collect::<Vec<_>>() {
            self.connections.send(peer, &message);
        }
    }

    /// Announces to all homes, known peers and seeds that this process is up.
    pub(super) fn send_presence(&mut self) {
        let own = self.components.address;
        let mut others: Vec<SocketAddr> = self.homes.iter().map(|home| home.address).collect();
        others.extend(self.peers.up());
        others.extend(self.peers.mentions());
        others.extend(self.components.seeds.iter().copied());
        others.sort();
        others.dedup();
        let wants_full_state = self.ticks <= TICKS_PER_SLOW_TICK * SLOW_TICKS_PER_PRESENCE;
        let (process, zone) = (self.components.process, self.components.zone.clone());
        let message =
            PeerMessage::Presence { process, zone, peers: self.peers.up().collect(), wants_full_state };
        for other in others.into_iter().filter(|other| *other != own) {
            self.connections.send(other, &message);
        }
    }

    /// Sends the digest of the registry to one peer, round robin.
    pub(super) fn send_digest(&mut self) {
        let peers: Vec<SocketAddr> = self.peers.up().collect();
        if peers.is_empty() {
            return;
        }
        self.digest_turn += 1;
        let digest = self.components.registry.digest();
        self.connections.send(peers[self.digest_turn % peers.len()], &PeerMessage::Digest(digest));
    }
}
