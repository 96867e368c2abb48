//! Assembles and runs a control-plane process from its settings.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;

use crankpick_control::{Options, Outputs, Record, Replica, Timing};
use crankpick_quota::QuotaBounds;
use crankpick_registry::{GatewayLeases, ProcessId, Registry, RegistrySettings};
use crankpick_settings::{Bounds, Settings};
use poem::listener::TcpAcceptor;
use poem::Server;
use slog::{info, Logger};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::api::{routes, Api};
use crate::departure_record::{DepartureRecord, StoredDepartures};
use crate::disk::{Disk, StoredRecord};
use crate::disk_opening::{open_disk, OPEN_RETRY_INTERVAL};
use crate::error::{ControlPlaneError, ListenSnafu};
use crate::event::Event;
use crate::host::{Host, HostComponents};
use crate::listener::listen;
use crate::quotas::Quotas;
use crate::random_ids::random_id;
use crate::redirect_api::{self, RedirectApi};
use crate::redirector::{RedirectState, Redirector};
use crate::settings_watch::SettingsWatch;

/// The capacity of the host's event queue; senders wait while it is full.
const MAX_QUEUED_EVENTS: usize = 8_192;

/// The directory of the departures' log, within that of the control state.
const DEPARTURES_DIRECTORY: &str = "departures";

