//! Tracks the demands that a home has sent, so that answers to older ones can be ignored.

use std::collections::VecDeque;

use crankpick_registry::Now;

/// The maximum number of demands whose answers are still accepted.
const MAX_OUTSTANDING_DEMANDS: usize = 32;

/// Demands sent to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SentDemands {
    /// The number repeated in the answer.
    pub number: u64,
    /// The epoch in which they were sent.
    pub epoch: u64,
    /// When they were sent. Leases in the answer start at this time.
    pub sent_at: Now,
}

/// The most recently sent demands.
#[derive(Debug, Default)]
pub(super) struct OutstandingDemands {
    last_number: u64,
    sent: VecDeque<SentDemands>,
}

impl OutstandingDemands {
    /// Records demands to be sent now, and returns their number.
    pub fn add(&mut self, now: Now, epoch: u64) -> u64 {
        self.last_number += 1;
        self.sent.push_back(SentDemands { number: self.last_number, epoch, sent_at: now });
        if self.sent.len() > MAX_OUTSTANDING_DEMANDS {
            self.sent.pop_front();
        }
        self.last_number
    }

    /// The demands with this number, or `None` if they are too old or were sent by an earlier incarnation.
    pub fn get(&self, number: u64) -> Option<SentDemands> {
        self.sent.iter().find(|sent| sent.number == number).copied()
    }
}
