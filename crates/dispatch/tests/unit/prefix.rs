use super::{PrefixCache, MAX_PARTS};
use crate::interface::PromptPart;
use std::time::Duration;

fn parts(ids: &[u64]) -> Vec<PromptPart> {
    ids.iter().map(|id| PromptPart { id: *id, tokens: 100 }).collect()
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_part_counts_only_if_all_preceding_parts_are_cached() {
    let mut cache = PrefixCache::default();
    cache.record_prompt(at(0), &parts(&[1, 2, 3]), 10_000);
    assert_eq!(cache.cached_tokens(at(1), &parts(&[1, 2, 9])), 200);
    assert_eq!(cache.cached_tokens(at(1), &parts(&[9, 2, 3])), 0);
}

#[test]
fn least_recently_used_parts_are_evicted() {
    let mut cache = PrefixCache::default();
    cache.record_prompt(at(0), &parts(&[1]), 300);
    cache.record_prompt(at(1), &parts(&[2]), 300);
    cache.record_prompt(at(2), &parts(&[1]), 300);
    cache.record_prompt(at(3), &parts(&[3, 4]), 300);
    let cached = |id| cache.cached_tokens(at(4), &parts(&[id]));
    assert_eq!([cached(1), cached(2), cached(3), cached(4)], [100, 0, 100, 100]);
}

#[test]
fn parts_expire() {
    let mut cache = PrefixCache::default();
    cache.record_prompt(at(0), &parts(&[1]), 10_000);
    assert_eq!(cache.cached_tokens(at(59), &parts(&[1])), 100);
    assert_eq!(cache.cached_tokens(at(61), &parts(&[1])), 0);
}

#[test]
fn memory_is_bounded() {
    let mut cache = PrefixCache::default();
    for id in 0..10 * MAX_PARTS as u64 {
        cache.record_prompt(at(0), &parts(&[id]), u64::MAX / 2);
    }
    assert!(cache.parts.len() <= MAX_PARTS && cache.uses.len() <= MAX_PARTS);
}
