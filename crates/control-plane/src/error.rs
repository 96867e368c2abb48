//! Errors that terminate a control-plane process.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// An error that terminates the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlPlaneError {
    /// The log on disk can't be opened.
    #[snafu(display(
        "CTL-201: {source}; repair the disk or free space on it and restart; its contents are kept"
    ))]
    Storage {
        /// The cause.
        source: crankpick_storage::StorageError,
    },
    /// A record on disk can't be decoded by this build.
    #[snafu(display("CTL-202: a record on disk can't be decoded: {source}; run the build that wrote it"))]
    Record {
        /// The cause.
        source: crankpick_control::RecordError,
    },
    /// The disk thread can't be started.
    #[snafu(display("CTL-203: can't start the disk thread: {source}"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
    /// An address can't be bound.
    #[snafu(display("CTL-204: can't listen on {address}: {source}; is another process using it?"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A file with corrupt records can't be quarantined.
    #[snafu(display("CTL-206: can't quarantine {}: {source}; move it manually and restart", path.display()))]
    Quarantine {
        /// The file, or the directory that can't be read.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings lack a value that this role needs.
    #[snafu(display("CTL-205: missing setting: {what}"))]
    Settings {
        /// The name of the missing setting.
        what: &'static str,
    },
}

impl ControlPlaneError {
    /// The code of this error in `docs/codes.md`.
    pub fn code(&self) -> &'static str {
        match self {
            ControlPlaneError::Storage { .. } => "CTL-201",
            ControlPlaneError::Record { .. } => "CTL-202",
            ControlPlaneError::Thread { .. } => "CTL-203",
            ControlPlaneError::Listen { .. } => "CTL-204",
            ControlPlaneError::Settings { .. } => "CTL-205",
            ControlPlaneError::Quarantine { .. } => "CTL-206",
        }
    }
}
