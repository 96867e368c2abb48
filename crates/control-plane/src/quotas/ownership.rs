//! The owner of each limited tenant's quota. The assignment is cached until the view or the configuration changes, because
//! computing it takes one hash per tenant and owner, too expensive for every tick.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crankpick_quota::QuotaLimit;

/// The parameters of FNV-1a, a hash that gives the same result in all processes.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The limited tenants and their owners.
#[derive(Debug)]
pub(super) struct Ownership {
    local_address: SocketAddr,
    /// The processes that own tenants: the replicas of the chain.
    owners: Vec<SocketAddr>,
    tenants: BTreeMap<String, LimitedTenant>,
    /// The tenants that this process owns.
    owned_here: Vec<String>,
}

#[derive(Clone, Copy, Debug)]
struct LimitedTenant {
    limit: QuotaLimit,
    owner: Option<SocketAddr>,
}

impl Ownership {
    /// Creates an assignment without tenants and owners.
    pub fn new(local_address: SocketAddr) -> Self {
        Ownership { local_address, owners: Vec::new(), tenants: BTreeMap::new(), owned_here: Vec::new() }
    }

    /// Replaces the tenants.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (String, QuotaLimit)>) {
        let tenants = limits.into_iter();
        self.tenants = tenants.map(|(name, limit)| (name, LimitedTenant { limit, owner: None })).collect();
        self.assign();
    }

    /// Replaces the owners.
    pub fn set_owners(&mut self, mut owners: Vec<SocketAddr>) {
        owners.sort();
        self.owners = owners;
        self.assign();
    }

    /// The limit of a tenant, if it has one.
    pub fn limit_of(&self, tenant: &str) -> Option<QuotaLimit> {
        self.tenants.get(tenant).map(|known| known.limit)
    }

    /// The owner of a limited tenant, or `None` while there are no owners.
    pub fn owner_of(&self, tenant: &str) -> Option<SocketAddr> {
        self.tenants.get(tenant).and_then(|known| known.owner)
    }

    /// Whether this process owns a tenant.
    pub fn is_owned_here(&self, tenant: &str) -> bool {
        self.owner_of(tenant) == Some(self.local_address)
    }

    /// The tenants that this process owns, with their limits.
    pub fn owned_here(&self) -> Vec<(String, QuotaLimit)> {
        let owned = self.owned_here.iter();
        owned.filter_map(|tenant| Some((tenant.clone(), self.limit_of(tenant)?))).collect()
    }

    fn assign(&mut self) {
        for (name, tenant) in &mut self.tenants {
            tenant.owner = owner(&self.owners, name);
        }
        let local_address = self.local_address;
        let owned = self.tenants.iter().filter(|(_, tenant)| tenant.owner == Some(local_address));
        self.owned_here = owned.map(|(name, _)| name.clone()).collect();
    }
}

/// The owner of a tenant, by rendezvous hashing of its name and the owners' addresses.
pub(super) fn owner(owners: &[SocketAddr], tenant: &str) -> Option<SocketAddr> {
    owners.iter().copied().max_by_key(|address| rendezvous_hash(tenant, *address))
}

fn rendezvous_hash(tenant: &str, address: SocketAddr) -> u64 {
    let address_text = address.to_string();
    let bytes = tenant.bytes().chain(address_text.bytes());
    let mixed = bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    mixed ^ (mixed >> 29)
}
