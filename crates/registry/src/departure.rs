//! The departures of backends: that one drains, or that it has signed off.
//!
//! A departure is all that a backend can't be asked for again: a sound one doesn't repeat a sign-off that was
//! acknowledged, and a late heartbeat from before it would bring the backend back. Hosts keep departures on disk.

use serde::{Deserialize, Serialize};

/// How far a backend has departed. A later variant includes the earlier ones.
///
/// Variants are encoded by name: they must not change, except by `serde(rename)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DepartureKind {
    /// It has said that it drains.
    Draining,
    /// It has signed off.
    SignedOff,
}

/// The departure of one backend.
///
/// Fields are encoded by position: their order must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendDeparture {
    /// The id of the backend, which is not used again.
    pub id: String,
    /// How far it has departed.
    pub kind: DepartureKind,
}
