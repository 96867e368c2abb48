//! A simulation in virtual time: engines, workers, traffic and gateways that select backends independently.

pub mod deployments;
pub mod engine;
pub mod faults;
pub mod policies;
pub mod simulation;
pub mod stats;
pub mod traffic;
pub mod worker;
