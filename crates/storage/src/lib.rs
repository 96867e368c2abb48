//! An append-only log of checksummed records in one file, which the caller rewrites when it grows long.
//!
//! All calls block: they are meant for a thread of their own. `docs/control.md` states what the log assumes of the disk.

mod contents;
mod directory;
mod error;
mod file_system;
mod frame;
mod log;
mod opening;

pub use error::StorageError;
pub use file_system::{FileSystem, OpenFile, SystemFiles};
pub use log::Log;
pub use opening::{Opened, TornTail};
