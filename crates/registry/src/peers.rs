//! Which control-plane processes are reachable.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Now, ProcessId};

/// The known processes, and since when each is unreachable.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    death_timeout: Duration,
    unreachable_since: BTreeMap<ProcessId, Option<Now>>,
}

impl Peers {
    /// Knows no peer. One that is unreachable for `death_timeout` counts as dead.
    pub fn new(death_timeout: Duration) -> Self {
        Self { death_timeout, unreachable_since: BTreeMap::new() }
    }

    /// Records that the peer is reachable.
    pub fn mark_reachable(&mut self, peer: ProcessId) {
        self.unreachable_since.insert(peer, None);
    }

    /// Records that the peer is unreachable from now on. Has no effect on one that is not known.
    pub fn mark_unreachable(&mut self, now: Now, peer: ProcessId) {
        if let Some(since) = self.unreachable_since.get_mut(&peer) {
            since.get_or_insert(now);
        }
    }

    /// Records that an update named the peer: if it was not known, it is unreachable from now on.
    pub fn track(&mut self, now: Now, peer: ProcessId) {
        self.unreachable_since.entry(peer).or_insert(Some(now));
    }

    /// Extends all running timeouts by a pause in which this process was frozen.
    pub fn extend_timeouts(&mut self, pause: Duration) {
        for since in self.unreachable_since.values_mut().flatten() {
            *since += pause;
        }
    }

    /// Removes the peers that are dead by now, and returns them.
    pub fn remove_dead(&mut self, now: Now) -> Vec<ProcessId> {
        let timeout = self.death_timeout;
        let is_dead = |since: &Option<Now>| since.is_some_and(|since| now.saturating_sub(since) >= timeout);
        let peers = self.unreachable_since.iter();
        let dead: Vec<ProcessId> = peers.filter(|(_, since)| is_dead(since)).map(|(peer, _)| *peer).collect();
        for peer in &dead {
            self.unreachable_since.remove(peer);
        }
        dead
    }
}
