//! Puts a process of the control plane together from its settings.

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
use tokio::sync::mpsc::channel;
use tokio::sync::watch;

use crate::api::{routes, Api};
use crate::disk::Disk;
use crate::disk_opening::{open_disk, OPEN_AGAIN};
use crate::entropy;
use crate::error::{ControlPlaneError, ListenSnafu};
use crate::event::Event;
use crate::host::{Host, Parts};
use crate::listener::listen;
use crate::quotas::Quotas;
use crate::redirect_api::{self, RedirectApi};
use crate::redirector::{Directions, Redirector};
use crate::settings_watch::SettingsWatch;

/// Events that wait for the host; more hold back who sends them.
const EVENTS: usize = 8_192;

/// Where a process is called.
pub struct Listeners {
    /// By other processes of the fleet.
    pub internal: TcpListener,
    /// By the operator and the backends.
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

/// Runs until `terminate` ends, by the settings in the file at `path`.
pub async fn run(
    settings: &Settings,
    path: &Path,
    terminate: impl std::future::Future<Output = ()>,
    log: Logger,
) -> Result<(), ControlPlaneError> {
    let listeners = Listeners::bind(settings).await?;
    serve(settings, Some(path), listeners, terminate, log).await
}

/// Runs on listeners that are bound already, until `terminate` ends.
///
/// A change of the file at `path`, where one is named, is noticed within a second.
pub async fn serve(
    settings: &Settings,
    path: Option<&Path>,
    listeners: Listeners,
    terminate: impl std::future::Future<Output = ()>,
    log: Logger,
) -> Result<(), ControlPlaneError> {
    let started = Instant::now();
    let own = settings.internal_address();
    let control =
        listeners.control.local_addr().context(ListenSnafu { address: SocketAddr::from(([0; 4], 0)) })?;
    let (events, queue) = channel(EVENTS);
    let acceptor = TcpAcceptor::from_tokio(listeners.control).context(ListenSnafu { address: control })?;
    let server = Server::new_with_acceptor(acceptor);
    info!(log, "started"; "address" => %own, "control" => %control, "disk" => settings.data_dir.is_some(),
        "counts_for_quorum" => settings.counts_for_quorum, "bootstrap" => settings.bootstrap,
        "seeds" => addresses(&settings.seeds));
    let port = control.port();
    let host = if settings.counts_for_quorum {
        let (disk, records) = match &settings.data_dir {
            Some(folder) => {
                let (disk, records) = open_disk(folder, &events, OPEN_AGAIN, &log).await?;
                (Some(disk), records)
            }
            None => (None, Vec::new()),
        };
        let parts = parts(settings, own, disk, records, started, &log);
        tokio::spawn(server.run(routes(Api { events: events.clone(), port })));
        tokio::spawn(Host::new(parts, started).run(queue))
    } else {
        let (directions, heard) = watch::channel(Directions::default());
        let api = RedirectApi { directions: heard, port };
        tokio::spawn(server.run(redirect_api::routes(api)));
        let seeds = settings.internal_seeds();
        let redirector = Redirector::new(started, own, settings.zone.clone(), seeds, directions, log.clone());
        tokio::spawn(redirector.run(queue))
    };
    if let Some(path) = path {
        let watch = SettingsWatch::new(path.to_path_buf(), settings.internal_seeds(), log.clone());
        tokio::spawn(watch.run(events.clone()));
    }
    tokio::spawn(listen(listeners.internal, events.clone(), log));
    terminate.await;
    let _ended = events.send(Event::Terminate).await;
    let _ended = host.await;
    Ok(())
}

fn parts(
    settings: &Settings,
    own: SocketAddr,
    disk: Option<Disk>,
    records: Vec<Record>,
    started: Instant,
    log: &Logger,
) -> Parts {
    let process = ProcessId(entropy::draw());
    let seeds: Vec<SocketAddr> = settings.internal_seeds();
    let options = Options {
        address: own,
        zone: settings.zone.clone(),
        seeds: seeds.clone(),
        bootstrap: settings.bootstrap,
        durable: disk.is_some(),
        tolerate_nodes: settings.tolerate.nodes as usize,
        tolerate_zones: settings.tolerate.zones as usize,
        entropy: entropy::draw(),
        timing: Timing::default(),
    };
    let mut outputs = Outputs::new();
    let now = started.elapsed();
    let replica = Replica::restore(now, options, records, &mut outputs);
    Parts {
        process,
        address: own,
        zone: settings.zone.clone(),
        replica,
        outputs,
        disk,
        registry: Registry::new(now, process, RegistrySettings::new(settings.heartbeat)),
        gateways: GatewayLeases::new(now, process),
        quotas: Quotas::new(process, own, quota_bounds(&settings.bounds)),
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
