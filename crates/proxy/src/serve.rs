//! Assembles a serving proxy and runs it until SIGTERM. Called by `main`. All load-balancing decisions are made
//! by `crankpick::balance`.

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
use crate::balancer::BalancerHandle;
use crate::bodies::Pool;
use crate::cli::Serve;
use crate::discovery::{Discovery, List};
use crate::fleet::Fleet;
use crate::front;
use crate::handover::{self, Handover, ManualDrains};
use crate::lifecycle::LifecycleController;
use crate::peers::Peers;
use crate::query::Proxy;
use crate::registry::BackendRegistry;
use crate::reload::{
    self, address, duration_or, load, parse_address, probe_path, seed, settings, RequestConfig,
};

/// File descriptors reserved for everything but client and backend connections: log, runtime, discovery, peers,
/// listeners, operators' calls, and some spare.
const RESERVED: usize = 32 + admin::MAX_CALLERS;
/// Idle client connections are closed early once more than `limits.sockets` divided by this are open.
const EARLY_CLOSE_DIVISOR: usize = 4;
/// Default for `limits.sockets`.
const DEFAULT_SOCKETS: usize = 1024;
/// Default for `limits.memory_mb`.
const DEFAULT_MEMORY_MB: usize = 128;
/// Defaults for `Limits.ConnectTimeoutUs` and `Limits.IdleCloseUs`.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_IDLE_CLOSE: Duration = Duration::from_secs(10);
/// SIGKILL follows 3.7 s after SIGTERM at the earliest; or, if that is less, 0.7 s after the longest time that
/// clients wait, and then all accepted queries have been answered by then. Queries still pending at this time
/// are answered with an error.
const ANSWER_DEADLINE: Duration = Duration::from_millis(3_300);
/// How long startup waits for the first message of a local discovery agent, and for one of discovery if no
/// backend is known. The process must be ready within 10 s, whether or not anybody answers.
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(8);
/// `Retry-After` for clients that are rejected because this proxy may not send to backends: another proxy may
/// take over within this time. Lower if the settings limit the backoff further.
const RETRY_AFTER_US: u64 = 500_000;
/// Responses still being written at this point continue until they are complete or SIGKILL arrives: ending the
/// process would lose them.
const WRITE_DEADLINE: Duration = Duration::from_secs(60);

fn addresses(config: &Value, path: &str) -> Result<Vec<SocketAddr>, String> {
    at::<Vec<String>>(config, path)?.iter().map(|text| parse_address(path, text)).collect()
}

fn listener(address: SocketAddr, what: &str) -> Result<TcpListener, String> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let listener = socket.and_then(|socket| {
        // Connections of a previous process may still be in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(1024)
    });
    listener.map_err(|error| format!("{what} on {address}: {error}"))
}

/// The operators' listen address, if any. Both processes of an upgrade read the same file, so the environment
/// variable takes precedence.
fn second_address(config: &Value) -> Result<Option<SocketAddr>, String> {
    let from_env = std::env::var("EDGE_ADMIN_ADDR").ok().filter(|text| !text.is_empty());
    let address = match from_env {
        Some(text) => Some(text),
        None => at::<Option<String>>(config, "admin_addr")?,
    };
    address.map(|text| parse_address("admin_addr", &text)).transpose()
}

/// Reports to the balancer how many processes run for this proxy.
async fn report_processes(balancer: Arc<BalancerHandle>, mut others: watch::Receiver<usize>) {
    loop {
        let processes = *others.borrow_and_update() + 1;
        balancer.notify(|inbox| inbox.processes(processes));
        if others.changed().await.is_err() {
            return;
        }
    }
}

