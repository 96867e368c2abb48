//! The load of the clients of one tenant.

use std::time::Duration;

/// The distribution of request sizes.
#[derive(Clone, Copy, Debug)]
pub enum Sizes {
    /// One unit per request.
    Requests,
    /// Tokens with this mean, widely spread.
    Tokens(f64),
}

impl Sizes {
    pub fn mean(self) -> f64 {
        match self {
            Sizes::Requests => 1.0,
            Sizes::Tokens(mean) => mean,
        }
    }

    pub fn draw(self, random: &mut fastrand::Rng) -> f64 {
        match self {
            Sizes::Requests => 1.0,
            // Between 0.2 and 8 times the mean.
            Sizes::Tokens(mean) => mean * (0.2 + 0.8 * -(1.0 - random.f64()).ln()).min(8.0),
        }
    }
}

/// Requests that arrive at random times, at gateways chosen by weight.
#[derive(Clone, Debug)]
pub struct Load {
    /// Units per second, over all gateways.
    pub rate: f64,
    pub sizes: Sizes,
    /// The weight of each gateway.
    pub weights: Vec<f64>,
    /// Start, end and factor of a surge at the first gateway. The load of the other gateways does not change.
    pub surge: Option<(Duration, Duration, f64)>,
    /// The duration of alternating phases without load and with load.
    pub pauses: Option<Duration>,
}

impl Load {
    /// Creates an uneven load, as results from distributing clients by hash.
    pub fn uneven(rate: f64, sizes: Sizes, gateways: usize, random: &mut fastrand::Rng) -> Self {
        let weights = (0..gateways).map(|_| 0.3 + 1.4 * random.f64()).collect();
        Self { rate, sizes, weights, surge: None, pauses: None }
    }

    /// Returns the time to the next request, and the gateway at which it arrives.
    pub fn next(&self, now: Duration, random: &mut fastrand::Rng) -> (Duration, usize) {
        let base: f64 = self.weights.iter().sum();
        let factor = match self.surge {
            Some((from, until, factor)) if (from..until).contains(&now) => factor,
            _ => 1.0,
        };
        let first = self.weights[0] * factor;
        let sum = base - self.weights[0] + first;
        let requests_per_s = self.rate * sum / base / self.sizes.mean();
        let mut gap = -(1.0 - random.f64()).ln() / requests_per_s;
        if let Some(duration) = self.pauses {
            let phase = now.as_secs_f64() % (2.0 * duration.as_secs_f64());
            if phase + gap > 2.0 * duration.as_secs_f64() {
                gap += duration.as_secs_f64();
            }
        }
        let mut draw = random.f64() * sum;
        let mut gateway = 0;
        for (index, weight) in self.weights.iter().enumerate() {
            let weight = if index == 0 { first } else { *weight };
            gateway = index;
            if draw < weight {
                break;
            }
            draw -= weight;
        }
        (Duration::from_secs_f64(gap), gateway)
    }
}
