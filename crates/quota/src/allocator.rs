//! Leases a total rate to holders: the owner of a tenant to homes, and a home to gateways.
//!
//! An allocator never leases more than its total. For each holder it counts all grants that the holder has
//! not reported to be superseded. The part that is not leased accrues in a pool, from which credits are paid
//! on demand.
//!
//! Submodules: [`demands`] keeps the demands of the holders, [`shares`] divides the total into grants,
//! [`pool`] pays credits, and [`takeover`] replaces a lost owner.

mod demands;
mod pool;
mod shares;
mod takeover;

use std::collections::BTreeMap;
use std::time::Duration;

use self::demands::HolderState;
pub use self::takeover::TOKENS_PER_EPOCH;
use crate::bounds::Total;
use crate::bucket::Bucket;
use crate::message::{Demand, Grant, GrantSource, HeldLease, HolderId, OwnerIncarnation};
use crate::share::Share;
use crate::unmet_need::UnmetNeed;
use crate::Now;

/// The interval at which expired leases are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of holders of one allocator.
const MAX_HOLDERS: usize = 4_096;

/// The lease that an allocator's total comes from.
#[derive(Clone, Debug)]
struct UpstreamLease {
    grant: Grant,
    valid_until: Now,
}

/// Leases a total to holders.
#[derive(Clone, Debug)]
pub struct Allocator {
    source: GrantSource,
    token: u64,
    owner: OwnerIncarnation,
    total: Total,
    holders: BTreeMap<HolderId, HolderState>,
    /// The sum of the upper bounds of what the holders may hold.
    reserved: Share,
    /// The sum of the rates that the holders should get, in units per second.
    desired_rate: f64,
    pool: Bucket,
    unmet_need: UnmetNeed,
    expired_at: Now,
    newest_grant: u64,
    upstream: Option<UpstreamLease>,
}

impl Allocator {
    /// Creates an allocator with nothing to lease yet. `token` is its fencing token: a higher one fences off
    /// the previous allocators of the same source.
    pub fn new(now: Now, source: GrantSource, token: u64) -> Self {
        Self {
            source,
            token,
            owner: OwnerIncarnation { token, nonce: 0 },
            total: Total::default(),
            holders: BTreeMap::new(),
            reserved: Share::default(),
            desired_rate: 0.0,
            pool: Bucket::new(now),
            unmet_need: UnmetNeed::new(now),
            expired_at: now,
            newest_grant: 0,
            upstream: None,
        }
    }

    /// Sets the nonce of this owner, drawn at random at its start.
    pub fn with_nonce(mut self, nonce: u64) -> Self {
        self.owner.nonce = nonce;
        self
    }

    /// Sets the total, at the owner. The part of it that is not leased accrues in the pool from now on.
    pub fn set_total(&mut self, now: Now, total: Total) {
        self.accrue(now);
        self.expire_leases(now);
        self.total = total;
    }

    /// Answers the report of a holder. The grant is empty while the total is not valid, or if there are too
    /// many holders.
    pub fn report(&mut self, now: Now, holder: HolderId, demand: Demand) -> Grant {
        self.accrue(now);
        self.expire_leases(now);
        self.reclaim(now, demand.returned);
        if !self.holders.contains_key(&holder) && self.holders.len() >= MAX_HOLDERS {
            return self.empty_grant();
        }
        self.raise_token_above(&demand);
        self.record_demand(now, holder, &demand);
        let previous = demand.held_lease.filter(|held| held.token < self.token);
        self.grant(now, holder, previous)
    }

    /// Makes grants to the holders whose need was not met when they reported and can be met now. Returns the
    /// grants to send.
    ///
    /// The host calls this at each of its events. A holder that could not be paid yet is left out: after a
    /// restart of the whole fleet, when all pools are empty, each such holder would otherwise get an empty
    /// grant at each event.
    pub fn grant_pending(&mut self, now: Now) -> Vec<(HolderId, Grant)> {
        self.accrue(now);
        let mut grants = Vec::new();
        for holder in self.holders_with_unmet_need(now) {
            if self.can_pay(holder) {
                grants.push((holder, self.grant(now, holder, None)));
            }
        }
        grants
    }

    /// Whether to report to the allocator above at once, because holders need more than the pool has.
    pub fn urgent(&mut self, now: Now) -> bool {
        self.report_at(now).is_some_and(|at| at <= now)
    }

    /// When to report to the allocator above, ahead of the next regular report, because holders need more
    /// than the pool has; `None` if they do not.
    pub fn report_at(&mut self, now: Now) -> Option<Now> {
        let unmet = self.unmet(now);
        if unmet <= 0.0 {
            return None;
        }
        self.unmet_need.raise_to(now, unmet);
        self.unmet_need.report_at(now)
    }

    /// The demand to report to the allocator above. Includes the overflow of the pool and resets it.
    pub fn demand(&mut self, now: Now) -> Demand {
        self.accrue(now);
        self.unmet_need.record_report(now);
        let held_lease = self.upstream.as_ref().filter(|lease| lease.valid_until > now);
        let held_lease = held_lease.map(|lease| HeldLease::new(&lease.grant, lease.valid_until - now));
        Demand {
            rate: self.demand_rate(),
            need: self.unmet(now),
            level: self.pool.level(),
            returned: self.pool.take_overflow(),
            held_lease,
        }
    }

    /// Applies a grant of the allocator above as the total. `sent_at` is the time at which the answered
    /// report was sent. Returns false if the grant is not newer than the last one.
    pub fn apply_grant(&mut self, now: Now, sent_at: Now, grant: Grant) -> bool {
        self.accrue(now);
        if self.upstream.as_ref().is_some_and(|lease| grant.version() <= lease.grant.version()) {
            return false;
        }
        let valid_until = sent_at + grant.valid_for;
        self.owner = grant.owner;
        self.upstream = Some(UpstreamLease { grant, valid_until });
        self.total = Total { rate: grant.rate, burst: grant.burst, debt: grant.debt, valid_until };
        self.pool.pay(now, grant.credit);
        self.unmet_need.record_credit(grant.credit);
        true
    }

    /// Whether the total is valid: it has been set, and has not expired.
    pub fn has_valid_total(&self, now: Now) -> bool {
        self.total.valid_until > now
    }

    /// The sum of the demands of all holders, in units per second.
    pub fn demand_rate(&self) -> f64 {
        self.holders.values().map(|state| state.demand).sum()
    }

    /// The level of the pool, in units.
    pub fn pool_level(&self) -> f64 {
        self.pool.level()
    }

    /// The number of holders that have, or may have, a lease.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Removes expired leases, and the holders without any other lease.
    fn expire_leases(&mut self, now: Now) {
        if now.saturating_sub(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        self.holders.retain(|_, state| !state.reservation.expire(now));
        self.recompute_sums();
    }
}
