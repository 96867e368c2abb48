//! Commands: forwarded from the process that an operator gave one to, evaluated by the head, and answered.
//!
//! Invariant (`docs/control.md`, "The chain"): a rejection promises that the command will never be committed. So it is
//! based on committed entries alone: versions only rise, and a command whose base version is below the newest committed
//! one can't be appended any more. A command whose result depends on an entry in flight waits for that entry.

use std::sync::Arc;

use super::Replica;
use crate::commands::DeclineReason;
use crate::message::{Body, Forward, ForwardAnswer, Sender};
use crate::output::Output;
use crate::types::{Command, CommandId, Outcome};

/// The position before the first entry: a command that waits for it is evaluated as soon as the head takes commands.
const NO_ENTRY: u64 = 0;

impl Replica {
    pub(super) fn submit(&mut self, id: CommandId, command: Arc<Command>) {
        if !self.pending_commands.add(self.now, id, command) {
            return self.outbox.push(Output::Answer { key: id, outcome: Outcome::Unknown });
        }
        self.forward_pending_commands();
    }

    /// Forwards the commands that are due to the head; answers those that timed out.
    pub(super) fn forward_pending_commands(&mut self) {
        if self.pending_commands.is_empty() {
            return;
        }
        let timing = self.options.timing;
        for key in self.pending_commands.remove_expired(self.now, timing.command_timeout) {
            self.outbox.push(Output::Answer { key, outcome: Outcome::Unknown });
        }
        let Some(head) = self.view.head().and_then(|id| self.view.member(id)) else { return };
        let head = Sender::from(head);
        let epoch = self.view.epoch;
        for forward in self.pending_commands.take_due(self.now, epoch, timing.forward_retry_interval) {
            self.send(head, Body::Forward(forward));
        }
    }

    /// Takes a command as the head, or tells its sender at once why not: the sender's own timeout is the last resort.
    ///
    /// While the view opens the command waits here, since that takes milliseconds. A sealed head is about to be replaced:
    /// it keeps the command too, and its sender forwards it to the next head as soon as it learns the view.
    pub(super) fn on_forward(&mut self, from: Sender, forward: Forward) {
        if self.is_current_epoch(from, forward.epoch) && self.is_head() {
            self.take_forward(from, forward);
        }
    }

    fn take_forward(&mut self, from: Sender, forward: Forward) {
        if self.accepts_commands() {
            self.evaluate_command(from, forward);
        } else if self.is_open_head() {
            self.decline(from, &forward, DeclineReason::TooFewReplicas);
        } else {
            self.block_command(from, forward, NO_ENTRY);
        }
    }

    /// Lets a command wait until the entry at a position is committed.
    fn block_command(&mut self, from: Sender, forward: Forward, position: u64) {
        if !self.blocked_commands.add(from, forward.clone(), position) {
            self.decline(from, &forward, DeclineReason::QueueFull);
        }
    }

    fn decline(&mut self, from: Sender, forward: &Forward, reason: DeclineReason) {
        self.declined_commands.count(reason);
        self.answer_forward(from, forward, Outcome::Unknown);
    }

    /// Appends a command, answers it, or lets it wait for an entry in flight.
    fn evaluate_command(&mut self, from: Sender, forward: Forward) {
        let command = &forward.command;
        let current = self.state.generation();
        let committed = self.chain.committed.position;
        if let Some(known) = self.state.find(command) {
            if known.id.position <= committed {
                self.check_acknowledged(command);
                return self.answer_forward(from, &forward, Outcome::Committed);
            }
            return self.block_command(from, forward, known.id.position);
        }
        if command.if_match == current && command.generation > current && !command.is_inquiry() {
            // With too many entries in flight it is evaluated again after the next commit.
            let appended = self.append_command(command.clone());
            let position = appended.map_or(committed + 1, |id| id.position);
            return self.block_command(from, forward, position);
        }
        let last = self.state.last().position;
        if last > committed {
            return self.block_command(from, forward, last);
        }
        let may_be_committed =
            self.state.may_have_forgotten(command) || (command.is_inquiry() && command.if_match >= current);
        let outcome = if may_be_committed { Outcome::Unknown } else { rejection(command, current) };
        self.answer_forward(from, &forward, outcome);
    }

    /// Evaluates again the commands that waited for entries that are committed now.
    pub(super) fn resume_blocked_commands(&mut self) {
        if self.blocked_commands.is_empty() || !self.is_open_head() {
            return;
        }
        for blocked in self.blocked_commands.take_unblocked(self.chain.committed.position) {
            self.take_forward(blocked.from, blocked.forward);
        }
    }

    fn answer_forward(&mut self, to: Sender, forward: &Forward, outcome: Outcome) {
        let answer = ForwardAnswer { epoch: forward.epoch, key: forward.key, outcome };
        self.send(to, Body::ForwardAnswer(answer));
    }

    pub(super) fn on_forward_answer(&mut self, answer: ForwardAnswer) {
        let committed = answer.outcome == Outcome::Committed;
        if let Some(key) = self.pending_commands.complete(answer.key, answer.epoch, committed) {
            self.outbox.push(Output::Answer { key, outcome: answer.outcome });
        }
    }
}

/// The answer to a command that can't be appended to the committed state. One whose base version isn't known yet may
/// still be appended when another copy of it arrives, so its outcome is unknown.
fn rejection(command: &Command, current: u64) -> Outcome {
    if command.if_match < current {
        Outcome::Conflict { current }
    } else if command.if_match == current {
        Outcome::Invalid { current }
    } else {
        Outcome::Unknown
    }
}
