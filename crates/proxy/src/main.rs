//! The proxy on sockets: reads what it is told at its start, puts the parts together and runs them
//! until SIGTERM. Every decision about a query is the module's (`crankpick::balance`).

mod admin;
mod backends;
mod bodies;
mod connect;
mod decide;
mod discovery;
mod framing;
mod front;
mod handover;
mod peers;
mod query;

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::http::Uri;
use crankpick_launch::{at, each};
use serde_json::Value;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, Instant};
use tracing_appender::non_blocking::NonBlockingBuilder;

use crate::admin::Admin;
use crate::backends::Backends;
use crate::bodies::Pool;
use crate::decide::Decide;
use crate::discovery::{Discovery, List, Names};
use crate::front::Duty;
use crate::handover::{ByHand, Handover};
use crate::peers::Peers;
use crate::query::Proxy;

/// Descriptors that are neither clients' nor backends': log, runtime, list, peers, listeners, callers, and some
/// spare.
const RESERVED: usize = 32 + admin::CALLERS;
/// Of the descriptors for clients' connections before idle ones end: clients get a third at most.
const EASY: usize = 4;
/// Where the limits name none.
const SOCKETS: usize = 1024;
/// Where the limits name no memory.
const MEMORY_MB: usize = 128;
/// Where the settings name no time to connect, none that idle connections may stand, or none for a query.
const CONNECT: Duration = Duration::from_secs(1);
const IDLE: Duration = Duration::from_secs(10);
const STATEMENT: Duration = Duration::from_secs(60);
/// SIGKILL comes 3.7 s after SIGTERM at the soonest: by then all that was taken must be answered.
const LAST_CALL: Duration = Duration::from_millis(3_300);
const LAST_WRITES: Duration = Duration::from_millis(200);

fn parsed(path: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{path}: no address in {text:?}"))
}

fn address(told: &Value, path: &str) -> Result<SocketAddr, String> {
    parsed(path, &at::<String>(told, path)?)
}

fn addresses(told: &Value, path: &str) -> Result<Vec<SocketAddr>, String> {
    at::<Vec<String>>(told, path)?.iter().map(|text| parsed(path, text)).collect()
}

/// A time that the settings leave out reads as zero.
fn said(us: u64, unsaid: Duration) -> Duration {
    match us {
        0 => unsaid,
        us => Duration::from_micros(us),
    }
}

/// What a probe asks for: any path will do, as a request without an id is no query.
fn probe_path(told: &Value) -> Result<Uri, String> {
    let path: Option<String> = at(told, "probe_path")?;
    let path = path.unwrap_or_else(|| "/".into());
    let sound = path.parse().ok().filter(|uri: &Uri| path.starts_with('/') && uri.authority().is_none());
    sound.ok_or_else(|| format!("probe_path: no path in {path:?}"))
}

fn seed(told: &Value) -> Result<u64, String> {
    let text: String = at(told, "seed")?;
    u64::from_str_radix(&text, 16).map_err(|_| format!("seed: {text:?} is not hexadecimal"))
}

fn listener(address: SocketAddr, what: &str) -> Result<TcpListener, String> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let listener = socket.and_then(|socket| {
        // The one before this may have left connections that the kernel still remembers.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(1024)
    });
    listener.map_err(|wrong| format!("{what} on {address}: {wrong}"))
}

/// Where operators call, if anywhere: a second process of an upgrade has the same file, so its own word leads.
fn second_address(told: &Value) -> Result<Option<SocketAddr>, String> {
    let named = std::env::var("EDGE_ADMIN_ADDR").ok().filter(|text| !text.is_empty());
    let named = match named {
        Some(text) => Some(text),
        None => at::<Option<String>>(told, "admin_addr")?,
    };
    named.map(|text| parsed("admin_addr", &text)).transpose()
}

/// Reads the file again at each SIGHUP and follows discovery to where it says; all else holds until the
/// next start. What would not do for a start changes nothing.
async fn reload(mut hangup: Signal, moved: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        let sound = told().and_then(|told| {
            crankpick_launch::balancer(seed(&told)?, told.get("settings").ok_or("no settings")?)?;
            address(&told, "listen")?;
            probe_path(&told)?;
            address(&told, "discovery")
        });
        match sound {
            Ok(discovery) => {
                tracing::info!(code = "reloaded", %discovery, "configuration read again");
                moved.send_if_modified(|place| std::mem::replace(place, discovery) != discovery);
            }
            Err(wrong) => tracing::warn!(code = "reload_unsound", "all stays as it was: {wrong}"),
        }
    }
}

/// Keeps the module told of how many processes stand for this proxy.
async fn share(decide: Arc<Decide>, mut others: watch::Receiver<usize>) {
    loop {
        let processes = *others.borrow_and_update() + 1;
        decide.news(|inbox| inbox.processes(processes));
        if others.changed().await.is_err() {
            return;
        }
    }
}

