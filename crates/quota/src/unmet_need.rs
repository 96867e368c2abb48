//! Unmet need, and the time at which it justifies a report ahead of the next regular one.

use std::time::Duration;

use crate::Now;

/// The minimum interval between two reports caused by a need.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(15);
/// The minimum interval after a report that was not followed by a credit.
const MIN_INTERVAL_WITHOUT_CREDIT: Duration = Duration::from_millis(100);
/// How long a need counts after it was last recorded.
const NEED_LIFETIME: Duration = Duration::from_millis(300);

/// The answers after which the source of leases has nothing left: the first may come from the home alone, which then asks
/// the owner; the second has what the owner pays.
const ANSWERS_WITHOUT_CREDIT: u32 = 2;

/// The units that are needed beyond those available, and the time of the last report about them.
#[derive(Clone, Debug)]
pub(crate) struct UnmetNeed {
    amount: f64,
    recorded_at: Now,
    /// When the need arose.
    since: Now,
    /// The answers to reports of this need since the last credit.
    answers_without_credit: u32,
    reported_at: Option<Now>,
    /// Whether no credit has arrived since the last report of a need.
    awaits_credit: bool,
}

impl UnmetNeed {
    /// Creates an instance without a need.
    pub fn new(now: Now) -> Self {
        Self {
            amount: 0.0,
            recorded_at: now,
            since: now,
            answers_without_credit: 0,
            reported_at: None,
            awaits_credit: false,
        }
    }

    /// Records that `amount` more units are needed.
    pub fn add(&mut self, now: Now, amount: f64) {
        self.set(now, self.amount(now) + amount);
    }

    /// Records that at least `amount` units are needed in total.
    pub fn raise_to(&mut self, now: Now, amount: f64) {
        self.set(now, self.amount(now).max(amount));
    }

    fn set(&mut self, now: Now, amount: f64) {
        if self.amount(now) <= 0.0 {
            (self.since, self.answers_without_credit) = (now, 0);
        }
        (self.amount, self.recorded_at) = (amount, now);
    }

    /// The needed units; 0 if the need was recorded too long ago.
    pub fn amount(&self, now: Now) -> f64 {
        if now.saturating_sub(self.recorded_at) < NEED_LIFETIME {
            self.amount
        } else {
            0.0
        }
    }

    /// Records that a report was sent.
    pub fn record_report(&mut self, now: Now) {
        self.reported_at = Some(now);
        self.awaits_credit = self.amount(now) > 0.0;
    }

    /// Records an answer to a report sent at `sent_at`, with the credit that it pays.
    pub fn record_answer(&mut self, now: Now, sent_at: Now, credit: f64) {
        if credit > 0.0 {
            self.answers_without_credit = 0;
            self.record_credit(credit);
        } else if self.amount(now) > 0.0 && sent_at >= self.since {
            self.answers_without_credit = self.answers_without_credit.saturating_add(1);
        }
    }

    /// Whether a credit may be on its way: the source has not answered yet that it has none.
    pub fn may_be_paid(&self) -> bool {
        self.answers_without_credit < ANSWERS_WITHOUT_CREDIT
    }

    /// Records that a credit has arrived.
    pub fn record_credit(&mut self, amount: f64) {
        if amount > 0.0 {
            self.amount = (self.amount - amount).max(0.0);
            self.awaits_credit = false;
        }
    }

    /// The time at which to report the need; `None` without a need.
    pub fn report_at(&self, now: Now) -> Option<Now> {
        if self.amount(now) <= 0.0 {
            return None;
        }
        let interval = if self.awaits_credit { MIN_INTERVAL_WITHOUT_CREDIT } else { MIN_REPORT_INTERVAL };
        Some(self.reported_at.map_or(now, |reported_at| now.max(reported_at + interval)))
    }
}
