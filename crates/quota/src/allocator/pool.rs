//! The pool: the part of the total that is not leased, paid out as credits.

use super::demands::sanitized;
use super::Allocator;
use crate::message::{GrantSource, HolderId};
use crate::share::Share;
use crate::{Now, LEASE_DURATION};

/// While the pool is fuller than this fraction of its depth, it tops up the holders' buckets.
const TOP_UP_THRESHOLD: f64 = 0.5;
/// The owner pays a need that has waited once its pool has this fraction of it. Less would be a message for
/// nothing.
const MIN_PAID_FRACTION: f64 = 0.05;

impl Allocator {
    /// Whether the pool has enough to pay a holder's need: all of it, or at the owner a part that is worth a
    /// grant.
    pub(super) fn can_pay(&self, holder: HolderId) -> bool {
        let Some(state) = self.holders.get(&holder) else {
            return false;
        };
        let level = self.pool.level();
        let required = if self.pays_in_part() { state.unmet * MIN_PAID_FRACTION } else { state.unmet };
        level > 0.0 && level >= required
    }

    /// Whether a need is paid in part if there isn't enough for all of it.
    fn pays_in_part(&self) -> bool {
        self.source == GrantSource::OWNER
    }

    /// Pays a holder out of the pool: its need first, then a top-up of its bucket. Returns the units paid.
    ///
    /// A home pays a need in full or not at all, since a part of it admits no request; it asks the owner for
    /// the rest. The owner pays what there is, which the home collects.
    pub(super) fn pay_credit(&mut self, now: Now, holder: HolderId, share: &Share) -> f64 {
        let depth = self.pool_depth();
        let count = self.holder_count();
        let pays_in_part = self.pays_in_part();
        let Some(state) = self.holders.get_mut(&holder) else {
            return 0.0;
        };
        let available = self.pool.level().max(0.0);
        let mut credit = 0.0;
        if state.has_recent_need(now) && (pays_in_part || state.unmet <= available) {
            credit = state.unmet.min(available);
            state.unmet -= credit;
        }
        let surplus = (available - credit - depth * TOP_UP_THRESHOLD).max(0.0);
        let missing = (share.burst - state.level - credit).max(0.0);
        credit += missing.min(surplus / count.sqrt());
        self.pool.take(credit);
        state.level += credit;
        credit
    }

    /// Fills the pool up to `now` with the part of the total rate that is not reserved.
    pub(super) fn accrue(&mut self, now: Now) {
        let depth = self.pool_depth();
        let spare_rate = (self.total.rate - self.reserved.rate).max(0.0);
        let total_ends = self.total.valid_until.min(now);
        if self.pool.filled_at() < total_ends {
            self.pool.fill(total_ends, spare_rate, depth);
        }
        self.pool.fill(now, 0.0, depth);
    }

    /// Takes back what has overflowed a holder's bucket, at most a lease's worth of the total rate.
    pub(super) fn take_back(&mut self, now: Now, returned: f64) {
        if !self.has_valid_total(now) {
            return;
        }
        let capacity = (self.pool_depth() - self.pool.level()).max(0.0);
        let returned = sanitized(returned).min(self.total.rate * LEASE_DURATION.as_secs_f64());
        self.pool.pay(now, returned.min(capacity));
        self.pool.add_overflow((returned - capacity).max(0.0));
    }

    /// The depth of the pool, in units: what is not leased as the depth of buckets.
    fn pool_depth(&self) -> f64 {
        (self.total.burst - self.reserved.burst).max(0.0)
    }
}
