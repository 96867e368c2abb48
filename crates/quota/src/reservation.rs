//! What one holder may still hold, from the grants sent to it.

use crate::message::{Claim, Grant};
use crate::Now;

/// The most grants of one holder that are told apart.
const MAX_OUTSTANDING: usize = 8;

/// A part of a total.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Part {
    pub rate: f64,
    pub burst: f64,
    pub debt: f64,
}

impl Part {
    pub fn plus(self, other: Self) -> Self {
        Self { rate: self.rate + other.rate, burst: self.burst + other.burst, debt: self.debt + other.debt }
    }

    pub fn minus(self, other: Self) -> Self {
        Self { rate: self.rate - other.rate, burst: self.burst - other.burst, debt: self.debt - other.debt }
    }

    fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
            debt: self.debt.max(other.debt),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    number: u64,
    part: Part,
    until: Now,
}

/// What one holder may still hold: the most of the grants that it has not shown to be superseded.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservation {
    outstanding: Vec<Outstanding>,
}

impl Reservation {
    /// A part that the holder is believed to hold, by no known grant.
    pub fn add_unknown(&mut self, part: Part, until: Now) {
        self.push(Outstanding { number: 0, part, until });
    }

    /// A grant was sent.
    pub fn granted(&mut self, grant: &Grant, until: Now) {
        let part = Part { rate: grant.rate, burst: grant.burst, debt: grant.debt };
        self.push(Outstanding { number: grant.number, part, until });
    }

    /// The holder showed a grant of this token: those before it are superseded.
    pub fn confirmed(&mut self, claim: &Claim) {
        self.outstanding.retain(|grant| grant.number >= claim.number);
    }

    /// Drops what has ended; whether nothing is left.
    pub fn expire(&mut self, now: Now) -> bool {
        self.outstanding.retain(|grant| grant.until > now);
        self.outstanding.is_empty()
    }

    /// The most that the holder may hold.
    pub fn most(&self) -> Part {
        self.outstanding.iter().fold(Part::default(), |most, grant| most.max(grant.part))
    }

    fn push(&mut self, grant: Outstanding) {
        if self.outstanding.len() >= MAX_OUTSTANDING {
            let oldest = self.outstanding.remove(0);
            if let Some(next) = self.outstanding.first_mut() {
                next.part = next.part.max(oldest.part);
                next.until = next.until.max(oldest.until);
            }
        }
        self.outstanding.push(grant);
    }
}
