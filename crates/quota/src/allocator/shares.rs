//! The division of the total into grants.

use std::time::Duration;

use super::Allocator;
use crate::message::{Grant, HeldLease, HolderId};
use crate::share::Share;
use crate::{Now, LEASE_DURATION};

/// The factor by which a leased rate exceeds the demand of the holder.
pub(super) const HEADROOM: f64 = 1.15;
/// The fraction of the spare rate that is leased evenly, ahead of demand. The rest accrues in the
/// pool.
const LEASED_SPARE_FRACTION: f64 = 0.3;
/// The fraction of the total burst that is leased as bucket depth. The rest is the depth of the pool.
pub(super) const LEASED_BURST_FRACTION: f64 = 0.4;

impl Allocator {
    /// Makes a grant and reserves it. `previous` is the lease of a previous owner that the holder still has.
    pub(super) fn grant(&mut self, now: Now, holder: HolderId, previous: Option<HeldLease>) -> Grant {
        if !self.has_valid_total(now) {
            return self.empty_grant();
        }
        let share = self.share_for(holder, previous);
        let credit = self.pay_credit(now, holder, &share);
        let valid_for = LEASE_DURATION.min(self.total.valid_until - now);
        let grant = self.next_grant(share, credit, valid_for);
        if let Some(state) = self.holders.get_mut(&holder) {
            state.reservation.add_grant(&grant, now + valid_for);
        }
        self.update_reserved(holder);
        grant
    }

    /// An empty grant, which expires at once.
    pub(super) fn empty_grant(&mut self) -> Grant {
        self.next_grant(Share::default(), 0.0, Duration::ZERO)
    }

    fn next_grant(&mut self, share: Share, credit: f64, valid_for: Duration) -> Grant {
        self.newest_grant += 1;
        Grant {
            source: self.source,
            token: self.token,
            owner: self.owner,
            number: self.newest_grant,
            rate: share.rate,
            burst: share.burst,
            debt: share.debt,
            credit,
            valid_for,
        }
    }

    /// The share of a holder: its demand and a part of the spare rate, limited to what is not reserved for
    /// others. The rate is at least that of its lease of a previous owner.
    fn share_for(&self, holder: HolderId, previous: Option<HeldLease>) -> Share {
        let Some(state) = self.holders.get(&holder) else {
            return Share::default();
        };
        let weight = self.weight_of(state.demand);
        let desired = Share {
            rate: self.desired_rate_of(state.demand),
            burst: self.total.burst * LEASED_BURST_FRACTION * weight,
            debt: self.total.debt * weight,
        };
        let own = state.reserved;
        let free = |total: f64, reserved: f64, own: f64| (total - (reserved - own)).max(0.0);
        let rate = desired.rate.min(free(self.total.rate, self.reserved.rate, own.rate));
        let leased_burst = self.total.burst * LEASED_BURST_FRACTION;
        Share {
            rate: rate.max(previous.map_or(0.0, |held| held.rate.min(self.total.rate))),
            burst: desired.burst.min(free(leased_burst, self.reserved.burst, own.burst)),
            debt: desired.debt.min(free(self.total.debt, self.reserved.debt, own.debt)),
        }
    }

    /// The rate for a holder with this demand: with headroom and a part of the spare rate, or proportional to
    /// the demand if the desired rates exceed the total.
    fn desired_rate_of(&self, demand: f64) -> f64 {
        let desired = demand * HEADROOM;
        let spare = self.total.rate - self.desired_rate;
        if spare >= 0.0 {
            desired + spare * LEASED_SPARE_FRACTION / self.holder_count()
        } else {
            desired * self.total.rate / self.desired_rate
        }
    }

    /// The fraction of depth and debt for a holder with this demand: half divided evenly, half by demand.
    fn weight_of(&self, demand: f64) -> f64 {
        let count = self.holder_count();
        if self.desired_rate > 0.0 {
            0.5 / count + 0.5 * (demand * HEADROOM) / self.desired_rate
        } else {
            1.0 / count
        }
    }

    /// The number of holders, at least 1, as a divisor.
    pub(super) fn holder_count(&self) -> f64 {
        self.holders.len().max(1) as f64
    }
}
