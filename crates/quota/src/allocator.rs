//! Lends a total to holders: at the owner to homes, at a home to gateways.
//!
//! Never lends more than its total, counting what holders may still hold by grants that they have not shown
//! to be superseded. What is not lent accrues in a pool, from which credits are paid on need.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::bounds::Total;
use crate::bucket::Bucket;
use crate::message::{Claim, Demand, Grant, GrantSource, HolderId, Lineage};
use crate::reservation::{Part, Reservation};
use crate::urgency::Urgency;
use crate::{Now, LEASE};

/// A holder is lent this much for each unit of its demand.
const HEADROOM: f64 = 1.15;
/// The part of the spare rate that is lent evenly, ahead of demand. The rest accrues in the pool.
const LENT_SPARE: f64 = 0.3;
/// The part of all buckets' depths that is lent. The rest is the depth of the pool.
const LENT_BURST: f64 = 0.4;
/// The pool above this part of its depth tops up the holders' buckets.
const TOP_UP_ABOVE: f64 = 0.5;
/// How often ended leases are looked for.
const SWEEP_EVERY: Duration = Duration::from_millis(100);
/// How long a need that was not met counts.
const NEED_LASTS: Duration = Duration::from_millis(500);
/// The host gives the owner of each epoch a token that is higher by this much.
pub const TOKENS_OF_ONE_EPOCH: u64 = 1 << 20;
/// The most holders of one allocator.
const MAX_HOLDERS: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct HolderState {
    demand: f64,
    unmet: f64,
    unmet_at: Now,
    level: f64,
    reservation: Reservation,
    reserved: Part,
    heard: bool,
}

/// Lends a total to holders.
#[derive(Clone, Debug)]
pub struct Allocator {
    source: GrantSource,
    token: u64,
    lineage: Lineage,
    total: Total,
    holders: BTreeMap<HolderId, HolderState>,
    reserved: Part,
    desired: f64,
    pool: Bucket,
    urgency: Urgency,
    swept_at: Now,
    number: u64,
    /// The lease that the total comes from, when it comes from a grant.
    lease: Option<(Grant, Now)>,
}

impl Allocator {
    /// An allocator with nothing to lend yet. `token` fences off former ones of the same source.
    pub fn new(now: Now, source: GrantSource, token: u64) -> Self {
        Self {
            source,
            token,
            lineage: Lineage { token, nonce: 0 },
            total: Total::default(),
            holders: BTreeMap::new(),
            reserved: Part::default(),
            desired: 0.0,
            pool: Bucket::new(now),
            urgency: Urgency::new(now),
            swept_at: now,
            number: 0,
            lease: None,
        }
    }

    /// Sets the nonce of this owner, drawn at its start.
    pub fn with_nonce(mut self, nonce: u64) -> Self {
        self.lineage.nonce = nonce;
        self
    }

    /// Sets what may be lent: at the owner. What nobody holds any more accrues in the pool from now on.
    pub fn set_total(&mut self, now: Now, total: Total) {
        self.roll(now);
        self.sweep(now);
        self.total = total;
    }

    /// Takes over from a lost owner: these holders may hold leases of it until they report or those end.
    pub fn rebuild(&mut self, now: Now, holders: impl IntoIterator<Item = HolderId>) {
        self.roll(now);
        let silent: Vec<HolderId> = holders
            .into_iter()
            .filter(|holder| !self.holders.contains_key(holder))
            .take(MAX_HOLDERS)
            .collect();
        let count = (self.holders.len() + silent.len()).max(1) as f64;
        let share = Part {
            rate: self.total.rate / count,
            burst: self.total.burst * LENT_BURST / count,
            debt: self.total.debt / count,
        };
        for holder in silent {
            let state = self.holders.entry(holder).or_default();
            state.reservation.add_unknown(share, now + LEASE);
            self.reserve(holder);
        }
    }

    /// Answers a holder's report.
    pub fn report(&mut self, now: Now, holder: HolderId, demand: Demand) -> Grant {
        self.roll(now);
        self.sweep(now);
        self.give_back(now, demand.returned);
        if !self.holders.contains_key(&holder) && self.holders.len() >= MAX_HOLDERS {
            return self.nothing();
        }
        self.rise_above(&demand);
        self.note(now, holder, &demand);
        let claim = demand.claim.filter(|claim| claim.token < self.token);
        self.grant(now, holder, claim)
    }

    /// The holders whose need was not met when they reported and can be met by now, with their grants.
    pub fn settle(&mut self, now: Now) -> Vec<(HolderId, Grant)> {
        self.roll(now);
        if self.pool.level() <= 0.0 {
            return Vec::new();
        }
        let waiting: Vec<HolderId> = self
            .holders
            .iter()
            .filter(|(_, state)| state.unmet > 0.0 && now.saturating_sub(state.unmet_at) < NEED_LASTS)
            .map(|(holder, _)| *holder)
            .collect();
        waiting.into_iter().map(|holder| (holder, self.grant(now, holder, None))).collect()
    }

