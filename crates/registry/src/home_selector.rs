//! Chooses which control-plane process, the gateway's home, a gateway follows.
//!
//! A gateway follows one home and tries at most one other candidate at a time. Candidates of its own zone
//! come first, then those of the same region, then the others. A home whose configuration is fresh is left
//! only for a closer one that is fresh too. A stale home is left for any fresh one, or else for one that is
//! clearly less stale. Attempts are spaced by a growing, jittered interval, which bounds their sum over all
//! gateways.

mod backoff;
mod candidates;
mod freshness;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use self::backoff::{exponential, jittered};
use self::candidates::CandidateSet;
use self::freshness::{ConfigurationFreshness, MAX_FRESH_AGE};
use crate::Now;

/// An attempt without an answer fails after this time.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout of the first attempt while no fresh home is followed; doubles with each failed attempt, up to
/// [`ATTEMPT_TIMEOUT`]. It is short because a candidate may be isolated together with the stale home.
const MIN_STALE_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(350);
/// A followed home that sends no answer for this long is given up.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// A stale home is exchanged for another stale one only if that one is fresher by this much.
const MIN_FRESHNESS_GAIN: Duration = Duration::from_millis(500);
/// The first interval between attempts; doubles with each failed attempt.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(60);
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(1_600);
/// How often a closer home is looked for while the followed one is fresh.
const UPGRADE_INTERVAL: Duration = Duration::from_secs(5);
/// How soon a newly discovered candidate is compared with the followed home.
const DISCOVERY_DELAY: Duration = Duration::from_millis(300);
/// Added to the end of freshness when waiting for it, since freshness includes its last instant.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// The gateway's location, and the control-plane processes it knows at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeSelectorSettings {
    /// The gateway's zone.
    pub zone: String,
    /// The region of each zone, by the zone's name.
    pub regions: BTreeMap<String, String>,
    /// The internal addresses of the processes that the settings file names.
    pub seeds: Vec<SocketAddr>,
}

/// A control-plane process that a gateway may follow.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HomeCandidate {
    /// Its internal address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// The state of a home, as its answer to a report gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeStatus {
    /// An upper bound on the age of its configuration; `None` when the home cannot tell.
    pub configuration_age: Option<Duration>,
}

/// An action that the selector asks its host to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeAction {
    /// Connect to this process and send a report.
    Dial(SocketAddr),
    /// Apply the updates of this process from now on; it was dialled before.
    Follow(SocketAddr),
    /// Close the connection to this process.
    Close(SocketAddr),
}

/// The home that is followed.
#[derive(Clone, Copy, Debug)]
struct FollowedHome {
    address: SocketAddr,
    freshness: ConfigurationFreshness,
}

/// A candidate that was dialled and has not answered yet.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    address: SocketAddr,
    started_at: Now,
}

/// The state machine that chooses which control-plane process a gateway follows.
#[derive(Clone, Debug)]
pub struct HomeSelector {
    candidates: CandidateSet,
    random: fastrand::Rng,
    followed: Option<FollowedHome>,
    attempt: Option<Attempt>,
    failed_attempts: u32,
    next_attempt_at: Now,
    next_upgrade_at: Now,
    actions: Vec<HomeAction>,
}

impl HomeSelector {
    /// Creates a selector that knows only the seeds. `random_seed` determines the jitter.
    pub fn new(now: Now, settings: HomeSelectorSettings, random_seed: u64) -> Self {
        let mut selector = Self {
            candidates: CandidateSet::new(settings.zone, settings.regions),
            random: fastrand::Rng::with_seed(random_seed),
            followed: None,
            attempt: None,
            failed_attempts: 0,
            next_attempt_at: now,
            next_upgrade_at: now,
            actions: Vec::new(),
        };
        for address in settings.seeds {
            selector.add_candidate(now, address, None, true);
        }
        selector.next_attempt_at = now + jittered(&mut selector.random, MIN_RETRY_INTERVAL) / 2;
        selector
    }

