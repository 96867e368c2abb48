//! What settings that were read again have changed.

use crate::model::Settings;

/// What differs between the settings in force and those read again.
///
/// A running process takes `seeds`, `bounds`, `limits`, `tolerate`, `contracts`, `zones` and `heartbeat` as they now
/// are. What stands in `needs_restart` holds only from its next start; what is there besides is taken all the same.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsChange {
    /// The addresses of other machines.
    pub seeds: bool,
    /// The figures of the rules.
    pub bounds: bool,
    /// What the machine has.
    pub limits: bool,
    /// What may be lost at once.
    pub tolerate: bool,
    /// The parts of the rules in force.
    pub contracts: bool,
    /// The zones and their regions.
    pub zones: bool,
    /// The interval of the backends' heartbeats.
    pub heartbeat: bool,
    /// Keys that hold from the next start on.
    pub needs_restart: Vec<&'static str>,
}

impl SettingsChange {
    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        *self == SettingsChange::default()
    }
}

impl Settings {
    /// What these settings, read again, change of the old ones.
    pub fn changed_from(&self, old: &Settings) -> SettingsChange {
        SettingsChange {
            seeds: self.seeds != old.seeds,
            bounds: self.bounds != old.bounds,
            limits: self.limits != old.limits,
            tolerate: self.tolerate != old.tolerate,
            contracts: self.contracts != old.contracts,
            zones: self.zones != old.zones,
            heartbeat: self.heartbeat != old.heartbeat,
            needs_restart: self.fixed_changes(old),
        }
    }

    /// The settings that a running process goes on with: these, but for what holds only from the next start.
    pub fn taken_live(self, old: &Settings) -> Settings {
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

    fn fixed_changes(&self, old: &Settings) -> Vec<&'static str> {
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
