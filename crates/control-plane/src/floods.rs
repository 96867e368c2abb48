//! Announcements on their way to the peers, and the backends whose acknowledgement waits for them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_registry::Now;
use tokio::sync::oneshot;

use crate::event::HeartbeatAnswer;

/// A peer that hasn't acknowledged by then is as good as out of reach: the backend's own patience is a second.
const PATIENCE: Duration = Duration::from_millis(300);
/// Backends that wait at a time; more are acknowledged at once.
const WAITING: usize = 4_096;

/// Announcements that are to be acknowledged.
#[derive(Default)]
pub struct Floods {
    last_number: u64,
    waiting: BTreeMap<u64, Waiting>,
}

struct Waiting {
    until: Now,
    peers: BTreeSet<SocketAddr>,
    reply: oneshot::Sender<HeartbeatAnswer>,
}

impl Floods {
    /// Names an announcement that these peers are to have before `reply` is said.
    pub fn begin(
        &mut self, now: Now, peers: impl IntoIterator<Item = SocketAddr>,
        reply: oneshot::Sender<HeartbeatAnswer>,
    ) -> u64 {
        self.last_number += 1;
        let peers: BTreeSet<SocketAddr> = peers.into_iter().collect();
        if peers.is_empty() || self.waiting.len() >= WAITING {
            let _gone = reply.send(Ok(()));
            return self.last_number;
        }
        self.waiting.insert(self.last_number, Waiting { until: now + PATIENCE, peers, reply });
        self.last_number
    }

    /// A peer has it.
    pub fn acknowledged(&mut self, number: u64, peer: SocketAddr) {
        let Some(waiting) = self.waiting.get_mut(&number) else { return };
        waiting.peers.remove(&peer);
        if waiting.peers.is_empty() {
            self.end(number);
        }
    }

    /// Ends the wait for peers that are out of reach.
    pub fn tick(&mut self, now: Now) {
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| now >= waiting.until)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            self.end(number);
        }
    }

    fn end(&mut self, number: u64) {
        if let Some(waiting) = self.waiting.remove(&number) {
            let _gone = waiting.reply.send(Ok(()));
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/floods.rs"]
mod tests;
