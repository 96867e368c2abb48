//! `crankpick-lab owner`: a fleet of real processes under load and faults drawn from a seed, held against
//! what the fleet promises of owners, effects and acknowledged calls, and against the rules on queries.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crankpick_carry::clock::now_us;
use serde::Serialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

use crankpick_fleet::words::{MemberStatus, Status, OUTS};

use crate::emulate::Nature;
use crate::history::{check, drop_settled, Found, Kind, Line};
use crate::load::{Load, Tally};
use crate::rig::{called, Layout, Record, Rig, Seen, SETTLED};
use crate::sync::lock;

/// After a proxy has said that a backend is out, what it sent before may still arrive.
const GRACE_US: u64 = 300_000;

#[derive(Clone, Debug)]
pub struct Order {
    pub seed: u64,
    pub processes: usize,
    pub voters: usize,
    pub seconds: u64,
    pub lease_us: u64,
    /// Queries a second at each proxy.
    pub rate: f64,
    pub quiet: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Whom {
    Owner,
    Leader,
    Process(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum What {
    Kill,
    KillAndLoseDisk,
    Stop,
    /// Cut off with some others on its side; one way only, it may hear but isn't heard.
    Cut {
        with: usize,
        one_way: bool,
    },
    /// All it says arrives late.
    Late {
        late_us: u64,
    },
    DiskFull {
        most: u64,
    },
    DiskFullAtMajority,
    Drain,
    Terminate,
    KillAllVoters,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fault {
    pub at_us: u64,
    pub whom: Whom,
    pub what: What,
    pub lasts_us: u64,
}

/// The faults of a run, drawn before it begins.
pub fn plan(order: &Order) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(order.seed);
    let mut faults = Vec::new();
    let (lease, mut at_us) = (order.lease_us, 1_500_000);
    let mut lost = false;
    while at_us + 2 * lease < order.seconds * 1_000_000 {
        let whom = match rng.u32(0..10) {
            0..=5 => Whom::Owner,
            6 | 7 => Whom::Leader,
            _ => Whom::Process(rng.usize(0..order.processes)),
        };
        let long = lease + rng.u64(lease / 4..lease);
        let (what, lasts_us) = match rng.u32(0..24) {
            20..=23 => (What::Late { late_us: 2 * lease + rng.u64(0..lease) }, long),
            0..=4 => (What::Kill, rng.u64(lease / 2..2 * lease)),
            5 if !lost => {
                lost = true;
                (What::KillAndLoseDisk, rng.u64(lease / 2..lease))
            }
            5..=8 => (What::Stop, long),
            9 => (What::Stop, rng.u64(lease / 5..lease)),
            10..=12 => (What::Cut { with: rng.usize(0..2), one_way: rng.u32(0..3) == 0 }, long),
            13 | 14 => {
                (What::Late { late_us: lease + rng.u64(lease / 2..2 * lease) }, rng.u64(lease / 2..long))
            }
            15 | 16 => (What::DiskFull { most: [0, 4_096, 65_536][rng.usize(0..3)] }, long),
            17 => (What::DiskFullAtMajority, long),
            18 => (What::Drain, rng.u64(lease / 2..lease)),
            _ if rng.u32(0..3) == 0 => (What::KillAllVoters, lease / 2),
            _ => (What::Terminate, lease / 2),
        };
        // What comes late is of interest where it comes from an owner.
        let whom = if matches!(what, What::Late { .. }) { Whom::Owner } else { whom };
        faults.push(Fault { at_us, whom, what, lasts_us });
        // One after another, or now and then a second before the first is over; of every third seed most are.
        let together = if order.seed.is_multiple_of(3) { 3 } else { 1 };
        let gap = if rng.u32(0..5) < together { lease / 4 } else { lasts_us + 2 * lease + rng.u64(0..lease) };
        at_us += gap;
    }
    faults
}

#[derive(Serialize)]
pub struct Summary {
    pub seed: u64,
    pub faults: usize,
    pub found: Found,
    pub queries: Queries,
    pub breaches: Vec<String>,
}

#[derive(Serialize, Default)]
pub struct Queries {
    pub sent: u64,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub excused: u64,
    pub lost: usize,
    pub p50_us: u64,
    pub p99_us: u64,
    pub executions: usize,
    pub dropped_repeats: u64,
    pub twice: usize,
    pub at_backends_out: usize,
}

/// The faults of a plan on a rig, each begun and ended at its time.
pub struct Faults {
    rng: fastrand::Rng,
    /// Whose owner is meant.
    duty: &'static str,
}

impl Faults {
    pub fn new(seed: u64, duty: &'static str) -> Self {
        Faults { rng: fastrand::Rng::with_seed(seed ^ 0xfa), duty }
    }

    /// Plays a plan from now on, each fault begun and ended at its time.
    pub async fn play(&mut self, rig: &mut Rig, faults: &[Fault]) -> Result<(), String> {
        let start = Instant::now();
        // Beginnings and ends in the order of their times.
        let mut due: Vec<(u64, usize, bool)> = Vec::new();
        for (number, fault) in faults.iter().enumerate() {
            due.push((fault.at_us, number, true));
            due.push((fault.at_us + fault.lasts_us, number, false));
        }
        due.sort();
        let mut at = vec![0; faults.len()];
        for (at_us, number, begins) in due {
            sleep_until(start + Duration::from_micros(at_us)).await;
            match begins {
                true => at[number] = self.begin(rig, &faults[number]).await,
                false => self.end(rig, &faults[number], at[number]).await?,
            }
        }
        Ok(())
    }

    fn target(&self, rig: &Rig, whom: Whom) -> usize {
        match whom {
            Whom::Owner => rig.owner(self.duty).unwrap_or(0),
            Whom::Leader => rig.last("fleet_leads", "process").unwrap_or(0),
            Whom::Process(at) => at % rig.procs.len(),
        }
    }

    async fn begin(&mut self, rig: &mut Rig, fault: &Fault) -> usize {
        let at = self.target(rig, fault.whom);
        let name = rig.procs[at].name.clone();
        rig.line(Kind::Fault { what: format!("{:?} at {name} ({:?})", fault.what, fault.whom) });
        match fault.what {
            What::Kill | What::KillAndLoseDisk => {
                rig.kill(at).await;
                if fault.what == What::KillAndLoseDisk {
                    rig.lose_disk(at);
                }
            }
            What::Stop => rig.stop(at),
            What::Cut { with, one_way } => {
                let mut side: BTreeSet<usize> =
                    (0..with).map(|_| self.rng.usize(0..rig.procs.len())).collect();
                side.insert(at);
                for ((from, to), relay) in &rig.relays {
                    match (side.contains(from), side.contains(to)) {
                        (true, false) => relay.set(|mode| (mode.forth_cut, mode.back_cut) = (true, !one_way)),
                        (false, true) => relay.set(|mode| (mode.forth_cut, mode.back_cut) = (!one_way, true)),
                        _ => {}
                    }
                }
            }
            What::Late { late_us } => {
                for ((from, to), relay) in &rig.relays {
                    // What it says, on links of its own and as an answer on others'.
                    if *from == at || *to == at {
                        relay.set(|mode| mode.late_us = late_us);
                    }
                }
            }
            What::DiskFull { most } => rig.disk(at, Some(most)),
            What::DiskFullAtMajority => {
                rig.line(Kind::Majority { there: false });
                (0..rig.layout.voters / 2 + 1).for_each(|voter| rig.disk(voter, Some(0)));
            }
            What::Drain => {
                let _ = rig.call(at, "LAMEDUCK").await;
            }
            What::Terminate => rig.end(at).await,
            What::KillAllVoters => {
                rig.line(Kind::Majority { there: false });
                for voter in 0..rig.layout.voters {
                    rig.kill(voter).await;
                }
            }
        }
        at
    }

    async fn end(&mut self, rig: &mut Rig, fault: &Fault, at: usize) -> Result<(), String> {
        rig.line(Kind::Heal { what: format!("{:?}", fault.what) });
        match fault.what {
            What::Kill | What::KillAndLoseDisk | What::Terminate => {
                if !rig.is_up(at) {
                    rig.start(at).await?;
                }
            }
            What::Stop => rig.go_on(at),
            What::Cut { .. } | What::Late { .. } => rig.relays.values().for_each(crate::relay::Relay::heal),
            What::DiskFull { .. } => rig.disk(at, None),
            What::DiskFullAtMajority => {
                (0..rig.layout.voters).for_each(|voter| rig.disk(voter, None));
                rig.line(Kind::Majority { there: true });
            }
            What::Drain => {
                let _ = rig.call(at, "REJOIN").await;
            }
            What::KillAllVoters => {
                for voter in 0..rig.layout.voters {
                    if !rig.is_up(voter) {
                        rig.start(voter).await?;
                    }
                }
                rig.line(Kind::Majority { there: true });
            }
        }
        Ok(())
    }
}

/// Operators at any proxy that is up, some calls made twice under one id at two of them.
async fn operators(
    admins: Vec<watch::Receiver<Option<std::net::SocketAddr>>>, seed: u64, backends: usize,
    record: Arc<Mutex<Record>>, mut over: watch::Receiver<bool>,
) {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x0f);
    let mut calls = tokio::task::JoinSet::new();
    loop {
        let pause = Duration::from_millis(rng.u64(100..500));
        tokio::select! {
            () = sleep(pause) => {}
            _ = over.wait_for(|over| *over) => break,
        }
        let out = rng.u32(0..5) < 3;
        let id = rng.u128(1..);
        // At most the upper half is ever out, so that queries have somewhere to go.
        let backend = format!("s-{}", rng.usize(backends / 2..backends));
        let twice = rng.u32(0..6) == 0;
        for _ in 0..1 + usize::from(twice) {
            let Some(admin) = *admins[rng.usize(0..admins.len())].borrow() else { continue };
            let (record, backend) = (Arc::clone(&record), backend.clone());
            let line = format!("FLEET {} {id:x} {backend}", if out { "OUT" } else { "BACK" });
            calls.spawn(async move {
                let said = called(admin, &line).await;
                let (command, ids) = (format!("{id:x}"), vec![backend]);
                let version =
                    said.ok().and_then(|said| serde_json::from_str::<serde_json::Value>(&said).ok());
                let version = version.and_then(|said| said["version"].as_u64());
                let kind = match version {
                    Some(version) => Kind::Acked { command, version, out, ids },
                    None => Kind::Unsure { command, ids },
                };
                lock(&record).lines.push(Line { t_us: now_us(), kind });
            });
        }
    }
    while calls.join_next().await.is_some() {}
}

/// Executions at a backend that the proxy which sent them had said to be out.
fn at_backends_out(seen: &[Seen], rig: &Rig) -> Vec<String> {
    let account = lock(&rig.account);
    let mut breaches = Vec::new();
    for (at, proc) in rig.procs.iter().enumerate() {
        let prefix = format!("{}-", proc.name);
        let own: Vec<&Seen> = seen.iter().filter(|seen| seen.process == at).collect();
        for (number, backend) in rig.backends.iter().enumerate() {
            // Spans in which it was surely out here: from its word to the next one, or its next start.
            let mut spans: Vec<(u64, u64)> = Vec::new();
            for one in &own {
                let this = one.line["id"] == backend.id.as_str();
                match one.code.as_str() {
                    "out_by_fleet" if this => spans.push((one.t_us + GRACE_US, u64::MAX)),
                    "back_by_fleet" if this => {
                        spans
                            .iter_mut()
                            .for_each(|span| span.1 = span.1.min(one.t_us.saturating_sub(GRACE_US)));
                    }
                    "started" => spans.iter_mut().for_each(|span| span.1 = span.1.min(one.t_us)),
                    _ => {}
                }
            }
            let broken = account.executions.iter().filter(|execution| {
                execution.backend == number
                    && execution.query.starts_with(&prefix)
                    && spans.iter().any(|(from, until)| (*from..*until).contains(&execution.t_us))
            });
            breaches.extend(
                broken.map(|one| format!("{} sent {} to {} which is out", proc.name, one.query, backend.id)),
            );
        }
    }
    breaches
}

fn queries(tally: &Tally, rig: &Rig) -> Queries {
    let account = lock(&rig.account);
    let quantile = |part| tally.latency_us.as_ref().map_or(0, |latency| latency.value_at_quantile(part));
    Queries {
        sent: tally.sent,
        completed: tally.completed,
        rejected: tally.rejected,
        aborted: tally.aborted,
        excused: tally.excused,
        lost: tally.lost.len(),
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        executions: account.executions.len(),
        dropped_repeats: account.dropped_repeats,
        twice: 0,
        at_backends_out: 0,
    }
}

pub async fn run(order: &Order, dir: &Path) -> Result<Summary, String> {
    let layout = Layout {
        processes: order.processes,
        voters: order.voters,
        backends: 6,
        nature: Nature::default(),
        lease_us: order.lease_us,
        fleet: true,
        seed: order.seed,
        ..Layout::default()
    };
    let faults = plan(order);
    if !order.quiet {
        println!("{}", json!({"seed": order.seed, "plan": faults}));
    }
    let mut rig = Rig::new(layout, dir).await?;
    rig.start_fleet().await?;
    let (over, on_over) = watch::channel(false);
    let load = Arc::new(Load::new());
    let mut clients = rig.clients(&load, order.rate, order.seed, &on_over);
    let admins = rig.procs.iter().map(|proc| proc.admin.subscribe()).collect();
    let (record, backends) = (Arc::clone(&rig.record), rig.backends.len());
    let operators = tokio::spawn(operators(admins, order.seed, backends, record, on_over.clone()));
    let start = Instant::now();
    Faults::new(order.seed, OUTS).play(&mut rig, &faults).await?;
    sleep_until(start + Duration::from_secs(order.seconds)).await;
    rig.heal().await?;
    let _ = over.send(true);
    let _ = operators.await;
    while clients.join_next().await.is_some() {}
    let settled = rig.settled(SETTLED).await;
    let mut breaches = Vec::new();
    match settled {
        Err(why) => breaches.push(format!("not whole again: {why}")),
        Ok(status) => finals(&rig, &status).await,
    }
    let summary = summed(order, faults.len(), breaches, &load, &rig);
    rig.close().await;
    write(dir, &rig, &summary)?;
    Ok(summary)
}

/// What each process acts on at the end.
async fn finals(rig: &Rig, status: &Status) {
    // Of a proxy that has started anew its last process counts.
    for member in &status.members {
        let newer = |other: &MemberStatus| other.name == member.name && other.silent_us < member.silent_us;
        if status.members.iter().any(newer) {
            continue;
        }
        let outs = status.outs.clone();
        rig.line(Kind::Final { process: member.name.clone(), version: member.acted, outs });
    }
}

fn summed(order: &Order, faults: usize, mut breaches: Vec<String>, load: &Load, rig: &Rig) -> Summary {
    let (mut lines, seen) = {
        let record = lock(&rig.record);
        (record.lines.clone(), record.seen.clone())
    };
    lines.sort_by_key(|line| line.t_us);
    drop_settled(&mut lines);
    let found = check(&lines);
    breaches.extend(found.breaches.iter().cloned());
    let (queries, broken) = rules(load, rig, &seen);
    breaches.extend(broken);
    Summary { seed: order.seed, faults, found, queries, breaches }
}

/// The rules on queries, as clients and emulated backends saw them, whatever the run was about.
pub fn rules(load: &Load, rig: &Rig, seen: &[Seen]) -> (Queries, Vec<String>) {
    let tally = lock(&load.tally);
    let mut queries = queries(&tally, rig);
    let mut breaches: Vec<String> =
        tally.lost.iter().take(20).map(|lost| format!("query lost: {lost}")).collect();
    // Those whose class may not be repeated: by their keys, or ids of that class.
    let bound = |name: &str| name.starts_with("k-") || tally.fates.contains_key(name);
    let twice = lock(&rig.account).twice(bound);
    queries.twice = twice.len();
    breaches.extend(twice.into_iter().take(20));
    let out = at_backends_out(seen, rig);
    queries.at_backends_out = out.len();
    breaches.extend(out.into_iter().take(20));
    let lost_decisions = seen.iter().filter(|seen| seen.code == "fleet_broken").count();
    if lost_decisions > 0 {
        breaches.push(format!("the fleet's part broke {lost_decisions} times"));
    }
    (queries, breaches)
}

pub fn write(dir: &Path, rig: &Rig, summary: &impl Serialize) -> Result<(), String> {
    let mut lines = lock(&rig.record).lines.clone();
    lines.sort_by_key(|line| line.t_us);
    let text: Result<Vec<String>, _> = lines.iter().map(serde_json::to_string).collect();
    let text = text.map_err(|wrong| wrong.to_string())?.join("\n") + "\n";
    std::fs::write(dir.join("history.jsonl"), text).map_err(|wrong| wrong.to_string())?;
    let text = serde_json::to_string_pretty(summary).map_err(|wrong| wrong.to_string())?;
    std::fs::write(dir.join("summary.json"), text + "\n").map_err(|wrong| wrong.to_string())
}
