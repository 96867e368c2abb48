//! Majorities of a view's members.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crankpick_control::{MemberId, View};

/// The members of a view of which a majority must acknowledge.
///
/// A process that serves as a home is in contact with a majority of the members, or its gateways leave it. Two
/// majorities of one view share a member, so each such home receives what a majority has acknowledged from that member:
/// at once by a relay, and at the latest by the next digest. A view that replaces several voters at once may leave none
/// of that majority in a majority of its own; the replaced ones still run as homes then, and inform their peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quorum {
    others: BTreeSet<SocketAddr>,
    counts_itself: bool,
    majority: usize,
}

impl Quorum {
    /// The quorum of `view` as seen by the process `local`; `None` while no view is known.
    pub fn of(view: &View, local: MemberId) -> Option<Quorum> {
        if view.epoch == 0 {
            return None;
        }
        let others = view.members.iter().filter(|member| member.id != local).map(|member| member.address);
        Some(Quorum {
            others: others.collect(),
            counts_itself: view.member(local).is_some(),
            majority: view.majority(),
        })
    }

    /// Whether those that acknowledged are a majority, counting this process if it is a member.
    pub fn is_met_by(&self, acknowledged: &BTreeSet<SocketAddr>) -> bool {
        let members = self.others.intersection(acknowledged).count();
        members + usize::from(self.counts_itself) >= self.majority
    }

    /// The other members that did not acknowledge.
    pub fn unacknowledged<'a>(
        &'a self,
        acknowledged: &'a BTreeSet<SocketAddr>,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        self.others.difference(acknowledged).copied()
    }
}

#[cfg(test)]
#[path = "../tests/unit/quorum.rs"]
mod tests;
