//! Tenants' quotas at a control-plane process, in its two roles: owner of some tenants, and home of gateways.
//!
//! A home requests quota from the owner of a tenant, and grants its gateways parts of what it was granted. Both use the
//! epoch of their view (`epoch_fence.rs`), because a new view may assign other owners.

mod epoch_fence;
mod outstanding;
mod ownership;

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_configuration::RoutingTable;
use crankpick_control::View;
use crankpick_protocol::{TenantDemand, TenantGrant};
use crankpick_quota::{
    Allocator, GrantSource, HolderId, QuotaBounds, QuotaLimit, LEASE_DURATION, TOKENS_PER_EPOCH,
};
use crankpick_registry::{Now, ProcessId};

use self::epoch_fence::EpochFence;
use self::outstanding::OutstandingDemands;
use self::ownership::Ownership;
use crate::random_ids::random_id;

/// An owner whose view is older than this grants nothing.
const MAX_OWNER_FRESHNESS: Duration = Duration::from_millis(1_000);

/// Demands to be sent to one owner.
pub struct DemandsToSend {
    /// The address of the owner, which may be this process.
    pub to: SocketAddr,
    /// The number to repeat in the answer.
    pub number: u64,
    /// The epoch of the view in which that process is the owner.
    pub epoch: u64,
    /// One entry for each tenant.
    pub demands: Vec<TenantDemand>,
}

/// A home's demands as the owner receives them.
pub struct ReceivedDemands<'a> {
    /// The incarnation of the home.
    pub home: ProcessId,
    /// The epoch of the view in which the receiver owns the tenants.
    pub epoch: u64,
    /// One entry for each tenant.
    pub demands: Vec<TenantDemand>,
    /// The other homes known to the owner, which may hold leases.
    pub other_homes: &'a [ProcessId],
}

/// An owner's answer to demands.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAnswer {
    /// The grants for the tenants that it owns.
    Granted(Vec<TenantGrant>),
    /// The epoch of the demands is outdated; the home must not use it again.
    StaleEpoch,
    /// It is unknown whether this process is still the owner; no answer is sent.
    Unconfirmed,
}

/// A grant for one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayGrant {
    /// The gateway, as a holder of leases.
    pub holder: HolderId,
    /// The grant.
    pub grant: TenantGrant,
}

/// Counts of refused epochs since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusedEpochs {
    /// Demands that this owner refused.
    pub refused_here: u64,
    /// Demands of this home that were refused by an owner.
    pub refused_elsewhere: u64,
}

/// The quotas that this process allocates, as owner and as home.
pub struct Quotas {
    process: ProcessId,
    bounds: QuotaBounds,
    ownership: Ownership,
    owned: BTreeMap<String, Allocator>,
    leased: BTreeMap<String, Allocator>,
    fence: EpochFence,
    outstanding: OutstandingDemands,
    refused_epochs: RefusedEpochs,
}

impl Quotas {
    /// Creates the state of a process that owns no tenants and holds no leases.
    pub fn new(process: ProcessId, local_address: SocketAddr, bounds: QuotaBounds) -> Self {
        Quotas {
            process,
            bounds,
            ownership: Ownership::new(local_address),
            owned: BTreeMap::new(),
            leased: BTreeMap::new(),
            fence: EpochFence::default(),
            outstanding: OutstandingDemands::default(),
            refused_epochs: RefusedEpochs::default(),
        }
    }

    /// Applies the limits of a new configuration.
    pub fn configure(&mut self, table: &RoutingTable) {
        let limited = table.tenants().filter(|tenant| tenant.rate_per_s > 0.0);
        self.ownership.set_limits(limited.map(|tenant| {
            (tenant.name.clone(), QuotaLimit { rate: tenant.rate_per_s, burst: tenant.burst })
        }));
        let ownership = &self.ownership;
        self.owned.retain(|tenant, _| ownership.limit_of(tenant).is_some());
        self.leased.retain(|tenant, _| ownership.limit_of(tenant).is_some());
    }

