//! A gateway process: the data plane, its readiness endpoint, and its link to the control plane.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crankpick_gateway::{FreshnessBounds, GatewaySettings, Shared};
use crankpick_quota::{QuotaBounds, RetryBudgetSettings};
use crankpick_settings::Settings;
use slog::{error, info, Logger};
use snafu::{OptionExt, ResultExt};
use tokio::net::TcpListener;
use tokio::time::{interval, Instant, MissedTickBehavior};

use crate::error::{FrontMissingSnafu, FrontUnavailableSnafu, ReadyMissingSnafu, SystemError};
use crate::home_link::HomeLink;
use crate::{ready, signals};

/// The interval at which counters are logged.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(5);

/// Runs until SIGTERM, and then until the requests in flight have ended.
///
/// # Errors
///
/// If the runtime or a signal handler can't be set up, an address is missing, or it can't be bound (SYS-102 to SYS-106).
pub fn run((_, settings): &(PathBuf, Settings), log: Logger) -> Result<(), SystemError> {
    signals::runtime()?.block_on(serve(settings, log))
}

async fn serve(settings: &Settings, log: Logger) -> Result<(), SystemError> {
    let started = Instant::now();
    let front = settings.listen.front.context(FrontMissingSnafu)?;
    let ready_at = settings.listen.ready.context(ReadyMissingSnafu)?;
    let listener = TcpListener::bind(front).await.context(FrontUnavailableSnafu { address: front })?;
    let terminate = signals::terminated()?;
    let shared = Shared::new(gateway_settings(settings, started), log.clone());
    tokio::spawn(serve_readiness(ready_at, Arc::clone(&shared), log.clone()));
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

fn gateway_settings(settings: &Settings, start: Instant) -> GatewaySettings {
    let bounds = &settings.bounds;
    let memory = settings.limits.memory_mb << 20;
    GatewaySettings {
        retry: RetryBudgetSettings {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        },
        quota: QuotaBounds {
            window: bounds.quota_window,
            over: bounds.quota_over,
            slack: bounds.quota_slack,
        },
        freshness: FreshnessBounds {
            refuse_within: bounds.config_apply,
            accept_keys_within: bounds.revoked.then_some(bounds.revoke),
        },
        grace: bounds.grace,
        start,
        ..GatewaySettings::new(settings.zone.clone(), settings.limits.max_fds, memory)
    }
}

async fn serve_readiness(address: std::net::SocketAddr, shared: Arc<Shared>, log: Logger) {
    if let Err(cause) = ready::serve(address, shared).await {
        error!(log, "can't serve readiness checks"; "code" => "SYS-107", "cause" => %cause);
    }
}

async fn log_counters(shared: Arc<Shared>, log: Logger) {
    let mut ticks = interval(COUNTERS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        info!(log, "counters"; "in_flight" => shared.in_flight(), "counts" => counts(&shared), "ends" => ends(&shared));
    }
}

/// The nonzero event counts, by cause.
fn counts(shared: &Shared) -> String {
    let counts = shared.counts().into_iter().filter(|count| count.number > 0);
    let pairs: Vec<String> = counts.map(|count| format!("{}={}", count.name, count.number)).collect();
    pairs.join(" ")
}

/// The number of ended client connections by reason, each with the shortest idle time before such an end.
fn ends(shared: &Shared) -> String {
    let entries = shared.connection_ends().into_iter().map(|end| match end.min_idle {
        Some(least) => format!("{}={} rest>={:.3}s", end.name, end.number, least.as_secs_f64()),
        None => format!("{}={}", end.name, end.number),
    });
    entries.collect::<Vec<_>>().join(" ")
}
