//! `crankpick-lab`: plays fleets under load and faults and says what came of it.

use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use clap::{Args, Parser, Subcommand};
use crankpick_lab::owner::{self, Order};
use crankpick_lab::world::{Plans, Setup, World};
use crankpick_lab::{crowd, demo, size, work};
use serde::Serialize;

#[derive(Parser)]
#[command(
    name = "crankpick-lab",
    version,
    about = "Fleets of proxies under load and faults, on this machine alone"
)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

/// The fleet of a run with drawn faults.
#[derive(Args)]
struct FleetArgs {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 5)]
    processes: usize,
    #[arg(long, default_value_t = 3)]
    voters: usize,
}

impl FleetArgs {
    /// Agreement needs a majority: an odd number of voters, each of them a process.
    fn is_sound(&self) -> bool {
        self.processes >= self.voters && self.voters % 2 == 1
    }
}

/// What a run with drawn faults leaves behind, its leases and its load.
#[derive(Args)]
struct LoadArgs {
    /// Where history.jsonl and summary.json go, and what the processes keep
    #[arg(long)]
    out: PathBuf,
    /// In microseconds
    #[arg(long, default_value_t = 1_000_000)]
    lease_us: u64,
    /// Queries a second at each proxy
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
}

#[derive(Subcommand)]
enum What {
    /// Real processes, one duty, faults: is there ever more than one owner?
    Owner {
        #[command(flatten)]
        fleet: FleetArgs,
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        #[command(flatten)]
        load: LoadArgs,
    },
    /// Real processes and a plan over all backends: is anything sent to a machine under work?
    Work {
        #[command(flatten)]
        fleet: FleetArgs,
        #[arg(long, default_value_t = 12)]
        backends: usize,
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        #[command(flatten)]
        load: LoadArgs,
        /// The same run with nothing worked on: what the plan costs is the difference
        #[arg(long)]
        without_plan: bool,
        #[arg(long)]
        without_faults: bool,
    },
    /// Three proxies, four emulated backends and some load: what a fleet does, in half a minute
    Demo {
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// What hundreds of sessions cost the voters
    Sessions {
        #[arg(long, default_value_t = 900)]
        count: usize,
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        #[arg(long, default_value_t = 3_000_000)]
        lease_us: u64,
        #[arg(long)]
        out: PathBuf,
    },
    /// Latency with the fleet's part on and off, in turns
    Pace {
        #[arg(long, default_value_t = 5)]
        turns: u64,
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        #[arg(long, default_value_t = 300.0)]
        rate: f64,
        #[arg(long)]
        out: PathBuf,
    },
    /// Who goes out for work next, at full size in virtual time, beside orders that look at nothing
    Order {
        #[arg(long, default_value_t = 190)]
        backends: usize,
        #[arg(long, default_value_t = 900)]
        proxies: usize,
        #[arg(long, default_value_t = 6)]
        seeds: u64,
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Where work-order.json and work-order.svg go
        #[arg(long)]
        out: PathBuf,
    },
    /// Whole nodes in virtual time, one schedule of faults a seed
    Virtual {
        #[arg(long, default_value_t = 0)]
        first: u64,
        #[arg(long, default_value_t = 10_000)]
        schedules: u64,
        /// With machines out for work
        #[arg(long)]
        work: bool,
    },
}

/// One schedule a seed, on all cores: what was counted, summed, and the promises broken, by their seeds.
fn each_seed<const N: usize>(
    first: u64,
    schedules: u64,
    one: impl Fn(u64) -> ([u64; N], Vec<String>) + Sync,
) -> Result<[u64; N], String> {
    let next = AtomicU64::new(first);
    let (sums, broken) = (Mutex::new([0_u64; N]), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + schedules {
                    return;
                }
                let (counts, breaches) = one(seed);
                if let (Ok(mut sums), Ok(mut broken)) = (sums.lock(), broken.lock()) {
                    sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
                    broken.extend(breaches.into_iter().map(|breach| format!("seed {seed}: {breach}")));
                }
            });
        }
    });
    let broken = broken.into_inner().unwrap_or_default();
    broken.iter().take(20).for_each(|breach| println!("{breach}"));
    match broken.len() {
        0 => Ok(sums.into_inner().unwrap_or([0; N])),
        count => Err(format!("{count} promises broken in {schedules} schedules")),
    }
}

