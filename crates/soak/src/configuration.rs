//! The operator's configurations as a run draws them.

use std::time::Duration;

use fastrand::Rng;
use serde_json::{json, Value};

use crate::history::RouteKind;

/// The host of all requests.
pub const HOST: &str = "soak.example";
/// The key that clients bear.
pub const KEY: &str = "soak-key";
/// The services, whose backends answer all alike.
pub const SERVICES: [&str; 2] = ["alpha", "beta"];
/// The path that tells whether a backend is well.
pub const HEALTH_PATH: &str = "/healthz";
/// Idle timeouts as they are drawn, in milliseconds.
const IDLE_TIMEOUTS: [u64; 5] = [1_000, 1_500, 2_500, 4_000, 8_000];
/// Routes beside those that clients use.
const MOST_EXTRA_ROUTES: usize = 30;
/// The shortest time that a route gives a request.
pub const LEAST_TIMEOUT: Duration = Duration::from_secs(3);

/// The prefix of a kind's route.
pub fn prefix(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "/read/",
        RouteKind::Mutating => "/write/",
        RouteKind::Streaming => "/stream/",
        RouteKind::Resumable => "/resume/",
    }
}

/// Whether changes may touch the idle timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleTimeouts {
    /// All configurations have this one.
    Constant(Duration),
    /// Each draws its own.
    Drawn,
}

/// What all configurations of a run have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Constants {
    /// Whether changes may touch the idle timeout.
    pub idle_timeouts: IdleTimeouts,
    /// The `retries` of streams that may be resumed.
    pub resumable_retries: u32,
}

/// A configuration and its idle timeout.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// All of it.
    pub document: Value,
    /// Its `idle_timeout_ms`.
    pub idle_timeout: Duration,
}

/// Draws a configuration.
pub fn draw(rng: &mut Rng, generation: u64, constants: Constants) -> Drawn {
    let idle_timeout = match constants.idle_timeouts {
        IdleTimeouts::Constant(timeout) => timeout,
        IdleTimeouts::Drawn => Duration::from_millis(IDLE_TIMEOUTS[rng.usize(..IDLE_TIMEOUTS.len())]),
    };
    let mut routes: Vec<Value> = RouteKind::ALL.into_iter().map(|kind| route(rng, kind, constants)).collect();
    let extra = rng.usize(..=MOST_EXTRA_ROUTES);
    routes.extend((0..extra).map(|number| extra_route(rng, number)));
    let services = SERVICES.map(|name| json!({"name": name, "health_path": HEALTH_PATH, "max_conns": 400}));
    let document = json!({
        "generation": generation,
        "routes": routes,
        "services": services,
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_048_576, "header_timeout_ms": 3_000,
                   "idle_timeout_ms": idle_timeout.as_millis() as u64},
        "tenants": [{"name": "tenant", "api_keys": [KEY, format!("key-{:08x}", rng.u32(..))]}],
    });
    Drawn { document, idle_timeout }
}

fn route(rng: &mut Rng, kind: RouteKind, constants: Constants) -> Value {
    let word = match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::Mutating => "mutating",
        RouteKind::Streaming | RouteKind::Resumable => "streaming",
    };
    let share = rng.u32(1..100);
    let mut route = json!({
        "name": prefix(kind).trim_matches('/'), "host": HOST, "prefix": prefix(kind), "type": word,
        "timeout_ms": LEAST_TIMEOUT.as_millis() as u64 + rng.u64(..3_000), "slo_ms": 1_000, "priority": rng.u32(..3),
        "split": [{"service": SERVICES[0], "weight": share}, {"service": SERVICES[1], "weight": 100 - share}],
        "retries": rng.u32(1..=3), "public": false, "resume": kind == RouteKind::Resumable,
    });
    if kind.is_stream() {
        route["gap_aim_ms"] = json!(400);
    }
    if kind == RouteKind::Resumable {
        route["retries"] = json!(constants.resumable_retries);
    }
    route
}

fn extra_route(rng: &mut Rng, number: usize) -> Value {
    json!({
        "name": format!("extra-{number}"), "host": HOST, "prefix": format!("/extra-{number}-{:x}/", rng.u16(..)),
        "type": "idempotent", "timeout_ms": 2_000, "slo_ms": 500, "service": SERVICES[rng.usize(..2)],
        "retries": 2, "public": rng.bool(),
    })
}
