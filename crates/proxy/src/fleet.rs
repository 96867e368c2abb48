//! Connects the proxy to its fleet: applies published versions to the balancer and forwards operators' calls.
//! Called by `serve` if a fleet file is configured, and by `admin`.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crankpick::interface::Listed;
use crankpick_carry::file::{self, FleetFile};
use crankpick_carry::plan_file::Draft;
use crankpick_carry::run::{self, Call, Handle, SendPermission};
use crankpick_fleet::messages::{Ask, Publication, Told};
use crankpick_fleet::observation::{BackendView, Quantized, View};
use crankpick_fleet::state::{Command, Outcome};
use crankpick_fleet::work::{Order, Say};
use serde_json::json;
use tokio::sync::{oneshot, watch};
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

use crate::balancer::BalancerHandle;
use crate::in_flight::InFlight;
use crate::lifecycle::{Lifecycle, LifecycleController};
use crate::registry::{BackendRegistry, DrainSource};
use crate::reload::RequestConfig;

/// Interval of load samples, and how many samples make one report.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLES_PER_REPORT: u32 = 10;
/// How long startup waits at most for permission to send, after it has applied the version in force.
const APPLY_TIMEOUT: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Timeout for sending the leave message.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// First word of fleet calls.
pub const FLEET: &str = "FLEET";

#[derive(Clone)]
pub struct Fleet {
    handle: Handle,
    file: FleetFile,
    registry: Arc<Mutex<BackendRegistry>>,
    zones: Vec<String>,
}

impl Fleet {
    /// `own` is this proxy's name in its configuration, for a fleet file shared by all proxies. `longest` is
    /// the longest duration of an execution.
    pub fn start(
        path: &Path,
        own: Option<&str>,
        longest: Duration,
        registry: Arc<Mutex<BackendRegistry>>,
        zones: Vec<String>,
    ) -> Result<Self, String> {
        let mut file = file::read(path, own)?;
        file.plan.terms.longest_us = longest.as_micros() as u64;
        Ok(Fleet { handle: run::start(file.clone())?, file, registry, zones })
    }

    pub fn right(&self) -> SendPermission {
        self.handle.send_permission.clone()
    }

    /// Keeps the fleet informed of the longest duration of anything sent from here.
    pub fn follow_request_config(&self, mut request_config: watch::Receiver<Arc<RequestConfig>>) {
        let longest_us = Arc::clone(&self.handle.longest_us);
        tokio::spawn(async move {
            loop {
                let longest = request_config.borrow_and_update().longest();
                longest_us.store(longest.as_micros() as u64, Ordering::Relaxed);
                if request_config.changed().await.is_err() {
                    return;
                }
            }
        });
    }

    /// Drains this proxy while the fleet requests it for work on it, and reports when nothing is in flight any
    /// more.
    pub async fn follow_drain(self, controller: LifecycleController, balancer: Arc<BalancerHandle>) {
        let (mut drain, in_flight) = (self.handle.drain.clone(), balancer.in_flight().unwrap_or_default());
        loop {
            let wanted = *drain.borrow_and_update();
            controller.set_fleet_drain(wanted);
            self.handle.tell(Call::Idle(wanted && in_flight.is_empty()));
            tokio::select! {
                changed = drain.changed() => if changed.is_err() { return },
                () = sleep(SAMPLE_INTERVAL), if wanted => {}
            }
        }
    }

    /// Tells the fleet that the process ends and has answered everything, so that the fleet need not wait for
    /// it.
    pub async fn leave(&self) {
        let (done, confirmed) = oneshot::channel();
        self.handle.tell(Call::Part(done));
        let _ = timeout(LEAVE_TIMEOUT, confirmed).await;
    }

