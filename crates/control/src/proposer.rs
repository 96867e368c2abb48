//! The state of a proposer: its proposal in progress, and when it may make one.

use std::time::Duration;

use crate::message::{Promise, Sender};
use crate::plan::Plan;
use crate::state::State;
use crate::types::{Ballot, EntryId, Member, MemberId, Now, Rank, StateTransfer, View};

/// The scale of the pause after a failed proposal; doubled with each failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// The longest pause after a failed proposal.
const MAX_BACKOFF: Duration = Duration::from_millis(1200);
/// The pause is doubled at most so often.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// A promise that a voter has sent.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedPromise {
    /// The voter.
    pub(crate) sender: Sender,
    /// The voter's zone.
    pub(crate) zone: String,
    /// The rank of the voter's state.
    pub(crate) rank: Rank,
    /// What the voter accepted before in the same instance.
    pub(crate) accepted: Option<(Ballot, View)>,
}

/// The phase that a proposal is in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Paxos phase 1: waits for promises.
    Preparing,
    /// Waits until each replica of the next chain has the state, for as long as the largest transfer may take.
    Installing { plan: Plan, installed: Vec<MemberId>, timeout: Duration },
    /// Paxos phase 2: waits for votes.
    Accepting { next: View, accepted_by: Vec<Sender> },
}

/// A state that an acceptor sent with its promise.
#[derive(Clone, Debug)]
struct PromisedState {
    rank: Rank,
    transfer: StateTransfer,
}

/// A proposal in progress.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) ballot: Ballot,
    /// The view that the proposal is to replace.
    pub(crate) base: View,
    pub(crate) phase: Phase,
    pub(crate) phase_started_at: Now,
    /// When a majority had promised.
    pub(crate) quorum_at: Option<Now>,
    pub(crate) promises: Vec<ReceivedPromise>,
    /// The state of the highest rank that came with a promise.
    highest_state: Option<PromisedState>,
    /// The state with which the next view begins.
    pub(crate) state: State,
}

impl Proposal {
    /// A proposal to replace `base`, for which nobody has promised yet.
    pub(crate) fn new(now: Now, ballot: Ballot, base: View) -> Self {
        Proposal {
            ballot,
            base,
            phase: Phase::Preparing,
            phase_started_at: now,
            quorum_at: None,
            promises: Vec::new(),
            highest_state: None,
            state: State::default(),
        }
    }

    /// Goes on to another phase.
    pub(crate) fn enter_phase(&mut self, now: Now, phase: Phase) {
        self.phase = phase;
        self.phase_started_at = now;
    }

    /// The time limit of the phase, where installs of large states have their own.
    pub(crate) fn phase_timeout(&self, default: Duration) -> Duration {
        match &self.phase {
            Phase::Installing { timeout, .. } => *timeout,
            _ => default,
        }
    }

    /// Whether a voter has promised.
    pub(crate) fn has_promise_of(&self, sender: Sender) -> bool {
        let by_address = self.is_bootstrap();
        self.promises.iter().any(|known| is_same_voter(by_address, known.sender, sender))
    }

    /// Whether the member with that id has promised.
    pub(crate) fn has_promise_of_member(&self, id: MemberId) -> bool {
        self.promises.iter().any(|known| known.sender.id == id)
    }

    /// Adds the promise of a voter.
    pub(crate) fn add_promise(&mut self, sender: Sender, promise: Promise) {
        let Promise { ballot: _, zone, rank, accepted, state } = promise;
        let is_highest = self.highest_state.as_ref().is_none_or(|highest| rank > highest.rank);
        if let Some(transfer) = state.filter(|_| is_highest) {
            self.highest_state = Some(PromisedState { rank, transfer });
        }
        self.promises.push(ReceivedPromise { sender, zone, rank, accepted });
    }

    /// Adds a vote, if votes are being collected and this voter's hasn't been.
    pub(crate) fn add_vote(&mut self, sender: Sender) {
        let by_address = self.is_bootstrap();
        if let Phase::Accepting { accepted_by, .. } = &mut self.phase {
            if !accepted_by.iter().any(|known| is_same_voter(by_address, *known, sender)) {
                accepted_by.push(sender);
            }
        }
    }

    /// A replica of the next chain has installed the state.
    pub(crate) fn add_installed(&mut self, id: MemberId) {
        if let Phase::Installing { plan, installed, .. } = &mut self.phase {
            if plan.chain.contains(&id) && !installed.contains(&id) {
                installed.push(id);
            }
        }
    }

    /// Whether the proposal is for the first view.
    pub(crate) fn is_bootstrap(&self) -> bool {
        self.base.epoch == 0
    }

