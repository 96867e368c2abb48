//! The rig: a fleet under load and faults, and the checks of what it did. Called by the binary
//! `crankpick-lab` and by the tests.

pub mod crowd;
pub mod demo;
pub mod emulate;
pub mod faults;
pub mod history;
pub mod load;
pub mod maintain;
pub mod owner;
pub mod plot;
pub mod relay;
pub mod rig;
pub mod rules;
pub mod size;
mod sync;
pub mod work;
pub mod world;