    /// Applies the version in force before the first query, if it arrives in time, then follows all later ones.
    pub async fn follow(&self, balancer: Arc<BalancerHandle>) {
        let registry = Arc::clone(&self.registry);
        let (mut heard, mut taken) = (self.handle.heard.clone(), self.handle.taken.clone());
        let wait = Duration::from_micros(self.file.wait_us);
        let heard = matches!(timeout(wait, heard.wait_for(|heard| *heard)).await, Ok(Ok(_)));
        let in_flight = balancer.in_flight().unwrap_or_default();
        let (zones, handle) = (self.zones.clone(), self.handle.clone());
        let mut drains =
            FleetDrains { balancer, registry, in_flight, zones, handle, reported: Default::default() };
        let version = taken.borrow_and_update().clone().map(|publication| drains.apply(&publication));
        // Sending is permitted once the fleet has learnt that this version was applied.
        let deadline = Instant::now() + APPLY_TIMEOUT;
        while heard && !self.handle.send_permission.is_valid() && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        match (heard, version) {
            (true, version) => {
                tracing::info!(
                    code = "fleet_version",
                    version = version.unwrap_or(0),
                    "fleet version applied"
                );
            }
            (false, Some(version)) => {
                tracing::warn!(
                    code = "fleet_unheard",
                    version,
                    "fleet unreachable, serving with the stored version"
                );
            }
            (false, None) if !self.handle.send_permission.is_valid() => {
                tracing::warn!(
                    code = "fleet_unheard",
                    "fleet unreachable, rejecting queries until it responds"
                );
            }
            (false, None) => {
                tracing::warn!(code = "fleet_unheard", "fleet unreachable, serving without a fleet version")
            }
        }
        tokio::spawn(async move {
            let mut samples = interval(SAMPLE_INTERVAL);
            samples.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let mut sampler = LoadSampler::default();
            loop {
                tokio::select! {
                    changed = taken.changed() => {
                        if changed.is_err() {
                            return;
                        }
                        let publication = taken.borrow_and_update().clone();
                        if let Some(publication) = publication {
                            drains.apply(&publication);
                        }
                    }
                    // A count dropped to zero, possibly at a machine whose work waits for it.
                    () = drains.in_flight.reached_zero.notified() => drains.report_busy(false),
                    _ = samples.tick() => {
                        if let Some(view) = sampler.sample(&drains) {
                            drains.handle.tell(Call::View(view));
                        }
                    }
                }
            }
        });
    }

    /// Tells the fleet whether this proxy may own duties: not while it is drained or ending.
    pub async fn report_willingness(self, mut lifecycle: watch::Receiver<Lifecycle>) {
        loop {
            let now = *lifecycle.borrow_and_update();
            match now {
                Lifecycle::Ending(_) => self.handle.tell(Call::PrepareExit),
                now => self.handle.tell(Call::Willing(now.ready().is_ok())),
            }
            if lifecycle.changed().await.is_err() {
                return;
            }
        }
    }

    /// Handles an operator's call; returns the text after YES, or after NO.
    pub async fn call(&self, words: Vec<&str>, wait: Duration) -> Result<String, String> {
        let ask = match words.split_first() {
            Some((&"STATUS", [])) => Ask::Status,
            Some((call @ (&"OUT" | &"BACK"), [id, ids @ ..])) if !ids.is_empty() => {
                let id = u128::from_str_radix(id, 16).map_err(|_| format!("no call's id in {id:?}"))?;
                let ids = ids.iter().map(|id| (*id).to_owned()).collect();
                Ask::Command(Command::Outs { id, out: *call == "OUT", ids })
            }
            Some((&"WORK", words)) => return self.work(words, wait).await,
            _ => return Err("unknown call to the fleet".into()),
        };
        match self.handle.ask(ask, wait).await {
            Told::Done(Outcome::Version(version)) => Ok(json!({ "version": version }).to_string()),
            Told::Done(Outcome::Refused(why)) | Told::NotNow(why) => Err(why),
            Told::Done(_) | Told::Work(_) => Ok(String::new()),
            Told::Status(status) => serde_json::to_string(&status).map_err(|error| error.to_string()),
        }
    }
}

impl Fleet {
    /// Handles calls on work plans.
    async fn work(&self, words: &[&str], wait: Duration) -> Result<String, String> {
        let id = |text: &str| u128::from_str_radix(text, 16).map_err(|_| format!("no call's id in {text:?}"));
        let directive = |say, name: &str| Order::Say { name: name.to_owned(), say };
        let (id, order) = match words {
            ["SHOW"] => {
                return match self.handle.ask(Ask::Work, wait).await {
                    Told::Work(work) => serde_json::to_string(&*work).map_err(|error| error.to_string()),
                    Told::NotNow(why) => Err(why),
                    _ => Err("no answer to that call".into()),
                }
            }
            ["ADD", call, text @ ..] if !text.is_empty() => {
                let draft: Draft =
                    serde_json::from_str(&text.join(" ")).map_err(|error| error.to_string())?;
                (id(call)?, self.plan(draft)?)
            }
            ["PAUSE", call, name] => (id(call)?, directive(Say::Pause, name)),
            ["RESUME", call, name] => (id(call)?, directive(Say::Resume, name)),
            ["CANCEL", call, name] => (id(call)?, directive(Say::Cancel, name)),
            ["DONE", call, machine] => {
                (id(call)?, Order::Ended { machine: (*machine).to_owned(), well: true })
            }
            ["FAILED", call, machine] => {
                (id(call)?, Order::Ended { machine: (*machine).to_owned(), well: false })
            }
            ["FORGET", call, name] => (id(call)?, Order::Forget { name: (*name).to_owned() }),
            _ => return Err("unknown call on work".into()),
        };
        match self.handle.ask(Ask::Command(Command::Work { id, order }), wait).await {
            Told::Done(Outcome::Version(version)) => Ok(json!({ "version": version }).to_string()),
            Told::Done(Outcome::Refused(why)) | Told::NotNow(why) => Err(why),
            _ => Err("no answer to that call".into()),
        }
    }

