//! An estimate of the rate at which requests ask a holder for units.

use std::time::Duration;

use crate::Now;

/// The time that one bin covers.
const BIN_WIDTH: Duration = Duration::from_millis(250);
const BINS: usize = 16;
/// The number of bins of the short window.
const SHORT_BINS: usize = 4;
/// The short window has half of its full weight with this many requests, since a single large request says
/// little about a rate.
const HALF_WEIGHT_REQUESTS: f64 = 8.0;

/// The units asked for, and the number of requests, of the last four seconds in bins.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandEstimate {
    amounts: [f64; BINS],
    requests: [u32; BINS],
    /// The number of the newest bin since the start of the clock.
    newest_bin: u64,
}

impl DemandEstimate {
    /// Records a request for `amount` units.
    pub fn add(&mut self, now: Now, amount: f64) {
        self.advance(now);
        let index = self.newest_bin as usize % BINS;
        self.amounts[index] += amount;
        self.requests[index] = self.requests[index].saturating_add(1);
    }

    /// The estimated rate, in units per second: that over the last four seconds, or that over the last second,
    /// weighted by its number of requests, if it is greater.
    pub fn rate(&mut self, now: Now) -> f64 {
        self.advance(now);
        let requests = f64::from(self.newest_bins(SHORT_BINS).map(|bin| self.requests[bin]).sum::<u32>());
        let weight = requests / (requests + HALF_WEIGHT_REQUESTS);
        self.rate_over(BINS).max(self.rate_over(SHORT_BINS) * weight)
    }

    /// The rate over this many of the newest bins, in units per second.
    fn rate_over(&self, bins: usize) -> f64 {
        let sum: f64 = self.newest_bins(bins).map(|bin| self.amounts[bin]).sum();
        sum / (BIN_WIDTH.as_secs_f64() * bins as f64)
    }

    /// The indices of this many of the newest bins.
    fn newest_bins(&self, bins: usize) -> impl Iterator<Item = usize> {
        let first = self.newest_bin.saturating_sub(bins as u64 - 1);
        (first..=self.newest_bin).map(|bin| bin as usize % BINS)
    }

    /// Moves on to the bin of `now`, and clears the bins that it passes.
    fn advance(&mut self, now: Now) {
        let bin = (now.as_nanos() / BIN_WIDTH.as_nanos()) as u64;
        if bin >= self.newest_bin + BINS as u64 {
            self.amounts = [0.0; BINS];
            self.requests = [0; BINS];
            self.newest_bin = bin;
        }
        while self.newest_bin < bin {
            self.newest_bin += 1;
            self.amounts[self.newest_bin as usize % BINS] = 0.0;
            self.requests[self.newest_bin as usize % BINS] = 0;
        }
    }
}
