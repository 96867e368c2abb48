//! The operator's calls that wait for their answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crankpick_control::{Entry, Now, Outcome, Replica, SubmitKey};
use tokio::sync::oneshot;

use crate::event::{GetAnswer, PutAnswer};

/// A read that can't be answered by then is given back: its caller goes on to another process after a second.
const READ_PATIENCE: Duration = Duration::from_millis(900);
/// Orders under way at a time.
const ORDERS: usize = 256;
/// Reads under way at a time.
const READS: usize = 256;

/// Calls of the operator that wait.
#[derive(Default)]
pub struct Operator {
    orders: BTreeMap<SubmitKey, oneshot::Sender<PutAnswer>>,
    last_key: u64,
    reads: Vec<Read>,
}

struct Read {
    since: Now,
    reply: oneshot::Sender<GetAnswer>,
}

impl Operator {
    /// An order is handed to the replica under this key; `None` where too many wait.
    pub fn begin_order(&mut self, reply: oneshot::Sender<PutAnswer>) -> Option<SubmitKey> {
        self.orders.retain(|_, reply| !reply.is_closed());
        if self.orders.len() >= ORDERS {
            let _gone = reply.send(PutAnswer::Unclear);
            return None;
        }
        self.last_key += 1;
        let key = SubmitKey(self.last_key);
        self.orders.insert(key, reply);
        Some(key)
    }

    /// What became of an order.
    pub fn end_order(&mut self, key: SubmitKey, outcome: Outcome) {
        let Some(reply) = self.orders.remove(&key) else { return };
        let answer = match outcome {
            Outcome::Taken => PutAnswer::Taken,
            Outcome::Conflict { .. } => PutAnswer::Conflict,
            Outcome::Invalid { .. } => PutAnswer::Invalid("generation is not above the current one".into()),
            Outcome::Unclear => PutAnswer::Unclear,
        };
        let _gone = reply.send(answer);
    }

    /// A read: answered once this replica surely knows all that was acknowledged before it came.
    pub fn begin_read(&mut self, now: Now, reply: oneshot::Sender<GetAnswer>) {
        if self.reads.len() >= READS {
            let _gone = reply.send(GetAnswer::Unclear);
            return;
        }
        self.reads.push(Read { since: now, reply });
    }

    /// Answers the reads that can be answered by now.
    pub fn settle_reads(&mut self, now: Now, replica: &Replica) {
        if self.reads.is_empty() {
            return;
        }
        let fresh_as_of = replica.freshness(now).map(|age| now.saturating_sub(age));
        let elsewhere = elsewhere(replica);
        for read in std::mem::take(&mut self.reads) {
            let known = fresh_as_of.is_some_and(|moment| moment >= read.since);
            let answer = if known {
                newest(replica.newest_committed())
            } else if let Some(answer) = &elsewhere {
                answer.clone()
            } else if now.saturating_sub(read.since) >= READ_PATIENCE {
                GetAnswer::Unclear
            } else {
                self.reads.push(read);
                continue;
            };
            let _gone = read.reply.send(answer);
        }
    }
}

fn newest(entry: Option<&Arc<Entry>>) -> GetAnswer {
    match entry {
        Some(entry) => GetAnswer::Document(Bytes::copy_from_slice(&entry.order.bytes)),
        None => GetAnswer::Nothing,
    }
}

/// Where a replica outside the chain sends readers.
fn elsewhere(replica: &Replica) -> Option<GetAnswer> {
    if replica.in_chain() {
        return None;
    }
    let view = replica.view();
    let tail = view.tail().and_then(|tail| view.member(tail));
    Some(tail.map_or(GetAnswer::Unclear, |member| GetAnswer::Elsewhere(member.address)))
}
