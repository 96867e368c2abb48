//! What a process draws can't be told from the time at which it draws it.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::thread;
use std::time::{Duration, Instant};

use super::*;

/// What a generator gives that is seeded from a steady clock and the thread's number.
fn drawn_from_the_clock(at: Instant) -> u64 {
    let mut hasher = DefaultHasher::new();
    at.hash(&mut hasher);
    thread::current().id().hash(&mut hasher);
    fastrand::Rng::with_seed(hasher.finish()).u64(..)
}

/// Whether some moment between two gives that number.
fn is_told_by_the_clock(drawn: u64, since: Instant, until: Instant) -> bool {
    let nanos = until.duration_since(since).as_nanos() as u64;
    (0..=nanos.min(5_000_000)).any(|nano| drawn_from_the_clock(since + Duration::from_nanos(nano)) == drawn)
}

#[test]
fn the_clock_doesnt_tell_what_is_drawn() {
    // A thread of its own: nothing was drawn there before.
    let told = thread::spawn(|| {
        let since = Instant::now();
        let drawn = random_id();
        is_told_by_the_clock(drawn, since, Instant::now())
    });
    assert!(!told.join().unwrap(), "a process that starts at the same moment draws the same");
}

#[test]
fn no_number_is_drawn_twice() {
    let threads: Vec<_> =
        (0..8).map(|_| thread::spawn(|| (0..1_000).map(|_| random_id()).collect::<Vec<u64>>())).collect();
    let drawn: Vec<u64> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    assert_eq!(drawn.iter().collect::<BTreeSet<_>>().len(), drawn.len());
    assert!(!drawn.contains(&0));
}
