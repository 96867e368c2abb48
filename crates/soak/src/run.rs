//! One run: a fleet comes up, traffic and changes go on under troubles, all is healed, and the verdict is given.

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use crate::backend::Backend;
use crate::check::{judge, Verdict};
use crate::client::{Client, Crowd};
use crate::clock::Moment;
use crate::configuration::{Constants, IdleTimeouts};
use crate::director::Director;
use crate::error::{FileSnafu, NotReadySnafu, SoakError};
use crate::fleet::Fleet;
use crate::history::{History, ProcessFinding};
use crate::layout::{Layout, Role, Shape};
use crate::log;
use crate::operator::{self, Operator};
use crate::platform::Platform;
use crate::process::program;
use crate::sync::lock;
use crate::trouble::{self, Trouble};

/// How long the fleet may take to come up, and to answer a read in the end.
const PATIENCE: Duration = Duration::from_secs(60);
/// How long requests in hand may take at the end.
const LAST_REQUESTS: Duration = Duration::from_secs(25);
const LOOK: Duration = Duration::from_millis(100);
/// How long processes get to end in order when all is over.
const ENDS: Duration = Duration::from_secs(8);
/// Pauses between two changes.
const QUICK_CHANGES_MS: Range<u64> = 200..1_600;
const SLOW_CHANGES_MS: Range<u64> = 2_500..6_000;
/// The `retries` of streams that may be resumed.
const RESUMABLE_RETRIES: std::ops::RangeInclusive<u32> = 1..=2;
/// The idle timeout where changes don't touch it, and before the first is known.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// What a run is to be.
#[derive(Clone, Debug)]
pub struct Options {
    /// All that is drawn is drawn from it.
    pub seed: u64,
    /// How long troubles last.
    pub seconds: u64,
    /// How many clients there are.
    pub clients: usize,
    /// The fleet's shape; drawn where there is none.
    pub shape: Option<Shape>,
    /// No troubles: traffic, idle connections and changes of the configuration alone.
    pub quiet: bool,
    /// All processes are slow throughout.
    pub slow: bool,
    /// Whether changes touch the idle timeout; drawn where it is none.
    pub idle_timeouts: Option<IdleTimeouts>,
    /// What tells of a broken invariant in a process's log.
    pub patterns: Vec<String>,
    /// Where the run's folder is made.
    pub out: PathBuf,
    /// Whether the folder stays after a run without a finding.
    pub keep: bool,
}

impl Options {
    /// A run of the usual length.
    pub fn new(seed: u64, out: &Path) -> Self {
        Options {
            seed,
            seconds: 30,
            clients: 200,
            shape: None,
            quiet: false,
            slow: false,
            idle_timeouts: None,
            patterns: log::PATTERNS.map(str::to_owned).to_vec(),
            out: out.to_owned(),
            keep: false,
        }
    }
}

/// What is drawn before a run starts.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The fleet.
    pub shape: Shape,
    /// Whether changes touch the idle timeout.
    pub idle_timeouts: IdleTimeouts,
    /// The `retries` of streams that may be resumed.
    pub resumable_retries: u32,
    /// Pauses between changes, in milliseconds.
    pub change_pauses: Range<u64>,
    /// The troubles.
    pub troubles: Vec<Trouble>,
}

impl Plan {
    /// Draws a run's plan.
    pub fn draw(options: &Options) -> Self {
        let mut rng = Rng::with_seed(options.seed);
        let drawn_shape = Shape::draw(&mut rng);
        let constant = rng.bool();
        let drawn = if constant { IdleTimeouts::Constant(IDLE_TIMEOUT) } else { IdleTimeouts::Drawn };
        let change_pauses = if rng.bool() { QUICK_CHANGES_MS } else { SLOW_CHANGES_MS };
        let resumable_retries = rng.u32(RESUMABLE_RETRIES);
        let shape = options.shape.unwrap_or(drawn_shape);
        let troubles = trouble::draw(&mut rng, &shape, options.seconds);
        let mut troubles = if options.quiet { Vec::new() } else { troubles };
        if options.slow {
            troubles.insert(0, trouble::all_slow(&shape, options.seconds));
        }
        let idle_timeouts = options.idle_timeouts.unwrap_or(drawn);
        Plan { shape, idle_timeouts, resumable_retries, change_pauses, troubles }
    }
}

/// What came of a run.
pub struct Report {
    /// What it was to be.
    pub options: Options,
    /// What was drawn.
    pub plan: Plan,
    /// What was seen.
    pub history: History,
    /// The judgement.
    pub verdict: Verdict,
    /// The gateways' own counters, summed up.
    pub counters: BTreeMap<String, u64>,
    /// Its folder, where it was kept.
    pub folder: Option<PathBuf>,
}

/// Plays a run.
pub async fn run(options: &Options) -> Result<Report, SoakError> {
    let plan = Plan::draw(options);
    let folder = options.out.join(format!("seed-{}", options.seed));
    let folder = fresh_folder(&folder)?;
    let layout = Layout::new(plan.shape, &folder)?;
    let fleet = Arc::new(Fleet::new(layout, &program()?).await?);
    let played = play(options, &plan, &fleet).await;
    end(&fleet).await;
    played?;
    let counters = read_logs(&fleet, &options.patterns);
    let mut history = std::mem::take(&mut *lock(&fleet.history));
    history.is_calm = plan.troubles.is_empty();
    let verdict = judge(&history);
    let mut report =
        Report { options: options.clone(), plan, history, verdict, counters, folder: Some(folder.clone()) };
    if report.verdict.holds() && !options.keep {
        let _ = std::fs::remove_dir_all(&folder);
        report.folder = None;
    } else {
        report.write(&folder)?;
    }
    Ok(report)
}

