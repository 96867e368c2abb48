//! What may go wrong, with the file and the place in it.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// What may go wrong.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The folder or a file can't be read, written or synced.
    #[snafu(display("{action} {}: {source}", path.display()))]
    Io {
        /// What was tried.
        action: &'static str,
        /// On what.
        path: PathBuf,
        /// Why it failed.
        source: io::Error,
    },
    /// A record in the middle of a file is unsound: what came after it was acknowledged, so nothing is served.
    #[snafu(display("unsound record in {} at offset {offset}", path.display()))]
    Unsound {
        /// The file.
        path: PathBuf,
        /// Where the record begins.
        offset: u64,
    },
    /// A record is longer than the file may hold.
    #[snafu(display("record of {length} bytes is too long"))]
    TooLong {
        /// Its length.
        length: usize,
    },
}
