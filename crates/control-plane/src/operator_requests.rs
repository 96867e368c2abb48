//! Pending requests from the operator.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crankpick_configuration::Patch;
use crankpick_control::{Command, CommandId, Departure, Entry, Now, Outcome, Replica};
use tokio::sync::oneshot;

use crate::event::{ChangeResponse, DepartureResponse, GetResponse};

/// The timeout of reads, below the one second after which callers try another process.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// The timeout of commands while no majority is reachable, well below the caller's timeout of one second.
const ISOLATED_COMMAND_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of commands in flight.
const MAX_COMMANDS: usize = 256;
/// The maximum number of reads in flight.
const MAX_READS: usize = 256;
/// The maximum number of pending declarations that a machine is gone.
const MAX_DEPARTURES: usize = 32;
/// The maximum number of patches waiting for their base version.
const MAX_DEFERRED_PATCHES: usize = 32;

/// The operator's requests in flight.
#[derive(Default)]
pub struct OperatorRequests {
    commands: BTreeMap<CommandId, PendingCommand>,
    last_key: u64,
    reads: Vec<PendingRead>,
    patches: Vec<PendingPatch>,
    departures: BTreeMap<CommandId, oneshot::Sender<DepartureResponse>>,
}

/// A patch whose base version is not known here yet.
pub struct PendingPatch {
    /// When the request was received.
    pub since: Now,
    /// The base version of the change.
    pub if_match: u64,
    /// The decoded patch.
    pub patch: Patch,
    /// The channel for the response.
    pub reply: oneshot::Sender<ChangeResponse>,
}

/// What to do with a patch, given the newest known committed configuration.
pub enum PatchAction {
    /// Submit this command.
    Submit(Command),
    /// Respond now.
    Answer(ChangeResponse),
    /// Wait: the base version may still be committed here.
    Wait,
}

struct PendingCommand {
    since: Now,
    reply: oneshot::Sender<ChangeResponse>,
}

struct PendingRead {
    since: Now,
    reply: oneshot::Sender<GetResponse>,
}

impl OperatorRequests {
    /// Registers a command, to be submitted to the replica under the returned key. Returns `None` if it was answered
    /// immediately: too many are in flight, or no process that could commit it is reachable.
    pub fn begin_command(
        &mut self,
        now: Now,
        replica: &Replica,
        reply: oneshot::Sender<ChangeResponse>,
    ) -> Option<CommandId> {
        self.commands.retain(|_, command| !command.reply.is_closed());
        if self.commands.len() >= MAX_COMMANDS || is_isolated_from_head(replica) {
            let _caller_gone = reply.send(ChangeResponse::Unknown);
            return None;
        }
        self.last_key += 1;
        let key = CommandId(self.last_key);
        self.commands.insert(key, PendingCommand { since: now, reply });
        Some(key)
    }

    /// Registers a declaration that a machine is gone, to be passed to the replica under the returned key. Returns `None`
    /// if too many are pending.
    pub fn begin_departure(&mut self, reply: oneshot::Sender<DepartureResponse>) -> Option<CommandId> {
        self.departures.retain(|_, reply| !reply.is_closed());
        if self.departures.len() >= MAX_DEPARTURES {
            let _caller_gone = reply.send(DepartureResponse::Unknown);
            return None;
        }
        self.last_key += 1;
        let key = CommandId(self.last_key);
        self.departures.insert(key, reply);
        Some(key)
    }

    /// Answers a declaration that a machine is gone.
    pub fn finish_departure(&mut self, key: CommandId, departure: Departure) {
        if let Some(reply) = self.departures.remove(&key) {
            let _caller_gone = reply.send(DepartureResponse::Answered(departure));
        }
    }

    /// Fails commands that can't complete because no majority is reachable. They may still be committed.
    pub fn expire_commands(&mut self, now: Now, replica: &Replica) {
        if self.commands.is_empty() || replica.view().epoch == 0 || replica.reaches_majority() {
            return;
        }
        let has_timed_out = |command: &PendingCommand| now >= command.since + ISOLATED_COMMAND_TIMEOUT;
        let timed_out: Vec<CommandId> =
            self.commands.iter().filter(|(_, command)| has_timed_out(command)).map(|(key, _)| *key).collect();
        for key in timed_out {
            self.finish_command(key, Outcome::Unknown);
        }
    }

    /// Answers a command by its outcome.
    pub fn finish_command(&mut self, key: CommandId, outcome: Outcome) {
        let Some(command) = self.commands.remove(&key) else { return };
        let answer = match outcome {
            Outcome::Committed => ChangeResponse::Committed,
            Outcome::Conflict { .. } => ChangeResponse::Conflict,
            Outcome::Invalid { .. } => {
                ChangeResponse::Invalid("generation is not above the current one".into())
            }
            Outcome::Unknown => ChangeResponse::Unknown,
        };
        let _caller_gone = command.reply.send(answer);
    }

    /// Answers all pending requests with an unknown outcome, because the process is shutting down.
    pub fn fail_all(&mut self) {
        for (_, command) in std::mem::take(&mut self.commands) {
            let _caller_gone = command.reply.send(ChangeResponse::Unknown);
        }
        for pending in std::mem::take(&mut self.patches) {
            let _caller_gone = pending.reply.send(ChangeResponse::Unknown);
        }
        for read in std::mem::take(&mut self.reads) {
            let _caller_gone = read.reply.send(GetResponse::Unknown);
        }
        for (_, reply) in std::mem::take(&mut self.departures) {
            let _caller_gone = reply.send(DepartureResponse::Unknown);
        }
    }

