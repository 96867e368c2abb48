//! Stores the departures of backends before they are acknowledged, and reads those that this process may lack.

use std::net::SocketAddr;

use crankpick_registry::BackendDeparture;
use slog::{info, warn};

use super::Host;
use crate::departure_record::DepartureRecord;
use crate::departure_store::{DueWrite, DurabilityWaiter};
use crate::departure_sync::Completion;
use crate::disk_message::{WriteRequest, WriteResult};
use crate::event::PeerMessage;

/// The code for departures that may be lost, in the log.
const DEPARTURES_LOST_CODE: &str = "CTL-305";
/// The number of ticks between two queries for departures.
const TICKS_PER_QUERY: u64 = 2;

impl Host {
    /// Stages the departures that have become known, and writes them unless a write is in flight. To be called after each
    /// call of the registry that takes a heartbeat, a sign-off or a peer's records.
    pub(super) fn store_departures(&mut self) {
        let departures = self.components.registry.take_departures();
        if !departures.is_empty() {
            self.departure_store.stage(departures.into_iter().map(DepartureRecord::Departed));
        }
        self.write_departures();
    }

    fn write_departures(&mut self) {
        let now = self.now();
        let Some(write) = self.departure_store.next_write(now) else { return };
        let request = match write {
            // The id isn't used: one write is in flight at a time.
            DueWrite::Append(records) => WriteRequest::Append { write_id: 0, records },
            DueWrite::Rewrite => WriteRequest::Rewrite { records: self.departure_records() },
        };
        let disk = self.components.departure_disk.as_ref();
        if !disk.is_some_and(|disk| disk.write(request)) {
            self.departure_store.write_failed(now);
        }
    }

    /// The records that hold all departures that this process knows.
    fn departure_records(&self) -> Vec<DepartureRecord> {
        let departures = self.components.registry.departures().into_iter().map(DepartureRecord::Departed);
        let complete = self.departure_sync.sound_epoch().map(|epoch| DepartureRecord::Complete { epoch });
        departures.chain(complete).collect()
    }

    /// Handles the result of a write of departures.
    pub(super) fn handle_departure_write_result(&mut self, result: WriteResult) {
        let synced = match result {
            WriteResult::Synced { bytes, .. } => self.departure_store.appended(bytes),
            WriteResult::Rewritten { bytes } => self.departure_store.rewritten(bytes),
            WriteResult::Failed { cause, .. } | WriteResult::RewriteFailed { cause } => {
                self.departure_store.write_failed(self.now());
                return self.report_departure_disk(Err(&cause));
            }
        };
        self.report_departure_disk(Ok(()));
        for waiter in synced {
            self.departures_durable(waiter);
        }
        self.write_departures();
    }

    /// Has an acknowledgement follow once all departures known so far are durable.
    pub(super) fn when_departures_durable(&mut self, waiter: DurabilityWaiter) {
        if let Some(waiter) = self.departure_store.wait(waiter) {
            self.departures_durable(waiter);
        }
    }

    fn departures_durable(&mut self, waiter: DurabilityWaiter) {
        match waiter {
            DurabilityWaiter::OwnAnnouncement { number } => {
                if let Some(relay) = self.pending_announcements.stored(self.now(), number) {
                    self.request_relay(&relay);
                }
            }
            DurabilityWaiter::PeerAnnouncement { peer, number } => {
                self.connections.send(peer, &PeerMessage::AnnounceAcknowledged { number });
            }
        }
    }

    /// Enters a view: a member that can't have stored all departures of the view before reads them again.
    pub(super) fn departures_view_changed(&mut self) {
        let view = self.components.replica.view();
        self.departure_sync.view_changed(view);
        if !self.departure_sync.is_informed() {
            self.components.registry.require_departures();
        }
        self.store_sound_epoch();
        self.complete_departures();
    }

    fn store_sound_epoch(&mut self) {
        let sound_epoch = self.departure_sync.sound_epoch();
        self.departure_store.stage(sound_epoch.map(|epoch| DepartureRecord::Complete { epoch }));
        self.write_departures();
    }

    /// Called at each timer interval: retries failed writes, and asks members for their departures while some are missing.
    pub(super) fn tick_departures(&mut self) {
        self.write_departures();
        self.complete_departures();
        if self.ticks.is_multiple_of(TICKS_PER_QUERY) {
            let members: Vec<SocketAddr> = self.departure_sync.unread_members().collect();
            for member in members {
                self.connections.send(member, &PeerMessage::DepartureQuery);
            }
        }
    }

    /// Sends a peer all departures that this process knows, and whether others may rely on them.
    pub(super) fn report_departures(&mut self, to: SocketAddr) {
        let epoch = self.departure_sync.epoch();
        let sound = self.departure_sync.sound_epoch().is_some();
        let departures = self.components.registry.departures();
        self.connections.send(to, &PeerMessage::DepartureReport { epoch, sound, departures });
    }

    /// Merges the departures that a peer knows.
    pub(super) fn handle_departure_report(
        &mut self,
        from: SocketAddr,
        epoch: u64,
        sound: bool,
        departures: &[BackendDeparture],
    ) {
        let now = self.now();
        self.components.registry.merge_departures(now, departures);
        self.store_departures();
        self.departure_sync.report_received(from, epoch, sound);
        self.complete_departures();
        self.push_updates();
    }

    /// Takes the withheld heartbeats once all departures are known.
    pub(super) fn complete_departures(&mut self) {
        let now = self.now();
        let reaches_majority = self.components.replica.reaches_majority();
        let Some(completion) = self.departure_sync.complete(now, reaches_majority) else { return };
        match completion {
            Completion::Read => info!(self.components.log, "the departures of backends are known"),
            Completion::GivenUp => {
                warn!(self.components.log, "too few members have kept the departures of backends";
                    "code" => DEPARTURES_LOST_CODE);
            }
        }
        let taken = self.components.registry.departures_complete(now);
        self.announce(0, taken.announcement);
        self.store_sound_epoch();
        if taken.changed {
            self.push_updates();
        }
    }
}
