//! Which control-plane process a gateway follows.
//!
//! One is followed, and at most one other is tried at a time. The own zone's comes first, then those of the
//! same region, then the others. A home whose configuration is fresh is left only for a better placed one
//! that is fresh too; one that is not fresh is left for any that is, else for one that is clearly less
//! stale. Tries are spaced by a growing, jittered pause, so that the sum over all gateways stays bounded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Now;

/// A home whose state is at most this old is fresh.
const FRESH: Duration = Duration::from_millis(600);
/// A try that is not answered within this time has failed.
const TRY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The same for the first try after the followed home has become stale: what is cut off with it is given up soon. It
/// doubles with each try in vain.
const FIRST_TRY_TIMEOUT: Duration = Duration::from_millis(350);
/// A followed home that does not answer for this long is given up.
const SILENCE: Duration = Duration::from_millis(2_000);
/// A stale home is exchanged for another stale one only if that is fresher by this much.
const CLEARLY_FRESHER: Duration = Duration::from_millis(500);
/// The first pause between tries; it doubles with each try in vain.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// The longest pause between tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);
/// How long one candidate is left alone after its first failure; doubles with each.
const FIRST_REST: Duration = Duration::from_millis(400);
/// The longest time that one candidate is left alone.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// How often a better placed home is looked for.
const IMPROVE_EVERY: Duration = Duration::from_secs(5);
/// How soon a better placed home is tried after the first word of it.
const IMPROVE_FIRST: Duration = Duration::from_millis(300);
/// The most candidates kept.
const MAX_CANDIDATES: usize = 256;

/// Where a gateway stands, and whom it knows at first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeChoiceSettings {
    /// The gateway's zone.
    pub zone: String,
    /// The region of each zone.
    pub regions: BTreeMap<String, String>,
    /// The processes known from the settings file, by their internal addresses.
    pub seeds: Vec<SocketAddr>,
}

/// A control-plane process that may be followed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HomeCandidate {
    /// Its internal address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// What a home's answer says of its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeAnswer {
    /// How old its configuration may be; none when it cannot tell.
    pub age: Option<Duration>,
}

/// What the gateway is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeAction {
    /// Connect and send a report.
    Dial(SocketAddr),
    /// From now on, take in what this process tells; it was dialled before.
    Follow(SocketAddr),
    /// Close the connection.
    Close(SocketAddr),
}

#[derive(Clone, Debug)]
struct Candidate {
    zone: Option<String>,
    seed: bool,
    draw: u32,
    failures: u32,
    not_before: Now,
}

/// How old a state was when it was told, by the gateway's clock: it may be older than this process.
#[derive(Clone, Copy, Debug)]
struct Standing {
    answered_at: Now,
    age: Option<Duration>,
}

impl Standing {
    fn of(now: Now, answer: HomeAnswer) -> Self {
        Self { answered_at: now, age: answer.age }
    }

    fn age(&self, now: Now) -> Duration {
        self.age.map_or(Duration::MAX, |age| age + now.saturating_sub(self.answered_at))
    }

    /// Until when it counts as fresh.
    fn fresh_until(&self) -> Option<Now> {
        self.age.map(|age| (self.answered_at + FRESH).saturating_sub(age))
    }
}

/// Chooses which control-plane process a gateway follows.
#[derive(Clone, Debug)]
pub struct HomeChoice {
    zone: String,
    regions: BTreeMap<String, String>,
    candidates: BTreeMap<SocketAddr, Candidate>,
    random: fastrand::Rng,
    followed: Option<(SocketAddr, Standing)>,
    tried: Option<(SocketAddr, Now)>,
    tries_in_vain: u32,
    next_try: Now,
    next_improvement: Now,
    actions: Vec<HomeAction>,
}

impl HomeChoice {
    /// A choice that knows the seeds alone. `seed` draws the jitter.
    pub fn new(now: Now, settings: HomeChoiceSettings, seed: u64) -> Self {
        let mut choice = Self {
            zone: settings.zone,
            regions: settings.regions,
            candidates: BTreeMap::new(),
            random: fastrand::Rng::with_seed(seed),
            followed: None,
            tried: None,
            tries_in_vain: 0,
            next_try: now,
            next_improvement: now,
            actions: Vec::new(),
        };
        for address in settings.seeds {
            choice.add(now, address, None, true);
        }
        choice.next_try = now + choice.jittered(FIRST_PAUSE) / 2;
        choice
    }

