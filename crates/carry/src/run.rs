//! The fleet thread: an event loop that passes messages, calls and time to the node, lets it write to disk,
//! and carries out its outputs. Started by the proxy, which holds the `Handle`, if a fleet file is
//! configured.

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
use crate::links::{listen, LinkEvent, Links};
use crate::log::log_event;
use crate::store::Store;
use crate::upkeep;

pub use crate::handle::{Call, Handle, SendPermission};

const MAX_QUEUED_EVENTS: usize = 4_096;
const MAX_QUEUED_CALLS: usize = 256;
/// Queue of maintenance systems' answers; at most one call per machine is in progress.
const MAX_QUEUED_ANSWERS: usize = 64;
/// How long the announcement of the exit is given to be sent.
const EXIT_ANNOUNCE_US: u64 = 50_000;
/// Maximum number of messages handled before the results are written and sent, in one batch.
const MAX_EVENTS_PER_BATCH: usize = 512;
/// How often a failed disk is retried.
const DISK_RETRY_US: u64 = 250_000;
/// Delay before the node is restarted after a panic.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Sent on a write beyond the permitted file size. Unhandled, it would terminate the process.
const SIGXFSZ: i32 = 25;

/// A failed disk makes every write fail, whether it could be opened or not. Without a state folder nothing is
/// persisted.
enum DiskState {
    Store(Box<Store>),
    Nothing,
    Down(String),
}

impl Disk for DiskState {
    fn write(&mut self, batch: &Batch) -> Result<(), String> {
        match self {
            DiskState::Store(store) => store.write(batch),
            DiskState::Nothing => Ok(()),
            DiskState::Down(why) => Err(why.clone()),
        }
    }
}

struct ProxyChannels {
    taken: watch::Sender<Option<Publication>>,
    heard: watch::Sender<bool>,
    drain: watch::Sender<bool>,
    send_permission: SendPermission,
    longest_us: Arc<AtomicU64>,
}

/// Starts the thread. A failure to start it is returned; later errors are logged.
pub fn start(file: FleetFile) -> Result<Handle, String> {
    let (calls, inbox) = mpsc::channel(MAX_QUEUED_CALLS);
    let (taken, on_taken) = watch::channel(None);
    let (heard, on_heard) = watch::channel(false);
    let (drain, on_drain) = watch::channel(false);
    let longest_us = Arc::new(AtomicU64::new(file.plan.terms.longest_us));
    let send_permission = SendPermission::default();
    let (permission, longest_handle) = (send_permission.clone(), Arc::clone(&longest_us));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("fleet: {error}"))?;
    let thread = std::thread::Builder::new().name("fleet".into());
    let started = thread.spawn(move || {
        let (mut inbox, channels) =
            (inbox, ProxyChannels { taken, heard, drain, send_permission, longest_us });
        loop {
            // A panic in the node does not affect the rest of the process, and the node's state is discarded:
            // it restarts from its disk, as after a crash.
            let part = AssertUnwindSafe(|| runtime.block_on(run_node(&file, &mut inbox, &channels)));
            match std::panic::catch_unwind(part) {
                Ok(()) => return,
                Err(_) => {
                    tracing::error!(code = "fleet_broken", "the fleet thread panicked and is restarting")
                }
            }
            std::thread::sleep(RESTART_DELAY);
        }
    });
    started.map_err(|error| format!("fleet: {error}"))?;
    let (send_permission, longest_us) = (permission, longest_handle);
    Ok(Handle { calls, taken: on_taken, heard: on_heard, drain: on_drain, send_permission, longest_us })
}

fn open_store(file: &FleetFile) -> (DiskState, PersistentState, Option<String>) {
    let Some(folder) = &file.state else { return (DiskState::Nothing, PersistentState::default(), None) };
    match Store::open(folder) {
        Ok((store, kept)) => (DiskState::Store(Box::new(store)), kept, None),
        Err(error) => {
            (DiskState::Down(error.to_string()), PersistentState::default(), Some(error.to_string()))
        }
    }
}

fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

