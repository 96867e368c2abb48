//! An append-only file of checksummed records, rewritten when long.
//!
//! Blocking, for the disk's own thread. `docs/control.md` says what is trusted of the disk.

mod error;
mod file_system;
mod frame;
mod log;

pub use error::StorageError;
pub use file_system::{FileSystem, OpenFile, SystemFiles};
pub use log::{Log, OpenReport, TornTail};
