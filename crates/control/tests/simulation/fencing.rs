//! Checks that no process reuses an epoch or ballot that it was told is refused.

use std::collections::HashMap;

use crankpick_control::{Ballot, Body, Message};

/// A process start: the index of its node and the number of the start.
pub type ProcessStart = (usize, u64);

/// What each process has learned: the newest epoch, and the refused ballots.
#[derive(Default)]
pub struct FencingChecks {
    epochs: HashMap<ProcessStart, u64>,
    ballots: HashMap<ProcessStart, Vec<Ballot>>,
    pub refusals: u64,
}

impl FencingChecks {
    /// Records a message that a process received.
    pub fn received(&mut self, start_number: ProcessStart, message: &Message) {
        match &message.body {
            Body::Decide(view) => {
                let told = self.epochs.entry(start_number).or_default();
                *told = view.epoch.max(*told);
                self.refusals += 1;
            }
            Body::Nack(nack) => {
                self.ballots.entry(start_number).or_default().push(nack.refused);
                self.refusals += 1;
            }
            _ => {}
        }
    }

    /// Describes the breach if a sent message uses a refused epoch or ballot.
    pub fn reused(&self, start_number: ProcessStart, message: &Message) -> Option<String> {
        let told = self.epochs.get(&start_number).copied().unwrap_or_default();
        if let Some(epoch) = epoch_of(&message.body).filter(|epoch| *epoch < told) {
            return Some(format!("node {} uses epoch {epoch}, was told {told}", start_number.0));
        }
        let refused = self.ballots.get(&start_number).map_or(&[][..], Vec::as_slice);
        let ballot = ballot_of(&message.body).filter(|ballot| refused.contains(ballot))?;
        Some(format!("node {} uses {ballot:?} again", start_number.0))
    }
}

/// The epoch of a command, request or heartbeat, if the message has one.
fn epoch_of(body: &Body) -> Option<u64> {
    match body {
        Body::Heartbeat(heartbeat) => Some(heartbeat.epoch),
        Body::Append(append) => Some(append.epoch),
        Body::Commit(commit) => Some(commit.epoch),
        Body::Forward(forward) => Some(forward.epoch),
        Body::CatchUp(request) => Some(request.epoch),
        _ => None,
    }
}

fn ballot_of(body: &Body) -> Option<Ballot> {
    match body {
        Body::Prepare(prepare) => Some(prepare.ballot),
        Body::Install(install) => Some(install.ballot),
        Body::Accept(accept) => Some(accept.ballot),
        _ => None,
    }
}