fn played(first: u64, schedules: u64) -> Result<(), String> {
    let [owners, effects, stale, acked, overlap] = each_seed(first, schedules, |seed| {
        let voters = if seed.is_multiple_of(5) { 5 } else { 3 };
        let mut world = World::new(seed, Setup { voters, ..Setup::default() });
        world.play();
        let found = world.found();
        ([found.owners, found.effects, found.stale_tried, found.acked, found.overlap_us], found.breaches)
    })?;
    println!("{schedules} schedules: {owners} owners, {effects} effects, {stale} stale words tried, {acked} calls acknowledged, {overlap} us of overlap");
    Ok(())
}

fn worked_in_virtual_time(first: u64, schedules: u64) -> Result<(), String> {
    let [machines, again, stale, back] = each_seed(first, schedules, |seed| {
        let mut world = World::new(seed, Setup { plans: Some(Plans::drawn(seed)), ..Setup::default() });
        world.play_work();
        let (machines, again, stale, _) = world.worked();
        ([machines as u64, again, stale, world.put_back()], world.found().breaches)
    })?;
    println!("{schedules} schedules: {machines} machines worked on, {again} beginnings repeated, {stale} old owners' calls refused, {back} put or called back");
    Ok(())
}

/// The rig's own work on two threads, beside the processes under test.
fn run<T>(what: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(|wrong| wrong.to_string())?.block_on(what)
}

/// Prints what came of a run with drawn faults; an error where a promise was broken.
fn report(summary: &impl Serialize, breaches: &[String]) -> Result<(), String> {
    println!("{}", serde_json::to_string(summary).map_err(|wrong| wrong.to_string())?);
    match breaches.len() {
        0 => Ok(()),
        count => Err(format!("{count} promises broken")),
    }
}

fn main() -> ExitCode {
    let done = match Cli::parse().what {
        What::Work { fleet, backends, seconds, load, without_plan, without_faults } => {
            if !fleet.is_sound() || backends < 3 {
                eprintln!("crankpick-lab: an odd number of voters, no more than processes; three backends");
                return ExitCode::from(2);
            }
            let order = work::Order {
                seed: fleet.seed,
                processes: fleet.processes,
                voters: fleet.voters,
                backends,
                seconds,
                lease_us: load.lease_us,
                rate: load.rate,
                without_plan,
                without_faults,
                quiet: false,
            };
            run(work::run(&order, &load.out)).and_then(|summary| report(&summary, &summary.breaches))
        }
        What::Owner { fleet, seconds, load } => {
            if !fleet.is_sound() {
                eprintln!("crankpick-lab: an odd number of voters, and no more than processes");
                return ExitCode::from(2);
            }
            let order = Order {
                seed: fleet.seed,
                processes: fleet.processes,
                voters: fleet.voters,
                seconds,
                lease_us: load.lease_us,
                rate: load.rate,
                quiet: false,
            };
            run(owner::run(&order, &load.out)).and_then(|summary| report(&summary, &summary.breaches))
        }
        What::Demo { out } => {
            let kept = out.is_some();
            let own = std::env::temp_dir().join(format!("crankpick-demo-{}", std::process::id()));
            let out = out.unwrap_or(own);
            let done = run(demo::run(&out));
            if !kept {
                let _ = std::fs::remove_dir_all(&out);
            }
            done
        }
        What::Sessions { count, seconds, lease_us, out } => {
            run(crowd::sessions(count, seconds, lease_us, &out)).map(|told| println!("{told}"))
        }
        What::Pace { turns, seconds, rate, out } => {
            run(crowd::pace(turns, seconds, rate, &out)).map(|told| println!("{told}"))
        }
        What::Order { backends, proxies, seeds, first, out } => {
            size::run(&size::Size { backends, proxies, seeds, first }, &out).map(|report| {
                for one in report.ways {
                    println!(
                        "{}: {:.2} h, {:.2} % lost ({:.2} % without work), {:.0} s of demand, {} out",
                        one.way,
                        one.took_s / 3_600.0,
                        100.0 * one.lost,
                        100.0 * one.lost_without,
                        one.cost_s,
                        one.most_out
                    );
                }
            })
        }
        What::Virtual { first, schedules, work: false } => played(first, schedules),
        What::Virtual { first, schedules, work: true } => worked_in_virtual_time(first, schedules),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("crankpick-lab: {why}");
            ExitCode::FAILURE
        }
    }
}
