//! What serving threads look up: routes, services and tenants as typed, immutable rules.

use std::sync::Arc;
use std::time::Duration;

use crate::message::{Engine, Limits, Route, Service, Tenant};

/// The rank of a route that names none: the one that engines assume.
pub const DEFAULT_PRIORITY: u8 = 5;
/// No request is held longer, whatever the operator says.
const MAX_TIME: Duration = Duration::from_secs(24 * 3_600);
/// One more than the largest draw.
const DRAWS: f64 = 4_294_967_296.0;

/// What may be done again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run once for each try at most. Kinds that aren't known are taken as this, the strictest.
    Mutating,
    /// Answers are series of events; as [`RouteKind::Mutating`] unless they may be resumed.
    Streaming,
}

impl RouteKind {
    fn named(name: &str) -> RouteKind {
        match name {
            "idempotent" => RouteKind::Idempotent,
            "streaming" => RouteKind::Streaming,
            _ => RouteKind::Mutating,
        }
    }
}

/// One service's share of a route.
#[derive(Clone, Debug)]
pub struct SplitShare {
    /// The service.
    pub service: Arc<ServiceRule>,
    /// Its weight among the route's; never 0.
    pub weight: f64,
    /// Draws below it, and not below that of the share before, fall to the service.
    upper: u64,
}

/// One route.
#[derive(Clone, Debug)]
pub struct RouteRule {
    /// Its name.
    pub name: String,
    /// The host, in lower case and without a port.
    pub host: Arc<str>,
    /// What the paths begin with.
    pub prefix: Box<str>,
    /// What may be done again.
    pub kind: RouteKind,
    /// The longest time that a request is held.
    pub timeout: Duration,
    /// The operator's objective: an answer after this time is late. The timeout where none is told.
    pub slo: Duration,
    /// Its rank, 0 being the highest.
    pub priority: u8,
    /// The services with their shares, those of weight 0 left out; never empty.
    pub split: Vec<SplitShare>,
    /// The most backends to which one try may be sent, 1 at least.
    pub retries: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether requests share parts of their prompts.
    pub sticky: bool,
    /// Whether a stream may be taken up at another backend.
    pub resume: bool,
    /// The longest pause between events at which an answer is in time.
    pub gap_aim: Option<Duration>,
}

impl RouteRule {
    /// The rule of a route whose services are resolved; none without a service that has a weight.
    pub(crate) fn compile(route: &Route, host: Arc<str>, split: Vec<SplitShare>) -> Option<RouteRule> {
        if split.is_empty() {
            return None;
        }
        let timeout = milliseconds(route.timeout_ms);
        Some(RouteRule {
            name: route.name.clone(),
            host,
            prefix: route.prefix.as_str().into(),
            kind: RouteKind::named(&route.kind),
            timeout,
            slo: route.slo_ms.filter(|slo| *slo > 0).map_or(timeout, milliseconds),
            priority: route.priority.map_or(DEFAULT_PRIORITY, rank),
            split,
            retries: route.retries.max(1),
            public: route.public,
            sticky: route.sticky,
            resume: route.resume,
            gap_aim: route.gap_aim_ms.filter(|gap| *gap > 0).map(milliseconds),
        })
    }

    /// Whether a request that was sent may be sent to another backend though it may have run.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Mutating => false,
            RouteKind::Streaming => self.resume,
        }
    }

    /// The service that a draw, even over all of `u32`, falls to by the weights.
    pub fn pick_service(&self, draw: u32) -> &str {
        self.split.iter().find(|share| u64::from(draw) < share.upper).map_or("", |share| &share.service.name)
    }

    /// Whether some request of the route may go to a service.
    pub fn leads_to(&self, service: &str) -> bool {
        self.split.iter().any(|share| share.service.name == service)
    }
}