    /// Whether to report to the allocator above at once, since holders need what is not here.
    pub fn urgent(&mut self, now: Now) -> bool {
        self.report_at(now).is_some_and(|at| at <= now)
    }

    /// When to report to the allocator above, ahead of the next regular report, because of holders' needs.
    pub fn report_at(&mut self, now: Now) -> Option<Now> {
        let unmet = self.unmet(now);
        if unmet <= 0.0 {
            return None;
        }
        self.urgency.at_least(now, unmet);
        self.urgency.report_at(now)
    }

    /// What this allocator asks of the one above it.
    pub fn demand(&mut self, now: Now) -> Demand {
        self.roll(now);
        self.urgency.reported(now);
        let claim = self.lease.filter(|(_, until)| *until > now).map(|(grant, until)| Claim {
            token: grant.token,
            number: grant.number,
            rate: grant.rate,
            burst: grant.burst,
            debt: grant.debt,
            left: until - now,
        });
        Demand {
            rate: self.demand_rate(),
            need: self.unmet(now),
            level: self.pool.level(),
            returned: self.pool.take_overflow(),
            claim,
        }
    }

    /// Takes a grant of the allocator above as the total; the report that it answers was sent at `sent_at`.
    pub fn renewed(&mut self, now: Now, sent_at: Now, grant: Grant) -> bool {
        self.roll(now);
        if let Some((held, _)) = &self.lease {
            if (grant.token, grant.number) <= (held.token, held.number) {
                return false;
            }
        }
        let valid_until = sent_at + grant.valid_for;
        self.lineage = grant.lineage;
        self.lease = Some((grant, valid_until));
        self.total = Total { rate: grant.rate, burst: grant.burst, debt: grant.debt, valid_until };
        self.pool.pay(now, grant.credit);
        self.urgency.credited(grant.credit);
        true
    }

    /// What holders asked for just now, and did not get.
    fn unmet(&self, now: Now) -> f64 {
        let recent = |state: &&HolderState| now.saturating_sub(state.unmet_at) < NEED_LASTS;
        let unmet: f64 = self.holders.values().filter(recent).map(|state| state.unmet).sum();
        (unmet - self.pool.level().max(0.0)).max(0.0)
    }

    /// Whether the total runs.
    pub fn valid(&self, now: Now) -> bool {
        self.total.valid_until > now
    }

    /// The sum of the demands of all holders.
    pub fn demand_rate(&self) -> f64 {
        self.holders.values().map(|state| state.demand).sum()
    }

    /// What is in the pool.
    pub fn pool(&self) -> f64 {
        self.pool.level()
    }

    /// The number of holders that hold, or may hold, a lease.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// A holder that shows a grant which this owner has not made has it from an earlier start of this owner
    /// under the same token: the token rises, so that holders take the new grants.
    fn rise_above(&mut self, demand: &Demand) {
        let Some(claim) = demand.claim.filter(|_| self.source == GrantSource::OWNER) else {
            return;
        };
        let unknown = claim.token == self.token && claim.number > self.number;
        if unknown || (claim.token > self.token && claim.token - self.token < TOKENS_OF_ONE_EPOCH) {
            self.token = claim.token + 1;
            self.lineage.token = self.token;
        }
    }

    /// Notes what a holder reported.
    fn note(&mut self, now: Now, holder: HolderId, demand: &Demand) {
        let state = self.holders.entry(holder).or_default();
        self.desired -= state.demand * HEADROOM;
        state.demand = sane(demand.rate);
        self.desired += state.demand * HEADROOM;
        state.unmet = sane(demand.need);
        state.unmet_at = now;
        state.level = if demand.level.is_finite() { demand.level } else { 0.0 };
        if !state.heard {
            state.heard = true;
            state.reservation = Reservation::default();
        }
        match &demand.claim {
            Some(claim) if claim.token == self.token => state.reservation.confirmed(claim),
            Some(claim) if claim.token < self.token && self.source == GrantSource::OWNER => {
                let part = Part { rate: claim.rate, burst: claim.burst, debt: claim.debt };
                state.reservation.add_unknown(part, now + claim.left.min(LEASE));
            }
            _ => {}
        }
        self.reserve(holder);
    }

    /// Makes a grant, and reserves it.
    fn grant(&mut self, now: Now, holder: HolderId, former: Option<Claim>) -> Grant {
        if !self.valid(now) {
            return self.nothing();
        }
        let part = self.part_of(holder, former);
        let credit = self.credit(now, holder, &part);
        self.number += 1;
        let valid_for = LEASE.min(self.total.valid_until - now);
        let grant = Grant {
            source: self.source,
            token: self.token,
            lineage: self.lineage,
            number: self.number,
            rate: part.rate,
            burst: part.burst,
            debt: part.debt,
            credit,
            valid_for,
        };
        if let Some(state) = self.holders.get_mut(&holder) {
            state.reservation.granted(&grant, now + valid_for);
        }
        self.reserve(holder);
        grant
    }

