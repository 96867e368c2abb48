//! The founding: how voters with new disks come to begin one log together, once. A disk that is new after
//! that never votes until those who have the log take it in. Called by `node`, free of I/O.

use std::collections::BTreeMap;

use crate::words::{Roster, Seat};

/// What an unstarted voter may do next.
#[derive(Debug, PartialEq)]
pub enum Next {
    Wait,
    /// All are here and none has begun: bind ourselves to this, on disk, before anything else is said.
    Seal(Roster),
    /// All have bound themselves to the same: the log begins.
    Start(Roster),
    /// The log began without this disk: listen until those who have it take us in.
    Listen,
}

/// Voters as last heard. Until each of them is bound to one roster, in which every name has the number of
/// the disk that said so, nobody votes: so none that lost its disk on the way can vote twice.
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
                // One that is bound already leads, if it means us as we are.
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
