//! How much a holder is asked for, a second.

use std::time::Duration;

use crate::Now;

const BIN: Duration = Duration::from_millis(250);
const BINS: usize = 16;
const SHORT: usize = 4;

/// What was asked for in the last four seconds, in bins.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandEstimate {
    bins: [f64; BINS],
    newest: u64,
}

impl DemandEstimate {
    /// Notes that `amount` was asked for.
    pub fn add(&mut self, now: Now, amount: f64) {
        self.advance(now);
        let index = self.newest as usize % BINS;
        self.bins[index] += amount;
    }

    /// The greater of the rates over the last second and over the last four.
    pub fn rate(&mut self, now: Now) -> f64 {
        self.advance(now);
        self.over(SHORT).max(self.over(BINS))
    }

    fn over(&self, bins: usize) -> f64 {
        let first = self.newest.saturating_sub(bins as u64 - 1);
        let sum: f64 = (first..=self.newest).map(|bin| self.bins[bin as usize % BINS]).sum();
        sum / (BIN.as_secs_f64() * bins as f64)
    }

    fn advance(&mut self, now: Now) {
        let bin = (now.as_nanos() / BIN.as_nanos()) as u64;
        if bin >= self.newest + BINS as u64 {
            self.bins = [0.0; BINS];
            self.newest = bin;
        }
        while self.newest < bin {
            self.newest += 1;
            self.bins[self.newest as usize % BINS] = 0.0;
        }
    }
}
