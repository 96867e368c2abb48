//! The processes of the program: their starts and ends, the faults that befall them, and what they cost.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crankpick_carry::clock::now_us;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use serde_json::Value;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::timeout;

use super::addresses::own_address;
use super::log::{LogReader, Seen};
use super::{told, Rig};
use crate::history::Kind;
use crate::load::Disturbed;
use crate::sync::lock;

/// Far longer than a sound process takes to start.
const START: Duration = Duration::from_secs(20);
/// How long a process may take to end in order.
const END: Duration = Duration::from_secs(10);

/// One process of the program, running or not.
pub struct Proc {
    pub name: String,
    pub(super) child: Option<Child>,
    /// Name and incarnation, once it has said so.
    process: Arc<Mutex<String>>,
    pub address: watch::Sender<Option<SocketAddr>>,
    pub admin: watch::Sender<Option<SocketAddr>>,
    pub disturbed: Arc<Disturbed>,
    /// Where it listens for the fleet, past all relays.
    pub(super) listen: SocketAddr,
    pub stopped: bool,
    pub full: bool,
}

impl Proc {
    pub(super) async fn new(run: u8, number: usize) -> Result<Self, String> {
        Ok(Proc {
            name: format!("n{number}"),
            child: None,
            process: Arc::default(),
            address: watch::Sender::new(None),
            admin: watch::Sender::new(None),
            disturbed: Arc::default(),
            listen: own_address(run, number).await?,
            stopped: false,
            full: false,
        })
    }
}

/// The program beside this one, or the one that `CRANKPICK` names.
pub fn program() -> Result<PathBuf, String> {
    if let Some(named) = std::env::var_os("CRANKPICK") {
        return Ok(named.into());
    }
    let own = std::env::current_exe().map_err(told)?;
    let near = own.ancestors().skip(1).take(2).map(|folder| folder.join("crankpick"));
    near.into_iter()
        .find(|path| path.is_file())
        .ok_or_else(|| "no crankpick beside this program: build it, or name it in CRANKPICK".into())
}

impl Rig {
    /// Starts all processes; each listens.
    pub async fn start_all(&mut self) -> Result<(), String> {
        for at in 0..self.procs.len() {
            self.start(at).await?;
        }
        Ok(())
    }

    /// Starts a process; returns once it listens.
    pub async fn start(&mut self, at: usize) -> Result<(), String> {
        let mut child = self.command(at)?.spawn().map_err(told)?;
        let log = child.stderr.take().ok_or("no log")?;
        let started = Seen { t_us: now_us(), process: at, code: "started".into(), line: Value::Null };
        lock(&self.record).seen.push(started);
        let record = Arc::clone(&self.record);
        let proc = &mut self.procs[at];
        *lock(&proc.process) = String::new();
        proc.child = Some(child);
        (proc.stopped, proc.full) = (false, false);
        let mut listening = proc.address.subscribe();
        let (address, admin) = (proc.address.clone(), proc.admin.clone());
        let reader = LogReader { at, record, process: Arc::clone(&proc.process), address, admin };
        tokio::spawn(reader.run(log));
        match timeout(START, listening.wait_for(Option::is_some)).await {
            Ok(Ok(_)) => {}
            _ => return Err(format!("n{at} does not start")),
        }
        self.procs[at].disturbed.now.store(false, Ordering::SeqCst);
        Ok(())
    }