    /// Keeps a patch until its base version is known here; fails it if too many are waiting.
    pub fn defer_patch(&mut self, pending: PendingPatch) {
        if self.patches.len() >= MAX_DEFERRED_PATCHES {
            let _caller_gone = pending.reply.send(ChangeResponse::Unknown);
            return;
        }
        self.patches.push(pending);
    }

    /// Removes and returns the deferred patches, to be processed again.
    pub fn take_patches(&mut self) -> Vec<PendingPatch> {
        std::mem::take(&mut self.patches)
    }

    /// Registers a read. It is answered once this replica is known to have everything acknowledged before the read.
    pub fn begin_read(&mut self, now: Now, reply: oneshot::Sender<GetResponse>) {
        if self.reads.len() >= MAX_READS {
            let _caller_gone = reply.send(GetResponse::Unknown);
            return;
        }
        self.reads.push(PendingRead { since: now, reply });
    }

    /// Answers the reads that can be answered now, and fails those that have timed out.
    pub fn answer_reads(&mut self, now: Now, replica: &Replica) {
        if self.reads.is_empty() {
            return;
        }
        let fresh_as_of = replica.freshness(now).map(|age| now.saturating_sub(age));
        let immediate_refusal = immediate_refusal(replica);
        for read in std::mem::take(&mut self.reads) {
            let is_fresh = fresh_as_of.is_some_and(|as_of| as_of >= read.since);
            let answer = if is_fresh {
                read_response(replica.newest_committed())
            } else if let Some(answer) = &immediate_refusal {
                answer.clone()
            } else if now.saturating_sub(read.since) >= READ_TIMEOUT {
                GetResponse::Unknown
            } else {
                self.reads.push(read);
                continue;
            };
            let _caller_gone = read.reply.send(answer);
        }
    }
}

/// Decides what to do with a patch; a result longer than `max_bytes` is invalid.
///
/// A committed version is the same configuration on every replica, so applying a patch gives the same result everywhere,
/// and a patch that doesn't apply can never be committed. If the base is no longer the newest version, an inquiry is
/// submitted, and the head decides whether the patch was committed.
pub fn next_patch_action(
    pending: &PendingPatch,
    now: Now,
    replica: &Replica,
    max_bytes: usize,
) -> PatchAction {
    let newest = replica.newest_committed();
    let generation = newest.map_or(0, |entry| entry.command.generation);
    let PendingPatch { if_match, patch, .. } = pending;
    let (if_match, digest) = (*if_match, patch.fingerprint());
    if generation > if_match {
        return PatchAction::Submit(Command::inquiry(if_match, patch.generation(), digest));
    }
    if let Some(base) = newest.filter(|_| generation == if_match) {
        return match patch.apply(&base.command.bytes) {
            Ok(bytes) if bytes.len() > max_bytes => {
                let text = format!("the configuration would have {} bytes, over {max_bytes}", bytes.len());
                PatchAction::Answer(ChangeResponse::Invalid(text))
            }
            Ok(bytes) => {
                PatchAction::Submit(Command { if_match, generation: patch.generation(), digest, bytes })
            }
            Err(error) => PatchAction::Answer(ChangeResponse::Invalid(error.to_string())),
        };
    }
    match immediate_refusal(replica) {
        Some(GetResponse::Redirect(member)) => PatchAction::Answer(ChangeResponse::Redirect(member)),
        Some(_) => PatchAction::Answer(ChangeResponse::Unknown),
        None if now.saturating_sub(pending.since) >= READ_TIMEOUT => {
            PatchAction::Answer(ChangeResponse::Unknown)
        }
        None => PatchAction::Wait,
    }
}

fn read_response(entry: Option<&Arc<Entry>>) -> GetResponse {
    match entry {
        Some(entry) => GetResponse::Document(Bytes::copy_from_slice(&entry.command.bytes)),
        None => GetResponse::NotFound,
    }
}

/// Whether no process that could commit a command is reachable: neither a majority of the members nor another member that
/// is the head of the chain. False while no view is known.
fn is_isolated_from_head(replica: &Replica) -> bool {
    let view = replica.view();
    let reaches_head = view.head().is_some_and(|head| head != replica.id() && replica.reaches(head));
    view.epoch > 0 && !replica.reaches_majority() && !reaches_head
}

/// The immediate response to a read that this replica can't answer, or `None` if it may become able to. Without a majority
/// the response is unknown. Outside the chain, readers are redirected to a reachable replica, preferring the tail.
fn immediate_refusal(replica: &Replica) -> Option<GetResponse> {
    if !replica.reaches_majority() {
        return Some(GetResponse::Unknown);
    }
    if replica.in_chain() {
        return None;
    }
    let view = replica.view();
    let reached = view.chain.iter().rev().find(|id| replica.reaches(**id));
    let member = reached.and_then(|id| view.member(*id));
    Some(member.map_or(GetResponse::Unknown, |member| GetResponse::Redirect(member.address)))
}