pub async fn run(with: &Serve) -> Result<(), String> {
    // First of all: until a handler is installed, SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(|error| format!("SIGHUP: {error}"))?;
    let config = load()?;
    let settings = settings(&config)?;
    let sockets: usize = match at(&config, "limits.sockets")? {
        0 => DEFAULT_SOCKETS,
        sockets => sockets,
    };
    let memory_mb = match at(&config, "limits.memory_mb")? {
        0 => DEFAULT_MEMORY_MB,
        memory_mb => memory_mb,
    };
    // Two thirds for clients: each query in flight holds a client connection, but a waiting query holds no
    // backend connection.
    let budget = sockets.saturating_sub(RESERVED).max(3);
    let (clients, executions) = (budget - budget / 3, budget / 3);

    let listen = address(&config, "listen")?;
    let peer_listen = config.get("peer_listen").filter(|value| !value.is_null());
    let peer_listen = peer_listen.map(|_| address(&config, "peer_listen")).transpose()?;
    let peers = Arc::new(Peers::new(peer_listen, addresses(&config, "peers")?)?);
    let name: Option<String> = at(&config, "name")?;
    let (registry, zones): (Arc<Mutex<BackendRegistry>>, Vec<String>) =
        (Arc::default(), at(settings, "Zones")?);
    let fleet = with.fleet.as_deref();
    let numbers: Vec<usize> = (0..at::<Vec<Value>>(settings, "Workloads")?.len()).collect();
    let initial_config = RequestConfig::new(settings, &numbers)?;
    let longest = initial_config.longest();
    let fleet =
        fleet.map(|path| Fleet::start(path, name.as_deref(), longest, Arc::clone(&registry), zones.clone()));
    let fleet = fleet.transpose()?;
    let inherited = handover::inherited()?;
    // A second process can exist only if the platform holds the clients' listening socket.
    let prefix = handover::file_prefix(listen);
    let handover = match prefix.as_deref().filter(|_| inherited.is_some()) {
        // If the other processes can't be reached it still serves.
        Some(prefix) => Handover::start(prefix)
            .await
            .map_err(|error| {
                tracing::error!(code = "no_handover", "cannot contact other processes of this proxy: {error}")
            })
            .ok(),
        None => None,
    };
    let others = handover.as_ref().map_or_else(|| watch::Sender::new(0).subscribe(), |one| one.others());
    let [bodies, answers] = [(); 2].map(|()| Arc::new(Pool::new(memory_mb << 20)));
    let backends = Arc::new(Backends::new(
        executions,
        Arc::clone(&answers),
        duration_or(at(settings, "Limits.ConnectTimeoutUs")?, DEFAULT_CONNECT_TIMEOUT),
        duration_or(at(settings, "Limits.IdleCloseUs")?, DEFAULT_IDLE_CLOSE),
        fleet.as_ref().map(Fleet::right),
    ));
    let balancer = crankpick_launch::balancer(seed(&config)?, settings)?;
    let list_requested = Arc::new(Notify::new());
    let balancer = BalancerHandle::new(
        balancer,
        at(settings, "Limits.MaxExecutions")?,
        Arc::clone(&list_requested),
        Arc::clone(&peers),
        Arc::clone(&backends),
        probe_path(&config)?,
        fleet.is_some().then(Arc::default),
    );
    // If the list is pushed, the balancer never requests it: start the first watch here.
    let pushed = at::<String>(settings, "Discovery")? != "subscribe";
    if pushed {
        list_requested.notify_one();
    }
    let removal_not_binding: bool = at(settings, "Safety.RemovalNotBinding")?;
    let mut discovery = Discovery::new(
        Arc::clone(&balancer),
        Arc::clone(&backends),
        zones,
        Arc::clone(&registry),
        removal_not_binding,
        pushed,
        at(settings, "Balancers")?,
    );
    let manual_drains = ManualDrains::start(
        Arc::clone(&balancer),
        Arc::clone(&registry),
        handover.clone(),
        prefix.as_deref(),
    );
    let known: List = at(&config, "known")?;
    discovery.load_known(&known).map_err(|error| format!("known: {error}"))?;
    let (discovery_address, address_changes) = watch::channel(address(&config, "discovery")?);
    let mut received = discovery.received();
    tokio::spawn(discovery.follow(address_changes, list_requested));
    let balancer_for_peers = Arc::clone(&balancer);
    tokio::spawn(
        peers.listen(move |peer, note| balancer_for_peers.notify(|inbox| inbox.peer_note(peer, note))),
    );
    tokio::spawn(Arc::clone(&backends).share_with(others.clone(), executions));
    for pool in [&bodies, &answers] {
        tokio::spawn(Arc::clone(pool).share_with(others.clone()));
    }
    tokio::spawn(report_processes(Arc::clone(&balancer), others.clone()));

    let controller = LifecycleController::new(fleet.as_ref().map(Fleet::right));
    let on_lifecycle = controller.follow();
    let (end_queries, ending) = watch::channel(false);
    let (request_config, on_request_config) = watch::channel(Arc::new(initial_config));
    tokio::spawn(reload::follow(
        hangup,
        config.clone(),
        Arc::clone(&balancer),
        request_config,
        discovery_address,
    ));
    let retry_after_us = crankpick_launch::limits(settings)?.max_backoff_us.min(RETRY_AFTER_US);
    let (request_config, lifecycle, right) =
        (on_request_config.clone(), on_lifecycle.clone(), fleet.as_ref().map(Fleet::right));
    let proxy =
        Proxy { balancer, backends, bodies, request_config, lifecycle, ending, right, retry_after_us };
    // What a local agent knows is expected to be applied from the start; the agent is silent while discovery is
    // down. If no backend is known, nothing can be served until discovery reports one.
    let startup_wait = match known.instances.is_empty() {
        true => DISCOVERY_TIMEOUT,
        false if pushed => AGENT_TIMEOUT,
        false => Duration::ZERO,
    };
    let _ = timeout(startup_wait, received.wait_for(|received| *received)).await;
    let second_listener =
        second_address(&config)?.map(|address| listener(address, "admin_addr")).transpose()?;
    let listener = match inherited {
        Some(listener) => listener,
        None => listener(listen, "listen")?,
    };
    let mut term = signal(SignalKind::terminate()).map_err(|error| format!("SIGTERM: {error}"))?;
    if let Some(fleet) = &fleet {
        fleet.follow_request_config(on_request_config);
        fleet.follow(Arc::clone(&proxy.balancer)).await;
        tokio::spawn(fleet.clone().report_willingness(on_lifecycle.clone()));
        tokio::spawn(fleet.clone().follow_drain(controller.clone(), Arc::clone(&proxy.balancer)));
    }
    let bound = listener.local_addr().unwrap_or(listen);
    let (mut second, admin) =
        (String::new(), Admin { controller: controller.clone(), manual_drains, fleet: fleet.clone() });
    if let Some(listener) = second_listener {
        second = listener.local_addr().map(|address| address.to_string()).unwrap_or_default();
        tokio::spawn(admin.listen(listener));
    }
    tracing::info!(code = "listening", listen = %bound, clients, executions, admin = second, "ready");
    let router = front::router(Arc::new(proxy), controller.clone());
    let front = front::run(
        listener,
        router,
        clients,
        sockets / EARLY_CLOSE_DIVISOR,
        memory_mb << 20,
        on_lifecycle,
        others,
    );
    let shutdown = async {
        term.recv().await;
        tracing::info!(code = "stopping", "told to end");
        controller.end();
        sleep(ANSWER_DEADLINE).await;
        let _ = end_queries.send(true);
        sleep(WRITE_DEADLINE).await;
    };
    tokio::select! {
        () = front => {}
        () = shutdown => {}
    }
    if let Some(fleet) = &fleet {
        fleet.leave().await;
    }
    handover.iter().for_each(|handover| handover.remove_socket());
    tracing::info!(code = "ended", "all that was taken is answered");
    Ok(())
}