    /// Applies a new view. An owner's fencing tokens start at its epoch times [`TOKENS_PER_EPOCH`], so a later owner fences
    /// off an earlier one. An allocator is kept only if this process also owned the tenant in the preceding view.
    pub fn view_changed(&mut self, view: &View) {
        let previous = self.fence.own();
        if view.epoch == previous {
            return;
        }
        self.fence.enter(view.epoch);
        let replicas = view.chain.iter().filter_map(|id| view.member(*id));
        self.ownership.set_owners(replicas.map(|member| member.address).collect());
        let is_next = view.epoch == previous + 1;
        let ownership = &self.ownership;
        self.owned.retain(|tenant, _| is_next && ownership.is_owned_here(tenant));
    }

    /// The epoch of this process's view.
    pub fn epoch(&self) -> u64 {
        self.fence.own()
    }

    /// Counts of refused epochs since the start.
    pub fn refused_epochs(&self) -> RefusedEpochs {
        self.refused_epochs
    }

    /// Handles a gateway's demands and returns its grants.
    pub fn report(&mut self, now: Now, holder: HolderId, demands: Vec<TenantDemand>) -> Vec<TenantGrant> {
        let home = GrantSource::home(self.process.0);
        let mut grants = Vec::with_capacity(demands.len());
        for TenantDemand { tenant, demand } in demands {
            if self.ownership.limit_of(&tenant).is_none() {
                continue;
            }
            let allocator = self.leased.entry(tenant.clone()).or_insert_with(|| Allocator::new(now, home, 1));
            let grant = allocator.report(now, holder, demand);
            grants.push(TenantGrant { tenant, grant });
        }
        grants
    }

    /// The periodic demands to the owners of all tenants used by this home's gateways. `freshness` is the age of the view, or
    /// `None` if it was never confirmed.
    pub fn demands(&mut self, now: Now, freshness: Option<Duration>) -> Vec<DemandsToSend> {
        self.collect_demands(now, freshness, |_| true)
    }

    /// The demands to send immediately because a gateway needs more quota than this home has.
    pub fn urgent_demands(&mut self, now: Now, freshness: Option<Duration>) -> Vec<DemandsToSend> {
        self.collect_demands(now, freshness, |allocator| allocator.urgent(now))
    }

    /// Collects the due demands by owner. Returns none if the epoch was refused, or if no majority has confirmed the view
    /// since the start: a process that restarts after a refusal may find the old view on its disk.
    fn collect_demands(
        &mut self,
        now: Now,
        freshness: Option<Duration>,
        mut is_due: impl FnMut(&mut Allocator) -> bool,
    ) -> Vec<DemandsToSend> {
        if freshness.is_none() || !self.fence.is_current() {
            return Vec::new();
        }
        let mut by_owner: BTreeMap<SocketAddr, Vec<TenantDemand>> = BTreeMap::new();
        for (tenant, allocator) in &mut self.leased {
            if !is_due(allocator) {
                continue;
            }
            let Some(owner) = self.ownership.owner_of(tenant) else { continue };
            let demand = TenantDemand { tenant: tenant.clone(), demand: allocator.demand(now) };
            by_owner.entry(owner).or_default().push(demand);
        }
        let epoch = self.fence.own();
        let outstanding = &mut self.outstanding;
        let to_send = by_owner.into_iter().map(|(to, demands)| {
            let number = outstanding.add(now, epoch);
            DemandsToSend { to, number, epoch, demands }
        });
        to_send.collect()
    }

    /// Handles a home's demands as the owner of these tenants. Grants nothing if ownership may have ended, that is, if a
    /// later epoch is in use, or the age of the view (`freshness`) is unknown or too high.
    pub fn grant_as_owner(
        &mut self,
        now: Now,
        received: ReceivedDemands<'_>,
        freshness: Option<Duration>,
    ) -> OwnerAnswer {
        let ReceivedDemands { home, epoch, demands, other_homes } = received;
        self.fence.observe(epoch);
        if epoch < self.fence.own() {
            self.refused_epochs.refused_here += 1;
            return OwnerAnswer::StaleEpoch;
        }
        if !self.fence.is_current() || freshness.is_none_or(|age| age > MAX_OWNER_FRESHNESS) {
            return OwnerAnswer::Unconfirmed;
        }
        let grants =
            demands.into_iter().filter_map(|demand| self.grant_tenant(now, home, demand, other_homes));
        OwnerAnswer::Granted(grants.collect())
    }

