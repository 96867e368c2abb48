//! The proposer's side of the agreement on the next view (`docs/control.md`, "The view"): prepare, install, accept.

use std::time::Duration;

use super::Replica;
use crate::message::{Accept, Body, Install, Nack, Prepare, Promise, Sender};
use crate::options::transfer_time;
use crate::plan::Plan;
use crate::proposer::{Phase, Proposal, ScheduledProposal};
use crate::types::{Ballot, EntryId, Member, MemberId, View};

/// How much longer than another phase the installs of the largest state may take.
const MAX_INSTALL_EXTENSION: Duration = Duration::from_millis(1600);
/// The random part of the delay before a proposal, at the most.
const MAX_PROPOSAL_JITTER: Duration = Duration::from_millis(40);
/// How many proposers' delays apart the seeds propose the first view.
const BOOTSTRAP_TURNS_PER_SEED: u32 = 3;

impl Replica {
    /// Starts a proposal if the view needs to be replaced and no other process has precedence.
    pub(super) fn propose_if_needed(&mut self) {
        let pauses = self.proposer.proposal.is_some() || self.now < self.proposer.retry_at;
        if pauses || !self.may_propose() {
            return;
        }
        let seal_timeout = self.options.timing.seal_timeout;
        let recently_bound = self.acceptor.is_sealed() && self.now < self.acceptor.bound_at + seal_timeout;
        if !self.needs_new_view() || recently_bound {
            self.proposer.scheduled = None;
            return;
        }
        let delay = self.proposal_turn() * self.options.timing.proposer_stagger;
        let jitter = self.random.u64(0..=MAX_PROPOSAL_JITTER.as_micros() as u64);
        let delay = delay + Duration::from_micros(jitter);
        let scheduled = ScheduledProposal { needed_since: self.now, delay };
        let scheduled = *self.proposer.scheduled.get_or_insert(scheduled);
        if self.now >= scheduled.needed_since + scheduled.delay {
            self.start_proposal();
        }
    }

    /// Whether this process may propose. One that doesn't reach a majority would only disturb the others.
    fn may_propose(&self) -> bool {
        if !self.discovery.identified || self.is_disk_unhealthy() {
            return false;
        }
        if self.view.epoch == 0 {
            return self.electorate().contains(&self.options.address);
        }
        self.view.member(self.id).is_some() && self.reached_voters() >= self.view.majority()
    }

    fn needs_new_view(&self) -> bool {
        if self.view.epoch == 0 {
            return self.can_bootstrap();
        }
        self.plan().is_some_and(|plan| self.is_needed(&plan))
    }

    /// How many delays this process leaves to others: one for each healthy voter before it, the chain in its order
    /// first.
    fn proposal_turn(&self) -> u32 {
        if self.view.epoch == 0 {
            let electorate = self.electorate();
            let before = electorate.iter().filter(|seed| **seed < self.options.address);
            return before.count() as u32 * BOOTSTRAP_TURNS_PER_SEED;
        }
        let members = self.view.members.iter().map(|member| member.id);
        let outside = members.filter(|id| self.view.chain_index(*id).is_none());
        let order = self.view.chain.iter().copied().chain(outside);
        let before = order.take_while(|id| *id != self.id);
        let is_healthy = |id: &MemberId| self.peers.get(*id).is_some_and(|peer| peer.healthy_since.is_some());
        before.filter(is_healthy).count() as u32
    }

    pub(crate) fn start_proposal(&mut self) {
        let ballot = self.proposer.next_ballot(self.id, self.incarnation);
        let base = self.view.clone();
        let prepare = Prepare { ballot, view: base.clone(), rank: self.state.rank() };
        self.proposer.proposal = Some(Proposal::new(self.now, ballot, base));
        self.send_to_voters(Body::Prepare(prepare));
    }

