//! What allocators and holders say to each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One start of a process that holds leases: drawn at random at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId(pub u64);

/// Who grants. Leases of different sources add up; one source's grants supersede each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantSource(pub u64);

impl GrantSource {
    /// Whoever owns the tenant, by its fencing token.
    pub const OWNER: Self = Self(0);

    /// A home: one start of a control-plane process.
    pub fn home(process: u64) -> Self {
        Self(process.max(1))
    }
}

/// The owner that a lease comes from in the end. What one owner has lent, a later one does not count: leases
/// of a former lineage end when one of a later lineage is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lineage {
    /// The owner's fencing token.
    pub token: u64,
    /// Drawn at each start of an owner.
    pub nonce: u64,
}

/// What a holder asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// What it is asked for, a second.
    pub rate: f64,
    /// What it lacks for requests that it could not admit just now.
    pub need: f64,
    /// What is in its bucket; below zero when it is in debt.
    pub level: f64,
    /// What has overflowed its bucket since the last report: given back.
    pub returned: f64,
    /// The newest grant of the asked source that it holds.
    pub claim: Option<Claim>,
}

/// The lease that a holder says it holds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The token of its grant.
    pub token: u64,
    /// The number of its grant.
    pub number: u64,
    /// Its rate, a second.
    pub rate: f64,
    /// The depth of its bucket.
    pub burst: f64,
    /// The debt that it may go into.
    pub debt: f64,
    /// How much longer it runs.
    pub left: Duration,
}

/// A lease of a part of a rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Who grants.
    pub source: GrantSource,
    /// The fencing token: a holder takes none that is lower than one it has seen of this source.
    pub token: u64,
    /// The owner that this comes from.
    pub lineage: Lineage,
    /// Rises with each grant under one token.
    pub number: u64,
    /// The rate, a second.
    pub rate: f64,
    /// The depth of the bucket.
    pub burst: f64,
    /// How far the bucket may go below zero.
    pub debt: f64,
    /// Paid into the bucket once, at the arrival of this grant.
    pub credit: f64,
    /// How long the lease runs, from the moment that the report it answers was sent.
    pub valid_for: Duration,
}
