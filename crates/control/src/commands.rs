//! The commands of this process's operator that have no answer yet, and the commands at the head that wait for a commit.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::message::{Forward, Sender};
use crate::options::transfer_time;
use crate::types::{Command, CommandId, Now};

/// The most commands of this process without an answer.
const MAX_PENDING_COMMANDS: usize = 32;
/// The most commands that wait for a commit at the head.
const MAX_BLOCKED_COMMANDS: usize = 128;
/// The most transfers from one process to another that a command takes until it is committed and answered.
const MAX_TRANSFERS_PER_COMMAND: u32 = 4;
/// The most bytes of commands in either queue.
const MAX_QUEUED_COMMAND_BYTES: usize = 24 << 20;

/// When a command was last forwarded, and in which view.
#[derive(Clone, Copy, Debug)]
struct ForwardAttempt {
    at: Now,
    epoch: u64,
}

/// A command of this process's operator.
#[derive(Clone, Debug)]
struct PendingCommand {
    id: CommandId,
    /// Identifies the command to the head. No earlier incarnation of this process has used it.
    key: u64,
    command: Arc<Command>,
    submitted_at: Now,
    last_attempt: Option<ForwardAttempt>,
}

impl PendingCommand {
    /// Whether the command should be forwarded to the head of the view.
    ///
    /// It travels down the chain and back: forwarded again while it is on its way, a large one would only fill the link.
    fn is_due(&self, now: Now, epoch: u64, retry_interval: Duration) -> bool {
        let interval = retry_interval + transfer_time(self.command.bytes.len()) * MAX_TRANSFERS_PER_COMMAND;
        self.last_attempt.is_none_or(|last| last.epoch != epoch || now >= last.at + interval)
    }
}

/// The commands of this process's operator that have no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingCommands {
    next_key: u64,
    commands: Vec<PendingCommand>,
}

impl PendingCommands {
    /// An empty queue. Keys start at `first_key`.
    pub(crate) fn new(first_key: u64) -> Self {
        PendingCommands { next_key: first_key, commands: Vec::new() }
    }

    /// Whether no command waits for an answer.
    pub(crate) fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }

    /// Adds a command. False if the queue is full.
    pub(crate) fn add(&mut self, now: Now, id: CommandId, command: Arc<Command>) -> bool {
        let queued_bytes: usize = self.commands.iter().map(|pending| pending.command.bytes.len()).sum();
        let fits = queued_bytes + command.bytes.len() <= MAX_QUEUED_COMMAND_BYTES;
        if self.commands.len() >= MAX_PENDING_COMMANDS || !fits {
            return false;
        }
        let key = self.next_key;
        self.next_key += 1;
        self.commands.push(PendingCommand { id, key, command, submitted_at: now, last_attempt: None });
        true
    }

    /// Removes the commands that have had no answer for the timeout, and returns their ids.
    pub(crate) fn remove_expired(&mut self, now: Now, timeout: Duration) -> Vec<CommandId> {
        let mut expired = Vec::new();
        self.commands.retain(|pending| {
            let keep = now < pending.submitted_at + timeout;
            expired.extend((!keep).then_some(pending.id));
            keep
        });
        expired
    }

    /// The forwards that are due in the view of that epoch; notes that they are sent now.
    pub(crate) fn take_due(&mut self, now: Now, epoch: u64, retry_interval: Duration) -> Vec<Forward> {
        let mut due = Vec::new();
        for pending in &mut self.commands {
            if pending.is_due(now, epoch, retry_interval) {
                pending.last_attempt = Some(ForwardAttempt { at: now, epoch });
                due.push(Forward { epoch, key: pending.key, command: pending.command.clone() });
            }
        }
        due
    }

    /// Removes the command that a final answer of the head in that epoch's view is for, and returns its id.
    ///
    /// A commit is final whichever head reports it. A rejection is final only from the head that the command was last
    /// forwarded to: it doesn't bind another one (`docs/control.md`, "The chain").
    pub(crate) fn complete(&mut self, key: u64, epoch: u64, committed: bool) -> Option<CommandId> {
        let index = self.commands.iter().position(|pending| pending.key == key)?;
        let last_epoch = self.commands[index].last_attempt.map(|last| last.epoch);
        let is_final = committed || last_epoch == Some(epoch);
        is_final.then(|| self.commands.swap_remove(index).id)
    }
}

/// Why a head answers a command as unknown instead of taking it. `status` shows the name of the variant in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DeclineReason {
    /// The chain has fewer replicas than the losses to be tolerated ask for, and more machines are known or may come.
    TooFewReplicas,
    /// Too many commands, or too many bytes of commands, wait for a commit.
    QueueFull,
}

impl DeclineReason {
    /// All reasons.
    pub const ALL: [DeclineReason; 2] = [DeclineReason::TooFewReplicas, DeclineReason::QueueFull];

    /// The name of the reason in the status.
    pub fn name(self) -> &'static str {
        match self {
            DeclineReason::TooFewReplicas => "too_few_replicas",
            DeclineReason::QueueFull => "queue_full",
        }
    }
}

/// How often this process declined a command as the head, by the reason.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeclinedCommands {
    counts: BTreeMap<DeclineReason, u64>,
}

impl DeclinedCommands {
    /// Counts a command.
    pub(crate) fn count(&mut self, reason: DeclineReason) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// The number of commands declined for that reason since the start.
    pub(crate) fn of(&self, reason: DeclineReason) -> u64 {
        self.counts.get(&reason).copied().unwrap_or_default()
    }
}

/// A command at the head whose answer depends on an entry in flight.
#[derive(Clone, Debug)]
pub(crate) struct BlockedCommand {
    /// The process that the answer goes to.
    pub(crate) from: Sender,
    /// The command as it was forwarded.
    pub(crate) forward: Forward,
    /// The position of the entry that must be committed first.
    position: u64,
}

/// The commands at the head that wait until an entry is committed.
#[derive(Clone, Debug, Default)]
pub(crate) struct BlockedCommands {
    commands: Vec<BlockedCommand>,
}

impl BlockedCommands {
    /// Whether no command waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }

    /// Adds a command that waits for the entry at a position; one that waits already stays as it is. False if the queue is
    /// full.
    pub(crate) fn add(&mut self, from: Sender, forward: Forward, position: u64) -> bool {
        let is_same = |known: &BlockedCommand| known.from == from && known.forward.key == forward.key;
        if self.commands.iter().any(is_same) {
            return true;
        }
        let queued_bytes: usize = self.commands.iter().map(|known| known.forward.command.bytes.len()).sum();
        let fits = queued_bytes + forward.command.bytes.len() <= MAX_QUEUED_COMMAND_BYTES;
        if !fits || self.commands.len() >= MAX_BLOCKED_COMMANDS {
            return false;
        }
        self.commands.push(BlockedCommand { from, forward, position });
        true
    }

    /// Removes and returns the commands that waited for entries up to a committed position.
    pub(crate) fn take_unblocked(&mut self, committed: u64) -> Vec<BlockedCommand> {
        let (unblocked, blocked) =
            std::mem::take(&mut self.commands).into_iter().partition(|known| known.position <= committed);
        self.commands = blocked;
        unblocked
    }

    /// Drops all commands: their senders forward them to the head of the new view.
    pub(crate) fn clear(&mut self) {
        self.commands.clear();
    }
}
