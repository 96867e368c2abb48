//! The command line. `crankpick` alone serves, as the platform starts it.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

#[derive(Default, Parser)]
#[command(name = "crankpick", version, about = "A load-balancing proxy for fleets of HTTP servers")]
pub struct Cli {
    #[command(flatten)]
    pub serve: Serve,
    /// How log lines are written
    #[arg(long, value_enum, default_value_t = Log::Text, global = true)]
    pub log: Log,
    #[command(subcommand)]
    pub what: Option<What>,
}

#[derive(Clone, Copy, Default, ValueEnum, PartialEq)]
pub enum Log {
    #[default]
    Text,
    Json,
}

#[derive(clap::Args, Clone, Default)]
pub struct Serve {
    /// The operators' file that joins this proxy to a fleet; without it nothing of that part starts
    #[arg(long, env = "CRANKPICK_FLEET", value_name = "FILE")]
    pub fleet: Option<PathBuf>,
}

#[derive(Subcommand)]
pub enum What {
    /// Serve, with the configuration that EDGE_CONFIG names (what no command at all does too)
    Serve(Serve),
    /// Say whether a file would do: a configuration (.json) or a fleet file (.toml)
    Check {
        file: PathBuf,
        /// The proxy's name, for a fleet file that gives none
        #[arg(long)]
        name: Option<String>,
    },
    /// Ask the fleet, or tell it something, through any proxy of it
    #[command(subcommand)]
    Fleet(Fleet),
}

#[derive(clap::Args)]
pub struct At {
    /// The second address of any proxy of the fleet
    #[arg(long, env = "CRANKPICK_AT", value_name = "ADDRESS")]
    pub at: SocketAddr,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

#[derive(clap::Args)]
pub struct Backends {
    /// Backends, by the ids that discovery lists
    #[arg(required = true, value_name = "ID")]
    pub ids: Vec<String>,
    #[command(flatten)]
    pub at: At,
    /// The call's own id, in hexadecimal: repeated with the same one it is carried out once
    #[arg(long, value_parser = call_id)]
    pub call: Option<u128>,
    /// How long to wait until every proxy has acted, in seconds
    #[arg(long, default_value_t = 3.0)]
    pub wait: f64,
}

#[derive(Subcommand)]
pub enum Fleet {
    /// Who leads, who is there, which version each proxy acts on
    Status(At),
    /// Who owns which duty
    Owner(At),
    /// Take backends out at every proxy
    Out(Backends),
    /// Let them be used again
    Back(Backends),
    /// Vouch that a proxy which left is down and will send nothing: work no longer waits for it
    Forget(Named),
    /// Machines out for work, in an order that the proxies settle among themselves
    #[command(subcommand)]
    Work(Work),
}

#[derive(clap::Args)]
pub struct Named {
    /// A plan, a machine or a proxy
    #[arg(value_parser = one_word)]
    pub name: String,
    #[command(flatten)]
    pub at: At,
    /// The call's own id, in hexadecimal: repeated with the same one it is carried out once
    #[arg(long, value_parser = call_id)]
    pub call: Option<u128>,
}

#[derive(clap::Args)]
pub struct Add {
    /// The plan, as TOML
    pub plan: PathBuf,
    #[command(flatten)]
    pub at: At,
    /// The call's own id, in hexadecimal: repeated with the same one it is carried out once
    #[arg(long, value_parser = call_id)]
    pub call: Option<u128>,
}

#[derive(clap::Args)]
pub struct Show {
    pub plan: String,
    #[command(flatten)]
    pub at: At,
}

#[derive(Subcommand)]
pub enum Work {
    /// Give the fleet a plan
    Add(Add),
    /// All plans, a line each
    List(At),
    /// One plan: each machine's stage, and what is waited for
    Show(Show),
    /// Nothing more goes out
    Pause(Named),
    /// Go on
    Resume(Named),
    /// Nothing more goes out; what is under work comes back when it is done
    Cancel(Named),
    /// Work on this machine is over
    Done(Named),
    /// Work on this machine failed: it stays out until it is done
    Failed(Named),
}

fn one_word(text: &str) -> Result<String, String> {
    match text.is_empty() || text.contains(char::is_whitespace) {
        true => Err("one word".into()),
        false => Ok(text.to_owned()),
    }
}

fn call_id(text: &str) -> Result<u128, String> {
    u128::from_str_radix(text, 16).map_err(|wrong| wrong.to_string())
}
