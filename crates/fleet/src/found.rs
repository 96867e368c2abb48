//! Creation of the replicated log: how voters with new disks start one common log, exactly once. A disk added
//! later does not vote until the existing voters admit it. Used by `node`; no I/O.

use std::collections::BTreeMap;

use crate::words::{Roster, Seat};

/// What a voter without a log may do next.
#[derive(Debug, PartialEq)]
pub enum Next {
    Wait,
    /// All voters are known and no log exists: commit to this roster on disk before sending anything else.
    Seal(Roster),
    /// All voters have committed to the same roster: the log starts.
    Start(Roster),
    /// The log was created without this disk: listen until its voters admit it.
    Listen,
}

/// The other voters' last reported states. Nobody votes until every voter has committed to one roster that
/// gives each name the id of the disk that reported it. So a voter that loses its disk in between cannot vote
/// twice.
pub struct Founding {
    pub own: Seat,
    pub name: String,
    names: Vec<String>,
    heard: BTreeMap<String, Seat>,
}

impl Founding {
    pub fn new(own: Seat, name: String, names: Vec<String>) -> Self {
        Founding { own, name, names, heard: BTreeMap::new() }
    }

    pub fn hear(&mut self, name: &str, seat: Seat) {
        if name != self.name && self.names.iter().any(|known| known == name) {
            self.heard.insert(name.to_owned(), seat);
        }
    }

    pub fn next(&self) -> Next {
        let others = self.names.iter().filter(|name| **name != self.name);
        if self.heard.values().any(|seat| seat.started) {
            let began = self.heard.values().filter(|seat| seat.started).find_map(|seat| seat.roster.clone());
            return match (&self.own.roster, began) {
                (Some(own), Some(began)) if *own == began => Next::Start(began),
                _ => Next::Listen,
            };
        }
        let Some(seats): Option<Vec<(&String, &Seat)>> =
            others.map(|name| self.heard.get(name).map(|seat| (name, seat))).collect()
        else {
            return Next::Wait;
        };
        match &self.own.roster {
            None => {
                let mut roster: Roster =
                    seats.iter().map(|(name, seat)| ((*name).clone(), seat.id)).collect();
                roster.insert(self.name.clone(), self.own.id);
                // A voter that is already bound decides the roster, if that roster names our own disk.
                match seats.iter().find_map(|(_, seat)| seat.roster.clone()) {
                    Some(sealed) if sealed != roster => Next::Wait,
                    _ => Next::Seal(roster),
                }
            }
            Some(own) => {
                let bound = |(name, seat): &(&String, &Seat)| {
                    seat.roster.as_ref() == Some(own) && own.get(*name) == Some(&seat.id)
                };
                match seats.iter().all(bound) {
                    true => Next::Start(own.clone()),
                    false => Next::Wait,
                }
            }
        }
    }
}
