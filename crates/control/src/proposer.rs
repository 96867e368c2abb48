//! The proposer's side of the agreement on the next view: promises, installs, votes.

use crate::message::{Accept, Body, Install, Nack, Prepare, Promise, Sender};
use crate::options::transfer_time;
use crate::plan::Plan;
use crate::replica::Replica;
use crate::state::State;
use crate::types::{Ballot, EntryId, Member, MemberId, Now, Rank, StateTransfer, View};
use std::time::Duration;

/// The longest pause before the next try, first and in the end.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1200));
/// What the largest install may take beyond its phase.
const LONGEST_INSTALL: Duration = Duration::from_millis(1600);
/// The spread of the first try.
const SPREAD: Duration = Duration::from_millis(40);

/// What a voter promised.
#[derive(Clone, Debug)]
struct Promised {
    sender: Sender,
    zone: String,
    rank: Rank,
    accepted: Option<(Ballot, View)>,
}

/// How far a proposal is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for promises.
    Preparing,
    /// Waits until each replica of the next chain has the state, for as long as the largest transfer may take.
    Installing { plan: Plan, installed: Vec<MemberId>, within: Duration },
    /// Waits for votes.
    Accepting { next: View, voted: Vec<Sender> },
}

/// One proposal of this process.
#[derive(Clone, Debug)]
struct Proposal {
    ballot: Ballot,
    /// The view that is to end.
    base: View,
    phase: Phase,
    since: Now,
    /// A majority has promised since.
    enough: Option<Now>,
    promises: Vec<Promised>,
    /// The highest state that came with a promise.
    best: Option<(Rank, StateTransfer)>,
    /// The state with which the next view begins.
    state: State,
}

/// What this process proposes, and when it may.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proposer {
    /// The highest counter seen.
    counter: u64,
    proposal: Option<Proposal>,
    /// A change has been needed since, and this process waits for so long.
    needed: Option<(Now, Duration)>,
    /// No try before this.
    rests: Now,
    failures: u32,
    /// This process's own disk has been well since.
    pub(crate) healthy: Option<Now>,
}

impl Proposer {
    /// Ballots of this process are above all that it has seen.
    pub(crate) fn see(&mut self, ballot: Ballot) {
        self.counter = self.counter.max(ballot.counter);
    }

    /// Whether the proposal with that ballot is under way.
    #[cfg(test)]
    pub(crate) fn is_at(&self, ballot: Ballot) -> bool {
        self.proposal.as_ref().is_some_and(|proposal| proposal.ballot == ballot)
    }

    /// The instance is over.
    pub(crate) fn abandon(&mut self) {
        self.proposal = None;
        self.needed = None;
        self.failures = 0;
        self.rests = Now::ZERO;
    }

    fn rest(&mut self, now: Now, random: &mut fastrand::Rng) {
        self.proposal = None;
        self.failures += 1;
        let longest = (BACKOFF.0 * (1 << self.failures.min(4))).min(BACKOFF.1);
        let least = longest / 4;
        let spread = random.u64(0..=(longest - least).as_micros() as u64);
        self.rests = now + least + Duration::from_micros(spread);
    }
}

impl Replica {
    /// Starts a proposal if a change is needed and it is this process's turn.
    pub(crate) fn propose_if_needed(&mut self) {
        if self.proposer.proposal.is_some() || self.now < self.proposer.rests || !self.may_propose() {
            return;
        }
        let bound = self.acceptor.sealed() && self.now < self.acceptor.at + self.options.timing.sealed;
        let needed = if self.view.epoch == 0 { self.seeds_are_heard() } else { self.wants_change() };
        if !needed || bound {
            self.proposer.needed = None;
            return;
        }
        let delay = self.turn() * self.options.timing.stagger;
        let spread = self.random.u64(0..=SPREAD.as_micros() as u64);
        let wait = (self.now, delay + Duration::from_micros(spread));
        let (since, wait) = *self.proposer.needed.get_or_insert(wait);
        if self.now >= since + wait {
            self.start_proposal();
        }
    }