    /// Writes a process's files; the command starts it on them.
    fn command(&self, at: usize) -> Result<Command, String> {
        let folder = self.folder(at);
        std::fs::create_dir_all(&folder).map_err(told)?;
        let configured = folder.join("config.json");
        std::fs::write(&configured, self.configuration(at).to_string()).map_err(told)?;
        let mut command = Command::new(&self.program);
        command.args(["serve", "--log", "json"]).env("EDGE_CONFIG", &configured).env_remove("TMPDIR");
        command.env_remove("EDGE_ADMIN_ADDR").env_remove("EDGE_INHERITED_FD").env_remove("CRANKPICK_FLEET");
        if self.layout.fleet {
            let file = folder.join("fleet.toml");
            std::fs::write(&file, self.fleet_file(at)).map_err(told)?;
            command.arg("--fleet").arg(&file);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        Ok(command)
    }

    fn pid(&self, at: usize) -> Option<Pid> {
        let id = self.procs[at].child.as_ref().and_then(Child::id)?;
        Pid::from_raw(id as i32)
    }

    pub fn is_up(&self, at: usize) -> bool {
        self.procs[at].child.is_some()
    }

    pub fn process(&self, at: usize) -> String {
        lock(&self.procs[at].process).clone()
    }

    /// Its clients are told first: what is lost from now on is the fault's.
    fn disturb(&mut self, at: usize, gone: bool) {
        let disturbed = &self.procs[at].disturbed;
        disturbed.now.store(true, Ordering::SeqCst);
        disturbed.times.fetch_add(1, Ordering::SeqCst);
        if gone {
            self.procs[at].address.send_replace(None);
            self.procs[at].admin.send_replace(None);
        }
    }

    pub async fn kill(&mut self, at: usize) {
        self.disturb(at, true);
        let process = self.process(at);
        if let Some(mut child) = self.procs[at].child.take() {
            let _ = child.kill().await;
            self.line(Kind::Died { process, disk: true });
        }
    }

    /// SIGTERM, and its end waited for.
    pub async fn end(&mut self, at: usize) {
        // No disturbance: what it has taken it must answer; only its clients go elsewhere.
        self.procs[at].address.send_replace(None);
        self.procs[at].admin.send_replace(None);
        if let Some(pid) = self.pid(at) {
            let _ = kill_process(pid, Signal::TERM);
        }
        let process = self.process(at);
        if let Some(mut child) = self.procs[at].child.take() {
            if timeout(END, child.wait()).await.is_err() {
                let _ = child.kill().await;
            }
            self.disturb(at, true);
            self.line(Kind::Died { process, disk: true });
        }
    }

    pub fn stop(&mut self, at: usize) {
        self.disturb(at, false);
        if let Some(pid) = self.pid(at) {
            let _ = kill_process(pid, Signal::STOP);
            self.procs[at].stopped = true;
        }
    }

    pub fn go_on(&mut self, at: usize) {
        if let Some(pid) = self.pid(at) {
            let _ = kill_process(pid, Signal::CONT);
        }
        self.procs[at].stopped = false;
        self.procs[at].disturbed.times.fetch_add(1, Ordering::SeqCst);
        self.procs[at].disturbed.now.store(false, Ordering::SeqCst);
    }

    /// No file of this process may grow past so many bytes, or at all; None lifts it.
    pub fn disk(&mut self, at: usize, most: Option<u64>) {
        if let Some(pid) = self.pid(at) {
            let limit = Rlimit { current: most, maximum: None };
            if let Err(wrong) = prlimit(Some(pid), Resource::Fsize, limit) {
                eprintln!("n{at}: the limit on files: {wrong}");
            }
            self.procs[at].full = most.is_some();
        }
    }

    /// The disk of a process that is down.
    pub fn lose_disk(&mut self, at: usize) {
        let _ = std::fs::remove_dir_all(self.folder(at).join("state"));
        self.line(Kind::Died { process: self.procs[at].name.clone(), disk: false });
    }

    pub fn state(&self, at: usize) -> PathBuf {
        self.folder(at).join("state").join("fleet.redb")
    }

    /// CPU seconds and resident bytes of a process until now.
    pub fn cost(&self, at: usize) -> Option<(f64, u64)> {
        let pid = self.procs[at].child.as_ref().and_then(Child::id)?;
        cost(pid)
    }

    pub fn pid_of(&self, at: usize) -> Option<u32> {
        self.procs[at].child.as_ref().and_then(Child::id)
    }
}

/// CPU seconds and resident bytes, from the process's own entry in /proc.
pub fn cost(pid: u32) -> Option<(f64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_ascii_whitespace().collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let pages: u64 = fields.get(21)?.parse().ok()?;
    Some((ticks / rustix::param::clock_ticks_per_second() as f64, pages * rustix::param::page_size() as u64))
}
