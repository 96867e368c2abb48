//! Per-backend state: in-flight attempts, estimated load, speed, health and cached prompt parts.

use crate::hash::hash_id;
use crate::health::Health;
use crate::interface::{BackendView, ReportedLoad, Timestamp};
use crate::latency::DecayingMean;
use crate::prefix::PrefixCache;
use crate::weights::Weights;
use std::time::Duration;

/// How long a backend receives no requests after it refused one.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);
/// Decay time constant of the number of running requests from other gateways.
const EXTERNAL_RUNNING_DECAY_MS: f64 = 2000.0;
/// Decay time constant of the slowness of a backend relative to its peers.
const SLOWNESS_DECAY_MS: f64 = 20_000.0;
const SLOWNESS_SMOOTHING: f64 = 0.1;
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 10.0);
/// The assumed slowness of a backend that is still warming up.
const COLD_SLOWNESS: f64 = 1.5;
/// An external wait below this, in ms, is taken for the decayed remainder of an old one.
const MIN_EXTERNAL_WAIT_MS: f64 = 20.0;
/// If the backend responded this recently, a failed connection does not mean that it is down.
const RECENT_RESPONSE: Duration = Duration::from_millis(300);
/// The gap between stream events, in ms, up to which a backend does not count as silent.
const TYPICAL_EVENT_GAP_MS: f64 = 120.0;

/// An attempt that is waiting for its first event.
#[derive(Clone, Copy, Debug)]
struct Pending {
    serial: u32,
    priority: u8,
    prefill_ms: f64,
    began: Timestamp,
    expected_ms: f64,
}

/// A backend of the fleet view, with this gateway's in-flight attempts and the load that the backend reported.
#[derive(Debug)]
pub(crate) struct Backend {
    pub view: BackendView,
    /// Whether the backend is in this gateway's zone.
    pub same_zone: bool,
    pub hash: u64,
    /// When the backend disappeared from the fleet view.
    pub gone_since: Option<Timestamp>,
    /// The number of attempts in flight.
    pub in_flight: u32,
    /// The sum of the load units of the attempts in flight.
    pub units: f64,
    pub health: Health,
    /// The prompt parts that the backend is estimated to have cached.
    pub prefix_cache: PrefixCache,
    pending: Vec<Pending>,
    /// When the prefill of all prompts that this gateway sent is expected to be complete.
    prefill_done_at: Timestamp,
    /// The start of the current silence: the last sign of life, or the first attempt sent to the idle backend.
    silent_since: Timestamp,
    /// When a response or an event last arrived.
    last_response: Option<Timestamp>,
    refusing_until: Timestamp,
    /// The estimated wait caused by requests of other gateways, in ms.
    external_wait_ms: DecayingMean,
    external_running: DecayingMean,
    /// The logarithm of the slowness relative to the peers.
    log_slowness: DecayingMean,
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

impl Backend {
    pub fn new(view: BackendView, zone: &str, weights: &Weights) -> Backend {
        Backend {
            same_zone: &*view.zone == zone,
            hash: hash_id(&view.id),
            view,
            gone_since: None,
            in_flight: 0,
            units: 0.0,
            health: Health::default(),
            prefix_cache: PrefixCache::default(),
            pending: Vec::new(),
            prefill_done_at: Timestamp::ZERO,
            silent_since: Timestamp::ZERO,
            last_response: None,
            refusing_until: Timestamp::ZERO,
            external_wait_ms: DecayingMean::new(0.0, weights.external_wait_decay_ms),
            external_running: DecayingMean::new(0.0, EXTERNAL_RUNNING_DECAY_MS),
            log_slowness: DecayingMean::new(0.0, SLOWNESS_DECAY_MS),
        }
    }

    /// Whether the backend accepts a request now, given its health and recent refusals.
    pub fn open(&self, now: Timestamp, idempotent: bool) -> bool {
        self.health.open(now, idempotent) && now >= self.refusing_until
    }

    /// The capacity in load units: the slots times the mean load units of a request, divided by the slowness.
    pub fn max_load_units(&self, now: Timestamp, mean_load_units: f64) -> f64 {
        f64::from(self.view.slots.max(1)) * mean_load_units / self.slowness(now)
    }

    /// The current load units: those of own attempts plus an estimate for the reported requests of others.
    pub fn load_units(&self, now: Timestamp, mean_load_units: f64) -> f64 {
        self.units + self.external_running(now) * mean_load_units
    }

    /// How long the backend has been silent beyond the expected time of an attempt; `None` if anything arrived after
    /// the attempt began. If this process was stalled, the time counts from `resumed`.
    pub fn overdue_silence(
        &self,
        now: Timestamp,
        began: Timestamp,
        expected_ms: f64,
        resumed: Timestamp,
    ) -> Option<Duration> {
        let expected = Duration::from_secs_f64(expected_ms / 1e3);
        (self.silent_since <= began).then(|| now.saturating_sub(began.max(resumed)).saturating_sub(expected))
    }

    /// Whether a response or an event arrived within `RECENT_RESPONSE`.
    pub fn responded_recently(&self, now: Timestamp) -> bool {
        self.last_response.is_some_and(|at| now.saturating_sub(at) <= RECENT_RESPONSE)
    }

    /// Restarts the measurement of silence after a stall of this process, during which nothing could be received.
    pub fn resume(&mut self, now: Timestamp) {
        self.silent_since = self.silent_since.max(now);
    }

    /// The factor by which the backend is slower than its peers.
    pub fn slowness(&self, now: Timestamp) -> f64 {
        let cold = if now < self.view.warm_at { COLD_SLOWNESS } else { 1.0 };
        cold * self.log_slowness.value(now, 0.0).exp().clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1)
    }