    /// A proposer that doesn't reach a majority would only disturb the others.
    fn may_propose(&self) -> bool {
        if !self.discovery.identified || self.sick() {
            return false;
        }
        if self.view.epoch == 0 {
            return self.electorate().contains(&self.options.address);
        }
        self.view.member(self.id).is_some() && self.reached_voters() >= self.view.majority()
    }

    fn wants_change(&self) -> bool {
        self.plan().is_some_and(|plan| self.is_needed(&plan))
    }

    /// How many healthy voters come before this one: the chain in its order, then the others.
    fn turn(&self) -> u32 {
        if self.view.epoch == 0 {
            let electorate = self.electorate();
            let before = electorate.iter().filter(|seed| **seed < self.options.address);
            return before.count() as u32 * 3;
        }
        let outside = self.view.members.iter().map(|member| member.id);
        let outside = outside.filter(|id| self.view.chain_index(*id).is_none());
        let command = self.view.chain.iter().copied().chain(outside);
        let before = command.take_while(|id| *id != self.id);
        before.filter(|id| self.peers.get(*id).is_some_and(|peer| peer.healthy.is_some())).count() as u32
    }

    pub(crate) fn start_proposal(&mut self) {
        let counter = self.proposer.counter + 1;
        let ballot = Ballot { counter, proposer: self.id, incarnation: self.incarnation };
        self.proposer.see(ballot);
        let base = self.view.clone();
        let prepare = Prepare { ballot, view: base.clone(), rank: self.state.rank() };
        self.proposer.proposal = Some(Proposal {
            ballot,
            base,
            phase: Phase::Preparing,
            since: self.now,
            enough: None,
            promises: Vec::new(),
            best: None,
            state: State::default(),
        });
        self.ask_voters(Body::Prepare(prepare));
    }

    fn ask_voters(&mut self, body: Body) {
        if self.view.epoch == 0 {
            for seed in self.electorate() {
                self.send_to_address(seed, None, body.clone());
            }
            return;
        }
        for member in self.view.members.clone() {
            self.send(Sender { id: member.id, address: member.address }, body.clone());
        }
    }

    /// The proposal under way with that ballot, taken out.
    fn take_proposal(&mut self, ballot: Ballot) -> Option<Proposal> {
        self.proposer.proposal.take_if(|proposal| proposal.ballot == ballot)
    }

    pub(crate) fn on_promise(&mut self, sender: Sender, promise: Promise) {
        let Some(mut proposal) = self.take_proposal(promise.ballot) else { return };
        let known = proposal.promises.iter().any(|known| same_voter(&proposal.base, known.sender, sender));
        if proposal.phase == Phase::Preparing && !known && self.is_voter(&proposal.base, sender) {
            let higher = proposal.best.as_ref().is_none_or(|(rank, _)| promise.rank > *rank);
            if let Some(state) = promise.state.filter(|_| higher) {
                proposal.best = Some((promise.rank, state));
            }
            let (zone, rank, accepted) = (promise.zone, promise.rank, promise.accepted);
            proposal.promises.push(Promised { sender, zone, rank, accepted });
            if proposal.promises.len() >= self.majority(&proposal.base) {
                proposal.enough.get_or_insert(self.now);
            }
        }
        self.proposer.proposal = Some(proposal);
        self.drive_proposal();
    }

    pub(crate) fn on_nack(&mut self, nack: Nack) {
        self.proposer.see(nack.promised);
        if self.take_proposal(nack.refused).is_some() {
            self.proposer.rest(self.now, &mut self.random);
        }
    }

    /// Goes on to the next phase when it is time, or gives up.
    pub(crate) fn drive_proposal(&mut self) {
        let Some(proposal) = self.proposer.proposal.take() else { return };
        let within = match &proposal.phase {
            Phase::Installing { within, .. } => *within,
            _ => self.options.timing.phase,
        };
        let late = self.now >= proposal.since + within;
        match &proposal.phase {
            Phase::Preparing => self.drive_preparing(proposal, late),
            Phase::Installing { .. } => self.drive_installing(proposal, late),
            Phase::Accepting { voted, .. } => {
                if voted.len() >= self.majority(&proposal.base) {
                    self.decided(proposal);
                } else {
                    self.keep_unless(late, proposal);
                }
            }
        }
    }

