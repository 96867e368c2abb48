//! Entries of the list of backends, in the simulator's form and in discovery's.

use crankpick::interface::{Listed, Phase};
use serde::Deserialize;

/// An entry as the simulator's wire has it.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Entry {
    backend: u32,
    dc: u32,
    cell: u32,
    phase: String,
    nominal: f64,
    since_us: Option<u64>,
}

impl Entry {
    pub fn listed(&self) -> Result<Listed, String> {
        let phase = match self.phase.as_str() {
            "Ready" => Phase::Ready,
            "Terminating" => Phase::Terminating,
            "Gone" => Phase::Gone,
            other => return Err(format!("unknown Phase {other:?}")),
        };
        Ok(Listed {
            backend: self.backend,
            zone: self.dc,
            cell: self.cell,
            phase,
            weight: self.nominal,
            since_us: self.since_us.unwrap_or(0),
        })
    }
}

/// An entry as discovery has it. One that is gone may come with no more than its id and state.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    pub instance_id: String,
    #[serde(default)]
    pub host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u32,
    lifecycle: String,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_at_ms: u64,
}

impl Instance {
    /// `backend` is the number that this host has for the entry's id, `zones` the names in the settings.
    pub fn listed(&self, backend: u32, zones: &[String]) -> Result<Listed, String> {
        let phase = match self.lifecycle.as_str() {
            "SERVING" => Phase::Ready,
            "DRAINING" => Phase::Terminating,
            "DELETED" => Phase::Gone,
            other => return Err(format!("unknown lifecycle {other:?} of {}", self.instance_id)),
        };
        // A zone on no list is one of its own: no proxy is in it, and no group of another reaches into it.
        let zone = zones.iter().position(|zone| *zone == self.zone).unwrap_or(zones.len());
        Ok(Listed {
            backend,
            zone: zone as u32,
            cell: self.cell,
            phase,
            weight: self.weight,
            since_us: self.started_at_ms.saturating_mul(1000),
        })
    }
}
