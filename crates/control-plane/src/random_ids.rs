//! Random identifiers of processes: member ids, incarnations, nonces.

use std::hash::{BuildHasher, RandomState};

/// A random number other than 0, from the operating system's entropy.
///
/// It must not come from a clock: processes that start together, or again after the clock was reset, would get the same
/// number, and two members with one id are taken for one.
pub fn random_id() -> u64 {
    RandomState::new().hash_one(()).max(1)
}

#[cfg(test)]
#[path = "../tests/unit/random_ids.rs"]
mod tests;
