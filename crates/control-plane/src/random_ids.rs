//! Random identifiers: member ids, incarnations and nonces.

use std::hash::{BuildHasher, RandomState};

/// Returns a random nonzero number from the operating system's entropy.
///
/// It must not be derived from a clock: processes that start at the same time, or restart after a clock reset, would get
/// the same number, and two members with the same id are treated as one.
pub fn random_id() -> u64 {
    RandomState::new().hash_one(()).max(1)
}

#[cfg(test)]
#[path = "../tests/unit/random_ids.rs"]
mod tests;
