//! Random ids can't be derived from the time at which they are generated.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::thread;
use std::time::{Duration, Instant};

use super::*;

/// The first number of a generator seeded from the monotonic clock and the thread id.
fn clock_seeded_id(at: Instant) -> u64 {
    let mut hasher = DefaultHasher::new();
    at.hash(&mut hasher);
    thread::current().id().hash(&mut hasher);
    fastrand::Rng::with_seed(hasher.finish()).u64(..)
}

/// Whether some instant in an interval, of at most 5 ms, gives this id.
fn is_clock_seeded(id: u64, since: Instant, until: Instant) -> bool {
    let nanos = until.duration_since(since).as_nanos() as u64;
    (0..=nanos.min(5_000_000)).any(|nano| clock_seeded_id(since + Duration::from_nanos(nano)) == id)
}

#[test]
fn ids_are_not_derived_from_the_clock() {
    // A new thread, in which no id was generated before.
    let is_predictable = thread::spawn(|| {
        let since = Instant::now();
        let id = random_id();
        is_clock_seeded(id, since, Instant::now())
    });
    assert!(!is_predictable.join().unwrap(), "processes that start at the same instant get the same id");
}

#[test]
fn ids_are_distinct() {
    let threads: Vec<_> =
        (0..8).map(|_| thread::spawn(|| (0..1_000).map(|_| random_id()).collect::<Vec<u64>>())).collect();
    let ids: Vec<u64> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    assert_eq!(ids.iter().collect::<BTreeSet<_>>().len(), ids.len());
    assert!(!ids.contains(&0));
}
