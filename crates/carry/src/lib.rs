//! Runs a process's part in the fleet: its configuration file, its disk, its connections, and the thread for
//! all of them, separate from the one that serves queries. Used by the proxy if a fleet file is configured.

pub mod clock;
pub mod file;
pub mod frames;
mod handle;
mod links;
mod log;
pub mod plan_file;
pub mod run;
pub mod store;
mod upkeep;
