//! The messages between allocators and holders. All rates are in units per second, and all amounts in units:
//! tokens or requests, whichever the limit counts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::share::Share;

/// One incarnation of a lease holder: drawn at random at each start of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId(pub u64);

/// The source of a grant. Leases of different sources add up; of one source, a newer grant supersedes the
/// older ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantSource(pub u64);

impl GrantSource {
    /// The owner of the tenant, whichever process it is. Owners are distinguished by their fencing tokens.
    pub const OWNER: Self = Self(0);

    /// A home: one incarnation of a control-plane process.
    pub fn home(process: u64) -> Self {
        Self(process.max(1))
    }
}

/// The incarnation of the owner that a lease descends from. An owner does not know which leases the previous
/// one has granted, so a holder that accepts a lease of a later owner drops its leases of the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OwnerIncarnation {
    /// The owner's fencing token.
    pub token: u64,
    /// A random number, drawn at each start of an owner.
    pub nonce: u64,
}

/// The report of a holder: its demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The rate of its requests, in units per second.
    pub rate: f64,
    /// The additional need for waiting requests, in units.
    pub need: f64,
    /// The level of its bucket, in units; negative if it is in debt.
    pub level: f64,
    /// The overflow of its bucket since its last report, which it returns, in units.
    pub returned: f64,
    /// The newest lease that it has from the source to which it reports.
    #[serde(rename = "claim")]
    pub held_lease: Option<HeldLease>,
}

/// A lease as reported by its holder.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The fencing token of its grant.
    pub token: u64,
    /// The number of its grant.
    pub number: u64,
    /// Its rate, in units per second.
    pub rate: f64,
    /// The depth of its bucket, in units.
    pub burst: f64,
    /// How far its bucket may go below zero, in units.
    pub debt: f64,
    /// The remaining time for which it is valid.
    #[serde(rename = "left")]
    pub remaining: Duration,
}

impl HeldLease {
    /// The lease of `grant`, which is valid for `remaining`.
    pub(crate) fn new(grant: &Grant, remaining: Duration) -> Self {
        let Grant { token, number, rate, burst, debt, .. } = *grant;
        Self { token, number, rate, burst, debt, remaining }
    }

    /// The share of the total that it leases.
    pub(crate) fn share(&self) -> Share {
        Share { rate: self.rate, burst: self.burst, debt: self.debt }
    }
}

/// A lease of a share of a total.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The source of the grant.
    pub source: GrantSource,
    /// The fencing token of the allocator. A holder refuses a grant with a lower token than its
    /// lease of this source has.
    pub token: u64,
    /// The owner that the lease descends from.
    #[serde(rename = "lineage")]
    pub owner: OwnerIncarnation,
    /// The number of this grant, which increases with each grant under one token.
    pub number: u64,
    /// The leased rate, in units per second.
    pub rate: f64,
    /// The depth of the bucket, in units.
    pub burst: f64,
    /// How far the bucket may go below zero, in units.
    pub debt: f64,
    /// Units to pay into the bucket once, when this grant arrives.
    pub credit: f64,
    /// How long the lease is valid, from the time at which the answered report was sent.
    pub valid_for: Duration,
}

impl Grant {
    /// The version by which this supersedes older grants of its source.
    pub(crate) fn version(&self) -> GrantVersion {
        GrantVersion { token: self.token, number: self.number }
    }

    /// The share of the total that it leases.
    pub(crate) fn share(&self) -> Share {
        Share { rate: self.rate, burst: self.burst, debt: self.debt }
    }
}

/// The order of the grants of one source: by fencing token, then by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GrantVersion {
    token: u64,
    number: u64,
}
