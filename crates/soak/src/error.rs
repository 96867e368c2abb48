//! Why a run could not be played. A broken invariant is no error but a finding.

use std::path::PathBuf;

use snafu::Snafu;

/// Why a run could not be played.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SoakError {
    /// The program to test is missing.
    #[snafu(display("no crankpick-system beside this program: build it, or name it in CRANKPICK_SYSTEM"))]
    NoProgram,
    /// A file or folder could not be written or read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// No ports are free.
    #[snafu(display("no free ports: {source}"))]
    Ports {
        /// Why.
        source: std::io::Error,
    },
    /// A process could not be started.
    #[snafu(display("{name} does not start: {source}"))]
    Start {
        /// Its name.
        name: String,
        /// Why.
        source: std::io::Error,
    },
    /// The fleet did not come up.
    #[snafu(display("the fleet is not ready after {seconds} s: {what}"))]
    NotReady {
        /// How long it was waited.
        seconds: u64,
        /// What was missing.
        what: String,
    },
}
