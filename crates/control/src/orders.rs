//! Orders: from the process that took one to the head, and the answer back.
//!
//! A refusal is a promise that the order will never be taken, so it is only said of what is committed: versions only
//! rise, and an order whose base is below the newest committed one can't be taken any more. Whatever hangs on an
//! entry in flight waits for it.

use std::sync::Arc;

use crate::message::{Body, Forward, ForwardAnswer, Sender};
use crate::options::transfer_time;
use crate::replica::{Output, Replica, SubmitKey};
use crate::types::{Now, Order, Outcome};

/// Orders of this process that have no answer yet.
const SUBMITS: usize = 32;
/// Orders that wait at the head.
const WAITING: usize = 128;
/// How often an order is carried from one process to another, until it is committed.
const TRANSFERS: u32 = 4;
/// Bytes of orders that wait, in either place.
const WAITING_BYTES: usize = 24 << 20;

/// An order of this process's operator.
#[derive(Clone, Debug)]
struct Submitted {
    host_key: SubmitKey,
    /// Not used by an earlier incarnation.
    key: u64,
    order: Arc<Order>,
    since: Now,
    /// When and in which view it was last forwarded.
    forwarded: Option<(Now, u64)>,
}

/// The orders of this process that have no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct Submits {
    next_key: u64,
    submitted: Vec<Submitted>,
}

impl Submits {
    pub(crate) fn new(first_key: u64) -> Self {
        Submits { next_key: first_key, submitted: Vec::new() }
    }
}

/// An order at the head that waits until an entry is committed.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    from: Sender,
    forward: Forward,
    /// The entry.
    position: u64,
}

impl Replica {
    pub(crate) fn submit(&mut self, host_key: SubmitKey, order: Arc<Order>) {
        let bytes: usize = self.submits.submitted.iter().map(|known| known.order.bytes.len()).sum();
        if self.submits.submitted.len() >= SUBMITS || bytes + order.bytes.len() > WAITING_BYTES {
            return self.output(Output::Answer { key: host_key, outcome: Outcome::Unclear });
        }
        let key = self.submits.next_key;
        self.submits.next_key += 1;
        let since = self.now;
        self.submits.submitted.push(Submitted { host_key, key, order, since, forwarded: None });
        self.drive_submits();
    }

    /// Forwards what is due; what had no answer for too long is unclear.
    pub(crate) fn drive_submits(&mut self) {
        if self.submits.submitted.is_empty() {
            return;
        }
        let (now, timing) = (self.now, self.options.timing);
        let mut unclear = Vec::new();
        self.submits.submitted.retain(|submitted| {
            let kept = now < submitted.since + timing.submit;
            unclear.extend((!kept).then_some(submitted.host_key));
            kept
        });
        for key in unclear {
            self.output(Output::Answer { key, outcome: Outcome::Unclear });
        }
        let epoch = self.view.epoch;
        let Some(head) = self.view.head().and_then(|id| self.view.member(id)) else { return };
        let head = Sender { id: head.id, address: head.address };
        let mut due = Vec::new();
        for submitted in &mut self.submits.submitted {
            // Down the chain and back: sent again while it is on its way, a large order would only fill the link.
            let on_its_way = transfer_time(submitted.order.bytes.len()) * TRANSFERS;
            let again_after = timing.forward_retry + on_its_way;
            let waits = submitted.forwarded.is_some_and(|(at, last)| last == epoch && now < at + again_after);
            if !waits {
                submitted.forwarded = Some((now, epoch));
                due.push(Forward { epoch, key: submitted.key, order: submitted.order.clone() });
            }
        }
        for forward in due {
            self.send(head, Body::Forward(forward));
        }
    }

    pub(crate) fn on_forward(&mut self, from: Sender, forward: Forward) {
        if forward.epoch != self.view.epoch || !self.takes_orders() {
            return;
        }
        self.consider(from, forward);
    }

    /// Takes an order, refuses it, or lets it wait for an entry in flight.
    fn consider(&mut self, from: Sender, forward: Forward) {
        let order = &forward.order;
        let current = self.state.generation();
        let committed = self.chain.committed.position;
        if let Some(change) = self.state.find(order) {
            if change.id.position <= committed {
                self.check_acknowledged(order);
                return self.answer(from, &forward, Outcome::Taken);
            }
            return self.wait(from, forward, change.id.position);
        }
        if order.if_match == current && order.generation > current && !order.is_inquiry() {
            if let Some(id) = self.append_order(order.clone()) {
                self.wait(from, forward, id.position);
            }
            return;
        }
        let last = self.state.last().position;
        if last > committed {
            return self.wait(from, forward, last);
        }
        let unknown = self.state.has_forgotten(order) || (order.is_inquiry() && order.if_match >= current);
        let outcome = if unknown { Outcome::Unclear } else { refusal(order, current) };
        self.answer(from, &forward, outcome);
    }

    fn wait(&mut self, from: Sender, forward: Forward, position: u64) {
        let known = self.waiting.iter().any(|known| known.from == from && known.forward.key == forward.key);
        let bytes: usize = self.waiting.iter().map(|known| known.forward.order.bytes.len()).sum();
        let fits = self.waiting.len() < WAITING && bytes + forward.order.bytes.len() <= WAITING_BYTES;
        if !known && fits {
            self.waiting.push(Waiting { from, forward, position });
        }
    }

    /// Answers what waited for entries that are committed now.
    pub(crate) fn answer_waiting(&mut self) {
        if self.waiting.is_empty() || !self.takes_orders() {
            return;
        }
        let committed = self.chain.committed.position;
        let (due, kept) =
            std::mem::take(&mut self.waiting).into_iter().partition(|waiting| waiting.position <= committed);
        self.waiting = kept;
        let due: Vec<Waiting> = due;
        for waiting in due {
            self.consider(waiting.from, waiting.forward);
        }
    }

    fn answer(&mut self, to: Sender, forward: &Forward, outcome: Outcome) {
        let answer = ForwardAnswer { epoch: forward.epoch, key: forward.key, outcome };
        self.send(to, Body::ForwardAnswer(answer));
    }

    pub(crate) fn on_forward_answer(&mut self, answer: ForwardAnswer) {
        let found = self.submits.submitted.iter().position(|submitted| submitted.key == answer.key);
        let Some(place) = found else { return };
        let forwarded = self.submits.submitted[place].forwarded.map(|(_, epoch)| epoch);
        // Once it was forwarded to another head, a refusal by the first one binds nobody.
        if answer.outcome == Outcome::Taken || forwarded == Some(answer.epoch) {
            let submitted = self.submits.submitted.swap_remove(place);
            self.output(Output::Answer { key: submitted.host_key, outcome: answer.outcome });
        }
    }
}

/// Why an order isn't taken on top of the committed state. One that builds on a version not known yet may still be
/// taken from another message, so it is unclear.
fn refusal(order: &Order, current: u64) -> Outcome {
    if order.if_match < current {
        Outcome::Conflict { current }
    } else if order.if_match == current {
        Outcome::Invalid { current }
    } else {
        Outcome::Unclear
    }
}
