//! Server groups: each type with recent traffic gets a share of its service's backends by its share of the load.

use crate::hash::{Circle, Point};
use crate::interface::{BackendKey, Timestamp};
use crate::kinds::Kind;
use crate::rotation::Rotation;
use std::sync::Arc;
use std::time::Duration;

const PERIOD: Duration = Duration::from_secs(30);
const FIRST_PERIOD: Duration = Duration::from_secs(2);
/// Of the traffic of a period, what counts in the next.
const KEPT_TRAFFIC: f64 = 0.5;
/// How far a group's bound may be off by chance before groups are dealt, in backends.
const BOUND_ERROR: f64 = 2.0;
/// The standard deviation of a share drawn once, at the most: that of a half.
const MOST_DEVIATION: f64 = 0.5;

/// A backend that may be dealt to a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Member {
    pub zone: Arc<str>,
    pub hash: u64,
    pub backend: BackendKey,
    pub same_zone: bool,
}

/// Whose turn it is in a group: of its members in the own zone, and of all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Turns {
    pub same_zone: Rotation,
    pub all: Rotation,
}

/// The members of a group in the own zone, and all.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub same_zone: Circle,
    pub all: Circle,
    pub turns: Turns,
}

impl Group {
    fn of(members: &[Member], turns: Turns) -> Group {
        let point = |member: &Member| Point { hash: member.hash, backend: member.backend };
        let same_zone = members.iter().filter(|member| member.same_zone).map(point).collect();
        let all = members.iter().map(point).collect();
        Group { same_zone: Circle::new(same_zone), all: Circle::new(all), turns }
    }
}

/// The groups of one service.
#[derive(Debug, Default)]
pub(crate) struct Groups {
    /// All backends that are ready.
    pub whole: Group,
    by_kind: [Group; 4],
    /// All but those of the heaviest type.
    light: Group,
    traffic: [f64; 4],
    /// Requests in that traffic.
    requests: f64,
    rebuild_at: Option<Timestamp>,
}

/// The requests from which shares are known well enough to deal so many backends. Gateways see traffic of their own
/// each: from fewer, their groups would differ, and a key would have other homes at each of them.
fn telling_requests(backends: usize) -> f64 {
    (backends as f64 * MOST_DEVIATION / BOUND_ERROR).powi(2)
}

/// Backends so that neighbours are of different zones, in an order that all gateways find.
fn interleaved(mut members: Vec<Member>) -> Vec<Member> {
    members.sort();
    let mut place = 0;
    let mut ranked: Vec<(u32, Member)> = Vec::with_capacity(members.len());
    for (index, member) in members.iter().enumerate() {
        place = if index > 0 && members[index - 1].zone == member.zone { place + 1 } else { 0 };
        ranked.push((place, member.clone()));
    }
    ranked.sort_by_key(|(place, member)| (*place, member.hash));
    ranked.into_iter().map(|(_, member)| member).collect()
}

impl Groups {
    pub fn of(&self, kind: Kind) -> &Group {
        let group = &self.by_kind[kind.index()];
        if group.all.is_empty() {
            &self.whole
        } else {
            group
        }
    }

    /// Where the homes of a type's keys lie: the heaviest requests keep to their group, the others out of it.
    pub fn homes(&self, kind: Kind) -> &Group {
        match kind {
            Kind::Both => self.of(kind),
            _ if self.light.all.is_empty() => &self.whole,
            _ => &self.light,
        }
    }

    pub fn of_mut(&mut self, kind: Kind) -> &mut Group {
        let group = &mut self.by_kind[kind.index()];
        if group.all.is_empty() {
            &mut self.whole
        } else {
            group
        }
    }

    /// A request came that adds so many units.
    pub fn observe(&mut self, now: Timestamp, kind: Kind, units: f64) {
        self.traffic[kind.index()] += units;
        self.requests += 1.0;
        // Until traffic is known a group is all; the first groups come soon after it begins.
        if self.rebuild_at.is_none() {
            self.rebuild_at = Some(now + FIRST_PERIOD);
        }
    }

    /// Whether the groups are due to be rebuilt.
    pub fn due(&self, now: Timestamp) -> bool {
        self.rebuild_at.is_some_and(|at| now >= at)
    }

    /// Deals the backends that are ready to the types; rotations go on from `start`.
    pub fn rebuild(&mut self, now: Timestamp, members: Vec<Member>, start: usize) {
        let members = interleaved(members);
        let rotation = Rotation::starting_at(start);
        let turns = Turns { same_zone: rotation, all: rotation };
        self.whole = Group::of(&members, turns);
        let due = self.due(now);
        let telling = self.requests >= telling_requests(members.len());
        if !telling {
            self.undeal();
        } else if due || self.by_kind.iter().any(|group| !group.all.is_empty()) {
            self.deal(&members, turns);
        }
        if due && telling {
            self.traffic = self.traffic.map(|units| units * KEPT_TRAFFIC);
            self.requests *= KEPT_TRAFFIC;
            self.rebuild_at = Some(now + PERIOD);
        } else if due {
            self.rebuild_at = Some(now + FIRST_PERIOD);
        }
    }

    /// Each type's group is all backends.
    fn undeal(&mut self) {
        self.by_kind = Default::default();
        self.light = Group::default();
    }

    fn deal(&mut self, members: &[Member], turns: Turns) {
        let units: f64 = self.traffic.iter().sum();
        let count = members.len();
        let mut from = 0.0;
        self.light = Group::default();
        for kind in Kind::ALL {
            let traffic = self.traffic[kind.index()];
            self.by_kind[kind.index()] = Group::default();
            if count == 0 || units <= 0.0 || traffic <= 0.0 {
                continue;
            }
            let until = from + traffic / units * count as f64;
            // A type whose share is below one backend shares the one that its share lies in.
            let first = (f64::round(from) as usize).min(count - 1);
            let last = (f64::round(until) as usize).clamp(first + 1, count);
            self.by_kind[kind.index()] = Group::of(&members[first..last], turns);
            if kind == Kind::Both {
                self.light = Group::of(&members[..first], turns);
            }
            from = until;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/groups.rs"]
mod tests;
