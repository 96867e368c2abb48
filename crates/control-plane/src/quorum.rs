//! Majorities of a view's members.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crankpick_control::{MemberId, View};

/// The members of a view, a majority of which must acknowledge a change.
///
/// A process that serves as a home is in contact with a majority of the members, or its gateways switch to another home.
/// Two majorities of one view have a member in common, so each home receives every change acknowledged by a majority from
/// that member: immediately by a relay, or at the latest with the next digest. A view that replaces several voters at once
/// may have a majority without any member of the acknowledging one; the replaced voters then still run as homes and
/// inform their peers.
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

    /// Whether the processes in `acknowledged` form a majority, counting this process if it is a member.
    pub fn is_met_by(&self, acknowledged: &BTreeSet<SocketAddr>) -> bool {
        let members = self.others.intersection(acknowledged).count();
        members + usize::from(self.counts_itself) >= self.majority
    }

    /// Whether the processes in `acknowledged` form a majority without this process, which has not stored the change.
    pub fn is_met_by_others(&self, acknowledged: &BTreeSet<SocketAddr>) -> bool {
        self.others.intersection(acknowledged).count() >= self.majority
    }

    /// The other members that haven't acknowledged.
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