    /// The view that was accepted under the highest ballot, as far as the promises show. Paxos obliges a proposer to
    /// propose it again: it may have been decided.
    pub(crate) fn accepted_view(&self) -> Option<&View> {
        let accepted = self.promises.iter().filter_map(|promise| promise.accepted.as_ref());
        accepted.max_by_key(|(ballot, _)| *ballot).map(|(_, next)| next)
    }

    /// The state of the highest rank among the majority that promised, which holds all that was acknowledged
    /// (`docs/control.md`, "Why nothing is lost"). `None` while it isn't here.
    ///
    /// The proposer's own state counts only once its own promise is synced, and with it all entries before: after a
    /// restart the head would make an entry that only its memory held anew, under the same id.
    pub(crate) fn source_state(&self, own_id: MemberId, own_state: &State) -> Option<State> {
        let highest = self.promises.iter().map(|promise| promise.rank).max()?;
        let mut state = own_state.clone();
        if highest > own_state.rank() {
            let source = self.highest_state.as_ref().filter(|source| source.rank == highest)?;
            return state.install(&source.transfer).then_some(state);
        }
        self.has_promise_of_member(own_id).then_some(state)
    }

    /// The last entry of a voter's state, as its promise says.
    pub(crate) fn promised_last_entry(&self, id: MemberId) -> Option<EntryId> {
        let promise = self.promises.iter().find(|promise| promise.sender.id == id);
        promise.map(|promise| promise.rank.last)
    }

    /// The first view: all seeds that promised, in the order of their addresses.
    pub(crate) fn bootstrap_plan(&self, durable: bool) -> Plan {
        let mut members: Vec<Member> = Vec::with_capacity(self.promises.len());
        for promise in &self.promises {
            let Sender { id, address } = promise.sender;
            members.push(Member { id, address, zone: promise.zone.clone(), durable });
        }
        members.sort_by_key(|member| member.address);
        let chain = members.iter().map(|member| member.id).collect();
        Plan { members, chain }
    }
}

/// Voters of the first view are identified by their addresses, later ones by their ids.
fn is_same_voter(by_address: bool, one: Sender, other: Sender) -> bool {
    if by_address {
        one.address == other.address
    } else {
        one.id == other.id
    }
}

/// A proposal that is due after a delay unless the need for it goes away.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledProposal {
    /// Since when the view has needed to be replaced.
    pub(crate) needed_since: Now,
    /// How long this process leaves others the precedence.
    pub(crate) delay: Duration,
}

/// The proposal of this process in progress, and when it may make one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proposer {
    /// The highest ballot counter seen.
    counter: u64,
    pub(crate) proposal: Option<Proposal>,
    pub(crate) scheduled: Option<ScheduledProposal>,
    /// No proposal is made before this.
    pub(crate) retry_at: Now,
    /// Proposals that failed in a row.
    failures: u32,
    /// Since when this process has been healthy: its disk works, and it isn't shutting down.
    pub(crate) healthy_since: Option<Now>,
}

impl Proposer {
    /// Takes note of a ballot: later ones of this process are above it.
    pub(crate) fn observe(&mut self, ballot: Ballot) {
        self.counter = self.counter.max(ballot.counter);
    }

    /// A ballot above all that this process has seen.
    pub(crate) fn next_ballot(&mut self, proposer: MemberId, incarnation: u64) -> Ballot {
        self.counter += 1;
        Ballot { counter: self.counter, proposer, incarnation }
    }

    /// Whether the proposal with that ballot is in progress.
    #[cfg(test)]
    pub(crate) fn is_proposing(&self, ballot: Ballot) -> bool {
        self.proposal.as_ref().is_some_and(|proposal| proposal.ballot == ballot)
    }

    /// Takes out the proposal in progress if it has that ballot.
    pub(crate) fn take_proposal(&mut self, ballot: Ballot) -> Option<Proposal> {
        self.proposal.take_if(|proposal| proposal.ballot == ballot)
    }

    /// A view was decided: the instance is over.
    pub(crate) fn abandon(&mut self) {
        self.proposal = None;
        self.scheduled = None;
        self.failures = 0;
        self.retry_at = Now::ZERO;
    }

    /// Gives up the proposal in progress, and pauses before the next one.
    pub(crate) fn back_off(&mut self, now: Now, random: &mut fastrand::Rng) {
        self.proposal = None;
        self.failures += 1;
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let max_pause = (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        let min_pause = max_pause / 4;
        let jitter = random.u64(0..=(max_pause - min_pause).as_micros() as u64);
        self.retry_at = now + min_pause + Duration::from_micros(jitter);
    }
}
