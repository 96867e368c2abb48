//! An append-only file of checksummed records, rewritten when long.
//!
//! Blocking, for the disk's own thread. `docs/control.md` says what is trusted of the disk.

mod error;
mod frame;
mod log;

pub use error::StorageError;
pub use log::{Log, OpenReport, TornTail};
