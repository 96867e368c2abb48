//! What a dispatcher keeps of one service.

use crate::fit::shared;
use crate::groups::Groups;
use crate::interface::{DispatchRequest, ServiceView, Timestamp};
use crate::kinds::{size, Bands, Kind};
use crate::pace::{Fading, ServicePace};

/// Priorities told apart.
const RANKS: usize = 10;
/// What a priority may wait against the mean, and the wait from which that can be told, in ms.
const RANK_BOUNDS: (f64, f64) = (0.1, 3.0);
const RANK_LEAST_MS: f64 = 5.0;
const USUAL_TAU_MS: f64 = 5000.0;
const USUAL_SHARE: f64 = 0.05;
/// What one request counts in the means.
const MEAN_SHARE: f64 = 0.02;

/// Of the parts that a prompt shares, what must be read on the mean.
const SHARED_READ: f64 = 0.3;

/// What a request counts in bands and groups: what must be read of its prompt, and its answer.
fn load_size(request: &DispatchRequest) -> f64 {
    let shared: f64 = shared(request).iter().map(|part| f64::from(part.tokens)).sum();
    let prompt = (f64::from(request.prompt_tokens) - shared).max(0.0) + shared * SHARED_READ;
    size(prompt, f64::from(request.response_tokens))
}

/// A service, its groups, and what its backends are usually like.
#[derive(Debug)]
pub(crate) struct Service {
    pub view: ServiceView,
    pub groups: Groups,
    /// What the groups were dealt from: members' hashes, added up.
    pub members: Option<u64>,
    pub bands: Bands,
    pub pace: ServicePace,
    /// What answers are late by for others' sends, all backends together.
    usual_wait_ms: Fading,
    /// The same of each priority.
    rank_wait_ms: [Fading; RANKS],
    /// The logarithm of what answers take against what was expected.
    usual_times: Fading,
    /// What a request takes to be read, on the mean.
    pub mean_reading_ms: f64,
    /// Memory that a request takes, on the mean.
    pub mean_tokens: f64,
    /// Load units of a request, on the mean.
    pub mean_value: f64,
    /// The highest and the lowest priority seen.
    priorities: Option<(u8, u8)>,
}

impl Service {
    pub fn new(view: ServiceView) -> Service {
        Service {
            view,
            groups: Groups::default(),
            members: None,
            bands: Bands::default(),
            pace: ServicePace::default(),
            usual_wait_ms: Fading::new(0.0, USUAL_TAU_MS),
            rank_wait_ms: [Fading::new(0.0, USUAL_TAU_MS); RANKS],
            usual_times: Fading::new(0.0, USUAL_TAU_MS),
            mean_reading_ms: 0.0,
            mean_tokens: 0.0,
            mean_value: 1.0,
            priorities: None,
        }
    }

    pub fn is_engine(&self) -> bool {
        self.view.engine.is_some()
    }

    pub fn kind(&self, request: &DispatchRequest) -> Kind {
        self.bands.kind(load_size(request))
    }

    /// Connections to one backend that this gateway may hold, as one of so many.
    pub fn conns_bound(&self, gateways: usize) -> u32 {
        match self.view.max_conns {
            0 => u32::MAX,
            most => (most / gateways.max(1) as u32).max(1),
        }
    }

    /// Takes in a request that is sent for the first time.
    pub fn see(&mut self, now: Timestamp, request: &DispatchRequest, kind: Kind, reading_ms: f64) {
        let tokens = f64::from(request.prompt_tokens) + f64::from(request.response_tokens);
        let size = load_size(request);
        self.bands.see(size);
        // Values are of one order; what engines read differs by three.
        self.groups.see(now, kind, if self.is_engine() { size } else { kind.value() });
        self.mean_reading_ms += (reading_ms - self.mean_reading_ms) * MEAN_SHARE;
        self.mean_tokens += (tokens - self.mean_tokens) * MEAN_SHARE;
        self.mean_value += (kind.value() - self.mean_value) * MEAN_SHARE;
        let (highest, lowest) = self.priorities.unwrap_or((request.priority, request.priority));
        self.priorities = Some((highest.min(request.priority), lowest.max(request.priority)));
    }

    /// From 1 for the most urgent requests of this service to 0 for the least.
    pub fn urgency(&self, priority: u8) -> f64 {
        match self.priorities {
            Some((highest, lowest)) if lowest > highest => {
                let place = f64::from(lowest.saturating_sub(priority)) / f64::from(lowest - highest);
                place.min(1.0)
            }
            _ => 1.0,
        }
    }

    /// What a backend's wait fades to, unless it is told.
    pub fn usual_wait_ms(&self, now: Timestamp) -> f64 {
        self.usual_wait_ms.value(now, 0.0)
    }

    /// What answers usually take against what was expected.
    pub fn usual_times(&self, now: Timestamp) -> f64 {
        self.usual_times.value(now, 0.0).exp()
    }

    /// What a request of this priority waits for others, against the mean request.
    pub fn rank_wait(&self, now: Timestamp, priority: u8) -> f64 {
        let mean = self.usual_wait_ms(now) + RANK_LEAST_MS;
        let own = self.rank_wait_ms[usize::from(priority).min(RANKS - 1)].value(now, mean) + RANK_LEAST_MS;
        (own / mean).clamp(RANK_BOUNDS.0, RANK_BOUNDS.1)
    }

    /// An answer was late by this, and took `times` what was expected.
    pub fn learn(&mut self, now: Timestamp, priority: u8, late_ms: f64, times: f64) {
        let usual = self.usual_wait_ms(now);
        self.usual_wait_ms.see(now, 0.0, late_ms.max(0.0), USUAL_SHARE);
        let rank = &mut self.rank_wait_ms[usize::from(priority).min(RANKS - 1)];
        rank.see(now, usual, late_ms.max(0.0), USUAL_SHARE);
        self.usual_times.see(now, 0.0, times.ln(), USUAL_SHARE);
    }
}
