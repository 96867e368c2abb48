//! Simulated operators: they submit changes to random processes, retry without a definite answer, and submit
//! rival commands.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crankpick_control::{Command, CommandId, Input, Outcome};

use super::machine::Node;
use super::{command, is_refusal, ms, Simulation};

/// How long a caller waits for an answer before it tries another process.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long after its first attempt a caller gives up.
const CALL_TIMEOUT: Duration = Duration::from_millis(9000);

/// The reason for which an operator wakes.
#[derive(Clone, Copy, Debug)]
pub enum Wake {
    /// Submit the next command.
    New,
    /// Check whether a call was answered, and retry it otherwise.
    CheckAnswer { call: usize, attempt: u64 },
}

/// A submitted command and its outcome.
#[derive(Debug)]
pub struct Call {
    pub command: Arc<Command>,
    pub since: Duration,
    attempt: u64,
    pub ended: Option<(Duration, Option<Outcome>)>,
}

/// The state of all operators.
#[derive(Default)]
pub struct Operators {
    pub calls: Vec<Call>,
    /// The newest version known to the operators.
    known: u64,
    next_key: u64,
    keys: HashMap<u64, (usize, u64, usize)>,
    salt: u64,
    /// A node to which operators submit nothing.
    pub avoided_node: Option<usize>,
    /// Answers lost, per hundred.
    pub answers_lost: u64,
    /// The mean interval between changes; no changes if zero.
    pub interval: Duration,
}

impl Operators {
    /// Drops the pending calls to a process that died: they get no answer.
    pub fn drop_calls_to(&mut self, index: usize) {
        self.keys.retain(|_, (_, _, at)| *at != index);
    }
}

impl Simulation {
    pub fn wake_operator(&mut self, wake: Wake) {
        match wake {
            Wake::New => {
                self.send_random_command();
                let interval = self.operators.interval;
                if interval > Duration::ZERO {
                    let pause = interval / 2
                        + Duration::from_micros(self.random.u64(0..=interval.as_micros() as u64));
                    self.wake_operator_at(self.now + pause, Wake::New);
                }
            }
            Wake::CheckAnswer { call, attempt } => self.check_answer(call, attempt),
        }
    }

    fn send_random_command(&mut self) {
        let base = self.operators.known;
        let step = self.random.u64(1..4);
        match self.random.u32(0..100) {
            0..=59 => self.submit_new(base, base + step),
            60..=79 => {
                let other = base + step + self.random.u64(0..2);
                self.submit_new(base, base + step);
                self.submit_new(base, other);
            }
            80..=86 => self.resubmit_earlier(),
            87..=90 => self.submit_new(base, base),
            91..=95 => self.submit_new(base.saturating_sub(step), base + 1),
            _ => self.submit_new(base + step, base + 5),
        }
    }

    /// Submits a new change.
    pub fn submit_new(&mut self, if_match: u64, generation: u64) {
        self.trigger_on_change();
        self.operators.salt += 1;
        let command = command(if_match, generation, self.operators.salt);
        self.call(command);
    }

    /// Submits a random earlier change again.
    fn resubmit_earlier(&mut self) {
        if self.operators.calls.is_empty() {
            return;
        }
        let call = self.random.usize(0..self.operators.calls.len());
        self.call(self.operators.calls[call].command.clone());
    }

    fn call(&mut self, command: Arc<Command>) {
        let since = self.now;
        self.operators.calls.push(Call { command, since, attempt: 0, ended: None });
        self.try_call(self.operators.calls.len() - 1);
    }

    fn try_call(&mut self, call: usize) {
        let mut index = self.random.usize(0..self.nodes.len());
        if self.operators.avoided_node == Some(index) {
            index = (index + 1) % self.nodes.len();
        }
        let operators = &mut self.operators;
        operators.calls[call].attempt += 1;
        let attempt = operators.calls[call].attempt;
        let key = operators.next_key;
        operators.next_key += 1;
        let command = operators.calls[call].command.clone();
        let node = &self.nodes[index];
        let refused = node.replica.is_none();
        let timeout = if refused { ms(50) } else { ANSWER_TIMEOUT };
        if !refused && !node.frozen {
            operators.keys.insert(key, (call, attempt, index));
            match resolve_patch(node, &command) {
                Some(command) => self.input(index, Input::Submit { key: CommandId(key), command }),
                None => self.operator_answered(index, CommandId(key), Outcome::Unknown),
            }
        }
        self.wake_operator_at(self.now + timeout, Wake::CheckAnswer { call, attempt });
    }

    fn check_answer(&mut self, call: usize, attempt: u64) {
        let now = self.now;
        let known = &mut self.operators.calls[call];
        if known.ended.is_some() || known.attempt != attempt {
            return;
        }
        if now >= known.since + CALL_TIMEOUT {
            known.ended = Some((now, None));
            return;
        }
        self.try_call(call);
    }

    pub fn operator_answered(&mut self, index: usize, key: CommandId, outcome: Outcome) {
        let now = self.now;
        let lost = self.random.u64(0..100) < self.operators.answers_lost;
        let Some((call, attempt, at)) = self.operators.keys.remove(&key.0) else { return };
        assert_eq!(at, index, "answered where it was submitted");
        let known = &mut self.operators.calls[call];
        let current = known.attempt == attempt && known.ended.is_none();
        if lost || !current {
            return;
        }
        let command = known.command.clone();
        match outcome {
            Outcome::Unknown => {
                self.wake_operator_at(now + ms(100), Wake::CheckAnswer { call, attempt });
                return;
            }
            Outcome::Committed => {
                if self.checks_copies_on_acknowledgement {
                    self.check_copies("acknowledged", &command);
                }
                self.checks.acknowledged(now, &command);
                self.trigger_on_acknowledgement();
            }
            Outcome::Conflict { .. } | Outcome::Invalid { .. } => self.checks.refused(now, &command),
        }
        finish_call(self, call, now, outcome);
    }
}

/// Treats half of the commands as patches, whose resolution depends on the newest version that the process
/// knows to be committed. If that is past the base of the patch, the process can only inquire whether the
/// patch was committed; if it is before the base, there is nothing to patch and the result is `None`.
fn resolve_patch(node: &Node, command: &Arc<Command>) -> Option<Arc<Command>> {
    let is_patch = command.digest.is_multiple_of(2);
    let newest = node.replica.as_ref().and_then(|replica| replica.newest_committed());
    let known = newest.map_or(0, |entry| entry.command.generation);
    if !is_patch || known == command.if_match {
        return Some(command.clone());
    }
    (known > command.if_match)
        .then(|| Arc::new(Command::inquiry(command.if_match, command.generation, command.digest)))
}

fn finish_call(sim: &mut Simulation, call: usize, now: Duration, outcome: Outcome) {
    let operators = &mut sim.operators;
    operators.calls[call].ended = Some((now, Some(outcome)));
    let newest = match outcome {
        Outcome::Committed => operators.calls[call].command.generation,
        Outcome::Conflict { current } | Outcome::Invalid { current } => current,
        Outcome::Unknown => 0,
    };
    operators.known = operators.known.max(newest);
    debug_assert!(is_refusal(outcome) || outcome == Outcome::Committed);
}
