//! The fleet of a run: its machines, their addresses on loopback, and the settings file of each process.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use fastrand::Rng;
use snafu::ResultExt;

use crate::departure::{CONTACT, DRAIN};
use crate::error::{PortsSnafu, SoakError};

/// From SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_secs(6);
/// Between two heartbeats of a backend.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// No more seeds are named.
const MOST_SEEDS: usize = 3;
/// How often free ports are looked for.
const PORT_TRIES: usize = 20;
const ZONES: [(&str, &str); 4] = [("east", "left"), ("west", "right"), ("north", "left"), ("south", "right")];

/// How large a fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Machines that count for the quorum, with a disk each.
    pub counting: usize,
    /// Machines that don't, without a disk.
    pub others: usize,
    /// Zones, over which both kinds are spread.
    pub zones: usize,
    /// Counting machines that may be lost at once.
    pub tolerated: usize,
    /// Backends.
    pub backends: usize,
}

impl Shape {
    /// A shape as a seed draws it.
    pub fn draw(rng: &mut Rng) -> Self {
        let counting = rng.usize(3..=5);
        let tolerated = if counting == 5 { rng.usize(1..=2) } else { 1 };
        Shape { counting, others: rng.usize(1..=2), zones: rng.usize(2..=4), tolerated, backends: 6 }
    }

    /// The smallest one in which everything can happen.
    pub fn small() -> Self {
        Shape { counting: 3, others: 1, zones: 2, tolerated: 1, backends: 4 }
    }

    /// All machines.
    pub fn machines(&self) -> usize {
        self.counting + self.others
    }
}

/// The two roles that each machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Clients' requests.
    Gate,
    /// The operator's configuration and the list of backends.
    ControlPlane,
}

impl Role {
    /// Both.
    pub const ALL: [Role; 2] = [Role::Gate, Role::ControlPlane];

    /// The program's word for it.
    pub fn name(self) -> &'static str {
        match self {
            Role::Gate => "gate",
            Role::ControlPlane => "control-plane",
        }
    }

    fn serves(self) -> &'static str {
        match self {
            Role::Gate => "edge",
            Role::ControlPlane => "control",
        }
    }
}

/// The ports that all machines of a fleet use.
#[derive(Clone, Copy, Debug)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

/// A fleet's machines and addresses.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Its shape.
    pub shape: Shape,
    /// Where its files are.
    pub folder: PathBuf,
    net: [u8; 2],
    ports: Ports,
}

impl Layout {
    /// Draws addresses that are free.
    pub fn new(shape: Shape, folder: &Path) -> Result<Self, SoakError> {
        let net = own_net();
        let ports = free_ports(net, shape.machines()).context(PortsSnafu)?;
        Ok(Layout { shape, folder: folder.to_owned(), net, ports })
    }

    /// A machine's address.
    pub fn ip(&self, machine: usize) -> Ipv4Addr {
        machine_ip(self.net, machine)
    }

    /// The machine that has an address.
    pub fn machine_at(&self, ip: Ipv4Addr) -> Option<usize> {
        (0..self.shape.machines()).find(|machine| self.ip(*machine) == ip)
    }

    /// Where a machine's gateway takes clients.
    pub fn front(&self, machine: usize) -> SocketAddr {
        (self.ip(machine), self.ports.front).into()
    }

    /// Where it tells whether it is ready.
    pub fn ready(&self, machine: usize) -> SocketAddr {
        (self.ip(machine), self.ports.ready).into()
    }

    /// Where a machine's control plane takes calls.
    pub fn control(&self, machine: usize) -> SocketAddr {
        (self.ip(machine), self.ports.control).into()
    }

