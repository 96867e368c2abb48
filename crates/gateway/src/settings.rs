//! What a gateway is told once, at its start.

use std::time::Duration;

use crankpick_quota::{QuotaBounds, RetryBudgetSettings};
use tokio::time::Instant;

use crate::freshness::FreshnessBounds;

/// Descriptors kept for all but clients and backends: files, the control plane, the listeners.
const RESERVED_DESCRIPTORS: usize = 400;
/// The part of the other descriptors that clients may have.
const CLIENT_FRACTION: f64 = 0.7;
/// The part of the memory that bodies may take.
const BODY_MEMORY_DIVISOR: u64 = 5;

/// A configuration that only this process lacks is here within that.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(100);

/// What a gateway is told once, at its start.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The machine's zone.
    pub zone: String,
    /// How many repeats a service may see.
    pub retry: RetryBudgetSettings,
    /// How strictly tenants' quotas are judged.
    pub quota: QuotaBounds,
    /// How long a configuration is relied on that may be out of date.
    pub freshness: FreshnessBounds,
    /// From the signal to end to the kill.
    pub grace: Duration,
    /// How long a request waits for a first configuration.
    pub configuration_wait: Duration,
    /// Clients' connections open at once.
    pub max_client_connections: usize,
    /// Connections to backends open at once.
    pub max_backend_connections: usize,
    /// Bytes of bodies held at once, those of small ones aside.
    pub body_memory: u64,
    /// Draws ties and shares.
    pub seed: u64,
    /// When the process began: all times are counted from here.
    pub start: Instant,
}

impl GatewaySettings {
    /// The usual settings of a gateway in a zone; budgets as the machine's limits allow.
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
            configuration_wait: CONFIGURATION_WAIT,
            max_client_connections,
            max_backend_connections: available - max_client_connections,
            body_memory: memory_bytes / BODY_MEMORY_DIVISOR,
            seed: fastrand::u64(..),
            start: Instant::now(),
        }
    }
}
