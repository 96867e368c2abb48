//! Contact with a majority of the view's members: what a process may promise depends on it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crankpick_control::{MemberId, View};

/// The members of a view of which a majority must answer.
///
/// Whoever serves as a home is in contact with a majority of the members, or its gateways leave it. Two majorities of
/// one view share a member, so each such home can hear what a majority has answered: from that member, at once by its
/// relay and at the latest by the next digest. A view that replaces several voters at once may leave none of that
/// majority in a majority of its own; those that were replaced still run then, stand by as homes, and tell their peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quorum {
    others: BTreeSet<SocketAddr>,
    own_vote: bool,
    majority: usize,
}

impl Quorum {
    /// The members of `view` as `own` sees them; nothing while no view is known.
    pub fn of(view: &View, own: MemberId) -> Option<Quorum> {
        if view.epoch == 0 {
            return None;
        }
        let others = view.members.iter().filter(|member| member.id != own).map(|member| member.address);
        Some(Quorum {
            others: others.collect(),
            own_vote: view.member(own).is_some(),
            majority: view.majority(),
        })
    }

    /// Whether those that answered are a majority, this process counted if it is a member.
    pub fn is_met_by(&self, answered: &BTreeSet<SocketAddr>) -> bool {
        let members = self.others.intersection(answered).count();
        members + usize::from(self.own_vote) >= self.majority
    }

    /// The members that did not answer.
    pub fn without<'a>(
        &'a self,
        answered: &'a BTreeSet<SocketAddr>,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        self.others.difference(answered).copied()
    }
}

#[cfg(test)]
#[path = "../tests/unit/quorum.rs"]
mod tests;
