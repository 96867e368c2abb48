//! All processes of a run, the relays on the ways to them, and calls to their control addresses.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

use snafu::ResultExt;
use tokio::time::timeout;

use crate::clock::{Clock, Moment};
use crate::departure::MachineDisturbance;
use crate::error::{FileSnafu, PortsSnafu, SoakError};
use crate::history::{BackendDisturbance, Disturbance, DisturbanceKind, History};
use crate::layout::{Layout, Role};
use crate::process::Process;
use crate::relay::Relay;
use crate::sync::lock;
use crate::wire::{Message, Wire};

/// The time on the way between clients and a gateway, by its relay: what is sent in it crosses.
const FRONT_DELAY: Duration = Duration::from_millis(10);
/// Callers follow a redirect so often.
const MOST_REDIRECTS: usize = 2;

/// The fleet under test, and what is seen of it.
pub struct Fleet {
    /// Its machines and addresses.
    pub layout: Layout,
    /// The clock of the run.
    pub clock: Clock,
    /// What was seen.
    pub history: Mutex<History>,
    processes: Vec<[Process; 2]>,
    front_relays: Vec<Relay>,
    control_relays: Vec<Relay>,
}

impl Fleet {
    /// A fleet with its files written and no process running.
    pub async fn new(layout: Layout, program: &Path) -> Result<Self, SoakError> {
        let machines = 0..layout.shape.machines();
        let process = |machine| Role::ALL.map(|role| Process::new(program, &layout, machine, role));
        let processes = machines.clone().map(process).collect();
        let (mut front_relays, mut control_relays) = (Vec::new(), Vec::new());
        for machine in machines {
            let relay = Relay::with_delay(layout.front(machine), FRONT_DELAY).await;
            front_relays.push(relay.context(PortsSnafu)?);
            control_relays.push(Relay::start(layout.control(machine)).await.context(PortsSnafu)?);
        }
        let (clock, history) = (Clock::start(), Mutex::default());
        let fleet = Fleet { layout, clock, history, processes, front_relays, control_relays };
        fleet.write_settings(true)?;
        Ok(fleet)
    }

    /// All machines.
    pub fn machines(&self) -> usize {
        self.layout.shape.machines()
    }

    /// A process.
    pub fn process(&self, machine: usize, role: Role) -> &Process {
        let [gate, control_plane] = &self.processes[machine];
        match role {
            Role::Gate => gate,
            Role::ControlPlane => control_plane,
        }
    }

    /// All processes.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().flatten()
    }

    /// The relay to a machine's gateway.
    pub fn front_relay(&self, machine: usize) -> &Relay {
        &self.front_relays[machine]
    }

    /// The relay to a machine's control plane.
    pub fn control_relay(&self, machine: usize) -> &Relay {
        &self.control_relays[machine]
    }

    /// Writes all settings files.
    pub fn write_settings(&self, bootstrap: bool) -> Result<(), SoakError> {
        for machine in 0..self.machines() {
            for role in Role::ALL {
                let path = self.layout.settings_file(machine, role);
                let text = self.layout.settings(machine, role, bootstrap);
                std::fs::write(&path, text).context(FileSnafu { path })?;
                if let Some(path) = self.layout.data_folder(machine, role) {
                    std::fs::create_dir_all(&path).context(FileSnafu { path })?;
                }
            }
        }
        Ok(())
    }

    /// Starts all processes that are down.
    pub fn start_all(&self) -> Result<(), SoakError> {
        self.processes().try_for_each(Process::start)
    }

    /// Notes the beginning of a disturbance of a machine's gateway; call it before its cause.
    pub fn disturb(&self, machine: usize, kind: DisturbanceKind) -> usize {
        let mut history = lock(&self.history);
        history.disturbances.push(Disturbance { machine, kind, from: self.clock.now(), to: None });
        history.disturbances.len() - 1
    }

    /// Notes its end; call it after its cause was taken back.
    pub fn settle(&self, disturbance: usize) {
        let now = self.clock.now();
        lock(&self.history).disturbances[disturbance].to = Some(now);
    }

    /// Notes the beginning of a disturbance of a machine's processes; call it before its cause.
    pub fn disturb_machine(&self, machine: usize, role: Role) -> usize {
        let is_core = role == Role::ControlPlane && machine < self.layout.shape.counting;
        let from = self.clock.now();
        let mut history = lock(&self.history);
        history.machine_disturbances.push(MachineDisturbance { machine, is_core, from, to: None });
        history.machine_disturbances.len() - 1
    }

    /// Notes its end; call it after its cause was taken back.
    pub fn settle_machine(&self, disturbance: usize) {
        let now = self.clock.now();
        lock(&self.history).machine_disturbances[disturbance].to = Some(now);
    }

    /// Notes that the way to a backend is cut or reset from now on; call it before.
    pub fn disturb_backend(&self, backend: String, is_cut: bool) -> usize {
        let from = self.clock.now();
        let mut history = lock(&self.history);
        history.backend_disturbances.push(BackendDisturbance { backend, is_cut, from, to: None });
        history.backend_disturbances.len() - 1
    }

    /// Notes its end; call it after it was taken back.
    pub fn settle_backend(&self, disturbance: usize) {
        let now = self.clock.now();
        lock(&self.history).backend_disturbances[disturbance].to = Some(now);
    }

    /// Counts something that decides nothing.
    pub fn note(&self, what: &str) {
        lock(&self.history).note(what);
    }

    /// Calls a machine's control plane, by its relay, and follows redirects.
    pub async fn call_control(
        &self,
        machine: usize,
        head: &str,
        body: &str,
        patience: Duration,
    ) -> io::Result<ControlAnswer> {
        let sent = self.clock.now();
        let mut at = machine;
        for _ in 0..=MOST_REDIRECTS {
            let address = self.control_relays[at].address;
            let message = timeout(patience, call(address, head, body)).await;
            let message = message.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            let status = message.head.status().unwrap_or_default();
            let target = message.head.value("location").and_then(|location| self.machine_of(location));
            match target.filter(|_| status == 307) {
                Some(target) => at = target,
                None => return Ok(ControlAnswer { sent, machine: at, status, message }),
            }
        }
        Err(io::Error::other("redirected too often"))
    }

    /// The machine that a URL names.
    pub fn machine_of(&self, url: &str) -> Option<usize> {
        let rest = url.strip_prefix("http://")?;
        let address: SocketAddrV4 = rest.split('/').next()?.parse().ok()?;
        let ip: Ipv4Addr = *address.ip();
        self.layout.machine_at(ip)
    }
}

/// What a control plane answered.
pub struct ControlAnswer {
    /// When the call was sent.
    pub sent: Moment,
    /// The machine that answered.
    pub machine: usize,
    /// The status.
    pub status: u16,
    /// All of it.
    pub message: Message,
}

/// One call on a connection of its own.
pub async fn call(address: SocketAddr, head: &str, body: &str) -> io::Result<Message> {
    let mut wire = Wire::connect(address, Duration::from_secs(1)).await?;
    let length = body.len();
    let text =
        format!("{head}\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    wire.write(text.as_bytes()).await?;
    wire.read_answer().await.map_err(|wrong| io::Error::other(wrong.to_string()))
}
