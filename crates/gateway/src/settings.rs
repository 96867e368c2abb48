//! Settings that a gateway receives once, at its start.

use std::time::Duration;

use crankpick_quota::{QuotaBounds, RetryBudgetSettings};
use tokio::time::Instant;

use crate::freshness::FreshnessBounds;

/// File descriptors reserved for everything but clients and backends: files, the control plane, the
/// listeners.
const RESERVED_DESCRIPTORS: usize = 400;
/// Fraction of the remaining descriptors that clients may use.
const CLIENT_FRACTION: f64 = 0.7;
/// Bodies may use one part in this many of the memory.
const BODY_MEMORY_DIVISOR: u64 = 5;

/// Settings that a gateway receives once, at its start.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The machine's zone.
    pub zone: String,
    /// Retry budget of each service.
    pub retry: RetryBudgetSettings,
    /// How strictly tenant quotas are enforced.
    pub quota: QuotaBounds,
    /// How long a possibly outdated configuration is trusted.
    pub freshness: FreshnessBounds,
    /// Grace period between the shutdown signal and the kill.
    pub grace: Duration,
    /// Maximum number of open client connections.
    pub max_client_connections: usize,
    /// Maximum number of open backend connections.
    pub max_backend_connections: usize,
    /// Maximum number of bytes of request bodies held at once, not counting small bodies.
    pub body_memory: u64,
    /// Seed for the dispatcher's random choices.
    pub seed: u64,
    /// When the process started; all times are relative to it.
    pub start: Instant,
}

impl GatewaySettings {
    /// The default settings of a gateway in a zone, with limits derived from the machine's.
    pub fn new(zone: impl Into<String>, max_fds: u64, memory_bytes: u64) -> Self {
        let available =
            usize::try_from(max_fds).unwrap_or(usize::MAX).saturating_sub(RESERVED_DESCRIPTORS).max(20);
        let max_client_connections = (available as f64 * CLIENT_FRACTION) as usize;
        GatewaySettings {
            zone: zone.into(),
            retry: RetryBudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) },
            quota: QuotaBounds { window: Duration::from_secs(8), over: 0.1, slack: 0.0 },
            freshness: FreshnessBounds::default(),
            grace: Duration::from_secs(8),
            max_client_connections,
            max_backend_connections: available - max_client_connections,
            body_memory: memory_bytes / BODY_MEMORY_DIVISOR,
            seed: fastrand::u64(..),
            start: Instant::now(),
        }
    }
}
