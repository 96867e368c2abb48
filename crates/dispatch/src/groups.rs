//! Backend groups: each request type with recent traffic gets a share of the service's backends in proportion to its
//! share of the load.

use crate::hash::{HashRing, RingEntry};
use crate::interface::{BackendKey, Timestamp};
use crate::kinds::Kind;
use crate::rotation::Rotation;
use std::sync::Arc;
use std::time::Duration;

const REBUILD_INTERVAL: Duration = Duration::from_secs(30);
const INITIAL_REBUILD_INTERVAL: Duration = Duration::from_secs(2);
/// The factor by which recorded traffic decays from one rebuild interval to the next.
const TRAFFIC_DECAY: f64 = 0.5;
/// The sampling error, in backends, that a group boundary may have for backends to be partitioned.
const MAX_BOUNDARY_ERROR: f64 = 2.0;
/// The maximum standard deviation of a single observation of a share, reached at a share of one half.
const MAX_SHARE_DEVIATION: f64 = 0.5;

/// A backend that can be assigned to a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Member {
    pub zone: Arc<str>,
    pub hash: u64,
    pub backend: BackendKey,
    pub same_zone: bool,
}

/// The round-robin positions of a group: among its members in this gateway's zone, and among all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rotations {
    pub same_zone: Rotation,
    pub all: Rotation,
}

/// The members of a group: those in this gateway's zone, and all.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub same_zone: HashRing,
    pub all: HashRing,
    pub rotations: Rotations,
}

impl Group {
    fn new(members: &[Member], rotations: Rotations) -> Group {
        let entry = |member: &Member| RingEntry { hash: member.hash, backend: member.backend };
        let same_zone = members.iter().filter(|member| member.same_zone).map(entry).collect();
        let all = members.iter().map(entry).collect();
        Group { same_zone: HashRing::new(same_zone), all: HashRing::new(all), rotations }
    }
}

/// The groups of one service.
#[derive(Debug, Default)]
pub(crate) struct Groups {
    /// All eligible backends.
    pub all_backends: Group,
    by_kind: [Group; 4],
    /// All backends outside the group of the heaviest type.
    without_heaviest: Group,
    /// Recent load per type, decayed by `TRAFFIC_DECAY` whenever a rebuild is due and partitions the backends.
    traffic: [f64; 4],
    /// The number of requests in `traffic`, decayed likewise.
    requests: f64,
    rebuild_at: Option<Timestamp>,
}

/// The number of requests needed to partition this many backends. Each gateway estimates the shares from its own
/// traffic: with fewer requests the groups of the gateways would differ, and a key would have different home backends
/// at each of them.
fn min_requests_for_partition(backends: usize) -> f64 {
    (backends as f64 * MAX_SHARE_DEVIATION / MAX_BOUNDARY_ERROR).powi(2)
}

/// Orders backends so that neighbours are in different zones. All gateways compute the same order.
fn interleave_zones(mut members: Vec<Member>) -> Vec<Member> {
    members.sort();
    let mut rank_in_zone = 0;
    let mut ranked: Vec<(u32, Member)> = Vec::with_capacity(members.len());
    for (index, member) in members.iter().enumerate() {
        rank_in_zone = if index > 0 && members[index - 1].zone == member.zone { rank_in_zone + 1 } else { 0 };
        ranked.push((rank_in_zone, member.clone()));
    }
    ranked.sort_by_key(|(rank_in_zone, member)| (*rank_in_zone, member.hash));
    ranked.into_iter().map(|(_, member)| member).collect()
}

impl Groups {
    /// The group of a type; all backends if the type has no group.
    pub fn group(&self, kind: Kind) -> &Group {
        let group = &self.by_kind[kind.index()];
        if group.all.is_empty() {
            &self.all_backends
        } else {
            group
        }
    }

    /// The group that holds the home backends of a type's keys: the heaviest type uses its own group, all other types
    /// use the backends outside it.
    pub fn home_group(&self, kind: Kind) -> &Group {
        match kind {
            Kind::Both => self.group(kind),
            _ if self.without_heaviest.all.is_empty() => &self.all_backends,
            _ => &self.without_heaviest,
        }
    }

    /// Mutable access to the group of a type.
    pub fn group_mut(&mut self, kind: Kind) -> &mut Group {
        let group = &mut self.by_kind[kind.index()];
        if group.all.is_empty() {
            &mut self.all_backends
        } else {
            group
        }
    }

    /// Records a request that adds `units` to the load of its type.
    pub fn observe(&mut self, now: Timestamp, kind: Kind, units: f64) {
        self.traffic[kind.index()] += units;
        self.requests += 1.0;
        // Until traffic is known every group contains all backends; the first rebuild follows soon after traffic starts.
        if self.rebuild_at.is_none() {
            self.rebuild_at = Some(now + INITIAL_REBUILD_INTERVAL);
        }
    }

    /// Whether the rebuild interval has elapsed.
    pub fn rebuild_due(&self, now: Timestamp) -> bool {
        self.rebuild_at.is_some_and(|at| now >= at)
    }

    /// Partitions the eligible backends among the types; rotations continue from `start`.
    pub fn rebuild(&mut self, now: Timestamp, members: Vec<Member>, start: usize) {
        let members = interleave_zones(members);
        let rotation = Rotation::starting_at(start);
        let rotations = Rotations { same_zone: rotation, all: rotation };
        self.all_backends = Group::new(&members, rotations);
        let rebuild_due = self.rebuild_due(now);
        let enough_requests = self.requests >= min_requests_for_partition(members.len());
        if !enough_requests {
            self.clear_partition();
        } else if rebuild_due || self.by_kind.iter().any(|group| !group.all.is_empty()) {
            self.partition(&members, rotations);
        }
        if rebuild_due && enough_requests {
            self.traffic = self.traffic.map(|units| units * TRAFFIC_DECAY);
            self.requests *= TRAFFIC_DECAY;
            self.rebuild_at = Some(now + REBUILD_INTERVAL);
        } else if rebuild_due {
            self.rebuild_at = Some(now + INITIAL_REBUILD_INTERVAL);
        }
    }

    /// Makes the group of each type contain all backends.
    fn clear_partition(&mut self) {
        self.by_kind = Default::default();
        self.without_heaviest = Group::default();
    }

    /// Assigns consecutive ranges of the member order to the types, sized by their share of the traffic.
    fn partition(&mut self, members: &[Member], rotations: Rotations) {
        let units: f64 = self.traffic.iter().sum();
        let count = members.len();
        let mut from = 0.0;
        self.without_heaviest = Group::default();
        for kind in Kind::ALL {
            let traffic = self.traffic[kind.index()];
            self.by_kind[kind.index()] = Group::default();
            if count == 0 || units <= 0.0 || traffic <= 0.0 {
                continue;
            }
            let until = from + traffic / units * count as f64;
            // A type with a share below one backend uses the backend that its share falls on, together with other types.
            let first = (f64::round(from) as usize).min(count - 1);
            let last = (f64::round(until) as usize).clamp(first + 1, count);
            self.by_kind[kind.index()] = Group::new(&members[first..last], rotations);
            if kind == Kind::Both {
                self.without_heaviest = Group::new(&members[..first], rotations);
            }
            from = until;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/groups.rs"]
mod tests;
