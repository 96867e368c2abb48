//! Announcements waiting for acknowledgements by peers, and the backends whose responses depend on them.
//!
//! A backend that drains or leaves gets its response once a majority of the view's members has stored the change
//! (`quorum.rs` explains why that is sufficient) and every reachable peer has acknowledged it or timed out. Peers that have
//! acknowledged the change relay it to those that have not. Without a majority the backend gets no acknowledgement.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_registry::{Announcement, Now};
use tokio::sync::oneshot;

use crate::event::HeartbeatResponse;
use crate::quorum::Quorum;

/// How long to wait for peers beyond a majority.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long to wait for a majority, below the one second after which backends time out.
const MAJORITY_TIMEOUT: Duration = Duration::from_millis(700);
/// The maximum number of pending announcements.
const MAX_PENDING: usize = 4_096;

/// The announcements waiting for acknowledgements, by number.
#[derive(Default)]
pub struct PendingAnnouncements {
    last_number: u64,
    pending: BTreeMap<u64, PendingAnnouncement>,
}

/// An announcement to be forwarded to peers that this process can't reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Peers that have the announcement.
    pub via: Vec<SocketAddr>,
    /// Peers that haven't acknowledged it.
    pub to: Vec<SocketAddr>,
    /// The announcement.
    pub announcement: Announcement,
}

struct PendingAnnouncement {
    since: Now,
    peers: BTreeSet<SocketAddr>,
    acknowledged: BTreeSet<SocketAddr>,
    /// Whether this process has stored the change itself.
    stored: bool,
    quorum: Quorum,
    announcement: Announcement,
    reply: oneshot::Sender<HeartbeatResponse>,
}

impl PendingAnnouncement {
    /// Whether enough peers have the announcement for the backend to be acknowledged.
    fn is_replicated(&self, now: Now) -> bool {
        let has_all = self.stored && self.peers.is_subset(&self.acknowledged);
        let timed_out = now >= self.since + PEER_TIMEOUT;
        (has_all || timed_out) && self.has_majority()
    }

    fn has_majority(&self) -> bool {
        match self.stored {
            true => self.quorum.is_met_by(&self.acknowledged),
            false => self.quorum.is_met_by_others(&self.acknowledged),
        }
    }

    fn has_timed_out(&self, now: Now) -> bool {
        now >= self.since + MAJORITY_TIMEOUT
    }

    fn acknowledge(self) -> Option<Relay> {
        let _caller_gone = self.reply.send(HeartbeatResponse::Acknowledged);
        let mut to: BTreeSet<SocketAddr> = self.quorum.unacknowledged(&self.acknowledged).collect();
        to.extend(self.peers.difference(&self.acknowledged));
        let relay = Relay {
            via: self.acknowledged.into_iter().collect(),
            to: to.into_iter().collect(),
            announcement: self.announcement,
        };
        (!relay.to.is_empty() && !relay.via.is_empty()).then_some(relay)
    }
}

impl PendingAnnouncements {
    /// Registers an announcement that a majority of `quorum` and the reachable peers must acknowledge before `reply` is
    /// sent. Returns the number to send it under. If too many are pending, `reply` is answered immediately.
    pub fn add(
        &mut self,
        now: Now,
        quorum: Quorum,
        peers: impl IntoIterator<Item = SocketAddr>,
        announcement: Announcement,
        reply: oneshot::Sender<HeartbeatResponse>,
    ) -> u64 {
        self.last_number += 1;
        if self.pending.len() >= MAX_PENDING {
            let _caller_gone = reply.send(HeartbeatResponse::Unconfirmed);
            return self.last_number;
        }
        let peers = peers.into_iter().collect();
        let acknowledged = BTreeSet::new();
        let stored = false;
        let pending =
            PendingAnnouncement { since: now, peers, acknowledged, stored, quorum, announcement, reply };
        self.pending.insert(self.last_number, pending);
        self.last_number
    }

    /// Records an acknowledgement. Returns the relay to request if the announcement is complete and some peers lack it.
    pub fn acknowledged(&mut self, now: Now, number: u64, peer: SocketAddr) -> Option<Relay> {
        self.pending.get_mut(&number)?.acknowledged.insert(peer);
        self.finish_if_replicated(now, number)
    }

    /// Records that this process has stored the change. Returns the relay as [`Self::acknowledged`] does.
    pub fn stored(&mut self, now: Now, number: u64) -> Option<Relay> {
        self.pending.get_mut(&number)?.stored = true;
        self.finish_if_replicated(now, number)
    }

    fn finish_if_replicated(&mut self, now: Now, number: u64) -> Option<Relay> {
        if !self.pending.get(&number)?.is_replicated(now) {
            return None;
        }
        self.pending.remove(&number)?.acknowledge()
    }

    /// Answers the backends whose announcements are replicated or have timed out. Returns the relays to request for peers
    /// that haven't acknowledged.
    pub fn expire(&mut self, now: Now) -> Vec<Relay> {
        let is_finished =
            |pending: &PendingAnnouncement| pending.is_replicated(now) || pending.has_timed_out(now);
        let numbers: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_finished(pending))
            .map(|(number, _)| *number)
            .collect();
        let finished: Vec<PendingAnnouncement> =
            numbers.iter().filter_map(|number| self.pending.remove(number)).collect();
        let (replicated, failed): (Vec<PendingAnnouncement>, Vec<PendingAnnouncement>) =
            finished.into_iter().partition(|pending| pending.is_replicated(now));
        fail(failed);
        replicated.into_iter().filter_map(PendingAnnouncement::acknowledge).collect()
    }

    /// Fails all pending announcements because no majority is reachable, so that the backends retry elsewhere.
    pub fn fail_all(&mut self) {
        fail(std::mem::take(&mut self.pending).into_values());
    }
}

fn fail(failed: impl IntoIterator<Item = PendingAnnouncement>) {
    for pending in failed {
        let _caller_gone = pending.reply.send(HeartbeatResponse::Unconfirmed);
    }
}

#[cfg(test)]
#[path = "../tests/unit/pending_announcements.rs"]
mod tests;
