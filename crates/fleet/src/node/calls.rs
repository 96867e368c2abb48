//! Calls of this process to the fleet: validated, numbered, and retried until they are answered or time out.

use std::collections::BTreeMap;

use crate::messages::{Ask, Message, Told};
use crate::state::{Command, MAX_ID_BYTES};

use super::requests::Requester;
use super::{Node, Output, Route};

/// Retry interval of an unanswered call.
pub(super) const RETRY_US: u64 = 300_000;
/// Maximum number of calls in progress: this process's own, and those of others that the leader has not
/// answered yet.
pub(super) const MAX_CALLS: usize = 1_024;
/// Maximum number of backend ids in one call.
const MAX_IDS: usize = 1_000;

const TIMED_OUT: &str = "the fleet did not answer in time: it may be agreed all the same";

struct Call {
    ask: Ask,
    expires_us: u64,
    retry_us: u64,
}

/// Unanswered calls, by number.
#[derive(Default)]
pub(super) struct Calls {
    pending: BTreeMap<u64, Call>,
    last_number: u64,
}

impl Calls {
    /// A new, unique number. Numbers start at 1.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn add(&mut self, now_us: u64, ask: Ask, patience_us: u64) -> Result<u64, String> {
        if self.pending.len() >= MAX_CALLS {
            return Err("too many calls in hand".into());
        }
        let number = self.next_number();
        self.pending.insert(number, Call { ask, expires_us: now_us + patience_us, retry_us: now_us });
        Ok(number)
    }

    /// Removes the call. Returns whether it was still waiting for its answer.
    fn complete(&mut self, number: u64) -> bool {
        self.pending.remove(&number).is_some()
    }

    fn take_expired(&mut self, now_us: u64) -> Vec<u64> {
        let expired = self.pending.iter().filter(|(_, call)| now_us >= call.expires_us);
        let expired: Vec<u64> = expired.map(|(number, _)| *number).collect();
        for number in &expired {
            self.pending.remove(number);
        }
        expired
    }

    /// The calls to be made now; each is scheduled for its next retry.
    fn take_due(&mut self, now_us: u64) -> Vec<(u64, Ask)> {
        let due = self.pending.iter_mut().filter(|(_, call)| now_us >= call.retry_us);
        due.map(|(number, call)| {
            call.retry_us = now_us + RETRY_US;
            (*number, call.ask.clone())
        })
        .collect()
    }
}

impl Node {
    /// Sends a request to the fleet. The answer arrives as `Output::Answer` with the returned number, within
    /// the given time.
    pub fn ask(&mut self, now_us: u64, ask: Ask, patience_us: u64) -> Result<u64, String> {
        check_ids(&ask)?;
        if matches!(&ask, Ask::Command(command) if !from_operator(command)) {
            return Err("no call for an operator".into());
        }
        self.call(now_us, ask, patience_us)
    }

    pub(super) fn call(&mut self, now_us: u64, ask: Ask, patience_us: u64) -> Result<u64, String> {
        let number = self.calls.add(now_us, ask, patience_us)?;
        self.retry_calls(now_us);
        Ok(number)
    }

    /// Fails the calls that have timed out and makes those that are due.
    pub(super) fn retry_calls(&mut self, now_us: u64) {
        for number in self.calls.take_expired(now_us) {
            self.outputs.push_back(Output::Answer(number, Told::NotNow(TIMED_OUT.into())));
        }
        for (number, ask) in self.calls.take_due(now_us) {
            self.make_call(now_us, number, ask);
        }
    }

    fn make_call(&mut self, now_us: u64, number: u64, ask: Ask) {
        let process = self.process.clone();
        let link = self.link_to_leader();
        if self.leader.is_some() {
            let requester = Requester { route: Route::Own, process, call: number };
            self.answer_as_leader(now_us, requester, ask);
        } else if let Some(link) = link {
            self.send(link, Message::Ask { who: process, call: number, ask });
        }
    }

    /// Handles the fleet's answer to a call of this process. A temporary failure (`NotNow`) is retried until
    /// the call times out.
    pub(super) fn complete_call(&mut self, number: u64, told: Told) {
        if !matches!(told, Told::NotNow(_)) && self.calls.complete(number) {
            self.outputs.push_back(Output::Answer(number, told));
        }
    }
}

fn check_ids(ask: &Ask) -> Result<(), String> {
    let Ask::Command(Command::Outs { ids, .. }) = ask else { return Ok(()) };
    if ids.is_empty() || ids.len() > MAX_IDS {
        return Err(format!("1 to {MAX_IDS} ids in a call"));
    }
    if ids.iter().any(|id| id.is_empty() || id.len() > MAX_ID_BYTES) {
        return Err(format!("an id is 1 to {MAX_ID_BYTES} bytes"));
    }
    Ok(())
}

/// Whether operators may give this command; all others are reserved to the leader and to duty owners.
fn from_operator(command: &Command) -> bool {
    matches!(command, Command::Outs { .. } | Command::Work { .. })
}
