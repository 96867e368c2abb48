//! What a process is there for: serving, drained or ending. Turned by `admin`, `serve` and the fleet's part;
//! `front` and `query` follow it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crankpick_carry::run::SendPermission;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Connections go on coming for up to 0.4 s after the signal to end; idle ones end then too.
pub const LATE: Duration = Duration::from_millis(650);
/// After a drain begins idle connections end: by then most have ended by an answer, and few requests cross.
const DRAINED: Duration = Duration::from_millis(1_300);
/// What is opened later still asks at once.
const OPENED: Duration = Duration::from_millis(250);

/// What the process is there for, and since when no longer.
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

    /// Comes once the process is ending and nothing more may come whole: the kill may follow before its answer.
    pub async fn too_late(mut lifecycle: watch::Receiver<Lifecycle>) {
        let ending = lifecycle
            .wait_for(|lifecycle| matches!(lifecycle, Lifecycle::Ending(_)))
            .await
            .map(|lifecycle| *lifecycle);
        match ending {
            Ok(Lifecycle::Ending(since)) => sleep_until(since + LATE).await,
            _ => std::future::pending().await,
        }
    }

    /// Whether the process is ending and what comes now could meet the kill before its answer.
    pub fn is_too_late(&self) -> bool {
        matches!(self, Lifecycle::Ending(since) if since.elapsed() >= LATE)
    }

    /// When a client's connection that was opened then is to end, with the code for it.
    pub fn leave(&self, opened: Instant) -> Option<(Instant, &'static str)> {
        match self {
            Lifecycle::Serving => None,
            Lifecycle::Drained(since) => Some(((*since + DRAINED).max(opened + OPENED), "drained")),
            Lifecycle::Ending(since) => Some(((*since + LATE).max(opened + OPENED), "stopping")),
        }
    }
}

/// Who wants this process drained: operators here, or the fleet for work on it. Either is enough.
#[derive(Default)]
struct Wants {
    hand: bool,
    fleet: bool,
}

/// The one place where the lifecycle turns.
#[derive(Clone)]
pub struct Stand {
    lifecycle: watch::Sender<Lifecycle>,
    wants: Arc<Mutex<Wants>>,
    right: Option<SendPermission>,
}

impl Stand {
    pub fn new(right: Option<SendPermission>) -> Self {
        Stand { lifecycle: watch::Sender::new(Lifecycle::Serving), wants: Arc::default(), right }
    }

    pub fn follow(&self) -> watch::Receiver<Lifecycle> {
        self.lifecycle.subscribe()
    }

    /// Whether queries are to come here: not where nothing may be sent on.
    pub fn ready(&self) -> Result<(), String> {
        self.lifecycle.borrow().ready()?;
        match self.right.as_ref().is_none_or(SendPermission::is_valid) {
            true => Ok(()),
            false => Err("cut off from the fleet".into()),
        }
    }

    /// Repeated it changes nothing: a drain runs from the first call.
    fn turn(&self, want: impl FnOnce(&mut Wants)) -> Result<(), String> {
        let mut wants = self.wants.lock().unwrap_or_else(PoisonError::into_inner);
        want(&mut wants);
        let drained = wants.hand || wants.fleet;
        self.lifecycle.send_if_modified(|lifecycle| {
            let turns = !matches!(lifecycle, Lifecycle::Ending(_)) && lifecycle.ready().is_ok() == drained;
            if turns {
                *lifecycle = if drained { Lifecycle::Drained(Instant::now()) } else { Lifecycle::Serving };
            }
            turns
        });
        match *self.lifecycle.borrow() {
            Lifecycle::Ending(_) => Err("the process is ending".into()),
            _ => Ok(()),
        }
    }

    pub fn by_hand(&self, drained: bool) -> Result<(), String> {
        self.turn(|wants| wants.hand = drained)
    }

    pub fn by_fleet(&self, drained: bool) {
        let _ = self.turn(|wants| wants.fleet = drained);
    }

    pub fn end(&self) {
        self.lifecycle.send_replace(Lifecycle::Ending(Instant::now()));
    }
}
