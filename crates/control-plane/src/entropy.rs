//! Numbers that tell one process from every other: identities, incarnations, nonces.

use std::hash::{BuildHasher, RandomState};

/// A number other than 0 from the system's entropy. Never one from a clock: processes that start together, or anew where the
/// clock does, would draw the same, and two members of one name are taken for one.
pub fn draw() -> u64 {
    RandomState::new().hash_one(()).max(1)
}

#[cfg(test)]
#[path = "../tests/unit/entropy.rs"]
mod tests;
