//! The retry policy for calls to discovery: when to call again after a failure, and how long a call may take.
//!
//! Two requirements apply together. For one proxy: 6 s after discovery became reachable, the proxy counts as
//! notified of what discovery has, whatever failed before. For all proxies: while discovery abandons calls,
//! the rate of calls must fall below its capacity; otherwise the calls that it abandons keep it overloaded
//! and no proxy gets an answer. So the first call and the first wait are spread in proportion to the number
//! of proxies, and waits grow with each consecutive failure, differently for the two kinds of failure:
//!
//! - *Silent*: no connection, no answer, or a watch without a keep-alive. The time limits already slow such
//!   calls down: 2.2 s of silence, two calls that time out (1.1 s each) and three waits of a small fleet (0.4
//!   s each) sum to 5.6 s; in a fleet of 21 or more (waits of 1 s) the third call begins after 5.3 s. Later
//!   waits grow to 2.5 s, which together with the longest call (1.8 s) stays within 6 s of discovery's
//!   return.
//! - *Refused*: an answer that refuses, or a connection closed before any data. It costs discovery work and
//!   fails immediately. The wait doubles up to 4 s, so that one call falls into the 6 s after discovery's
//!   return: a fleet of N proxies makes at most N / 3 calls per second. After ten consecutive failures (20
//!   s), waits continue to double, up to 32 s, which leaves N / 24 calls per second; otherwise refusals that
//!   cost discovery as much as answers would never end.
//!
//! Where the settings define after what time a proxy that hasn't called counts as notified, no wait exceeds
//! an eighth of that time. Failed calls count as calls too, so there the total rate is bounded only by the
//! number of proxies.

use std::ops::Range;

/// Discovery sends a line at least every 2 s: a watch without one is dead, even if its connection seems open.
pub const WATCH_TIMEOUT_US: u64 = 2_200_000;
/// Discovery processes its calls in order and abandons one that has waited for a second.
pub const RESPONSE_TIMEOUT_US: u64 = 1_100_000;
/// The time limit for connecting to discovery.
pub const CONNECT_TIMEOUT_US: u64 = 700_000;

/// The longest first wait of a proxy that is alone.
const MAX_FIRST_WAIT_US: u64 = 400_000;
/// The interval over which a fleet's first calls are spread: the part for each other proxy, and the maximum.
const START_SPREAD_PER_PROXY_US: u64 = 50_000;
const MAX_START_SPREAD_US: u64 = 1_600_000;
/// The longest first wait after a silent failure, which has used up part of the 6 s already, and the number
/// of failures up to which it doesn't grow.
const MAX_FIRST_SILENT_WAIT_US: u64 = 1_000_000;
const SILENT_FLAT_RETRIES: u32 = 3;
const MAX_SILENT_WAIT_US: u64 = 2_500_000;
const MAX_REFUSED_WAIT_US: u64 = 4_000_000;
/// After this many consecutive refusals discovery is overloaded, rather than just restarted.
const OVERLOAD_REFUSALS: u32 = 10;
/// How many more times the longest wait doubles then.
const OVERLOAD_DOUBLINGS: u32 = 3;

/// The longest wait is the time after which a proxy that hasn't called counts as notified, divided by this.
const MAX_WAIT_DIVISOR: u64 = 8;

/// How a call to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was refused, or closed before any data arrived.
    Refused,
    /// Nothing arrived in time.
    Silent,
}

/// The failed calls of one proxy since it last heard from discovery. The two kinds are counted separately,
/// since a silent failure says nothing about discovery's load.
#[derive(Clone, Debug, Default)]
pub struct Retry {
    proxies: u64,
    max_wait_us: u64,
    refusals: u32,
    silences: u32,
}

impl Retry {
    /// `proxies`: the number of proxies that call the same discovery.
    pub fn new(proxies: usize) -> Self {
        Retry { proxies: proxies as u64, max_wait_us: u64::MAX, refusals: 0, silences: 0 }
    }

    /// Limits the waits for a deployment in which a proxy that hasn't called for `ask_within_us` counts as
    /// notified.
    pub fn with_ask_limit(self, ask_within_us: Option<u64>) -> Self {
        let max_wait_us =
            ask_within_us.map_or(u64::MAX, |within_us| (within_us / MAX_WAIT_DIVISOR).max(MAX_WAIT_DIVISOR));
        Retry { max_wait_us, ..self }
    }

    /// Discovery has sent data: resets the failure counts.
    pub fn reset(&mut self) {
        (self.refusals, self.silences) = (0, 0);
    }

    /// The time over which proxies that start together spread their first calls, in microseconds.
    pub fn start_spread_us(&self) -> u64 {
        (self.proxies.saturating_sub(1) * START_SPREAD_PER_PROXY_US).min(MAX_START_SPREAD_US)
    }

    /// Counts a failed call. Returns the bounds, in microseconds, between which the next wait is drawn
    /// uniformly.
    pub fn failed(&mut self, failure: Failure) -> Range<u64> {
        let (first_us, most_us) = match failure {
            Failure::Refused => (self.first_wait_us(), self.refused_wait_us()),
            Failure::Silent => (self.first_silent_wait_us(), self.silent_wait_us()),
        };
        let (first_us, most_us) = (first_us.min(self.max_wait_us), most_us.min(self.max_wait_us));
        let count = match failure {
            Failure::Refused => &mut self.refusals,
            Failure::Silent => &mut self.silences,
        };
        *count = count.saturating_add(1);
        // First waits are spread as widely as possible; for later waits length matters more than spread.
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

    fn silent_wait_us(&self) -> u64 {
        let grown = self.silences.saturating_add(1).saturating_sub(SILENT_FLAT_RETRIES);
        doubled(self.first_silent_wait_us(), grown).min(MAX_SILENT_WAIT_US)
    }
}

/// Doubles a time `times` times, at most 16.
fn doubled(us: u64, times: u32) -> u64 {
    us << times.min(16)
}
