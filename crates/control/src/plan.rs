//! Which view should come next, and whether one is needed.

use std::time::Duration;

use crate::membership::{choose_voters, Candidate, Condition, Tolerance};
use crate::options::transfer_time;
use crate::peers::Peer;
use crate::replica::Replica;
use crate::types::{Member, MemberId, View};

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

    /// Members that aren't in the view before.
    pub(crate) fn newcomers<'a>(&'a self, base: &'a View) -> impl Iterator<Item = MemberId> + 'a {
        let fresh = self.members.iter().filter(|member| base.member(member.id).is_none());
        fresh.map(|member| member.id)
    }
}

impl Replica {
    /// Notes since when each voter has been healthy, or hasn't.
    pub(crate) fn watch_health(&mut self) {
        let now = self.now;
        let timing = self.options.timing;
        for peer in self.peers.voters_mut() {
            let healthy = peer.connected(now, &timing) && says_well(peer);
            peer.note_health(now, healthy);
        }
        let well = !self.sick() && !self.leaving;
        self.proposer.healthy = if well { self.proposer.healthy.or(Some(now)) } else { None };
    }

    /// The view that should come next. Nothing if no chain long enough can be made.
    pub(crate) fn plan(&self) -> Option<Plan> {
        let members = self.next_voters();
        let mut chain: Vec<MemberId> =
            self.view.chain.iter().copied().filter(|id| self.may_stay(*id)).collect();
        chain.retain(|id| members.iter().any(|member| member.id == *id));
        let mut plan = Plan { members, chain };
        let least = plan.least_chain(self.options.tolerate_nodes);
        self.add_voters(&mut plan, false);
        let newcomers: Vec<MemberId> = plan.newcomers(&self.view).collect();
        plan.chain.extend(newcomers);
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
            || plan.chain.iter().any(|id| self.view.chain_index(*id).is_none())
            || plan.members != self.view.members;
        changes || self.acceptor.sealed() || self.is_mismatched() || self.is_stuck()
    }

    /// A replica of the chain entered the view without the state with which it begins.
    fn is_mismatched(&self) -> bool {
        let own = self.in_chain() && !self.chain.matched;
        let chain = self.peers.voters().iter().filter(|peer| self.view.chain_index(peer.sender.id).is_some());
        own || chain
            .filter_map(|peer| peer.heartbeat)
            .any(|last| last.epoch == self.view.epoch && !last.matched)
    }

    fn is_stuck(&self) -> bool {
        let uncommitted = transfer_time(self.state.largest_entry()) * self.view.chain.len() as u32;
        let limit = self.options.timing.stuck + uncommitted;
        self.chain.matched && self.chain.waits.is_some_and(|at| self.now > at + limit)
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
    pub(crate) fn is_current(&self, id: MemberId) -> bool {
        let peer = self.peers.get(id).filter(|peer| peer.connected(self.now, &self.options.timing));
        peer.and_then(|peer| peer.heartbeat).is_some_and(|last| last.epoch == self.view.epoch)
    }

    /// A voter outside the chain enters if it has been healthy for long enough and has caught up. Where the chain would
    /// be too short without it, it need only be healthy.
    fn may_enter(&self, id: MemberId, at_once: bool) -> bool {
        if id == self.id {
            let settled = |since| self.now >= since + self.options.timing.take_back;
            return self.proposer.healthy.is_some_and(|since| at_once || settled(since));
        }
        let Some(peer) = self.peers.get(id) else { return false };
        let settled = |since| {
            let healthy_for = self.now.saturating_sub(since);
            healthy_for >= self.options.timing.take_back && self.has_caught_up(peer, healthy_for)
        };
        peer.healthy.is_some_and(|since| at_once || settled(since))
    }

    /// What the core is to bear.
    pub(crate) fn tolerance(&self) -> Tolerance {
        Tolerance { nodes: self.options.tolerate_nodes, zones: self.options.tolerate_zones }
    }

    /// The voters of the next view.
    pub(crate) fn next_voters(&self) -> Vec<Member> {
        let voters = self.view.members.iter().map(|member| Candidate {
            member: member.clone(),
            voter: true,
            condition: self.condition(member),
            settled: true,
        });
        let newcomers = self.discovery.joiners().filter(|member| self.is_welcome(member));
        let newcomers = newcomers.map(|member| Candidate {
            member: member.clone(),
            voter: false,
            condition: Condition::Present,
            settled: self.has_asked_for(member.id, self.options.timing.take_back),
        });
        choose_voters(voters.chain(newcomers).collect(), self.tolerance())
    }

    /// What is known of a voter.
    fn condition(&self, member: &Member) -> Condition {
        if member.id == self.id {
            return if self.leaving { Condition::Leaving } else { Condition::Present };
        }
        if self.discovery.joiners().any(|joiner| joiner.address == member.address && joiner.id != member.id) {
            return Condition::Replaced;
        }
        let Some(peer) = self.peers.get(member.id) else { return Condition::Present };
        if peer.heartbeat.is_some_and(|last| last.leaving) {
            return Condition::Leaving;
        }
        if peer.unhealthy_for(self.now) >= self.options.timing.replace {
            return Condition::Gone;
        }
        Condition::Present
    }

    /// A newcomer may vote once it is heard and hears us, its disk is well, and it has caught up with the chain.
    fn is_welcome(&self, joiner: &Member) -> bool {
        let Some(peer) = self.peers.get(joiner.id) else { return false };
        let connected = peer.connected(self.now, &self.options.timing) && says_well(peer);
        let postponed = self.discovery.is_postponed(self.now, joiner.id);
        let outside = self.view.member(joiner.id).is_none();
        let asked_since = self.discovery.asked_since(joiner.id);
        let waited = asked_since.map(|since| self.now.saturating_sub(since)).unwrap_or_default();
        connected && outside && !postponed && self.has_caught_up(peer, waited)
    }

    fn has_asked_for(&self, id: MemberId, long: Duration) -> bool {
        self.discovery.asked_since(id).is_some_and(|since| self.now >= since + long)
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
pub(crate) fn says_well(peer: &Peer) -> bool {
    peer.heartbeat.is_none_or(|last| last.disk_well && !last.leaving)
}
