//! The pool: the part of the total that is not leased, paid out as credits.

use super::demands::sanitized;
use super::Allocator;
use crate::message::{GrantSource, HolderId};
use crate::share::Share;
use crate::{Now, LEASE_DURATION};

/// While the pool is fuller than this fraction of its depth, it tops up the holders' buckets.
const TOP_UP_THRESHOLD: f64 = 0.5;
/// The owner pays a pending need in part once its pool covers at least this fraction of it. A smaller payment
/// would cost more messages than it helps requests: none is admitted by it.
const MIN_PAID_FRACTION: f64 = 0.05;

impl Allocator {
    /// Whether the pool can pay the need of a holder: all of it, or at the owner a part that justifies a
    /// grant.
    pub(super) fn can_pay(&self, holder: HolderId) -> bool {
        let Some(state) = self.holders.get(&holder) else {
            return false;
        };
        let level = self.pool.level();
        let required = if self.pays_partially() { state.unmet * MIN_PAID_FRACTION } else { state.unmet };
        level > 0.0 && level >= required
    }

    /// Whether a need is paid in part if the pool does not cover all of it.
    fn pays_partially(&self) -> bool {
        self.source == GrantSource::OWNER
    }

    /// Pays a credit from the pool: first for the need of the holder, then to top up its bucket. Returns the
    /// units paid.
    ///
    /// A home pays a need in full or not at all, since a part of it would admit no request; it requests the
    /// rest from the owner. The owner pays the available part, which the home accumulates.
    pub(super) fn pay_credit(&mut self, now: Now, holder: HolderId, share: &Share) -> f64 {
        let depth = self.pool_depth();
        let count = self.holder_count();
        let pays_partially = self.pays_partially();
        let Some(state) = self.holders.get_mut(&holder) else {
            return 0.0;
        };
        let available = self.pool.level().max(0.0);
        let mut credit = 0.0;
        if state.has_recent_need(now) && (pays_partially || state.unmet <= available) {
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

    /// Returns the overflow of a holder's bucket to the pool, at most the total rate over one lease duration.
    pub(super) fn reclaim(&mut self, now: Now, returned: f64) {
        if !self.has_valid_total(now) {
            return;
        }
        let capacity = (self.pool_depth() - self.pool.level()).max(0.0);
        let returned = sanitized(returned).min(self.total.rate * LEASE_DURATION.as_secs_f64());
        self.pool.pay(now, returned.min(capacity));
        self.pool.add_overflow((returned - capacity).max(0.0));
    }

    /// The depth of the pool, in units: the part of the total burst that is not reserved for holders.
    fn pool_depth(&self) -> f64 {
        (self.total.burst - self.reserved.burst).max(0.0)
    }
}
