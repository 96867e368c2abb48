//! The proxy's hold on the fleet's part: calls to its thread, and what it tells. Made by `run`.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crankpick_fleet::messages::{Ask, Publication, Told};
use crankpick_fleet::observation::View;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::now_us;

/// What the proxy asks or tells the fleet's part.
pub enum Call {
    Ask {
        ask: Ask,
        patience_us: u64,
        told: oneshot::Sender<Told>,
    },
    /// The module has been told of this version, and at these of the backends out something is still in hand.
    Acted {
        version: u64,
        busy: BTreeSet<String>,
    },
    View(View),
    /// Whether nothing at all is in hand.
    Empty(bool),
    /// The process ends, with all answered; said once this is.
    Part(oneshot::Sender<()>),
    Willing(bool),
    /// Duties and the lead are to go to others at once.
    End,
}

/// The proxy's hold on the fleet's part.
#[derive(Clone)]
pub struct Handle {
    pub(crate) calls: mpsc::Sender<Call>,
    /// Who is out, as last published and taken.
    pub taken: watch::Receiver<Option<Publication>>,
    /// Whether the version in force has been heard of.
    pub heard: watch::Receiver<bool>,
    /// Whether the fleet wants this proxy drained, for work on it.
    pub drain: watch::Receiver<bool>,
    pub right: Right,
    /// The longest that an execution of this proxy may take.
    pub longest_us: Arc<AtomicU64>,
}

/// Until when this process may send anything to a backend. Asked at the moment of sending: whoever has slept in
/// between must find it over.
#[derive(Clone, Default)]
pub struct Right(Arc<AtomicU64>);

impl Right {
    pub(crate) fn set(&self, until_us: u64) {
        self.0.store(until_us, Ordering::SeqCst);
    }

    pub fn lasts(&self) -> bool {
        let until = self.0.load(Ordering::SeqCst);
        until == u64::MAX || now_us() < until
    }
}

impl Handle {
    pub async fn ask(&self, ask: Ask, patience: Duration) -> Told {
        let (told, answer) = oneshot::channel();
        let patience_us = patience.as_micros() as u64;
        let late = || Told::NotNow("the fleet's part of this proxy is busy or broken".into());
        if self.calls.try_send(Call::Ask { ask, patience_us, told }).is_err() {
            return late();
        }
        answer.await.unwrap_or_else(|_| late())
    }

    pub fn tell(&self, call: Call) {
        if self.calls.try_send(call).is_err() {
            tracing::warn!(code = "fleet_busy", "the fleet's part takes no more calls");
        }
    }
}