/// Shares of services by their weights; services of weight 0 get none.
pub(crate) fn shares(weighted: impl Iterator<Item = (Arc<ServiceRule>, f64)>) -> Vec<SplitShare> {
    let weighted: Vec<(Arc<ServiceRule>, f64)> = weighted.filter(|(_, weight)| *weight > 0.0).collect();
    let largest = weighted.iter().map(|(_, weight)| *weight).fold(0.0, f64::max);
    let total: f64 = weighted.iter().map(|(_, weight)| weight / largest).sum();
    let mut sum = 0.0;
    let mut shares: Vec<SplitShare> = Vec::with_capacity(weighted.len());
    for (service, weight) in weighted {
        sum += weight / largest;
        let upper = (sum / total * DRAWS).round() as u64;
        shares.push(SplitShare { service, weight, upper });
    }
    if let Some(last) = shares.last_mut() {
        last.upper = DRAWS as u64;
    }
    shares
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: String,
    /// The path that tells whether a backend is well; empty where there is none.
    pub health_path: String,
    /// How many connections a backend accepts from all callers together; the largest number where none is told.
    pub max_conns: u32,
    /// The model's engine, where there is one.
    pub engine: Option<EngineRule>,
    /// How long a backend is slow from its start.
    pub cold: Duration,
    /// How many requests a second a backend bears while it is slow, where that is told.
    pub cold_per_s: Option<f64>,
}

impl ServiceRule {
    pub(crate) fn compile(service: &Service) -> ServiceRule {
        let cold = service.cold_s.unwrap_or_default().min(MAX_TIME.as_secs_f64());
        ServiceRule {
            name: service.name.clone(),
            health_path: service.health_path.clone(),
            max_conns: if service.max_conns == 0 { u32::MAX } else { service.max_conns },
            engine: service.engine.as_ref().map(EngineRule::compile),
            cold: Duration::from_secs_f64(cold),
            cold_per_s: service.cold_per_s.filter(|rate| *rate > 0.0),
        }
    }
}

/// The engine of a service's backends.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests that run at once, 1 at least.
    pub slots: u32,
    /// Memory in tokens; 0 where it isn't told.
    pub kv_tokens: u64,
    /// Bytes of memory a token.
    pub kv_bytes: u64,
    /// The bandwidth between engines, in Mbit/s.
    pub link_mbps: f64,
    /// Tokens in an event of a stream, 1 at least.
    pub stride: u32,
    /// The names of the models that it serves.
    pub models: Vec<String>,
}

impl EngineRule {
    fn compile(engine: &Engine) -> EngineRule {
        EngineRule {
            slots: engine.slots.max(1),
            kv_tokens: engine.kv_tokens,
            kv_bytes: engine.kv_bytes,
            link_mbps: engine.link_mbps,
            stride: engine.stride.max(1),
            models: engine.models.iter().map(|model| model.name.clone()).collect(),
        }
    }
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens, those in and the most out.
    Tokens,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantRule {
    /// Its name.
    pub name: String,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
    /// What its quota counts.
    pub unit: QuotaUnit,
    /// What a request counts that tells no tokens.
    pub plain_tokens: u32,
    /// The quota a second, in its unit; 0 is no limit.
    pub rate_per_s: f64,
    /// What may come above it.
    pub burst: f64,
}

impl TenantRule {
    pub(crate) fn compile(tenant: &Tenant) -> TenantRule {
        TenantRule {
            name: tenant.name.clone(),
            priority: tenant.priority.map(rank),
            unit: if tenant.unit == "token_count" { QuotaUnit::Tokens } else { QuotaUnit::Requests },
            plain_tokens: u32::try_from(tenant.plain_tokens).unwrap_or(u32::MAX),
            rate_per_s: tenant.rate_per_s,
            burst: tenant.burst,
        }
    }

    /// Whether the tenant has a limit at all.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

/// What a client may send, and how long it may take or remain idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The largest head.
    pub max_header_bytes: u64,
    /// The largest body.
    pub max_body_bytes: u64,
    /// Within which a head is there.
    pub header_timeout: Duration,
    /// How long a connection may be at rest.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl ClientLimits {
    /// Limits as told, the default for each that is absent or 0.
    pub(crate) fn compile(limits: Option<&Limits>) -> ClientLimits {
        let default = ClientLimits::default();
        let Some(limits) = limits else {
            return default;
        };
        let size = |told: u64, default: u64| if told == 0 { default } else { told };
        let time = |told: u64, default: Duration| if told == 0 { default } else { milliseconds(told) };
        ClientLimits {
            max_header_bytes: size(limits.max_header_bytes, default.max_header_bytes),
            max_body_bytes: size(limits.max_body_bytes, default.max_body_bytes),
            header_timeout: time(limits.header_timeout_ms, default.header_timeout),
            idle_timeout: time(limits.idle_timeout_ms, default.idle_timeout),
        }
    }
}

fn milliseconds(number: u64) -> Duration {
    Duration::from_millis(number).min(MAX_TIME)
}

fn rank(priority: u32) -> u8 {
    u8::try_from(priority).unwrap_or(u8::MAX)
}