    /// The members of the control plane, as a home told them. Others than these and the seeds are forgotten.
    pub fn learned(&mut self, now: Now, members: &[HomeCandidate]) {
        for member in members {
            match self.candidates.get_mut(&member.address) {
                Some(candidate) => candidate.zone = Some(member.zone.clone()),
                None => self.add(now, member.address, Some(member.zone.clone()), false),
            }
        }
        let followed = self.following();
        let is_member = |address: &SocketAddr| members.iter().any(|member| member.address == *address);
        self.candidates
            .retain(|address, candidate| candidate.seed || Some(*address) == followed || is_member(address));
    }

    /// The process that is followed.
    pub fn following(&self) -> Option<SocketAddr> {
        self.followed.map(|(address, _)| address)
    }

    /// How old the state of the followed home may be by now; none when nobody knows.
    pub fn age(&self, now: Now) -> Option<Duration> {
        let (_, standing) = self.followed?;
        standing.age.map(|_| standing.age(now))
    }

    /// A process that was dialled has answered a report.
    pub fn answered(&mut self, now: Now, address: SocketAddr, answer: HomeAnswer) {
        let standing = Standing::of(now, answer);
        match self.followed {
            Some((followed, _)) if followed == address => {
                self.followed = Some((address, standing));
                self.note_freshness(now, address, standing);
            }
            _ if self.tried.is_some_and(|(tried, _)| tried == address) => {
                self.tried = None;
                self.judge(now, address, standing);
            }
            _ => self.actions.push(HomeAction::Close(address)),
        }
    }

    /// A connection failed, could not be made, or was closed.
    pub fn failed(&mut self, now: Now, address: SocketAddr) {
        if self.following() == Some(address) {
            self.followed = None;
            self.tries_in_vain = 0;
            self.next_try = now + self.jittered(FIRST_PAUSE).mul_f64(0.5);
            self.rest(now, address);
        } else if self.tried.is_some_and(|(tried, _)| tried == address) {
            self.tried = None;
            self.in_vain(now, address);
        }
    }

