//! The share of a total that one lease covers.

use std::ops::{Add, Sub};

/// A share of a total.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Share {
    /// Units per second.
    pub rate: f64,
    /// The depth of a bucket, in units.
    pub burst: f64,
    /// How far a bucket may go below zero, in units.
    pub debt: f64,
}

impl Share {
    /// The maximum of each field.
    pub fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
            debt: self.debt.max(other.debt),
        }
    }
}

impl Add for Share {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { rate: self.rate + other.rate, burst: self.burst + other.burst, debt: self.debt + other.debt }
    }
}

impl Sub for Share {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self { rate: self.rate - other.rate, burst: self.burst - other.burst, debt: self.debt - other.debt }
    }
}
