//! The command line. Without arguments `crankpick` serves, which is how the platform starts it.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

#[derive(Default, Parser)]
#[command(name = "crankpick", version, about = "A load-balancing proxy for fleets of HTTP servers")]
pub struct Cli {
    #[command(flatten)]
    pub serve: Serve,
    /// Log format
    #[arg(long, value_enum, default_value_t = Log::Text, global = true)]
    pub log: Log,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Clone, Copy, Default, ValueEnum, PartialEq)]
pub enum Log {
    #[default]
    Text,
    Json,
}

#[derive(clap::Args, Clone, Default)]
pub struct Serve {
    /// Fleet file that joins this proxy to a fleet; without it all fleet functions are off
    #[arg(long, env = "CRANKPICK_FLEET", value_name = "FILE")]
    pub fleet: Option<PathBuf>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serve with the configuration that EDGE_CONFIG names (the default without a command)
    Serve(Serve),
    /// Validate a file: a configuration (.json) or a fleet file (.toml)
    Check {
        file: PathBuf,
        /// Name of the proxy, for a fleet file that contains none
        #[arg(long)]
        name: Option<String>,
    },
    /// Query or control the fleet through any of its proxies
    #[command(subcommand)]
    Fleet(Fleet),
}

#[derive(clap::Args)]
pub struct ProxyTarget {
    /// Second address of any proxy of the fleet
    #[arg(long, env = "CRANKPICK_AT", value_name = "ADDRESS")]
    pub at: SocketAddr,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

#[derive(clap::Args)]
pub struct Backends {
    /// Backend ids as listed by discovery
    #[arg(required = true, value_name = "ID")]
    pub ids: Vec<String>,
    #[command(flatten)]
    pub at: ProxyTarget,
    /// Id of the call, in hexadecimal: calls repeated with the same id are carried out once
    #[arg(long, value_parser = call_id)]
    pub call: Option<u128>,
    /// How long to wait until every proxy has applied the change, in seconds
    #[arg(long, default_value_t = 3.0)]
    pub wait: f64,
}

#[derive(Subcommand)]
pub enum Fleet {
    /// Show the leader, the members and the version that each proxy has applied
    Status(ProxyTarget),
    /// Show the owner of each duty
    Owner(ProxyTarget),
    /// Take backends out of service at every proxy
    Out(Backends),
    /// Put backends back into service
    Back(Backends),
    /// Confirm that a departed proxy is down and will send nothing, so that work no longer waits for it
    Forget(NamedTarget),
    /// Take machines out of service for maintenance, in an order that the proxies agree on
    #[command(subcommand)]
    Work(Work),
}

#[derive(clap::Args)]
pub struct NamedTarget {
    /// Name of a plan, a machine or a proxy
    #[arg(value_parser = one_word)]
    pub name: String,
    #[command(flatten)]
    pub at: ProxyTarget,
    /// Id of the call, in hexadecimal: calls repeated with the same id are carried out once
    #[arg(long, value_parser = call_id)]
    pub call: Option<u128>,
}

#[derive(clap::Args)]
pub struct Add {
    /// The plan, a TOML file
    pub plan: PathBuf,
    #[command(flatten)]
    pub at: ProxyTarget,
    /// Id of the call, in hexadecimal: calls repeated with the same id are carried out once
    #[arg(long, value_parser = call_id)]
    pub call: Option<u128>,
}

#[derive(clap::Args)]
pub struct Show {
    pub plan: String,
    #[command(flatten)]
    pub at: ProxyTarget,
}

#[derive(Subcommand)]
pub enum Work {
    /// Add a plan
    Add(Add),
    /// List all plans, one per line
    List(ProxyTarget),
    /// Show a plan: the stage of each machine, and what it waits for
    Show(Show),
    /// Pause a plan: no further machine is taken out
    Pause(NamedTarget),
    /// Resume a paused plan
    Resume(NamedTarget),
    /// Cancel a plan: no further machine is taken out; machines under work come back when it is done
    Cancel(NamedTarget),
    /// Report that work on a machine is finished
    Done(NamedTarget),
    /// Report that work on a machine failed: it stays out until the work is done
    Failed(NamedTarget),
}

fn one_word(text: &str) -> Result<String, String> {
    match text.is_empty() || text.contains(char::is_whitespace) {
        true => Err("one word".into()),
        false => Ok(text.to_owned()),
    }
}

fn call_id(text: &str) -> Result<u128, String> {
    u128::from_str_radix(text, 16).map_err(|error| error.to_string())
}
