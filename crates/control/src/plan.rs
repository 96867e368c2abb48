//! Which view should come next, and whether one is needed.

use crate::peers::Peer;
use crate::replica::Replica;
use crate::types::{Member, MemberId, View};

/// The most voters.
pub(crate) const MOST_MEMBERS: usize = 9;

/// The next view, but for the state with which it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Plan {
    pub(crate) members: Vec<Member>,
    pub(crate) chain: Vec<MemberId>,
}

impl Plan {
    pub(crate) fn least_chain(&self, tolerate: usize) -> usize {
        let members = View { members: self.members.clone(), ..View::default() };
        members.least_chain(tolerate)
    }

    pub(crate) fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }
}

impl Replica {
    /// Notes since when each voter has been healthy.
    pub(crate) fn watch_health(&mut self) {
        let now = self.now;
        let timing = self.options.timing;
        for peer in self.peers.voters_mut() {
            let healthy = peer.connected(now, &timing) && says_well(peer);
            peer.healthy = if healthy { peer.healthy.or(Some(now)) } else { None };
        }
        let well = !self.sick() && !self.leaving;
        self.proposer.healthy = if well { self.proposer.healthy.or(Some(now)) } else { None };
    }

    /// The view that should come next. Nothing if no chain long enough can be made.
    pub(crate) fn plan(&self) -> Option<Plan> {
        let (members, joiner) = self.members_with_joiner();
        let mut chain: Vec<MemberId> =
            self.view.chain.iter().copied().filter(|id| self.may_stay(*id)).collect();
        chain.retain(|id| members.iter().any(|member| member.id == *id));
        let mut plan = Plan { members, chain };
        let least = plan.least_chain(self.options.tolerate_nodes);
        self.add_voters(&mut plan, false);
        plan.chain.extend(joiner);
        self.drop_conflicts(&mut plan.chain);
        if plan.chain.len() < least {
            self.add_voters(&mut plan, true);
            self.drop_conflicts(&mut plan.chain);
        }
        (plan.chain.len() >= least).then_some(plan)
    }

    /// Whether the view must end, given what should follow.
    pub(crate) fn is_needed(&self, plan: &Plan) -> bool {
        let changes = plan.chain.len() != self.view.chain.len()
            || plan.chain.iter().any(|id| self.view.place(*id).is_none())
            || plan.members != self.view.members;
        changes || self.acceptor.sealed() || self.is_mismatched() || self.is_stuck()
    }

    /// A replica of the chain entered the view without the state with which it begins.
    fn is_mismatched(&self) -> bool {
        let own = self.in_chain() && !self.chain.matched;
        let chain = self.peers.voters().iter().filter(|peer| self.view.place(peer.sender.id).is_some());
        own || chain
            .filter_map(|peer| peer.heartbeat)
            .any(|last| last.epoch == self.view.epoch && !last.matched)
    }

    fn is_stuck(&self) -> bool {
        self.chain.matched && self.chain.waits.is_some_and(|at| self.now > at + self.options.timing.stuck)
    }

    fn add_voters(&self, plan: &mut Plan, at_once: bool) {
        for member in &self.view.members {
            let absent = !plan.chain.contains(&member.id) && plan.member(member.id).is_some();
            if absent && self.may_enter(member.id, at_once) {
                plan.chain.push(member.id);
            }
        }
    }

    /// A replica of the chain stays unless something is known against it.
    fn may_stay(&self, id: MemberId) -> bool {
        if id == self.id {
            return !self.sick() && !self.leaving;
        }
        let Some(peer) = self.peers.get(id) else { return false };
        let suspected = peer.suspected(self.now, &self.options.timing);
        says_well(peer) && (!suspected || self.is_spoken_for(id))
    }

    /// One outside the chain doesn't have a replica left out that others reach: it would take its place, be left out
    /// in turn, and so on while the two can't reach each other.
    fn is_spoken_for(&self, id: MemberId) -> bool {
        let others = self.view.chain.iter().copied().filter(|other| *other != id);
        let mut current = others.filter(|other| self.is_current(*other));
        !self.in_chain() && current.any(|other| !self.cannot_reach(other, id))
    }

    /// Whether a peer is connected and in the same view.
    fn is_current(&self, id: MemberId) -> bool {
        let peer = self.peers.get(id).filter(|peer| peer.connected(self.now, &self.options.timing));
        peer.and_then(|peer| peer.heartbeat).is_some_and(|last| last.epoch == self.view.epoch)
    }

