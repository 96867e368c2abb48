//! Parses keys and values into typed settings.

use std::fs::File;
use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use crate::code::{SettingsCode, SettingsError};
use crate::model::{Bounds, Limits, Listen, PortRange, Settings, Tolerate};
use crate::properties::Properties;

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "CRANKPICK_SETTINGS";
/// The maximum size of a settings file.
const MAX_BYTES: u64 = 1 << 20;
/// The maximum of numeric values: a century in milliseconds, far beyond any useful time, size or count.
const MAX_NUMBER: f64 = 3.2e12;
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The path of the settings file, from [`SETTINGS_VARIABLE`].
pub fn path_from_environment() -> Result<PathBuf, SettingsError> {
    match std::env::var_os(SETTINGS_VARIABLE) {
        Some(path) if !path.is_empty() => Ok(PathBuf::from(path)),
        _ => Err(SettingsError {
            code: SettingsCode::PathNotSet,
            file: PathBuf::from(SETTINGS_VARIABLE),
            line: None,
            message: "the path of the settings file is not set".to_owned(),
        }),
    }
}

impl Settings {
    /// Reads a settings file. Fails if any part of it is invalid.
    pub fn read(path: impl AsRef<Path>) -> Result<Settings, SettingsError> {
        let path = path.as_ref();
        Settings::parse(path, &read_contents(path)?)
    }

    /// Parses the contents of a settings file. The path is used only in error messages.
    pub fn parse(path: &Path, bytes: &[u8]) -> Result<Settings, SettingsError> {
        let properties = Properties::parse(path, bytes)?;
        let zone = required(&properties, "zone")?;
        let region = optional(&properties, "region");
        let mut zones = pairs(&properties, "zones.");
        zones.entry(zone.clone()).or_insert_with(|| region.clone());
        let settings = Settings {
            node: required(&properties, "node")?,
            role: optional(&properties, "role"),
            node_class: optional(&properties, "node_class"),
            serves: list(&properties, "serves"),
            ip: ip(&properties)?,
            zone,
            region,
            zones,
            listen: listen(&properties)?,
            port_range: port_range(&properties)?,
            seeds: seeds(&properties)?,
            bootstrap: flag(&properties, "bootstrap", false)?,
            counts_for_quorum: flag(&properties, "counts_for_quorum", false)?,
            limits: limits(&properties)?,
            data_dir: properties.text("data_dir").map(PathBuf::from),
            heartbeat: milliseconds(&properties, "heartbeat_ms", DEFAULT_HEARTBEAT)?,
            contracts: list(&properties, "contracts"),
            tolerate: tolerate(&properties)?,
            bounds: bounds(&properties)?,
        };
        check_listen_addresses(&properties, &settings)?;
        Ok(settings)
    }
}

/// Reads the contents of a settings file.
pub(crate) fn read_contents(path: &Path) -> Result<Vec<u8>, SettingsError> {
    let error = |code, message| SettingsError { code, file: path.to_owned(), line: None, message };
    let unreadable = |cause: io::Error| error(SettingsCode::Unreadable, cause.to_string());
    let file = File::open(path).map_err(unreadable)?;
    let mut bytes = Vec::new();
    file.take(MAX_BYTES + 1).read_to_end(&mut bytes).map_err(unreadable)?;
    if bytes.len() as u64 > MAX_BYTES {
        return Err(error(SettingsCode::TooLarge, format!("the file is larger than {MAX_BYTES} bytes")));
    }
    Ok(bytes)
}

fn check_listen_addresses(properties: &Properties, settings: &Settings) -> Result<(), SettingsError> {
    let missing =
        |key: &str| properties.error(SettingsCode::MissingKey, "serves", format!("{key} is missing"));
    if settings.serves_edge() && settings.listen.front.is_none() {
        return Err(missing("listen.front"));
    }
    if settings.serves_edge() && settings.listen.ready.is_none() {
        return Err(missing("listen.ready"));
    }
    if settings.serves_control() && settings.listen.control.is_none() {
        return Err(missing("listen.control"));
    }
    Ok(())
}

