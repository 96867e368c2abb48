//! `crankpick-lab work`: a work plan over all backends of a fleet of real processes, under load and faults drawn
//! from a seed, held against what plans promise and against the rules on queries.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crankpick_fleet::messages::WORK;
use crankpick_fleet::observation::FleetView;
use crankpick_fleet::work::{Plan, Work};
use serde::Serialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

use crate::emulate::Inventory;
use crate::faults::{plan as plan_faults, Draw, Faults};
use crate::history::{Kind, Line};
use crate::load::Load;
use crate::maintain::Maintenance;
use crate::owner;
use crate::rig::{Layout, Rig, SETTLED};
use crate::rules::{rules, Queries};
use crate::sync::lock;

/// Once all is healed a plan has so long to end.
const ENDS: Duration = Duration::from_secs(90);
const PLAN: &str = "week";

#[derive(Clone, Debug)]
pub struct Order {
    pub seed: u64,
    pub processes: usize,
    pub voters: usize,
    pub backends: usize,
    pub seconds: u64,
    pub lease_us: u64,
    pub rate: f64,
    /// The same run, and nothing is worked on.
    pub without_plan: bool,
    pub without_faults: bool,
    pub quiet: bool,
}

#[derive(Serialize)]
pub struct Summary {
    pub seed: u64,
    pub faults: usize,
    pub machines: usize,
    pub most_out: u32,
    pub most_out_seen: u32,
    pub under_work: usize,
    pub begun_again: u64,
    pub stale_refused: usize,
    pub put_back: usize,
    /// From the plan's first word to its last machine.
    pub plan_us: u64,
    pub served: f64,
    pub queries: Queries,
    pub breaches: Vec<String>,
}

/// A fault of a backend.
#[derive(Clone, Copy, Debug, Serialize)]
struct Trouble {
    at_us: u64,
    backend: usize,
    /// Times slower, or down at 0.
    slow: u32,
    lasts_us: u64,
}

fn troubles(order: &Order) -> Vec<Trouble> {
    let mut rng = fastrand::Rng::with_seed(order.seed ^ 0xb0);
    let drawn = (0..order.seconds / 4).map(|_| Trouble {
        at_us: rng.u64(1_000_000..order.seconds * 1_000_000),
        backend: rng.usize(0..order.backends),
        slow: if rng.bool() { 0 } else { rng.u32(3..12) },
        lasts_us: rng.u64(500_000..2_500_000),
    });
    let mut all: Vec<Trouble> = drawn.collect();
    all.sort_by_key(|trouble| trouble.at_us);
    all
}

fn plan_file(order: &Order, maintenance: &str) -> (String, [u32; 3]) {
    let mut rng = fastrand::Rng::with_seed(order.seed ^ 0x9a);
    let most_out = rng.u32(1..=(order.backends as u32 / 3).max(1));
    let zone = rng.u32(1..=most_out);
    let cell = rng.u32(1..=zone);
    let text = format!(
        "name = \"{PLAN}\"\nwhy = \"patches\"\nwork_us = 3_000_000\nmaintenance = \"{maintenance}\"\n\
         [bounds]\nmost_out = {most_out}\nmost_out_zone = {zone}\nmost_out_cell = {cell}\nleast_spare = 1.3\n\
         hang_us = 4_000_000\nwarm_us = 500_000\ncalm_us = 500_000\nmost_rejected = 0.2\nlast_of_cell = true\n\
         [[machines]]\nzone = \"a\"\n[[machines]]\nzone = \"b\"\n[[machines]]\nzone = \"c\"\n"
    );
    (text, [most_out, zone, cell])
}

/// The plans as any proxy tells of them.
async fn told(rig: &Rig) -> Result<(Work, FleetView), String> {
    let mut why = "nobody is up".to_owned();
    for at in (0..rig.procs.len()).filter(|at| rig.is_up(*at) && !rig.procs[*at].stopped) {
        match rig.call(at, "FLEET WORK SHOW").await {
            Ok(said) => return serde_json::from_str(&said).map_err(|wrong| wrong.to_string()),
            Err(wrong) => why = wrong,
        }
    }
    Err(why)
}

