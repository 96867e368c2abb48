//! The token bucket of a gateway, filled at the rate that it has leased.

use std::time::Duration;

use crate::bounds::{QuotaBounds, QuotaLimit};
use crate::bucket::Bucket;
use crate::demand_estimate::DemandEstimate;
use crate::message::{Demand, Grant, GrantSource, HeldLease};
use crate::unmet_need::UnmetNeed;
use crate::Now;

/// The maximum number of sources with simultaneously valid leases.
const MAX_LEASES: usize = 4;
/// The fraction of an amount that may be missing because of rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// The depth of the bucket of a gateway without a lease, as the time in which the floor rate fills it.
const FLOOR_FILL_TIME: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Lease {
    grant: Grant,
    until: Now,
}

/// The sum of the valid leases, or the floor.
#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    rate: f64,
    depth: f64,
    debt: f64,
}

/// What a bucket has, and how it fills.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Accrual {
    /// The units available now; negative if the bucket is deeper in debt than it may be.
    available: f64,
    /// Units per second.
    rate: f64,
    /// The most units that can be available without a credit.
    capacity: f64,
}

impl Accrual {
    /// The time until `amount` units have accrued; `None` if the rate is 0.
    pub fn time_for(&self, amount: f64) -> Option<Duration> {
        let missing = amount - self.available;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        if self.rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(missing / self.rate).ok()
    }

    /// Whether the bucket can hold `amount` units.
    pub fn can_hold(&self, amount: f64) -> bool {
        amount <= self.capacity
    }
}

/// The leased share of the rate of one tenant at a gateway.
#[derive(Clone, Debug)]
pub struct Holder {
    leases: Vec<Lease>,
    /// The rate without a lease, in units per second.
    floor_rate: f64,
    bucket: Bucket,
    estimate: DemandEstimate,
    unmet_need: UnmetNeed,
}

impl Holder {
    /// Creates a holder without a lease, with an empty bucket.
    pub fn new(now: Now) -> Self {
        Self {
            leases: Vec::new(),
            floor_rate: 0.0,
            bucket: Bucket::new(now),
            estimate: DemandEstimate::default(),
            unmet_need: UnmetNeed::new(now),
        }
    }

    /// Sets the rate without a lease, for one of `gateways` gateways.
    pub fn set_floor(&mut self, now: Now, bounds: &QuotaBounds, limit: QuotaLimit, gateways: u32) {
        self.fill_bucket(now);
        self.floor_rate = bounds.floor_rate(limit, gateways);
    }

    /// Takes `amount` units for a new request. Returns whether the request is admitted; if it is not, its
    /// need is reported ahead of the next regular report.
    pub fn take(&mut self, now: Now, amount: f64) -> bool {
        self.record_request(now, amount);
        let taken = self.take_available(now, amount);
        if !taken {
            let need = self.need_for(now, amount).min(amount);
            self.unmet_need.add(now, need);
        }
        taken
    }

    /// Counts a new request for `amount` units in the reported demand. Each request is counted once, however long it
    /// waits.
    pub fn record_request(&mut self, now: Now, amount: f64) {
        self.estimate.add(now, amount);
    }

    /// Sets the need of all waiting requests, which ask for `amount` units together.
    pub fn record_waiting(&mut self, now: Now, amount: f64) {
        self.fill_bucket(now);
        let need = self.need_for(now, amount);
        if need > 0.0 {
            self.unmet_need.raise_to(now, need);
        }
    }

    /// Whether a credit for the recorded need may be on its way: the source of the leases has not answered yet that it
    /// has none, or the tenant is not known to be beyond its limit.
    pub fn may_be_paid(&mut self, now: Now) -> bool {
        self.unmet_need.may_be_paid() || !self.is_beyond_limit(now)
    }

    /// Whether the tenant is beyond its limit, as far as its leases tell: only then are they for less than this
    /// gateway's demand.
    fn is_beyond_limit(&mut self, now: Now) -> bool {
        let leases = self.leases.iter().filter(|lease| lease.until > now);
        let leased = leases.map(|lease| lease.grant.rate).reduce(|sum, rate| sum + rate);
        leased.is_some_and(|rate| rate < self.estimate.rate(now))
    }

    /// Takes `amount` units if they are available, including the allowed debt.
    pub fn take_available(&mut self, now: Now, amount: f64) -> bool {
        self.fill_bucket(now);
        let available = self.bucket.level() + self.allowance(now).debt;
        let enough = available >= amount * (1.0 - ROUNDING_TOLERANCE);
        if enough {
            self.bucket.take(amount);
        }
        enough
    }

    /// The units to request. Only half of the debt counts as available, since the next grant may allow less.
    fn need_for(&self, now: Now, amount: f64) -> f64 {
        amount - self.bucket.level() - self.allowance(now).debt / 2.0
    }

