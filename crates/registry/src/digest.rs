//! Sums over records, by which two processes find the ids on which they differ.

use crate::announcement::Digest;
use crate::record::BackendRecord;
use crate::store::Entry;

/// Ids are spread over this many buckets.
const BUCKETS: u64 = 32;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const MIX: u64 = 0xff51_afd7_ed55_8ccd;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The digest of these entries.
pub(crate) fn of<'a>(entries: impl Iterator<Item = &'a Entry>) -> Digest {
    let mut sums = vec![0; BUCKETS as usize];
    for entry in entries {
        let bucket = bucket_of(&entry.record.id);
        if let Some(sum) = sums.get_mut(bucket) {
            *sum ^= sum_of(&entry.record);
        }
    }
    Digest { sums }
}

/// The buckets in which two digests differ; all, when the other was made in another way.
pub(crate) fn differing(ours: &Digest, theirs: &Digest) -> Vec<usize> {
    let comparable = ours.sums.len() == theirs.sums.len();
    let differs = |bucket: &usize| !comparable || ours.sums.get(*bucket) != theirs.sums.get(*bucket);
    (0..ours.sums.len()).filter(differs).collect()
}

/// The bucket of an id.
pub(crate) fn bucket_of(id: &str) -> usize {
    let hash = fnv(FNV_OFFSET, id.as_bytes());
    (mixed(hash) % BUCKETS) as usize
}

/// What tells one state of a record from another.
fn sum_of(record: &BackendRecord) -> u64 {
    let hash = fnv(FNV_OFFSET, record.id.as_bytes());
    let hash = fnv(hash, &record.seq.to_le_bytes());
    let hash = fnv(hash, &record.origin.0.to_le_bytes());
    mixed(fnv(hash, &[record.presence as u8, u8::from(record.draining)]))
}

/// Spreads each bit of a hash over all: the last bytes move only some, and sums must not cancel out.
fn mixed(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(MIX);
    hash ^ (hash >> 29)
}

fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
