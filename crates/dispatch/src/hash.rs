//! Rendezvous hashing: every gateway finds the same order of backends for a key, without talking.

use crate::interface::BackendKey;

/// Spreads a word over all bits.
pub(crate) fn mix(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// A backend's hash, from its id: the same at all gateways.
pub(crate) fn hash_id(id: &str) -> u64 {
    // FNV-1a; spread, since its high bits are poor.
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash)
}

/// What a backend counts for a key: the highest is the key's first.
pub(crate) fn weight(key: u64, backend: u64) -> u64 {
    mix(key.wrapping_add(0x9e37_79b9_7f4a_7c15) ^ backend)
}

/// Where a hash lies among so many places of equal width. Places between the backends' own hashes would be of unequal
/// width: some backends would be home to several times as many keys as others.
fn scaled(hash: u64, places: usize) -> usize {
    ((u128::from(hash) * places as u128) >> u64::BITS) as usize
}

/// A backend at its place on the circle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Point {
    pub hash: u64,
    pub backend: BackendKey,
}

/// Backends by their hashes. A key's candidates are a bounded arc of them, in rendezvous order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Circle {
    points: Vec<Point>,
}

impl Circle {
    pub fn new(mut points: Vec<Point>) -> Circle {
        points.sort_unstable();
        Circle { points }
    }

    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    pub fn points(&self) -> &[Point] {
        &self.points
    }

    /// At most `most` backends for a key, the key's first before the others.
    pub fn candidates(&self, key: u64, most: usize, into: &mut Vec<BackendKey>) {
        let count = self.points.len();
        if count == 0 {
            return;
        }
        let start = if count <= most { 0 } else { scaled(mix(key), count) };
        let mut arc: Vec<(u64, BackendKey)> = (0..count.min(most))
            .map(|at| self.points[(start + at) % count])
            .map(|point| (weight(key, point.hash), point.backend))
            .collect();
        arc.sort_unstable_by(|a, b| b.cmp(a));
        into.extend(arc.into_iter().map(|(_, backend)| backend));
    }
}

#[cfg(test)]
#[path = "../tests/unit/hash.rs"]
mod tests;
