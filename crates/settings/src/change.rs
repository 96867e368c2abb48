//! The differences between reloaded settings and those in use.

use crate::model::Settings;

/// The differences between the settings in use and reloaded ones.
///
/// A running process can apply changes of `seeds`, `bounds`, `limits`, `tolerate`, `contracts`, `zones` and `heartbeat`.
/// Changes of the keys in `needs_restart` take effect only at its next start, and don't prevent the others from being
/// applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsChange {
    /// The addresses of other machines.
    pub seeds: bool,
    /// The bounds of the contracts.
    pub bounds: bool,
    /// The resources of the machine.
    pub limits: bool,
    /// The failures to tolerate at a time.
    pub tolerate: bool,
    /// The contracts in force.
    pub contracts: bool,
    /// The zones and their regions.
    pub zones: bool,
    /// The interval of the backends' heartbeats.
    pub heartbeat: bool,
    /// Changed keys that take effect at the next start.
    pub needs_restart: Vec<&'static str>,
}

impl SettingsChange {
    /// Whether there are no differences.
    pub fn is_empty(&self) -> bool {
        *self == SettingsChange::default()
    }
}

impl Settings {
    /// Compares these reloaded settings with the old ones.
    pub fn diff(&self, old: &Settings) -> SettingsChange {
        SettingsChange {
            seeds: self.seeds != old.seeds,
            bounds: self.bounds != old.bounds,
            limits: self.limits != old.limits,
            tolerate: self.tolerate != old.tolerate,
            contracts: self.contracts != old.contracts,
            zones: self.zones != old.zones,
            heartbeat: self.heartbeat != old.heartbeat,
            needs_restart: self.changed_restart_keys(old),
        }
    }

    /// The settings for a running process to continue with: these ones, except that keys that need a restart keep their old
    /// values.
    pub fn without_restart_changes(self, old: &Settings) -> Settings {
        Settings {
            seeds: self.seeds,
            bounds: self.bounds,
            limits: self.limits,
            tolerate: self.tolerate,
            contracts: self.contracts,
            zones: self.zones,
            heartbeat: self.heartbeat,
            ..old.clone()
        }
    }

    fn changed_restart_keys(&self, old: &Settings) -> Vec<&'static str> {
        let fixed = [
            ("node", self.node != old.node),
            ("role", self.role != old.role),
            ("node_class", self.node_class != old.node_class),
            ("serves", self.serves != old.serves),
            ("ip", self.ip != old.ip),
            ("zone", self.zone != old.zone),
            ("region", self.region != old.region),
            ("listen", self.listen != old.listen),
            ("port_range", self.port_range != old.port_range),
            ("bootstrap", self.bootstrap != old.bootstrap),
            ("counts_for_quorum", self.counts_for_quorum != old.counts_for_quorum),
            ("data_dir", self.data_dir != old.data_dir),
        ];
        let changed = fixed.into_iter().filter(|(_, changed)| *changed);
        changed.map(|(key, _)| key).collect()
    }
}
