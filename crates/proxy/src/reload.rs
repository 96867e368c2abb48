//! The configuration file: read and validated as a whole at startup and on each SIGHUP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::http::Uri;
use crankpick::interface::Repeat;
use crankpick_launch::{at, entry_values};
use serde_json::Value;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::balancer::BalancerHandle;

/// Default for `StatementTimeoutUs`.
const DEFAULT_STATEMENT_TIMEOUT: Duration = Duration::from_secs(60);

/// A workload, by the name that requests use.
#[derive(Clone)]
pub struct WorkloadConfig {
    pub name: String,
    /// The balancer's index of it.
    pub number: usize,
    pub repeat: Repeat,
    pub statement_timeout: Duration,
}

/// Workloads and tenants that requests may name, in the order of the settings.
pub struct RequestConfig {
    pub workloads: Vec<WorkloadConfig>,
    pub tenants: Vec<String>,
}

impl RequestConfig {
    /// The longest duration of an execution.
    pub fn longest(&self) -> Duration {
        self.workloads
            .iter()
            .map(|workload| workload.statement_timeout)
            .max()
            .unwrap_or(DEFAULT_STATEMENT_TIMEOUT)
    }

    pub fn new(settings: &Value, numbers: &[usize]) -> Result<Self, String> {
        let names: Vec<String> = entry_values(settings, "Workloads", "Name")?;
        let timeouts: Vec<u64> = entry_values(settings, "Workloads", "StatementTimeoutUs")?;
        let repeats = crankpick_launch::repeats(settings)?;
        let known = names.into_iter().zip(numbers).zip(repeats).zip(timeouts);
        let known = known.map(|(((name, number), repeat), timeout)| {
            let statement_timeout = duration_or(timeout, DEFAULT_STATEMENT_TIMEOUT);
            WorkloadConfig { name, number: *number, repeat, statement_timeout }
        });
        Ok(RequestConfig { workloads: known.collect(), tenants: entry_values(settings, "Tenants", "Name")? })
    }
}

/// Converts a duration; zero means that the settings omit it.
pub fn duration_or(us: u64, default: Duration) -> Duration {
    match us {
        0 => default,
        us => Duration::from_micros(us),
    }
}

pub fn parse_address(path: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{path}: invalid address {text:?}"))
}

pub fn address(config: &Value, path: &str) -> Result<SocketAddr, String> {
    parse_address(path, &at::<String>(config, path)?)
}

/// Request path of probes. Any path works, as a request without an id is not a query.
pub fn probe_path(config: &Value) -> Result<Uri, String> {
    let path: Option<String> = at(config, "probe_path")?;
    let path = path.unwrap_or_else(|| "/".into());
    let sound = path.parse().ok().filter(|uri: &Uri| path.starts_with('/') && uri.authority().is_none());
    sound.ok_or_else(|| format!("probe_path: invalid path {path:?}"))
}

pub fn seed(config: &Value) -> Result<u64, String> {
    let text: String = at(config, "seed")?;
    u64::from_str_radix(&text, 16).map_err(|_| format!("seed: {text:?} is not hexadecimal"))
}

pub fn settings(config: &Value) -> Result<&Value, String> {
    config.get("settings").ok_or_else(|| "settings are missing".into())
}

/// Reads the current file; fails unless it is valid for startup.
pub fn load() -> Result<Value, String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set")?;
    load_from(&path)
}

pub fn load_from(path: &str) -> Result<Value, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let config: Value = serde_json::from_str(&text).map_err(|error| format!("{path}: {error}"))?;
    let settings = settings(&config)?;
    crankpick_launch::balancer(seed(&config)?, settings)?;
    RequestConfig::new(settings, &[])?;
    address(&config, "listen")?;
    address(&config, "discovery")?;
    probe_path(&config)?;
    let is_zero =
        |object: &Value, name: &str| object.get(name).is_some_and(|value| value.as_u64() == Some(0));
    if is_zero(&settings["Limits"], "MaxExecutions") {
        return Err("Limits.MaxExecutions in the settings: must not be 0".into());
    }
    let mut names = Vec::new();
    for workload in settings["Workloads"].as_array().into_iter().flatten() {
        let name: String = at(workload, "Name")?;
        if let Some(time) = ["SloTimeUs", "StatementTimeoutUs"].iter().find(|time| is_zero(workload, time)) {
            return Err(format!("{time} of workload {name:?} in the settings: must not be 0"));
        }
        if name.is_empty() || names.contains(&name) {
            return Err(format!("Workloads in the settings: empty or duplicate name {name:?}"));
        }
        names.push(name);
    }
    Ok(config)
}

/// Path of a value that is in the current configuration but missing from the new one. Entries of a non-empty
/// list must have the fields that all entries of the current list have.
fn missing(current: &Value, new: &Value, path: &str) -> Option<String> {
    match (current, new) {
        (Value::Object(current), Value::Object(new)) => current.iter().find_map(|(name, current)| {
            let path = format!("{path}{}{name}", if path.is_empty() { "" } else { "." });
            match new.get(name) {
                // A null value counts as absent. The `known` list belongs to discovery.
                None | Some(Value::Null) if current.is_null() => None,
                None | Some(Value::Null) => Some(path),
                Some(_) if path == "known" => None,
                Some(new) => missing(current, new, &path),
            }
        }),
        (Value::Array(current), Value::Array(new)) => {
            let (first, others) = current.split_first().filter(|(first, _)| first.is_object())?;
            let mut common = first.clone();
            let fields = common.as_object_mut()?;
            fields.retain(|name, _| others.iter().all(|other| other.get(name).is_some()));
            match new.is_empty() {
                true => Some(format!("{path}: an entry")),
                false => new.iter().find_map(|entry| missing(&common, entry, path)),
            }
        }
        (Value::Object(_) | Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

/// Reloads the file on each SIGHUP: completely, or not at all if it is invalid or lacks a value that is in
/// current.
pub async fn follow(
    mut hangup: Signal,
    mut current: Value,
    balancer: Arc<BalancerHandle>,
    request_config: watch::Sender<Arc<RequestConfig>>,
    discovery_address: watch::Sender<SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        match load().and_then(|config| apply(&current, &config, &balancer).map(|taken| (config, taken))) {
            Ok((config, (new, discovery))) => {
                let workloads = new.workloads.len();
                tracing::info!(code = "reloaded", %discovery, workloads, "configuration read again");
                request_config.send_replace(Arc::new(new));
                discovery_address.send_if_modified(|discovery_address| {
                    std::mem::replace(discovery_address, discovery) != discovery
                });
                current = config;
            }
            Err(error) => tracing::warn!(code = "reload_unsound", "configuration not reloaded: {error}"),
        }
    }
}

fn apply(
    current: &Value,
    config: &Value,
    balancer: &Arc<BalancerHandle>,
) -> Result<(RequestConfig, SocketAddr), String> {
    if let Some(path) = missing(current, config, "") {
        return Err(format!("{path} is missing"));
    }
    let (settings, discovery) = (settings(config)?, address(config, "discovery")?);
    let (workloads, tenants) = (crankpick_launch::workloads(settings)?, crankpick_launch::tenants(settings)?);
    let (limits, cold) = (crankpick_launch::limits(settings)?, crankpick_launch::cold_rule(settings)?);
    let numbers = balancer.reload(workloads, tenants, limits, cold);
    Ok((RequestConfig::new(settings, &numbers)?, discovery))
}
