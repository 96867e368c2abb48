//! `crankpick-lab owner`: a fleet of real processes under load and faults drawn from a seed, held against
//! what the fleet promises of owners, effects and acknowledged calls, and against the rules on queries.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crankpick_carry::clock::now_us;
use serde::Serialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

use crankpick_fleet::messages::{MemberStatus, Status, OUTS};

use crate::emulate::Nature;
use crate::faults::{plan, Draw, Faults};
use crate::history::{check, drop_settled, Found, Kind, Line};
use crate::load::Load;
use crate::rig::{called, Layout, Record, Rig, SETTLED};
use crate::rules::{rules, Queries};
use crate::sync::lock;

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

#[derive(Serialize)]
pub struct Summary {
    pub seed: u64,
    pub faults: usize,
    pub found: Found,
    pub queries: Queries,
    pub breaches: Vec<String>,
}

/// Operators at any proxy that is up, some calls made twice under one id at two of them.
async fn operators(
    admins: Vec<watch::Receiver<Option<std::net::SocketAddr>>>,
    seed: u64,
    backends: usize,
    record: Arc<Mutex<Record>>,
    mut over: watch::Receiver<bool>,
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
    let Order { seed, processes, seconds, lease_us, .. } = *order;
    let faults = plan(&Draw { seed, processes, seconds, lease_us });
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

pub fn write(dir: &Path, rig: &Rig, summary: &impl Serialize) -> Result<(), String> {
    let mut lines = lock(&rig.record).lines.clone();
    lines.sort_by_key(|line| line.t_us);
    let text: Result<Vec<String>, _> = lines.iter().map(serde_json::to_string).collect();
    let text = text.map_err(|wrong| wrong.to_string())?.join("\n") + "\n";
    std::fs::write(dir.join("history.jsonl"), text).map_err(|wrong| wrong.to_string())?;
    let text = serde_json::to_string_pretty(summary).map_err(|wrong| wrong.to_string())?;
    std::fs::write(dir.join("summary.json"), text + "\n").map_err(|wrong| wrong.to_string())
}
