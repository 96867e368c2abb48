//! The programs of the fleet, one subcommand for each role.

mod cli;
mod error;
mod gate;
mod home_link;
mod log;
mod metrics;
mod ready;
mod signals;

use std::process::ExitCode;

use clap::Parser;
use slog::error;

use crate::cli::{Cli, Command};
use crate::error::SystemError;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log::to_stderr(cli.level()), "{}", error);
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> Result<(), SystemError> {
    let log = log::to_stderr(cli.level());
    match &cli.command {
        Command::Gate(role) => gate::run(&role.settings()?, log),
        Command::ControlPlane(role) => cli::control_plane(&role.settings()?, log),
        Command::Check(check) => cli::check(check),
        Command::Status(status) => cli::status(status),
        Command::Gone(gone) => cli::gone(gone),
    }
}
