//! The program: its command line, its log, and which of its jobs it was started for.

mod admin;
mod backends;
mod bodies;
mod cli;
mod connect;
mod decide;
mod discovery;
mod fleet;
mod front;
mod handover;
mod in_flight;
mod lifecycle;
mod names;
mod operate;
mod peers;
mod places;
mod query;
mod reload;
mod serve;
mod share;

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

use crate::cli::{Cli, Log, Serve, What};

/// A log that nobody reads loses lines; it must not hold up queries, nor end the process.
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
    runtime.map_err(|wrong| format!("runtime: {wrong}"))?.block_on(serve::run(with))
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
    reload::told_by(&text.to_string())?;
    Ok(format!("{text}: sound"))
}

fn main() -> ExitCode {
    // Alone, as the platform starts it, it needs no command line: reading one would cost memory for good.
    let alone = std::env::args_os().len() == 1 && std::env::var_os("CRANKPICK_FLEET").is_none();
    let cli = if alone { Cli::default() } else { Cli::parse() };
    let done = match &cli.what {
        None => serve(cli.log, &cli.serve).map(|()| None),
        Some(What::Serve(with)) => {
            let fleet = with.fleet.clone().or(cli.serve.fleet.clone());
            serve(cli.log, &Serve { fleet }).map(|()| None)
        }
        Some(What::Check { file, name }) => check(file, name.as_deref()).map(Some),
        Some(What::Fleet(what)) => operate::operate(what).map(Some),
    };
    match done {
        Ok(said) => {
            // Whoever reads it may have gone.
            let _ = said.map(|said| writeln!(std::io::stdout(), "{said}"));
            ExitCode::SUCCESS
        }
        Err(wrong) => {
            let _ = writeln!(std::io::stderr(), "crankpick: {}", wrong.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
