//! Real processes of the program on loopback, with emulated neighbours, relays on the links between them, and
//! faults on both. Called by the runs of `crankpick-lab` and by tests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crankpick_carry::clock::now_us;
use crankpick_fleet::words::Status;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use crate::emulate::{entry, Account, Backend, Discovery, Nature};
use crate::history::{Kind, Line};
use crate::load::{Disturbed, Load};
use crate::relay::Relay;

/// Far longer than a sound process takes to start.
const START: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(20);
const CALL: Duration = Duration::from_secs(9);

#[derive(Clone, Debug)]
pub struct Layout {
    pub processes: usize,
    pub voters: usize,
    pub backends: usize,
    pub nature: Nature,
    pub lease_us: u64,
    /// Whether the processes are a fleet at all.
    pub fleet: bool,
    pub seed: u64,
    pub zones: usize,
    /// Of each zone.
    pub cells: usize,
    /// Further lines of the fleet's file.
    pub terms: &'static str,
}

impl Default for Layout {
    fn default() -> Self {
        Layout {
            processes: 3,
            voters: 3,
            backends: 4,
            nature: Nature::default(),
            lease_us: 1_000_000,
            fleet: true,
            seed: 7,
            zones: 1,
            cells: 1,
            terms: "",
        }
    }
}

impl Layout {
    /// Where a backend is.
    pub fn place(&self, number: usize) -> (String, u32) {
        let zone = (b'a' + (number % self.zones) as u8) as char;
        (zone.to_string(), (number / self.zones % self.cells) as u32)
    }
}

/// What one process was seen to do: told of by its log.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub t_us: u64,
    pub process: usize,
    pub code: String,
    pub line: Value,
}

#[derive(Default)]
pub struct Record {
    pub lines: Vec<Line>,
    pub seen: Vec<Seen>,
}

pub struct Proc {
    pub name: String,
    child: Option<Child>,
    /// Name and incarnation, once it has said so.
    process: Arc<Mutex<String>>,
    pub address: watch::Sender<Option<SocketAddr>>,
    pub admin: watch::Sender<Option<SocketAddr>>,
    pub disturbed: Arc<Disturbed>,
    listen: SocketAddr,
    pub stopped: bool,
    pub full: bool,
}

pub struct Rig {
    pub layout: Layout,
    pub dir: PathBuf,
    program: PathBuf,
    pub discovery: Discovery,
    pub backends: Vec<Backend>,
    pub account: Arc<Mutex<Account>>,
    pub procs: Vec<Proc>,
    /// From a process to a voter.
    pub relays: BTreeMap<(usize, usize), Relay>,
    pub record: Arc<Mutex<Record>>,
}

fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}

fn told(wrong: impl std::fmt::Display) -> String {
    wrong.to_string()
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

/// An address that nobody else uses while this run lasts: one of loopback's own for each process, drawn from
/// this program's id, so that neither another run nor the near end of a connection takes its port.
async fn own_address(run: u8, number: usize) -> Result<SocketAddr, String> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = std::net::Ipv4Addr::new(127, 1 + high % 120 + 120 * (run % 2), low, 2 + number as u8);
    let listener = TcpListener::bind((ip, 0)).await.map_err(told)?;
    listener.local_addr().map_err(told)
}