async fn run() -> Result<(), String> {
    // Before all else: until it is handled, SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(|wrong| format!("SIGHUP: {wrong}"))?;
    let told = told()?;
    let settings = told.get("settings").ok_or("no settings")?;
    let sockets: usize = match at(&told, "limits.sockets")? {
        0 => SOCKETS,
        sockets => sockets,
    };
    let memory_mb = match at(&told, "limits.memory_mb")? {
        0 => MEMORY_MB,
        memory_mb => memory_mb,
    };
    // Two thirds for clients: each query in hand holds one there, but one that waits holds no backend's.
    let budget = sockets.saturating_sub(RESERVED).max(3);
    let (clients, executions) = (budget - budget / 3, budget / 3);

    let listen = address(&told, "listen")?;
    let peer_listen = told.get("peer_listen").filter(|value| !value.is_null());
    let peer_listen = peer_listen.map(|_| address(&told, "peer_listen")).transpose()?;
    let peers = Arc::new(Peers::new(peer_listen, addresses(&told, "peers")?)?);
    let inherited = handover::inherited()?;
    // Only where the platform holds the clients' socket can a second process come to be.
    let place = handover::place(listen);
    let handover = match place.as_deref().filter(|_| inherited.is_some()) {
        Some(place) => Some(Handover::start(place).await?),
        None => None,
    };
    let others = handover.as_ref().map_or_else(|| watch::Sender::new(0).subscribe(), |one| one.others());
    let [bodies, answers] = [(); 2].map(|()| Arc::new(Pool::new(memory_mb << 20)));
    let backends = Arc::new(Backends::new(
        executions,
        Arc::clone(&answers),
        said(at(settings, "Limits.ConnectTimeoutUs")?, CONNECT),
        said(at(settings, "Limits.IdleCloseUs")?, IDLE),
    ));
    let balancer = crankpick_launch::balancer(seed(&told)?, settings)?;
    let list_wanted = Arc::new(Notify::new());
    let decide = Decide::new(
        balancer,
        at(settings, "Limits.MaxExecutions")?,
        Arc::clone(&list_wanted),
        Arc::clone(&peers),
        Arc::clone(&backends),
        probe_path(&told)?,
    );
    // Where the list comes unasked the module never asks: the first watch is ours to open.
    if at::<String>(settings, "Discovery")? != "subscribe" {
        list_wanted.notify_one();
    }
    let names: Arc<Mutex<Names>> = Arc::default();
    let zones = at(settings, "Zones")?;
    let mut discovery = Discovery::new(Arc::clone(&decide), Arc::clone(&backends), zones, Arc::clone(&names));
    let by_hand = ByHand::start(Arc::clone(&decide), names, handover.clone(), place.as_deref());
    let known: List = at(&told, "known")?;
    discovery.known(&known).map_err(|wrong| format!("known: {wrong}"))?;
    let (moved, place) = watch::channel(address(&told, "discovery")?);
    tokio::spawn(discovery.follow(place, list_wanted));
    tokio::spawn(reload(hangup, moved));
    tokio::spawn(peers.listen(Arc::clone(&decide)));
    tokio::spawn(Arc::clone(&backends).leave_room(others.clone(), executions));
    for pool in [&bodies, &answers] {
        tokio::spawn(Arc::clone(pool).leave_room(others.clone()));
    }
    tokio::spawn(share(Arc::clone(&decide), others.clone()));

    let (duty, on_duty) = watch::channel(Duty::Serving);
    let (ended, ending) = watch::channel(false);
    let statement_timeouts = each(settings, "Workloads", "StatementTimeoutUs")?;
    let proxy = Proxy {
        decide,
        backends,
        bodies,
        workloads: each(settings, "Workloads", "Name")?,
        repeats: crankpick_launch::repeats(settings)?,
        statement_timeouts: statement_timeouts.into_iter().map(|us| said(us, STATEMENT)).collect(),
        tenants: each(settings, "Tenants", "Name")?,
        ending,
    };
    let second_listener =
        second_address(&told)?.map(|address| listener(address, "admin_addr")).transpose()?;
    let listener = match inherited {
        Some(listener) => listener,
        None => listener(listen, "listen")?,
    };
    let mut term = signal(SignalKind::terminate()).map_err(|wrong| format!("SIGTERM: {wrong}"))?;
    let bound = listener.local_addr().unwrap_or(listen);
    let (mut second, admin) = (String::new(), Admin { duty: duty.clone(), by_hand });
    if let Some(listener) = second_listener {
        second = listener.local_addr().map(|address| address.to_string()).unwrap_or_default();
        tokio::spawn(admin.listen(listener));
    }
    tracing::info!(code = "listening", listen = %bound, clients, executions, admin = second, "ready");
    let router = front::router(Arc::new(proxy), on_duty.clone());
    let front = front::run(listener, router, clients, sockets / EASY, on_duty, others);
    let last = async {
        term.recv().await;
        tracing::info!(code = "stopping", "told to end");
        duty.send_replace(Duty::Ending(Instant::now()));
        sleep(LAST_CALL).await;
        let _ = ended.send(true);
        sleep(LAST_WRITES).await;
    };
    tokio::select! {
        () = front => {}
        () = last => {}
    }
    handover.iter().for_each(|handover| handover.end());
    tracing::info!(code = "ended", "all that was taken is answered");
    Ok(())
}

fn told() -> Result<Value, String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG names no file")?;
    let text = std::fs::read_to_string(&path).map_err(|wrong| format!("{path}: {wrong}"))?;
    serde_json::from_str(&text).map_err(|wrong| format!("{path}: {wrong}"))
}

fn main() -> ExitCode {
    // A log that nobody reads loses lines; it must not hold up queries, nor end the process.
    let (log, _flush) = NonBlockingBuilder::default().buffered_lines_limit(8_192).finish(std::io::stderr());
    let format = tracing_subscriber::fmt().with_ansi(false).with_target(false).log_internal_errors(false);
    format.with_writer(log).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|wrong| format!("runtime: {wrong}"));
    let ended = runtime.and_then(|runtime| runtime.block_on(run()));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            let _ = writeln!(std::io::stderr(), "crankpick: {}", wrong.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
