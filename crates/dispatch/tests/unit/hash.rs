use super::{hash_id, HashRing, RingEntry};
use crate::interface::BackendKey;
use std::collections::BTreeMap;

fn ring(count: u32) -> HashRing {
    let entry = |index: u32| RingEntry { hash: hash_id(&format!("i-{index}")), backend: BackendKey(index) };
    HashRing::new((0..count).map(entry).collect())
}

fn home(ring: &HashRing, key: u64) -> BackendKey {
    let mut candidates = Vec::new();
    ring.candidates(key, 16, &mut candidates);
    candidates[0]
}

#[test]
fn keys_are_distributed_evenly() {
    for count in [9, 18, 200] {
        let ring = ring(count);
        let mut homes: BTreeMap<BackendKey, u32> = BTreeMap::new();
        (0..count * 200).for_each(|key| *homes.entry(home(&ring, u64::from(key))).or_insert(0) += 1);
        let most = homes.values().max().copied().unwrap_or(0);
        // A random distribution has a mean of 200 keys per backend and a standard deviation below 15; four are allowed.
        assert!(most < 200 + 4 * 15, "{count}: {most}");
        assert_eq!(homes.len() as u32, count);
    }
}

#[test]
fn candidates_are_bounded_and_distinct() {
    let ring = ring(3300);
    for key in 0..100 {
        let mut candidates = Vec::new();
        ring.candidates(key, 16, &mut candidates);
        let mut distinct = candidates.clone();
        distinct.sort();
        distinct.dedup();
        assert_eq!((candidates.len(), distinct.len()), (16, 16));
    }
}

#[test]
fn adding_a_backend_moves_few_keys() {
    let (before, after) = (ring(300), ring(301));
    let moved = (0..3000).filter(|key| home(&before, *key) != home(&after, *key)).count();
    assert!(moved < 3000 / 10, "{moved}");
}

#[test]
fn an_empty_ring_has_no_candidates() {
    let mut candidates = Vec::new();
    HashRing::default().candidates(7, 16, &mut candidates);
    assert!(candidates.is_empty());
}