    /// A grant of nothing.
    fn nothing(&mut self) -> Grant {
        self.number += 1;
        Grant {
            source: self.source,
            token: self.token,
            lineage: self.lineage,
            number: self.number,
            rate: 0.0,
            burst: 0.0,
            debt: 0.0,
            credit: 0.0,
            valid_for: Duration::ZERO,
        }
    }

    /// The part of the total for a holder: its demand and a share of the spare, within what is free.
    fn part_of(&self, holder: HolderId, former: Option<Claim>) -> Part {
        let Some(state) = self.holders.get(&holder) else {
            return Part::default();
        };
        let count = self.holders.len().max(1) as f64;
        let desired = state.demand * HEADROOM;
        let spare = self.total.rate - self.desired;
        let rate = if spare >= 0.0 {
            desired + spare * LENT_SPARE / count
        } else {
            desired * self.total.rate / self.desired
        };
        let weight =
            if self.desired > 0.0 { 0.5 / count + 0.5 * desired / self.desired } else { 1.0 / count };
        let burst = self.total.burst * LENT_BURST * weight;
        let debt = self.total.debt * weight;
        let free = |total: f64, reserved: f64, own: f64| (total - (reserved - own)).max(0.0);
        let own = state.reserved;
        let rate = rate.min(free(self.total.rate, self.reserved.rate, own.rate));
        Part {
            rate: rate.max(former.map_or(0.0, |claim| claim.rate.min(self.total.rate))),
            burst: burst.min(free(self.total.burst * LENT_BURST, self.reserved.burst, own.burst)),
            debt: debt.min(free(self.total.debt, self.reserved.debt, own.debt)),
        }
    }

    /// What is paid to a holder out of the pool: its need first, then a top-up of its bucket.
    fn credit(&mut self, now: Now, holder: HolderId, part: &Part) -> f64 {
        let depth = self.pool_depth();
        let count = self.holders.len().max(1) as f64;
        let whole_only = self.source != GrantSource::OWNER;
        let Some(state) = self.holders.get_mut(&holder) else {
            return 0.0;
        };
        let there = self.pool.level().max(0.0);
        let mut credit = 0.0;
        if now.saturating_sub(state.unmet_at) < NEED_LASTS && (!whole_only || state.unmet <= there) {
            credit = state.unmet.min(there);
            state.unmet -= credit;
        }
        let above = (there - credit - depth * TOP_UP_ABOVE).max(0.0);
        let lacking = (part.burst - state.level - credit).max(0.0);
        credit += lacking.min(above / count.sqrt());
        self.pool.take(credit);
        state.level += credit;
        credit
    }

    /// The depth of the pool.
    fn pool_depth(&self) -> f64 {
        (self.total.burst - self.reserved.burst).max(0.0)
    }

    /// What is not lent accrues in the pool.
    fn roll(&mut self, now: Now) {
        let depth = self.pool_depth();
        let spare = (self.total.rate - self.reserved.rate).max(0.0);
        let ends = self.total.valid_until.min(now);
        if self.pool.filled_at() < ends {
            self.pool.fill(ends, spare, depth);
        }
        self.pool.fill(now, 0.0, depth);
    }

    /// A holder gives back what has overflowed its bucket.
    fn give_back(&mut self, now: Now, returned: f64) {
        if self.valid(now) {
            let room = (self.pool_depth() - self.pool.level()).max(0.0);
            let returned = sane(returned).min(self.total.rate * LEASE.as_secs_f64());
            self.pool.pay(now, returned.min(room));
            self.pool.overflowed((returned - room).max(0.0));
        }
    }

    /// Forgets holders whose leases have all ended.
    fn sweep(&mut self, now: Now) {
        if now.saturating_sub(self.swept_at) < SWEEP_EVERY {
            return;
        }
        self.swept_at = now;
        self.holders.retain(|_, state| !state.reservation.expire(now));
        let mut reserved = Part::default();
        let mut desired = 0.0;
        for state in self.holders.values_mut() {
            state.reserved = state.reservation.most();
            reserved = reserved.plus(state.reserved);
            desired += state.demand * HEADROOM;
        }
        self.reserved = reserved;
        self.desired = desired;
    }

    /// Brings the sums up to date after a change of one holder's reservation.
    fn reserve(&mut self, holder: HolderId) {
        if let Some(state) = self.holders.get_mut(&holder) {
            let former = std::mem::replace(&mut state.reserved, state.reservation.most());
            self.reserved = self.reserved.minus(former).plus(state.reserved);
        }
    }
}

/// A peer's figure, if it can be one.
fn sane(figure: f64) -> f64 {
    if figure.is_finite() {
        figure.max(0.0)
    } else {
        0.0
    }
}
