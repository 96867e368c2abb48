//! The proxy's side of the fleet: what is published there is told to the module, and operators' calls are
//! passed on. Called by `serve` where a fleet file is named, and by `admin`.

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

use crate::decide::Decide;
use crate::in_flight::InFlight;
use crate::lifecycle::{Lifecycle, Stand};
use crate::names::{By, Names};
use crate::reload::Terms;

/// How often the proxy's own load is looked at, and how many looks make a word on it.
const LOOK: Duration = Duration::from_millis(100);
const LOOKS: u32 = 10;
/// How long a start waits at most until it may send, having acted on what is in force.
const ACTED: Duration = Duration::from_millis(300);
const SOON: Duration = Duration::from_millis(2);
/// For the last word to go.
const PART: Duration = Duration::from_millis(300);
/// What calls to the fleet begin with.
pub const FLEET: &str = "FLEET";

#[derive(Clone)]
pub struct Fleet {
    handle: Handle,
    file: FleetFile,
    names: Arc<Mutex<Names>>,
    zones: Vec<String>,
}

impl Fleet {
    /// `own` is this proxy's name by its configuration, for a file that all share.
    /// `longest` is the longest that an execution may take.
    pub fn start(
        path: &Path,
        own: Option<&str>,
        longest: Duration,
        names: Arc<Mutex<Names>>,
        zones: Vec<String>,
    ) -> Result<Self, String> {
        let mut file = file::read(path, own)?;
        file.plan.terms.longest_us = longest.as_micros() as u64;
        Ok(Fleet { handle: run::start(file.clone())?, file, names, zones })
    }

    pub fn right(&self) -> SendPermission {
        self.handle.send_permission.clone()
    }

    /// The fleet reckons with the longest that anything sent from here may take.
    pub fn terms(&self, mut terms: watch::Receiver<Arc<Terms>>) {
        let longest_us = Arc::clone(&self.handle.longest_us);
        tokio::spawn(async move {
            loop {
                let longest = terms.borrow_and_update().longest();
                longest_us.store(longest.as_micros() as u64, Ordering::Relaxed);
                if terms.changed().await.is_err() {
                    return;
                }
            }
        });
    }

    /// Drained while the fleet wants it, for work on this proxy; tells when nothing is in hand any more.
    pub async fn drains(self, stand: Stand, decide: Arc<Decide>) {
        let (mut drain, in_flight) = (self.handle.drain.clone(), decide.in_flight().unwrap_or_default());
        loop {
            let wanted = *drain.borrow_and_update();
            stand.by_fleet(wanted);
            self.handle.tell(Call::Idle(wanted && in_flight.empty()));
            tokio::select! {
                changed = drain.changed() => if changed.is_err() { return },
                () = sleep(LOOK), if wanted => {}
            }
        }
    }

    /// The process ends, and has answered all that it took: the fleet need not wait for it.
    pub async fn part(&self) {
        let (done, said) = oneshot::channel();
        self.handle.tell(Call::Part(done));
        let _ = timeout(PART, said).await;
    }

    /// Takes what is in force before any query comes, as far as it can be heard of in time, then follows it.
    pub async fn follow(&self, decide: Arc<Decide>) {
        let names = Arc::clone(&self.names);
        let (mut heard, mut taken) = (self.handle.heard.clone(), self.handle.taken.clone());
        let wait = Duration::from_micros(self.file.wait_us);
        let heard = matches!(timeout(wait, heard.wait_for(|heard| *heard)).await, Ok(Ok(_)));
        let in_flight = decide.in_flight().unwrap_or_default();
        let (zones, handle) = (self.zones.clone(), self.handle.clone());
        let mut outs = Outs { decide, names, in_flight, zones, handle, told: Default::default() };
        let version = taken.borrow_and_update().clone().map(|publication| outs.apply(&publication));
        // It may send once the fleet's part has heard that the version is acted on.
        let soon = Instant::now() + ACTED;
        while heard && !self.handle.send_permission.is_valid() && Instant::now() < soon {
            sleep(SOON).await;
        }
        match (heard, version) {
            (true, version) => {
                tracing::info!(
                    code = "fleet_version",
                    version = version.unwrap_or(0),
                    "in force for the fleet"
                );
            }
            (false, Some(version)) => {
                tracing::warn!(code = "fleet_unheard", version, "serves by the version on its own disk");
            }
            (false, None) if !self.handle.send_permission.is_valid() => {
                tracing::warn!(code = "fleet_unheard", "turns queries away until the fleet is heard");
            }
            (false, None) => {
                tracing::warn!(code = "fleet_unheard", "serves without any version of the fleet's")
            }
        }
        tokio::spawn(async move {
            let mut looks = interval(LOOK);
            looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let mut sight = Seeing::default();
            loop {
                tokio::select! {
                    changed = taken.changed() => {
                        if changed.is_err() {
                            return;
                        }
                        let publication = taken.borrow_and_update().clone();
                        if let Some(publication) = publication {
                            outs.apply(&publication);
                        }
                    }
                    // Something has come to nothing: perhaps at a machine that is waited for.
                    () = outs.in_flight.ended.notified() => outs.tell_busy(false),
                    _ = looks.tick() => {
                        if let Some(view) = sight.look(&outs) {
                            outs.handle.tell(Call::View(view));
                        }
                    }
                }
            }
        });
    }

