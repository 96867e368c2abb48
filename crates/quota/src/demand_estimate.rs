//! An estimate of the rate at which requests ask a holder for units.

use std::time::Duration;

use crate::bin_ring::BinRing;
use crate::Now;

/// The time that one bin covers.
const BIN_WIDTH: Duration = Duration::from_millis(250);
const BINS: usize = 16;
/// The number of bins of the short window.
const SHORT_BINS: usize = 4;
/// The short window has half of its full weight with this many requests, since a single large request says
/// little about a rate.
const HALF_WEIGHT_REQUESTS: f64 = 8.0;

/// What is counted in one bin.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    amount: f64,
    requests: u32,
}

/// The units asked for, and the number of requests, of the last four seconds in bins.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandEstimate {
    bins: BinRing<Asked, BINS>,
}

impl DemandEstimate {
    /// Records a request for `amount` units.
    pub fn add(&mut self, now: Now, amount: f64) {
        self.advance(now);
        let asked = self.bins.newest_mut();
        asked.amount += amount;
        asked.requests = asked.requests.saturating_add(1);
    }

    /// The estimated rate, in units per second: that over the last four seconds, or that over the last second,
    /// weighted by its number of requests, if it is greater.
    pub fn rate(&mut self, now: Now) -> f64 {
        self.advance(now);
        let requests = f64::from(self.bins.newest(SHORT_BINS).map(|asked| asked.requests).sum::<u32>());
        let weight = requests / (requests + HALF_WEIGHT_REQUESTS);
        self.rate_over(BINS).max(self.rate_over(SHORT_BINS) * weight)
    }

    /// The rate over this many of the newest bins, in units per second.
    fn rate_over(&self, bins: usize) -> f64 {
        let sum: f64 = self.bins.newest(bins).map(|asked| asked.amount).sum();
        sum / (BIN_WIDTH.as_secs_f64() * bins as f64)
    }

    /// Moves on to the bin of `now`.
    fn advance(&mut self, now: Now) {
        self.bins.advance_to((now.as_nanos() / BIN_WIDTH.as_nanos()) as u64);
    }
}
