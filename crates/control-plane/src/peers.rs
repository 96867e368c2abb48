//! The liveness of the other processes of the control plane, and their incarnations.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::Member;
use crankpick_protocol::ControlPlaneMember;
use crankpick_registry::{Now, ProcessId};

/// A peer that has sent no presence for this long is down.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A peer that no other peer has mentioned for this long is forgotten.
const MENTION_TTL: Duration = Duration::from_secs(3);
/// The maximum number of known peers.
const MAX_PEERS: usize = 256;

/// The form in which a member of the view is sent to gateways.
pub fn home_of(member: &Member) -> ControlPlaneMember {
    ControlPlaneMember { address: member.address, zone: member.zone.clone() }
}

/// A change of a peer's liveness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// The peer is up, for the first time in this incarnation or again.
    Up(SocketAddr, ProcessId),
    /// This incarnation is unreachable or was replaced by another one.
    Down(ProcessId),
}

#[derive(Clone, Debug)]
struct KnownPeer {
    process: ProcessId,
    zone: String,
    last_seen: Now,
    up: bool,
}

/// The known peers.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<SocketAddr, KnownPeer>,
    /// When a peer was last mentioned by another one.
    mentioned_at: BTreeMap<SocketAddr, Now>,
}

impl Peers {
    /// Records the presence of a peer, and returns the resulting liveness changes.
    pub fn presence_received(
        &mut self,
        now: Now,
        address: SocketAddr,
        process: ProcessId,
        zone: String,
    ) -> Vec<PeerChange> {
        if !self.known.contains_key(&address) && self.known.len() >= MAX_PEERS {
            return Vec::new();
        }
        let before = self.known.insert(address, KnownPeer { process, zone, last_seen: now, up: true });
        match before {
            Some(known) if known.process == process && known.up => Vec::new(),
            Some(known) if known.process != process && known.up => {
                vec![PeerChange::Down(known.process), PeerChange::Up(address, process)]
            }
            _ => vec![PeerChange::Up(address, process)],
        }
    }

    /// Records the peers that another peer reports as reachable.
    pub fn add_mentions(&mut self, now: Now, addresses: &[SocketAddr]) {
        for address in addresses {
            if self.mentioned_at.len() < MAX_PEERS || self.mentioned_at.contains_key(address) {
                self.mentioned_at.insert(*address, now);
            }
        }
    }

    /// The addresses of peers that other peers report as reachable.
    pub fn mentions(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.mentioned_at.keys().copied()
    }

    /// Marks peers that have timed out as down.
    pub fn tick(&mut self, now: Now) -> Vec<PeerChange> {
        self.mentioned_at.retain(|_, at| now.saturating_sub(*at) < MENTION_TTL);
        let silent =
            |known: &&mut KnownPeer| known.up && now.saturating_sub(known.last_seen) >= PRESENCE_TIMEOUT;
        let mut changes = Vec::new();
        for known in self.known.values_mut().filter(silent) {
            known.up = false;
            changes.push(PeerChange::Down(known.process));
        }
        changes
    }

    /// The addresses of the peers that are up.
    pub fn up(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.known.iter().filter(|(_, known)| known.up).map(|(address, _)| *address)
    }

    /// The peers that are up, in the form sent to gateways.
    pub fn homes(&self) -> impl Iterator<Item = ControlPlaneMember> + '_ {
        let up = self.known.iter().filter(|(_, known)| known.up);
        up.map(|(address, known)| ControlPlaneMember { address: *address, zone: known.zone.clone() })
    }

    /// The incarnations of the peers that are up.
    pub fn processes(&self) -> impl Iterator<Item = ProcessId> + '_ {
        self.known.values().filter(|known| known.up).map(|known| known.process)
    }
}

#[cfg(test)]
#[path = "../tests/unit/peers.rs"]
mod tests;
