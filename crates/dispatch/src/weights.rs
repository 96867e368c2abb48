//! What the choice weighs against time: settings with sound defaults.

/// Prices and bounds of the choice, in shares of a request's worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// A thousand bytes that cross a zone.
    pub crossing_per_kb: f64,
    /// A thousand tokens of shared parts that are read again.
    pub reread_per_k: f64,
    /// The chance that another gateway sent a part elsewhere lately, where nothing is known.
    pub shared_elsewhere: f64,
    /// The chance that a key's first backend keeps a part that this gateway hasn't sent there.
    pub kept_at_first: f64,
    /// The same of its first backend in this gateway's zone.
    pub kept_near: f64,
    /// How much of what one answer was late by counts as its backend's wait.
    pub late_share: f64,
    /// How fast a backend's wait by others is forgotten, in ms.
    pub others_tau_ms: f64,
    /// How much of a backend's silence past what was expected counts as wait.
    pub silence: f64,
    /// How lateness grows with the share of the objective that the first event takes.
    pub lateness_power: f64,
    /// What one stream costs that a long prompt holds up, in shares of worth.
    pub stall: f64,
    /// The time of reading a prompt that holds up all streams beside it, in ms.
    pub stall_ms: f64,
    /// What a backend outside the type's group counts, in shares of worth.
    pub foreign: f64,
    /// Of the members' maxima, the load up to which a group rotates.
    pub light: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            crossing_per_kb: 0.005,
            reread_per_k: 0.2,
            shared_elsewhere: 0.6,
            kept_at_first: 0.8,
            kept_near: 0.2,
            late_share: 0.5,
            others_tau_ms: 500.0,
            silence: 5.0,
            lateness_power: 1.0,
            stall: 0.3,
            stall_ms: 300.0,
            foreign: 0.3,
            light: 0.1,
        }
    }
}