    /// Replaces the candidates by the control plane's current members. Seeds and the followed home are kept.
    pub fn set_members(&mut self, now: Now, members: &[HomeCandidate]) {
        for member in members {
            if !self.candidates.set_zone(member.address, &member.zone) {
                self.add_candidate(now, member.address, Some(member.zone.clone()), false);
            }
        }
        let followed = self.followed_home();
        let is_member = |address: SocketAddr| members.iter().any(|member| member.address == address);
        self.candidates.retain_seeds_and(|address| Some(address) == followed || is_member(address));
    }

    /// The address of the home that is followed.
    pub fn followed_home(&self) -> Option<SocketAddr> {
        self.followed.map(|followed| followed.address)
    }

    /// Whether a home is followed whose configuration was the newest one a moment ago.
    pub fn is_fresh(&self, now: Now) -> bool {
        self.followed.is_some_and(|followed| followed.freshness.is_fresh(now))
    }

    /// Records that the dialled process at `address` has answered a report.
    pub fn record_answer(&mut self, now: Now, address: SocketAddr, status: HomeStatus) {
        let freshness = ConfigurationFreshness::new(now, status.configuration_age);
        if self.followed_home() == Some(address) {
            self.followed = Some(FollowedHome { address, freshness });
            if freshness.is_fresh(now) {
                self.reset_backoff(address);
            }
        } else if self.is_attempting(address) {
            self.attempt = None;
            self.evaluate(now, address, freshness);
        } else {
            self.actions.push(HomeAction::Close(address));
        }
    }

    /// Records that the connection to `address` failed, could not be made, or was closed.
    pub fn record_failure(&mut self, now: Now, address: SocketAddr) {
        if self.followed_home() == Some(address) {
            self.followed = None;
            self.failed_attempts = 0;
            self.next_attempt_at = now + jittered(&mut self.random, MIN_RETRY_INTERVAL).mul_f64(0.5);
            self.candidates.record_failure(now, address, &mut self.random);
        } else if self.is_attempting(address) {
            self.attempt = None;
            self.back_off(now, address);
        }
    }

