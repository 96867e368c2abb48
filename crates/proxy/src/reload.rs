//! The configuration as a file: read and checked whole, at the start and again at each SIGHUP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::http::Uri;
use crankpick::interface::Repeat;
use crankpick_launch::{at, entry_values};
use serde_json::Value;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::decide::Decide;

/// Where the settings name no time for a query.
const STATEMENT: Duration = Duration::from_secs(60);

/// A workload by the name that requests use.
#[derive(Clone)]
pub struct Known {
    pub name: String,
    /// The module's for it.
    pub number: usize,
    pub repeat: Repeat,
    pub statement_timeout: Duration,
}

/// What requests may name, in the order of the settings.
pub struct Terms {
    pub workloads: Vec<Known>,
    pub tenants: Vec<String>,
}

impl Terms {
    /// The longest that an execution may take.
    pub fn longest(&self) -> Duration {
        self.workloads.iter().map(|workload| workload.statement_timeout).max().unwrap_or(STATEMENT)
    }

    pub fn new(settings: &Value, numbers: &[usize]) -> Result<Self, String> {
        let names: Vec<String> = entry_values(settings, "Workloads", "Name")?;
        let timeouts: Vec<u64> = entry_values(settings, "Workloads", "StatementTimeoutUs")?;
        let repeats = crankpick_launch::repeats(settings)?;
        let known = names.into_iter().zip(numbers).zip(repeats).zip(timeouts);
        let known = known.map(|(((name, number), repeat), timeout)| {
            let statement_timeout = said(timeout, STATEMENT);
            Known { name, number: *number, repeat, statement_timeout }
        });
        Ok(Terms { workloads: known.collect(), tenants: entry_values(settings, "Tenants", "Name")? })
    }
}

/// A time that the settings leave out reads as zero.
pub fn said(us: u64, unsaid: Duration) -> Duration {
    match us {
        0 => unsaid,
        us => Duration::from_micros(us),
    }
}

pub fn parsed(path: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{path}: no address in {text:?}"))
}

pub fn address(told: &Value, path: &str) -> Result<SocketAddr, String> {
    parsed(path, &at::<String>(told, path)?)
}

/// What a probe asks for: any path will do, as a request without an id is no query.
pub fn probe_path(told: &Value) -> Result<Uri, String> {
    let path: Option<String> = at(told, "probe_path")?;
    let path = path.unwrap_or_else(|| "/".into());
    let sound = path.parse().ok().filter(|uri: &Uri| path.starts_with('/') && uri.authority().is_none());
    sound.ok_or_else(|| format!("probe_path: no path in {path:?}"))
}

pub fn seed(told: &Value) -> Result<u64, String> {
    let text: String = at(told, "seed")?;
    u64::from_str_radix(&text, 16).map_err(|_| format!("seed: {text:?} is not hexadecimal"))
}

pub fn settings(told: &Value) -> Result<&Value, String> {
    told.get("settings").ok_or_else(|| "no settings".into())
}

/// The file as it is now, where it would do for a start.
pub fn told() -> Result<Value, String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG names no file")?;
    told_by(&path)
}

pub fn told_by(path: &str) -> Result<Value, String> {
    let text = std::fs::read_to_string(path).map_err(|wrong| format!("{path}: {wrong}"))?;
    let told: Value = serde_json::from_str(&text).map_err(|wrong| format!("{path}: {wrong}"))?;
    let conf = settings(&told)?;
    crankpick_launch::balancer(seed(&told)?, conf)?;
    Terms::new(conf, &[])?;
    address(&told, "listen")?;
    address(&told, "discovery")?;
    probe_path(&told)?;
    let none = |place: &Value, name: &str| place.get(name).is_some_and(|value| value.as_u64() == Some(0));
    if none(&conf["Limits"], "MaxExecutions") {
        return Err("Limits.MaxExecutions in the settings: 0 lets nothing be executed".into());
    }
    let mut names = Vec::new();
    for workload in conf["Workloads"].as_array().into_iter().flatten() {
        let name: String = at(workload, "Name")?;
        if let Some(time) = ["SloTimeUs", "StatementTimeoutUs"].iter().find(|time| none(workload, time)) {
            return Err(format!("{time} of workload {name:?} in the settings: 0 lets nothing be answered"));
        }
        if name.is_empty() || names.contains(&name) {
            return Err(format!("Workloads in the settings: no name, or one twice: {name:?}"));
        }
        names.push(name);
    }
    Ok(told)
}

/// What is there in the file in force and not in the new one; lists that hold something are held against what
/// all entries of the old one have.
fn missing(was: &Value, is: &Value, path: &str) -> Option<String> {
    match (was, is) {
        (Value::Object(was), Value::Object(is)) => was.iter().find_map(|(name, was)| {
            let path = format!("{path}{}{name}", if path.is_empty() { "" } else { "." });
            match is.get(name) {
                // What was null says no more than what is left out. The list is discovery's.
                None | Some(Value::Null) if was.is_null() => None,
                None | Some(Value::Null) => Some(path),
                Some(_) if path == "known" => None,
                Some(is) => missing(was, is, &path),
            }
        }),
        (Value::Array(was), Value::Array(is)) => {
            let (first, others) = was.split_first().filter(|(first, _)| first.is_object())?;
            let mut common = first.clone();
            let fields = common.as_object_mut()?;
            fields.retain(|name, _| others.iter().all(|other| other.get(name).is_some()));
            match is.is_empty() {
                true => Some(format!("{path}: an entry")),
                false => is.iter().find_map(|entry| missing(&common, entry, path)),
            }
        }
        (Value::Object(_) | Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

/// Takes the file anew at each SIGHUP: whole, or where it would not do for a start or lacks something, not at
/// all.
pub async fn follow(
    mut hangup: Signal,
    mut force: Value,
    decide: Arc<Decide>,
    terms: watch::Sender<Arc<Terms>>,
    place: watch::Sender<SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        match told().and_then(|told| taken(&force, &told, &decide).map(|taken| (told, taken))) {
            Ok((told, (new, discovery))) => {
                let workloads = new.workloads.len();
                tracing::info!(code = "reloaded", %discovery, workloads, "configuration read again");
                terms.send_replace(Arc::new(new));
                place.send_if_modified(|place| std::mem::replace(place, discovery) != discovery);
                force = told;
            }
            Err(wrong) => tracing::warn!(code = "reload_unsound", "all stays as it was: {wrong}"),
        }
    }
}

fn taken(force: &Value, told: &Value, decide: &Arc<Decide>) -> Result<(Terms, SocketAddr), String> {
    if let Some(path) = missing(force, told, "") {
        return Err(format!("{path} is missing"));
    }
    let (conf, discovery) = (settings(told)?, address(told, "discovery")?);
    let (workloads, tenants) = (crankpick_launch::workloads(conf)?, crankpick_launch::tenants(conf)?);
    let (limits, cold) = (crankpick_launch::limits(conf)?, crankpick_launch::cold_rule(conf)?);
    let numbers = decide.reload(workloads, tenants, limits, cold);
    Ok((Terms::new(conf, &numbers)?, discovery))
}
