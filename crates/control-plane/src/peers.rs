//! The other processes of the control plane: which are up, in which incarnation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_registry::{Now, ProcessId};

/// A peer that wasn't heard for so long is out of reach.
const SILENCE: Duration = Duration::from_millis(1_500);
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

#[derive(Clone, Copy, Debug)]
struct Known {
    process: ProcessId,
    heard_at: Now,
    up: bool,
}

/// All peers that were heard.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<SocketAddr, Known>,
}

impl Peers {
    /// A peer has said that it is up.
    pub fn heard(&mut self, now: Now, address: SocketAddr, process: ProcessId) -> Vec<PeerChange> {
        let before = self.known.get(&address).copied();
        if before.is_none() && self.known.len() >= KNOWN {
            return Vec::new();
        }
        self.known.insert(address, Known { process, heard_at: now, up: true });
        match before {
            Some(known) if known.process == process && known.up => Vec::new(),
            Some(known) if known.process != process && known.up => {
                vec![PeerChange::Down(known.process), PeerChange::Up(address, process)]
            }
            _ => vec![PeerChange::Up(address, process)],
        }
    }

    /// Finds who has fallen silent.
    pub fn tick(&mut self, now: Now) -> Vec<PeerChange> {
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

    /// The incarnations that are up.
    pub fn processes(&self) -> impl Iterator<Item = ProcessId> + '_ {
        self.known.values().filter(|known| known.up).map(|known| known.process)
    }
}

#[cfg(test)]
#[path = "../tests/unit/peers.rs"]
mod tests;
