//! Tenants' quotas at a process of the control plane, in its two roles: owner of some tenants, and home of gateways.

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

use crate::random_ids::random_id;

/// The most demands sent to owners whose answers are still accepted.
const MAX_OUTSTANDING_DEMANDS: usize = 32;
/// An owner whose view is staler than this grants nothing.
const MAX_OWNER_FRESHNESS: Duration = Duration::from_millis(1_000);
/// The parameters of FNV-1a, a hash on which all processes agree.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Demands to be sent to one owner.
pub struct DemandsToSend {
    /// The address of the owner; this process's own for tenants that it owns itself.
    pub to: SocketAddr,
    /// The number that the answer repeats.
    pub number: u64,
    /// The epoch of the view in which that process is the owner.
    pub epoch: u64,
    /// One entry for each tenant.
    pub demands: Vec<TenantDemand>,
}

/// The quotas that this process allocates, as owner and as home.
pub struct Quotas {
    process: ProcessId,
    bounds: QuotaBounds,
    limits: BTreeMap<String, QuotaLimit>,
    owned: BTreeMap<String, Allocator>,
    leased: BTreeMap<String, Allocator>,
    epoch: u64,
    owners: Vec<SocketAddr>,
    local_address: SocketAddr,
    last_number: u64,
    outstanding: VecDeque<(u64, Now)>,
}

impl Quotas {
    /// Owns no tenant and has leased nothing.
    pub fn new(process: ProcessId, local_address: SocketAddr, bounds: QuotaBounds) -> Self {
        Quotas {
            process,
            bounds,
            limits: BTreeMap::new(),
            owned: BTreeMap::new(),
            leased: BTreeMap::new(),
            epoch: 0,
            owners: Vec::new(),
            local_address,
            last_number: 0,
            outstanding: VecDeque::new(),
        }
    }

    /// Applies the limits of a new configuration.
    pub fn configure(&mut self, table: &RoutingTable) {
        self.limits = table
            .tenants()
            .filter(|tenant| tenant.rate_per_s > 0.0)
            .map(|tenant| (tenant.name.clone(), QuotaLimit { rate: tenant.rate_per_s, burst: tenant.burst }))
            .collect();
        let limits = &self.limits;
        self.owned.retain(|tenant, _| limits.contains_key(tenant));
        self.leased.retain(|tenant, _| limits.contains_key(tenant));
    }

    /// Applies a new view. An owner's fencing token begins at its epoch times [`TOKENS_PER_EPOCH`], so a later owner fences
    /// off an earlier one. An allocator is kept only if this process owned the tenant in the immediately preceding view.
    pub fn view_changed(&mut self, view: &View) {
        if view.epoch == self.epoch {
            return;
        }
        let contiguous = view.epoch == self.epoch + 1;
        self.epoch = view.epoch;
        self.owners =
            view.chain.iter().filter_map(|id| view.member(*id)).map(|member| member.address).collect();
        self.owners.sort();
        let (owners, local_address) = (&self.owners, self.local_address);
        self.owned.retain(|tenant, _| contiguous && owner(owners, tenant) == Some(local_address));
    }

    /// Handles a gateway's demands and returns what it may take.
    pub fn report(&mut self, now: Now, holder: HolderId, demands: Vec<TenantDemand>) -> Vec<TenantGrant> {
        let process = self.process;
        let mut grants = Vec::with_capacity(demands.len());
        for TenantDemand { tenant, demand } in demands {
            if !self.limits.contains_key(&tenant) {
                continue;
            }
            let home = GrantSource::home(process.0);
            let allocator = self.leased.entry(tenant.clone()).or_insert_with(|| Allocator::new(now, home, 1));
            let grant = allocator.report(now, holder, demand);
            grants.push(TenantGrant { tenant, grant });
        }
        grants
    }

    /// The periodic demands to the owners of all tenants that this home's gateways use.
    pub fn demands(&mut self, now: Now) -> Vec<DemandsToSend> {
        self.collect_demands(now, |_| true)
    }

    /// The demands to send at once because a gateway needs more than this home has.
    pub fn urgent_demands(&mut self, now: Now) -> Vec<DemandsToSend> {
        self.collect_demands(now, |allocator| allocator.urgent(now))
    }

    fn collect_demands(
        &mut self,
        now: Now,
        mut is_due: impl FnMut(&mut Allocator) -> bool,
    ) -> Vec<DemandsToSend> {
        let mut by_owner: BTreeMap<SocketAddr, Vec<TenantDemand>> = BTreeMap::new();
        for (tenant, allocator) in &mut self.leased {
            if !is_due(allocator) {
                continue;
            }
            let Some(owner) = owner(&self.owners, tenant) else { continue };
            let demand = TenantDemand { tenant: tenant.clone(), demand: allocator.demand(now) };
            by_owner.entry(owner).or_default().push(demand);
        }
        let epoch = self.epoch;
        by_owner.into_iter().map(|(to, demands)| self.track_demands(now, to, epoch, demands)).collect()
    }

