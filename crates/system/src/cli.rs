//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use crankpick_settings::Settings;
use slog::Logger;
use snafu::{ensure, ResultExt};

use crate::error::{InvalidConfigurationSnafu, NoStatusSnafu, NotTakenSnafu, SystemError};
use crate::signals;

/// How long a process may take to answer `status`.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// A router fleet for language models.
#[derive(Parser)]
#[command(name = "crankpick-system", version, about = "A router fleet for language models")]
pub struct Cli {
    /// Which log lines are written
    #[arg(long, value_enum, default_value_t = Level::Info, global = true)]
    log: Level,
    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

/// Which log lines are written.
#[derive(Clone, Copy, ValueEnum)]
pub enum Level {
    /// Errors alone
    Error,
    /// Errors and warnings
    Warning,
    /// What an operator should see
    Info,
    /// All
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

/// The verbs of the command line.
#[derive(Subcommand)]
pub enum Command {
    /// Carry clients' requests and streams
    Gate(Role),
    /// Keep the configuration and the list of backends
    ControlPlane(Role),
    /// Say whether a settings file, or an operator's configuration (.json), would do
    Check(Check),
    /// Say how things stand at a process of the control plane
    Status(Status),
    /// Declare that a machine of the control plane is gone for good, so that nothing waits for it any more
    Gone(Gone),
}

/// Arguments of a role.
#[derive(Args)]
pub struct Role {
    /// The settings file
    #[arg(long, env = "CRANKPICK_SETTINGS", value_name = "FILE")]
    settings: PathBuf,
}

impl Role {
    /// The settings, and the path of their file, which is watched later.
    pub fn settings(&self) -> Result<(PathBuf, Settings), SystemError> {
        let settings = Settings::read(&self.settings)?;
        Ok((self.settings.clone(), settings))
    }
}

/// Arguments of `check`.
#[derive(Args)]
pub struct Check {
    /// The file
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

/// Runs a process of the control plane.
pub fn control_plane((path, settings): &(PathBuf, Settings), log: Logger) -> Result<(), SystemError> {
    let runtime = signals::runtime()?;
    runtime.block_on(async {
        let terminate = signals::terminated()?;
        crankpick_control_plane::run(settings, path, terminate, log).await?;
        Ok(())
    })
}

/// Checks a file.
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

/// What sound settings ask for that may not come about. One file tells of one machine alone: the status of a running
/// core tells what it bears.
fn hints(settings: &Settings) -> Vec<String> {
    let tolerated = settings.tolerate.nodes as usize;
    let needed = 2 * tolerated + 1;
    let mut hints = Vec::new();
    if tolerated > 0 && settings.counts_for_quorum && settings.data_dir.is_none() {
        hints.push(
            "SYS-108: counts_for_quorum without data_dir: what it holds is lost with its process".into(),
        );
    }
    if tolerated > 0 && !settings.seeds.is_empty() && settings.seeds.len() < needed {
        let seeds = settings.seeds.len();
        hints.push(format!(
            "SYS-109: tolerate.nodes={tolerated} needs {needed} members, seeds name {seeds}; see that more count"
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

/// Prints a status.
pub fn status(status: &Status) -> Result<(), SystemError> {
    let runtime = signals::runtime()?;
    let url = format!("http://{}/v1/status", status.at);
    let text: Result<String, reqwest::Error> = runtime.block_on(async {
        let client = reqwest::Client::builder().timeout(STATUS_TIMEOUT).build()?;
        client.get(url).send().await?.error_for_status()?.text().await
    });
    println!("{}", text.context(NoStatusSnafu)?);
    Ok(())
}

/// Declares that a machine is gone.
pub fn gone(gone: &Gone) -> Result<(), SystemError> {
    let runtime = signals::runtime()?;
    let url = format!("http://{}/v1/machines/{}", gone.at, gone.machine);
    let answer: Result<(reqwest::StatusCode, String), reqwest::Error> = runtime.block_on(async {
        let client = reqwest::Client::builder().timeout(STATUS_TIMEOUT).build()?;
        let response = client.delete(url).send().await?;
        Ok((response.status(), response.text().await?))
    });
    let (status, text) = answer.context(NoStatusSnafu)?;
    ensure!(status.is_success(), NotTakenSnafu { text });
    println!("{}: nothing waits for it any more", gone.machine);
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/cli.rs"]
mod tests;
