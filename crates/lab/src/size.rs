//! `crankpick-lab order`: the deciding code of work plans at full size in virtual time, beside orders that look at
//! nothing: a fleet's list in fixed batches, the same in random order, one machine at a time. A model of demand and
//! capacity stands for the fleet; what each proxy says, what it all comes to and each step are the real code's.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use crankpick_fleet::observation::{aggregate, BackendView, LatestReport, Quantized, View};
use crankpick_fleet::scheduler::{Action, Owner, SchedulerInput};
use crankpick_fleet::work::{Bounds, Machine, MachineKind, Order as Say, Plan, Stage, Work};
use serde::Serialize;

use crate::plot;

const S: u64 = 1_000_000;
/// A step of the model.
const STEP_US: u64 = S;
/// Of its capacity, what a backend can be asked for before queries are turned away.
const FULL: f64 = 0.92;
/// Of a zone's demand, what is bound to the cell that it began in.
const BOUND: f64 = 0.25;
/// Crossing to another zone costs so much more.
const CROSSING: f64 = 1.15;
const COLD_US: u64 = 60 * S;
const START: f64 = 0.2;
/// From one high tide of demand to the next.
const TIDE_US: u64 = 6 * 3_600 * S;
const TOKEN: u64 = 1;

#[derive(Clone, Debug)]
pub struct Size {
    pub backends: usize,
    pub proxies: usize,
    pub seeds: u64,
    pub first: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Settled,
    /// So many at a time as the list has them; the next when all of them are whole again.
    Batches(usize),
    /// So many at any time, drawn by lot.
    Random(usize),
    OneAtATime,
}

impl Way {
    fn name(self) -> String {
        match self {
            Way::Settled => "settled by the proxies".into(),
            Way::Batches(of) => format!("list in batches of {of}"),
            Way::Random(of) => format!("{of} at a time, by lot"),
            Way::OneAtATime => "one at a time".into(),
        }
    }
}

struct Backend {
    id: String,
    zone: usize,
    cell: u32,
    capacity: f64,
    work_us: u64,
    back_us: Option<u64>,
    dead_until: u64,
    /// Under work until, once begun.
    until: Option<u64>,
    stage: Stage,
}

#[derive(Clone, Serialize)]
pub struct Course {
    pub way: String,
    /// From the first that goes to the last that is whole again.
    pub took_s: f64,
    /// Of all that was asked for meanwhile, and the same without any work.
    pub lost: f64,
    pub lost_without: f64,
    /// Queries lost to the work itself, in seconds of the whole fleet's mean demand.
    pub cost_s: f64,
    pub most_out: usize,
    #[serde(skip)]
    pub done: Vec<(f64, f64)>,
    #[serde(skip)]
    pub lost_by: Vec<(f64, f64)>,
}

struct Model {
    rng: fastrand::Rng,
    backends: Vec<Backend>,
    zones: usize,
    t: u64,
    /// Of the capacity, by zone.
    demand: Vec<f64>,
    burst: (u64, f64),
    /// Where the tide stands as the plan begins, drawn: no plan knows its day.
    phase: f64,
}

const ZONES: usize = 3;
const CELLS: u32 = 4;

impl Model {
    fn new(size: &Size, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let each = size.backends.div_ceil(ZONES);
        let backends = (0..size.backends).map(|number| {
            let zone = number / each;
            // As inventories are sorted: zone by zone, cell by cell.
            let cell = ((number % each) as u32 * CELLS / each as u32).min(CELLS - 1);
            Backend {
                id: format!("s-{number:03}"),
                zone,
                cell,
                capacity: 0.6 + 0.8 * rng.f64(),
                work_us: rng.u64(120 * S..420 * S),
                back_us: None,
                dead_until: 0,
                until: None,
                stage: Stage::Proposed,
            }
        });
        let backends = backends.collect();
        let demand = vec![0.55, 0.64, 0.50];
        let phase = rng.f64();
        Model { phase, rng, backends, zones: ZONES, t: 0, demand, burst: (0, 1.0) }
    }

    fn able(&self, one: &Backend) -> f64 {
        if one.stage.is_out() || one.dead_until > self.t {
            return 0.0;
        }
        let warm = one
            .back_us
            .map_or(1.0, |back| (START + (1.0 - START) * (self.t - back) as f64 / COLD_US as f64).min(1.0));
        one.capacity * warm
    }

