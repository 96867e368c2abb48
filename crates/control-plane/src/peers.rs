//! The other processes of the control plane: which are up, in which incarnation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_protocol::CoreMember;
use crankpick_registry::{Now, ProcessId};

/// A peer that wasn't heard for so long is out of reach.
const SILENCE: Duration = Duration::from_millis(1_500);
/// A peer that others no longer name is forgotten after this.
const MENTION_KEPT: Duration = Duration::from_secs(3);
/// Peers known at a time.
const KNOWN: usize = 256;

/// A peer that came or went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// It is up, for the first time in this incarnation or again.
    Up(SocketAddr, ProcessId),
    /// It is out of reach, or has another incarnation now.
    Down(ProcessId),
}

#[derive(Clone, Debug)]
struct Known {
    process: ProcessId,
    zone: String,
    heard_at: Now,
    up: bool,
}

/// All peers that were heard.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<SocketAddr, Known>,
    /// When others last named a peer.
    mentioned: BTreeMap<SocketAddr, Now>,
}

impl Peers {
    /// A peer has said that it is up.
    pub fn heard(
        &mut self,
        now: Now,
        address: SocketAddr,
        process: ProcessId,
        zone: String,
    ) -> Vec<PeerChange> {
        if !self.known.contains_key(&address) && self.known.len() >= KNOWN {
            return Vec::new();
        }
        let before = self.known.insert(address, Known { process, zone, heard_at: now, up: true });
        match before {
            Some(known) if known.process == process && known.up => Vec::new(),
            Some(known) if known.process != process && known.up => {
                vec![PeerChange::Down(known.process), PeerChange::Up(address, process)]
            }
            _ => vec![PeerChange::Up(address, process)],
        }
    }

    /// A peer names those that it hears.
    pub fn mentioned(&mut self, now: Now, addresses: &[SocketAddr]) {
        for address in addresses {
            if self.mentioned.len() < KNOWN || self.mentioned.contains_key(address) {
                self.mentioned.insert(*address, now);
            }
        }
    }

    /// Those that others hear.
    pub fn mentions(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.mentioned.keys().copied()
    }

    /// Finds who has fallen silent.
    pub fn tick(&mut self, now: Now) -> Vec<PeerChange> {
        self.mentioned.retain(|_, at| now.saturating_sub(*at) < MENTION_KEPT);
        let silent = |known: &&mut Known| known.up && now.saturating_sub(known.heard_at) >= SILENCE;
        let mut changes = Vec::new();
        for known in self.known.values_mut().filter(silent) {
            known.up = false;
            changes.push(PeerChange::Down(known.process));
        }
        changes
    }

    /// Where those are that are up.
    pub fn up(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.known.iter().filter(|(_, known)| known.up).map(|(address, _)| *address)
    }

    /// Those that are up, as gateways are told of them.
    pub fn homes(&self) -> impl Iterator<Item = CoreMember> + '_ {
        let up = self.known.iter().filter(|(_, known)| known.up);
        up.map(|(address, known)| CoreMember { address: *address, zone: known.zone.clone() })
    }

    /// The incarnations that are up.
    pub fn processes(&self) -> impl Iterator<Item = ProcessId> + '_ {
        self.known.values().filter(|known| known.up).map(|known| known.process)
    }
}

#[cfg(test)]
#[path = "../tests/unit/peers.rs"]
mod tests;