    /// The name of a machine's zone.
    pub fn zone(&self, machine: usize) -> &'static str {
        let place = if machine < self.shape.counting { machine } else { machine - self.shape.counting };
        ZONES[place % self.shape.zones].0
    }

    /// Whether a machine counts for the quorum.
    pub fn counts(&self, machine: usize) -> bool {
        machine < self.shape.counting
    }

    /// A process's name.
    pub fn process_name(&self, machine: usize, role: Role) -> String {
        format!("machine-{machine}-{}", role.name())
    }

    /// A process's disk, where it has one.
    pub fn data_folder(&self, machine: usize, role: Role) -> Option<PathBuf> {
        let has_disk = role == Role::ControlPlane && self.counts(machine);
        has_disk.then(|| self.folder.join(self.process_name(machine, role)).join("data"))
    }

    /// A process's settings file.
    pub fn settings_file(&self, machine: usize, role: Role) -> PathBuf {
        self.folder.join(format!("{}.conf", self.process_name(machine, role)))
    }

    /// A process's log.
    pub fn log_file(&self, machine: usize, role: Role) -> PathBuf {
        self.folder.join(format!("{}.log", self.process_name(machine, role)))
    }

    /// What stands in a process's settings file.
    pub fn settings(&self, machine: usize, role: Role, bootstrap: bool) -> String {
        let (ip, ports, zone) = (self.ip(machine), self.ports, self.zone(machine));
        let mut text = format!("node=machine-{machine}\nrole={}\nnode_class=edge\n", role.name());
        let _ = writeln!(text, "serves={}\nip={ip}\nzone={zone}", role.serves());
        for (zone, region) in ZONES.iter().take(self.shape.zones) {
            let _ = writeln!(text, "zones.{zone}={region}");
        }
        match role {
            Role::Gate => {
                let _ =
                    writeln!(text, "listen.front={ip}:{}\nlisten.ready={ip}:{}", ports.front, ports.ready);
            }
            Role::ControlPlane => {
                let _ = writeln!(text, "listen.control={ip}:{}", ports.control);
            }
        }
        let seeds: Vec<String> =
            (0..self.shape.counting.min(MOST_SEEDS)).map(|seed| self.control(seed).to_string()).collect();
        let _ = writeln!(text, "port_range={0},{0}\nseeds={1}", ports.internal, seeds.join(","));
        let counts = self.counts(machine);
        let _ = writeln!(text, "bootstrap={}\ncounts_for_quorum={counts}", bootstrap && counts);
        if let Some(folder) = self.data_folder(machine, role) {
            let _ = writeln!(text, "data_dir={}", folder.display());
        }
        let _ = writeln!(text, "heartbeat_ms={}", HEARTBEAT.as_millis());
        let _ = writeln!(text, "tolerate.nodes={}", self.shape.tolerated);
        let _ = writeln!(text, "bounds.grace_s={}", GRACE.as_secs());
        let _ = writeln!(text, "bounds.contact_ms={}", CONTACT.as_millis());
        let _ = writeln!(text, "bounds.drain_ms={}", DRAIN.as_millis());
        text
    }
}

/// A network of loopback that no other run of this machine uses at the same time.
fn own_net() -> [u8; 2] {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    [1 + (high % 60) * 4 + run % 4, low]
}

fn machine_ip(net: [u8; 2], machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net[0], net[1], 2 + machine as u8)
}

/// Ports that are free at all machines. Nobody else binds addresses of this network.
fn free_ports(net: [u8; 2], machines: usize) -> std::io::Result<Ports> {
    let mut last = Ok(());
    for _ in 0..PORT_TRIES {
        let ports = draw_ports(net)?;
        last = (0..machines).try_for_each(|machine| bindable(machine_ip(net, machine), ports));
        if last.is_ok() {
            return Ok(ports);
        }
    }
    last.and(Err(std::io::ErrorKind::AddrInUse.into()))
}

fn draw_ports(net: [u8; 2]) -> std::io::Result<Ports> {
    let bind = || TcpListener::bind((machine_ip(net, 0), 0));
    let open = [bind()?, bind()?, bind()?, bind()?];
    let port = |at: usize| open[at].local_addr().map(|address| address.port());
    Ok(Ports { front: port(0)?, ready: port(1)?, control: port(2)?, internal: port(3)? })
}

fn bindable(ip: Ipv4Addr, ports: Ports) -> std::io::Result<()> {
    for port in [ports.front, ports.ready, ports.control, ports.internal] {
        drop(TcpListener::bind((ip, port))?);
    }
    Ok(())
}
