//! Whether this process knows every departure that was acknowledged, and how it comes to know them. Performs no I/O.
//!
//! A departure is acknowledged once a majority of the members of a view has stored it. Of `n` members at most
//! `n - (n / 2 + 1)` lack it, so a process that has read the departures of one member more than that has all of them. A
//! view may have fewer members than the one before, if some are lost and no others stand by: they may be those that have
//! stored it, so `n` is at least the number of members that the fleet has while none is lost. Two properties are told
//! apart:
//!
//! - A process is *sound* if its log has all departures that it had to store as a member. Its disk may be read by others,
//!   also right after a restart. A member whose disk was wiped, or that missed a view, is not sound: it counts among those
//!   that lack a departure. A log tells by the epoch that it is complete for whether it is sound after a restart.
//! - A process is *informed* if it has read enough sound members since it started, its own log included. Only then it
//!   believes the heartbeats of unknown backends. An informed member is sound.
//!
//! Invariant: a sound member of view `e` stays sound in view `e + 1` if it is a member of both. The view after a view is
//! decided by a majority of its members, which all enter it, so enough members stay sound.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{MemberId, View};
use crankpick_registry::Now;

/// After this many heartbeat intervals in reach of a majority, too few of whose members are sound, what was acknowledged
/// is lost: more disks were lost than the fleet tolerates, or all members without a disk have ended.
const MAX_WAIT_HEARTBEATS: u32 = 5;

/// How a process has come to know all departures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It has read enough sound members.
    Read,
    /// Too few members are sound: some departures may be lost.
    GivenUp,
}

/// The state of reading the departures of other members.
#[derive(Debug)]
pub struct DepartureSync {
    local: MemberId,
    /// The number of members that may be lost at once.
    tolerate_nodes: usize,
    max_wait: Duration,
    /// The epoch and the addresses of the members of the newest view.
    epoch: u64,
    members: BTreeSet<SocketAddr>,
    is_member: bool,
    sound: bool,
    informed: bool,
    /// The other members that have reported to be sound in the newest view.
    sound_others: BTreeSet<SocketAddr>,
    /// Since when a majority of the members has been in reach without this process being informed.
    majority_since: Option<Now>,
}

impl DepartureSync {
    /// The state of the member `local` at its start, in a fleet that bears the loss of `tolerate_nodes` members. In the
    /// first start of the whole fleet (`bootstrap`) there is no departure to be read.
    pub fn new(
        local: MemberId,
        tolerate_nodes: usize,
        heartbeat: Duration,
        bootstrap: bool,
    ) -> DepartureSync {
        DepartureSync {
            local,
            tolerate_nodes,
            max_wait: heartbeat * MAX_WAIT_HEARTBEATS,
            epoch: 0,
            members: BTreeSet::new(),
            is_member: false,
            sound: bootstrap,
            informed: bootstrap,
            sound_others: BTreeSet::new(),
            majority_since: None,
        }
    }

    /// Restores what a restarted process knows from its disk: the newest view, and the epoch for which its log is
    /// complete.
    pub fn restore(&mut self, view: &View, complete_epoch: Option<u64>) {
        if view.epoch == 0 {
            return;
        }
        self.set_view(view);
        // The view may have been stored right before the process ended, and the log's record not yet.
        let covers = |complete: u64| complete == view.epoch || complete + 1 == view.epoch;
        self.sound = self.is_member && complete_epoch.is_some_and(covers);
        self.informed = self.has_read_enough();
    }

    /// Enters a view. Whether the process is still informed is told by [`Self::is_informed`].
    pub fn view_changed(&mut self, view: &View) {
        if view.epoch <= self.epoch {
            return;
        }
        let follows = (self.epoch == 0 && self.informed) || (self.is_member && view.epoch == self.epoch + 1);
        self.set_view(view);
        self.sound &= follows && self.is_member;
        self.informed &= follows && self.is_member;
    }

    /// Records the report of a peer whose departures have been merged.
    pub fn report_received(&mut self, from: SocketAddr, epoch: u64, sound: bool) {
        if sound && epoch == self.epoch && self.members.contains(&from) {
            self.sound_others.insert(from);
        }
    }

    /// Checks whether the process knows all departures from now on; `None` if it did before, or does not yet.
    pub fn complete(&mut self, now: Now, reaches_majority: bool) -> Option<Completion> {
        if self.informed {
            return None;
        }
        let completion = if self.has_read_enough() {
            Completion::Read
        } else if self.has_waited_too_long(now, reaches_majority) {
            Completion::GivenUp
        } else {
            return None;
        };
        self.informed = true;
        self.sound = self.is_member;
        self.majority_since = None;
        Some(completion)
    }

    /// Whether this process knows all departures that were acknowledged.
    pub fn is_informed(&self) -> bool {
        self.informed
    }

    /// The epoch for which the departures of this process are complete; `None` if they are not.
    pub fn sound_epoch(&self) -> Option<u64> {
        (self.sound && self.epoch > 0).then_some(self.epoch)
    }

    /// The epoch of the newest view.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The members whose departures are still to be read.
    pub fn unread_members(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members.difference(&self.sound_others).copied().filter(|_| !self.informed)
    }

    fn set_view(&mut self, view: &View) {
        let others = view.members.iter().filter(|member| member.id != self.local);
        self.epoch = view.epoch;
        self.members = others.map(|member| member.address).collect();
        self.is_member = view.member(self.local).is_some();
        self.sound_others.clear();
        self.majority_since = None;
    }

    /// Whether among the members read so far there must be one that has stored any given departure.
    fn has_read_enough(&self) -> bool {
        let members = self.members.len() + usize::from(self.is_member);
        let members_without_losses = members.max(2 * self.tolerate_nodes + 1);
        let needed = members_without_losses.div_ceil(2).min(members);
        let sound = self.sound_others.len() + usize::from(self.is_member && self.sound);
        self.epoch > 0 && sound >= needed
    }

    fn has_waited_too_long(&mut self, now: Now, reaches_majority: bool) -> bool {
        if !reaches_majority {
            self.majority_since = None;
            return false;
        }
        let since = *self.majority_since.get_or_insert(now);
        now.saturating_sub(since) >= self.max_wait
    }
}

#[cfg(test)]
#[path = "../tests/unit/departure_sync.rs"]
mod tests;
