//! Real processes of the program on loopback, with emulated neighbours, relays on the links between them, and
//! faults on both. Called by the runs of `crankpick-lab` and by tests.
//!
//! | module | job |
//! | --- | --- |
//! | `process` | starts, ends and faults of processes, and what they cost |
//! | `settings` | the files that a process is started with |
//! | `log` | what the processes say of themselves |
//! | `admin` | calls to their second addresses |

mod addresses;
mod admin;
mod log;
mod process;
mod settings;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crankpick_carry::clock::now_us;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

use crate::emulate::{entry, Account, Backend, Discovery, Nature};
use crate::history::{Kind, Line};
use crate::load::Load;
use crate::relay::Relay;
use crate::sync::lock;

pub use admin::called;
pub use log::{Record, Seen};
pub use process::{cost, program, Proc};

/// How often a state that is waited for is looked at.
const LOOK: Duration = Duration::from_millis(20);
/// How soon after a start, or after all is healed, the fleet is whole.
pub const SETTLED: Duration = Duration::from_secs(20);

/// What a rig is made of.
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

/// Processes, emulated neighbours and relays, and what was seen of them.
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

fn told(wrong: impl std::fmt::Display) -> String {
    wrong.to_string()
}

impl Rig {
    pub async fn new(layout: Layout, dir: &Path) -> Result<Self, String> {
        std::fs::create_dir_all(dir).map_err(told)?;
        let account: Arc<Mutex<Account>> = Arc::default();
        let mut backends = Vec::new();
        for number in 0..layout.backends {
            let (place, account) = (layout.place(number), Arc::clone(&account));
            backends.push(Backend::start(number, place, layout.nature, account).await.map_err(told)?);
        }
        let entries = backends.iter().map(|backend| entry(backend, "SERVING", 0)).collect();
        let discovery = Discovery::start(entries).await.map_err(told)?;
        static RUNS: AtomicU8 = AtomicU8::new(0);
        let run = RUNS.fetch_add(1, Ordering::SeqCst);
        let mut procs = Vec::new();
        for number in 0..layout.processes {
            procs.push(Proc::new(run, number).await?);
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

    /// Starts all processes, and waits until they are a fleet.
    pub async fn start_fleet(&mut self) -> Result<(), String> {
        self.start_all().await?;
        self.settled(SETTLED).await.map(|_| ()).map_err(|why| format!("no fleet comes to be: {why}"))
    }

    /// Clients of each process, `rate` queries a second, until told to end; `seed` is the first one's.
    pub fn clients(
        &self,
        load: &Arc<Load>,
        rate: f64,
        seed: u64,
        over: &watch::Receiver<bool>,
    ) -> JoinSet<()> {
        let mut clients = JoinSet::new();
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
}