    /// The number of requests from other gateways, as last reported.
    pub fn external_running(&self, now: Timestamp) -> f64 {
        self.external_running.value(now, 0.0)
    }

    /// The total number of requests, own and reported.
    pub fn requests(&self, now: Timestamp) -> f64 {
        f64::from(self.in_flight) + self.external_running(now)
    }

    /// Whether requests of other gateways are queued, as last reported.
    pub fn has_external_wait(&self, now: Timestamp) -> bool {
        self.external_wait_ms.value(now, 0.0) > MIN_EXTERNAL_WAIT_MS
    }

    /// The number of attempts waiting for their first event.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// The estimated wait of a new request until the prefill of all requests in front of it is complete, in ms.
    /// `baseline` is the mean wait for requests of other gateways over all backends of the service, `priority_ratio`
    /// the wait of this priority relative to the mean.
    pub fn wait_ms(
        &self,
        now: Timestamp,
        priority: u8,
        priority_ratio: f64,
        baseline: f64,
        weights: &Weights,
    ) -> f64 {
        let external_ms = self.external_wait_ms.value(now, baseline) * priority_ratio;
        let wait_ms = self.prefill_wait_ahead_ms(now, priority) + external_ms;
        wait_ms.max(self.silence_ms(now) * weights.silence_wait_factor)
    }

    /// The time until the prefill of this gateway's own attempts of at least this priority is complete, in ms: more
    /// urgent requests are scheduled first.
    fn prefill_wait_ahead_ms(&self, now: Timestamp, priority: u8) -> f64 {
        let all_ms: f64 = self.pending.iter().map(|pending| pending.prefill_ms).sum();
        let ahead = self.pending.iter().filter(|pending| pending.priority <= priority);
        let ahead_ms: f64 = ahead.map(|pending| pending.prefill_ms).sum();
        if all_ms > 0.0 {
            self.own_prefill_wait_ms(now) * ahead_ms / all_ms
        } else {
            0.0
        }
    }

    /// The time until the prefill of this gateway's own attempts is complete, in ms.
    pub fn own_prefill_wait_ms(&self, now: Timestamp) -> f64 {
        if self.pending.is_empty() {
            0.0
        } else {
            ms(self.prefill_done_at.saturating_sub(now))
        }
    }

    /// The number of running streams, own and reported.
    pub fn active_streams(&self, now: Timestamp) -> f64 {
        f64::from(self.in_flight) - self.pending.len() as f64 + self.external_running(now)
    }

    /// How long the backend has been silent past the time when a first event or a further stream event was due, in ms.
    pub fn silence_ms(&self, now: Timestamp) -> f64 {
        let oldest = self.pending.iter().min_by_key(|pending| pending.began);
        let first_event_overdue_ms = oldest.map_or(0.0, |pending| {
            ms(now.saturating_sub(pending.began.max(self.silent_since))) - pending.expected_ms
        });
        let streaming = self.in_flight as usize > self.pending.len();
        let stream_overdue_ms =
            if streaming { ms(now.saturating_sub(self.silent_since)) - TYPICAL_EVENT_GAP_MS } else { 0.0 };
        first_event_overdue_ms.max(stream_overdue_ms).max(0.0)
    }

    /// Records the start of an attempt with the estimated prefill time and the expected time of its first event.
    pub fn begin(&mut self, now: Timestamp, serial: u32, priority: u8, prefill_ms: f64, expected_ms: f64) {
        if self.pending.is_empty() && self.in_flight == 0 {
            // An idle backend has nothing to send, so its silence so far is meaningless.
            self.silent_since = now;
        }
        let from = if self.pending.is_empty() { now } else { self.prefill_done_at.max(now) };
        self.prefill_done_at = from + Duration::from_secs_f64(prefill_ms / 1e3);
        self.pending.push(Pending { serial, priority, prefill_ms, began: now, expected_ms });
        self.in_flight += 1;
    }

    /// Records a sign of life.
    pub fn record_activity(&mut self, now: Timestamp) {
        self.silent_since = now;
        self.last_response = Some(now);
    }

    /// Removes an attempt from those waiting for their first event.
    pub fn remove_pending(&mut self, serial: u32) {
        self.pending.retain(|pending| pending.serial != serial);
    }

    /// Applies the load reported in a response header; `mean_ms` is the mean prefill time of a queued request.
    pub fn record_reported_load(&mut self, now: Timestamp, load: ReportedLoad, mean_ms: f64, baseline: f64) {
        let own = self.in_flight.saturating_sub(self.pending.len() as u32);
        let queued_externally = load.waiting.saturating_sub(self.pending.len() as u32);
        self.external_wait_ms.observe(now, baseline, f64::from(queued_externally) * mean_ms, 0.5);
        let running = load.running.saturating_sub(own) + queued_externally;
        self.external_running.observe(now, 0.0, f64::from(running), 1.0);
    }

    /// Records a first event: `excess_ms` is the delay not explained by own attempts, `latency_ratio` the measured over
    /// the expected time, relative to the service's baseline.
    pub fn record_latency(
        &mut self,
        now: Timestamp,
        excess_ms: f64,
        baseline: f64,
        latency_ratio: f64,
        share: f64,
    ) {
        self.external_wait_ms.observe(now, baseline, excess_ms.max(0.0), share);
        self.log_slowness.observe(now, 0.0, latency_ratio.ln(), SLOWNESS_SMOOTHING);
    }

    /// Records that the backend refused a request.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.refusing_until = now + REFUSAL_BACKOFF;
    }
}
