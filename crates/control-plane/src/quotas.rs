//! Tenants' quotas at a process of the control plane: as the owner of some tenants, and as the home of its gateways.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_configuration::RoutingTable;
use crankpick_control::View;
use crankpick_protocol::{TenantDemand, TenantGrant};
use crankpick_quota::{
    Allocator, GrantSource, HolderId, QuotaBounds, QuotaLimit, LEASE_DURATION, TOKENS_PER_EPOCH,
};
use crankpick_registry::{Now, ProcessId};

use crate::entropy;

/// Reports to owners whose answers may still come.
const REPORTS: usize = 32;
/// An owner that can't be sure of its view grants nothing.
const OWNER_FRESHNESS: Duration = Duration::from_millis(1_000);
/// FNV-1a, for a hash that all processes agree on.
const HASH_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Demands on their way to one owner.
pub struct DemandsToSend {
    /// The owner's address; this process's own for its own tenants.
    pub to: SocketAddr,
    /// Names them in the answer.
    pub number: u64,
    /// The view's epoch.
    pub epoch: u64,
    /// By tenant.
    pub demands: Vec<TenantDemand>,
}

/// Both parts in quotas.
pub struct Quotas {
    me: ProcessId,
    bounds: QuotaBounds,
    limits: BTreeMap<String, QuotaLimit>,
    owned: BTreeMap<String, Allocator>,
    lent: BTreeMap<String, Allocator>,
    epoch: u64,
    owners: Vec<SocketAddr>,
    own_address: SocketAddr,
    last_number: u64,
    sent: VecDeque<(u64, Now)>,
}

impl Quotas {
    /// Nothing owned and nothing lent.
    pub fn new(me: ProcessId, own_address: SocketAddr, bounds: QuotaBounds) -> Self {
        Quotas {
            me,
            bounds,
            limits: BTreeMap::new(),
            owned: BTreeMap::new(),
            lent: BTreeMap::new(),
            epoch: 0,
            owners: Vec::new(),
            own_address,
            last_number: 0,
            sent: VecDeque::new(),
        }
    }

    /// Another configuration is in force.
    pub fn configure(&mut self, table: &RoutingTable) {
        self.limits = table
            .tenants()
            .filter(|tenant| tenant.rate_per_s > 0.0)
            .map(|tenant| (tenant.name.clone(), QuotaLimit { rate: tenant.rate_per_s, burst: tenant.burst }))
            .collect();
        let limits = &self.limits;
        self.owned.retain(|tenant, _| limits.contains_key(tenant));
        self.lent.retain(|tenant, _| limits.contains_key(tenant));
    }

    /// Another view is in force: its epoch is the token under which tenants are owned. Allocators stay where this process
    /// owned the tenant in the view right before.
    pub fn view_changed(&mut self, view: &View) {
        if view.epoch == self.epoch {
            return;
        }
        let contiguous = view.epoch == self.epoch + 1;
        self.epoch = view.epoch;
        self.owners =
            view.chain.iter().filter_map(|id| view.member(*id)).map(|member| member.address).collect();
        self.owners.sort();
        let (owners, own_address) = (&self.owners, self.own_address);
        self.owned.retain(|tenant, _| contiguous && owner(owners, tenant) == Some(own_address));
    }

    /// A gateway's demands, answered with what it may take.
    pub fn report(&mut self, now: Now, holder: HolderId, demands: Vec<TenantDemand>) -> Vec<TenantGrant> {
        let me = self.me;
        let mut grants = Vec::with_capacity(demands.len());
        for TenantDemand { tenant, demand } in demands {
            if !self.limits.contains_key(&tenant) {
                continue;
            }
            let home = GrantSource::home(me.0);
            let lent = self.lent.entry(tenant.clone()).or_insert_with(|| Allocator::new(now, home, 1));
            let grant = lent.report(now, holder, demand);
            grants.push(TenantGrant { tenant, grant });
        }
        grants
    }

    /// What this home asks of the owners of the tenants that its gateways use, at intervals.
    pub fn demands(&mut self, now: Now) -> Vec<DemandsToSend> {
        self.demands_of(now, |_| true)
    }

    /// What it asks at once, since a gateway needs what is not here.
    pub fn urgent_demands(&mut self, now: Now) -> Vec<DemandsToSend> {
        self.demands_of(now, |lent| lent.urgent(now))
    }

    fn demands_of(&mut self, now: Now, mut asks: impl FnMut(&mut Allocator) -> bool) -> Vec<DemandsToSend> {
        let mut by_owner: BTreeMap<SocketAddr, Vec<TenantDemand>> = BTreeMap::new();
        for (tenant, lent) in &mut self.lent {
            if !asks(lent) {
                continue;
            }
            let Some(owner) = owner(&self.owners, tenant) else { continue };
            let demand = TenantDemand { tenant: tenant.clone(), demand: lent.demand(now) };
            by_owner.entry(owner).or_default().push(demand);
        }
        let epoch = self.epoch;
        by_owner.into_iter().map(|(to, demands)| self.send(now, to, epoch, demands)).collect()
    }

