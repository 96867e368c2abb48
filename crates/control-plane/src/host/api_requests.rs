//! Handles API requests from the operator and from backends.

use std::net::SocketAddr;

use crankpick_configuration::{ConfigurationError, Patch};
use crankpick_control::{Command, Input};
use crankpick_registry::{Announcement, HeartbeatError, HeartbeatState, RegistrationOutcome};
use tokio::sync::oneshot;

use super::Host;
use crate::api::MAX_CONFIGURATION_BYTES;
use crate::departure_store::DurabilityWaiter;
use crate::event::{ApiRequest, ChangeResponse, DepartureResponse, HeartbeatResponse};
use crate::operator_requests::{next_patch_action, PatchAction, PendingPatch};
use crate::quorum::Quorum;

impl Host {
    /// Handles a request. The response may be sent later.
    pub(super) fn handle_api_request(&mut self, request: ApiRequest) {
        let now = self.now();
        match request {
            ApiRequest::Put { if_match, body, reply } => self.put_configuration(if_match, &body, reply),
            ApiRequest::Patch { if_match, body, reply } => self.patch_configuration(if_match, &body, reply),
            ApiRequest::Get { reply } => {
                self.operator_requests.begin_read(now, reply);
                self.operator_requests.answer_reads(now, &self.components.replica);
            }
            ApiRequest::Heartbeat { id, heartbeat, reply } => {
                let draining = heartbeat.state == HeartbeatState::Draining;
                let registration = self.components.registry.heartbeat(now, &id, heartbeat);
                self.answer_heartbeat(&id, registration, draining, reply);
            }
            ApiRequest::Leave { id, reply } => {
                let registration = self.components.registry.leave(now, &id);
                self.answer_heartbeat(&id, registration, true, reply);
            }
            ApiRequest::MachineGone { address, reply } => self.declare_machine_gone(address, reply),
            ApiRequest::Status { reply } => {
                let _caller_gone = reply.send(self.status());
            }
        }
    }

    /// Submits a whole configuration to the replica, if it is valid.
    pub(super) fn put_configuration(
        &mut self,
        if_match: u64,
        body: &[u8],
        reply: oneshot::Sender<ChangeResponse>,
    ) {
        let generation = match validate(body) {
            Ok(generation) => generation,
            Err(error) => {
                let _caller_gone = reply.send(ChangeResponse::Invalid(error.to_string()));
                return;
            }
        };
        let Some(key) = self.operator_requests.begin_command(self.now(), &self.components.replica, reply)
        else {
            return;
        };
        let command = replace_command(if_match, generation, body);
        self.drive_replica(Input::Submit { key, command: command.into() });
    }

    fn patch_configuration(&mut self, if_match: u64, body: &[u8], reply: oneshot::Sender<ChangeResponse>) {
        match Patch::read(body) {
            Ok(patch) => self.drive_patch(PendingPatch { since: self.now(), if_match, patch, reply }),
            Err(error) => {
                let _caller_gone = reply.send(ChangeResponse::Invalid(error.to_string()));
            }
        }
    }

    /// Passes the declaration that a machine is gone to the replica if this process is the head of the chain, and
    /// redirects the operator to the head otherwise: only the head makes commands wait for machines.
    fn declare_machine_gone(&mut self, address: SocketAddr, reply: oneshot::Sender<DepartureResponse>) {
        let replica = &self.components.replica;
        let Some(head) = replica.view().head().and_then(|id| replica.view().member(id)) else {
            let _caller_gone = reply.send(DepartureResponse::Unknown);
            return;
        };
        if head.id != replica.id() {
            let _caller_gone = reply.send(DepartureResponse::Redirect(head.address));
            return;
        }
        if let Some(key) = self.operator_requests.begin_departure(reply) {
            self.drive_replica(Input::MachineGone { key, address });
        }
    }

    /// Retries the deferred patches.
    pub(super) fn drive_patches(&mut self) {
        for pending in self.operator_requests.take_patches() {
            self.drive_patch(pending);
        }
    }

