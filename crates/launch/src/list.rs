//! Entries of the backend list, in the simulator's form and in discovery's form.

use crankpick::interface::{Listed, Phase};
use serde::Deserialize;

/// An entry in the simulator's wire format.
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

/// An entry in discovery's format. An entry that has been deleted may contain no more than its id and state.
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
    /// `backend` is this host's number for the entry's id; `zones` are the zone names in the settings.
    pub fn listed(&self, backend: u32, zones: &[String]) -> Result<Listed, String> {
        let phase = match self.lifecycle.as_str() {
            "SERVING" => Phase::Ready,
            "DRAINING" => Phase::Terminating,
            "DELETED" => Phase::Gone,
            other => return Err(format!("unknown lifecycle {other:?} of {}", self.instance_id)),
        };
        // A zone that is not in the settings becomes a zone of its own: no proxy is in it, and no other
        // zone's group extends into it.
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
