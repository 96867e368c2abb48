//! A gateway's bucket, filled at the rate that it was leased.

use std::time::Duration;

use crate::bounds::{QuotaBounds, QuotaLimit};
use crate::demand_estimate::DemandEstimate;
use crate::message::{Claim, Demand, Grant, GrantSource};
use crate::Now;

/// The most sources whose leases run at once.
const MAX_LEASES: usize = 4;
/// How long a request that could not be admitted counts as a need.
const NEED_LASTS: Duration = Duration::from_millis(300);
/// How long a bucket stays above its depth after a credit.
const SURPLUS_LASTS: Duration = Duration::from_secs(1);
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
    level: f64,
    rolled_at: Now,
    credited_at: Now,
    estimate: DemandEstimate,
    need: f64,
    needed_at: Now,
    asked: bool,
}

impl Holder {
    /// A holder without a lease.
    pub fn new(now: Now) -> Self {
        Self {
            leases: Vec::new(),
            floor_rate: 0.0,
            level: 0.0,
            rolled_at: now,
            credited_at: now,
            estimate: DemandEstimate::default(),
            need: 0.0,
            needed_at: now,
            asked: false,
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
        self.take_again(now, amount)
    }

    /// Takes `amount` for a request that `take` has not admitted and that was held since.
    pub fn take_again(&mut self, now: Now, amount: f64) -> bool {
        self.roll(now);
        let allowance = self.allowance(now);
        if self.level + allowance.debt >= amount {
            self.level -= amount;
            return true;
        }
        self.note_need(now, amount - self.level);
        false
    }

    /// When `amount` may be taken, if no credit comes before; none while nobody can say.
    pub fn wait_for(&mut self, now: Now, amount: f64) -> Option<Duration> {
        self.roll(now);
        let allowance = self.allowance(now);
        let lacking = amount - self.level - allowance.debt;
        if lacking <= 0.0 {
            return Some(Duration::ZERO);
        }
        if allowance.rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(lacking / allowance.rate).ok()
    }

    /// Whether a report should be sent at once, since a request could not be admitted. True once for each need.
    pub fn urgent(&mut self, now: Now) -> bool {
        let needed = self.need > 0.0 && now.saturating_sub(self.needed_at) < NEED_LASTS;
        needed && !std::mem::replace(&mut self.asked, true)
    }

    /// Whether anything was asked for lately, or a lease runs: whether to report.
    pub fn active(&mut self, now: Now) -> bool {
        self.estimate.rate(now) > 0.0 || self.leases.iter().any(|lease| lease.until > now)
    }

    /// What to report to `source`.
    pub fn demand(&mut self, now: Now, source: GrantSource) -> Demand {
        self.roll(now);
        if now.saturating_sub(self.needed_at) >= NEED_LASTS {
            self.need = 0.0;
        }
        self.asked = false;
        let held = self.leases.iter().find(|lease| lease.grant.source == source && lease.until > now);
        let claim = held.map(|lease| Claim {
            token: lease.grant.token,
            number: lease.grant.number,
            rate: lease.grant.rate,
            burst: lease.grant.burst,
            debt: lease.grant.debt,
            left: lease.until - now,
        });
        Demand { rate: self.estimate.rate(now), need: self.need, level: self.level, claim }
    }

    /// Takes a grant; the report that it answers was sent at `sent_at`. Whether it was taken.
    pub fn renewed(&mut self, now: Now, sent_at: Now, grant: Grant) -> bool {
        self.roll(now);
        let until = sent_at + grant.valid_for;
        match self.leases.iter_mut().find(|lease| lease.grant.source == grant.source) {
            Some(held) if (grant.token, grant.number) <= (held.grant.token, held.grant.number) => {
                return false
            }
            Some(held) => *held = Lease { grant, until },
            None => {
                self.leases.retain(|lease| lease.until > now);
                if self.leases.len() >= MAX_LEASES {
                    self.leases.remove(0);
                }
                self.leases.push(Lease { grant, until });
            }
        }
        if until > now {
            self.pay(now, grant.credit);
        }
        true
    }

    /// The rate that is leased by now.
    pub fn rate(&self, now: Now) -> f64 {
        self.allowance(now).rate
    }

    fn pay(&mut self, now: Now, credit: f64) {
        if credit > 0.0 {
            self.level += credit;
            self.need = (self.need - credit).max(0.0);
            self.credited_at = now;
        }
    }

    fn note_need(&mut self, now: Now, lacking: f64) {
        if now.saturating_sub(self.needed_at) >= NEED_LASTS {
            self.need = 0.0;
            self.asked = false;
        }
        if self.need <= 0.0 {
            self.needed_at = now;
        }
        self.need = self.need.max(lacking);
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
        while self.rolled_at < now {
            let next_end =
                self.leases.iter().map(|lease| lease.until).filter(|until| *until > self.rolled_at).min();
            let until = next_end.unwrap_or(now).min(now);
            let allowance = self.allowance(self.rolled_at);
            let elapsed = (until - self.rolled_at).as_secs_f64();
            if self.level < allowance.depth {
                self.level = (self.level + allowance.rate * elapsed).min(allowance.depth);
            }
            self.rolled_at = until;
        }
        let surplus_over = now.saturating_sub(self.credited_at) >= SURPLUS_LASTS;
        if surplus_over {
            self.level = self.level.min(self.allowance(now).depth);
        }
    }
}
