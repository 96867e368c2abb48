//! A gateway's process: the data plane, its readiness, and its link to the control plane.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crankpick_gateway::{GatewaySettings, Shared};
use crankpick_settings::Settings;
use slog::{error, info, Logger};
use tokio::net::TcpListener;
use tokio::time::{interval, MissedTickBehavior};

use crate::home_link::HomeLink;
use crate::{ready, signals};

/// Between two lines of counters in the log.
const COUNTERS: Duration = Duration::from_secs(5);

/// Runs until SIGTERM and the end of what was in flight.
pub fn run((_, settings): &(PathBuf, Settings), log: Logger) -> Result<(), String> {
    signals::runtime()?.block_on(serve(settings, log))
}

async fn serve(settings: &Settings, log: Logger) -> Result<(), String> {
    let started = Instant::now();
    let front = settings.listen.front.ok_or("SYS-104: the settings lack listen.front")?;
    let ready_at = settings.listen.ready.ok_or("SYS-105: the settings lack listen.ready")?;
    let listener = TcpListener::bind(front).await.map_err(|wrong| format!("SYS-106: {front}: {wrong}"))?;
    let terminate = signals::terminated()?;
    let shared = Shared::new(gateway_settings(settings), started, log.clone());
    tokio::spawn(announce_readiness(ready_at, Arc::clone(&shared), log.clone()));
    tokio::spawn(HomeLink::new(settings, started, Arc::clone(&shared), log.clone()).run());
    tokio::spawn(log_counters(Arc::clone(&shared), log.clone()));
    info!(log, "started"; "front" => %front);
    let stopping = Arc::clone(&shared);
    tokio::spawn(async move {
        terminate.await;
        stopping.begin_shutdown();
    });
    crankpick_gateway::serve(listener, shared).await;
    info!(log, "ended");
    Ok(())
}

fn gateway_settings(settings: &Settings) -> GatewaySettings {
    GatewaySettings {
        zone: settings.zone.clone(),
        regions: settings.zones.clone(),
        bounds: settings.bounds.clone(),
        limits: settings.limits.clone(),
        ip: settings.ip,
    }
}

async fn announce_readiness(address: std::net::SocketAddr, shared: Arc<Shared>, log: Logger) {
    if let Err(wrong) = ready::serve(address, shared).await {
        error!(log, "readiness can't be asked for"; "code" => "SYS-107", "cause" => %wrong);
    }
}

async fn log_counters(shared: Arc<Shared>, log: Logger) {
    let mut ticks = interval(COUNTERS);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        info!(log, "counters"; "counts" => shared.counters());
    }
}
