//! The thread of the fleet's part: one loop that brings words, calls and time to the node, writes what it must
//! and says what came of it. Called by the proxy, which holds the `Handle`, where a fleet file is named.

use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crankpick_fleet::messages::{Publication, Told};
use crankpick_fleet::node::{Link, Node, Output};
use crankpick_fleet::storage::{Batch, Disk, PersistentState};
use tokio::net::TcpStream;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, MissedTickBehavior};

use crate::clock::now_us;
use crate::file::FleetFile;
use crate::links::{listen, Heard, Links};
use crate::log::tell;
use crate::store::Store;
use crate::upkeep;

pub use crate::handle::{Call, Handle, Right};

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

fn opened(file: &FleetFile) -> (Keeper, PersistentState, Option<String>) {
    let Some(folder) = &file.state else { return (Keeper::Nothing, PersistentState::default(), None) };
    match Store::open(folder) {
        Ok((store, kept)) => (Keeper::Store(Box::new(store)), kept, None),
        Err(wrong) => (Keeper::Down(wrong.to_string()), PersistentState::default(), Some(wrong.to_string())),
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
                        Some(Heard::Message(link, word)) => node.receive(now_us(), link, *word),
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
                Some(Call::View(view)) => node.set_view(view),
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
                Output::SendUntil(until) => ends.right.set(until),
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
        if node.session.knows_current_version() && !*ends.heard.borrow() {
            ends.heard.send_replace(true);
        }
        // Whoever asked may have gone.
        waiting.retain(|_, asked| !asked.is_closed());
    }
    listening.iter().for_each(|task| task.abort());
    let (out, heard) = (links.bytes_out, links.bytes_in.load(Ordering::Relaxed));
    tracing::debug!(code = "fleet_ended", bytes_out = out, bytes_in = heard, "no part in the fleet any more");
}
