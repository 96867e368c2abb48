//! Operators: they send changes to any process, send the same again where no clear answer came, and race each other.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crankpick_control::{Command, CommandId, Input, Outcome};

use super::machine::Node;
use super::{command, is_refusal, ms, World};

/// A caller waits so long for an answer, then tries another process.
const PATIENCE: Duration = Duration::from_millis(1000);
/// It gives up after so long.
const GIVES_UP: Duration = Duration::from_millis(9000);

/// Why an operator wakes.
#[derive(Clone, Copy, Debug)]
pub enum Wake {
    /// To send something new.
    New,
    /// To see whether a call was answered.
    Look { call: usize, attempt: u64 },
}

/// One change on its way.
#[derive(Debug)]
pub struct Call {
    pub command: Arc<Command>,
    pub since: Duration,
    attempt: u64,
    pub ended: Option<(Duration, Option<Outcome>)>,
}

/// All operators.
#[derive(Default)]
pub struct Operators {
    pub calls: Vec<Call>,
    /// The newest version that an operator knows of.
    known: u64,
    next_key: u64,
    keys: HashMap<u64, (usize, u64, usize)>,
    salt: u64,
    /// Operators don't call this one.
    pub avoid: Option<usize>,
    /// Of a hundred answers.
    pub answers_lost: u64,
    /// Changes come at such intervals; none if zero.
    pub interval: Duration,
}

impl Operators {
    /// Whoever called a process that died hears nothing.
    pub fn lose(&mut self, place: usize) {
        self.keys.retain(|_, (_, _, at)| *at != place);
    }
}

impl World {
    pub fn operator_wakes(&mut self, wake: Wake) {
        match wake {
            Wake::New => {
                self.send_something();
                let interval = self.operators.interval;
                if interval > Duration::ZERO {
                    let pause = interval / 2
                        + Duration::from_micros(self.random.u64(0..=interval.as_micros() as u64));
                    self.wake_operator_at(self.now + pause, Wake::New);
                }
            }
            Wake::Look { call, attempt } => self.look(call, attempt),
        }
    }

    fn send_something(&mut self) {
        let base = self.operators.known;
        let step = self.random.u64(1..4);
        match self.random.u32(0..100) {
            0..=59 => self.call_new(base, base + step),
            60..=79 => {
                let other = base + step + self.random.u64(0..2);
                self.call_new(base, base + step);
                self.call_new(base, other);
            }
            80..=86 => self.call_old(),
            87..=90 => self.call_new(base, base),
            91..=95 => self.call_new(base.saturating_sub(step), base + 1),
            _ => self.call_new(base + step, base + 5),
        }
    }

    /// Sends a new change.
    pub fn call_new(&mut self, if_match: u64, generation: u64) {
        self.strike_after_a_change();
        self.operators.salt += 1;
        let command = command(if_match, generation, self.operators.salt);
        self.call(command);
    }

    /// Sends an earlier change again.
    fn call_old(&mut self) {
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
        let mut place = self.random.usize(0..self.nodes.len());
        if self.operators.avoid == Some(place) {
            place = (place + 1) % self.nodes.len();
        }
        let operators = &mut self.operators;
        operators.calls[call].attempt += 1;
        let attempt = operators.calls[call].attempt;
        let key = operators.next_key;
        operators.next_key += 1;
        let command = operators.calls[call].command.clone();
        let node = &self.nodes[place];
        let refused = node.replica.is_none();
        let patience = if refused { ms(50) } else { PATIENCE };
        if !refused && !node.frozen {
            operators.keys.insert(key, (call, attempt, place));
            match as_taken_up(node, &command) {
                Some(command) => self.input(place, Input::Submit { key: CommandId(key), command }),
                None => self.operator_answered(place, CommandId(key), Outcome::Unknown),
            }
        }
        self.wake_operator_at(self.now + patience, Wake::Look { call, attempt });
    }

    fn look(&mut self, call: usize, attempt: u64) {
        let now = self.now;
        let known = &mut self.operators.calls[call];
        if known.ended.is_some() || known.attempt != attempt {
            return;
        }
        if now >= known.since + GIVES_UP {
            known.ended = Some((now, None));
            return;
        }
        self.try_call(call);
    }

    pub fn operator_answered(&mut self, place: usize, key: CommandId, outcome: Outcome) {
        let now = self.now;
        let lost = self.random.u64(0..100) < self.operators.answers_lost;
        let Some((call, attempt, at)) = self.operators.keys.remove(&key.0) else { return };
        assert_eq!(at, place, "answered where it was submitted");
        let known = &mut self.operators.calls[call];
        let current = known.attempt == attempt && known.ended.is_none();
        if lost || !current {
            return;
        }
        let command = known.command.clone();
        match outcome {
            Outcome::Unknown => {
                self.wake_operator_at(now + ms(100), Wake::Look { call, attempt });
                return;
            }
            Outcome::Committed => {
                if self.counts_copies_again {
                    self.check_copies("acknowledged", &command);
                }
                self.checks.acknowledged(now, &command);
                self.strike_after_an_acknowledgement();
            }
            Outcome::Conflict { .. } | Outcome::Invalid { .. } => self.checks.refused(now, &command),
        }
        known_end(self, call, now, outcome);
    }
}

/// Half of the commands are patches: what a process makes of one depends on the newest version that it knows to be
/// committed. Past the patch's base it can only ask whether the patch was taken, before it there is nothing to patch.
fn as_taken_up(node: &Node, command: &Arc<Command>) -> Option<Arc<Command>> {
    let is_patch = command.digest.is_multiple_of(2);
    let newest = node.replica.as_ref().and_then(|replica| replica.newest_committed());
    let known = newest.map_or(0, |entry| entry.command.generation);
    if !is_patch || known == command.if_match {
        return Some(command.clone());
    }
    (known > command.if_match)
        .then(|| Arc::new(Command::inquiry(command.if_match, command.generation, command.digest)))
}

fn known_end(world: &mut World, call: usize, now: Duration, outcome: Outcome) {
    let operators = &mut world.operators;
    operators.calls[call].ended = Some((now, Some(outcome)));
    let newest = match outcome {
        Outcome::Committed => operators.calls[call].command.generation,
        Outcome::Conflict { current } | Outcome::Invalid { current } => current,
        Outcome::Unknown => 0,
    };
    operators.known = operators.known.max(newest);
    debug_assert!(is_refusal(outcome) || outcome == Outcome::Committed);
}
