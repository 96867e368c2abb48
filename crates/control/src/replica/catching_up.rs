//! Replicas outside the chain catch up with it, so that they can enter it or become voters without a long transfer while
//! the chain waits (`docs/control.md`, "Keeping up").
//!
//! Invariant: only committed entries are transferred, and they raise no rank. What such a replica holds counts as
//! complete for an epoch only once a proposal has installed it.
//!
//! One request is in flight at a time, an unanswered one is repeated after an interval that grows with the size of the
//! state, and none is sent while this process's disk is busy. So the traffic is bounded however slow the link or disk.

use std::sync::Arc;
use std::time::Duration;

use super::Replica;
use crate::message::{Body, CatchUp, CaughtUp, Sender};
use crate::peers::Peer;
use crate::record::RecordBody;
use crate::types::{Entry, MemberId};

/// A replica that lacks no more entries than this has caught up: a proposal's install brings the rest.
const MAX_LAG_ENTRIES: u64 = 8;
/// The size up to which an install brings the newest entry without a noticeable wait of the chain.
const MAX_SMALL_ENTRY_BYTES: usize = 64 << 10;
/// A healthy replica that still hasn't caught up after this is overtaken again and again by newer large entries.
const LARGE_ENTRY_GRACE_PERIOD: Duration = Duration::from_secs(5);

impl Replica {
    /// Whether a peer has nearly all that is known to be committed here: it lacks few entries, and the newest one only
    /// if that is small, or if the peer has waited long.
    pub(super) fn has_caught_up(&self, peer: &Peer, waited: Duration) -> bool {
        let Some(heartbeat) = peer.heartbeat else { return false };
        let known = self.known_committed().position;
        let has_newest = heartbeat.last.position >= known;
        let is_small = self.committed_bytes() <= MAX_SMALL_ENTRY_BYTES;
        let quick_install = has_newest || is_small || waited >= LARGE_ENTRY_GRACE_PERIOD;
        quick_install && heartbeat.last.position + MAX_LAG_ENTRIES >= known
    }

    /// Asks a replica of the chain for the entries that this process lacks, if a request is due.
    pub(super) fn catch_up_if_behind(&mut self) {
        let follows_chain = self.may_vote() && !self.in_chain() && !self.acceptor.is_sealed();
        let may_request = follows_chain && !self.disk.is_busy() && self.catch_up.is_due(self.now);
        if !may_request || !self.is_behind() {
            return;
        }
        let Some(source) = self.random_source() else { return };
        self.catch_up.record_sent(self.now, self.committed_bytes());
        let request = CatchUp { epoch: self.view.epoch, last: self.state.last(), known: self.committed_id() };
        self.send(source, Body::CatchUp(request));
    }

    /// Whether the state ends before or after the newest committed entry, or with another one.
    fn is_behind(&self) -> bool {
        let committed = self.known_committed();
        committed.position > 0 && self.state.last() != committed
    }

    fn random_source(&mut self) -> Option<Sender> {
        let chain = self.view.chain.iter().copied();
        let sources: Vec<MemberId> = chain.filter(|id| self.is_current(*id)).collect();
        let index = self.random.usize(0..sources.len().max(1));
        self.view.member(*sources.get(index)?).map(Sender::from)
    }

    pub(super) fn on_catch_up(&mut self, sender: Sender, request: CatchUp) {
        let is_current = self.is_current_epoch(sender, request.epoch) && self.chain.opened;
        if !is_current || self.chain.committed.position < request.known.position {
            return;
        }
        let transfer = self.state.committed_transfer(request.last, self.chain.committed, request.known);
        let answer = CaughtUp { epoch: self.view.epoch, transfer };
        self.send(sender, Body::CaughtUp(Box::new(answer)));
    }

    pub(super) fn on_caught_up(&mut self, answer: CaughtUp) {
        let is_current = answer.epoch == self.view.epoch;
        if !is_current || self.in_chain() || self.acceptor.is_sealed() {
            return;
        }
        self.catch_up.reset();
        let mut transfer = answer.transfer;
        if transfer.newest.is_none() {
            let last = transfer.headers.last().map(|header| header.id);
            transfer.newest = self.committed.clone().filter(|entry| Some(entry.id) == last);
        }
        // The answer to an earlier request may arrive after that to a later one.
        let is_outdated = transfer.last().position < self.chain.committed.position;
        if is_outdated || !self.state.install(&transfer) {
            return;
        }
        let newest = transfer.newest.clone();
        self.disk.stage(RecordBody::CaughtUp { transfer }, None);
        self.commit_caught_up(newest);
        self.catch_up_if_behind();
    }

    fn commit_caught_up(&mut self, newest: Option<Arc<Entry>>) {
        let before = std::mem::replace(&mut self.chain.committed, self.state.last());
        self.check_committed_since(before.position);
        self.state.discard_committed_bytes(self.state.last().position);
        if let Some(entry) = newest {
            self.learn(entry);
        }
    }
}
