//! The clients of one tenant.

use std::time::Duration;

/// How large requests are.
#[derive(Clone, Copy, Debug)]
pub enum Sizes {
    /// One unit each.
    Requests,
    /// Tokens, of this mean, spread widely.
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
            // Between a fifth of the mean and eight times it.
            Sizes::Tokens(mean) => mean * (0.2 + 0.8 * -(1.0 - random.f64()).ln()).min(8.0),
        }
    }
}

/// Requests that arrive by chance, at gateways chosen by weight.
#[derive(Clone, Debug)]
pub struct Load {
    /// Units a second, over all gateways.
    pub rate: f64,
    pub sizes: Sizes,
    /// The weight of each gateway.
    pub weights: Vec<f64>,
    /// From then until then, the first gateway's weight is multiplied, the others' traffic unchanged.
    pub jump: Option<(Duration, Duration, f64)>,
    /// All is quiet for this long, then at its rate for as long, and so on.
    pub pauses: Option<Duration>,
}

impl Load {
    /// An uneven load, as a hash of clients gives.
    pub fn uneven(rate: f64, sizes: Sizes, gateways: usize, random: &mut fastrand::Rng) -> Self {
        let weights = (0..gateways).map(|_| 0.3 + 1.4 * random.f64()).collect();
        Self { rate, sizes, weights, jump: None, pauses: None }
    }

    /// The time to the next request, and the gateway that it comes to.
    pub fn next(&self, now: Duration, random: &mut fastrand::Rng) -> (Duration, usize) {
        let base: f64 = self.weights.iter().sum();
        let factor = match self.jump {
            Some((from, until, factor)) if (from..until).contains(&now) => factor,
            _ => 1.0,
        };
        let first = self.weights[0] * factor;
        let sum = base - self.weights[0] + first;
        let requests_per_s = self.rate * sum / base / self.sizes.mean();
        let mut gap = -(1.0 - random.f64()).ln() / requests_per_s;
        if let Some(length) = self.pauses {
            let phase = now.as_secs_f64() % (2.0 * length.as_secs_f64());
            if phase + gap > 2.0 * length.as_secs_f64() {
                gap += length.as_secs_f64();
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
