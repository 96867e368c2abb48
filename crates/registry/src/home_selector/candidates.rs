//! The control-plane processes that a gateway may dial, and their order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::backoff::{exponential, jitter_factor};
use crate::Now;

/// How long a candidate is not dialled after its first failure; doubles with each further one.
const MIN_COOLDOWN: Duration = Duration::from_millis(400);
const MAX_COOLDOWN: Duration = Duration::from_secs(4);
const MAX_CANDIDATES: usize = 256;

/// How close a process is to the gateway; the closest is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Proximity {
    SameZone,
    SameRegion,
    /// In another region, or in a zone that is not known.
    Elsewhere,
}

#[derive(Clone, Debug)]
struct Candidate {
    zone: Option<String>,
    is_seed: bool,
    /// A random number that orders equal candidates, so that gateways spread over them.
    tie_breaker: u32,
    failures: u32,
    available_at: Now,
}

/// The known candidates, seen from the gateway's zone.
#[derive(Clone, Debug)]
pub(super) struct CandidateSet {
    zone: String,
    regions: BTreeMap<String, String>,
    candidates: BTreeMap<SocketAddr, Candidate>,
}

impl CandidateSet {
    /// An empty set for a gateway in `zone`. `regions` maps each zone to its region.
    pub fn new(zone: String, regions: BTreeMap<String, String>) -> Self {
        Self { zone, regions, candidates: BTreeMap::new() }
    }

    /// Whether no further candidate is accepted.
    pub fn is_full(&self) -> bool {
        self.candidates.len() >= MAX_CANDIDATES
    }

    /// Adds a candidate that may be dialled at once.
    pub fn insert(
        &mut self,
        now: Now,
        address: SocketAddr,
        zone: Option<String>,
        is_seed: bool,
        tie_breaker: u32,
    ) {
        let candidate = Candidate { zone, is_seed, tie_breaker, failures: 0, available_at: now };
        self.candidates.insert(address, candidate);
    }

    /// Sets the zone of a known candidate; returns whether `address` is known.
    pub fn set_zone(&mut self, address: SocketAddr, zone: &str) -> bool {
        let Some(candidate) = self.candidates.get_mut(&address) else {
            return false;
        };
        candidate.zone = Some(zone.to_owned());
        true
    }

    /// Removes all candidates but seeds and those for which `keep` holds.
    pub fn retain_seeds_and(&mut self, keep: impl Fn(SocketAddr) -> bool) {
        self.candidates.retain(|address, candidate| candidate.is_seed || keep(*address));
    }

    /// Records that a candidate answered with a fresh configuration.
    pub fn record_success(&mut self, address: SocketAddr) {
        if let Some(candidate) = self.candidates.get_mut(&address) {
            candidate.failures = 0;
        }
    }

    /// Records a failure of a candidate: it is not dialled for a growing, jittered time.
    pub fn record_failure(&mut self, now: Now, address: SocketAddr, random: &mut fastrand::Rng) {
        let jitter = jitter_factor(random);
        if let Some(candidate) = self.candidates.get_mut(&address) {
            let cooldown = exponential(MIN_COOLDOWN, candidate.failures, MAX_COOLDOWN);
            candidate.failures = candidate.failures.saturating_add(1);
            candidate.available_at = now + cooldown.mul_f64(jitter);
        }
    }

    /// The best candidate to dial besides `followed`: the closest of those that failed least often.
    pub fn best(&self, now: Now, followed: Option<SocketAddr>) -> Option<SocketAddr> {
        self.best_where(now, |address| Some(address) != followed)
    }

    /// The best candidate to dial of those that are closer than `followed`.
    pub fn best_closer_than(&self, now: Now, followed: SocketAddr) -> Option<SocketAddr> {
        let followed_proximity = self.proximity(followed);
        self.best_where(now, |address| self.proximity(address) < followed_proximity)
    }

    /// The earliest time at which a candidate besides `followed` may be dialled.
    pub fn earliest_available_at(&self, followed: Option<SocketAddr>) -> Now {
        let others = self.candidates.iter().filter(|(address, _)| Some(**address) != followed);
        others.map(|(_, candidate)| candidate.available_at).min().unwrap_or(Now::MAX)
    }

    /// How close the process at `address` is.
    pub fn proximity(&self, address: SocketAddr) -> Proximity {
        let zone = self.candidates.get(&address).and_then(|candidate| candidate.zone.as_deref());
        match zone {
            Some(zone) if zone == self.zone => Proximity::SameZone,
            Some(zone) if self.is_same_region(zone) => Proximity::SameRegion,
            _ => Proximity::Elsewhere,
        }
    }

    fn best_where(&self, now: Now, eligible: impl Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        let available = self.candidates.iter().filter(|(_, candidate)| candidate.available_at <= now);
        let eligible = available.filter(|(address, _)| eligible(**address));
        let best = eligible.min_by_key(|(address, candidate)| {
            (candidate.failures, self.proximity(**address), candidate.tie_breaker)
        });
        best.map(|(address, _)| *address)
    }

    fn is_same_region(&self, zone: &str) -> bool {
        let own = self.regions.get(&self.zone);
        own.is_some() && own == self.regions.get(zone)
    }
}