    /// What comes now, by zone: a slow tide and bursts.
    fn asked(&self, zone: usize) -> f64 {
        let whole: f64 = self.backends.iter().filter(|one| one.zone == zone).map(|one| one.capacity).sum();
        let turn = self.t as f64 / TIDE_US as f64 + self.phase;
        let tide = 1.0 + 0.3 * (turn * std::f64::consts::TAU).sin();
        let burst = if self.t < self.burst.0 { self.burst.1 } else { 1.0 };
        whole * self.demand[zone] * tide * burst
    }

    /// Troubles of this moment; the same for all ways, whatever is out.
    fn troubles(&mut self) {
        if self.rng.u32(0..900) == 0 {
            self.burst = (self.t + self.rng.u64(20 * S..60 * S), 1.1 + 0.3 * self.rng.f64());
        }
        if self.rng.u32(0..400) == 0 {
            let number = self.rng.usize(0..self.backends.len());
            self.backends[number].dead_until = self.t + self.rng.u64(60 * S..240 * S);
        }
    }

    /// Asked for and lost in this step, and the load on each backend.
    fn flow(&self) -> (f64, f64, Vec<f64>) {
        let mut load = vec![0.0; self.backends.len()];
        let mut able: Vec<f64> = self.backends.iter().map(|one| FULL * self.able(one)).collect();
        let (mut asked, mut lost) = (0.0, 0.0);
        let spread = |want: f64, able: &mut [f64], load: &mut [f64], among: &dyn Fn(usize) -> bool| -> f64 {
            let room: f64 = (0..able.len()).filter(|at| among(*at)).map(|at| able[at]).sum();
            let part = if room > 0.0 { (want / room).min(1.0) } else { 0.0 };
            for at in (0..able.len()).filter(|at| among(*at)) {
                load[at] += able[at] * part;
                able[at] -= able[at] * part;
            }
            want - room * part
        };
        let mut over = Vec::new();
        for zone in 0..self.zones {
            let want = self.asked(zone);
            asked += want;
            let cells: BTreeSet<u32> =
                self.backends.iter().filter(|one| one.zone == zone).map(|one| one.cell).collect();
            for cell in &cells {
                let bound = BOUND * want / cells.len() as f64;
                let among = |at: usize| self.backends[at].zone == zone && self.backends[at].cell == *cell;
                lost += spread(bound, &mut able, &mut load, &among);
            }
            let free = (1.0 - BOUND) * want;
            over.push(spread(free, &mut able, &mut load, &|at| self.backends[at].zone == zone));
        }
        for left in over {
            lost += spread(left * CROSSING, &mut able, &mut load, &|_| true) / CROSSING;
        }
        (asked, lost, load)
    }
}

/// What the proxies say: each sees a few backends, a tenth of them are late with it, and one in fifty lies.
struct Proxies {
    sees: Vec<Vec<usize>>,
    views: Vec<View>,
    /// Of its own: what is drawn here must not change the day's troubles.
    rng: fastrand::Rng,
}

impl Proxies {
    fn new(size: &Size, rng: &mut fastrand::Rng) -> Self {
        let mut sees: Vec<Vec<usize>> = vec![Vec::new(); size.proxies];
        for (at, sees) in sees.iter_mut().enumerate() {
            let from = at * size.backends / size.proxies.max(1);
            sees.extend(
                (0..10.min(size.backends)).map(|step| (from + step * 7 + rng.usize(0..3)) % size.backends),
            );
            sees.sort_unstable();
            sees.dedup();
        }
        Proxies { views: vec![View::default(); size.proxies], sees, rng: rng.fork() }
    }

    fn look(&mut self, model: &Model, asked: f64, lost: f64, load: &[f64]) {
        let mut users = vec![0_u32; model.backends.len()];
        self.sees.iter().flatten().for_each(|backend| users[*backend] += 1);
        let count = self.views.len().max(1) as f64;
        for (at, view) in self.views.iter_mut().enumerate() {
            if self.rng.u32(0..10) == 0 {
                continue;
            }
            *view = View {
                queries: Quantized::of(asked / count),
                rejected: Quantized::of(lost / count),
                ..View::default()
            };
            for backend in &self.sees[at] {
                let one = &model.backends[*backend];
                if one.stage.is_out() {
                    continue;
                }
                let own = load[*backend] / f64::from(users[*backend].max(1));
                let told = if at % 50 == 7 { 0.0 } else { own };
                let able = model.able(one);
                let sees = BackendView {
                    zone: format!("z{}", one.zone),
                    cell: one.cell,
                    load: Quantized::of(told),
                    // Learned a little wrong.
                    max: Quantized::of(able * (0.85 + 0.3 * self.rng.f64())),
                    lost: one.dead_until > model.t,
                };
                view.backends.insert(one.id.clone(), sees);
            }
        }
    }
}

