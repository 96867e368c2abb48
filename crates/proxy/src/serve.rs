//! Puts the parts of a serving proxy together and runs them until SIGTERM. Called by `main`. Every decision
//! about a query is the module's (`crankpick::balance`).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crankpick_launch::at;
use serde_json::Value;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout};

use crate::admin::{self, Admin};
use crate::backends::Backends;
use crate::bodies::Pool;
use crate::cli::Serve;
use crate::decide::Decide;
use crate::discovery::{Discovery, List};
use crate::fleet::Fleet;
use crate::front;
use crate::handover::{self, ByHand, Handover};
use crate::lifecycle::Stand;
use crate::names::Names;
use crate::peers::Peers;
use crate::query::Proxy;
use crate::reload::{self, address, parsed, probe_path, said, seed, settings, told, Terms};

/// Descriptors that are neither clients' nor backends': log, runtime, list, peers, listeners, callers, and some
/// spare.
const RESERVED: usize = 32 + admin::CALLERS;
/// Of the descriptors for clients' connections before idle ones end: clients get a third at most.
const EASY: usize = 4;
/// Where the limits name none.
const SOCKETS: usize = 1024;
/// Where the limits name no memory.
const MEMORY_MB: usize = 128;
/// Where the settings name no time to connect, or none that idle connections may stand.
const CONNECT: Duration = Duration::from_secs(1);
const IDLE: Duration = Duration::from_secs(10);
/// SIGKILL comes 3.7 s after SIGTERM at the soonest, or 0.7 s after the longest time that clients wait where that is
/// less, when all that was taken is answered by then: what waits longer is answered now.
const LAST_CALL: Duration = Duration::from_millis(3_300);
/// How long a start waits for an agent's first word, and for discovery's where no backend is known: within the 10 s in
/// which it must be ready, whether or not anybody answers.
const FIRST_WORD: Duration = Duration::from_secs(1);
const SOME_BACKEND: Duration = Duration::from_secs(8);
/// What a client is told that comes to a proxy which may send nothing on: others may have it by then.
/// Less where the settings let nobody wait that long.
const COME_BACK_US: u64 = 500_000;
/// What flows by then goes on until it is through, or the kill comes: cut off by us it would be lost.
const LAST_WRITES: Duration = Duration::from_secs(60);

