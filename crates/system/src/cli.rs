//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use crankpick_settings::Settings;
use slog::Logger;

use crate::signals;

/// How long a status may take.
const STATUS_PATIENCE: Duration = Duration::from_secs(3);

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

/// What to do.
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
}

/// A role's start.
#[derive(Args)]
pub struct Role {
    /// The settings file
    #[arg(long, env = "CRANKPICK_SETTINGS", value_name = "FILE")]
    settings: PathBuf,
}

impl Role {
    /// Where the settings stand.
    pub fn settings(&self) -> Result<(PathBuf, Settings), String> {
        let settings = Settings::read(&self.settings).map_err(|wrong| wrong.to_string())?;
        Ok((self.settings.clone(), settings))
    }
}

/// What to check.
#[derive(Args)]
pub struct Check {
    /// The file
    file: PathBuf,
}

/// Whom to ask.
#[derive(Args)]
pub struct Status {
    /// The control address of any process of the control plane
    #[arg(long, value_name = "ADDRESS")]
    at: SocketAddr,
}

/// Runs a process of the control plane.
pub fn control_plane((path, settings): &(PathBuf, Settings), log: Logger) -> Result<(), String> {
    let runtime = signals::runtime()?;
    runtime.block_on(async {
        let terminate = signals::terminated()?;
        let ended = crankpick_control_plane::run(settings, path, terminate, log).await;
        ended.map_err(|wrong| wrong.to_string())
    })
}

/// Checks a file.
pub fn check(check: &Check) -> Result<(), String> {
    if check.file.extension().is_some_and(|extension| extension == "json") {
        return check_configuration(check);
    }
    let settings = Settings::read(&check.file).map_err(|wrong| wrong.to_string())?;
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

fn check_configuration(check: &Check) -> Result<(), String> {
    let findings = crankpick_configuration::check(&check.file);
    if findings.is_empty() {
        println!("{}: sound", check.file.display());
        return Ok(());
    }
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    Err(lines.join("\n"))
}

/// Prints a status.
pub fn status(status: &Status) -> Result<(), String> {
    let runtime = signals::runtime()?;
    let place = format!("http://{}/v1/status", status.at);
    let text = runtime.block_on(async {
        let client = reqwest::Client::builder().timeout(STATUS_PATIENCE).build()?;
        client.get(place).send().await?.error_for_status()?.text().await
    });
    println!("{}", text.map_err(|wrong: reqwest::Error| format!("SYS-101: no status: {wrong}"))?);
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/cli.rs"]
mod tests;
