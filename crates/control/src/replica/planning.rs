//! Plans the next view, and decides whether one is needed (`docs/control.md`, "Who votes").

use std::time::Duration;

use super::Replica;
use crate::membership::{choose_voters, Candidate, Condition, Tolerance};
use crate::message::MAX_REPORTED_MEMBERS;
use crate::options::transfer_time;
use crate::plan::Plan;
use crate::types::{Member, MemberId};

/// Which voters outside the chain may enter it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    /// Those that have been healthy for long enough and have caught up.
    Ready,
    /// All healthy ones: the chain would be too short without them.
    Healthy,
}

impl Replica {
    /// Notes since when each voter has been healthy, or hasn't.
    pub(super) fn record_voter_health(&mut self) {
        let now = self.now;
        let timing = self.options.timing;
        for peer in self.peers.voters_mut() {
            let is_healthy = peer.is_healthy(now, &timing);
            peer.note_health(now, is_healthy);
        }
        let since = self.proposer.healthy_since.unwrap_or(now);
        self.proposer.healthy_since = self.is_healthy().then_some(since);
    }

    /// Plans the next view. `None` if no chain that is long enough can be made.
    pub(super) fn plan(&self) -> Option<Plan> {
        let members = self.next_voters();
        let mut chain: Vec<MemberId> =
            self.view.chain.iter().copied().filter(|id| self.may_stay_in_chain(*id)).collect();
        chain.retain(|id| members.iter().any(|member| member.id == *id));
        let mut plan = Plan { members, chain };
        let least = plan.least_chain(self.options.tolerate_nodes);
        self.add_voters(&mut plan, Admission::Ready);
        let newcomers: Vec<MemberId> = plan.newcomers(&self.view).collect();
        plan.chain.extend(newcomers);
        self.drop_disconnected(&mut plan.chain);
        if plan.chain.len() < least {
            self.add_voters(&mut plan, Admission::Healthy);
            self.drop_disconnected(&mut plan.chain);
        }
        (plan.chain.len() >= least).then_some(plan)
    }

    /// Whether the view needs to be replaced by the planned one.
    pub(super) fn is_needed(&self, plan: &Plan) -> bool {
        let is_impaired = self.acceptor.is_sealed() || self.is_mismatched() || self.is_stuck();
        plan.differs_from(&self.view) || is_impaired
    }

    /// Whether a replica of the chain entered the view without the state with which it begins.
    fn is_mismatched(&self) -> bool {
        let is_own_mismatched = self.in_chain() && !self.chain.matched;
        let is_in_chain = |id| self.view.chain_index(id).is_some();
        let replicas = self.peers.voters().iter().filter(|peer| is_in_chain(peer.sender.id));
        let mut heartbeats = replicas.filter_map(|peer| peer.heartbeat);
        is_own_mismatched || heartbeats.any(|last| last.epoch == self.view.epoch && !last.matched)
    }

    /// Whether an entry has been pending for longer than the chain should take to commit it.
    fn is_stuck(&self) -> bool {
        let transfers = transfer_time(self.state.largest_entry_bytes()) * self.view.chain.len() as u32;
        let timeout = self.options.timing.commit_timeout + transfers;
        self.chain.matched && self.chain.commit_pending_since.is_some_and(|at| self.now > at + timeout)
    }

    fn add_voters(&self, plan: &mut Plan, admission: Admission) {
        for member in &self.view.members {
            let is_candidate = !plan.chain.contains(&member.id) && plan.member(member.id).is_some();
            if is_candidate && self.may_enter_chain(member.id, admission) {
                plan.chain.push(member.id);
            }
        }
    }

    /// Whether nothing is known against a replica of the chain.
    fn may_stay_in_chain(&self, id: MemberId) -> bool {
        if id == self.id {
            return self.is_healthy();
        }
        let Some(peer) = self.peers.get(id) else { return false };
        let suspected = peer.suspected(self.now, &self.options.timing);
        peer.reports_healthy() && (!suspected || self.is_reached_by_chain(id))
    }

    /// Whether this process is outside the chain and another replica of it reaches the given one. That one stays then:
    /// this process would take its place, be left out in turn, and so on while the two can't reach each other.
    fn is_reached_by_chain(&self, id: MemberId) -> bool {
        let others = self.view.chain.iter().copied().filter(|other| *other != id);
        let mut current = others.filter(|other| self.is_current(*other));
        !self.in_chain() && current.any(|other| !self.cannot_reach(other, id))
    }

    /// Whether a peer is connected and in the same view.
    pub(super) fn is_current(&self, id: MemberId) -> bool {
        let peer = self.peers.get(id).filter(|peer| peer.connected(self.now, &self.options.timing));
        peer.and_then(|peer| peer.heartbeat).is_some_and(|last| last.epoch == self.view.epoch)
    }

