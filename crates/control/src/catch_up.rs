//! Replicas outside the chain keep up with it, so that they can enter it, or become voters, without a long transfer while
//! the chain waits.
//!
//! Only committed entries are handed over, and they raise no rank: what such a replica holds counts as complete for an
//! epoch only once a proposal has installed it. One request is under way at a time, an unanswered one is made again after
//! a wait that grows with the size of the state, and none is sent while this disk is busy: what is sent is bounded
//! however slow the link or the disk.

use std::sync::Arc;
use std::time::Duration;

use crate::message::{Body, CatchUp, CaughtUp, Sender};
use crate::options::transfer_time;
use crate::peers::Peer;
use crate::record::RecordBody;
use crate::replica::Replica;
use crate::types::{Entry, MemberId, Now};

/// Before an unanswered request for a small state is made again; doubled each time.
const FIRST_WAIT: Duration = Duration::from_millis(300);
/// The longest such wait.
const LONGEST_WAIT: Duration = Duration::from_millis(2_400);
/// A replica that lacks no more entries than this has caught up: a proposal's install brings the rest.
const LAG: u64 = 8;
/// An entry that an install brings without the chain having to wait.
const SMALL: usize = 64 << 10;
/// A replica that is well and hasn't caught up for so long is overtaken by ever newer entries.
const OVERTAKEN: Duration = Duration::from_secs(5);

/// The request under way.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pending {
    asked: Option<Now>,
    wait: Duration,
}

impl Pending {
    fn is_due(&self, now: Now) -> bool {
        self.asked.is_none_or(|at| now >= at + self.wait)
    }

    /// Notes a request whose answer holds about so many bytes.
    fn ask(&mut self, now: Now, bytes: usize) {
        self.wait = if self.asked.is_some() { (self.wait * 2).min(LONGEST_WAIT) } else { FIRST_WAIT };
        self.wait = self.wait.max(FIRST_WAIT + transfer_time(bytes));
        self.asked = Some(now);
    }

    /// The next request may be made at once: the last one is answered, or nobody will.
    pub(crate) fn reset(&mut self) {
        *self = Pending::default();
    }
}

impl Replica {
    /// Whether a peer lacks next to nothing of what is known to be committed here: few entries, and the newest one only
    /// if it is small. One that has waited for long may lack a large one too: it may be overtaken again and again.
    pub(crate) fn has_caught_up(&self, peer: &Peer, waited: Duration) -> bool {
        let Some(heartbeat) = peer.heartbeat else { return false };
        let known = self.known_committed().position;
        let has_newest = heartbeat.last.position >= known;
        let quick = has_newest || self.committed_bytes() <= SMALL || waited >= OVERTAKEN;
        quick && heartbeat.last.position + LAG >= known
    }

    /// Asks a replica of the chain for what this one lacks.
    pub(crate) fn catch_up_if_behind(&mut self) {
        let follows = self.may_vote() && !self.in_chain() && !self.acceptor.sealed() && !self.disk.is_busy();
        if !follows || !self.is_behind() || !self.catch_up.is_due(self.now) {
            return;
        }
        let Some(source) = self.random_source() else { return };
        self.catch_up.ask(self.now, self.committed_bytes());
        let request = CatchUp { epoch: self.view.epoch, last: self.state.last(), known: self.committed_id() };
        self.send(source, Body::CatchUp(request));
    }

    /// Whether the state isn't the one that ends with the newest committed entry.
    fn is_behind(&self) -> bool {
        let committed = self.known_committed();
        committed.position > 0 && self.state.last() != committed
    }

    fn random_source(&mut self) -> Option<Sender> {
        let chain = self.view.chain.iter().copied();
        let sources: Vec<MemberId> = chain.filter(|id| self.is_current(*id)).collect();
        let index = self.random.usize(0..sources.len().max(1));
        let source = self.view.member(*sources.get(index)?)?;
        Some(Sender { id: source.id, address: source.address })
    }

    pub(crate) fn on_catch_up(&mut self, sender: Sender, request: CatchUp) {
        let current = request.epoch == self.view.epoch && self.chain.opened;
        if !current || self.chain.committed.position < request.known.position {
            return;
        }
        let transfer = self.state.committed_transfer(request.last, self.chain.committed, request.known);
        let answer = CaughtUp { epoch: self.view.epoch, transfer };
        self.send(sender, Body::CaughtUp(Box::new(answer)));
    }

    pub(crate) fn on_caught_up(&mut self, answer: CaughtUp) {
        let expected = answer.epoch == self.view.epoch && !self.in_chain() && !self.acceptor.sealed();
        if !expected {
            return;
        }
        self.catch_up.reset();
        let mut transfer = answer.transfer;
        if transfer.newest.is_none() {
            let last = transfer.changes.last().map(|change| change.id);
            transfer.newest = self.committed.clone().filter(|entry| Some(entry.id) == last);
        }
        // The answer to an earlier request may come after that to a later one.
        let late = transfer.last().position < self.chain.committed.position;
        if late || !self.state.install(&transfer) {
            return;
        }
        let newest = transfer.newest.clone();
        self.disk.stage(RecordBody::CaughtUp { transfer }, None);
        self.note_caught_up(newest);
        self.catch_up_if_behind();
    }

    fn note_caught_up(&mut self, newest: Option<Arc<Entry>>) {
        let before = std::mem::replace(&mut self.chain.committed, self.state.last());
        self.check_committed_since(before.position);
        self.state.release(self.state.last().position);
        if let Some(entry) = newest {
            self.learn(entry);
        }
    }
}
