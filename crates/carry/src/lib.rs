//! Carries a process's part in the fleet: its file, its disk, its connections, and the thread all of that
//! runs on, apart from the one that serves queries. Called by the proxy where a fleet file is named.

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