pub async fn run(order: &Order, dir: &Path) -> Result<Summary, String> {
    let terms = match order.seed % 2 {
        0 => "when_cut_off = \"drain\"\n",
        _ => "serve_unheard = false\n",
    };
    let layout = Layout {
        processes: order.processes,
        voters: order.voters,
        backends: order.backends,
        lease_us: order.lease_us,
        seed: order.seed,
        zones: 3,
        cells: 2,
        terms,
        ..Layout::default()
    };
    let Order { seed, processes, seconds, lease_us, .. } = *order;
    let drawn = plan_faults(&Draw { seed, processes, seconds, lease_us });
    let (mut faults, mut ills) = (drawn, troubles(order));
    if order.without_faults {
        (faults, ills) = (Vec::new(), Vec::new());
    }
    let mut rig = Rig::new(layout, dir).await?;
    let inventory = Arc::new(Inventory::of(&rig.backends, &rig.discovery));
    let admins: Vec<_> = rig.procs.iter().map(|proc| proc.admin.subscribe()).collect();
    let maintenance = Maintenance::start(
        inventory,
        admins,
        Arc::clone(&rig.record),
        (300_000, 1_500_000),
        order.seed,
        if order.without_faults { 0 } else { 2 },
    );
    let maintenance = maintenance.await.map_err(|wrong| wrong.to_string())?;
    let (text, bounds) = plan_file(order, &maintenance.address.to_string());
    if !order.quiet {
        println!("{}", json!({"seed": order.seed, "plan": text, "faults": faults, "troubles": ills}));
    }
    rig.start_fleet().await?;
    let (over, on_over) = watch::channel(false);
    let load = Arc::new(Load::new());
    let mut clients = rig.clients(&load, order.rate, order.seed, &on_over);
    sleep(Duration::from_secs(1)).await;
    let mut breaches = Vec::new();
    let begun = Instant::now();
    if !order.without_plan {
        add(&rig, &text, dir).await?;
        let [most_out, most_out_zone, most_out_cell] = bounds;
        rig.line(Kind::Plan { name: PLAN.into(), most_out, most_out_zone, most_out_cell });
    }
    let ailing = {
        let backends = rig.backends.clone();
        let ills = ills.clone();
        tokio::spawn(async move {
            let mut all = tokio::task::JoinSet::new();
            for ill in ills {
                let backend = backends[ill.backend].clone();
                all.spawn(async move {
                    sleep(Duration::from_micros(ill.at_us)).await;
                    backend.down(ill.slow == 0);
                    backend.slow(ill.slow.max(1));
                    sleep(Duration::from_micros(ill.lasts_us)).await;
                    backend.down(false);
                    backend.slow(1);
                });
            }
            while all.join_next().await.is_some() {}
        })
    };
    Faults::new(order.seed, WORK).play(&mut rig, &faults).await?;
    let _ = ailing.await;
    rig.heal().await?;
    let mut plan_us = 0;
    if !order.without_plan {
        match ended(&rig).await {
            Ok(()) => {
                plan_us = begun.elapsed().as_micros() as u64;
                rig.line(Kind::PlanDone { name: PLAN.into() });
            }
            Err(why) => breaches.push(format!("the plan is not over: {why}")),
        }
    } else {
        sleep(Duration::from_secs(order.seconds).saturating_sub(begun.elapsed())).await;
    }
    let _ = over.send(true);
    while clients.join_next().await.is_some() {}
    if let Err(why) = rig.settled(SETTLED).await {
        breaches.push(format!("not whole again: {why}"));
    }
    let (machines, begun_again, twice) = maintenance.told();
    breaches.extend(twice);
    let summary = summed(order, faults.len() + ills.len(), bounds, breaches, &load, &rig);
    rig.close().await;
    let summary = Summary { machines, begun_again, plan_us, ..summary };
    executions(&rig);
    owner::write(dir, &rig, &summary)?;
    Ok(summary)
}

/// Gives the fleet a plan through its first process.
pub async fn add(rig: &Rig, text: &str, dir: &Path) -> Result<(), String> {
    let path = dir.join("plan.toml");
    std::fs::write(&path, text).map_err(|wrong| wrong.to_string())?;
    let draft = crankpick_carry::plan_file::read(&path)?;
    let draft = serde_json::to_string(&draft).map_err(|wrong| wrong.to_string())?;
    rig.call(0, &format!("FLEET WORK ADD {:x} {draft}", fastrand::u128(1..))).await.map(|_| ())
}

