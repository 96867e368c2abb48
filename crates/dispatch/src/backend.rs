//! What a dispatcher keeps of one backend.

use crate::hash::hash_id;
use crate::health::Health;
use crate::interface::{BackendView, ReportedLoad, Timestamp};
use crate::pace::Fading;
use crate::prefix::PrefixCache;
use crate::weights::Weights;
use std::time::Duration;

/// How long a refusal keeps further requests away.
const FULL_FOR: Duration = Duration::from_millis(150);
/// How long the others' running requests are remembered.
const RUNNING_TAU_MS: f64 = 2000.0;
/// How long a backend's pace against its peers is remembered.
const PACE_TAU_MS: f64 = 20_000.0;
const PACE_SHARE: f64 = 0.1;
const PACE_BOUNDS: (f64, f64) = (0.7, 10.0);
/// How slow one that has just started is taken to be.
const COLD_SLOWNESS: f64 = 1.5;
/// A wait by others that is more than a trace of an old one, in ms.
const OTHERS_WAIT_MS: f64 = 20.0;
/// How recently a backend was heard if a failed connection is no sign of its end.
const HEARD_LATELY: Duration = Duration::from_millis(300);
/// Between the events of a stream a backend is silent for this long at the least, in ms.
const USUAL_GAP_MS: f64 = 120.0;

/// A send that has not had its first event.
#[derive(Clone, Copy, Debug)]
struct Pending {
    serial: u32,
    began: Timestamp,
    expected_ms: f64,
}

/// A backend of the view, with what this gateway has out on it and was told by it.
#[derive(Debug)]
pub(crate) struct Backend {
    pub view: BackendView,
    /// Whether it is in the gateway's own zone.
    pub near: bool,
    pub hash: u64,
    /// Since when the view has not held it.
    pub gone_since: Option<Timestamp>,
    /// Sends that have not ended.
    pub in_flight: u32,
    /// Load units of these.
    pub units: f64,
    pub health: Health,
    pub kept: PrefixCache,
    pending: Vec<Pending>,
    /// When all that this gateway sent there has been read.
    free_at: Timestamp,
    /// Since when its silence counts: when anything last came from it, or the first send went out.
    heard: Timestamp,
    answered: Option<Timestamp>,
    full_until: Timestamp,
    others_wait_ms: Fading,
    others_running: Fading,
    pace: Fading,
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

impl Backend {
    pub fn new(view: BackendView, zone: &str, weights: &Weights) -> Backend {
        Backend {
            near: &*view.zone == zone,
            hash: hash_id(&view.id),
            view,
            gone_since: None,
            in_flight: 0,
            units: 0.0,
            health: Health::default(),
            kept: PrefixCache::default(),
            pending: Vec::new(),
            free_at: Timestamp::ZERO,
            heard: Timestamp::ZERO,
            answered: None,
            full_until: Timestamp::ZERO,
            others_wait_ms: Fading::new(0.0, weights.others_tau_ms),
            others_running: Fading::new(0.0, RUNNING_TAU_MS),
            pace: Fading::new(0.0, PACE_TAU_MS),
        }
    }

    /// Whether it may be sent a request, with regard to its health and to what it refused.
    pub fn open(&self, now: Timestamp, idempotent: bool) -> bool {
        self.health.open(now, idempotent) && now >= self.full_until
    }

    /// The most load units that it bears: its slots, by how fast it is against its peers.
    pub fn max_units(&self, now: Timestamp, mean_value: f64) -> f64 {
        f64::from(self.view.slots.max(1)) * mean_value / self.slowness(now)
    }

    /// Load units there: its own sends', and the others' as told.
    pub fn load_units(&self, now: Timestamp, mean_value: f64) -> f64 {
        self.units + self.others_running(now) * mean_value
    }

    /// How long it has said nothing past what a send expected, if nothing came since that began or, where
    /// this gateway itself stood still, since it `resumed`.
    pub fn silent(
        &self,
        now: Timestamp,
        began: Timestamp,
        expected_ms: f64,
        resumed: Timestamp,
    ) -> Option<Duration> {
        let expected = Duration::from_secs_f64(expected_ms / 1e3);
        (self.heard <= began).then(|| now.saturating_sub(began.max(resumed)).saturating_sub(expected))
    }

    /// Whether something came from it a moment ago.
    pub fn heard_lately(&self, now: Timestamp) -> bool {
        self.answered.is_some_and(|answered| now.saturating_sub(answered) <= HEARD_LATELY)
    }

