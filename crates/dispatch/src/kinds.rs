//! The four request types, by prompt and response length, and the load units of each.

/// The weight of a response token relative to a prompt token; the documented size formula uses the same value.
const RESPONSE_TOKEN_WEIGHT: f64 = 10.0;
/// The thresholds between size bands, as multiples of the service's mean request size.
const BAND_THRESHOLDS: [f64; 3] = [0.5, 1.5, 4.0];
/// The load units of a request of each type.
const LOAD_UNITS: [f64; 4] = [1.0, 2.0, 2.0, 3.0];
/// The number of requests after which the mean size becomes an exponential moving average.
const MEAN_WINDOW: f64 = 256.0;

/// A request type, ordered by size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Plain,
    LongPrompt,
    LongResponse,
    Both,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Plain, Kind::LongPrompt, Kind::LongResponse, Kind::Both];

    pub fn index(self) -> usize {
        self as usize
    }

    /// The load units of a request of this type.
    pub fn load_units(self) -> f64 {
        LOAD_UNITS[self.index()]
    }
}

/// The size of a request in weighted tokens.
pub(crate) fn size(prompt_tokens: f64, response_tokens: f64) -> f64 {
    prompt_tokens + RESPONSE_TOKEN_WEIGHT * response_tokens
}

/// Classifies a service's requests into size bands relative to their mean size.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bands {
    mean: f64,
    observations: f64,
}

impl Bands {
    pub fn observe(&mut self, size: f64) {
        self.observations = (self.observations + 1.0).min(MEAN_WINDOW);
        self.mean += (size - self.mean) / self.observations;
    }

    /// The type of a request of this size. Without length hints the mean is 0 and all requests are plain.
    pub fn kind(&self, size: f64) -> Kind {
        let units = if self.mean > 0.0 { size / self.mean } else { 0.0 };
        let band = BAND_THRESHOLDS.iter().filter(|threshold| units >= **threshold).count();
        Kind::ALL[band]
    }
}

#[cfg(test)]
#[path = "../tests/unit/kinds.rs"]
mod tests;
