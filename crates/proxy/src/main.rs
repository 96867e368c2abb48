//! The `crankpick` binary: parses the command line, sets up logging and runs the requested command.

mod admin;
mod backends;
mod balancer;
mod bodies;
mod cli;
mod connect;
mod discovery;
mod endpoints;
mod fleet;
mod front;
mod handover;
mod in_flight;
mod lifecycle;
mod operate;
mod peers;
mod permits;
mod query;
mod registry;
mod reload;
mod serve;

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

use crate::cli::{Cli, Command, Log, Serve};

/// Sets up non-blocking logging. When nobody reads the output, lines are dropped: logging must neither delay
/// queries nor end the process.
fn log(kind: Log) -> WorkerGuard {
    let (log, flush) = NonBlockingBuilder::default().buffered_lines_limit(4_096).finish(std::io::stderr());
    let format = tracing_subscriber::fmt().with_ansi(false).with_target(false).log_internal_errors(false);
    match kind {
        Log::Text => format.with_writer(log).init(),
        Log::Json => format.json().flatten_event(true).with_writer(log).init(),
    }
    flush
}

fn serve(kind: Log, with: &Serve) -> Result<(), String> {
    let _flush = log(kind);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| format!("runtime: {error}"))?.block_on(serve::run(with))
}

fn check(file: &Path, name: Option<&str>) -> Result<String, String> {
    let text = file.display();
    if file.extension().is_some_and(|kind| kind == "toml") {
        let file = crankpick_carry::file::read(file, name)?;
        let voter = if file.listen.is_some() { "a voter" } else { "no voter" };
        let voters = file.voters.len();
        return Ok(format!(
            "{text}: sound; fleet {:?}, {voters} voters, {:?} is {voter}",
            file.plan.fleet, file.plan.name
        ));
    }
    reload::load_from(&text.to_string())?;
    Ok(format!("{text}: sound"))
}

fn main() -> ExitCode {
    // Started by the platform without arguments: skip command-line parsing, whose memory would stay allocated
    // for the life of the process.
    let no_arguments = std::env::args_os().len() == 1 && std::env::var_os("CRANKPICK_FLEET").is_none();
    let cli = if no_arguments { Cli::default() } else { Cli::parse() };
    let result = match &cli.command {
        None => serve(cli.log, &cli.serve).map(|()| None),
        Some(Command::Serve(with)) => {
            let fleet = with.fleet.clone().or(cli.serve.fleet.clone());
            serve(cli.log, &Serve { fleet }).map(|()| None)
        }
        Some(Command::Check { file, name }) => check(file, name.as_deref()).map(Some),
        Some(Command::Fleet(command)) => operate::run(command).map(Some),
    };
    match result {
        Ok(output) => {
            // A closed stdout is not an error.
            let _ = output.map(|output| writeln!(std::io::stdout(), "{output}"));
            ExitCode::SUCCESS
        }
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "crankpick: {}", error.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