    /// The time until `amount` units are available if no credit arrives; `None` if the rate is 0.
    pub fn wait_for(&mut self, now: Now, amount: f64) -> Option<Duration> {
        self.accrual(now).time_for(amount)
    }

    /// How quota accrues from `now` on, if nothing changes.
    pub(crate) fn accrual(&mut self, now: Now) -> Accrual {
        self.fill_bucket(now);
        let Allowance { rate, depth, debt } = self.allowance(now);
        Accrual { available: self.bucket.level() + debt, rate, capacity: depth + debt }
    }

    /// Whether to report at once, because a request was not admitted.
    pub fn urgent(&self, now: Now) -> bool {
        self.report_at(now).is_some_and(|at| at <= now)
    }

    /// When to report, ahead of the next regular report, because requests were not admitted; `None` if all
    /// were.
    pub fn report_at(&self, now: Now) -> Option<Now> {
        self.unmet_need.report_at(now)
    }

    /// Whether to send regular reports: there were requests in the last seconds, or a lease is valid.
    pub fn is_active(&mut self, now: Now) -> bool {
        self.estimate.rate(now) > 0.0 || self.leases.iter().any(|lease| lease.until > now)
    }

    /// The demand to report to `source`. Includes the overflow of the bucket and resets it.
    pub fn demand(&mut self, now: Now, source: GrantSource) -> Demand {
        self.fill_bucket(now);
        self.unmet_need.record_report(now);
        let held = self.leases.iter().find(|lease| lease.grant.source == source && lease.until > now);
        let held_lease = held.map(|lease| HeldLease::new(&lease.grant, lease.until - now));
        Demand {
            rate: self.estimate.rate(now),
            need: self.unmet_need.amount(now),
            level: self.bucket.level(),
            returned: self.bucket.take_overflow(),
            held_lease,
        }
    }

    /// Applies a grant that answers the report sent at `sent_at`. Returns false, and only removes expired
    /// leases, if the grant is not newer than the last one of its source, or if it descends from an earlier
    /// owner than another lease.
    pub fn apply_grant(&mut self, now: Now, sent_at: Now, grant: Grant) -> bool {
        self.fill_bucket(now);
        let until = sent_at + grant.valid_for;
        self.leases.retain(|lease| lease.until > now || lease.grant.source == grant.source);
        let held = self.leases.iter().find(|lease| lease.grant.source == grant.source);
        let is_superseded = held.is_some_and(|lease| grant.version() <= lease.grant.version());
        if is_superseded || self.is_fenced(now, &grant) {
            return false;
        }
        self.leases.retain(|lease| lease.grant.owner == grant.owner && lease.grant.source != grant.source);
        if self.leases.len() >= MAX_LEASES {
            self.leases.remove(0);
        }
        self.leases.push(Lease { grant, until });
        let credit = if until > now { grant.credit } else { 0.0 };
        self.bucket.pay(now, credit);
        self.unmet_need.record_answer(now, sent_at, credit);
        true
    }

    /// The rate at `now`, in units per second: the sum of the valid leases, or the floor.
    pub fn rate(&self, now: Now) -> f64 {
        self.allowance(now).rate
    }

    /// Whether the grant descends from an earlier owner than a valid lease.
    fn is_fenced(&self, now: Now, grant: &Grant) -> bool {
        let running = self.leases.iter().filter(|lease| lease.until > now);
        running.into_iter().any(|lease| lease.grant.owner.token > grant.owner.token)
    }

    fn allowance(&self, now: Now) -> Allowance {
        let mut sum = Allowance::default();
        for lease in self.leases.iter().filter(|lease| lease.until > now) {
            sum.rate += lease.grant.rate;
            sum.depth += lease.grant.burst;
            sum.debt += lease.grant.debt;
        }
        if sum.rate < self.floor_rate {
            sum.rate = self.floor_rate;
            sum.depth = sum.depth.max(self.floor_rate * FLOOR_FILL_TIME.as_secs_f64());
        }
        sum
    }

    /// Fills the bucket up to `now`. From the time at which a lease ends, its rate no longer counts.
    fn fill_bucket(&mut self, now: Now) {
        while self.bucket.filled_at() < now {
            let from = self.bucket.filled_at();
            let ends = self.leases.iter().map(|lease| lease.until).filter(|until| *until > from);
            let until = ends.min().unwrap_or(now).min(now);
            let allowance = self.allowance(from);
            self.bucket.fill(until, allowance.rate, allowance.depth);
        }
        if self.leases.iter().all(|lease| lease.until <= now) {
            self.bucket.truncate(self.allowance(now).depth);
            self.bucket.take_overflow();
        }
    }
}
