//! What ends a program of the fleet, or a command of an operator, with a non-zero exit.

use std::net::SocketAddr;

use snafu::Snafu;

use crankpick_configuration::Finding;
use crankpick_control_plane::ControlPlaneError;
use crankpick_settings::SettingsError;

/// An error that ends the program. Its text begins with its code of `docs/codes.md`.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SystemError {
    /// A control-plane process didn't answer `status`.
    #[snafu(display("SYS-101: no status: {source}"))]
    NoStatus {
        /// The HTTP client's error.
        source: reqwest::Error,
    },
    /// The asynchronous runtime can't be started.
    #[snafu(display("SYS-102: no runtime: {source}"))]
    Runtime {
        /// The system's error.
        source: std::io::Error,
    },
    /// A signal handler can't be installed.
    #[snafu(display("SYS-103: signals can't be heard: {source}"))]
    Signals {
        /// The system's error.
        source: std::io::Error,
    },
    /// The role `gate` needs an address for clients.
    #[snafu(display("SYS-104: the settings lack listen.front"))]
    FrontMissing,
    /// The role `gate` needs an address for the platform's readiness checks.
    #[snafu(display("SYS-105: the settings lack listen.ready"))]
    ReadyMissing,
    /// The address for clients can't be bound.
    #[snafu(display("SYS-106: {address}: {source}"))]
    FrontUnavailable {
        /// The address in the settings.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The settings file can't be read, or isn't valid.
    #[snafu(transparent)]
    Settings {
        /// The finding, with file, line and remedy.
        source: SettingsError,
    },
    /// The control plane's host ended with an error.
    #[snafu(transparent)]
    ControlPlane {
        /// The host's error.
        source: ControlPlaneError,
    },
    /// A process of the control plane refused a request.
    #[snafu(display("SYS-110: not taken: {text}"))]
    NotTaken {
        /// The body of the answer, with a code of its own.
        text: String,
    },
    /// An operator's configuration isn't valid.
    #[snafu(display("{}", one_a_line(findings)))]
    InvalidConfiguration {
        /// All that is wrong with it.
        findings: Vec<Finding>,
    },
}

fn one_a_line(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