    fn keep_unless(&mut self, late: bool, proposal: Proposal) {
        if late {
            self.proposer.rest(self.now, &mut self.random);
        } else {
            self.proposer.proposal = Some(proposal);
        }
    }

    fn drive_preparing(&mut self, mut proposal: Proposal, late: bool) {
        let Some(enough) = proposal.enough else {
            return self.keep_unless(late, proposal);
        };
        let told = proposal.promises.iter().filter_map(|promised| promised.accepted.as_ref());
        if let Some((_, next)) = told.max_by_key(|(ballot, _)| *ballot).cloned() {
            return self.start_accepting(proposal, next);
        }
        if self.now < enough + self.options.timing.promise_wait && self.awaits_promise(&proposal) {
            self.proposer.proposal = Some(proposal);
            return;
        }
        let plan = if proposal.base.epoch == 0 {
            Some(first_plan(&proposal, self.options.durable))
        } else {
            self.plan()
        };
        let source = self.source(&proposal);
        let (Some(plan), Some(state)) = (plan, source) else {
            return self.keep_unless(late, proposal);
        };
        proposal.state = state;
        self.start_installing(proposal, plan);
    }

    /// Whether a healthy voter hasn't answered yet.
    fn awaits_promise(&self, proposal: &Proposal) -> bool {
        if proposal.base.epoch == 0 {
            return proposal.promises.len() < self.electorate().len();
        }
        let healthy = self.peers.voters().iter().filter(|peer| peer.healthy.is_some());
        let mut asked = healthy.map(|peer| peer.sender.id).chain([self.id]);
        asked.any(|id| proposal.promises.iter().all(|promised| promised.sender.id != id))
    }

    /// The highest state among a majority: it holds all that was acknowledged. This process's own counts only once its
    /// own promise is synced, and with it all entries before: an entry that only the head's memory holds would be made
    /// anew, under the same name, after a restart.
    fn source(&self, proposal: &Proposal) -> Option<State> {
        let own = self.state.rank();
        let highest = proposal.promises.iter().map(|promised| promised.rank).max()?;
        let mut state = self.state.clone();
        if highest > own {
            let (rank, transfer) = proposal.best.as_ref()?;
            let taken = *rank == highest && state.install(transfer);
            return taken.then_some(state);
        }
        let synced = proposal.promises.iter().any(|promised| promised.sender.id == self.id);
        synced.then_some(state)
    }

    fn start_installing(&mut self, mut proposal: Proposal, plan: Plan) {
        let receivers: Vec<Member> = plan.chain.iter().filter_map(|id| plan.member(*id)).cloned().collect();
        let (ballot, view) = (proposal.ballot, proposal.base.clone());
        let mut largest = 0;
        for member in receivers {
            let last = self.last_entry_of(&proposal, member.id);
            let transfer = proposal.state.transfer(last, view.epoch);
            largest = largest.max(transfer.size());
            let install = Install { ballot, view: view.clone(), transfer };
            let to = Sender { id: member.id, address: member.address };
            self.send(to, Body::Install(Box::new(install)));
        }
        let transfers = transfer_time(largest).min(LONGEST_INSTALL);
        let within = self.options.timing.phase + transfers;
        proposal.phase = Phase::Installing { plan, installed: Vec::new(), within };
        proposal.since = self.now;
        self.proposer.proposal = Some(proposal);
    }

    /// What a receiver of the state last said to hold: in its promise, else in a heartbeat.
    fn last_entry_of(&self, proposal: &Proposal, id: MemberId) -> EntryId {
        let promised = proposal.promises.iter().find(|promised| promised.sender.id == id);
        let heartbeat = self.peers.get(id).and_then(|peer| peer.heartbeat);
        promised.map(|promised| promised.rank.last).or(heartbeat.map(|last| last.last)).unwrap_or_default()
    }

