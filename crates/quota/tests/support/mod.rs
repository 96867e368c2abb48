//! Simulation of a fleet in virtual time: owner, homes, gateways and the clients of one tenant.

pub mod fleet;
pub mod load;
pub mod measure;
pub mod parts;

pub use fleet::Fleet;
pub use load::{Load, Sizes};
pub use measure::Outcome;
pub use parts::{Fault, FleetSettings};
