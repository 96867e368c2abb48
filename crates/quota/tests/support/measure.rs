//! What is judged: sums over windows, and refusals of what lay within the limit.

use std::collections::VecDeque;
use std::time::Duration;

use crankpick_quota::{QuotaBounds, QuotaLimit};

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub requests: usize,
    /// Units asked for that a central bucket of the limit would have admitted.
    pub owed: f64,
    /// Of those, units admitted only after a wait.
    pub delayed: f64,
    /// Of those, units refused.
    pub refused: f64,
    /// The worst sum over a window, by what the rule allows.
    pub worst_window: f64,
    /// The worst sum over a window, by rate x window + burst.
    pub worst_plain: f64,
    pub reports: usize,
    /// Requests admitted after a wait, and how long they waited in all and at most.
    pub waited: usize,
    pub wait: Duration,
    pub longest_wait: Duration,
}

impl Outcome {
    pub fn refused_share(&self) -> f64 {
        self.refused / self.owed.max(1e-9)
    }

    pub fn mean_wait(&self) -> Duration {
        self.wait / self.waited.max(1) as u32
    }

    pub fn delayed_share(&self) -> f64 {
        self.delayed / self.owed.max(1e-9)
    }
}

/// Sums what was taken in the last window.
pub struct Window {
    taken: VecDeque<(Duration, f64)>,
    sum: f64,
    bounds: QuotaBounds,
}

impl Window {
    pub fn new(bounds: QuotaBounds) -> Self {
        Self { taken: VecDeque::new(), sum: 0.0, bounds }
    }

    /// Notes what was taken; the sum by what is allowed, and by what is allowed without any margin.
    pub fn take(&mut self, now: Duration, amount: f64, limit: QuotaLimit) -> (f64, f64) {
        self.taken.push_back((now, amount));
        self.sum += amount;
        while self.taken.front().is_some_and(|(at, _)| *at + self.bounds.window < now) {
            self.sum -= self.taken.pop_front().unwrap().1;
        }
        let plain = limit.rate * self.bounds.window.as_secs_f64() + limit.burst;
        (self.sum / self.bounds.max_per_window(limit), self.sum / plain)
    }
}

/// A bucket of the limit itself: what it admits is owed.
pub struct Reference {
    level: f64,
    at: Duration,
}

impl Reference {
    pub fn new() -> Self {
        Self { level: 0.0, at: Duration::ZERO }
    }

    pub fn admits(&mut self, now: Duration, amount: f64, limit: QuotaLimit) -> bool {
        let elapsed = (now - self.at).as_secs_f64();
        self.level = (self.level + elapsed * limit.rate).min(limit.burst);
        self.at = now;
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }
}