    fn may_enter_chain(&self, id: MemberId, admission: Admission) -> bool {
        let is_own = id == self.id;
        let peer = self.peers.get(id).filter(|_| !is_own);
        let healthy_since =
            if is_own { self.proposer.healthy_since } else { peer.and_then(|peer| peer.healthy_since) };
        let Some(since) = healthy_since else { return false };
        if admission == Admission::Healthy {
            return true;
        }
        let healthy_for = self.now.saturating_sub(since);
        let has_caught_up = peer.is_none_or(|peer| self.has_caught_up(peer, healthy_for));
        healthy_for >= self.options.timing.readmission_delay && has_caught_up
    }

    /// The losses that the core is to tolerate.
    pub(super) fn tolerance(&self) -> Tolerance {
        Tolerance { nodes: self.options.tolerate_nodes, zones: self.options.tolerate_zones }
    }

    /// The voters of the next view.
    pub(super) fn next_voters(&self) -> Vec<Member> {
        let voters = self.view.members.iter().map(|member| Candidate {
            member: member.clone(),
            voter: true,
            condition: self.condition(member),
            stable: true,
        });
        let newcomers = self.discovery.joiners().filter(|member| self.may_become_voter(member));
        let newcomers = newcomers.map(|member| Candidate {
            member: member.clone(),
            voter: false,
            condition: Condition::Present,
            stable: self.has_requested_for(member.id, self.options.timing.readmission_delay),
        });
        choose_voters(voters.chain(newcomers).collect(), self.tolerance())
    }

    /// What is known against a voter.
    fn condition(&self, member: &Member) -> Condition {
        if member.id == self.id {
            return if self.shutting_down { Condition::Leaving } else { Condition::Present };
        }
        let mut joiners = self.discovery.joiners();
        if joiners.any(|joiner| joiner.address == member.address && joiner.id != member.id) {
            return Condition::Replaced;
        }
        let Some(peer) = self.peers.get(member.id) else { return Condition::Present };
        if peer.heartbeat.is_some_and(|last| last.shutting_down) {
            return Condition::Leaving;
        }
        if peer.unhealthy_for(self.now) >= self.options.timing.replacement_delay {
            return Condition::Unreachable;
        }
        Condition::Present
    }

    /// Whether a standby that asks for a vote may get one: it is connected, healthy, and has caught up with the chain.
    fn may_become_voter(&self, joiner: &Member) -> bool {
        let Some(peer) = self.peers.get(joiner.id) else { return false };
        let is_healthy = peer.is_healthy(self.now, &self.options.timing);
        let is_postponed = self.discovery.is_postponed(self.now, joiner.id);
        let is_outside = self.view.member(joiner.id).is_none();
        let requested_at = self.discovery.join_requested_at(joiner.id);
        let waited = requested_at.map(|since| self.now.saturating_sub(since)).unwrap_or_default();
        is_healthy && is_outside && !is_postponed && self.has_caught_up(peer, waited)
    }

    fn has_requested_for(&self, id: MemberId, duration: Duration) -> bool {
        self.discovery.join_requested_at(id).is_some_and(|since| self.now >= since + duration)
    }

    /// Drops replicas until all pairs reach each other: each time the one with the most broken pairs, and of several
    /// such the last in the chain.
    fn drop_disconnected(&self, chain: &mut Vec<MemberId>) {
        loop {
            let counts: Vec<usize> = chain.iter().map(|id| self.count_disconnected(*id, chain)).collect();
            let disconnected = (0..chain.len()).filter(|index| counts[*index] > 0);
            let Some(worst) = disconnected.max_by_key(|index| (counts[*index], *index)) else { return };
            chain.remove(worst);
        }
    }

    fn count_disconnected(&self, id: MemberId, chain: &[MemberId]) -> usize {
        let is_disconnected = |other: MemberId| self.cannot_reach(id, other) || self.cannot_reach(other, id);
        chain.iter().filter(|other| is_disconnected(**other)).count()
    }

    /// Whether one process reports that it doesn't reach the other.
    fn cannot_reach(&self, from: MemberId, to: MemberId) -> bool {
        let timing = &self.options.timing;
        if from == self.id {
            return self.peers.get(to).is_some_and(|peer| peer.suspected(self.now, timing));
        }
        let index = self.view.members.iter().position(|member| member.id == to);
        let Some(index) = index.filter(|index| *index < MAX_REPORTED_MEMBERS) else { return false };
        let peer = self.peers.get(from).filter(|peer| peer.connected(self.now, timing));
        let Some(heartbeat) = peer.and_then(|peer| peer.heartbeat) else { return false };
        heartbeat.epoch == self.view.epoch && heartbeat.unreachable & (1 << index) != 0
    }

    /// The number of voters that this process reaches, itself included if it votes and its disk is healthy.
    pub(super) fn reached_voters(&self) -> usize {
        let timing = &self.options.timing;
        let others = self.peers.voters().iter().filter(|peer| peer.connected(self.now, timing)).count();
        others + usize::from(self.view.member(self.id).is_some() && !self.is_disk_unhealthy())
    }
}
