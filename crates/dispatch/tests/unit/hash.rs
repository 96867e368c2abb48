use super::{hash_id, Circle, Point};
use crate::interface::BackendKey;
use std::collections::BTreeMap;

fn circle(count: u32) -> Circle {
    let point = |index: u32| Point { hash: hash_id(&format!("i-{index}")), backend: BackendKey(index) };
    Circle::new((0..count).map(point).collect())
}

fn first(circle: &Circle, key: u64) -> BackendKey {
    let mut candidates = Vec::new();
    circle.candidates(key, 16, &mut candidates);
    candidates[0]
}

#[test]
fn keys_are_spread_evenly() {
    for count in [9, 18, 200] {
        let circle = circle(count);
        let mut homes: BTreeMap<BackendKey, u32> = BTreeMap::new();
        (0..count * 200).for_each(|key| *homes.entry(first(&circle, u64::from(key))).or_insert(0) += 1);
        let most = homes.values().max().copied().unwrap_or(0);
        // As even as chance has it: 200 each, and four standard deviations.
        assert!(most < 200 + 4 * 15, "{count}: {most}");
        assert_eq!(homes.len() as u32, count);
    }
}

#[test]
fn candidates_are_bounded_and_distinct() {
    let circle = circle(3300);
    for key in 0..100 {
        let mut candidates = Vec::new();
        circle.candidates(key, 16, &mut candidates);
        let mut distinct = candidates.clone();
        distinct.sort();
        distinct.dedup();
        assert_eq!((candidates.len(), distinct.len()), (16, 16));
    }
}

#[test]
fn one_more_backend_takes_few_keys_from_others() {
    let (before, after) = (circle(300), circle(301));
    let moved = (0..3000).filter(|key| first(&before, *key) != first(&after, *key)).count();
    assert!(moved < 3000 / 10, "{moved}");
}

#[test]
fn an_empty_circle_has_no_candidates() {
    let mut candidates = Vec::new();
    Circle::default().candidates(7, 16, &mut candidates);
    assert!(candidates.is_empty());
}