fn bounds(size: &Size) -> Bounds {
    let all = size.backends as u32;
    Bounds {
        most_out: (all / 8).max(1),
        most_out_zone: (all / 16).max(1),
        most_out_cell: (all / 60).max(1),
        most_cold: (all / 20).max(1),
        least_spare: 1.35,
        most_rejected: 0.02,
        warm_us: COLD_US,
        calm_us: 30 * S,
        hang_us: 300 * S,
        work_us: 600 * S,
        ..Bounds::default()
    }
}

fn play(size: &Size, seed: u64, way: Way) -> Course {
    let mut model = Model::new(size, seed);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x51);
    let mut proxies = Proxies::new(size, &mut rng);
    let voters: Vec<String> = (0..5).map(|voter| format!("v{voter}")).collect();
    let names: Vec<String> = (0..size.proxies).map(|proxy| format!("p{proxy}")).collect();
    let (mut work, mut owner) = (Work::default(), Owner::default());
    let machines = model.backends.iter().map(|one| {
        (one.id.clone(), Machine::new(MachineKind::Backend, &format!("z{}", one.zone), one.cell, false))
    });
    let plan = Plan {
        why: "a week's patching".into(),
        bounds: bounds(size),
        maintenance: None,
        paused: false,
        cancelled: false,
        waits: String::new(),
        number: 0,
        machines: machines.collect(),
    };
    let _ = work.apply_order(&Say::Add { name: "week".into(), plan: Box::new(plan) });
    // What the others go by.
    let mut order: Vec<usize> = (0..model.backends.len()).collect();
    if matches!(way, Way::Random(_)) {
        rng.shuffle(&mut order);
    }
    let (mut asked_all, mut lost_all, mut most_out, mut done) = (0.0, 0.0, 0, 0);
    let (mut lost_without, mut next) = (0.0, 0);
    let mut twin = Model::new(size, seed);
    let mut course = (Vec::new(), Vec::new());
    while done < model.backends.len() && model.t < 400_000 * S {
        model.troubles();
        twin.troubles();
        let (asked, lost, load) = model.flow();
        (asked_all, lost_all) = (asked_all + asked, lost_all + lost);
        lost_without += twin.flow().1;
        match way {
            Way::Settled => {
                proxies.look(&model, asked, lost, &load);
                settle(&mut model, &mut work, &mut owner, &proxies, &names, &voters);
            }
            Way::OneAtATime | Way::Batches(_) | Way::Random(_) => {
                let busy = model.backends.iter().filter(|one| {
                    one.stage.is_out() || one.back_us.is_some_and(|back| model.t < back + COLD_US)
                });
                let busy = busy.count();
                let room = match way {
                    Way::Batches(of) if busy == 0 => of,
                    Way::Batches(_) => 0,
                    Way::Random(of) => of.saturating_sub(busy),
                    _ => 1_usize.saturating_sub(busy),
                };
                for at in order.iter().skip(next).take(room) {
                    model.backends[*at].stage = Stage::Working;
                    model.backends[*at].until = Some(model.t + model.backends[*at].work_us);
                    next += 1;
                }
            }
        }
        let now = model.t;
        for one in &mut model.backends {
            if one.until.is_some_and(|until| now >= until) {
                one.until = None;
                match way {
                    Way::Settled => {
                        let _ = work.apply_order(&Say::Ended { machine: one.id.clone(), well: true });
                    }
                    _ => (one.stage, one.back_us) = (Stage::Done, Some(now)),
                }
            }
        }
        let out = model.backends.iter().filter(|one| one.stage.is_out()).count();
        most_out = most_out.max(out);
        done =
            model.backends.iter().filter(|one| one.back_us.is_some_and(|back| now >= back + COLD_US)).count();
        if now.is_multiple_of(20 * S) {
            let hours = now as f64 / (3_600.0 * S as f64);
            course.0.push((hours, done as f64));
            course.1.push((hours, lost_all - lost_without));
        }
        (model.t, twin.t) = (now + STEP_US, now + STEP_US);
    }
    let seconds = model.t as f64 / S as f64;
    Course {
        way: way.name(),
        took_s: seconds,
        lost: lost_all / asked_all,
        lost_without: lost_without / asked_all,
        cost_s: (lost_all - lost_without) / (asked_all / seconds),
        most_out,
        done: course.0,
        lost_by: course.1,
    }
}