    /// A proxy that is drained or ends owns nothing.
    pub async fn turns(self, mut lifecycle: watch::Receiver<Lifecycle>) {
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

    /// One call of an operator's: what stands behind YES, or behind NO.
    pub async fn call(&self, words: Vec<&str>, patience: Duration) -> Result<String, String> {
        let ask = match words.split_first() {
            Some((&"STATUS", [])) => Ask::Status,
            Some((call @ (&"OUT" | &"BACK"), [id, ids @ ..])) if !ids.is_empty() => {
                let id = u128::from_str_radix(id, 16).map_err(|_| format!("no call's id in {id:?}"))?;
                let ids = ids.iter().map(|id| (*id).to_owned()).collect();
                Ask::Command(Command::Outs { id, out: *call == "OUT", ids })
            }
            Some((&"WORK", words)) => return self.work(words, patience).await,
            _ => return Err("unknown call to the fleet".into()),
        };
        match self.handle.ask(ask, patience).await {
            Told::Done(Outcome::Version(version)) => Ok(json!({ "version": version }).to_string()),
            Told::Done(Outcome::Refused(why)) | Told::NotNow(why) => Err(why),
            Told::Done(_) | Told::Work(_) => Ok(String::new()),
            Told::Status(status) => serde_json::to_string(&status).map_err(|wrong| wrong.to_string()),
        }
    }
}

impl Fleet {
    /// Calls on work plans.
    async fn work(&self, words: &[&str], patience: Duration) -> Result<String, String> {
        let id = |text: &str| u128::from_str_radix(text, 16).map_err(|_| format!("no call's id in {text:?}"));
        let say = |say, name: &str| Order::Say { name: name.to_owned(), say };
        let (id, order) = match words {
            ["SHOW"] => {
                return match self.handle.ask(Ask::Work, patience).await {
                    Told::Work(work) => serde_json::to_string(&*work).map_err(|wrong| wrong.to_string()),
                    Told::NotNow(why) => Err(why),
                    _ => Err("no answer to that call".into()),
                }
            }
            ["ADD", call, text @ ..] if !text.is_empty() => {
                let draft: Draft =
                    serde_json::from_str(&text.join(" ")).map_err(|wrong| wrong.to_string())?;
                (id(call)?, self.plan(draft)?)
            }
            ["PAUSE", call, name] => (id(call)?, say(Say::Pause, name)),
            ["RESUME", call, name] => (id(call)?, say(Say::Resume, name)),
            ["CANCEL", call, name] => (id(call)?, say(Say::Cancel, name)),
            ["DONE", call, machine] => {
                (id(call)?, Order::Ended { machine: (*machine).to_owned(), well: true })
            }
            ["FAILED", call, machine] => {
                (id(call)?, Order::Ended { machine: (*machine).to_owned(), well: false })
            }
            ["FORGET", call, name] => (id(call)?, Order::Forget { name: (*name).to_owned() }),
            _ => return Err("unknown call on work".into()),
        };
        match self.handle.ask(Ask::Command(Command::Work { id, order }), patience).await {
            Told::Done(Outcome::Version(version)) => Ok(json!({ "version": version }).to_string()),
            Told::Done(Outcome::Refused(why)) | Told::NotNow(why) => Err(why),
            _ => Err("no answer to that call".into()),
        }
    }

