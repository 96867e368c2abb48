//! The settings of a process as typed values.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// The value in `serves` of a process that is called by clients.
pub const ROLE_EDGE: &str = "edge";
/// The value in `serves` of a process that is called by backends and the operator.
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
    /// The external callers of this process: [`ROLE_EDGE`], [`ROLE_CONTROL`], both or none.
    pub serves: Vec<String>,
    /// The machine's address.
    pub ip: Ipv4Addr,
    /// The machine's zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// The region of each zone, including this machine's zone.
    pub zones: BTreeMap<String, String>,
    /// The addresses to listen on.
    pub listen: Listen,
    /// The ports available for traffic within the fleet.
    pub port_range: PortRange,
    /// The `control` addresses of other machines. The settings contain nothing else about them.
    pub seeds: Vec<SocketAddr>,
    /// True only at the first start of the whole system.
    pub bootstrap: bool,
    /// Whether this machine counts towards the quorum of the core.
    pub counts_for_quorum: bool,
    /// The resources of the machine.
    pub limits: Limits,
    /// The data directory, if the machine has a disk.
    pub data_dir: Option<PathBuf>,
    /// The interval of the backends' heartbeats.
    pub heartbeat: Duration,
    /// The contracts that are in force.
    pub contracts: Vec<String>,
    /// The failures to tolerate at a time.
    pub tolerate: Tolerate,
    /// The bounds of the contracts.
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

    /// The address of a control-plane process on this machine for traffic within the fleet: the first available port.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.port_range.first)
    }

    /// The internal addresses of the seeds. All machines use the same ports.
    pub fn internal_seeds(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.port_range.first)).collect()
    }

    /// Whether a contract is in force.
    pub fn has_contract(&self, name: &str) -> bool {
        self.contracts.iter().any(|contract| contract == name)
    }

    fn serves_role(&self, name: &str) -> bool {
        self.serves.iter().any(|role| role == name)
    }
}

/// The addresses on which a process listens. Each is present if the process serves its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// For clients.
    pub front: Option<SocketAddr>,
    /// For the platform's readiness checks.
    pub ready: Option<SocketAddr>,
    /// For backends and the operator.
    pub control: Option<SocketAddr>,
}

/// An inclusive range of ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

/// The resources of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The share of a CPU core.
    pub cpu_share: f64,
    /// The speed factor of that CPU core.
    pub cpus: f64,
    /// The memory in MB.
    pub memory_mb: u64,
    /// The maximum number of file descriptors.
    pub max_fds: u64,
    /// The bandwidth of the machine's network link in Mbit/s.
    pub link_mbps: f64,
    /// The size of the disk in MB, if there is one.
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

/// The numbers of simultaneous failures under which all contracts must still be met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerate {
    /// Machines that count towards the quorum.
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

/// The bounds of the contracts. The defaults are those of the existing deployments.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The maximum delay until the list of `control` addresses is current.
    pub seed_lag: Duration,
    /// The minimum time until an ended backend's address may be reused by another service.
    pub reuse_after: Duration,
    /// How long a machine must have been undisturbed to count as being in contact.
    pub contact: Duration,
    /// The time limit for acknowledging a change by the operator.
    pub ack: Duration,
    /// How long a machine that has returned still counts as lost.
    pub catch_up: Duration,
    /// How long a draining backend may still be sent requests after the acknowledgement.
    pub drain: Duration,
    /// The time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// How long after being read a request may be cut off without counting as lost.
    pub loss_slack: Duration,
    /// The time limit for an acknowledged configuration to be in force.
    pub config_apply: Duration,
    /// The time after which no request may be handled in a way that only an older version allows.
    pub revert: Duration,
    /// The maximum extension of `config_apply` while the core is unstable.
    pub skew: Duration,
    /// Whether `revoke` applies to revoked API keys.
    pub revoked: bool,
    /// The time limit for a revoked API key to be rejected.
    pub revoke: Duration,
    /// The number of retries per request of a service.
    pub retry_ratio: f64,
    /// The window in which retries are counted.
    pub retry_window: Duration,
    /// The number of retries allowed beyond the ratio.
    pub retry_slack: f64,
    /// The window in which a tenant's requests are counted.
    pub quota_window: Duration,
    /// The share by which a quota may be exceeded.
    pub quota_over: f64,
    /// The amount allowed beyond that share, in the quota's unit.
    pub quota_slack: f64,
    /// The time limit for serving requests again after the last fault.
    pub recover: Duration,
    /// The time limit for forwarding an event of a stream.
    pub pass: Duration,
    /// How long a shared part counts as recently used.
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
