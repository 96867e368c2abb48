//! Which control-plane processes are within reach.

use std::collections::BTreeMap;

use crate::{Now, ProcessId};

/// The processes that are known, and since when they are out of reach.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    death: Now,
    down_since: BTreeMap<ProcessId, Option<Now>>,
}

impl Peers {
    /// No peers; one that is out of reach for `death` counts as dead.
    pub fn new(death: Now) -> Self {
        Self { death, down_since: BTreeMap::new() }
    }

    /// The peer is within reach.
    pub fn up(&mut self, peer: ProcessId) {
        self.down_since.insert(peer, None);
    }

    /// The peer is out of reach.
    pub fn down(&mut self, now: Now, peer: ProcessId) {
        if let Some(down_since) = self.down_since.get_mut(&peer) {
            down_since.get_or_insert(now);
        }
    }

    /// A word named the peer: unless it is within reach, it is out of reach from now on.
    pub fn named(&mut self, now: Now, peer: ProcessId) {
        self.down_since.entry(peer).or_insert(Some(now));
    }

    /// The time that this process was frozen counts against nobody.
    pub fn excuse(&mut self, pause: Now) {
        for down_since in self.down_since.values_mut().flatten() {
            *down_since += pause;
        }
    }

    /// The peers that have become dead; they are forgotten.
    pub fn take_dead(&mut self, now: Now) -> Vec<ProcessId> {
        let death = self.death;
        let is_dead = |since: &Option<Now>| since.is_some_and(|since| now.saturating_sub(since) >= death);
        let dead: Vec<ProcessId> =
            self.down_since.iter().filter(|(_, since)| is_dead(since)).map(|(peer, _)| *peer).collect();
        for peer in &dead {
            self.down_since.remove(peer);
        }
        dead
    }
}
