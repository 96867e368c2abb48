//! Calls of the operator and of backends.

use crankpick_configuration::{ConfigurationError, Patch};
use crankpick_control::{Command, Input};
use crankpick_registry::{Announcement, HeartbeatError, HeartbeatState, RegistrationOutcome};
use tokio::sync::oneshot;

use super::Host;
use crate::api::LONGEST_CONFIGURATION;
use crate::event::{Call, HeartbeatAnswer, PutAnswer};
use crate::operator::{patch_step, PatchStep, PendingPatch};
use crate::quorum::Quorum;

impl Host {
    pub(super) fn call(&mut self, call: Call) {
        let now = self.now();
        match call {
            Call::Put { if_match, body, reply } => self.put(if_match, &body, reply),
            Call::Patch { if_match, body, reply } => self.patch(if_match, &body, reply),
            Call::Get { reply } => {
                self.operator.begin_read(now, reply);
                self.operator.settle_reads(now, &self.parts.replica);
            }
            Call::Heartbeat { id, heartbeat, reply } => {
                let draining = heartbeat.state == HeartbeatState::Draining;
                let heard = self.parts.registry.heartbeat(now, &id, heartbeat);
                self.heard(&id, heard, draining, reply);
            }
            Call::Leave { id, reply } => {
                let heard = self.parts.registry.leave(now, &id);
                self.heard(&id, heard, true, reply);
            }
            Call::Status { reply } => {
                let _gone = reply.send(self.status());
            }
        }
    }

    pub(super) fn put(&mut self, if_match: u64, body: &[u8], reply: oneshot::Sender<PutAnswer>) {
        let generation = match check(body) {
            Ok(generation) => generation,
            Err(wrong) => {
                let _gone = reply.send(PutAnswer::Invalid(wrong.to_string()));
                return;
            }
        };
        let Some(key) = self.operator.begin_command(self.now(), &self.parts.replica, reply) else { return };
        let command = command(if_match, generation, body);
        self.replica(Input::Submit { key, command: command.into() });
    }

    fn patch(&mut self, if_match: u64, body: &[u8], reply: oneshot::Sender<PutAnswer>) {
        match Patch::read(body) {
            Ok(patch) => self.drive_patch(PendingPatch { since: self.now(), if_match, patch, reply }),
            Err(wrong) => {
                let _gone = reply.send(PutAnswer::Invalid(wrong.to_string()));
            }
        }
    }

    /// Looks again at the patches whose base was not known here.
    pub(super) fn drive_patches(&mut self) {
        for pending in self.operator.take_patches() {
            self.drive_patch(pending);
        }
    }

    fn drive_patch(&mut self, pending: PendingPatch) {
        let now = self.now();
        match patch_step(&pending, now, &self.parts.replica, LONGEST_CONFIGURATION) {
            PatchStep::Submit(command) => {
                let begun = self.operator.begin_command(now, &self.parts.replica, pending.reply);
                if let Some(key) = begun {
                    self.replica(Input::Submit { key, command: command.into() });
                }
            }
            PatchStep::Answer(answer) => {
                let _gone = pending.reply.send(answer);
            }
            PatchStep::Wait => self.operator.hold_patch(pending),
        }
    }

    /// Spreads what a backend said. One that drains or leaves is acknowledged once a majority of the members has the
    /// word, any other one at once. Whatever a process says that reaches no majority, it does not acknowledge: the
    /// backend goes to another one.
    pub(super) fn heard(
        &mut self,
        id: &str,
        heard: Result<RegistrationOutcome, HeartbeatError>,
        ending: bool,
        reply: oneshot::Sender<HeartbeatAnswer>,
    ) {
        let heard = match heard {
            Ok(heard) => heard,
            Err(wrong) => {
                let _gone = reply.send(HeartbeatAnswer::Refused(wrong));
                return;
            }
        };
        if ending {
            self.spread_ending(id, heard.announcement, reply);
        } else {
            let contact = self.parts.replica.reaches_majority();
            let _gone = reply.send(if contact {
                HeartbeatAnswer::Acknowledged
            } else {
                HeartbeatAnswer::Unconfirmed
            });
            self.flood(0, heard.announcement);
        }
        if heard.changed {
            self.push();
        }
    }

    /// Spreads the word of a backend that drains or leaves, also where it is not news here: an earlier copy may not
    /// have reached a majority.
    pub(super) fn spread_ending(
        &mut self,
        id: &str,
        news: Option<Announcement>,
        reply: oneshot::Sender<HeartbeatAnswer>,
    ) {
        let now = self.now();
        let replica = &self.parts.replica;
        let quorum = Quorum::of(replica.view(), replica.id()).filter(|_| replica.reaches_majority());
        let announcement = news.or_else(|| self.parts.registry.announcement_of(now, id));
        let (Some(quorum), Some(word)) = (quorum, announcement.clone()) else {
            let _gone = reply.send(HeartbeatAnswer::Unconfirmed);
            self.flood(0, announcement);
            return;
        };
        let number = self.floods.begin(now, quorum, self.peers.up(), word, reply);
        self.flood(number, announcement);
        self.settle_floods();
    }

    pub(super) fn status(&self) -> String {
        crate::status::describe(&crate::status::Facts {
            now: self.now(),
            address: self.parts.address,
            zone: &self.parts.zone,
            replica: &self.parts.replica,
            registry: &self.parts.registry,
            generation: self.current.as_ref().map(|current| current.mark.generation),
            gateways: self.sessions.gateways().map(|gateway| gateway.node.clone()).collect(),
            fleet_gateways: self.parts.gateways.total(self.now()).count,
            tenants_owned: self.parts.quotas.owned(),
            peers_up: self.peers.up().count(),
            tolerated_losses: self.resilience.asked(),
        })
    }
}

/// The version of a configuration that is valid by itself.
fn check(body: &[u8]) -> Result<u64, ConfigurationError> {
    crankpick_configuration::read(body).map(|configuration| configuration.generation)
}

/// The command of a configuration. A copy of it that is encoded in another way is the same command.
fn command(if_match: u64, generation: u64, body: &[u8]) -> Command {
    let command = Command::new(if_match, generation, body.to_vec());
    match crankpick_configuration::fingerprint(body) {
        Some(digest) => Command { digest, ..command },
        None => command,
    }
}