/// The bound sockets of a process.
pub struct Listeners {
    /// For the other processes of the fleet.
    pub internal: TcpListener,
    /// For the operator and the backends, over HTTP.
    pub control: TcpListener,
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Listeners, ControlPlaneError> {
        let control =
            settings.listen.control.ok_or(ControlPlaneError::Settings { what: "listen.control" })?;
        let internal = settings.internal_address();
        Ok(Listeners { internal: bind(internal).await?, control: bind(control).await? })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ControlPlaneError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Binds the addresses in `settings` and runs until `terminate` completes and the process has shut down gracefully.
/// `path` is the file of the settings; it is watched for changed seeds.
///
/// # Errors
///
/// If the settings lack an address, an address can't be bound, or the disk can't be opened.
pub async fn run(
    settings: &Settings,
    path: &Path,
    terminate: impl std::future::Future<Output = ()>,
    log: Logger,
) -> Result<(), ControlPlaneError> {
    let listeners = Listeners::bind(settings).await?;
    serve(settings, Some(path), listeners, terminate, log).await
}

/// Runs on bound listeners until `terminate` completes and the process has shut down gracefully.
///
/// Changed seeds in the file at `path`, if given, take effect within a second.
///
/// # Errors
///
/// If a listener can't be used or the disk can't be opened.
pub async fn serve(
    settings: &Settings,
    path: Option<&Path>,
    listeners: Listeners,
    terminate: impl std::future::Future<Output = ()>,
    log: Logger,
) -> Result<(), ControlPlaneError> {
    let started = Instant::now();
    let address = settings.internal_address();
    let control =
        listeners.control.local_addr().context(ListenSnafu { address: SocketAddr::from(([0; 4], 0)) })?;
    let (events, queue) = channel(MAX_QUEUED_EVENTS);
    let acceptor = TcpAcceptor::from_tokio(listeners.control).context(ListenSnafu { address: control })?;
    info!(log, "started"; "address" => %address, "control" => %control, "disk" => settings.data_dir.is_some(),
        "counts_for_quorum" => settings.counts_for_quorum, "bootstrap" => settings.bootstrap,
        "seeds" => addresses(&settings.seeds));
    let context = StartContext {
        settings,
        address,
        started,
        acceptor,
        port: control.port(),
        events: events.clone(),
        queue,
        log: &log,
    };
    let owner =
        if settings.counts_for_quorum { start_member(context).await? } else { start_redirector(context) };
    if let Some(path) = path {
        let watch = SettingsWatch::new(path.to_path_buf(), settings.internal_seeds(), log.clone());
        tokio::spawn(watch.run(events.clone()));
    }
    tokio::spawn(listen(listeners.internal, events.clone(), log));
    terminate.await;
    let _ended = events.send(Event::Terminate).await;
    let _ended = owner.await;
    Ok(())
}

/// The inputs for starting either kind of process.
struct StartContext<'a> {
    settings: &'a Settings,
    /// The internal address of this process.
    address: SocketAddr,
    started: Instant,
    /// The acceptor of the HTTP API.
    acceptor: TcpAcceptor,
    /// The port of the HTTP API.
    port: u16,
    events: Sender<Event>,
    queue: Receiver<Event>,
    log: &'a Logger,
}

/// Starts a member of the core: opens its disk, restores its replica, and serves the API.
async fn start_member(context: StartContext<'_>) -> Result<JoinHandle<()>, ControlPlaneError> {
    let StartContext { settings, address, started, acceptor, port, events, queue, log } = context;
    let (disk, records) = open_log(settings.data_dir.as_deref(), &events, log).await?;
    let directory = settings.data_dir.as_ref().map(|directory| directory.join(DEPARTURES_DIRECTORY));
    let (departure_disk, departures) = open_log(directory.as_deref(), &events, log).await?;
    let disks = Disks { disk, records, departure_disk, departures };
    let components = host_components(settings, address, disks, started, log);
    let server = Server::new_with_acceptor(acceptor);
    tokio::spawn(server.run(routes(Api { events, port })));
    Ok(tokio::spawn(Host::new(components, started).run(queue)))
}

/// The logs on disk of a process, and their records.
struct Disks {
    disk: Option<Disk>,
    records: Vec<Record>,
    departure_disk: Option<Disk<DepartureRecord>>,
    departures: Vec<DepartureRecord>,
}

/// Opens the log in `directory`, if there is one, and reads its records.
async fn open_log<R: StoredRecord>(
    directory: Option<&Path>,
    events: &Sender<Event>,
    log: &Logger,
) -> Result<(Option<Disk<R>>, Vec<R>), ControlPlaneError> {
    let Some(directory) = directory else { return Ok((None, Vec::new())) };
    let (disk, records) = open_disk(directory, events, OPEN_RETRY_INTERVAL, log).await?;
    Ok((Some(disk), records))
}

/// Starts a process outside the core, which redirects callers to members.
fn start_redirector(context: StartContext<'_>) -> JoinHandle<()> {
    let StartContext { settings, address, started, acceptor, port, queue, log, .. } = context;
    let (redirect_state, receiver) = watch::channel(RedirectState::default());
    let api = RedirectApi { redirect_state: receiver, port };
    let server = Server::new_with_acceptor(acceptor);
    tokio::spawn(server.run(redirect_api::routes(api)));
    let (zone, seeds) = (settings.zone.clone(), settings.internal_seeds());
    let redirector = Redirector::new(started, address, zone, seeds, redirect_state, log.clone());
    tokio::spawn(redirector.run(queue))
}

/// Restores the replica from its records, and creates the other components of a host.
fn host_components(
    settings: &Settings,
    address: SocketAddr,
    disks: Disks,
    started: Instant,
    log: &Logger,
) -> HostComponents {
    let Disks { disk, records, departure_disk, departures } = disks;
    let process = ProcessId(random_id());
    let seeds: Vec<SocketAddr> = settings.internal_seeds();
    let options = Options {
        address,
        zone: settings.zone.clone(),
        seeds: seeds.clone(),
        bootstrap: settings.bootstrap,
        durable: disk.is_some(),
        tolerate_nodes: settings.tolerate.nodes as usize,
        tolerate_zones: settings.tolerate.zones as usize,
        entropy: random_id(),
        timing: Timing::default(),
    };
    let mut outputs = Outputs::new();
    let now = started.elapsed();
    let replica = Replica::restore(now, options, records, &mut outputs);
    HostComponents {
        process,
        address,
        zone: settings.zone.clone(),
        replica,
        outputs,
        disk,
        departure_disk,
        stored_departures: StoredDepartures::from_records(departures),
        heartbeat: settings.heartbeat,
        registry: Registry::new(now, process, RegistrySettings::new(settings.heartbeat)),
        gateways: GatewayLeases::new(now, process),
        quotas: Quotas::new(process, address, quota_bounds(&settings.bounds)),
        seeds,
        log: log.clone(),
    }
}

fn addresses(all: &[SocketAddr]) -> String {
    let texts: Vec<String> = all.iter().map(SocketAddr::to_string).collect();
    texts.join(",")
}

fn quota_bounds(bounds: &Bounds) -> QuotaBounds {
    QuotaBounds { window: bounds.quota_window, over: bounds.quota_over, slack: bounds.quota_slack }
}
