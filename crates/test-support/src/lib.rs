//! What the tests of several crates share. No program depends on this crate.

mod addresses;
mod fixtures;

pub use addresses::refusing_address;
pub use fixtures::{Fixtures, BLESS_VARIABLE};
