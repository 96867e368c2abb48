//! A bucket of units, filled at a rate up to a depth.

use std::time::Duration;

use crate::Now;

/// How long a bucket stays above its depth after a credit.
const SURPLUS_LASTS: Duration = Duration::from_secs(1);

/// A bucket. What overflows is kept apart, to be returned to whoever lent it.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    level: f64,
    overflow: f64,
    filled_at: Now,
    credited_at: Now,
}

impl Bucket {
    /// An empty bucket.
    pub fn new(now: Now) -> Self {
        Self { level: 0.0, overflow: 0.0, filled_at: now, credited_at: now }
    }

    /// What is in it; below zero when in debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Until when it has been filled.
    pub fn filled_at(&self) -> Now {
        self.filled_at
    }

    /// Fills it from when it was last filled until `until`.
    pub fn fill(&mut self, until: Now, rate: f64, depth: f64) {
        let elapsed = until.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(until);
        let accrued = rate * elapsed;
        let room = (depth - self.level).clamp(0.0, accrued);
        self.level += room;
        self.overflow += accrued - room;
        if self.level > depth && self.filled_at.saturating_sub(self.credited_at) >= SURPLUS_LASTS {
            self.overflow += self.level - depth;
            self.level = depth;
        }
    }

    /// Cuts it down to a depth; what was above is lost.
    pub fn cut(&mut self, depth: f64) {
        self.level = self.level.min(depth);
    }

    /// Pays into it, above its depth if need be.
    pub fn pay(&mut self, now: Now, amount: f64) {
        if amount > 0.0 {
            self.level += amount;
            self.credited_at = now;
        }
    }

    /// Takes out of it.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Counts what could not be paid into it as overflow.
    pub fn overflowed(&mut self, amount: f64) {
        self.overflow += amount;
    }

    /// What has overflowed since this was last asked.
    pub fn take_overflow(&mut self) -> f64 {
        std::mem::take(&mut self.overflow)
    }
}