    /// The actions that are due at `now`, in the order in which they are to be carried out.
    pub fn poll(&mut self, now: Now) -> Vec<HomeAction> {
        self.expire_attempt(now);
        self.expire_followed_home(now);
        if self.attempt.is_none() {
            if let Some(address) = self.next_candidate(now) {
                self.attempt = Some(Attempt { address, started_at: now });
                self.actions.push(HomeAction::Dial(address));
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// The latest time at which to call [`poll`](Self::poll) again, if no event arrives before.
    pub fn next_poll_at(&self, now: Now) -> Now {
        if !self.actions.is_empty() {
            return now;
        }
        let attempt_expiry = self.attempt.map(|attempt| attempt.started_at + self.attempt_timeout(now));
        let home_expiry = self.followed.map(|followed| followed.freshness.answered_at() + REPLY_TIMEOUT);
        let next_attempt = match (self.attempt, self.is_fresh(now)) {
            (Some(_), true) => Some(self.stale_at(now)),
            (Some(_), false) => None,
            (None, true) => Some(self.next_upgrade_at.min(self.stale_at(now))),
            (None, false) => {
                let available_at = self.candidates.earliest_available_at(self.followed_home());
                Some(self.next_attempt_at.max(available_at))
            }
        };
        let times = [attempt_expiry, home_expiry, next_attempt];
        times.into_iter().flatten().min().unwrap_or(now + UPGRADE_INTERVAL).max(now)
    }

    fn add_candidate(&mut self, now: Now, address: SocketAddr, zone: Option<String>, is_seed: bool) {
        if self.candidates.is_full() {
            return;
        }
        self.candidates.insert(now, address, zone, is_seed, self.random.u32(..));
        let discovery = now + jittered(&mut self.random, DISCOVERY_DELAY);
        self.next_upgrade_at = self.next_upgrade_at.min(discovery);
    }

    /// Decides whether to follow a process that has answered its first report.
    fn evaluate(&mut self, now: Now, address: SocketAddr, freshness: ConfigurationFreshness) {
        if self.is_better(now, address, freshness) {
            if let Some(former) = self.followed.replace(FollowedHome { address, freshness }) {
                self.actions.push(HomeAction::Close(former.address));
            }
            self.actions.push(HomeAction::Follow(address));
        } else {
            self.actions.push(HomeAction::Close(address));
        }
        if freshness.is_fresh(now) {
            self.reset_backoff(address);
        } else {
            self.back_off(now, address);
        }
    }

    /// Whether a process that has answered is better than the followed home.
    fn is_better(&self, now: Now, address: SocketAddr, freshness: ConfigurationFreshness) -> bool {
        let Some(followed) = self.followed else {
            return true;
        };
        let age = freshness.age(now);
        if followed.freshness.is_fresh(now) {
            let closer = self.candidates.proximity(address) < self.candidates.proximity(followed.address);
            return age <= MAX_FRESH_AGE && closer;
        }
        age <= MAX_FRESH_AGE || age.saturating_add(MIN_FRESHNESS_GAIN) < followed.freshness.age(now)
    }

    /// The next attempts need not wait, and this candidate is good.
    fn reset_backoff(&mut self, address: SocketAddr) {
        self.failed_attempts = 0;
        self.candidates.record_success(address);
    }

    /// Delays the next attempt after one that failed or found a stale home, and this candidate's still more.
    fn back_off(&mut self, now: Now, address: SocketAddr) {
        let interval = exponential(MIN_RETRY_INTERVAL, self.failed_attempts, MAX_RETRY_INTERVAL);
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        self.next_attempt_at = now + jittered(&mut self.random, interval);
        self.candidates.record_failure(now, address, &mut self.random);
    }

    fn expire_attempt(&mut self, now: Now) {
        let Some(attempt) = self.attempt else {
            return;
        };
        if now.saturating_sub(attempt.started_at) >= self.attempt_timeout(now) {
            self.attempt = None;
            self.actions.push(HomeAction::Close(attempt.address));
            self.back_off(now, attempt.address);
        }
    }

    fn expire_followed_home(&mut self, now: Now) {
        let Some(followed) = self.followed else {
            return;
        };
        if now.saturating_sub(followed.freshness.answered_at()) >= REPLY_TIMEOUT {
            self.actions.push(HomeAction::Close(followed.address));
            self.record_failure(now, followed.address);
        }
    }

    /// The candidate to dial now, if any.
    fn next_candidate(&mut self, now: Now) -> Option<SocketAddr> {
        let followed = self.followed_home();
        if !self.is_fresh(now) {
            return if now >= self.next_attempt_at { self.candidates.best(now, followed) } else { None };
        }
        if now < self.next_upgrade_at {
            return None;
        }
        self.next_upgrade_at = now + jittered(&mut self.random, UPGRADE_INTERVAL);
        self.candidates.best_closer_than(now, followed?)
    }

    fn is_attempting(&self, address: SocketAddr) -> bool {
        self.attempt.is_some_and(|attempt| attempt.address == address)
    }

    /// How long the current attempt may take.
    fn attempt_timeout(&self, now: Now) -> Duration {
        if self.is_fresh(now) {
            return ATTEMPT_TIMEOUT;
        }
        exponential(MIN_STALE_ATTEMPT_TIMEOUT, self.failed_attempts, ATTEMPT_TIMEOUT)
    }

    /// When the followed home will have become stale if it sends no further answer.
    fn stale_at(&self, now: Now) -> Now {
        let fresh_until = self.followed.and_then(|followed| followed.freshness.fresh_until());
        fresh_until.map_or(now, |until| until + CLOCK_STEP)
    }
}