fn addresses(told: &Value, path: &str) -> Result<Vec<SocketAddr>, String> {
    at::<Vec<String>>(told, path)?.iter().map(|text| parsed(path, text)).collect()
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

pub async fn run(with: &Serve) -> Result<(), String> {
    // Before all else: until it is handled, SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(|wrong| format!("SIGHUP: {wrong}"))?;
    let told = told()?;
    let settings = settings(&told)?;
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
    let name: Option<String> = at(&told, "name")?;
    let (names, zones): (Arc<Mutex<Names>>, Vec<String>) = (Arc::default(), at(settings, "Zones")?);
    let fleet = with.fleet.as_deref();
    let numbers: Vec<usize> = (0..at::<Vec<Value>>(settings, "Workloads")?.len()).collect();
    let first_terms = Terms::new(settings, &numbers)?;
    let longest = first_terms.longest();
    let fleet =
        fleet.map(|path| Fleet::start(path, name.as_deref(), longest, Arc::clone(&names), zones.clone()));
    let fleet = fleet.transpose()?;
    let inherited = handover::inherited()?;
    // Only where the platform holds the clients' socket can a second process come to be.
    let place = handover::place(listen);
    let handover = match place.as_deref().filter(|_| inherited.is_some()) {
        // Without word of the others it still serves.
        Some(place) => Handover::start(place)
            .await
            .map_err(|wrong| tracing::error!(code = "no_handover", "other processes can't be told: {wrong}"))
            .ok(),
        None => None,
    };
    let others = handover.as_ref().map_or_else(|| watch::Sender::new(0).subscribe(), |one| one.others());
    let [bodies, answers] = [(); 2].map(|()| Arc::new(Pool::new(memory_mb << 20)));
    let backends = Arc::new(Backends::new(
        executions,
        Arc::clone(&answers),
        said(at(settings, "Limits.ConnectTimeoutUs")?, CONNECT),
        said(at(settings, "Limits.IdleCloseUs")?, IDLE),
        fleet.as_ref().map(Fleet::right),
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
        fleet.is_some().then(Arc::default),
    );
    // Where the list comes unasked the module never asks: the first watch is ours to open.
    let pushed = at::<String>(settings, "Discovery")? != "subscribe";
    if pushed {
        list_wanted.notify_one();
    }
    let only_draining_binds: bool = at(settings, "Safety.RemovalNotBinding")?;
    let mut discovery = Discovery::new(
        Arc::clone(&decide),
        Arc::clone(&backends),
        zones,
        Arc::clone(&names),
        only_draining_binds,
        pushed,
        at(settings, "Balancers")?,
    );
    let by_hand = ByHand::start(Arc::clone(&decide), Arc::clone(&names), handover.clone(), place.as_deref());
    let known: List = at(&told, "known")?;
    discovery.known(&known).map_err(|wrong| format!("known: {wrong}"))?;
    let (moved, place) = watch::channel(address(&told, "discovery")?);
    let mut heard = discovery.heard();
    tokio::spawn(discovery.follow(place, list_wanted));
    let told_by_peers = Arc::clone(&decide);
    tokio::spawn(peers.listen(move |peer, note| told_by_peers.news(|inbox| inbox.peer_note(peer, note))));
    tokio::spawn(Arc::clone(&backends).leave_room(others.clone(), executions));
    for pool in [&bodies, &answers] {
        tokio::spawn(Arc::clone(pool).leave_room(others.clone()));
    }
    tokio::spawn(share(Arc::clone(&decide), others.clone()));

    let stand = Stand::new(fleet.as_ref().map(Fleet::right));
    let on_lifecycle = stand.follow();
    let (ended, ending) = watch::channel(false);
    let (terms, on_terms) = watch::channel(Arc::new(first_terms));
    tokio::spawn(reload::follow(hangup, told.clone(), Arc::clone(&decide), terms, moved));
    let come_back_us = crankpick_launch::limits(settings)?.max_backoff_us.min(COME_BACK_US);
    let (terms, lifecycle, right) =
        (on_terms.clone(), on_lifecycle.clone(), fleet.as_ref().map(Fleet::right));
    let proxy = Proxy { decide, backends, bodies, terms, lifecycle, ending, right, come_back_us };
    // What an agent beside us has counts as told from our first moment. It is silent while discovery is down.
    // Where no backend is known at all nothing could be served before discovery tells of some.
    let first_word = match known.instances.is_empty() {
        true => SOME_BACKEND,
        false if pushed => FIRST_WORD,
        false => Duration::ZERO,
    };
    let _ = timeout(first_word, heard.wait_for(|heard| *heard)).await;
    let second_listener =
        second_address(&told)?.map(|address| listener(address, "admin_addr")).transpose()?;
    let listener = match inherited {
        Some(listener) => listener,
        None => listener(listen, "listen")?,
    };
    let mut term = signal(SignalKind::terminate()).map_err(|wrong| format!("SIGTERM: {wrong}"))?;
    if let Some(fleet) = &fleet {
        fleet.terms(on_terms);
        fleet.follow(Arc::clone(&proxy.decide)).await;
        tokio::spawn(fleet.clone().turns(on_lifecycle.clone()));
        tokio::spawn(fleet.clone().drains(stand.clone(), Arc::clone(&proxy.decide)));
    }
    let bound = listener.local_addr().unwrap_or(listen);
    let (mut second, admin) = (String::new(), Admin { stand: stand.clone(), by_hand, fleet: fleet.clone() });
    if let Some(listener) = second_listener {
        second = listener.local_addr().map(|address| address.to_string()).unwrap_or_default();
        tokio::spawn(admin.listen(listener));
    }
    tracing::info!(code = "listening", listen = %bound, clients, executions, admin = second, "ready");
    let router = front::router(Arc::new(proxy), stand.clone());
    let front = front::run(listener, router, clients, sockets / EASY, memory_mb << 20, on_lifecycle, others);
    let last = async {
        term.recv().await;
        tracing::info!(code = "stopping", "told to end");
        stand.end();
        sleep(LAST_CALL).await;
        let _ = ended.send(true);
        sleep(LAST_WRITES).await;
    };
    tokio::select! {
        () = front => {}
        () = last => {}
    }
    if let Some(fleet) = &fleet {
        fleet.part().await;
    }
    handover.iter().for_each(|handover| handover.end());
    tracing::info!(code = "ended", "all that was taken is answered");
    Ok(())
}
