//! The rig: a fleet under load and faults, and the checks of what it did. Called by the binary
//! `crankpick-lab` and by the tests.

pub mod history;
pub mod world;