fn limits(properties: &Properties) -> Result<Limits, SettingsError> {
    let default = Limits::default();
    Ok(Limits {
        cpu_share: positive(properties, "limits.cpu_share", default.cpu_share)?,
        cpus: positive(properties, "limits.cpus", default.cpus)?,
        memory_mb: positive(properties, "limits.memory_mb", default.memory_mb as f64)? as u64,
        max_fds: positive(properties, "limits.max_fds", default.max_fds as f64)? as u64,
        link_mbps: positive(properties, "limits.link_mbps", default.link_mbps)?,
        disk_mb: number(properties, "limits.disk_mb")?.map(|megabytes| megabytes as u64),
    })
}

fn tolerate(properties: &Properties) -> Result<Tolerate, SettingsError> {
    let default = Tolerate::default();
    Ok(Tolerate {
        nodes: count(properties, "tolerate.nodes", default.nodes)?,
        zones: count(properties, "tolerate.zones", default.zones)?,
        regions: count(properties, "tolerate.regions", default.regions)?,
    })
}

fn bounds(properties: &Properties) -> Result<Bounds, SettingsError> {
    let default = Bounds::default();
    Ok(Bounds {
        seed_lag: seconds(properties, "bounds.seed_lag_s", default.seed_lag)?,
        reuse_after: seconds(properties, "bounds.reuse_after_s", default.reuse_after)?,
        contact: milliseconds(properties, "bounds.contact_ms", default.contact)?,
        ack: milliseconds(properties, "bounds.ack_ms", default.ack)?,
        catch_up: seconds(properties, "bounds.catch_up_s", default.catch_up)?,
        drain: milliseconds(properties, "bounds.drain_ms", default.drain)?,
        grace: seconds(properties, "bounds.grace_s", default.grace)?,
        loss_slack: milliseconds(properties, "bounds.loss_slack_ms", default.loss_slack)?,
        config_apply: milliseconds(properties, "bounds.config_apply_ms", default.config_apply)?,
        revert: milliseconds(properties, "bounds.revert_ms", default.revert)?,
        skew: milliseconds(properties, "bounds.skew_ms", default.skew)?,
        revoked: flag(properties, "bounds.revoked", default.revoked)?,
        revoke: milliseconds(properties, "bounds.revoke_ms", default.revoke)?,
        retry_ratio: number(properties, "bounds.retry_ratio")?.unwrap_or(default.retry_ratio),
        retry_window: seconds(properties, "bounds.retry_window_s", default.retry_window)?,
        retry_slack: number(properties, "bounds.retry_slack")?.unwrap_or(default.retry_slack),
        quota_window: seconds(properties, "bounds.quota_window_s", default.quota_window)?,
        quota_over: number(properties, "bounds.quota_over")?.unwrap_or(default.quota_over),
        quota_slack: number(properties, "bounds.quota_slack")?.unwrap_or(default.quota_slack),
        recover: seconds(properties, "bounds.recover_s", default.recover)?,
        pass: milliseconds(properties, "bounds.pass_ms", default.pass)?,
        again: seconds(properties, "bounds.again_s", default.again)?,
    })
}

fn required(properties: &Properties, key: &str) -> Result<String, SettingsError> {
    match properties.text(key) {
        Some(value) => Ok(value.to_owned()),
        None => Err(properties.error(SettingsCode::MissingKey, key, format!("{key} is missing"))),
    }
}

fn optional(properties: &Properties, key: &str) -> String {
    properties.text(key).unwrap_or_default().to_owned()
}

fn list(properties: &Properties, key: &str) -> Vec<String> {
    properties.list(key).map(str::to_owned).collect()
}

