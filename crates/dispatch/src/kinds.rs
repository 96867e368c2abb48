//! The four types of requests, by prompt and answer length, and what each adds to a backend's load.

/// An answer's token against a prompt's: what the pages count for a request's size.
const ANSWER_WEIGHT: f64 = 10.0;
/// Where the bands are cut, in mean sizes of the service's requests.
const CUTS: [f64; 3] = [0.5, 1.5, 4.0];
/// Load units that a request of each type adds.
const VALUES: [f64; 4] = [1.0, 2.0, 2.0, 3.0];
/// Requests after which the mean size has settled.
const SETTLED: f64 = 256.0;

/// A type of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Plain,
    LongPrompt,
    LongAnswer,
    Both,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Plain, Kind::LongPrompt, Kind::LongAnswer, Kind::Both];

    pub fn index(self) -> usize {
        self as usize
    }

    /// What a request of this type adds.
    pub fn value(self) -> f64 {
        VALUES[self.index()]
    }
}

/// The size of a request.
pub(crate) fn size(prompt_tokens: f64, response_tokens: f64) -> f64 {
    prompt_tokens + ANSWER_WEIGHT * response_tokens
}

/// Cuts a service's requests into bands by the mean of the sizes seen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bands {
    mean: f64,
    seen: f64,
}

impl Bands {
    pub fn see(&mut self, size: f64) {
        self.seen = (self.seen + 1.0).min(SETTLED);
        self.mean += (size - self.mean) / self.seen;
    }

    /// The type of a request of this size; without hints all are plain.
    pub fn kind(&self, size: f64) -> Kind {
        let units = if self.mean > 0.0 { size / self.mean } else { 0.0 };
        let band = CUTS.iter().filter(|cut| units >= **cut).count();
        Kind::ALL[band]
    }
}

#[cfg(test)]
#[path = "../tests/unit/kinds.rs"]
mod tests;
