//! Creation of the replicated log: how voters with new disks start one common log, exactly once. A disk added
//! later does not vote until the existing voters admit it. Used by `node`; no I/O.

use std::collections::BTreeMap;

use crate::messages::{Roster, Seat};

/// What a voter without a log may do next.
#[derive(Debug, PartialEq)]
pub enum CreationStep {
    Wait,
    /// All voters are known and no log exists: commit to this roster on disk before sending anything else.
    CommitRoster(Roster),
    /// All voters have committed to the same roster: the log starts.
    Start(Roster),
    /// The log was created without this disk: listen until its voters admit it.
    Listen,
}

/// The other voters' last reported states. Nobody votes until every voter has committed to one roster that
/// gives each name the id of the disk that reported it. So a voter that loses its disk in between cannot vote
/// twice.
pub struct LogCreation {
    pub own: Seat,
    pub name: String,
    names: Vec<String>,
    heard: BTreeMap<String, Seat>,
}

impl LogCreation {
    pub fn new(own: Seat, name: String, names: Vec<String>) -> Self {
        LogCreation { own, name, names, heard: BTreeMap::new() }
    }

    pub fn record(&mut self, name: &str, seat: Seat) {
        if name != self.name && self.names.iter().any(|known| known == name) {
            self.heard.insert(name.to_owned(), seat);
        }
    }

    pub fn next(&self) -> CreationStep {
        let others = self.names.iter().filter(|name| **name != self.name);
        if self.heard.values().any(|seat| seat.started) {
            let started_roster =
                self.heard.values().filter(|seat| seat.started).find_map(|seat| seat.roster.clone());
            return match (&self.own.roster, started_roster) {
                (Some(own), Some(started_roster)) if *own == started_roster => {
                    CreationStep::Start(started_roster)
                }
                _ => CreationStep::Listen,
            };
        }
        let Some(seats): Option<Vec<(&String, &Seat)>> =
            others.map(|name| self.heard.get(name).map(|seat| (name, seat))).collect()
        else {
            return CreationStep::Wait;
        };
        match &self.own.roster {
            None => {
                let mut roster: Roster =
                    seats.iter().map(|(name, seat)| ((*name).clone(), seat.id)).collect();
                roster.insert(self.name.clone(), self.own.id);
                // A voter that has already committed decides the roster, if that roster names our own disk.
                match seats.iter().find_map(|(_, seat)| seat.roster.clone()) {
                    Some(committed) if committed != roster => CreationStep::Wait,
                    _ => CreationStep::CommitRoster(roster),
                }
            }
            Some(own) => {
                let has_committed = |(name, seat): &(&String, &Seat)| {
                    seat.roster.as_ref() == Some(own) && own.get(*name) == Some(&seat.id)
                };
                match seats.iter().all(has_committed) {
                    true => CreationStep::Start(own.clone()),
                    false => CreationStep::Wait,
                }
            }
        }
    }
}
