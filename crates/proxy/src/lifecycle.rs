//! Lifecycle of the process: serving, drained or ending. Changed by `admin`, `serve` and `fleet`; observed by
//! `front` and `query`.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crankpick_carry::run::SendPermission;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// New connections arrive for up to 0.4 s after SIGTERM; idle ones are closed after this time, and requests
/// that arrive later are rejected.
pub const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(650);
/// Idle connections are closed this long after a drain begins: by then most have ended with a response, so
/// closing rarely races with a request.
const DRAIN_IDLE_CLOSE: Duration = Duration::from_millis(1_300);
/// Connections opened later than that get this long, as clients send their first request at once.
const MIN_OPEN: Duration = Duration::from_millis(250);

/// The lifecycle state; a process that no longer serves knows since when.
#[derive(Clone, Copy, Debug)]
pub enum Lifecycle {
    Serving,
    Drained(Instant),
    Ending(Instant),
}

impl Lifecycle {
    pub fn ready(&self) -> Result<(), String> {
        match self {
            Lifecycle::Serving => Ok(()),
            Lifecycle::Drained(_) => Err("drained".into()),
            Lifecycle::Ending(_) => Err("ending".into()),
        }
    }

    /// Completes when the process is ending and no further request should be accepted: SIGKILL may arrive
    /// before its response.
    pub async fn acceptance_over(mut lifecycle: watch::Receiver<Lifecycle>) {
        let ending = lifecycle
            .wait_for(|lifecycle| matches!(lifecycle, Lifecycle::Ending(_)))
            .await
            .map(|lifecycle| *lifecycle);
        match ending {
            Ok(Lifecycle::Ending(since)) => sleep_until(since + ACCEPT_AFTER_TERM).await,
            _ => std::future::pending().await,
        }
    }

    /// Whether the process is ending and SIGKILL may arrive before the response to a request received now.
    pub fn is_acceptance_over(&self) -> bool {
        matches!(self, Lifecycle::Ending(since) if since.elapsed() >= ACCEPT_AFTER_TERM)
    }

    /// When a client connection that was opened at `opened` should be closed, with the reason code.
    pub fn close_at(&self, opened: Instant) -> Option<(Instant, &'static str)> {
        match self {
            Lifecycle::Serving => None,
            Lifecycle::Drained(since) => {
                Some(((*since + DRAIN_IDLE_CLOSE).max(opened + MIN_OPEN), "drained"))
            }
            Lifecycle::Ending(since) => {
                Some(((*since + ACCEPT_AFTER_TERM).max(opened + MIN_OPEN), "stopping"))
            }
        }
    }
}

/// Sources of a drain: operators at this process, or the fleet for work on this proxy. Either one is enough.
#[derive(Default)]
struct DrainRequests {
    operator: bool,
    fleet: bool,
}

/// Owns the lifecycle state; all transitions go through it.
#[derive(Clone)]
pub struct LifecycleController {
    lifecycle: watch::Sender<Lifecycle>,
    requests: Arc<Mutex<DrainRequests>>,
    right: Option<SendPermission>,
}

impl LifecycleController {
    pub fn new(right: Option<SendPermission>) -> Self {
        LifecycleController {
            lifecycle: watch::Sender::new(Lifecycle::Serving),
            requests: Arc::default(),
            right,
        }
    }

    pub fn follow(&self) -> watch::Receiver<Lifecycle> {
        self.lifecycle.subscribe()
    }

    /// Whether this proxy should receive queries: not while it may not send to backends.
    pub fn ready(&self) -> Result<(), String> {
        self.lifecycle.borrow().ready()?;
        match self.right.as_ref().is_none_or(SendPermission::is_valid) {
            true => Ok(()),
            false => Err("cut off from the fleet".into()),
        }
    }

    /// Applies a drain request. Repeating one changes nothing: a drain runs from the first call.
    fn update(&self, apply: impl FnOnce(&mut DrainRequests)) -> Result<(), String> {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        apply(&mut requests);
        let drained = requests.operator || requests.fleet;
        self.lifecycle.send_if_modified(|lifecycle| {
            let changes = !matches!(lifecycle, Lifecycle::Ending(_)) && lifecycle.ready().is_ok() == drained;
            if changes {
                *lifecycle = if drained { Lifecycle::Drained(Instant::now()) } else { Lifecycle::Serving };
            }
            changes
        });
        match *self.lifecycle.borrow() {
            Lifecycle::Ending(_) => Err("the process is ending".into()),
            _ => Ok(()),
        }
    }

    pub fn set_manual_drain(&self, drained: bool) -> Result<(), String> {
        self.update(|requests| requests.operator = drained)
    }

    pub fn set_fleet_drain(&self, drained: bool) {
        let _ = self.update(|requests| requests.fleet = drained);
    }

    pub fn end(&self) {
        self.lifecycle.send_replace(Lifecycle::Ending(Instant::now()));
    }
}
