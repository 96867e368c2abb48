//! How much a holder is asked for, a second.

use std::time::Duration;

use crate::Now;

const BIN: Duration = Duration::from_millis(250);
const BINS: usize = 16;
const SHORT: usize = 4;
/// A short time is believed half when it saw this many requests; a single large one says little of a rate.
const HALF_BELIEVED: f64 = 8.0;

/// What was asked for in the last four seconds, in bins.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandEstimate {
    amounts: [f64; BINS],
    requests: [u32; BINS],
    newest: u64,
}

impl DemandEstimate {
    /// Notes that `amount` was asked for.
    pub fn add(&mut self, now: Now, amount: f64) {
        self.advance(now);
        let index = self.newest as usize % BINS;
        self.amounts[index] += amount;
        self.requests[index] = self.requests[index].saturating_add(1);
    }

    /// The rate over the last four seconds, or that over the last one if it is greater and well founded.
    pub fn rate(&mut self, now: Now) -> f64 {
        self.advance(now);
        let requests = f64::from(self.newest_bins(SHORT).map(|bin| self.requests[bin]).sum::<u32>());
        let belief = requests / (requests + HALF_BELIEVED);
        self.over(BINS).max(self.over(SHORT) * belief)
    }

    fn over(&self, bins: usize) -> f64 {
        let sum: f64 = self.newest_bins(bins).map(|bin| self.amounts[bin]).sum();
        sum / (BIN.as_secs_f64() * bins as f64)
    }

    fn newest_bins(&self, bins: usize) -> impl Iterator<Item = usize> {
        let first = self.newest.saturating_sub(bins as u64 - 1);
        (first..=self.newest).map(|bin| bin as usize % BINS)
    }

    fn advance(&mut self, now: Now) {
        let bin = (now.as_nanos() / BIN.as_nanos()) as u64;
        if bin >= self.newest + BINS as u64 {
            self.amounts = [0.0; BINS];
            self.requests = [0; BINS];
            self.newest = bin;
        }
        while self.newest < bin {
            self.newest += 1;
            self.amounts[self.newest as usize % BINS] = 0.0;
            self.requests[self.newest as usize % BINS] = 0;
        }
    }
}
