//! The operator's calls that wait for their answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crankpick_configuration::Patch;
use crankpick_control::{Command, CommandId, Entry, Now, Outcome, Replica};
use tokio::sync::oneshot;

use crate::event::{GetAnswer, PutAnswer};

/// A read that can't be answered by then is given back: its caller goes on to another process after a second.
const READ_PATIENCE: Duration = Duration::from_millis(900);
/// A command that is under way where no majority is within reach is given back after it: well before its caller's
/// second of silence is over.
const ISOLATED_PATIENCE: Duration = Duration::from_millis(400);
/// Orders under way at a time.
const ORDERS: usize = 256;
/// Reads under way at a time.
const READS: usize = 256;
/// Patches at a time whose base isn't known here yet.
const PATCHES: usize = 32;

/// Calls of the operator that wait.
#[derive(Default)]
pub struct Operator {
    commands: BTreeMap<CommandId, PendingOrder>,
    last_key: u64,
    reads: Vec<Read>,
    patches: Vec<PendingPatch>,
}

/// A patch whose base is not known here yet.
pub struct PendingPatch {
    /// When it came.
    pub since: Now,
    /// The version that it builds on.
    pub if_match: u64,
    /// What it changes.
    pub patch: Patch,
    /// Where the answer goes.
    pub reply: oneshot::Sender<PutAnswer>,
}

/// What a patch becomes at a process, by the newest configuration that it knows to be committed.
pub enum PatchStep {
    /// A command for the head.
    Submit(Command),
    /// An answer at once.
    Answer(PutAnswer),
    /// Its base may still come.
    Wait,
}

struct PendingOrder {
    since: Now,
    reply: oneshot::Sender<PutAnswer>,
}

struct Read {
    since: Now,
    reply: oneshot::Sender<GetAnswer>,
}

impl Operator {
    /// A command is to be handed to the replica under this key; `None` where it is answered already: too many wait, or
    /// nobody who could take it is within reach.
    pub fn begin_command(
        &mut self,
        now: Now,
        replica: &Replica,
        reply: oneshot::Sender<PutAnswer>,
    ) -> Option<CommandId> {
        self.commands.retain(|_, command| !command.reply.is_closed());
        if self.commands.len() >= ORDERS || is_cut_off(replica) {
            let _gone = reply.send(PutAnswer::Unclear);
            return None;
        }
        self.last_key += 1;
        let key = CommandId(self.last_key);
        self.commands.insert(key, PendingOrder { since: now, reply });
        Some(key)
    }

    /// Gives back the orders that can't be answered for want of a majority. They may still be taken.
    pub fn expire_commands(&mut self, now: Now, replica: &Replica) {
        if self.commands.is_empty() || replica.view().epoch == 0 || replica.reaches_majority() {
            return;
        }
        let late = |command: &PendingOrder| now >= command.since + ISOLATED_PATIENCE;
        let late: Vec<CommandId> =
            self.commands.iter().filter(|(_, command)| late(command)).map(|(key, _)| *key).collect();
        for key in late {
            self.end_command(key, Outcome::Unknown);
        }
    }

    /// What became of a command.
    pub fn end_command(&mut self, key: CommandId, outcome: Outcome) {
        let Some(command) = self.commands.remove(&key) else { return };
        let answer = match outcome {
            Outcome::Committed => PutAnswer::Taken,
            Outcome::Conflict { .. } => PutAnswer::Conflict,
            Outcome::Invalid { .. } => PutAnswer::Invalid("generation is not above the current one".into()),
            Outcome::Unknown => PutAnswer::Unclear,
        };
        let _gone = command.reply.send(answer);
    }

    /// Keeps a patch until its base is known here.
    pub fn hold_patch(&mut self, pending: PendingPatch) {
        if self.patches.len() >= PATCHES {
            let _gone = pending.reply.send(PutAnswer::Unclear);
            return;
        }
        self.patches.push(pending);
    }

    /// The patches that are held, to be looked at again.
    pub fn take_patches(&mut self) -> Vec<PendingPatch> {
        std::mem::take(&mut self.patches)
    }