/// One turn of the real deciding code, each proxy confirming what leaves a second later.
fn settle(
    model: &mut Model,
    work: &mut Work,
    owner: &mut Owner,
    proxies: &Proxies,
    names: &[String],
    voters: &[String],
) {
    let words = proxies.views.iter().zip(names).map(|(view, name)| LatestReport {
        name,
        view: Some(view),
        objections: &[],
        revision: u64::MAX,
        age_us: 0,
        in_touch: true,
    });
    let mut sight = aggregate(words);
    let leaving = work.plans["week"].machines.iter().filter(|(_, one)| one.stage == Stage::Leaving);
    sight.waits = leaving.map(|(id, _)| (id.clone(), Vec::new())).collect::<BTreeMap<_, _>>();
    let outs = work.outs();
    let (now_us, token) = (model.t, TOKEN);
    let before = SchedulerInput {
        now_us,
        wall_us: now_us,
        work,
        sight: &sight,
        outs: &outs,
        voters,
        token,
        patience_us: 2 * S,
    };
    let mut steps = Vec::new();
    for one in owner.next(&before) {
        match one {
            Action::Steps(all) => steps.extend(all),
            Action::Waits { plan, why } => {
                let mut next = work.clone();
                let _ = next.set_waits(TOKEN, TOKEN, &plan, &why);
                *work = next;
            }
            Action::StartWork(_) => {}
        }
    }
    for step in steps {
        if work.apply_step(&step, TOKEN, voters.len()).is_err() {
            continue;
        }
        let Some(one) = model.backends.iter_mut().find(|one| one.id == step.machine) else { continue };
        one.stage = step.to;
        match step.to {
            Stage::Working => one.until = Some(now_us + one.work_us),
            Stage::Back => one.back_us = Some(now_us),
            _ => {}
        }
    }
}

#[derive(Serialize)]
pub struct Report {
    pub backends: usize,
    pub proxies: usize,
    pub seeds: u64,
    /// Means over the seeds.
    pub ways: Vec<Course>,
}

fn mean(courses: Vec<Course>) -> Course {
    let count = courses.len() as f64;
    let of = |value: fn(&Course) -> f64| courses.iter().map(value).sum::<f64>() / count;
    let (took_s, lost, lost_without, cost_s) =
        (of(|one| one.took_s), of(|one| one.lost), of(|one| one.lost_without), of(|one| one.cost_s));
    let most_out = courses.iter().map(|one| one.most_out).max().unwrap_or(0);
    let first = courses.into_iter().next();
    let (way, done, lost_by) = first.map(|one| (one.way, one.done, one.lost_by)).unwrap_or_default();
    Course { way, took_s, lost, lost_without, cost_s, most_out, done, lost_by }
}

/// All ways over all seeds; batches and lots are as large as makes them take as long as what the proxies settle.
pub fn run(size: &Size, out: &Path) -> Result<Report, String> {
    std::fs::create_dir_all(out).map_err(|wrong| wrong.to_string())?;
    let seeds: Vec<u64> = (size.first..size.first + size.seeds).collect();
    let all = |way: Way| {
        let courses: Vec<Course> = std::thread::scope(|scope| {
            let runs: Vec<_> = seeds.iter().map(|seed| scope.spawn(move || play(size, *seed, way))).collect();
            runs.into_iter().filter_map(|run| run.join().ok()).collect()
        });
        mean(courses)
    };
    let settled = all(Way::Settled);
    let as_long = |way: fn(usize) -> Way| {
        let mut best = all(way(2));
        for of in [3, 4, 6, 8, 10, 12, 15, 18, 22, 26, 30, 36] {
            let other = all(way(of));
            let far = |one: &Course| (one.took_s / settled.took_s).ln().abs();
            if far(&other) < far(&best) {
                best = other;
            }
        }
        best
    };
    let ways = vec![settled.clone(), as_long(Way::Batches), as_long(Way::Random), all(Way::OneAtATime)];
    let lines = |value: fn(&Course) -> &Vec<(f64, f64)>| {
        ways.iter().map(|one| (one.way.clone(), value(one).clone())).collect::<Vec<_>>()
    };
    let until = 3.0 * settled.took_s / 3_600.0;
    plot::lines(
        &out.join("work-order.svg"),
        &[
            plot::Chart {
                title: "machines whole again (simulated)",
                x: "hours",
                y: "machines",
                lines: lines(|one| &one.done),
            },
            plot::Chart {
                title: "queries lost to the work (simulated)",
                x: "hours",
                y: "capacity-seconds",
                lines: lines(|one| &one.lost_by),
            },
        ],
        until,
    )?;
    let report = Report { backends: size.backends, proxies: size.proxies, seeds: size.seeds, ways };
    let text = serde_json::to_string_pretty(&report).map_err(|wrong| wrong.to_string())?;
    std::fs::write(out.join("work-order.json"), text + "\n").map_err(|wrong| wrong.to_string())?;
    Ok(report)
}
