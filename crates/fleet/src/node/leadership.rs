//! The leader's tasks: it proposes commands, handles their outcomes, and answers renewals once a majority has
//! confirmed that it still leads.

use crate::leader::LeaderState;
use crate::messages::{Message, ProcessId, Told, OUTS, WORK};
use crate::state::{Command, Outcome};

use super::{Event, Node, Route};

/// The call number of a proposal without a requester: real calls are numbered from 1.
const NO_CALL: u64 = 0;

const LEADERSHIP_LOST: &str = "the lead was lost: it may be agreed all the same";

impl Node {
    /// Follows the consensus: whether this voter leads now, and in which term.
    pub(super) fn update_leadership(&mut self, now_us: u64) {
        let Some(consensus) = self.consensus() else { return };
        let (leads, term) = (consensus.is_leader(), consensus.term());
        if self.leader.as_ref().is_some_and(|leader| !leads || leader.term != term) {
            self.lose_leadership();
        }
        if leads && self.leader.is_none() {
            self.begin_leadership(now_us, term);
        }
    }

    fn begin_leadership(&mut self, now_us: u64, term: u64) {
        self.leader = Some(LeaderState::new(&self.process.name, term, now_us));
        self.event(Event::BecameLeader { term });
        self.session.renew_now(now_us);
        if self.exiting {
            self.transfer_leadership();
        }
    }

    /// Transfers the leadership to another voter, if this one has it.
    pub(super) fn transfer_leadership(&mut self) {
        if let Some(consensus) = self.consensus_mut().filter(|consensus| consensus.is_leader()) {
            consensus.transfer_leadership();
        }
    }

    pub(super) fn lose_leadership(&mut self) {
        if let Some(leader) = self.leader.take() {
            self.event(Event::LostLeadership { term: leader.term });
        }
        for (_, requester) in std::mem::take(&mut self.proposals) {
            self.answer(requester, Told::NotNow(LEADERSHIP_LOST.into()));
        }
    }

    /// Requests confirmation of the leadership and proposes what is due. Returns whether there was anything
    /// to do.
    pub(super) fn propose_as_leader(&mut self, now_us: u64) -> bool {
        let consensus = self.voter.as_mut().and_then(|voter| voter.consensus.as_mut());
        let (Some(consensus), Some(leader)) = (consensus, &mut self.leader) else { return false };
        let times = &self.plan.times;
        let round = if consensus.can_confirm() { leader.next_round(now_us, times) } else { None };
        if let Some(round) = round {
            consensus.request_confirmation(round);
        }
        let mut advanced = round.is_some();
        for command in leader.due_commands(now_us, &consensus.fleet, times) {
            advanced |= self.propose(NO_CALL, &command);
        }
        advanced
    }

    /// Proposes a command. Returns whether the log accepted it.
    pub(super) fn propose(&mut self, call: u64, command: &Command) -> bool {
        let proposed = self.consensus_mut().map(|consensus| consensus.propose(call, command));
        let accepted = matches!(proposed, Some(Ok(())));
        if !accepted {
            if let Some(leader) = &mut self.leader {
                leader.no_longer_pending(command);
            }
        }
        accepted
    }

    /// An owner gives up a duty: proposed by the leader, forwarded to the leader by others.
    pub(super) fn release(&mut self, duty: String, token: u64, owner: ProcessId) {
        if let Some(leader) = &mut self.leader {
            leader.duty_released(&owner);
            self.propose(NO_CALL, &Command::Release { duty, token });
        } else if let Some(link) = self.link_to_leader() {
            self.send(link, Message::Release { duty, token, who: owner });
        }
    }

    /// A command has taken effect: notifies the processes concerned and answers the requester.
    pub(super) fn command_applied(
        &mut self,
        now_us: u64,
        call: Option<u64>,
        command: &Command,
        outcome: Outcome,
    ) {
        let Some(leader) = &mut self.leader else { return };
        leader.applied(now_us, command);
        self.report_applied(command, &outcome);
        for process in self.concerned_by(command, &outcome) {
            self.nudge(now_us, process);
        }
        if let Some(requester) = call.and_then(|call| self.proposals.remove(&call)) {
            self.answer(requester, Told::Done(outcome));
        }
    }

    fn report_applied(&mut self, command: &Command, outcome: &Outcome) {
        match (command, outcome) {
            (Command::Grant { duty, token, to }, Outcome::Granted) => {
                let (duty, token, to) = (duty.clone(), *token, to.to_string());
                self.event(Event::DutyGranted { duty, token, to });
            }
            (Command::Steps(steps), Outcome::Stepped(refusals)) => {
                let done = steps.iter().zip(refusals).filter(|(_, refusal)| refusal.is_none());
                for (step, _) in done {
                    self.event(Event::WorkStepped { step: step.clone() });
                }
            }
            _ => {}
        }
    }

    /// The processes that a command concerns and that should not wait for their next renewal to learn of it.
    fn concerned_by(&self, command: &Command, outcome: &Outcome) -> Vec<ProcessId> {
        let owners = |duties: &[&str]| duties.iter().filter_map(|duty| self.owner_of(duty)).collect();
        match (command, outcome) {
            (Command::Grant { to, .. }, Outcome::Granted) => vec![to.clone()],
            (Command::Join(sessions), _) => sessions.iter().map(|(process, _)| process.clone()).collect(),
            (Command::Outs { .. }, _) => owners(&[OUTS]),
            (Command::Work { .. }, _) => owners(&[OUTS, WORK]),
            (Command::Steps(steps), outcome) => {
                let mut concerned: Vec<ProcessId> = owners(&[OUTS, WORK]);
                if let Outcome::Stepped(refusals) = outcome {
                    let done = steps.iter().zip(refusals).filter(|(_, refusal)| refusal.is_none());
                    concerned.extend(done.filter_map(|(step, _)| self.session_of(&step.machine)));
                }
                concerned
            }
            _ => Vec::new(),
        }
    }

    fn owner_of(&self, duty: &str) -> Option<ProcessId> {
        self.consensus()?.fleet.duties.get(duty)?.owner.clone()
    }

    /// The process that holds a proxy's session.
    fn session_of(&self, name: &str) -> Option<ProcessId> {
        let incarnation = self.consensus()?.fleet.sessions.get(name)?.incarnation;
        Some(ProcessId { name: name.to_owned(), incarnation })
    }

    /// Tells a process to renew at once.
    fn nudge(&mut self, now_us: u64, process: ProcessId) {
        match self.leader.as_ref().and_then(|leader| leader.route(&process)).cloned() {
            Some(Route::Own) => {
                self.session.renew_now(now_us);
                self.renew(now_us);
            }
            Some(Route::Link(link)) => self.send(link, Message::Nudge(process)),
            None => {}
        }
    }

    /// A majority has confirmed the leadership: answers the renewals that waited for this round.
    pub(super) fn leadership_confirmed(&mut self, now_us: u64, round: u64) {
        let consensus = self.voter.as_ref().and_then(|voter| voter.consensus.as_ref());
        let (Some(consensus), Some(leader)) = (consensus, &mut self.leader) else { return };
        for (route, answer) in leader.answer_confirmed(now_us, round, &consensus.fleet, &self.plan.times) {
            match route {
                Route::Link(link) => self.send(link, Message::Renewed(answer)),
                Route::Own => self.renewed(now_us, answer),
            }
        }
    }
}
