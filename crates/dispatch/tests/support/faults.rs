//! Faults injected into the backends of a simulation.

/// An outage during which a share of the engines does not respond.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub from_s: f64,
    pub for_s: f64,
    pub share: f64,
}

/// The faults of a simulation run.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub outage: Option<Outage>,
    /// The number of an engine and the factor by which it is slower.
    pub slowness: Vec<(usize, f64)>,
    /// The number of an engine and the share of its requests that it resets.
    pub reset_rates: Vec<(usize, f64)>,
}