    /// This gateway stood still: what it didn't hear meanwhile was no silence.
    pub fn resume(&mut self, now: Timestamp) {
        self.heard = self.heard.max(now);
    }

    /// How much slower than its peers it is.
    pub fn slowness(&self, now: Timestamp) -> f64 {
        let cold = if now < self.view.warm_at { COLD_SLOWNESS } else { 1.0 };
        cold * self.pace.value(now, 0.0).exp().clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
    }

    /// Requests there that this gateway did not send, as last told.
    pub fn others_running(&self, now: Timestamp) -> f64 {
        self.others_running.value(now, 0.0)
    }

    /// Requests there, own and told.
    pub fn requests(&self, now: Timestamp) -> f64 {
        f64::from(self.in_flight) + self.others_running(now)
    }

    /// Whether requests of others wait there, as last told.
    pub fn others_wait(&self, now: Timestamp) -> bool {
        self.others_wait_ms.value(now, 0.0) > OTHERS_WAIT_MS
    }

    /// Sends that have not had their first event.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// The time until what is there before a new request has been read, `usual` being what its peers' answers
    /// wait for others' requests.
    pub fn wait_ms(&self, now: Timestamp, usual: f64, weights: &Weights) -> f64 {
        let others_ms = self.others_wait_ms.value(now, usual);
        (self.own_wait_ms(now) + others_ms).max(self.silence_ms(now) * weights.silence)
    }

    /// The time until what this gateway sent there has been read.
    pub fn own_wait_ms(&self, now: Timestamp) -> f64 {
        if self.pending.is_empty() {
            0.0
        } else {
            ms(self.free_at.saturating_sub(now))
        }
    }

    /// Streams that run there, own and told.
    pub fn streams(&self, now: Timestamp) -> f64 {
        f64::from(self.in_flight) - self.pending.len() as f64 + self.others_running(now)
    }

    /// How much longer than expected it has been silent, though something should have come.
    pub fn silence_ms(&self, now: Timestamp) -> f64 {
        let oldest = self.pending.iter().min_by_key(|pending| pending.began);
        let waits =
            oldest.map_or(0.0, |of| ms(now.saturating_sub(of.began.max(self.heard))) - of.expected_ms);
        let streams = self.in_flight as usize > self.pending.len();
        let gap = if streams { ms(now.saturating_sub(self.heard)) - USUAL_GAP_MS } else { 0.0 };
        waits.max(gap).max(0.0)
    }

    /// A request goes there that is to be read in `reading_ms`, its first event expected after `expected_ms`.
    pub fn begin(&mut self, now: Timestamp, serial: u32, reading_ms: f64, expected_ms: f64) {
        if self.pending.is_empty() && self.in_flight == 0 {
            // Its silence so far was no sign.
            self.heard = now;
        }
        let from = if self.pending.is_empty() { now } else { self.free_at.max(now) };
        self.free_at = from + Duration::from_secs_f64(reading_ms / 1e3);
        self.pending.push(Pending { serial, began: now, expected_ms });
        self.in_flight += 1;
    }

    /// Something came from it.
    pub fn hear(&mut self, now: Timestamp) {
        self.heard = now;
        self.answered = Some(now);
    }

    /// A send waits for its first event no more.
    pub fn settle(&mut self, serial: u32) {
        self.pending.retain(|pending| pending.serial != serial);
    }

    /// What it says of itself at the head of an answer; `mean_ms` is what one that waits there takes.
    pub fn report(&mut self, now: Timestamp, load: ReportedLoad, mean_ms: f64, usual: f64) {
        let own = self.in_flight.saturating_sub(self.pending.len() as u32);
        let others = load.waiting.saturating_sub(self.pending.len() as u32);
        self.others_wait_ms.see(now, usual, f64::from(others) * mean_ms, 0.5);
        let running = load.running.saturating_sub(own) + others;
        self.others_running.see(now, 0.0, f64::from(running), 1.0);
    }

    /// A first event came this much later than own sends explain, and took `times` what it was expected to.
    pub fn learn(&mut self, now: Timestamp, late_ms: f64, usual: f64, times: f64, share: f64) {
        self.others_wait_ms.see(now, usual, late_ms.max(0.0), share);
        self.pace.see(now, 0.0, times.ln(), PACE_SHARE);
    }

    /// It refused a request.
    pub fn refused(&mut self, now: Timestamp) {
        self.full_until = now + FULL_FOR;
    }
}
