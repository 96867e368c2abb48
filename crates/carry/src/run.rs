//! The thread of the fleet's part: one loop that brings words, calls and time to the node, writes what it must
//! and says what came of it. Called by the proxy, which holds the `Handle`, where a fleet file is named.

use std::collections::{BTreeMap, BTreeSet};
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crankpick_fleet::kept::{Batch, Disk, Kept};
use crankpick_fleet::node::{Event, Link, Node, Output};
use crankpick_fleet::sight::View;
use crankpick_fleet::words::{Ask, Publication, Told};
use tokio::net::TcpStream;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, MissedTickBehavior};

use crate::clock::now_us;
use crate::file::FleetFile;
use crate::links::{listen, Heard, Links};
use crate::store::Store;
use crate::upkeep;

const MOST_HEARD: usize = 4_096;
const MOST_CALLS: usize = 256;
/// Answers of maintenance systems; one call for a machine is out at a time.
const MOST_BEGUN: usize = 64;
/// How long the last word is given to go.
const PART_US: u64 = 50_000;
/// Words taken in before what they ask for is written and said, all at once.
const MOST_AT_ONCE: usize = 512;
/// How often a disk that takes no writes is tried again.
const DISK_AGAIN_US: u64 = 250_000;
/// How long after its part has broken it begins anew.
const ANEW: Duration = Duration::from_secs(1);
/// A write beyond a file's permitted size raises it; unhandled it would end the process.
const SIGXFSZ: i32 = 25;

pub enum Call {
    Ask {
        ask: Ask,
        patience_us: u64,
        told: oneshot::Sender<Told>,
    },
    /// The module has been told of this version, and at these of the backends out something is still in hand.
    Acted {
        version: u64,
        busy: BTreeSet<String>,
    },
    Sees(View),
    /// Whether nothing at all is in hand.
    Empty(bool),
    /// The process ends, with all answered; said once this is.
    Part(oneshot::Sender<()>),
    Willing(bool),
    /// Duties and the lead are to go to others at once.
    End,
}

/// The proxy's hold on the fleet's part.
#[derive(Clone)]
pub struct Handle {
    calls: mpsc::Sender<Call>,
    /// Who is out, as last published and taken.
    pub taken: watch::Receiver<Option<Publication>>,
    /// Whether the version in force has been heard of.
    pub heard: watch::Receiver<bool>,
    /// Whether the fleet wants this proxy drained, for work on it.
    pub drain: watch::Receiver<bool>,
    pub right: Right,
    /// The longest that an execution of this proxy may take.
    pub longest_us: Arc<AtomicU64>,
}

/// Until when this process may send anything to a backend. Asked at the moment of sending: whoever has slept in
/// between must find it over.
#[derive(Clone, Default)]
pub struct Right(Arc<AtomicU64>);

impl Right {
    pub fn lasts(&self) -> bool {
        let until = self.0.load(Ordering::SeqCst);
        until == u64::MAX || now_us() < until
    }
}

impl Handle {
    pub async fn ask(&self, ask: Ask, patience: Duration) -> Told {
        let (told, answer) = oneshot::channel();
        let patience_us = patience.as_micros() as u64;
        let late = || Told::NotNow("the fleet's part of this proxy is busy or broken".into());
        if self.calls.try_send(Call::Ask { ask, patience_us, told }).is_err() {
            return late();
        }
        answer.await.unwrap_or_else(|_| late())
    }

    pub fn tell(&self, call: Call) {
        if self.calls.try_send(call).is_err() {
            tracing::warn!(code = "fleet_busy", "the fleet's part takes no more calls");
        }
    }
}

/// Writes that can't be made are the same to the node, be there a disk or not; with no folder nothing is kept.
enum Keeper {
    Store(Box<Store>),
    Nothing,
    Down(String),
}

impl Disk for Keeper {
    fn write(&mut self, batch: &Batch) -> Result<(), String> {
        match self {
            Keeper::Store(store) => store.write(batch),
            Keeper::Nothing => Ok(()),
            Keeper::Down(why) => Err(why.clone()),
        }
    }
}

struct Ends {
    taken: watch::Sender<Option<Publication>>,
    heard: watch::Sender<bool>,
    drain: watch::Sender<bool>,
    right: Right,
    longest_us: Arc<AtomicU64>,
}

/// Starts the thread; what is unsound in the folder is told here, what goes wrong later in the log.
pub fn start(file: FleetFile) -> Result<Handle, String> {
    let (calls, inbox) = mpsc::channel(MOST_CALLS);
    let (taken, on_taken) = watch::channel(None);
    let (heard, on_heard) = watch::channel(false);
    let (drain, on_drain) = watch::channel(false);
    let longest_us = Arc::new(AtomicU64::new(file.plan.terms.longest_us));
    let right = Right::default();
    let (on_right, on_longest) = (right.clone(), Arc::clone(&longest_us));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|wrong| format!("fleet: {wrong}"))?;
    let thread = std::thread::Builder::new().name("fleet".into());
    let started = thread.spawn(move || {
        let (mut inbox, ends) = (inbox, Ends { taken, heard, drain, right, longest_us });
        loop {
            // A part that breaks takes nothing else with it, and its beliefs end with it: it begins anew from its
            // disk, as after a crash.
            let part = AssertUnwindSafe(|| runtime.block_on(live(&file, &mut inbox, &ends)));
            match std::panic::catch_unwind(part) {
                Ok(()) => return,
                Err(_) => tracing::error!(code = "fleet_broken", "the fleet's part broke and begins anew"),
            }
            std::thread::sleep(ANEW);
        }
    });
    started.map_err(|wrong| format!("fleet: {wrong}"))?;
    let (right, longest_us) = (on_right, on_longest);
    Ok(Handle { calls, taken: on_taken, heard: on_heard, drain: on_drain, right, longest_us })
}

