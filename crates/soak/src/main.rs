//! Plays soak runs by their seeds; ends with 1 where an invariant broke, with 2 where a run could not be played.

use std::future::pending;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use crankpick_soak::configuration::IdleTimeouts;
use crankpick_soak::layout::Shape;
use crankpick_soak::run::{self, Options};
use tokio::signal::unix::{signal, SignalKind};

/// Real processes under drawn faults.
#[derive(Parser)]
#[command(name = "crankpick-soak", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play one run
    Run {
        /// All that is drawn is drawn from it
        #[arg(long)]
        seed: u64,
        #[command(flatten)]
        choices: Choices,
    },
    /// Play a run for each of several seeds, one after the other
    Many {
        /// The seeds: FIRST..LAST, both of them played
        #[arg(long, value_parser = seeds)]
        seeds: (u64, u64),
        #[command(flatten)]
        choices: Choices,
    },
}

#[derive(Args)]
struct Choices {
    /// How long troubles last
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Clients
    #[arg(long, default_value_t = 200)]
    clients: usize,
    /// No troubles: traffic, idle connections and changes alone
    #[arg(long)]
    quiet: bool,
    /// All processes are slow throughout
    #[arg(long)]
    slow: bool,
    /// The smallest fleet
    #[arg(long)]
    small: bool,
    /// The idle timeout of all configurations, in milliseconds, instead of drawn ones
    #[arg(long, value_name = "MS")]
    idle_timeout: Option<u64>,
    /// Log lines that hold one of these words break an invariant
    #[arg(long, value_name = "WORD", default_values = crankpick_soak::log::PATTERNS)]
    pattern: Vec<String>,
    /// Where a failed run's folder stays
    #[arg(long, default_value = "target/soak/system")]
    out: PathBuf,
    /// Keep the folders of all runs
    #[arg(long)]
    keep: bool,
}

impl Choices {
    fn options(&self, seed: u64) -> Options {
        Options {
            seconds: self.seconds,
            clients: self.clients,
            quiet: self.quiet,
            slow: self.slow,
            shape: self.small.then(Shape::small),
            idle_timeouts: self.idle_timeout.map(Duration::from_millis).map(IdleTimeouts::Constant),
            patterns: self.pattern.clone(),
            keep: self.keep,
            ..Options::new(seed, &self.out)
        }
    }
}

fn seeds(text: &str) -> Result<(u64, u64), String> {
    let (first, last) = text.split_once("..").ok_or("not FIRST..LAST")?;
    let number = |text: &str| text.parse::<u64>().map_err(|wrong| wrong.to_string());
    Ok((number(first)?, number(last)?))
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let played = async {
        match &cli.command {
            Command::Run { seed, choices } => play(*seed, *seed, choices).await,
            Command::Many { seeds: (first, last), choices } => play(*first, *last, choices).await,
        }
    };
    // The processes under test end with this one.
    tokio::select! {
        code = played => code,
        () = told_to_end() => ExitCode::from(2),
    }
}

/// Comes with SIGINT or SIGTERM; never where they can't be heard.
async fn told_to_end() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return pending().await };
    let Ok(mut interrupt) = signal(SignalKind::interrupt()) else { return pending().await };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn play(first: u64, last: u64, choices: &Choices) -> ExitCode {
    let (mut broken, mut unplayed) = (Vec::new(), Vec::new());
    for seed in first..=last {
        match run::run(&choices.options(seed)).await {
            Ok(report) => {
                print!("{report}");
                if !report.verdict.holds() {
                    broken.push(seed);
                }
            }
            Err(wrong) => {
                println!("seed {seed}: not played: {wrong}");
                unplayed.push(seed);
            }
        }
    }
    println!("seeds {first}..{last}: broken {broken:?}, not played {unplayed:?}");
    match (broken.is_empty(), unplayed.is_empty()) {
        (false, _) => ExitCode::from(1),
        (true, false) => ExitCode::from(2),
        (true, true) => ExitCode::SUCCESS,
    }
}
