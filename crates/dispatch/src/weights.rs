//! The weights of the cost model, with defaults. Costs stand for what a choice takes from others: bytes between zones, an
//! engine's time for prefill, delays of running streams.

/// The weights of backend selection. The unit of costs is a delay of the first event by one objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// The cost of 1,000 bytes that cross a zone boundary.
    pub cross_zone_cost_per_kb: f64,
    /// The cost of repeating the prefill of 1,000 tokens of shared parts.
    pub reprefill_cost_per_k_tokens: f64,
    /// The assumed probability that another gateway recently sent a shared prefix that this gateway has not.
    pub remote_use_probability: f64,
    /// The assumed probability that the home backend of a key has cached parts that this gateway did not send there.
    pub home_cached_probability: f64,
    /// The same probability for the home backend within this gateway's zone.
    pub same_zone_home_cached_probability: f64,
    /// The weight of a single measured delay in the estimated external wait of its backend.
    pub excess_latency_smoothing: f64,
    /// The decay time constant of a backend's external wait, in ms.
    pub external_wait_decay_ms: f64,
    /// The factor by which a backend's silence past the expected time counts as wait.
    pub silence_wait_factor: f64,
    /// The exponent of the latency cost: the cost is the share of the objective used up by the first event, raised to
    /// this power.
    pub latency_cost_exponent: f64,
    /// The cost per running stream that the prefill of a long prompt stalls.
    pub stall_cost_per_stream: f64,
    /// The reference prefill time for stalled streams, in ms: the stall cost rises from zero at 0.5 times this value to
    /// its maximum at 1.5 times.
    pub stall_prefill_ms: f64,
    /// The additional cost of a backend outside the type's group and home backends.
    pub outside_group_cost: f64,
    /// The share of its capacity up to which the load of a group counts as light and requests are served round robin.
    pub light_load_threshold: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            cross_zone_cost_per_kb: 0.005,
            reprefill_cost_per_k_tokens: 0.2,
            remote_use_probability: 0.6,
            home_cached_probability: 0.8,
            same_zone_home_cached_probability: 0.2,
            excess_latency_smoothing: 0.5,
            external_wait_decay_ms: 500.0,
            silence_wait_factor: 5.0,
            latency_cost_exponent: 1.0,
            stall_cost_per_stream: 0.3,
            stall_prefill_ms: 300.0,
            outside_group_cost: 0.3,
            light_load_threshold: 0.1,
        }
    }
}