fn opened(file: &FleetFile) -> (Keeper, Kept, Option<String>) {
    let Some(folder) = &file.state else { return (Keeper::Nothing, Kept::default(), None) };
    match Store::open(folder) {
        Ok((store, kept)) => (Keeper::Store(Box::new(store)), kept, None),
        Err(wrong) => (Keeper::Down(wrong.to_string()), Kept::default(), Some(wrong.to_string())),
    }
}

fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

async fn live(file: &FleetFile, calls: &mut mpsc::Receiver<Call>, ends: &Ends) {
    let incarnation = wall_us();
    let (mut keeper, kept, down) = opened(file);
    let mut node = Node::new(now_us(), file.plan.clone(), incarnation, kept, fastrand::u64(..));
    if let Some(why) = down {
        node.disk_failed(why);
    }
    node.session.willing = file.owns;
    let _beyond = signal(SignalKind::from_raw(SIGXFSZ));
    let (to_heard, mut heard) = mpsc::channel(MOST_HEARD);
    let others = file.plan.voters.iter().cloned().zip(file.voters.iter().copied());
    let others: BTreeMap<_, _> = others.filter(|(name, _)| *name != file.plan.name).collect();
    let mut links = Links::new(others, &node.hello(), file.plan.times.lease_us, to_heard);
    let (to_accepted, mut accepted) = mpsc::channel::<TcpStream>(64);
    let listening = file.listen.map(|address| tokio::spawn(listen(address, to_accepted)));
    let (to_begun, mut begun) = mpsc::channel(MOST_BEGUN);
    let mut parting: Option<(u64, oneshot::Sender<()>)> = None;
    node.wall_us = wall_us();
    let mut ticks = interval(Duration::from_micros(file.plan.times.tick_us / 2));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut waiting: BTreeMap<u64, oneshot::Sender<Told>> = BTreeMap::new();
    let (mut next_conn, mut disk_us, mut willing) = (0, 0, file.owns);
    loop {
        tokio::select! {
            Some(stream) = accepted.recv() => {
                next_conn += 1;
                links.accepted(next_conn, stream);
            }
            Some(word) = heard.recv() => {
                let mut word = Some(word);
                for _ in 0..MOST_AT_ONCE {
                    match word {
                        Some(Heard::Word(link, word)) => node.receive(now_us(), link, *word),
                        Some(Heard::Closed(link)) => {
                            node.connection_closed(now_us(), &link);
                            if matches!(link, Link::Conn(_)) {
                                links.close(&link);
                            }
                        }
                        None => break,
                    }
                    word = heard.try_recv().ok();
                }
            }
            call = calls.recv() => match call {
                // The proxy is gone, and the process with it.
                None => break,
                Some(Call::Ask { ask, patience_us, told }) => match node.ask(now_us(), ask, patience_us) {
                    Ok(call) => {
                        waiting.insert(call, told);
                    }
                    Err(why) => {
                        let _ = told.send(Told::NotNow(why));
                    }
                },
                Some(Call::Acted { version, busy }) => node.version_applied(now_us(), version, busy),
                Some(Call::Sees(view)) => node.set_view(view),
                Some(Call::Empty(empty)) => node.set_idle(now_us(), empty),
                Some(Call::Part(done)) => {
                    node.announce_exit(now_us());
                    parting = Some((now_us() + PART_US, done));
                }
                Some(Call::Willing(is)) => {
                    if is != willing {
                        willing = is;
                        node.set_willing(now_us(), is && file.owns);
                    }
                }
                Some(Call::End) => node.prepare_exit(now_us()),
            },
            Some((call, answer)) = begun.recv() => node.work_start_answered(now_us(), &call, answer),
            _ = ticks.tick() => {
                node.wall_us = wall_us();
                let longest_us = ends.longest_us.load(Ordering::Relaxed);
                if node.session.terms.longest_us != longest_us {
                    node.set_longest_execution(now_us(), longest_us);
                }
                node.tick(now_us());
            }
        }
        if parting.as_ref().is_some_and(|(until, _)| now_us() >= *until) {
            // Written by now, as far as it can be.
            parting.take().map(|(_, done)| done.send(()));
        }
        if node.disk_error().is_some() && now_us() >= disk_us {
            disk_us = now_us() + DISK_AGAIN_US;
            // Closed first: the file is locked while it is open.
            drop(std::mem::replace(&mut keeper, Keeper::Nothing));
            let (again, kept, down) = opened(file);
            keeper = again;
            if down.is_none() {
                node.disk_recovered(now_us(), kept);
            }
        }
        node.pump(now_us(), &mut keeper);
        let outs: Vec<Output> = node.take_outputs().collect();
        for out in outs {
            match out {
                Output::Send(link, word) => links.say(&link, &word),
                Output::Close(link) => links.close(&link),
                Output::Hello(hello) => links.hello(&hello),
                Output::Apply(publication) => {
                    ends.taken.send_replace(Some(publication));
                }
                Output::Answer(call, told) => {
                    if let Some(asked) = waiting.remove(&call) {
                        let _ = asked.send(told);
                    }
                }
                Output::SendUntil(until) => ends.right.0.store(until, Ordering::SeqCst),
                Output::Drain(drained) => {
                    ends.drain.send_replace(drained);
                }
                Output::StartWork(call) => {
                    let told = to_begun.clone();
                    tokio::spawn(async move {
                        let answer = upkeep::begin(&call).await;
                        let _ = told.send((call, answer)).await;
                    });
                }
                Output::Event(event) => tell(event, file, &node),
            }
        }
        // Only once what was heard has been passed on: whoever waits for this looks there next.
        if node.session.answered() && !*ends.heard.borrow() {
            ends.heard.send_replace(true);
        }
        // Whoever asked may have gone.
        waiting.retain(|_, asked| !asked.is_closed());
    }
    listening.iter().for_each(|task| task.abort());
    let (out, heard) = (links.bytes_out, links.bytes_in.load(Ordering::Relaxed));
    tracing::debug!(code = "fleet_ended", bytes_out = out, bytes_in = heard, "no part in the fleet any more");
}