    fn grant_tenant(
        &mut self,
        now: Now,
        home: ProcessId,
        demand: TenantDemand,
        other_homes: &[ProcessId],
    ) -> Option<TenantGrant> {
        let limit = self.ownership.limit_of(&demand.tenant)?;
        if !self.ownership.is_owned_here(&demand.tenant) {
            return None;
        }
        let allocator = self.allocator_of(now, &demand.tenant, limit, other_homes);
        let grant = allocator.report(now, HolderId(home.0), demand.demand);
        Some(TenantGrant { tenant: demand.tenant, grant })
    }

    /// Updates the allocators of all owned tenants, including idle ones, whose unused quota accrues so that it is available
    /// to their first requests.
    pub fn refresh_owned(&mut self, now: Now, freshness: Option<Duration>, other_homes: &[ProcessId]) {
        if !self.fence.is_current() || freshness.is_none_or(|age| age > MAX_OWNER_FRESHNESS) {
            return;
        }
        for (tenant, limit) in self.ownership.owned_here() {
            self.allocator_of(now, &tenant, limit, other_homes);
        }
    }

    /// The allocator of an owned tenant with its limit updated, created if missing.
    fn allocator_of(
        &mut self,
        now: Now,
        tenant: &str,
        limit: QuotaLimit,
        other_homes: &[ProcessId],
    ) -> &mut Allocator {
        let total = self.bounds.total(limit, now + LEASE_DURATION);
        match self.owned.entry(tenant.to_owned()) {
            Entry::Occupied(owned) => {
                let allocator = owned.into_mut();
                allocator.set_total(now, total);
                allocator
            }
            Entry::Vacant(vacant) => {
                let token = self.fence.own() * TOKENS_PER_EPOCH;
                let new = Allocator::new(now, GrantSource::OWNER, token).with_nonce(random_id());
                let allocator = vacant.insert(new);
                allocator.set_total(now, total);
                allocator.rebuild(now, other_homes.iter().map(|process| HolderId(process.0)));
                allocator
            }
        }
    }

    /// Records an owner's answer, and returns the grants that gateways can receive because of it. An answer without grants
    /// is a refusal: the epoch of the demands is outdated.
    pub fn grants_received(&mut self, now: Now, number: u64, grants: Vec<TenantGrant>) -> Vec<GatewayGrant> {
        let Some(sent) = self.outstanding.get(number) else { return Vec::new() };
        if grants.is_empty() {
            self.refused_epochs.refused_elsewhere += 1;
            self.fence.refuse(sent.epoch);
            return Vec::new();
        }
        let mut granted = Vec::new();
        for TenantGrant { tenant, grant } in grants {
            let Some(allocator) = self.leased.get_mut(&tenant) else { continue };
            allocator.apply_grant(now, sent.sent_at, grant);
            granted.extend(pending_grants(now, &tenant, allocator));
        }
        granted
    }

    /// The grants that have become available to gateways since their reports.
    pub fn deferred_grants(&mut self, now: Now) -> Vec<GatewayGrant> {
        let leased = self.leased.iter_mut();
        leased.flat_map(|(tenant, allocator)| pending_grants(now, tenant, allocator)).collect()
    }

    /// The number of tenants that this process owns.
    pub fn owned_tenants(&self) -> usize {
        self.owned.len()
    }
}

fn pending_grants(now: Now, tenant: &str, allocator: &mut Allocator) -> Vec<GatewayGrant> {
    let granted = allocator.grant_pending(now).into_iter();
    let granted = granted.map(|(holder, grant)| GatewayGrant {
        holder,
        grant: TenantGrant { tenant: tenant.to_owned(), grant },
    });
    granted.collect()
}

#[cfg(test)]
#[path = "../tests/unit/quotas.rs"]
mod tests;
