//! The proxy's handle to the fleet thread: calls to the thread, and the state that it reports. Created by
//! `run`.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crankpick_fleet::messages::{Ask, Publication, Told};
use crankpick_fleet::observation::View;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::now_us;

/// A call from the proxy to the fleet thread.
pub enum Call {
    Ask {
        ask: Ask,
        patience_us: u64,
        told: oneshot::Sender<Told>,
    },
    /// The proxy's dispatch has applied this version; at `busy`, of the backends that are out, queries are
    /// still in progress.
    VersionApplied {
        version: u64,
        busy: BTreeSet<String>,
    },
    View(View),
    /// Whether the proxy has no queries in progress.
    Idle(bool),
    /// The process exits and has answered all queries; the sender is notified once the exit has been
    /// announced.
    Part(oneshot::Sender<()>),
    Willing(bool),
    /// Hand over the duties and the leadership at once.
    PrepareExit,
}

/// The proxy's handle to the fleet thread.
#[derive(Clone)]
pub struct Handle {
    pub(crate) calls: mpsc::Sender<Call>,
    /// The set of backends that are out, as last published and accepted.
    pub taken: watch::Receiver<Option<Publication>>,
    /// Whether the version in force is known.
    pub heard: watch::Receiver<bool>,
    /// Whether the fleet wants this proxy drained for maintenance.
    pub drain: watch::Receiver<bool>,
    pub send_permission: SendPermission,
    /// The longest that an execution of this proxy may take.
    pub longest_us: Arc<AtomicU64>,
}

/// Until when this process may send anything to a backend. To be checked at the moment of sending, so that a
/// process that was asleep in between finds it expired.
#[derive(Clone, Default)]
pub struct SendPermission(Arc<AtomicU64>);

impl SendPermission {
    pub(crate) fn set(&self, until_us: u64) {
        self.0.store(until_us, Ordering::SeqCst);
    }

    pub fn is_valid(&self) -> bool {
        let until = self.0.load(Ordering::SeqCst);
        until == u64::MAX || now_us() < until
    }
}

impl Handle {
    pub async fn ask(&self, ask: Ask, patience: Duration) -> Told {
        let (told, answer) = oneshot::channel();
        let patience_us = patience.as_micros() as u64;
        let unavailable = || Told::NotNow("the fleet's part of this proxy is busy or broken".into());
        if self.calls.try_send(Call::Ask { ask, patience_us, told }).is_err() {
            return unavailable();
        }
        answer.await.unwrap_or_else(|_| unavailable())
    }

    pub fn tell(&self, call: Call) {
        if self.calls.try_send(call).is_err() {
            tracing::warn!(code = "fleet_busy", "the fleet's part takes no more calls");
        }
    }
}