/// An empty folder; what an earlier run left there goes.
fn fresh_folder(folder: &Path) -> Result<PathBuf, SoakError> {
    if folder.exists() {
        std::fs::remove_dir_all(folder).context(FileSnafu { path: folder })?;
    }
    std::fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
    folder.canonicalize().context(FileSnafu { path: folder })
}

async fn play(options: &Options, plan: &Plan, fleet: &Arc<Fleet>) -> Result<(), SoakError> {
    let mut rng = Rng::with_seed(!options.seed);
    fleet.start_all()?;
    let crowd = Arc::new(Crowd {
        fleet: Arc::clone(fleet),
        platform: Platform::start(fleet),
        idle_timeout: watch::Sender::new(IDLE_TIMEOUT),
        stopping: AtomicBool::new(false),
    });
    let constants =
        Constants { idle_timeouts: plan.idle_timeouts, resumable_retries: plan.resumable_retries };
    let mut operator = Operator::new(&crowd, constants, plan.change_pauses.clone(), rng.u64(..));
    let begun = timeout(PATIENCE, operator.begin()).await;
    let backends = start_backends(fleet, plan.shape.backends, &mut rng).await;
    if !begun.is_ok_and(|taken| taken) {
        return not_ready("the first configuration is not taken");
    }
    all_ready(&crowd).await?;
    fleet.write_settings(false)?;
    let director = Director { fleet: Arc::clone(fleet), backends };
    let watching = tokio::spawn(director.clone().watch());
    let reads_stopping = Arc::new(AtomicBool::new(false));
    let mut clients = JoinSet::new();
    for number in 0..options.clients {
        clients.spawn(Client::new(&crowd, number, rng.u64(..)).run());
    }
    let operating = tokio::spawn(operator.run());
    let reading = operator::read_on(Arc::clone(fleet), Arc::clone(&reads_stopping), rng.u64(..));
    let reading = tokio::spawn(reading);

    let begin = fleet.clock.now();
    let troubles = shifted(&plan.troubles, begin);
    let over = begin.plus(Duration::from_secs(options.seconds));
    tokio::join!(director.play(&troubles), fleet.clock.sleep_until(over));

    director.heal()?;
    crowd.stopping.store(true, Ordering::Relaxed);
    let _ = operating.await;
    let _ = timeout(LAST_REQUESTS, async { while clients.join_next().await.is_some() {} }).await;
    reads_stopping.store(true, Ordering::Relaxed);
    let _ = reading.await;
    read_at_last(fleet, &mut rng).await;
    watching.abort();
    Ok(())
}

fn shifted(troubles: &[Trouble], by: Moment) -> Vec<Trouble> {
    let by = by.since(Moment::default());
    troubles.iter().map(|trouble| Trouble { at: trouble.at.plus(by), kind: trouble.kind.clone() }).collect()
}

async fn start_backends(fleet: &Arc<Fleet>, number: usize, rng: &mut Rng) -> Vec<Arc<Backend>> {
    let mut backends = Vec::new();
    for at in 0..number {
        let backend = Backend::new(fleet, at, rng.u64(..));
        if backend.start(1).await.is_err() {
            fleet.note("backends that did not start");
        }
        backends.push(backend);
    }
    backends
}

async fn all_ready(crowd: &Crowd) -> Result<(), SoakError> {
    let until = Instant::now() + PATIENCE;
    let machines = crowd.fleet.machines();
    while Instant::now() < until {
        if (0..machines).all(|machine| crowd.platform.is_in(machine)) {
            return Ok(());
        }
        sleep(LOOK).await;
    }
    not_ready("a gateway is not ready")
}

fn not_ready<T>(what: &str) -> Result<T, SoakError> {
    NotReadySnafu { seconds: PATIENCE.as_secs(), what }.fail()
}

/// Reads the configuration back at any machine until one answers.
async fn read_at_last(fleet: &Fleet, rng: &mut Rng) {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let machine = rng.usize(..fleet.machines());
        if operator::read(fleet, machine, true).await.is_some() {
            return;
        }
        sleep(LOOK).await;
    }
}

/// Ends all processes, in order where they do.
async fn end(fleet: &Fleet) {
    for process in fleet.processes() {
        process.terminate();
    }
    let until = Instant::now() + ENDS;
    for process in fleet.processes() {
        let left = until.saturating_duration_since(Instant::now());
        if !process.ended_within(left).await {
            process.kill();
            process.ended_within(ENDS).await;
        }
    }
}

fn read_logs(fleet: &Fleet, patterns: &[String]) -> BTreeMap<String, u64> {
    let mut counters = BTreeMap::new();
    let mut history = lock(&fleet.history);
    for machine in 0..fleet.machines() {
        for role in Role::ALL {
            let path = fleet.layout.log_file(machine, role);
            log::add_counters(&path, &mut counters);
            let process = fleet.layout.process_name(machine, role);
            for text in log::findings(&path, patterns) {
                history.process_findings.push(ProcessFinding { process: process.clone(), text });
            }
        }
    }
    counters
}
