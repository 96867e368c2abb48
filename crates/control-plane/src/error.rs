//! The errors that end a process of the control plane.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// An error that ends the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlPlaneError {
    /// The log on disk can't be opened.
    #[snafu(display("CTL-201: {source}; mend or free the disk and start again: what it holds is kept"))]
    Storage {
        /// The cause.
        source: crankpick_storage::StorageError,
    },
    /// A record on disk can't be decoded by this build.
    #[snafu(display("CTL-202: a record on disk can't be read: {source}; start the build that wrote it"))]
    Record {
        /// The cause.
        source: crankpick_control::RecordError,
    },
    /// The disk's thread can't be started.
    #[snafu(display("CTL-203: the disk's thread can't be started: {source}"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
    /// An address can't be listened on.
    #[snafu(display("CTL-204: can't listen on {address}: {source}; is another process there?"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A file with unsound records can't be put aside.
    #[snafu(display("CTL-206: can't put {} aside: {source}; move it away by hand and start again", path.display()))]
    Quarantine {
        /// The file, or the directory that can't be read.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings lack a value that this role needs.
    #[snafu(display("CTL-205: the settings lack {what}"))]
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
