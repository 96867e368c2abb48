//! What a request would meet at a backend, and what going there costs: lateness, crossings, parts read again.

use crate::backend::Backend;
use crate::interface::{DispatchRequest, PromptPart, Timestamp};
use crate::service::Service;
use crate::weights::Weights;

/// Bytes of an answer for each token of it, and those of heads.
const ANSWER_BYTES: f64 = 9.0;
const HEAD_BYTES: f64 = 600.0;
/// Within this time of its last use, a part that is read again has a price.
const AGAIN_MS: f64 = 10_000.0;
/// The least of an objective that is taken to be left.
const LEAST_LEFT_MS: f64 = 50.0;
/// What a backend with nearly no room costs, and one past its places, in shares of worth.
const ROOM: f64 = 0.1;
const NO_PLACE: f64 = 2.0;
/// Of an engine's memory, what may be filled by estimate.
const MEMORY_SHARE: f64 = 0.9;

/// A request and what weighs on its choice.
pub(crate) struct Fit<'a> {
    pub now: Timestamp,
    pub request: &'a DispatchRequest<'a>,
    pub service: &'a Service,
    weights: &'a Weights,
    /// Tokens of its shared parts.
    shared_tokens: f64,
    /// The chance that its last shared part was used lately, by this gateway or by others.
    used_lately: f64,
}

/// What a request would meet at a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Expected {
    /// Tokens that would be read.
    pub unread: f64,
    /// The time of its first event if it were alone there, and as it is.
    pub alone_ms: f64,
    pub first_ms: f64,
    /// What going there costs, in shares of its worth.
    pub cost: f64,
}

impl Expected {
    /// What it would wait for what is there before it.
    pub fn wait_ms(&self) -> f64 {
        self.first_ms - self.alone_ms
    }
}

/// The parts of a prompt that others may share: all but the request's own last one.
pub(crate) fn shared<'a>(request: &DispatchRequest<'a>) -> &'a [PromptPart] {
    match request.parts {
        [] => &[],
        [_] => request.parts,
        [shared @ .., _] => shared,
    }
}

impl<'a> Fit<'a> {
    pub fn new(
        now: Timestamp,
        request: &'a DispatchRequest<'a>,
        service: &'a Service,
        weights: &'a Weights,
        last_used: Option<Timestamp>,
    ) -> Fit<'a> {
        let shared_tokens = shared(request).iter().map(|part| f64::from(part.tokens)).sum();
        let lately = |used: Timestamp| now.saturating_sub(used).as_secs_f64() * 1e3 < AGAIN_MS;
        let used_lately = if last_used.is_some_and(lately) { 1.0 } else { weights.shared_elsewhere };
        Fit { now, request, service, weights, shared_tokens, used_lately }
    }

    /// The share of the objective that a first event after this time takes, raised to a power.
    fn lateness(&self, first_ms: f64) -> f64 {
        let objective = self.request.route.slo.saturating_sub(self.request.elapsed);
        let left_ms = (objective.as_secs_f64() * 1e3).max(LEAST_LEFT_MS);
        (first_ms / left_ms).powf(self.weights.lateness_power)
    }

    fn crossing(&self, backend: &Backend) -> f64 {
        let answer = f64::from(self.request.response_tokens) * ANSWER_BYTES + HEAD_BYTES;
        let kb = (f64::from(self.request.request_bytes) + answer) / 1e3;
        if backend.near {
            0.0
        } else {
            kb * self.weights.crossing_per_kb
        }
    }

    /// What the request would meet; `chance` is that that what isn't known to be kept is.
    pub fn expected(&self, backend: &Backend, chance: f64) -> Expected {
        let slowness = backend.slowness(self.now);
        if !self.service.is_engine() {
            return self.expected_work(backend, slowness);
        }
        let kept = f64::from(backend.kept.kept_tokens(self.now, self.request.parts));
        let missing = (self.shared_tokens - kept).max(0.0);
        let perhaps = missing * chance;
        let prompt = f64::from(self.request.prompt_tokens).max(self.shared_tokens);
        let unread = (prompt - kept - perhaps).max(0.0);
        let usual_ms = self.service.usual_wait_ms(self.now);
        let alone_ms = self.service.pace.first_ms(unread) * slowness;
        let first_ms = alone_ms + backend.wait_ms(self.now, usual_ms, self.weights);
        let again = (missing - perhaps) / 1e3 * self.weights.reread_per_k * self.used_lately;
        let cost = self.lateness(first_ms)
            + self.crossing(backend)
            + again
            + self.taken(backend)
            + self.stalled(backend, unread);
        Expected { unread, alone_ms, first_ms, cost }
    }

    /// What the streams that run there lose by this prompt: past a time, reading holds up their events.
    fn stalled(&self, backend: &Backend, unread: f64) -> f64 {
        let reading_ms = self.service.pace.reading_ms(unread) * backend.slowness(self.now);
        let held_ms = reading_ms + backend.own_wait_ms(self.now);
        let share = (held_ms / self.weights.stall_ms - 0.5).clamp(0.0, 1.0);
        share * (reading_ms / held_ms.max(1.0)) * backend.streams(self.now) * self.weights.stall
    }

    fn expected_work(&self, backend: &Backend, slowness: f64) -> Expected {
        let slots = f64::from(backend.view.slots.max(1));
        let before = (backend.requests(self.now) + 1.0 - slots).max(0.0) / slots;
        let alone_ms = self.service.pace.work_ms() * slowness;
        let wait_ms = (alone_ms * before).max(backend.silence_ms(self.now) * self.weights.silence);
        let first_ms = alone_ms + wait_ms;
        let cost = self.lateness(first_ms) + self.crossing(backend) + self.taken(backend);
        Expected { unread: 0.0, alone_ms, first_ms, cost }
    }

    /// What is taken of a backend's slots or memory: little counts for little, and past them one waits for ends.
    fn taken(&self, backend: &Backend) -> f64 {
        let requests = backend.requests(self.now);
        let slots = f64::from(backend.view.slots.max(1));
        let memory = self.service.view.engine.map_or(0.0, |engine| engine.kv_tokens as f64) * MEMORY_SHARE;
        let own = f64::from(self.request.prompt_tokens) + f64::from(self.request.response_tokens);
        let tokens = requests * self.service.mean_tokens + own;
        let memory_taken = if memory > 0.0 && requests >= 1.0 { tokens / memory } else { 0.0 };
        let taken = memory_taken.max(requests / slots);
        if taken >= 1.0 {
            NO_PLACE * taken
        } else {
            ROOM * taken.powi(4)
        }
    }
}
