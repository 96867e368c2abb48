//! When discovery is asked again after a call that failed, and how long a call may take: the one place for it.
//!
//! Two terms hold together. One proxy: what discovery has counts as told 6 s after it could be reached, whatever
//! failed. All proxies: their calls must fall under what discovery can do while it gives calls up, or it is kept over
//! its capacity by the very calls that it gives up, and nobody hears. So the first call and the first wait are spread
//! by the number of proxies, and waits grow with each failure in a row, differently for the two kinds of failure:
//!
//! - *Silent*: no connection, no answer, a watch without a sign of life. Its own time limits slow such calls down
//!   already: 2.2 s of silence, two calls that fail by their time (1.1 s) and three waits of a small fleet (0.4 s) come
//!   to 5.6 s; in a fleet of 21 and more (1 s) the third call begins after 5.3 s. Later waits grow to 2.5 s, which with
//!   the longest call (1.8 s) stays within 6 s of a return.
//! - *Refused*: an answer that says no, or an end before anything was told. It costs discovery work and comes at once.
//!   The wait doubles to 4 s, so that one call falls into the 6 s after a return: a fleet of N makes N / 3 calls a
//!   second at most. Where that goes on for ten failures in a row (20 s), waits double on, to 32 s: a fleet makes
//!   N / 24 calls a second then, or refusals that cost discovery as much as answers would never end.
//!
//! Where the settings say after what time one who hasn't asked counts as told, no wait passes an eighth of it: what is
//! asked in vain counts as asked, so that the sum is bounded there by the number of proxies alone.

use std::ops::Range;

/// Lines come every 2 s at the least: a watch without one is dead, though its connection may not know.
pub const WATCH_TIMEOUT_US: u64 = 2_200_000;
/// Discovery works through its calls in turn and gives one up that has waited for a second.
pub const RESPONSE_TIMEOUT_US: u64 = 1_100_000;
/// For a connection to discovery to come up.
pub const CONNECT_TIMEOUT_US: u64 = 700_000;

/// The first wait of a proxy that is alone, at the most.
const MAX_FIRST_WAIT_US: u64 = 400_000;
/// What the first calls of a fleet are spread over: this much for each other proxy, and in all.
const START_SPREAD_PER_PROXY_US: u64 = 50_000;
const MAX_START_SPREAD_US: u64 = 1_600_000;
/// First waits after a silence, which has taken of the 6 s already; the wait doesn't grow for this many failures.
const MAX_FIRST_SILENT_WAIT_US: u64 = 1_000_000;
const SILENT_FLAT_RETRIES: u32 = 3;
const MAX_SILENT_WAIT_US: u64 = 2_500_000;
const MAX_REFUSED_WAIT_US: u64 = 4_000_000;
/// Refused so often in a row, discovery is overrun and not just back.
const OVERLOAD_REFUSALS: u32 = 10;
/// How often the longest wait doubles then.
const OVERLOAD_DOUBLINGS: u32 = 3;

/// Of the time after which one who hasn't asked counts as told, a wait is one part at the most.
const MAX_WAIT_DIVISOR: u64 = 8;

/// How a call to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It said no, or ended before it told anything.
    Refused,
    /// Nothing was heard in time.
    Silent,
}

/// The calls of one proxy to discovery that failed since it last heard, of each kind by itself: a silence says nothing
/// of how much discovery has to do.
#[derive(Clone, Debug, Default)]
pub struct Retry {
    proxies: u64,
    max_wait_us: u64,
    refusals: u32,
    silences: u32,
}

impl Retry {
    /// `proxies`: how many ask the same discovery.
    pub fn new(proxies: usize) -> Self {
        Retry { proxies: proxies as u64, max_wait_us: u64::MAX, refusals: 0, silences: 0 }
    }

    /// The same where one who hasn't asked for `ask_within_us` counts as told.
    pub fn with_ask_limit(self, ask_within_us: Option<u64>) -> Self {
        let most_us =
            ask_within_us.map_or(u64::MAX, |within_us| (within_us / MAX_WAIT_DIVISOR).max(MAX_WAIT_DIVISOR));
        Retry { max_wait_us: most_us, ..self }
    }

    /// Discovery has told something.
    pub fn heard(&mut self) {
        (self.refusals, self.silences) = (0, 0);
    }

    /// The time over which all proxies of a fleet that start together make their first calls, in microseconds.
    pub fn start_spread_us(&self) -> u64 {
        (self.proxies.saturating_sub(1) * START_SPREAD_PER_PROXY_US).min(MAX_START_SPREAD_US)
    }

    /// A call has failed: the bounds of the wait before the next, in microseconds, to be drawn from evenly.
    pub fn failed(&mut self, failure: Failure) -> Range<u64> {
        let (first_us, most_us) = match failure {
            Failure::Refused => (self.first_wait_us(), self.refused_wait_us()),
            Failure::Silent => (self.first_silent_wait_us(), self.silent_us()),
        };
        let (first_us, most_us) = (first_us.min(self.max_wait_us), most_us.min(self.max_wait_us));
        let count = match failure {
            Failure::Refused => &mut self.refusals,
            Failure::Silent => &mut self.silences,
        };
        *count = count.saturating_add(1);
        // First waits are spread as widely as can be; later ones need that less than they need to be long.
        let least_us = if most_us == first_us { most_us / 8 } else { most_us / 2 };
        least_us..most_us
    }

    fn first_wait_us(&self) -> u64 {
        self.start_spread_us().max(MAX_FIRST_WAIT_US)
    }

    fn first_silent_wait_us(&self) -> u64 {
        self.first_wait_us().min(MAX_FIRST_SILENT_WAIT_US)
    }

    fn refused_wait_us(&self) -> u64 {
        let overrun =
            self.refusals.saturating_add(1).saturating_sub(OVERLOAD_REFUSALS).min(OVERLOAD_DOUBLINGS);
        doubled(doubled(self.first_wait_us(), self.refusals).min(MAX_REFUSED_WAIT_US), overrun)
    }

    fn silent_us(&self) -> u64 {
        let grown = self.silences.saturating_add(1).saturating_sub(SILENT_FLAT_RETRIES);
        doubled(self.first_silent_wait_us(), grown).min(MAX_SILENT_WAIT_US)
    }
}

fn doubled(us: u64, times: u32) -> u64 {
    us << times.min(16)
}
