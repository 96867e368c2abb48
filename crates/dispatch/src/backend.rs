//! What a dispatcher keeps of one backend.

use crate::interface::{BackendState, BackendView, ReportedLoad};

/// A backend of the view, with what this gateway has out on it and was told by it.
#[derive(Debug)]
pub(crate) struct Backend {
    pub view: BackendView,
    /// Whether it is in the gateway's own zone.
    pub near: bool,
    /// Sends that have not ended.
    pub in_flight: u32,
    /// Sends that have not had their first event.
    pub waiting: u32,
    /// The newest report.
    pub reported: Option<ReportedLoad>,
}

impl Backend {
    pub fn new(view: BackendView, zone: &str) -> Backend {
        let near = &*view.zone == zone;
        Backend { view, near, in_flight: 0, waiting: 0, reported: None }
    }

    pub fn ready(&self) -> bool {
        self.view.state == BackendState::Ready
    }

    /// Requests there by the newest report or by what this gateway has out, whichever is more.
    pub fn load(&self) -> u32 {
        let told = self.reported.map_or(0, |load| load.running + load.waiting);
        told.max(self.in_flight)
    }
}
