//! Checksums over records, by which two processes find the ids on which they differ.
//!
//! Processes of different builds compare these, so the computation must not change.

use crate::announcement::Digest;
use crate::record::BackendRecord;
use crate::store::Entry;

/// Ids are hashed into this many buckets.
const BUCKETS: u64 = 32;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
const MIX_MULTIPLIER: u64 = 0xff51_afd7_ed55_8ccd;

/// The digest of these entries, independent of their order.
pub(crate) fn digest_of<'a>(entries: impl Iterator<Item = &'a Entry>) -> Digest {
    let mut sums = vec![0; BUCKETS as usize];
    for entry in entries {
        let bucket = bucket_of(&entry.record.id);
        if let Some(sum) = sums.get_mut(bucket) {
            *sum ^= checksum(&entry.record);
        }
    }
    Digest { sums }
}

/// The buckets in which two digests differ; all of them if the other has another number of buckets.
pub(crate) fn differing_buckets(ours: &Digest, theirs: &Digest) -> Vec<usize> {
    let comparable = ours.sums.len() == theirs.sums.len();
    let differs = |bucket: &usize| !comparable || ours.sums.get(*bucket) != theirs.sums.get(*bucket);
    (0..ours.sums.len()).filter(differs).collect()
}

/// The bucket of an id.
pub(crate) fn bucket_of(id: &str) -> usize {
    let hash = fnv1a(FNV_OFFSET, id.as_bytes());
    (mix(hash) % BUCKETS) as usize
}

/// A checksum of those fields of a record that decide a merge.
fn checksum(record: &BackendRecord) -> u64 {
    let hash = fnv1a(FNV_OFFSET, record.id.as_bytes());
    let hash = fnv1a(hash, &record.seq.to_le_bytes());
    let hash = fnv1a(hash, &record.origin.0.to_le_bytes());
    mix(fnv1a(hash, &[record.presence as u8, u8::from(record.draining)]))
}

/// Spreads each bit over the whole hash. The last bytes of FNV-1a change only some bits, and the XOR of such
/// checksums could cancel out.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(MIX_MULTIPLIER);
    hash ^ (hash >> 29)
}

fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