    fn send_to_voters(&mut self, body: Body) {
        if self.view.epoch == 0 {
            for seed in self.electorate() {
                self.send_to_address(seed, None, body.clone());
            }
            return;
        }
        for member in self.view.members.clone() {
            self.send(Sender::from(&member), body.clone());
        }
    }

    pub(super) fn on_promise(&mut self, sender: Sender, promise: Promise) {
        let Some(mut proposal) = self.proposer.take_proposal(promise.ballot) else { return };
        let is_new = proposal.phase == Phase::Preparing && !proposal.has_promise_of(sender);
        if is_new && self.is_voter(&proposal.base, sender) {
            proposal.add_promise(sender, promise);
            if proposal.promises.len() >= self.majority(&proposal.base) {
                proposal.quorum_at.get_or_insert(self.now);
            }
        }
        self.proposer.proposal = Some(proposal);
        self.advance_proposal();
    }

    pub(super) fn on_nack(&mut self, nack: Nack) {
        self.proposer.observe(nack.promised);
        if self.proposer.take_proposal(nack.refused).is_some() {
            self.proposer.back_off(self.now, &mut self.random);
        }
    }

    /// Goes on to the next phase when the current one is complete, or gives up when it has timed out.
    pub(super) fn advance_proposal(&mut self) {
        let Some(proposal) = self.proposer.proposal.take() else { return };
        let timeout = proposal.phase_timeout(self.options.timing.phase_timeout);
        let timed_out = self.now >= proposal.phase_started_at + timeout;
        match &proposal.phase {
            Phase::Preparing => self.advance_preparing(proposal, timed_out),
            Phase::Installing { .. } => self.advance_installing(proposal, timed_out),
            Phase::Accepting { accepted_by, .. } => {
                if accepted_by.len() >= self.majority(&proposal.base) {
                    self.announce_decision(proposal);
                } else {
                    self.continue_unless(timed_out, proposal);
                }
            }
        }
    }

    fn continue_unless(&mut self, timed_out: bool, proposal: Proposal) {
        if timed_out {
            self.proposer.back_off(self.now, &mut self.random);
        } else {
            self.proposer.proposal = Some(proposal);
        }
    }

    fn advance_preparing(&mut self, mut proposal: Proposal, timed_out: bool) {
        let Some(quorum_at) = proposal.quorum_at else {
            return self.continue_unless(timed_out, proposal);
        };
        if let Some(next) = proposal.accepted_view().cloned() {
            return self.start_accepting(proposal, next);
        }
        let in_grace_period = self.now < quorum_at + self.options.timing.promise_grace_period;
        if in_grace_period && self.awaits_healthy_voter(&proposal) {
            self.proposer.proposal = Some(proposal);
            return;
        }
        let plan = if proposal.is_bootstrap() {
            Some(proposal.bootstrap_plan(self.options.durable))
        } else {
            self.plan()
        };
        let source = proposal.source_state(self.id, &self.state);
        let (Some(plan), Some(state)) = (plan, source) else {
            return self.continue_unless(timed_out, proposal);
        };
        proposal.state = state;
        self.start_installing(proposal, plan);
    }

    /// Whether a healthy voter hasn't promised yet.
    fn awaits_healthy_voter(&self, proposal: &Proposal) -> bool {
        if proposal.is_bootstrap() {
            return proposal.promises.len() < self.electorate().len();
        }
        let healthy = self.peers.voters().iter().filter(|peer| peer.healthy_since.is_some());
        let mut voters = healthy.map(|peer| peer.sender.id).chain([self.id]);
        voters.any(|id| !proposal.has_promise_of_member(id))
    }

