//! The errors of the log.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// An error of the log.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// A file or a directory can't be synced. The operating system may call it synced the next time, although it isn't.
    #[snafu(display("sync {}: {source}", path.display()))]
    Sync {
        /// The path of the file or directory.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The directory or a file can't be read or written.
    #[snafu(display("{action} {}: {source}", path.display()))]
    Io {
        /// The operation that failed, as a verb for messages.
        action: &'static str,
        /// The path it was applied to.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A record before the last write is corrupt. Writes that follow it were acknowledged, so the log isn't opened.
    #[snafu(display("unsound record in {} at offset {offset}", path.display()))]
    Corrupt {
        /// The path of the file.
        path: PathBuf,
        /// The offset of the record, in bytes.
        offset: u64,
    },
    /// A record is longer than 32 MiB.
    #[snafu(display("record of {length} bytes is too long"))]
    RecordTooLong {
        /// The length of the record, in bytes.
        length: usize,
    },
}
