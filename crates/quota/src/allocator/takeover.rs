//! Takeover from a lost owner, and from an earlier start of the same owner.

use super::shares::LEASED_BURST_FRACTION;
use super::{Allocator, MAX_HOLDERS};
use crate::message::{Demand, GrantSource, HolderId};
use crate::share::Share;
use crate::{Now, LEASE_DURATION};

/// The distance between the fencing tokens that the host assigns to the owners of consecutive epochs. The
/// tokens in between are for restarts of an owner within its epoch.
pub const TOKENS_PER_EPOCH: u64 = 1 << 20;

impl Allocator {
    /// Takes over from a lost owner. The given holders may still have leases of it, so an even share of the
    /// total is reserved for each until it reports, or until such a lease must have expired.
    pub fn rebuild(&mut self, now: Now, holders: impl IntoIterator<Item = HolderId>) {
        self.accrue(now);
        let unknown: Vec<HolderId> = holders
            .into_iter()
            .filter(|holder| !self.holders.contains_key(holder))
            .take(MAX_HOLDERS)
            .collect();
        let count = (self.holders.len() + unknown.len()).max(1) as f64;
        let share = Share {
            rate: self.total.rate / count,
            burst: self.total.burst * LEASED_BURST_FRACTION / count,
            debt: self.total.debt / count,
        };
        for holder in unknown {
            let state = self.holders.entry(holder).or_default();
            state.reservation.add_unknown(share, now + LEASE_DURATION);
            self.update_reserved(holder);
        }
    }

    /// Raises the token above that of a reported lease which this owner has not granted. Such a lease is from
    /// an earlier start of this owner in the same epoch; holders would refuse new grants with a lower token.
    pub(super) fn raise_token_above(&mut self, demand: &Demand) {
        let Some(held) = demand.held_lease.filter(|_| self.source == GrantSource::OWNER) else {
            return;
        };
        let not_granted = held.token == self.token && held.number > self.newest_grant;
        let same_epoch = held.token > self.token && held.token - self.token < TOKENS_PER_EPOCH;
        if not_granted || same_epoch {
            self.token = held.token + 1;
            self.owner.token = self.token;
        }
    }
}
