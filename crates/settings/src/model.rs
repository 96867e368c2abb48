//! The settings of a process as typed values.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// In `serves`: clients call this process.
pub const ROLE_EDGE: &str = "edge";
/// In `serves`: backends and the operator call this process.
pub const ROLE_CONTROL: &str = "control";

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The machine's name.
    pub node: String,
    /// The name of the role in the deploy file.
    pub role: String,
    /// The machine's class.
    pub node_class: String,
    /// Who calls this process from outside: [`ROLE_EDGE`], [`ROLE_CONTROL`], both or none.
    pub serves: Vec<String>,
    /// The machine's own address.
    pub ip: Ipv4Addr,
    /// The machine's zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// All zones and the region of each, this machine's zone among them.
    pub zones: BTreeMap<String, String>,
    /// Where to listen.
    pub listen: Listen,
    /// The ports free for traffic inside the fleet.
    pub port_range: PortRange,
    /// The `control` addresses of other machines, all that is told of them.
    pub seeds: Vec<SocketAddr>,
    /// True at the first start of the whole system only.
    pub bootstrap: bool,
    /// Whether this machine counts for the quorum of the core.
    pub counts_for_quorum: bool,
    /// What the machine has.
    pub limits: Limits,
    /// The folder on the machine's disk, where it has one.
    pub data_dir: Option<PathBuf>,
    /// The interval of the backends' heartbeats.
    pub heartbeat: Duration,
    /// The parts of the rules that are in force.
    pub contracts: Vec<String>,
    /// What may be lost at once with all rules kept.
    pub tolerate: Tolerate,
    /// The figures of the rules.
    pub bounds: Bounds,
}

impl Settings {
    /// Whether clients call this process.
    pub fn serves_edge(&self) -> bool {
        self.serves_role(ROLE_EDGE)
    }

    /// Whether backends and the operator call this process.
    pub fn serves_control(&self) -> bool {
        self.serves_role(ROLE_CONTROL)
    }

    /// Where the fleet's own traffic to a control-plane process on this machine goes: to the first of the free ports.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.port_range.first)
    }

    /// The same of the seeds: all machines use the same ports.
    pub fn internal_seeds(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.port_range.first)).collect()
    }

    /// Whether a part of the rules is in force.
    pub fn has_contract(&self, name: &str) -> bool {
        self.contracts.iter().any(|contract| contract == name)
    }

    fn serves_role(&self, name: &str) -> bool {
        self.serves.iter().any(|role| role == name)
    }
}

/// Where a process listens; each address is present where the process serves what it is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// For clients.
    pub front: Option<SocketAddr>,
    /// For the platform's question whether the process is ready.
    pub ready: Option<SocketAddr>,
    /// For backends and the operator.
    pub control: Option<SocketAddr>,
}

/// A range of ports, both ends in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

/// What a machine has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The share of a core.
    pub cpu_share: f64,
    /// How many times as fast that core runs.
    pub cpus: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub max_fds: u64,
    /// The bandwidth of the machine's own link, in Mbit/s.
    pub link_mbps: f64,
    /// The size of the disk in MB, where there is one.
    pub disk_mb: Option<u64>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cpu_share: 0.25,
            cpus: 1.0,
            memory_mb: 260,
            max_fds: 4_100,
            link_mbps: 1_000.0,
            disk_mb: None,
        }
    }
}

/// What may be lost at once with all rules kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerate {
    /// Machines that count for the quorum.
    pub nodes: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

impl Default for Tolerate {
    fn default() -> Self {
        Tolerate { nodes: 1, zones: 0, regions: 0 }
    }
}

/// The figures of the rules. The defaults are those of the deployments at hand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How far the list of `control` addresses lags.
    pub seed_lag: Duration,
    /// How soon an ended backend's address may go to another service.
    pub reuse_after: Duration,
    /// How long a machine must have been undisturbed to be in touch.
    pub contact: Duration,
    /// Within which an order of the operator is acknowledged.
    pub ack: Duration,
    /// How long a machine that is back counts as lost.
    pub catch_up: Duration,
    /// How long after the acknowledgement a draining backend may still be sent requests.
    pub drain: Duration,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// How long a read request may be at hand before a cut of it counts.
    pub loss_slack: Duration,
    /// Within which an acknowledged configuration is in force.
    pub config_apply: Duration,
    /// After which nothing may be handled as an older version alone allows.
    pub revert: Duration,
    /// By how much an unstable core stretches `config_apply` at most.
    pub skew: Duration,
    /// Whether withdrawn keys are bounded by `revoke`.
    pub revoked: bool,
    /// Within which a withdrawn key is out of force.
    pub revoke: Duration,
    /// Repeats for each request of a service.
    pub retry_ratio: f64,
    /// The window in which repeats are counted.
    pub retry_window: Duration,
    /// Repeats beyond the ratio.
    pub retry_slack: f64,
    /// The window in which a tenant's requests are counted.
    pub quota_window: Duration,
    /// The share by which a quota may be exceeded.
    pub quota_over: f64,
    /// What may come beyond that, in the quota's unit.
    pub quota_slack: f64,
    /// How soon after the final fault requests are served.
    pub recover: Duration,
    /// Within which an event of a stream is passed on.
    pub pass: Duration,
    /// How long a shared part counts as used lately.
    pub again: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            seed_lag: Duration::from_secs(3),
            reuse_after: Duration::from_secs(2),
            contact: Duration::from_millis(3_000),
            ack: Duration::from_millis(4_000),
            catch_up: Duration::from_secs(4),
            drain: Duration::from_millis(2_000),
            grace: Duration::from_secs(8),
            loss_slack: Duration::from_millis(200),
            config_apply: Duration::from_millis(2_000),
            revert: Duration::from_millis(250),
            skew: Duration::from_millis(5_000),
            revoked: false,
            revoke: Duration::from_millis(5_000),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 58.0,
            quota_window: Duration::from_secs(8),
            quota_over: 0.1,
            quota_slack: 140_000.0,
            recover: Duration::from_secs(12),
            pass: Duration::from_millis(120),
            again: Duration::from_secs(10),
        }
    }
}
