//! The demands that a home has sent, so that their answers can be told from those to anything older.

use std::collections::VecDeque;

use crankpick_registry::Now;

/// The most demands whose answers are still accepted.
const MAX_OUTSTANDING_DEMANDS: usize = 32;

/// Demands that were sent to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SentDemands {
    /// The number that the answer repeats.
    pub number: u64,
    /// The epoch in which they were sent.
    pub epoch: u64,
    /// When they were sent: a lease runs from then on.
    pub sent_at: Now,
}

/// The newest demands that were sent.
#[derive(Debug, Default)]
pub(super) struct OutstandingDemands {
    last_number: u64,
    sent: VecDeque<SentDemands>,
}

impl OutstandingDemands {
    /// Records demands that are sent now, and returns their number.
    pub fn add(&mut self, now: Now, epoch: u64) -> u64 {
        self.last_number += 1;
        self.sent.push_back(SentDemands { number: self.last_number, epoch, sent_at: now });
        if self.sent.len() > MAX_OUTSTANDING_DEMANDS {
            self.sent.pop_front();
        }
        self.last_number
    }

    /// The demands that an answer is for; `None` if they are too old, or of an earlier incarnation.
    pub fn get(&self, number: u64) -> Option<SentDemands> {
        self.sent.iter().find(|sent| sent.number == number).copied()
    }
}