    fn start_installing(&mut self, mut proposal: Proposal, plan: Plan) {
        let replicas: Vec<Member> = plan.chain.iter().filter_map(|id| plan.member(*id)).cloned().collect();
        let mut largest = 0;
        for replica in replicas {
            let last = self.last_reported_entry(&proposal, replica.id);
            let transfer = proposal.state.transfer(last, proposal.base.epoch);
            largest = largest.max(transfer.size());
            let install = Install { ballot: proposal.ballot, view: proposal.base.clone(), transfer };
            self.send(Sender::from(&replica), Body::Install(Box::new(install)));
        }
        let extension = transfer_time(largest).min(MAX_INSTALL_EXTENSION);
        let timeout = self.options.timing.phase_timeout + extension;
        proposal.enter_phase(self.now, Phase::Installing { plan, installed: Vec::new(), timeout });
        self.proposer.proposal = Some(proposal);
    }

    /// The last entry of a replica's state, as its promise says, or else its newest heartbeat.
    fn last_reported_entry(&self, proposal: &Proposal, id: MemberId) -> EntryId {
        let heartbeat = self.peers.get(id).and_then(|peer| peer.heartbeat);
        let reported = heartbeat.map(|heartbeat| heartbeat.last);
        proposal.promised_last_entry(id).or(reported).unwrap_or_default()
    }

    pub(super) fn on_installed(&mut self, sender: Sender, ballot: Ballot) {
        let Some(mut proposal) = self.proposer.take_proposal(ballot) else { return };
        proposal.add_installed(sender.id);
        self.proposer.proposal = Some(proposal);
        self.advance_proposal();
    }

    fn advance_installing(&mut self, proposal: Proposal, timed_out: bool) {
        let Phase::Installing { plan, installed, .. } = &proposal.phase else { return };
        if installed.len() < plan.chain.len() && !timed_out {
            self.proposer.proposal = Some(proposal);
            return;
        }
        let newcomers = plan.newcomers(&proposal.base);
        let failed: Vec<MemberId> = newcomers.filter(|id| !installed.contains(id)).collect();
        for newcomer in &failed {
            let until = self.now + self.options.timing.failed_install_delay;
            self.discovery.postpone(*newcomer, until);
        }
        // A newcomer that didn't install the state doesn't become a member; the others are proposed again later.
        let keeps_members = !proposal.is_bootstrap() && !failed.is_empty();
        let members = if keeps_members { proposal.base.members.clone() } else { plan.members.clone() };
        let mut chain = plan.chain.clone();
        chain.retain(|id| installed.contains(id) && members.iter().any(|member| member.id == *id));
        let epoch = proposal.base.epoch + 1;
        let next = View { epoch, members, chain, start: proposal.state.last() };
        if next.chain.len() < next.least_chain(self.options.tolerate_nodes) {
            return self.proposer.back_off(self.now, &mut self.random);
        }
        self.start_accepting(proposal, next);
    }

    fn start_accepting(&mut self, mut proposal: Proposal, next: View) {
        let accept = Accept { ballot: proposal.ballot, view: proposal.base.clone(), next: next.clone() };
        proposal.enter_phase(self.now, Phase::Accepting { next, accepted_by: Vec::new() });
        self.proposer.proposal = Some(proposal);
        self.send_to_voters(Body::Accept(Box::new(accept)));
    }

    pub(super) fn on_accepted(&mut self, sender: Sender, ballot: Ballot) {
        let Some(mut proposal) = self.proposer.take_proposal(ballot) else { return };
        if self.is_voter(&proposal.base, sender) {
            proposal.add_vote(sender);
        }
        self.proposer.proposal = Some(proposal);
        self.advance_proposal();
    }

    /// Tells the members of both views that the next one is decided, and enters it.
    fn announce_decision(&mut self, proposal: Proposal) {
        let Phase::Accepting { next, .. } = proposal.phase else { return };
        let mut recipients: Vec<Sender> = Vec::new();
        for member in proposal.base.members.iter().chain(&next.members) {
            let recipient = Sender::from(member);
            if member.id != self.id && !recipients.contains(&recipient) {
                recipients.push(recipient);
            }
        }
        for recipient in recipients {
            self.send(recipient, Body::Decide(Box::new(next.clone())));
        }
        self.on_decide(next);
    }
}
