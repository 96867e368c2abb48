//! Errors that terminate the program or an operator's command with a non-zero exit status.

use std::net::SocketAddr;

use snafu::Snafu;

use crankpick_configuration::Finding;
use crankpick_control_plane::ControlPlaneError;
use crankpick_settings::SettingsError;

/// An error that terminates the program. Its message starts with its code from `docs/codes.md`.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SystemError {
    /// A request to a control-plane process failed.
    #[snafu(display("SYS-101: the request failed: {source}"))]
    RequestFailed {
        /// The HTTP client's error.
        source: reqwest::Error,
    },
    /// The asynchronous runtime can't be started.
    #[snafu(display("SYS-102: can't start the asynchronous runtime: {source}"))]
    Runtime {
        /// The I/O error.
        source: std::io::Error,
    },
    /// A signal handler can't be installed.
    #[snafu(display("SYS-103: can't install the signal handlers: {source}"))]
    Signals {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The role `gate` needs an address for clients.
    #[snafu(display("SYS-104: missing setting: listen.front"))]
    FrontMissing,
    /// The role `gate` needs an address for the platform's readiness checks.
    #[snafu(display("SYS-105: missing setting: listen.ready"))]
    ReadyMissing,
    /// The address for clients can't be bound.
    #[snafu(display("SYS-106: can't listen on {address}: {source}"))]
    FrontUnavailable {
        /// The address in the settings.
        address: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The settings file can't be read or isn't valid.
    #[snafu(transparent)]
    Settings {
        /// The cause, with file, line and remedy.
        source: SettingsError,
    },
    /// The control-plane process failed.
    #[snafu(transparent)]
    ControlPlane {
        /// The cause.
        source: ControlPlaneError,
    },
    /// A control-plane process rejected a request.
    #[snafu(display("SYS-110: the request was rejected: {body}"))]
    RequestRejected {
        /// The body of the response, with its own code.
        body: String,
    },
    /// An operator's configuration isn't valid.
    #[snafu(display("{}", one_per_line(findings)))]
    InvalidConfiguration {
        /// All findings.
        findings: Vec<Finding>,
    },
}

fn one_per_line(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