async fn ended(rig: &Rig) -> Result<(), String> {
    let until = Instant::now() + ENDS;
    loop {
        let why = match told(rig).await {
            Ok((work, sight)) => match work.plans.get(PLAN) {
                Some(plan) if plan.is_over() => return Ok(()),
                Some(plan) => {
                    let left = plan.machines.iter().filter(|(_, machine)| !machine.stage.is_over());
                    let left: Vec<_> = left.map(|(id, machine)| (id, machine.stage, &machine.why)).collect();
                    format!("waits: {}; {left:?}; {sight:?}", plan.waits)
                }
                None => "no such plan".to_owned(),
            },
            Err(why) => why,
        };
        if Instant::now() > until {
            return Err(why);
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Spans in which each machine was under work, by the maintenance system's own record.
fn spans(lines: &[Line]) -> BTreeMap<String, Vec<(u64, u64)>> {
    let mut spans: BTreeMap<String, Vec<(u64, u64)>> = BTreeMap::new();
    for line in lines {
        match &line.kind {
            Kind::WorkBegins { machine, .. } => {
                spans.entry(machine.clone()).or_default().push((line.t_us, u64::MAX));
            }
            Kind::WorkEnds { machine } => {
                if let Some(span) = spans.get_mut(machine).and_then(|spans| spans.last_mut()) {
                    span.1 = line.t_us;
                }
            }
            _ => {}
        }
    }
    spans
}

/// What reached the machines, into the history.
fn executions(rig: &Rig) {
    let account = lock(&rig.account);
    let lines = account.executions.iter().map(|one| Line {
        t_us: one.t_us,
        kind: Kind::Execution { machine: format!("s-{}", one.backend), query: one.query.clone() },
    });
    let lines: Vec<Line> = lines.collect();
    lock(&rig.record).lines.extend(lines);
}

/// The most that were out at a time, in all, by zone and by cell, as the leaders logged their steps.
fn most_out(lines: &[Line], layout: &Layout, bounds: [u32; 3], breaches: &mut Vec<String>) -> u32 {
    let mut out: BTreeSet<usize> = BTreeSet::new();
    let mut most = 0;
    for line in lines {
        let Kind::Stepped { machine, to, .. } = &line.kind else { continue };
        let Some(number) = machine.strip_prefix("s-").and_then(|number| number.parse().ok()) else {
            continue;
        };
        match to.as_str() {
            "proposed" | "warm" | "done" | "cancelled" => out.remove(&number),
            _ => out.insert(number),
        };
        most = most.max(out.len() as u32);
        let (mut zones, mut cells) = (BTreeMap::<String, u32>::new(), BTreeMap::<(String, u32), u32>::new());
        for number in &out {
            let (zone, cell) = layout.place(*number);
            *zones.entry(zone.clone()).or_default() += 1;
            *cells.entry((zone, cell)).or_default() += 1;
        }
        let worst = [
            out.len() as u32,
            zones.values().copied().max().unwrap_or(0),
            cells.values().copied().max().unwrap_or(0),
        ];
        if worst.iter().zip(bounds).any(|(out, most)| *out > most) {
            breaches.push(format!("{worst:?} out of {bounds:?} that may be, after {machine} became {to}"));
        }
    }
    most
}

fn summed(
    order: &Order,
    faults: usize,
    bounds: [u32; 3],
    mut breaches: Vec<String>,
    load: &Load,
    rig: &Rig,
) -> Summary {
    let (mut lines, seen) = {
        let record = lock(&rig.record);
        (record.lines.clone(), record.seen.clone())
    };
    lines.sort_by_key(|line| line.t_us);
    let found = crate::history::check(&lines);
    breaches.extend(found.breaches.iter().cloned());
    let most_out_seen = most_out(&lines, &rig.layout, bounds, &mut breaches);
    let (queries, broken) = rules(load, rig, &seen);
    breaches.extend(broken);
    let spans = spans(&lines);
    let account = lock(&rig.account);
    let under = account.executions.iter().filter(|one| {
        let spans = spans.get(&format!("s-{}", one.backend));
        spans.into_iter().flatten().any(|(from, until)| (*from..*until).contains(&one.t_us))
    });
    let under: Vec<String> =
        under.map(|one| format!("{} reached s-{} under work", one.query, one.backend)).collect();
    breaches.extend(under.iter().take(20).cloned());
    let count = |is: fn(&Kind) -> bool| lines.iter().filter(|line| is(&line.kind)).count();
    let served = queries.completed as f64 / (queries.sent - queries.excused).max(1) as f64;
    Summary {
        seed: order.seed,
        faults,
        machines: 0,
        most_out: bounds[0],
        most_out_seen,
        under_work: under.len(),
        begun_again: 0,
        stale_refused: count(|kind| matches!(kind, Kind::StaleBegin { .. })),
        put_back: count(|kind| matches!(kind, Kind::Stepped { to, .. } if to == "proposed")),
        plan_us: 0,
        served,
        queries,
        breaches,
    }
}

/// Whether a plan is over, for tests.
pub async fn plan(rig: &Rig, name: &str) -> Result<Plan, String> {
    told(rig).await?.0.plans.remove(name).ok_or_else(|| format!("no plan {name:?}"))
}