    pub(crate) fn on_installed(&mut self, sender: Sender, ballot: Ballot) {
        let Some(mut proposal) = self.take_proposal(ballot) else { return };
        if let Phase::Installing { plan, installed, .. } = &mut proposal.phase {
            if plan.chain.contains(&sender.id) && !installed.contains(&sender.id) {
                installed.push(sender.id);
            }
        }
        self.proposer.proposal = Some(proposal);
        self.drive_proposal();
    }

    fn drive_installing(&mut self, proposal: Proposal, late: bool) {
        let Phase::Installing { plan, installed, .. } = &proposal.phase else { return };
        let missing = plan.newcomers(&proposal.base).filter(|id| !installed.contains(id));
        let missing: Vec<MemberId> = missing.collect();
        if installed.len() < plan.chain.len() && !late {
            self.proposer.proposal = Some(proposal);
            return;
        }
        for newcomer in &missing {
            self.discovery.postpone(*newcomer, self.now + self.options.timing.postpone);
        }
        // A newcomer that didn't take the state isn't made a member; the others try again in the next view.
        let complete = proposal.base.epoch == 0 || missing.is_empty();
        let members = if complete { plan.members.clone() } else { proposal.base.members.clone() };
        let mut chain = plan.chain.clone();
        chain.retain(|id| installed.contains(id) && members.iter().any(|member| member.id == *id));
        let epoch = proposal.base.epoch + 1;
        let next = View { epoch, members, chain, start: proposal.state.last() };
        if next.chain.len() < next.least_chain(self.options.tolerate_nodes) {
            return self.proposer.rest(self.now, &mut self.random);
        }
        self.start_accepting(proposal, next);
    }

    fn start_accepting(&mut self, mut proposal: Proposal, next: View) {
        let accept = Accept { ballot: proposal.ballot, view: proposal.base.clone(), next: next.clone() };
        proposal.phase = Phase::Accepting { next, voted: Vec::new() };
        proposal.since = self.now;
        self.proposer.proposal = Some(proposal);
        self.ask_voters(Body::Accept(Box::new(accept)));
    }

    pub(crate) fn on_accepted(&mut self, sender: Sender, ballot: Ballot) {
        let Some(mut proposal) = self.take_proposal(ballot) else { return };
        let voter = self.is_voter(&proposal.base, sender);
        if let Phase::Accepting { voted, .. } = &mut proposal.phase {
            if voter && !voted.iter().any(|known| same_voter(&proposal.base, *known, sender)) {
                voted.push(sender);
            }
        }
        self.proposer.proposal = Some(proposal);
        self.drive_proposal();
    }

    fn decided(&mut self, proposal: Proposal) {
        let Phase::Accepting { next, .. } = proposal.phase else { return };
        let mut told: Vec<Sender> = Vec::new();
        for member in proposal.base.members.iter().chain(&next.members) {
            let sender = Sender { id: member.id, address: member.address };
            if member.id != self.id && !told.contains(&sender) {
                told.push(sender);
            }
        }
        for sender in told {
            self.send(sender, Body::Decide(Box::new(next.clone())));
        }
        self.on_decide(next);
    }
}

/// Voters of the first view are told apart by address, later by id.
fn same_voter(base: &View, one: Sender, other: Sender) -> bool {
    if base.epoch == 0 {
        one.address == other.address
    } else {
        one.id == other.id
    }
}

/// The seeds that promised make the first view.
fn first_plan(proposal: &Proposal, durable: bool) -> Plan {
    let mut members: Vec<Member> = Vec::with_capacity(proposal.promises.len());
    for promised in &proposal.promises {
        let Sender { id, address } = promised.sender;
        members.push(Member { id, address, zone: promised.zone.clone(), durable });
    }
    members.sort_by_key(|member| member.address);
    let chain = members.iter().map(|member| member.id).collect();
    Plan { members, chain }
}
