//! A gateway's bucket, filled at the rate that it was leased.

use std::time::Duration;

use crate::bounds::{QuotaBounds, QuotaLimit};
use crate::bucket::Bucket;
use crate::demand_estimate::DemandEstimate;
use crate::message::{Claim, Demand, Grant, GrantSource};
use crate::urgency::Urgency;
use crate::Now;

/// The most sources whose leases run at once.
const MAX_LEASES: usize = 4;
/// What is there may lack this part of an amount.
const ROUNDING: f64 = 1e-6;
/// The bucket of a gateway without a lease is as deep as its floor rate over this time.
const FLOOR_DEPTH: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Lease {
    grant: Grant,
    until: Now,
}

/// What the leases that run add up to.
#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    rate: f64,
    depth: f64,
    debt: f64,
}

/// Spends what was leased of one tenant's rate.
#[derive(Clone, Debug)]
pub struct Holder {
    leases: Vec<Lease>,
    floor_rate: f64,
    bucket: Bucket,
    estimate: DemandEstimate,
    urgency: Urgency,
}

impl Holder {
    /// A holder without a lease.
    pub fn new(now: Now) -> Self {
        Self {
            leases: Vec::new(),
            floor_rate: 0.0,
            bucket: Bucket::new(now),
            estimate: DemandEstimate::default(),
            urgency: Urgency::new(now),
        }
    }

    /// Sets what this gateway, one of `gateways`, may take without a lease.
    pub fn set_floor(&mut self, now: Now, bounds: &QuotaBounds, limit: QuotaLimit, gateways: u32) {
        self.roll(now);
        self.floor_rate = bounds.floor_rate(limit, gateways);
    }

    /// Takes `amount` for a request that has just come in; whether it may be admitted.
    pub fn take(&mut self, now: Now, amount: f64) -> bool {
        self.estimate.add(now, amount);
        let taken = self.try_take(now, amount);
        if !taken {
            let need = self.need_for(now, amount).min(amount);
            self.urgency.add(now, need);
        }
        taken
    }

    /// Takes `amount` for a request that `take` has not admitted and that was held since.
    pub fn take_again(&mut self, now: Now, amount: f64) -> bool {
        let taken = self.try_take(now, amount);
        if !taken {
            let need = self.need_for(now, amount);
            self.urgency.at_least(now, need);
        }
        taken
    }

    /// Takes `amount` if it is there.
    fn try_take(&mut self, now: Now, amount: f64) -> bool {
        self.roll(now);
        let there = self.bucket.level() + self.allowance(now).debt;
        let enough = there >= amount * (1.0 - ROUNDING);
        if enough {
            self.bucket.take(amount);
        }
        enough
    }

    /// What to ask for. It counts on half of the debt only: that may be less by the time the answer comes.
    fn need_for(&self, now: Now, amount: f64) -> f64 {
        amount - self.bucket.level() - self.allowance(now).debt / 2.0
    }

    /// When `amount` may be taken, if no credit comes before; none while nobody can say.
    pub fn wait_for(&mut self, now: Now, amount: f64) -> Option<Duration> {
        self.roll(now);
        let allowance = self.allowance(now);
        let lacking = amount - self.bucket.level() - allowance.debt;
        if lacking <= 0.0 {
            return Some(Duration::ZERO);
        }
        if allowance.rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(lacking / allowance.rate).ok()
    }

    /// Whether a report should be sent at once, since a request could not be admitted.
    pub fn urgent(&self, now: Now) -> bool {
        self.report_at(now).is_some_and(|at| at <= now)
    }

    /// When to report, ahead of the next regular report, because requests could not be admitted.
    pub fn report_at(&self, now: Now) -> Option<Now> {
        self.urgency.report_at(now)
    }

    /// Whether anything was asked for lately, or a lease runs: whether to report.
    pub fn active(&mut self, now: Now) -> bool {
        self.estimate.rate(now) > 0.0 || self.leases.iter().any(|lease| lease.until > now)
    }

    /// What to report to `source`.
    pub fn demand(&mut self, now: Now, source: GrantSource) -> Demand {
        self.roll(now);
        self.urgency.reported(now);
        let held = self.leases.iter().find(|lease| lease.grant.source == source && lease.until > now);
        let claim = held.map(|lease| Claim {
            token: lease.grant.token,
            number: lease.grant.number,
            rate: lease.grant.rate,
            burst: lease.grant.burst,
            debt: lease.grant.debt,
            left: lease.until - now,
        });
        Demand {
            rate: self.estimate.rate(now),
            need: self.urgency.need(now),
            level: self.bucket.level(),
            returned: self.bucket.take_overflow(),
            claim,
        }
    }

    /// Takes a grant; the report that it answers was sent at `sent_at`. Whether it was taken.
    pub fn renewed(&mut self, now: Now, sent_at: Now, grant: Grant) -> bool {
        self.roll(now);
        let until = sent_at + grant.valid_for;
        self.leases.retain(|lease| lease.until > now || lease.grant.source == grant.source);
        let held = self.leases.iter().position(|lease| lease.grant.source == grant.source);
        let held_number = held.map(|index| (self.leases[index].grant.token, self.leases[index].grant.number));
        if held_number.is_some_and(|number| (grant.token, grant.number) <= number) || self.fenced(now, &grant)
        {
            return false;
        }
        self.leases
            .retain(|lease| lease.grant.lineage == grant.lineage && lease.grant.source != grant.source);
        if self.leases.len() >= MAX_LEASES {
            self.leases.remove(0);
        }
        self.leases.push(Lease { grant, until });
        if until > now {
            self.bucket.pay(now, grant.credit);
            self.urgency.credited(grant.credit);
        }
        true
    }

    /// The rate that is leased by now.
    pub fn rate(&self, now: Now) -> f64 {
        self.allowance(now).rate
    }

    /// Whether the grant comes from an owner earlier than that of a lease which runs.
    fn fenced(&self, now: Now, grant: &Grant) -> bool {
        let running = self.leases.iter().filter(|lease| lease.until > now);
        running.into_iter().any(|lease| lease.grant.lineage.token > grant.lineage.token)
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
            sum.depth = sum.depth.max(self.floor_rate * FLOOR_DEPTH.as_secs_f64());
        }
        sum
    }

    /// Fills the bucket up to now, lease by lease as they end.
    fn roll(&mut self, now: Now) {
        while self.bucket.filled_at() < now {
            let from = self.bucket.filled_at();
            let ends = self.leases.iter().map(|lease| lease.until).filter(|until| *until > from);
            let until = ends.min().unwrap_or(now).min(now);
            let allowance = self.allowance(from);
            self.bucket.fill(until, allowance.rate, allowance.depth);
        }
        if self.leases.iter().all(|lease| lease.until <= now) {
            self.bucket.cut(self.allowance(now).depth);
            self.bucket.take_overflow();
        }
    }
}