    fn drive_patch(&mut self, pending: PendingPatch) {
        let now = self.now();
        match next_patch_action(&pending, now, &self.components.replica, MAX_CONFIGURATION_BYTES) {
            PatchAction::Submit(command) => {
                let key = self.operator_requests.begin_command(now, &self.components.replica, pending.reply);
                if let Some(key) = key {
                    self.drive_replica(Input::Submit { key, command: command.into() });
                }
            }
            PatchAction::Answer(answer) => {
                let _caller_gone = pending.reply.send(answer);
            }
            PatchAction::Wait => self.operator_requests.defer_patch(pending),
        }
    }

    /// Announces a backend's change to the peers and answers the backend. Draining and leaving are acknowledged once a
    /// majority of the members has stored the change, other changes immediately. Without a reachable majority nothing is
    /// acknowledged, so that the backend retries at another process.
    pub(super) fn answer_heartbeat(
        &mut self,
        id: &str,
        registration: Result<RegistrationOutcome, HeartbeatError>,
        is_departure: bool,
        reply: oneshot::Sender<HeartbeatResponse>,
    ) {
        self.store_departures();
        let outcome = match registration {
            Ok(outcome) => outcome,
            Err(error) => {
                let _caller_gone = reply.send(HeartbeatResponse::Rejected(error));
                return;
            }
        };
        if is_departure {
            self.replicate_departure(id, outcome.announcement, reply);
        } else {
            let reaches_majority = self.components.replica.reaches_majority();
            let _caller_gone = reply.send(if reaches_majority {
                HeartbeatResponse::Acknowledged
            } else {
                HeartbeatResponse::Unconfirmed
            });
            self.announce(0, outcome.announcement);
        }
        if outcome.changed {
            self.push_updates();
        }
    }

    /// Announces that a backend is draining or leaving, and answers it once a majority has stored the change. An unchanged
    /// state is announced again, since an earlier announcement may not have reached a majority.
    pub(super) fn replicate_departure(
        &mut self,
        id: &str,
        change: Option<Announcement>,
        reply: oneshot::Sender<HeartbeatResponse>,
    ) {
        let now = self.now();
        let replica = &self.components.replica;
        let quorum = Quorum::of(replica.view(), replica.id()).filter(|_| replica.reaches_majority());
        let announcement = change.or_else(|| self.components.registry.announcement_of(now, id));
        let (Some(quorum), Some(pending)) = (quorum, announcement.clone()) else {
            let _caller_gone = reply.send(HeartbeatResponse::Unconfirmed);
            self.announce(0, announcement);
            return;
        };
        let number = self.pending_announcements.add(now, quorum, self.peers.up(), pending, reply);
        self.announce(number, announcement);
        self.when_departures_durable(DurabilityWaiter::OwnAnnouncement { number });
        self.expire_announcements();
    }

    /// The status of this process as JSON.
    pub(super) fn status(&self) -> String {
        crate::status::status_json(&crate::status::StatusInputs {
            now: self.now(),
            address: self.components.address,
            zone: &self.components.zone,
            replica: &self.components.replica,
            registry: &self.components.registry,
            generation: self.current.as_ref().map(|current| current.version.generation),
            gateways: self.sessions.gateways().map(|gateway| gateway.node.clone()).collect(),
            fleet_gateways: self.components.gateways.total(self.now()).count,
            tenants_owned: self.components.quotas.owned_tenants(),
            peers_up: self.peers.up().count(),
            tolerated_losses: self.tolerance.required(),
            refused_epochs: self.components.quotas.refused_epochs(),
            disk_healthy: self.components.disk.as_ref().map(|_| !self.components.replica.is_disk_unhealthy()),
            rewrite_failing: self.log_rewriting.is_failing(),
        })
    }
}

/// Validates a configuration and returns its generation.
fn validate(body: &[u8]) -> Result<u64, ConfigurationError> {
    crankpick_configuration::read(body).map(|configuration| configuration.generation)
}

/// The command that replaces the configuration. Its digest doesn't depend on the formatting of the JSON.
fn replace_command(if_match: u64, generation: u64, body: &[u8]) -> Command {
    let command = Command::new(if_match, generation, body.to_vec());
    match crankpick_configuration::fingerprint(body) {
        Some(digest) => Command { digest, ..command },
        None => command,
    }
}
