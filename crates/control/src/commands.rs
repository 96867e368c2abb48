//! Commands: from the process that took one to the head, and the answer back.
//!
//! A refusal is a promise that the command will never be taken, so it is only said of what is committed: versions only
//! rise, and a command whose base is below the newest committed one can't be taken any more. Whatever hangs on an
//! entry in flight waits for it.

use std::sync::Arc;

use crate::message::{Body, Forward, ForwardAnswer, Sender};
use crate::options::transfer_time;
use crate::replica::{CommandId, Output, Replica};
use crate::types::{Command, Now, Outcome};

/// Commands of this process that have no answer yet.
const SUBMITS: usize = 32;
/// Commands that wait at the head.
const WAITING: usize = 128;
/// How often a command is carried from one process to another, until it is committed.
const TRANSFERS: u32 = 4;
/// Bytes of commands that wait, in either place.
const WAITING_BYTES: usize = 24 << 20;

/// A command of this process's operator.
#[derive(Clone, Debug)]
struct Submitted {
    host_key: CommandId,
    /// Not used by an earlier incarnation.
    key: u64,
    command: Arc<Command>,
    since: Now,
    /// When and in which view it was last forwarded.
    forwarded: Option<(Now, u64)>,
}

/// The commands of this process that have no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct Submits {
    next_key: u64,
    submitted: Vec<Submitted>,
}

impl Submits {
    pub(crate) fn new(first_key: u64) -> Self {
        Submits { next_key: first_key, submitted: Vec::new() }
    }
}

/// A command at the head that waits until an entry is committed.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    from: Sender,
    forward: Forward,
    /// The entry.
    position: u64,
}

impl Replica {
    pub(crate) fn submit(&mut self, host_key: CommandId, command: Arc<Command>) {
        let bytes: usize = self.submits.submitted.iter().map(|known| known.command.bytes.len()).sum();
        if self.submits.submitted.len() >= SUBMITS || bytes + command.bytes.len() > WAITING_BYTES {
            return self.output(Output::Answer { key: host_key, outcome: Outcome::Unknown });
        }
        let key = self.submits.next_key;
        self.submits.next_key += 1;
        let since = self.now;
        self.submits.submitted.push(Submitted { host_key, key, command, since, forwarded: None });
        self.drive_submits();
    }

    /// Forwards what is due; what had no answer for too long is unclear.
    pub(crate) fn drive_submits(&mut self) {
        if self.submits.submitted.is_empty() {
            return;
        }
        let (now, timing) = (self.now, self.options.timing);
        let mut unclear = Vec::new();
        self.submits.submitted.retain(|submitted| {
            let kept = now < submitted.since + timing.submit;
            unclear.extend((!kept).then_some(submitted.host_key));
            kept
        });
        for key in unclear {
            self.output(Output::Answer { key, outcome: Outcome::Unknown });
        }
        let epoch = self.view.epoch;
        let Some(head) = self.view.head().and_then(|id| self.view.member(id)) else { return };
        let head = Sender { id: head.id, address: head.address };
        let mut due = Vec::new();
        for submitted in &mut self.submits.submitted {
            // Down the chain and back: sent again while it is on its way, a large command would only fill the link.
            let on_its_way = transfer_time(submitted.command.bytes.len()) * TRANSFERS;
            let again_after = timing.forward_retry + on_its_way;
            let waits = submitted.forwarded.is_some_and(|(at, last)| last == epoch && now < at + again_after);
            if !waits {
                submitted.forwarded = Some((now, epoch));
                due.push(Forward { epoch, key: submitted.key, command: submitted.command.clone() });
            }
        }
        for forward in due {
            self.send(head, Body::Forward(forward));
        }
    }

    pub(crate) fn on_forward(&mut self, from: Sender, forward: Forward) {
        if forward.epoch != self.view.epoch || !self.accepts_commands() {
            return;
        }
        self.consider(from, forward);
    }

    /// Takes a command, refuses it, or lets it wait for an entry in flight.
    fn consider(&mut self, from: Sender, forward: Forward) {
        let command = &forward.command;
        let current = self.state.generation();
        let committed = self.chain.committed.position;
        if let Some(change) = self.state.find(command) {
            if change.id.position <= committed {
                self.check_acknowledged(command);
                return self.answer(from, &forward, Outcome::Committed);
            }
            return self.wait(from, forward, change.id.position);
        }
        if command.if_match == current && command.generation > current && !command.is_inquiry() {
            if let Some(id) = self.append_command(command.clone()) {
                self.wait(from, forward, id.position);
            }
            return;
        }
        let last = self.state.last().position;
        if last > committed {
            return self.wait(from, forward, last);
        }
        let unknown =
            self.state.has_forgotten(command) || (command.is_inquiry() && command.if_match >= current);
        let outcome = if unknown { Outcome::Unknown } else { refusal(command, current) };
        self.answer(from, &forward, outcome);
    }

    fn wait(&mut self, from: Sender, forward: Forward, position: u64) {
        let known = self.waiting.iter().any(|known| known.from == from && known.forward.key == forward.key);
        let bytes: usize = self.waiting.iter().map(|known| known.forward.command.bytes.len()).sum();
        let fits = self.waiting.len() < WAITING && bytes + forward.command.bytes.len() <= WAITING_BYTES;
        if !known && fits {
            self.waiting.push(Waiting { from, forward, position });
        }
    }

    /// Answers what waited for entries that are committed now.
    pub(crate) fn answer_waiting(&mut self) {
        if self.waiting.is_empty() || !self.accepts_commands() {
            return;
        }
        let committed = self.chain.committed.position;
        let (due, kept) =
            std::mem::take(&mut self.waiting).into_iter().partition(|waiting| waiting.position <= committed);
        self.waiting = kept;
        let due: Vec<Waiting> = due;
        for waiting in due {
            self.consider(waiting.from, waiting.forward);
        }
    }

    fn answer(&mut self, to: Sender, forward: &Forward, outcome: Outcome) {
        let answer = ForwardAnswer { epoch: forward.epoch, key: forward.key, outcome };
        self.send(to, Body::ForwardAnswer(answer));
    }

    pub(crate) fn on_forward_answer(&mut self, answer: ForwardAnswer) {
        let found = self.submits.submitted.iter().position(|submitted| submitted.key == answer.key);
        let Some(place) = found else { return };
        let forwarded = self.submits.submitted[place].forwarded.map(|(_, epoch)| epoch);
        // Once it was forwarded to another head, a refusal by the first one binds nobody.
        if answer.outcome == Outcome::Committed || forwarded == Some(answer.epoch) {
            let submitted = self.submits.submitted.swap_remove(place);
            self.output(Output::Answer { key: submitted.host_key, outcome: answer.outcome });
        }
    }
}

/// Why a command isn't taken on top of the committed state. One that builds on a version not known yet may still be
/// taken from another message, so it is unclear.
fn refusal(command: &Command, current: u64) -> Outcome {
    if command.if_match < current {
        Outcome::Conflict { current }
    } else if command.if_match == current {
        Outcome::Invalid { current }
    } else {
        Outcome::Unknown
    }
}