impl Rig {
    pub async fn new(layout: Layout, dir: &Path) -> Result<Self, String> {
        std::fs::create_dir_all(dir).map_err(told)?;
        let account: Arc<Mutex<Account>> = Arc::default();
        let mut backends = Vec::new();
        for number in 0..layout.backends {
            backends.push({
                let place = layout.place(number);
                Backend::start(number, place, layout.nature, Arc::clone(&account)).await.map_err(told)?
            });
        }
        let entries = backends.iter().map(|backend| entry(backend, "SERVING", 0)).collect();
        let discovery = Discovery::start(entries).await.map_err(told)?;
        static RUNS: AtomicU8 = AtomicU8::new(0);
        let run = RUNS.fetch_add(1, Ordering::SeqCst);
        let mut procs = Vec::new();
        for number in 0..layout.processes {
            procs.push(Proc {
                name: format!("n{number}"),
                child: None,
                process: Arc::default(),
                address: watch::Sender::new(None),
                admin: watch::Sender::new(None),
                disturbed: Arc::default(),
                listen: own_address(run, number).await?,
                stopped: false,
                full: false,
            });
        }
        let mut relays = BTreeMap::new();
        for from in 0..layout.processes {
            for to in (0..layout.voters).filter(|to| *to != from) {
                relays.insert((from, to), Relay::start(procs[to].listen).await.map_err(told)?);
            }
        }
        let dir = dir.to_owned();
        Ok(Rig {
            layout,
            dir,
            program: program()?,
            discovery,
            backends,
            account,
            procs,
            relays,
            record: Arc::default(),
        })
    }

    /// Clients of each process, `rate` queries a second, until told to end; `seed` is the first one's.
    pub fn clients(
        &self, load: &Arc<Load>, rate: f64, seed: u64, over: &watch::Receiver<bool>,
    ) -> tokio::task::JoinSet<()> {
        let mut clients = tokio::task::JoinSet::new();
        for (at, proc) in self.procs.iter().enumerate() {
            let (load, name, address) = (Arc::clone(load), proc.name.clone(), proc.address.subscribe());
            let (seed, disturbed, over) = (seed + at as u64, Arc::clone(&proc.disturbed), over.clone());
            clients.spawn(async move { load.run(name, address, rate, seed, disturbed, over).await });
        }
        clients
    }

    /// Where a voter listens, past all relays.
    pub fn voter(&self, at: usize) -> SocketAddr {
        self.procs[at].listen
    }

    pub fn line(&self, kind: Kind) {
        lock(&self.record).lines.push(Line { t_us: now_us(), kind });
    }

    fn folder(&self, at: usize) -> PathBuf {
        self.dir.join(&self.procs[at].name)
    }

    fn configuration(&self, at: usize) -> Value {
        let workload = |name: &str, repeat: &str| {
            json!({"Name": name, "Repeat": repeat, "Group": "all", "Importance": 1.0, "TardyImportance": 0.2,
                   "SloTimeUs": 500_000, "StatementTimeoutUs": 2_000_000, "WindowUs": 5_000_000})
        };
        json!({
            "name": self.procs[at].name, "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0",
            "discovery": self.discovery.address.to_string(), "seed": format!("{:x}", self.layout.seed + at as u64),
            "limits": {"sockets": 512, "memory_mb": 64}, "peers": [], "known": self.discovery.known(),
            "settings": {
                "Balancers": self.layout.processes, "MyNumber": at, "Discovery": "subscribe",
                "Zones": (0..self.layout.zones).map(|zone| self.layout.place(zone).0).collect::<Vec<_>>(),
                "Limits": {"MaxExecutions": 4, "MayDuplicate": true, "Cancel": true, "RetryAfter": true,
                           "MaxRetryAfterUs": 2_000_000, "ConnectTimeoutUs": 250_000, "IdleCloseUs": 30_000_000},
                "Safety": {"StartCapacity": self.layout.nature.start_speed, "ColdUs": self.layout.nature.cold_us,
                           "TipMultiple": 3.0, "OverloadForUs": 1_000_000},
                "Workloads": [workload("read", "retryable"), workload("move", "dedup"), workload("pay", "fragile")],
                "Tenants": [],
            },
        })
    }

    /// The fleet's file of one process: it reaches the other voters through its own relays.
    fn fleet_file(&self, at: usize) -> String {
        let mut text = format!(
            "fleet = \"lab\"\nname = \"{}\"\nstate = {:?}\nlease_us = {}\nhistory = true\n",
            self.procs[at].name,
            self.folder(at).join("state"),
            self.layout.lease_us
        );
        text += self.layout.terms;
        for to in 0..self.layout.voters {
            let address = self.relays.get(&(at, to)).map_or(self.procs[to].listen, |relay| relay.address);
            text += &format!("[[voters]]\nname = \"{}\"\naddress = \"{address}\"\n", self.procs[to].name);
        }
        text
    }