    fn track_demands(
        &mut self,
        now: Now,
        to: SocketAddr,
        epoch: u64,
        demands: Vec<TenantDemand>,
    ) -> DemandsToSend {
        self.last_number += 1;
        self.outstanding.push_back((self.last_number, now));
        if self.outstanding.len() > MAX_OUTSTANDING_DEMANDS {
            self.outstanding.pop_front();
        }
        DemandsToSend { to, number: self.last_number, epoch, demands }
    }

    /// Handles a home's demands as the owner of these tenants. Grants nothing if ownership may have ended: another epoch,
    /// or a view whose age (`fresh`) is unknown or too high. `others` are the other homes, which may hold leases.
    pub fn grant_as_owner(
        &mut self,
        now: Now,
        home: ProcessId,
        epoch: u64,
        demands: Vec<TenantDemand>,
        freshness: Option<Duration>,
        others: &[ProcessId],
    ) -> Vec<TenantGrant> {
        if epoch != self.epoch || freshness.is_none_or(|age| age > MAX_OWNER_FRESHNESS) {
            return Vec::new();
        }
        demands.into_iter().filter_map(|demand| self.grant_tenant(now, home, demand, others)).collect()
    }

    fn grant_tenant(
        &mut self,
        now: Now,
        home: ProcessId,
        demand: TenantDemand,
        others: &[ProcessId],
    ) -> Option<TenantGrant> {
        let limit = *self.limits.get(&demand.tenant)?;
        if owner(&self.owners, &demand.tenant) != Some(self.local_address) {
            return None;
        }
        let allocator = self.allocator_of(now, &demand.tenant, limit, others);
        let grant = allocator.report(now, HolderId(home.0), demand.demand);
        Some(TenantGrant { tenant: demand.tenant, grant })
    }

    /// Brings the allocators of all owned tenants up to date, idle ones as well: their unused quota accrues, so that
    /// their first requests find it.
    pub fn refresh_owned(&mut self, now: Now, freshness: Option<Duration>, others: &[ProcessId]) {
        if freshness.is_none_or(|age| age > MAX_OWNER_FRESHNESS) {
            return;
        }
        let (owners, local_address) = (&self.owners, self.local_address);
        let owned: Vec<(String, QuotaLimit)> = self
            .limits
            .iter()
            .filter(|(tenant, _)| owner(owners, tenant) == Some(local_address))
            .map(|(tenant, limit)| (tenant.clone(), *limit))
            .collect();
        for (tenant, limit) in owned {
            self.allocator_of(now, &tenant, limit, others);
        }
    }

    /// The allocator of an owned tenant, with its current limit; created if missing.
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
            Entry::Vacant(vacant) => {
                let token = self.epoch * TOKENS_PER_EPOCH;
                let new = Allocator::new(now, GrantSource::OWNER, token).with_nonce(random_id());
                let allocator = vacant.insert(new);
                allocator.set_total(now, total);
                allocator.rebuild(now, others.iter().map(|process| HolderId(process.0)));
                allocator
            }
        }
    }

    /// Records an owner's answer, and returns what can be granted to gateways at once because of it.
    pub fn grants_received(
        &mut self,
        now: Now,
        number: u64,
        grants: Vec<TenantGrant>,
    ) -> Vec<(HolderId, TenantGrant)> {
        let Some(sent_at) = self.outstanding.iter().find(|(sent, _)| *sent == number).map(|(_, at)| *at)
        else {
            return Vec::new();
        };
        let mut granted = Vec::new();
        for TenantGrant { tenant, grant } in grants {
            let Some(allocator) = self.leased.get_mut(&tenant) else { continue };
            allocator.apply_grant(now, sent_at, grant);
            granted.extend(take_grants(now, &tenant, allocator));
        }
        granted
    }

    /// The grants that have become possible for gateways since their reports.
    pub fn deferred_grants(&mut self, now: Now) -> Vec<(HolderId, TenantGrant)> {
        self.leased.iter_mut().flat_map(|(tenant, allocator)| take_grants(now, tenant, allocator)).collect()
    }

    /// The number of tenants that this process owns.
    pub fn owned_tenants(&self) -> usize {
        self.owned.len()
    }
}

fn take_grants(now: Now, tenant: &str, allocator: &mut Allocator) -> Vec<(HolderId, TenantGrant)> {
    let granted = allocator.grant_pending(now).into_iter();
    granted.map(|(holder, grant)| (holder, TenantGrant { tenant: tenant.to_owned(), grant })).collect()
}

/// The owner of a tenant, by rendezvous hashing of its name with each process's address.
fn owner(owners: &[SocketAddr], tenant: &str) -> Option<SocketAddr> {
    owners.iter().copied().max_by_key(|address| rendezvous_hash(tenant, *address))
}

fn rendezvous_hash(tenant: &str, address: SocketAddr) -> u64 {
    let address_text = address.to_string();
    let bytes = tenant.bytes().chain(address_text.bytes());
    let mixed = bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    mixed ^ (mixed >> 29)
}

#[cfg(test)]
#[path = "../tests/unit/quotas.rs"]
mod tests;
