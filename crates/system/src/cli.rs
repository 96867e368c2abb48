//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use crankpick_settings::Settings;
use slog::Logger;
use snafu::{ensure, ResultExt};

use crate::error::{InvalidConfigurationSnafu, RequestFailedSnafu, RequestRejectedSnafu, SystemError};
use crate::signals;

/// The timeout of requests to a control-plane process.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// A router fleet for language models.
#[derive(Parser)]
#[command(name = "crankpick-system", version, about = "A router fleet for language models")]
pub struct Cli {
    /// The minimum level of log lines
    #[arg(long, value_enum, default_value_t = Level::Info, global = true)]
    log: Level,
    /// The command to run
    #[command(subcommand)]
    pub command: Command,
}

/// The minimum level of log lines.
#[derive(Clone, Copy, ValueEnum)]
pub enum Level {
    /// Only errors
    Error,
    /// Errors and warnings
    Warning,
    /// Errors, warnings and informational lines
    Info,
    /// All lines
    Debug,
}

impl Cli {
    /// The level of the log.
    pub fn level(&self) -> slog::Level {
        match self.log {
            Level::Error => slog::Level::Error,
            Level::Warning => slog::Level::Warning,
            Level::Info => slog::Level::Info,
            Level::Debug => slog::Level::Debug,
        }
    }
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Run a gateway, which forwards clients' requests and streams
    Gate(Role),
    /// Run a control-plane process, which stores the configuration and the list of backends
    ControlPlane(Role),
    /// Validate a settings file, or an operator's configuration (.json)
    Check(Check),
    /// Print the status of a control-plane process
    Status(Status),
    /// Declare that a control-plane machine is permanently gone, so that no operation waits for it
    Gone(Gone),
}

/// Arguments of the commands that run a process.
#[derive(Args)]
pub struct Role {
    /// The settings file
    #[arg(long, env = "CRANKPICK_SETTINGS", value_name = "FILE")]
    settings: PathBuf,
}

impl Role {
    /// Reads the settings. Also returns the path of their file, which is watched for changes.
    pub fn settings(&self) -> Result<(PathBuf, Settings), SystemError> {
        let settings = Settings::read(&self.settings)?;
        Ok((self.settings.clone(), settings))
    }
}

/// Arguments of `check`.
#[derive(Args)]
pub struct Check {
    /// The file to validate
    file: PathBuf,
}

/// Arguments of `status`.
#[derive(Args)]
pub struct Status {
    /// The control address of any process of the control plane
    #[arg(long, value_name = "ADDRESS")]
    at: SocketAddr,
}

/// Arguments of `gone`.
#[derive(Args)]
pub struct Gone {
    /// The control address of any process of the control plane
    #[arg(long, value_name = "ADDRESS")]
    at: SocketAddr,
    /// The internal address of the machine that is gone: its ip, and the first port of its port_range
    machine: SocketAddr,
}

/// Runs a control-plane process.
pub fn control_plane((path, settings): &(PathBuf, Settings), log: Logger) -> Result<(), SystemError> {
    let runtime = signals::runtime()?;
    runtime.block_on(async {
        let terminate = signals::terminated()?;
        crankpick_control_plane::run(settings, path, terminate, log).await?;
        Ok(())
    })
}

/// Validates a file.
pub fn check(check: &Check) -> Result<(), SystemError> {
    if check.file.extension().is_some_and(|extension| extension == "json") {
        return check_configuration(check);
    }
    let settings = Settings::read(&check.file)?;
    println!("{}: sound", check.file.display());
    for hint in hints(&settings) {
        println!("{hint}");
    }
    Ok(())
}

/// Warnings about valid settings whose fault tolerance may not be achievable. The settings describe only one machine; the
/// status of a running process shows the actual fault tolerance.
fn hints(settings: &Settings) -> Vec<String> {
    let tolerated = settings.tolerate.nodes as usize;
    let needed = 2 * tolerated + 1;
    let mut hints = Vec::new();
    if tolerated > 0 && settings.counts_for_quorum && settings.data_dir.is_none() {
        hints.push(
            "SYS-108: counts_for_quorum without data_dir: the state of the process is lost when it ends"
                .into(),
        );
    }
    if tolerated > 0 && !settings.seeds.is_empty() && settings.seeds.len() < needed {
        let seeds = settings.seeds.len();
        hints.push(format!(
            "SYS-109: tolerate.nodes={tolerated} needs {needed} members, but there are only {seeds} seeds; add members if no others exist"
        ));
    }
    hints
}

fn check_configuration(check: &Check) -> Result<(), SystemError> {
    let findings = crankpick_configuration::check(&check.file);
    ensure!(findings.is_empty(), InvalidConfigurationSnafu { findings });
    println!("{}: sound", check.file.display());
    Ok(())
}

/// Prints the status of a control-plane process.
pub fn status(status: &Status) -> Result<(), SystemError> {
    let runtime = signals::runtime()?;
    let url = format!("http://{}/v1/status", status.at);
    let text: Result<String, reqwest::Error> = runtime.block_on(async {
        let client = reqwest::Client::builder().timeout(REQUEST_TIMEOUT).build()?;
        client.get(url).send().await?.error_for_status()?.text().await
    });
    println!("{}", text.context(RequestFailedSnafu)?);
    Ok(())
}

/// Declares that a machine is permanently gone.
pub fn gone(gone: &Gone) -> Result<(), SystemError> {
    let runtime = signals::runtime()?;
    let url = format!("http://{}/v1/machines/{}", gone.at, gone.machine);
    let response: Result<(reqwest::StatusCode, String), reqwest::Error> = runtime.block_on(async {
        let client = reqwest::Client::builder().timeout(REQUEST_TIMEOUT).build()?;
        let response = client.delete(url).send().await?;
        Ok((response.status(), response.text().await?))
    });
    let (status, body) = response.context(RequestFailedSnafu)?;
    ensure!(status.is_success(), RequestRejectedSnafu { body });
    println!("{}: declared gone", gone.machine);
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/cli.rs"]
mod tests;