    fn send(&mut self, now: Now, to: SocketAddr, epoch: u64, demands: Vec<TenantDemand>) -> DemandsToSend {
        self.last_number += 1;
        self.sent.push_back((self.last_number, now));
        if self.sent.len() > REPORTS {
            self.sent.pop_front();
        }
        DemandsToSend { to, number: self.last_number, epoch, demands }
    }

    /// A home's demands at this process, as the owner of these tenants. Nothing where it may not be that any more.
    pub fn own(
        &mut self,
        now: Now,
        home: ProcessId,
        epoch: u64,
        demands: Vec<TenantDemand>,
        fresh: Option<Duration>,
        others: &[ProcessId],
    ) -> Vec<TenantGrant> {
        if epoch != self.epoch || fresh.is_none_or(|age| age > OWNER_FRESHNESS) {
            return Vec::new();
        }
        demands.into_iter().filter_map(|demand| self.own_one(now, home, demand, others)).collect()
    }

    fn own_one(
        &mut self,
        now: Now,
        home: ProcessId,
        asked: TenantDemand,
        others: &[ProcessId],
    ) -> Option<TenantGrant> {
        let limit = *self.limits.get(&asked.tenant)?;
        if owner(&self.owners, &asked.tenant) != Some(self.own_address) {
            return None;
        }
        let allocator = self.allocator_of(now, &asked.tenant, limit, others);
        let grant = allocator.report(now, HolderId(home.0), asked.demand);
        Some(TenantGrant { tenant: asked.tenant, grant })
    }

    /// Keeps what this process owns up to date, also of tenants that nobody asks for: what they don't use accrues, so
    /// that their first requests find it.
    pub fn hold(&mut self, now: Now, fresh: Option<Duration>, others: &[ProcessId]) {
        if fresh.is_none_or(|age| age > OWNER_FRESHNESS) {
            return;
        }
        let (owners, own_address) = (&self.owners, self.own_address);
        let owned: Vec<(String, QuotaLimit)> = self
            .limits
            .iter()
            .filter(|(tenant, _)| owner(owners, tenant) == Some(own_address))
            .map(|(tenant, limit)| (tenant.clone(), *limit))
            .collect();
        for (tenant, limit) in owned {
            self.allocator_of(now, &tenant, limit, others);
        }
    }

    /// The allocator of a tenant that this process owns, by its limit as it is now.
    fn allocator_of(
        &mut self,
        now: Now,
        tenant: &str,
        limit: QuotaLimit,
        others: &[ProcessId],
    ) -> &mut Allocator {
        let total = self.bounds.total(limit, now + LEASE_DURATION);
        match self.owned.entry(tenant.to_owned()) {
            Entry::Occupied(owned) => {
                let allocator = owned.into_mut();
                allocator.set_total(now, total);
                allocator
            }
            Entry::Vacant(place) => {
                let token = self.epoch * TOKENS_PER_EPOCH;
                let fresh = Allocator::new(now, GrantSource::OWNER, token).with_nonce(entropy::draw());
                let allocator = place.insert(fresh);
                allocator.set_total(now, total);
                allocator.rebuild(now, others.iter().map(|process| HolderId(process.0)));
                allocator
            }
        }
    }

    /// An owner's answer. What can be lent on at once to gateways that lack it.
    pub fn granted(
        &mut self,
        now: Now,
        number: u64,
        grants: Vec<TenantGrant>,
    ) -> Vec<(HolderId, TenantGrant)> {
        let Some(sent_at) = self.sent.iter().find(|(sent, _)| *sent == number).map(|(_, at)| *at) else {
            return Vec::new();
        };
        let mut settled = Vec::new();
        for TenantGrant { tenant, grant } in grants {
            let Some(lent) = self.lent.get_mut(&tenant) else { continue };
            lent.apply_grant(now, sent_at, grant);
            settled.extend(settle(now, &tenant, lent));
        }
        settled
    }

    /// What can be lent by now to gateways that lacked it when they reported.
    pub fn settle(&mut self, now: Now) -> Vec<(HolderId, TenantGrant)> {
        self.lent.iter_mut().flat_map(|(tenant, lent)| settle(now, tenant, lent)).collect()
    }

    /// The number of tenants owned here.
    pub fn owned(&self) -> usize {
        self.owned.len()
    }
}

fn settle(now: Now, tenant: &str, lent: &mut Allocator) -> Vec<(HolderId, TenantGrant)> {
    let settled = lent.grant_pending(now).into_iter();
    settled.map(|(holder, grant)| (holder, TenantGrant { tenant: tenant.to_owned(), grant })).collect()
}

/// Who owns a tenant: the highest of the hashes of its name with each process's address.
fn owner(owners: &[SocketAddr], tenant: &str) -> Option<SocketAddr> {
    owners.iter().copied().max_by_key(|address| hash(tenant, *address))
}

fn hash(tenant: &str, address: SocketAddr) -> u64 {
    let place = address.to_string();
    let bytes = tenant.bytes().chain(place.bytes());
    let mixed = bytes.fold(HASH_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(HASH_PRIME));
    mixed ^ (mixed >> 29)
}

#[cfg(test)]
#[path = "../tests/unit/quotas.rs"]
mod tests;