    /// A voter outside the chain enters if it has been healthy for long enough.
    fn may_enter(&self, id: MemberId, at_once: bool) -> bool {
        let healthy = if id == self.id {
            self.proposer.healthy
        } else {
            self.peers.get(id).and_then(|peer| peer.healthy)
        };
        healthy.is_some_and(|since| at_once || self.now >= since + self.options.timing.take_back)
    }

    /// The voters with the first joiner among them, in the place of one that is gone if there is one.
    fn members_with_joiner(&self) -> (Vec<Member>, Option<MemberId>) {
        let mut members = self.view.members.clone();
        let Some(joiner) = self.discovery.joiners().find(|member| self.is_welcome(member)) else {
            return (members, None);
        };
        let place = members.iter().position(|member| member.address == joiner.address);
        match place.or_else(|| self.place_of_gone(&members, joiner)) {
            Some(place) => members[place] = joiner.clone(),
            // One that has just fallen silent may be the one that the joiner replaces.
            None if !self.has_waited(joiner) => return (members, None),
            None if members.len() < MOST_MEMBERS => members.push(joiner.clone()),
            None => return (members, None),
        }
        (members, Some(joiner.id))
    }

    /// A joiner is taken once it has been heard, and hears us, for a while.
    fn is_welcome(&self, joiner: &Member) -> bool {
        let timing = &self.options.timing;
        let peer = self.peers.get(joiner.id);
        let connected = peer.is_some_and(|peer| peer.connected(self.now, timing) && says_well(peer));
        connected && self.view.member(joiner.id).is_none()
    }

    /// A joiner that would be one more waits a while, and until nobody is silent, unless the voters are too few.
    fn has_waited(&self, joiner: &Member) -> bool {
        let asked = self.discovery.asked_since(joiner.id);
        let waited = asked.is_some_and(|since| self.now >= since + self.options.timing.join_wait);
        let waited = waited && !self.one_is_silent();
        waited || self.view.members.len() <= 2 * self.options.tolerate_nodes
    }

    fn one_is_silent(&self) -> bool {
        let suspect = self.options.timing.suspect;
        self.peers.voters().iter().any(|peer| peer.silent_for(self.now) > suspect)
    }

    /// A voter silent for so long that its place may be given away; one of the joiner's zone first.
    fn place_of_gone(&self, members: &[Member], joiner: &Member) -> Option<usize> {
        let gone = |member: &&Member| {
            let silent = self.peers.get(member.id).map(|peer| peer.silent_for(self.now));
            silent.is_some_and(|silent| silent >= self.options.timing.replace)
        };
        let found = members.iter().filter(gone).find(|member| member.zone == joiner.zone);
        let found = found.or_else(|| members.iter().find(gone))?;
        members.iter().position(|member| member.id == found.id)
    }

    /// Of two that don't reach each other, the later one goes; of several, the one with most such pairs.
    fn drop_conflicts(&self, chain: &mut Vec<MemberId>) {
        loop {
            let counts: Vec<usize> = chain.iter().map(|id| self.conflicts(*id, chain)).collect();
            let Some(worst) =
                (0..chain.len()).filter(|at| counts[*at] > 0).max_by_key(|at| (counts[*at], *at))
            else {
                return;
            };
            chain.remove(worst);
        }
    }

    fn conflicts(&self, id: MemberId, chain: &[MemberId]) -> usize {
        chain.iter().filter(|other| self.cannot_reach(id, **other) || self.cannot_reach(**other, id)).count()
    }

    /// Whether one says that it doesn't reach the other.
    fn cannot_reach(&self, from: MemberId, to: MemberId) -> bool {
        if from == self.id {
            let timing = &self.options.timing;
            return self.peers.get(to).is_some_and(|peer| peer.suspected(self.now, timing));
        }
        let Some(place) = self.view.members.iter().position(|member| member.id == to) else { return false };
        let Some(peer) = self.peers.get(from).filter(|peer| peer.connected(self.now, &self.options.timing))
        else {
            return false;
        };
        peer.heartbeat.is_some_and(|last| {
            last.epoch == self.view.epoch && place < 64 && last.unreachable & (1 << place) != 0
        })
    }

    /// Voters that this process reaches, itself among them if it votes.
    pub(crate) fn reached_voters(&self) -> usize {
        let timing = &self.options.timing;
        let others = self.peers.voters().iter().filter(|peer| peer.connected(self.now, timing)).count();
        others + usize::from(self.view.member(self.id).is_some() && !self.sick())
    }
}

/// What the peer says of itself.
fn says_well(peer: &Peer) -> bool {
    peer.heartbeat.is_none_or(|last| last.disk_well && !last.leaving)
}