    /// Starts a process; returns once it listens.
    pub async fn start(&mut self, at: usize) -> Result<(), String> {
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
        let mut child = command.spawn().map_err(told)?;
        let log = child.stderr.take().ok_or("no log")?;
        lock(&self.record).seen.push(Seen {
            t_us: now_us(),
            process: at,
            code: "started".into(),
            line: Value::Null,
        });
        let proc = &mut self.procs[at];
        *lock(&proc.process) = String::new();
        proc.child = Some(child);
        (proc.stopped, proc.full) = (false, false);
        let (address, admin) = (proc.address.clone(), proc.admin.clone());
        let (record, process) = (Arc::clone(&self.record), Arc::clone(&proc.process));
        let mut listening = proc.address.subscribe();
        tokio::spawn(async move {
            let mut lines = BufReader::new(log).lines();
            while let Ok(Some(text)) = lines.next_line().await {
                let Ok(line) = serde_json::from_str::<Value>(&text) else {
                    eprintln!("n{at}: {text}");
                    continue;
                };
                if line["code"] == "listening" {
                    let part = |name: &str| line[name].as_str().and_then(|text| text.parse().ok());
                    admin.send_replace(part("admin"));
                    address.send_replace(part("listen"));
                }
                heard(at, line, &record, &process);
            }
        });
        let there = timeout(START, listening.wait_for(Option::is_some)).await;
        match there {
            Ok(Ok(_)) => {}
            _ => return Err(format!("n{at} does not start")),
        }
        self.procs[at].disturbed.now.store(false, Ordering::SeqCst);
        Ok(())
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
            if timeout(Duration::from_secs(10), child.wait()).await.is_err() {
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

    /// One call to the second address.
    pub async fn call(&self, at: usize, line: &str) -> Result<String, String> {
        let Some(admin) = *self.procs[at].admin.borrow() else { return Err("it is down".into()) };
        called(admin, line).await
    }

    pub async fn status(&self, at: usize) -> Result<Status, String> {
        serde_json::from_str(&self.call(at, "FLEET STATUS").await?).map_err(told)
    }

    /// Who leads and who owns the duty, as last seen in the logs.
    pub fn last(&self, code: &str, field: &str) -> Option<usize> {
        let record = lock(&self.record);
        let line = record.seen.iter().rev().find(|seen| seen.code == code)?;
        let name = line.line[field].as_str()?.split('.').next()?.to_owned();
        self.procs.iter().position(|proc| proc.name == name)
    }

    /// Who was last given a duty, as the logs have it.
    pub fn owner(&self, duty: &str) -> Option<usize> {
        let record = lock(&self.record);
        let granted = |seen: &&Seen| seen.code == "fleet_granted" && seen.line["duty"] == duty;
        let name = record.seen.iter().rev().find(granted)?.line["to"].as_str()?.split('.').next()?.to_owned();
        self.procs.iter().position(|proc| proc.name == name)
    }

    /// Until what is asked for has been seen since `from`, in the order in which it was read.
    pub async fn wait(&self, from: usize, within: Duration, is: impl Fn(&Seen) -> bool) -> Option<Seen> {
        let until = Instant::now() + within;
        loop {
            let found = lock(&self.record).seen.iter().skip(from).find(|seen| is(seen)).cloned();
            if found.is_some() || Instant::now() >= until {
                return found;
            }
            sleep(LOOK).await;
        }
    }

    pub fn seen(&self) -> usize {
        lock(&self.record).seen.len()
    }

    /// Until each process that is up acts on the same version, and the duty is owned.
    pub async fn settled(&self, within: Duration) -> Result<Status, String> {
        let until = Instant::now() + within;
        let mut why = "nobody is up".to_owned();
        loop {
            for at in (0..self.procs.len()).filter(|at| self.is_up(*at) && !self.procs[*at].stopped) {
                match self.status(at).await {
                    Ok(status) => match unsettled(&status, self.procs.len()) {
                        None => return Ok(status),
                        Some(wrong) => why = wrong,
                    },
                    Err(wrong) => why = wrong,
                }
                if Instant::now() >= until {
                    return Err(why);
                }
            }
            if Instant::now() >= until {
                return Err(why);
            }
            sleep(2 * LOOK).await;
        }
    }

    pub async fn heal(&mut self) -> Result<(), String> {
        self.line(Kind::Heal { what: "all".into() });
        self.relays.values().for_each(Relay::heal);
        for at in 0..self.procs.len() {
            if self.procs[at].stopped {
                self.go_on(at);
            }
            if self.procs[at].full {
                self.disk(at, None);
            }
            if !self.is_up(at) {
                self.start(at).await?;
            }
            let _ = self.call(at, "REJOIN").await;
        }
        Ok(())
    }

    pub async fn close(&mut self) {
        for at in 0..self.procs.len() {
            if self.procs[at].stopped {
                self.go_on(at);
            }
            if let Some(mut child) = self.procs[at].child.take() {
                let _ = child.kill().await;
            }
        }
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

fn unsettled(status: &Status, processes: usize) -> Option<String> {
    let owned = status.duties.values().all(|(owner, _)| owner.is_some()) && !status.duties.is_empty();
    if !owned {
        return Some("a duty has no owner".into());
    }
    let there = status.members.iter().filter(|one| one.acted == status.version && one.silent_us < 4_000_000);
    let names: std::collections::BTreeSet<&str> = there.map(|one| one.name.as_str()).collect();
    let behind = names.len() < processes;
    behind.then(|| {
        format!("{} of {processes} act on version {}: {:?}", names.len(), status.version, status.members)
    })
}

pub async fn called(admin: SocketAddr, line: &str) -> Result<String, String> {
    let asked = async {
        let mut stream = TcpStream::connect(admin).await?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<_, std::io::Error>(answer)
    };
    let answer = timeout(CALL, asked).await.map_err(|_| "no answer")?.map_err(told)?;
    match answer.trim_end().split_once(' ').unwrap_or((answer.trim_end(), "")) {
        ("YES", said) => Ok(said.to_owned()),
        ("NO", why) => Err(why.to_owned()),
        _ => Err(format!("answered {answer:?}")),
    }
}

/// One line of a process's log, into the record.
fn heard(at: usize, line: Value, record: &Mutex<Record>, process: &Mutex<String>) {
    let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
    let number = |name: &str| line[name].as_u64().unwrap_or_default();
    let code = text("code");
    if !text("process").is_empty() {
        *lock(process) = text("process");
    }
    let (duty, token, version, owner) = (text("duty"), number("token"), number("version"), text("owner"));
    let own = text("process");
    let kind = match code.as_str() {
        "fleet_held" => {
            let (from_us, until_us) = (number("from_us"), number("until_us"));
            Some(Kind::Held { duty, token, process: own, from_us, until_us })
        }
        "fleet_let_go" => Some(Kind::LetGo { duty, token, process: own }),
        "fleet_taken" => Some(Kind::Effect { duty, token, version, owner, receiver: own }),
        "fleet_stale" => Some(Kind::StaleRefused { duty, token, version, owner, receiver: own }),
        "fleet_granted" => Some(Kind::Granted { duty, token, to: text("to") }),
        "fleet_work" => {
            let (machine, from, to) = (text("machine"), text("from"), text("to"));
            Some(Kind::Stepped { plan: text("plan"), machine, from, to, token, why: text("message") })
        }
        _ => None,
    };
    let mut record = lock(record);
    if let Some(kind) = kind {
        let t_us = number("t_us");
        record.lines.push(Line { t_us, kind });
    }
    record.seen.push(Seen { t_us: now_us(), process: at, code, line });
}