    /// A plan with its machines by name, zone and cell, as this proxy's list has them now.
    fn plan(&self, draft: Draft) -> Result<Order, String> {
        let names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        let zone = |number: u32| self.zones.get(number as usize).cloned().unwrap_or_default();
        let listed: Vec<(String, String, u32)> =
            names.all().map(|(id, one)| (id.clone(), zone(one.zone), one.cell)).collect();
        drop(names);
        let (name, plan) = draft.plan(&listed, &self.file.plan.voters)?;
        Ok(Order::Add { name, plan: Box::new(plan) })
    }
}

/// How this proxy's load has been, looked at a few times for each word on it.
#[derive(Default)]
struct Seeing {
    looks: u32,
    loads: BTreeMap<u32, f64>,
    taken: u64,
    turned: u64,
}

impl Seeing {
    /// Called each `LOOK`; a word on it comes once enough looks are in.
    fn look(&mut self, outs: &Outs) -> Option<View> {
        let (rooms, taken, turned) = outs.decide.look();
        (self.looks, self.taken, self.turned) = (self.looks + 1, self.taken + taken, self.turned + turned);
        for room in &rooms {
            *self.loads.entry(room.backend).or_default() += room.load;
        }
        if self.looks < LOOKS {
            return None;
        }
        let seen = std::mem::take(self);
        let (looks, seconds) = (f64::from(seen.looks), LOOK.as_secs_f64() * f64::from(seen.looks));
        let names = outs.names();
        let ids: BTreeMap<u32, (&String, &Listed)> =
            names.all().map(|(id, listed)| (listed.backend, (id, listed))).collect();
        let mut view = View {
            queries: Quantized::of(seen.taken as f64 / seconds),
            rejected: Quantized::of(seen.turned as f64 / seconds),
            ..View::default()
        };
        for room in rooms.iter().filter(|room| room.ready) {
            let Some((id, _)) = ids.get(&room.backend) else { continue };
            let load = seen.loads.get(&room.backend).copied().unwrap_or(0.0) / looks;
            let zone = outs.zones.get(room.zone as usize).cloned().unwrap_or_default();
            let (load, max) = (Quantized::of(load), Quantized::of(room.max));
            view.backends
                .insert((*id).clone(), BackendView { zone, cell: room.cell, load, max, lost: room.lost });
        }
        Some(view)
    }
}

/// Backends out for the whole fleet, told to the module as a call by hand would be.
struct Outs {
    decide: Arc<Decide>,
    names: Arc<Mutex<Names>>,
    in_flight: Arc<InFlight>,
    zones: Vec<String>,
    handle: Handle,
    told: (u64, BTreeSet<String>),
}

impl Outs {
    /// The version acted on, and at which of those out something is still in hand.
    fn tell_busy(&mut self, news: bool) {
        let names = self.names();
        let out = names.all_out(By::Fleet).into_iter();
        let busy = self.in_flight.busy(out.map(|id| (id.clone(), names.last(&id).backend)));
        drop(names);
        if news || busy != self.told.1 {
            self.told.1 = busy.clone();
            self.handle.tell(Call::VersionApplied { version: self.told.0, busy });
        }
    }

    fn apply(&mut self, publication: &Publication) -> u64 {
        let before: BTreeSet<String> = self.names().all_out(By::Fleet).into_iter().collect();
        for (ids, out) in [(&publication.outs - &before, true), (&before - &publication.outs, false)] {
            for id in ids {
                let changed = self.names().set(&id, By::Fleet, out);
                let code = if out { "out_by_fleet" } else { "back_by_fleet" };
                tracing::info!(code, id, version = publication.version, "published for the fleet");
                if let Some(number) = changed {
                    self.decide.by_hand(number, out);
                }
            }
        }
        self.told.0 = publication.version;
        self.tell_busy(true);
        publication.version
    }

    fn names(&self) -> std::sync::MutexGuard<'_, Names> {
        self.names.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