/// One line for each thing that staff may have to know of; `docs/on-call.md` says what each code means.
fn tell(event: Event, file: &FleetFile, node: &Node) {
    let (t_us, process) = (now_us(), node.process_name());
    match event {
        Event::LeaseHeld { duty, token, from_us, until_us } => {
            if file.history {
                tracing::info!(code = "fleet_held", t_us, duty, token, process, from_us, until_us, "renewed");
            }
        }
        Event::LeaseExpired { duty, token } => {
            tracing::warn!(
                code = "fleet_lapsed",
                t_us,
                duty,
                token,
                process,
                "the lease ran out: nothing more is done for this duty"
            );
        }
        Event::LeaseReleased { duty, token } => {
            tracing::info!(code = "fleet_let_go", t_us, duty, token, process, "given up");
        }
        Event::PublicationApplied { duty, token, version, owner } => {
            tracing::info!(
                code = "fleet_taken",
                t_us,
                duty,
                token,
                version,
                owner,
                process,
                "published by its owner"
            );
        }
        Event::StalePublication { duty, token, version, owner, seen } => {
            tracing::warn!(
                code = "fleet_stale",
                t_us,
                duty,
                token,
                version,
                owner,
                process,
                seen,
                "an old owner's word, refused"
            );
        }
        Event::BecameLeader { term } => {
            tracing::info!(code = "fleet_leads", t_us, term, process, "leads the voters")
        }
        Event::LostLeadership { term } => {
            tracing::info!(code = "fleet_lead_lost", t_us, term, process, "leads no more")
        }
        Event::LogFounded { voters } => {
            tracing::info!(code = "fleet_founded", t_us, voters, process, "the log begins")
        }
        Event::AwaitingAdmission => {
            tracing::warn!(
                code = "fleet_new_disk",
                t_us,
                process,
                "the log began without this disk: waits to be taken in"
            );
        }
        Event::VoterReplaced { name } => {
            tracing::warn!(
                code = "fleet_voter_replaced",
                t_us,
                voter = name,
                process,
                "a voter's new disk has taken the old one's place"
            );
        }
        Event::Superseded => {
            tracing::info!(
                code = "fleet_superseded",
                t_us,
                process,
                "a newer process of this proxy has the session"
            );
        }
        Event::ForeignFleet { fleet, from } => {
            tracing::warn!(
                code = "fleet_stranger",
                t_us,
                fleet,
                from,
                process,
                "a proxy of another fleet, turned away"
            );
        }
        Event::DiskFailed { why } => {
            tracing::error!(
                code = "fleet_disk_lost",
                t_us,
                process,
                "neither votes nor owns until it can write: {why}"
            );
        }
        Event::DiskRecovered => tracing::info!(code = "fleet_disk_back", t_us, process, "it can write again"),
        Event::DutyGranted { duty, token, to } => {
            tracing::info!(code = "fleet_granted", t_us, duty, token, to, process, "has an owner");
        }
        Event::WorkStepped { step } => {
            let (from, to) = (step.from.name(), step.to.name());
            tracing::info!(
                code = "fleet_work",
                t_us,
                plan = step.plan,
                machine = step.machine,
                token = step.token,
                from,
                to,
                process,
                "{}",
                step.why
            );
        }
        Event::WorkNotStarted { machine, why } => {
            tracing::warn!(code = "fleet_not_begun", t_us, machine, process, "{why}");
        }
    }
}