    /// What is to be done by now.
    pub fn poll(&mut self, now: Now) -> Vec<HomeAction> {
        self.give_up_silent(now);
        if self.tried.is_none() {
            if let Some(address) = self.next_candidate(now) {
                self.tried = Some((address, now));
                self.actions.push(HomeAction::Dial(address));
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// When to poll again at the latest, if nothing happens before.
    pub fn wake_at(&self, now: Now) -> Now {
        if !self.actions.is_empty() {
            return now;
        }
        let tried = self.tried.map(|(_, since)| since + self.try_timeout(now));
        let silence = self.followed.map(|(_, standing)| standing.answered_at + SILENCE);
        let next = match (self.tried, self.fresh(now)) {
            (Some(_), true) => Some(self.stale_at(now)),
            (Some(_), false) => None,
            (None, false) => Some(self.next_try.max(self.earliest_candidate())),
            (None, true) => Some(self.next_improvement.min(self.stale_at(now))),
        };
        let times = [tried, silence, next];
        times.into_iter().flatten().min().unwrap_or(now + IMPROVE_EVERY).max(now)
    }

    fn add(&mut self, now: Now, address: SocketAddr, zone: Option<String>, seed: bool) {
        if self.candidates.len() >= MAX_CANDIDATES {
            return;
        }
        let draw = self.random.u32(..);
        let candidate = Candidate { zone, seed, draw, failures: 0, not_before: now };
        self.candidates.insert(address, candidate);
        let soon = now + self.jittered(IMPROVE_FIRST);
        self.next_improvement = self.next_improvement.min(soon);
    }

    /// Decides on a process that has answered its first report.
    fn judge(&mut self, now: Now, address: SocketAddr, standing: Standing) {
        let age = standing.age(now);
        let better = match self.followed {
            None => true,
            Some((followed, held)) if held.age(now) <= FRESH => {
                age <= FRESH && self.rank(address) < self.rank(followed)
            }
            Some((_, held)) => age <= FRESH || age.saturating_add(CLEARLY_FRESHER) < held.age(now),
        };
        if better {
            if let Some((former, _)) = self.followed.replace((address, standing)) {
                self.actions.push(HomeAction::Close(former));
            }
            self.actions.push(HomeAction::Follow(address));
        } else {
            self.actions.push(HomeAction::Close(address));
        }
        if age > FRESH {
            self.in_vain(now, address);
        } else {
            self.note_freshness(now, address, standing);
        }
    }

    fn note_freshness(&mut self, now: Now, address: SocketAddr, standing: Standing) {
        if standing.age(now) > FRESH {
            return;
        }
        self.tries_in_vain = 0;
        if let Some(candidate) = self.candidates.get_mut(&address) {
            candidate.failures = 0;
        }
    }

    fn give_up_silent(&mut self, now: Now) {
        if let Some((address, since)) = self.tried {
            if now.saturating_sub(since) >= self.try_timeout(now) {
                self.tried = None;
                self.actions.push(HomeAction::Close(address));
                self.in_vain(now, address);
            }
        }
        if let Some((address, standing)) = self.followed {
            if now.saturating_sub(standing.answered_at) >= SILENCE {
                self.actions.push(HomeAction::Close(address));
                self.failed(now, address);
            }
        }
    }

    /// The candidate to dial now.
    fn next_candidate(&mut self, now: Now) -> Option<SocketAddr> {
        if !self.fresh(now) {
            return if now >= self.next_try { self.best(now, u8::MAX) } else { None };
        }
        if now < self.next_improvement {
            return None;
        }
        self.next_improvement = now + self.jittered(IMPROVE_EVERY);
        let followed = self.following()?;
        self.best(now, self.rank(followed))
    }

    /// The candidate to dial that ranks below `below`: of those that failed least often, the best placed.
    fn best(&self, now: Now, below: u8) -> Option<SocketAddr> {
        let followed = self.following();
        let eligible = self.candidates.iter().filter(|(address, candidate)| {
            Some(**address) != followed && candidate.not_before <= now && self.rank(**address) < below
        });
        let order = |address: &SocketAddr, candidate: &Candidate| {
            (candidate.failures, self.rank(*address), candidate.draw)
        };
        let best = eligible.min_by_key(|(address, candidate)| order(address, candidate));
        best.map(|(address, _)| *address)
    }

    fn fresh(&self, now: Now) -> bool {
        self.followed.is_some_and(|(_, standing)| standing.age(now) <= FRESH)
    }

    /// How long a try may take.
    fn try_timeout(&self, now: Now) -> Duration {
        if self.fresh(now) {
            TRY_TIMEOUT
        } else {
            doubled(FIRST_TRY_TIMEOUT, self.tries_in_vain, TRY_TIMEOUT)
        }
    }

    fn stale_at(&self, now: Now) -> Now {
        let fresh_until = self.followed.and_then(|(_, standing)| standing.fresh_until());
        fresh_until.map_or(now, |until| until + Duration::from_millis(1))
    }

    fn earliest_candidate(&self) -> Now {
        let followed = self.following();
        let others = self.candidates.iter().filter(|(address, _)| Some(**address) != followed);
        others.map(|(_, candidate)| candidate.not_before).min().unwrap_or(Now::MAX)
    }

    /// The own zone, the own region, the rest; a process whose zone is not known counts to the rest.
    fn rank(&self, address: SocketAddr) -> u8 {
        let zone = self.candidates.get(&address).and_then(|candidate| candidate.zone.as_deref());
        match zone {
            Some(zone) if zone == self.zone => 0,
            Some(zone) if self.same_region(zone) => 1,
            _ => 2,
        }
    }

    fn same_region(&self, zone: &str) -> bool {
        let own = self.regions.get(&self.zone);
        own.is_some() && own == self.regions.get(zone)
    }

    /// A try brought nothing: the next one comes later, and this candidate's later still.
    fn in_vain(&mut self, now: Now, address: SocketAddr) {
        let pause = doubled(FIRST_PAUSE, self.tries_in_vain, LONGEST_PAUSE);
        self.tries_in_vain = self.tries_in_vain.saturating_add(1);
        self.next_try = now + self.jittered(pause);
        self.rest(now, address);
    }

    fn rest(&mut self, now: Now, address: SocketAddr) {
        let jitter = self.random.f64() + 0.5;
        if let Some(candidate) = self.candidates.get_mut(&address) {
            let rest = doubled(FIRST_REST, candidate.failures, LONGEST_REST);
            candidate.failures = candidate.failures.saturating_add(1);
            candidate.not_before = now + rest.mul_f64(jitter);
        }
    }

    /// Between half and one and a half of `pause`.
    fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(self.random.f64() + 0.5)
    }
}

/// `first` doubled `times` times, at most `longest`.
fn doubled(first: Duration, times: u32, longest: Duration) -> Duration {
    first.saturating_mul(1 << times.min(16)).min(longest)
}