    /// Resolves a plan's machines by name, zone and cell, against this proxy's current list.
    fn plan(&self, draft: Draft) -> Result<Order, String> {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let zone = |number: u32| self.zones.get(number as usize).cloned().unwrap_or_default();
        let listed: Vec<(String, String, u32)> =
            registry.iter().map(|(id, one)| (id.clone(), zone(one.zone), one.cell)).collect();
        drop(registry);
        let (name, plan) = draft.plan(&listed, &self.file.plan.voters)?;
        Ok(Order::Add { name, plan: Box::new(plan) })
    }
}

/// Averages this proxy's load over several samples for each report.
#[derive(Default)]
struct LoadSampler {
    samples: u32,
    loads: BTreeMap<u32, f64>,
    taken: u64,
    rejected: u64,
}

impl LoadSampler {
    /// Takes a sample; returns a report once there are enough.
    fn sample(&mut self, drains: &FleetDrains) -> Option<View> {
        let (capacities, taken, rejected) = drains.balancer.take_load_sample();
        (self.samples, self.taken, self.rejected) =
            (self.samples + 1, self.taken + taken, self.rejected + rejected);
        for capacity in &capacities {
            *self.loads.entry(capacity.backend).or_default() += capacity.load;
        }
        if self.samples < SAMPLES_PER_REPORT {
            return None;
        }
        let sampled = std::mem::take(self);
        let (samples, seconds) =
            (f64::from(sampled.samples), SAMPLE_INTERVAL.as_secs_f64() * f64::from(sampled.samples));
        let registry = drains.registry();
        let ids: BTreeMap<u32, (&String, &Listed)> =
            registry.iter().map(|(id, listed)| (listed.backend, (id, listed))).collect();
        let mut view = View {
            queries: Quantized::of(sampled.taken as f64 / seconds),
            rejected: Quantized::of(sampled.rejected as f64 / seconds),
            ..View::default()
        };
        for capacity in capacities.iter().filter(|capacity| capacity.ready) {
            let Some((id, _)) = ids.get(&capacity.backend) else { continue };
            let load = sampled.loads.get(&capacity.backend).copied().unwrap_or(0.0) / samples;
            let zone = drains.zones.get(capacity.zone as usize).cloned().unwrap_or_default();
            let (load, max) = (Quantized::of(load), Quantized::of(capacity.max));
            view.backends.insert(
                (*id).clone(),
                BackendView { zone, cell: capacity.cell, load, max, lost: capacity.lost },
            );
        }
        Some(view)
    }
}

/// Applies the fleet's drained backends to the balancer, like manual drains.
struct FleetDrains {
    balancer: Arc<BalancerHandle>,
    registry: Arc<Mutex<BackendRegistry>>,
    in_flight: Arc<InFlight>,
    zones: Vec<String>,
    handle: Handle,
    reported: (u64, BTreeSet<String>),
}

impl FleetDrains {
    /// Reports the applied version, and which drained backends still have requests in flight.
    fn report_busy(&mut self, version_changed: bool) {
        let registry = self.registry();
        let out = registry.drained(DrainSource::Fleet).into_iter();
        let busy = self.in_flight.busy(out.map(|id| (id.clone(), registry.latest(&id).backend)));
        drop(registry);
        if version_changed || busy != self.reported.1 {
            self.reported.1 = busy.clone();
            self.handle.tell(Call::VersionApplied { version: self.reported.0, busy });
        }
    }

    fn apply(&mut self, publication: &Publication) -> u64 {
        let before: BTreeSet<String> = self.registry().drained(DrainSource::Fleet).into_iter().collect();
        for (ids, out) in [(&publication.outs - &before, true), (&before - &publication.outs, false)] {
            for id in ids {
                let changed = self.registry().set_drain(&id, DrainSource::Fleet, out);
                let code = if out { "out_by_fleet" } else { "back_by_fleet" };
                tracing::info!(code, id, version = publication.version, "drain state changed by the fleet");
                if let Some(number) = changed {
                    self.balancer.set_manual_drain(number, out);
                }
            }
        }
        self.reported.0 = publication.version;
        self.report_busy(true);
        publication.version
    }

    fn registry(&self) -> std::sync::MutexGuard<'_, BackendRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
