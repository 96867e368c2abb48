//! The bounds of a registry, derived from the deployment's heartbeat.

use std::time::Duration;

/// Backends that fall silent for longer than this many heartbeats are told to be silent.
const SILENCE_HEARTBEATS: f64 = 2.5;
/// A process that has been up for fewer heartbeats says nothing about absence.
const GRACE_HEARTBEATS: u32 = 3;

/// The bounds of a registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// The interval of the backends' heartbeats.
    pub heartbeat: Duration,
    /// A backend unheard for this long is silent.
    pub silence: Duration,
    /// How long after its start, or after a doubt, a process says nothing about absence.
    pub grace: Duration,
    /// A peer gone for this long is dead: what only it heard is silent.
    pub peer_death: Duration,
    /// A pause of the caller longer than this means that the process itself may have been frozen.
    pub freeze: Duration,
    /// How long a backend that ended is remembered.
    pub tombstone: Duration,
    /// How long a silent backend is remembered.
    pub silent_memory: Duration,
    /// The most ended backends remembered.
    pub max_tombstones: usize,
    /// The most backends known at once.
    pub max_backends: usize,
    /// The most records in one announcement.
    pub max_batch: usize,
}

impl RegistrySettings {
    /// The bounds for a deployment whose backends send a heartbeat at this interval.
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
