//! The limits and timeouts of a registry, derived from the heartbeat interval of the deployment.

use std::time::Duration;

/// A backend is silent after this many heartbeat intervals without a heartbeat.
const SILENCE_HEARTBEATS: f64 = 2.5;
/// A process states absence only after it has been running for this many heartbeat intervals.
const GRACE_HEARTBEATS: u32 = 3;

/// The limits and timeouts of a registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// The interval of the backends' heartbeats.
    pub heartbeat: Duration,
    /// A backend without a heartbeat for longer than this is silent.
    pub silence: Duration,
    /// How long a process does not state absence after its start, a freeze or an isolation.
    pub grace: Duration,
    /// A peer that is unreachable for this long is dead: backends that send it their heartbeats are shown as
    /// silent.
    pub peer_death: Duration,
    /// A longer pause between two calls means that this process may have been frozen.
    pub freeze: Duration,
    /// How long the tombstone of an ended backend is kept.
    pub tombstone: Duration,
    /// A backend that is silent for longer than this has ended.
    pub silent_memory: Duration,
    /// The maximum number of tombstones.
    pub max_tombstones: usize,
    /// The maximum number of backends, including tombstones.
    pub max_backends: usize,
    /// The maximum number of records in one announcement.
    pub max_batch: usize,
}

impl RegistrySettings {
    /// The settings for a deployment whose backends send heartbeats at the interval `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            silence: heartbeat.mul_f64(SILENCE_HEARTBEATS),
            grace: heartbeat * GRACE_HEARTBEATS,
            peer_death: Duration::from_secs(4),
            freeze: Duration::from_millis(700),
            tombstone: Duration::from_secs(60),
            silent_memory: Duration::from_secs(120),
            max_tombstones: 4_096,
            max_backends: 16_384,
            max_batch: 512,
        }
    }
}
