//! Estimation of the rate at which requests demand units from a holder.

use std::time::Duration;

use crate::bin_ring::BinRing;
use crate::Now;

/// The duration of one bin.
const BIN_WIDTH: Duration = Duration::from_millis(250);
const BINS: usize = 16;
/// The number of bins of the short window.
const SHORT_BINS: usize = 4;
/// The number of requests at which the short window has half of its full weight. A single large request says
/// little about a rate.
const HALF_WEIGHT_REQUESTS: f64 = 8.0;

/// The demand counted in one bin.
#[derive(Clone, Copy, Debug, Default)]
struct BinDemand {
    amount: f64,
    requests: u32,
}

/// The requested units and the number of requests in the bins of the last four seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandEstimate {
    bins: BinRing<BinDemand, BINS>,
}

impl DemandEstimate {
    /// Records a request for `amount` units.
    pub fn add(&mut self, now: Now, amount: f64) {
        self.advance(now);
        let asked = self.bins.newest_mut();
        asked.amount += amount;
        asked.requests = asked.requests.saturating_add(1);
    }

    /// The estimated rate, in units per second: the greater of the rate over the last four seconds and the
    /// rate over the last second, the latter weighted by its number of requests.
    pub fn rate(&mut self, now: Now) -> f64 {
        self.advance(now);
        let requests = f64::from(self.bins.newest(SHORT_BINS).map(|asked| asked.requests).sum::<u32>());
        let weight = requests / (requests + HALF_WEIGHT_REQUESTS);
        self.rate_over(BINS).max(self.rate_over(SHORT_BINS) * weight)
    }

    /// The rate over the `bins` newest bins, in units per second.
    fn rate_over(&self, bins: usize) -> f64 {
        let sum: f64 = self.bins.newest(bins).map(|asked| asked.amount).sum();
        sum / (BIN_WIDTH.as_secs_f64() * bins as f64)
    }

    /// Advances to the bin of `now`.
    fn advance(&mut self, now: Now) {
        self.bins.advance_to((now.as_nanos() / BIN_WIDTH.as_nanos()) as u64);
    }
}
