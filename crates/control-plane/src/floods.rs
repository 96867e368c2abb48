//! Announcements on their way to the peers, and the backends whose acknowledgement waits for them.
//!
//! A backend that drains or signs off is acknowledged once a majority of the view's members has answered that it holds
//! the word (`quorum.rs` says why that is enough) and every peer within reach has had its time to. Peers that did not
//! answer get the word by way of those that did. Without a majority nothing is acknowledged.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_registry::{Announcement, Now};
use tokio::sync::oneshot;

use crate::event::HeartbeatAnswer;
use crate::quorum::Quorum;

/// After which peers that haven't answered are no longer waited for, once a majority has.
const PATIENCE: Duration = Duration::from_millis(300);
/// After which the wait for a majority is given up: the backend's own patience is a second.
const MAJORITY_PATIENCE: Duration = Duration::from_millis(700);
/// Backends that wait at a time.
const WAITING: usize = 4_096;

/// Announcements that are to be acknowledged.
#[derive(Default)]
pub struct Floods {
    last_number: u64,
    waiting: BTreeMap<u64, Waiting>,
}

/// An announcement for peers that can't be reached from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Peers that hold it.
    pub via: Vec<SocketAddr>,
    /// Peers that did not answer.
    pub to: Vec<SocketAddr>,
    /// What they are to hear.
    pub announcement: Announcement,
}

struct Waiting {
    since: Now,
    peers: BTreeSet<SocketAddr>,
    answered: BTreeSet<SocketAddr>,
    quorum: Quorum,
    announcement: Announcement,
    reply: oneshot::Sender<HeartbeatAnswer>,
}

impl Waiting {
    /// Whether the backend may be acknowledged.
    fn is_known(&self, now: Now) -> bool {
        let all = self.peers.is_subset(&self.answered);
        let waited = now >= self.since + PATIENCE;
        (all || waited) && self.quorum.is_met_by(&self.answered)
    }

    fn is_given_up(&self, now: Now) -> bool {
        now >= self.since + MAJORITY_PATIENCE
    }

    fn acknowledge(self) -> Option<Relay> {
        let _gone = self.reply.send(HeartbeatAnswer::Acknowledged);
        let mut to: BTreeSet<SocketAddr> = self.quorum.without(&self.answered).collect();
        to.extend(self.peers.difference(&self.answered));
        let relay = Relay {
            via: self.answered.into_iter().collect(),
            to: to.into_iter().collect(),
            announcement: self.announcement,
        };
        (!relay.to.is_empty() && !relay.via.is_empty()).then_some(relay)
    }
}

impl Floods {
    /// Names an announcement that a majority of `quorum` and the peers within reach are to have before `reply` is
    /// said. It is to be sent to them under that name; [`Floods::tick`] follows.
    pub fn begin(
        &mut self,
        now: Now,
        quorum: Quorum,
        peers: impl IntoIterator<Item = SocketAddr>,
        announcement: Announcement,
        reply: oneshot::Sender<HeartbeatAnswer>,
    ) -> u64 {
        self.last_number += 1;
        if self.waiting.len() >= WAITING {
            let _gone = reply.send(HeartbeatAnswer::Unconfirmed);
            return self.last_number;
        }
        let peers = peers.into_iter().collect();
        let answered = BTreeSet::new();
        let waiting = Waiting { since: now, peers, answered, quorum, announcement, reply };
        self.waiting.insert(self.last_number, waiting);
        self.last_number
    }

    /// A peer has it. What is returned is to be told to those that have not.
    pub fn answered(&mut self, now: Now, number: u64, peer: SocketAddr) -> Option<Relay> {
        let waiting = self.waiting.get_mut(&number)?;
        waiting.answered.insert(peer);
        if !waiting.is_known(now) {
            return None;
        }
        self.waiting.remove(&number)?.acknowledge()
    }

    /// Ends the waits that are over. What is returned is to be told to those that did not answer.
    pub fn tick(&mut self, now: Now) -> Vec<Relay> {
        let over = |waiting: &Waiting| waiting.is_known(now) || waiting.is_given_up(now);
        let numbers: Vec<u64> =
            self.waiting.iter().filter(|(_, waiting)| over(waiting)).map(|(number, _)| *number).collect();
        let ended: Vec<Waiting> = numbers.iter().filter_map(|number| self.waiting.remove(number)).collect();
        let (known, lost): (Vec<Waiting>, Vec<Waiting>) =
            ended.into_iter().partition(|waiting| waiting.is_known(now));
        give_up(lost);
        known.into_iter().filter_map(Waiting::acknowledge).collect()
    }

    /// No majority is within reach any more: the backends are to go elsewhere at once.
    pub fn give_up_all(&mut self) {
        give_up(std::mem::take(&mut self.waiting).into_values());
    }
}

fn give_up(lost: impl IntoIterator<Item = Waiting>) {
    for waiting in lost {
        let _gone = waiting.reply.send(HeartbeatAnswer::Unconfirmed);
    }
}

#[cfg(test)]
#[path = "../tests/unit/floods.rs"]
mod tests;