fn pairs(properties: &Properties, prefix: &str) -> std::collections::BTreeMap<String, String> {
    properties.with_prefix(prefix).map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

fn ip(properties: &Properties) -> Result<Ipv4Addr, SettingsError> {
    let text = required(properties, "ip")?;
    Ipv4Addr::from_str(&text).map_err(|_| {
        properties.error(SettingsCode::InvalidAddress, "ip", format!("ip is not an IPv4 address: {text:?}"))
    })
}

fn listen(properties: &Properties) -> Result<Listen, SettingsError> {
    Ok(Listen {
        front: address(properties, "listen.front")?,
        ready: address(properties, "listen.ready")?,
        control: address(properties, "listen.control")?,
    })
}

fn address(properties: &Properties, key: &str) -> Result<Option<SocketAddr>, SettingsError> {
    properties.text(key).map(|text| socket_address(properties, key, text)).transpose()
}

fn seeds(properties: &Properties) -> Result<Vec<SocketAddr>, SettingsError> {
    properties.list("seeds").map(|text| socket_address(properties, "seeds", text)).collect()
}

fn socket_address(properties: &Properties, key: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    let parsed = SocketAddrV4::from_str(text);
    match parsed {
        Ok(address) => Ok(SocketAddr::V4(address)),
        Err(_) => {
            let message = format!("{key} is not an address with a port: {text:?}");
            Err(properties.error(SettingsCode::InvalidAddress, key, message))
        }
    }
}

fn port_range(properties: &Properties) -> Result<PortRange, SettingsError> {
    let key = "port_range";
    let text = required(properties, key)?;
    let invalid = || {
        properties.error(
            SettingsCode::InvalidPortRange,
            key,
            format!("port_range is not two ports in ascending order: {text:?}"),
        )
    };
    let (first, last) = text.split_once(',').ok_or_else(invalid)?;
    let first: u16 = first.trim().parse().map_err(|_| invalid())?;
    let last: u16 = last.trim().parse().map_err(|_| invalid())?;
    if first == 0 || last < first {
        return Err(invalid());
    }
    Ok(PortRange { first, last })
}

fn flag(properties: &Properties, key: &str, default: bool) -> Result<bool, SettingsError> {
    match properties.text(key) {
        None => Ok(default),
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(text) => {
            let message = format!("{key} is neither true nor false: {text:?}");
            Err(properties.error(SettingsCode::InvalidBoolean, key, message))
        }
    }
}

fn number(properties: &Properties, key: &str) -> Result<Option<f64>, SettingsError> {
    let Some(text) = properties.text(key) else {
        return Ok(None);
    };
    match f64::from_str(text) {
        Ok(number) if (0.0..=MAX_NUMBER).contains(&number) => Ok(Some(number)),
        _ => {
            let message = format!("{key} is not a number from 0 on: {text:?}");
            Err(properties.error(SettingsCode::InvalidNumber, key, message))
        }
    }
}

fn positive(properties: &Properties, key: &str, default: f64) -> Result<f64, SettingsError> {
    match number(properties, key)? {
        None => Ok(default),
        Some(number) if number > 0.0 => Ok(number),
        Some(_) => Err(properties.error(SettingsCode::InvalidNumber, key, format!("{key} must be above 0"))),
    }
}

fn count(properties: &Properties, key: &str, default: u32) -> Result<u32, SettingsError> {
    let count = number(properties, key)?;
    Ok(count.map_or(default, |count| count as u32))
}

fn seconds(properties: &Properties, key: &str, default: Duration) -> Result<Duration, SettingsError> {
    let seconds = number(properties, key)?;
    Ok(seconds.map_or(default, Duration::from_secs_f64))
}

fn milliseconds(properties: &Properties, key: &str, default: Duration) -> Result<Duration, SettingsError> {
    let milliseconds = number(properties, key)?;
    Ok(milliseconds.map_or(default, |milliseconds| Duration::from_secs_f64(milliseconds / 1_000.0)))
}
