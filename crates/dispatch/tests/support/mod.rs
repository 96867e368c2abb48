//! A fleet in virtual time: engines, workers, traffic and gateways whose choices are made without one another.

pub mod engine;
pub mod figures;
pub mod fleet;
pub mod policies;
pub mod sites;
pub mod traffic;
pub mod troubles;
pub mod worker;