    /// A read: answered once this replica surely knows all that was acknowledged before it came.
    pub fn begin_read(&mut self, now: Now, reply: oneshot::Sender<GetAnswer>) {
        if self.reads.len() >= READS {
            let _gone = reply.send(GetAnswer::Unclear);
            return;
        }
        self.reads.push(Read { since: now, reply });
    }

    /// Answers the reads that can be answered by now.
    pub fn settle_reads(&mut self, now: Now, replica: &Replica) {
        if self.reads.is_empty() {
            return;
        }
        let fresh_as_of = replica.freshness(now).map(|age| now.saturating_sub(age));
        let unanswerable = unanswerable(replica);
        for read in std::mem::take(&mut self.reads) {
            let known = fresh_as_of.is_some_and(|moment| moment >= read.since);
            let answer = if known {
                newest(replica.newest_committed())
            } else if let Some(answer) = &unanswerable {
                answer.clone()
            } else if now.saturating_sub(read.since) >= READ_PATIENCE {
                GetAnswer::Unclear
            } else {
                self.reads.push(read);
                continue;
            };
            let _gone = read.reply.send(answer);
        }
    }
}

/// What to do with a patch. A committed version is one configuration, whoever holds it: what a patch makes of it is the
/// same everywhere, and a patch that it refuses can never be taken. Where the base is no longer at hand, the head is
/// asked whether the patch was taken.
pub fn patch_step(pending: &PendingPatch, now: Now, replica: &Replica, longest: usize) -> PatchStep {
    let newest = replica.newest_committed();
    let generation = newest.map_or(0, |entry| entry.command.generation);
    let PendingPatch { if_match, patch, .. } = pending;
    let (if_match, digest) = (*if_match, patch.fingerprint());
    if generation > if_match {
        return PatchStep::Submit(Command::inquiry(if_match, patch.generation(), digest));
    }
    if let Some(base) = newest.filter(|_| generation == if_match) {
        return match patch.apply(&base.command.bytes) {
            Ok(bytes) if bytes.len() > longest => {
                let text = format!("the configuration would have {} bytes, over {longest}", bytes.len());
                PatchStep::Answer(PutAnswer::Invalid(text))
            }
            Ok(bytes) => {
                PatchStep::Submit(Command { if_match, generation: patch.generation(), digest, bytes })
            }
            Err(wrong) => PatchStep::Answer(PutAnswer::Invalid(wrong.to_string())),
        };
    }
    match unanswerable(replica) {
        Some(GetAnswer::Elsewhere(member)) => PatchStep::Answer(PutAnswer::Elsewhere(member)),
        Some(_) => PatchStep::Answer(PutAnswer::Unclear),
        None if now.saturating_sub(pending.since) >= READ_PATIENCE => PatchStep::Answer(PutAnswer::Unclear),
        None => PatchStep::Wait,
    }
}

fn newest(entry: Option<&Arc<Entry>>) -> GetAnswer {
    match entry {
        Some(entry) => GetAnswer::Document(Bytes::copy_from_slice(&entry.command.bytes)),
        None => GetAnswer::Nothing,
    }
}

/// Whether a command can't get to anyone who could take it: neither a majority of the members nor another member that
/// heads the chain is within reach. While no view is known nobody can tell.
fn is_cut_off(replica: &Replica) -> bool {
    let view = replica.view();
    let head_reached = view.head().is_some_and(|head| head != replica.id() && replica.reaches(head));
    view.epoch > 0 && !replica.reaches_majority() && !head_reached
}

/// What is said at once to a read that this replica can't answer: without a majority it is never fresh, and outside
/// the chain it sends readers to a replica that it reaches, the tail first.
fn unanswerable(replica: &Replica) -> Option<GetAnswer> {
    if !replica.reaches_majority() {
        return Some(GetAnswer::Unclear);
    }
    if replica.in_chain() {
        return None;
    }
    let view = replica.view();
    let reached = view.chain.iter().rev().find(|id| replica.reaches(**id));
    let member = reached.and_then(|id| view.member(*id));
    Some(member.map_or(GetAnswer::Unclear, |member| GetAnswer::Elsewhere(member.address)))
}
