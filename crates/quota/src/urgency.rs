//! When a need that was not met is worth a report at once.

use std::time::Duration;

use crate::Now;

/// The least time between two reports that are sent for a need.
const SPACING: Duration = Duration::from_millis(15);
/// The least time after a report that brought nothing.
const SPACING_IN_VAIN: Duration = Duration::from_millis(100);
/// How long a need counts after it was last noted.
const LASTS: Duration = Duration::from_millis(300);

/// What is needed beyond what is there, and whether to ask for it at once.
#[derive(Clone, Debug)]
pub(crate) struct Urgency {
    need: f64,
    noted_at: Now,
    asked_at: Option<Now>,
    in_vain: bool,
}

impl Urgency {
    /// Nothing needed.
    pub fn new(now: Now) -> Self {
        Self { need: 0.0, noted_at: now, asked_at: None, in_vain: false }
    }

    /// `amount` more is needed.
    pub fn add(&mut self, now: Now, amount: f64) {
        self.need = self.need(now) + amount;
        self.noted_at = now;
    }

    /// No less than `amount` is needed.
    pub fn at_least(&mut self, now: Now, amount: f64) {
        self.need = self.need(now).max(amount);
        self.noted_at = now;
    }

    /// What is needed by now.
    pub fn need(&self, now: Now) -> f64 {
        if now.saturating_sub(self.noted_at) < LASTS {
            self.need
        } else {
            0.0
        }
    }

    /// A report was sent.
    pub fn reported(&mut self, now: Now) {
        self.asked_at = Some(now);
        self.in_vain = self.need(now) > 0.0;
    }

    /// A credit has come.
    pub fn credited(&mut self, amount: f64) {
        if amount > 0.0 {
            self.need = (self.need - amount).max(0.0);
            self.in_vain = false;
        }
    }

    /// When to report because of a need; none while nothing is needed.
    pub fn report_at(&self, now: Now) -> Option<Now> {
        if self.need(now) <= 0.0 {
            return None;
        }
        let spacing = if self.in_vain { SPACING_IN_VAIN } else { SPACING };
        Some(self.asked_at.map_or(now, |asked_at| now.max(asked_at + spacing)))
    }
}
