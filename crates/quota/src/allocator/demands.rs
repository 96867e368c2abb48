//! The demands of the holders, and the sums over all of them.

use std::time::Duration;

use super::shares::HEADROOM;
use super::Allocator;
use crate::message::{Demand, GrantSource, HolderId};
use crate::reservation::Reservation;
use crate::share::Share;
use crate::{Now, LEASE_DURATION};

/// How long an unmet need counts after its report.
const NEED_LIFETIME: Duration = Duration::from_millis(500);

/// The state of a holder as of its newest report.
#[derive(Clone, Debug, Default)]
pub(super) struct HolderState {
    /// The demand, in units per second.
    pub demand: f64,
    /// The units needed for waiting requests, minus the credits paid since.
    pub unmet: f64,
    pub reported_at: Now,
    /// The level of its bucket, in units, plus the credits paid since.
    pub level: f64,
    /// The leases that it may still hold.
    pub reservation: Reservation,
    /// The contribution of this holder to the reserved sum of the allocator.
    pub reserved: Share,
    /// Whether it has reported to this allocator.
    has_reported: bool,
}

impl HolderState {
    /// Whether its need was reported recently enough to count.
    pub fn has_recent_need(&self, now: Now) -> bool {
        now.saturating_sub(self.reported_at) < NEED_LIFETIME
    }
}

impl Allocator {
    /// Records the report of a holder.
    pub(super) fn record_demand(&mut self, now: Now, holder: HolderId, demand: &Demand) {
        let state = self.holders.entry(holder).or_default();
        self.desired_rate -= state.demand * HEADROOM;
        state.demand = sanitized(demand.rate);
        self.desired_rate += state.demand * HEADROOM;
        state.unmet = sanitized(demand.need);
        state.reported_at = now;
        state.level = if demand.level.is_finite() { demand.level } else { 0.0 };
        if !state.has_reported {
            // A takeover reserved an estimated share; the report contains the actual lease.
            state.has_reported = true;
            state.reservation = Reservation::default();
        }
        match &demand.held_lease {
            Some(held) if held.token == self.token => state.reservation.confirm(held),
            Some(held) if held.token < self.token && self.source == GrantSource::OWNER => {
                let until = now + held.remaining.min(LEASE_DURATION);
                state.reservation.add_unknown(held.share(), until);
            }
            _ => {}
        }
        self.update_reserved(holder);
    }

    /// The units that holders need for waiting requests, beyond the level of the pool.
    pub(super) fn unmet(&self, now: Now) -> f64 {
        let recent = self.holders.values().filter(|state| state.has_recent_need(now));
        let unmet: f64 = recent.map(|state| state.unmet).sum();
        (unmet - self.pool.level().max(0.0)).max(0.0)
    }

    /// The holders that need units for waiting requests.
    pub(super) fn holders_with_unmet_need(&self, now: Now) -> Vec<HolderId> {
        let holders = self.holders.iter();
        let waiting = holders.filter(|(_, state)| state.unmet > 0.0 && state.has_recent_need(now));
        waiting.map(|(holder, _)| *holder).collect()
    }

    /// Updates the reserved sum after the reservation of a holder has changed.
    pub(super) fn update_reserved(&mut self, holder: HolderId) {
        if let Some(state) = self.holders.get_mut(&holder) {
            let previous = std::mem::replace(&mut state.reserved, state.reservation.upper_bound());
            self.reserved = self.reserved - previous + state.reserved;
        }
    }

    /// Recomputes the sums over all holders, which also removes accumulated rounding errors.
    pub(super) fn recompute_sums(&mut self) {
        let mut reserved = Share::default();
        let mut desired_rate = 0.0;
        for state in self.holders.values_mut() {
            state.reserved = state.reservation.upper_bound();
            reserved = reserved + state.reserved;
            desired_rate += state.demand * HEADROOM;
        }
        self.reserved = reserved;
        self.desired_rate = desired_rate;
    }
}

/// Converts a number received from another process to a finite number of at least 0.
pub(super) fn sanitized(number: f64) -> f64 {
    if number.is_finite() {
        number.max(0.0)
    } else {
        0.0
    }
}