async fn run_node(file: &FleetFile, calls: &mut mpsc::Receiver<Call>, channels: &ProxyChannels) {
    let incarnation = wall_us();
    let (mut disk, kept, disk_error) = open_store(file);
    let mut node = Node::new(now_us(), file.plan.clone(), incarnation, kept, fastrand::u64(..));
    if let Some(why) = disk_error {
        node.disk_failed(why);
    }
    node.session.willing = file.owns;
    let _beyond = signal(SignalKind::from_raw(SIGXFSZ));
    let (events_tx, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let other_voters = file.plan.voters.iter().cloned().zip(file.voters.iter().copied());
    let other_voters: BTreeMap<_, _> = other_voters.filter(|(name, _)| *name != file.plan.name).collect();
    let mut links = Links::new(other_voters, &node.hello(), file.plan.times.lease_us, events_tx);
    let (accepted_tx, mut accepted) = mpsc::channel::<TcpStream>(64);
    let listening = file.listen.map(|address| tokio::spawn(listen(address, accepted_tx)));
    let (work_starts_tx, mut work_starts) = mpsc::channel(MAX_QUEUED_ANSWERS);
    let mut exit_announcement: Option<(u64, oneshot::Sender<()>)> = None;
    node.wall_us = wall_us();
    let mut ticks = interval(Duration::from_micros(file.plan.times.tick_us / 2));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pending_calls: BTreeMap<u64, oneshot::Sender<Told>> = BTreeMap::new();
    let (mut next_conn, mut disk_retry_at_us, mut willing) = (0, 0, file.owns);
    loop {
        tokio::select! {
            Some(stream) = accepted.recv() => {
                next_conn += 1;
                links.add_accepted(next_conn, stream);
            }
            Some(event) = events.recv() => {
                let mut event = Some(event);
                for _ in 0..MAX_EVENTS_PER_BATCH {
                    match event {
                        Some(LinkEvent::Message(link, message)) => node.receive(now_us(), link, *message),
                        Some(LinkEvent::Closed(link)) => {
                            node.connection_closed(now_us(), &link);
                            if matches!(link, Link::Conn(_)) {
                                links.close(&link);
                            }
                        }
                        None => break,
                    }
                    event = events.try_recv().ok();
                }
            }
            call = calls.recv() => match call {
                // The proxy has dropped its handle, so the process is ending.
                None => break,
                Some(Call::Ask { ask, patience_us, told }) => match node.ask(now_us(), ask, patience_us) {
                    Ok(call) => {
                        pending_calls.insert(call, told);
                    }
                    Err(why) => {
                        let _ = told.send(Told::NotNow(why));
                    }
                },
                Some(Call::VersionApplied { version, busy }) => node.version_applied(now_us(), version, busy),
                Some(Call::View(view)) => node.set_view(view),
                Some(Call::Idle(idle)) => node.set_idle(now_us(), idle),
                Some(Call::Part(done)) => {
                    node.announce_exit(now_us());
                    exit_announcement = Some((now_us() + EXIT_ANNOUNCE_US, done));
                }
                Some(Call::Willing(is)) => {
                    if is != willing {
                        willing = is;
                        node.set_willing(now_us(), is && file.owns);
                    }
                }
                Some(Call::PrepareExit) => node.prepare_exit(now_us()),
            },
            Some((call, answer)) = work_starts.recv() => node.work_start_answered(now_us(), &call, answer),
            _ = ticks.tick() => {
                node.wall_us = wall_us();
                let longest_us = channels.longest_us.load(Ordering::Relaxed);
                if node.session.terms.longest_us != longest_us {
                    node.set_longest_execution(now_us(), longest_us);
                }
                node.tick(now_us());
            }
        }
        if exit_announcement.as_ref().is_some_and(|(until, _)| now_us() >= *until) {
            // The announcement has been sent by now, as far as possible.
            exit_announcement.take().map(|(_, done)| done.send(()));
        }
        if node.disk_error().is_some() && now_us() >= disk_retry_at_us {
            disk_retry_at_us = now_us() + DISK_RETRY_US;
            // Close it first: the file is locked while it is open.
            drop(std::mem::replace(&mut disk, DiskState::Nothing));
            let (reopened, kept, disk_error) = open_store(file);
            disk = reopened;
            if disk_error.is_none() {
                node.disk_recovered(now_us(), kept);
            }
        }
        node.pump(now_us(), &mut disk);
        let outs: Vec<Output> = node.take_outputs().collect();
        for out in outs {
            match out {
                Output::Send(link, message) => links.send(&link, &message),
                Output::Close(link) => links.close(&link),
                Output::Hello(hello) => links.hello(&hello),
                Output::Apply(publication) => {
                    channels.taken.send_replace(Some(publication));
                }
                Output::Answer(call, told) => {
                    if let Some(caller) = pending_calls.remove(&call) {
                        let _ = caller.send(told);
                    }
                }
                Output::SendUntil(until) => channels.send_permission.set(until),
                Output::Drain(drained) => {
                    channels.drain.send_replace(drained);
                }
                Output::StartWork(call) => {
                    let answers = work_starts_tx.clone();
                    tokio::spawn(async move {
                        let answer = upkeep::start_work(&call).await;
                        let _ = answers.send((call, answer)).await;
                    });
                }
                Output::Event(event) => log_event(event, file, &node),
            }
        }
        // Set only after the publications above have been passed on, because a waiter on `heard` reads them
        // next.
        if node.session.knows_current_version() && !*channels.heard.borrow() {
            channels.heard.send_replace(true);
        }
        // Drop calls whose caller has gone.
        pending_calls.retain(|_, caller| !caller.is_closed());
    }
    listening.iter().for_each(|task| task.abort());
    let (bytes_out, bytes_in) = (links.bytes_out, links.bytes_in.load(Ordering::Relaxed));
    tracing::debug!(code = "fleet_ended", bytes_out, bytes_in, "left the fleet");
}
