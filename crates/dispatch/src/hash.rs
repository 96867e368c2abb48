//! Rendezvous hashing: all gateways compute the same order of backends for a key without communicating.

use crate::interface::BackendKey;

/// Mixes the bits of a word (the SplitMix64 finalizer).
pub(crate) fn mix(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// The hash of a backend id; identical at all gateways.
pub(crate) fn hash_id(id: &str) -> u64 {
    // FNV-1a, mixed further because its high bits are poorly distributed.
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash)
}

/// The rendezvous weight of a backend for a key. The backend with the highest weight is the key's home.
pub(crate) fn weight(key: u64, backend: u64) -> u64 {
    mix(key.wrapping_add(0x9e37_79b9_7f4a_7c15) ^ backend)
}

/// Maps a hash to one of `buckets` ranges of equal width. Ranges delimited by the hashes of the backends would have
/// unequal widths, and some backends would be home to several times as many keys as others.
fn scale_to_range(hash: u64, buckets: usize) -> usize {
    ((u128::from(hash) * buckets as u128) >> u64::BITS) as usize
}

/// A backend on the hash ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RingEntry {
    pub hash: u64,
    pub backend: BackendKey,
}

/// Backends ordered by hash. The candidates for a key are a bounded window of consecutive entries, in rendezvous order.
#[derive(Clone, Debug, Default)]
pub(crate) struct HashRing {
    entries: Vec<RingEntry>,
}

impl HashRing {
    pub fn new(mut entries: Vec<RingEntry>) -> HashRing {
        entries.sort_unstable();
        HashRing { entries }
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn entries(&self) -> &[RingEntry] {
        &self.entries
    }

    /// Appends at most `limit` backends for a key to `output`, ordered by descending rendezvous weight.
    pub fn candidates(&self, key: u64, limit: usize, output: &mut Vec<BackendKey>) {
        let count = self.entries.len();
        if count == 0 {
            return;
        }
        let start = if count <= limit { 0 } else { scale_to_range(mix(key), count) };
        let mut window: Vec<(u64, BackendKey)> = (0..count.min(limit))
            .map(|at| self.entries[(start + at) % count])
            .map(|entry| (weight(key, entry.hash), entry.backend))
            .collect();
        window.sort_unstable_by(|a, b| b.cmp(a));
        output.extend(window.into_iter().map(|(_, backend)| backend));
    }
}

#[cfg(test)]
#[path = "../tests/unit/hash.rs"]
mod tests;
