//! Requests of other processes: answered by the leader, forwarded to it by other voters.

use crate::consensus::Consensus;
use crate::messages::{Ask, Message, ProcessId, Status, Told};
use crate::state::{Command, Outcome};
use crate::work::Stage;

use super::calls::MAX_CALLS;
use super::messages::Sender;
use super::{Link, Node, Route};

const NO_LEADER: &str = "nobody leads";

/// The origin of a request: the process, its number for the call, and the route back to it.
pub(super) struct Requester {
    pub(super) route: Route,
    pub(super) process: ProcessId,
    pub(super) call: u64,
}

impl Node {
    pub(super) fn receive_request(
        &mut self,
        now_us: u64,
        sender: &Sender,
        process: ProcessId,
        call: u64,
        ask: Ask,
    ) {
        // Forwarded at most once: only a request received from the requester itself.
        let direct = process.name == sender.name;
        let requester = Requester { route: Route::Link(self.return_link(sender)), process, call };
        if self.leader.is_some() {
            self.answer_as_leader(now_us, requester, ask);
            return;
        }
        let leader = self.consensus().and_then(Consensus::leader).map(str::to_owned);
        match leader.filter(|leader| *leader != self.process.name && direct) {
            Some(leader) => {
                let Requester { process, call, .. } = requester;
                self.send(Link::Voter(leader), Message::Ask { who: process, call, ask });
            }
            None => self.answer(requester, Told::NotNow(NO_LEADER.into())),
        }
    }

    /// Answers a request. A command is answered once it has been applied.
    pub(super) fn answer_as_leader(&mut self, now_us: u64, requester: Requester, ask: Ask) {
        match ask {
            Ask::Status => {
                let status = self.status(now_us);
                self.answer(requester, status);
            }
            Ask::Work => {
                let work = self.work_status(now_us);
                self.answer(requester, work);
            }
            Ask::Command(command) => self.propose_for(now_us, requester, &command),
        }
    }

    fn propose_for(&mut self, now_us: u64, requester: Requester, command: &Command) {
        if let Some(why) = self.unproven_step(now_us, command) {
            self.answer(requester, Told::Done(Outcome::Refused(why)));
            return;
        }
        if self.proposals.len() >= MAX_CALLS {
            self.answer(requester, Told::NotNow("too much in hand".into()));
            return;
        }
        let number = self.calls.next_number();
        if self.propose(number, command) {
            self.proposals.insert(number, requester);
        } else {
            self.answer(requester, Told::NotNow("the log takes nothing now".into()));
        }
    }

    /// Why a step that declares a machine out must be refused, if so. The owner's opinion does not matter:
    /// the leader knows of a proxy that may still send to the machine.
    fn unproven_step(&mut self, now_us: u64, command: &Command) -> Option<String> {
        let Command::Steps(steps) = command else { return None };
        let fleet = &self.voter.as_ref()?.consensus.as_ref()?.fleet;
        let leader = self.leader.as_ref()?;
        steps.iter().filter(|step| step.to == Stage::Out).find_map(|step| {
            let machine = fleet.work.plans.get(&step.plan)?.machines.get(&step.machine)?;
            let waits = leader.waits(now_us, &step.machine, machine, fleet, &self.plan.times);
            (!waits.is_empty()).then(|| format!("{}: {}", step.machine, waits.join(", ")))
        })
    }

    pub(super) fn answer(&mut self, requester: Requester, told: Told) {
        let Requester { route, process, call } = requester;
        match route {
            Route::Link(link) => self.send(link, Message::Told { who: process, call, told }),
            Route::Own => self.complete_call(call, told),
        }
    }

    fn status(&self, now_us: u64) -> Told {
        let (Some(consensus), Some(leader)) = (self.consensus(), &self.leader) else {
            return Told::NotNow(NO_LEADER.into());
        };
        let fleet = &consensus.fleet;
        let owner = |owner: &Option<ProcessId>| owner.as_ref().map(|who| who.name.clone());
        let duties = fleet.duties.iter();
        Told::Status(Box::new(Status {
            leader: self.process.name.clone(),
            term: consensus.term(),
            version: fleet.version,
            outs: fleet.published(),
            duties: duties.map(|(name, duty)| (name.clone(), (owner(&duty.owner), duty.token))).collect(),
            members: leader.members(now_us),
            unheard: fleet.sessions.keys().filter(|name| !leader.has_heard_from(name)).cloned().collect(),
            absent: fleet.absent.values().cloned().collect(),
        }))
    }

    fn work_status(&mut self, now_us: u64) -> Told {
        let consensus = self.voter.as_ref().and_then(|voter| voter.consensus.as_ref());
        let (Some(consensus), Some(leader)) = (consensus, &mut self.leader) else {
            return Told::NotNow(NO_LEADER.into());
        };
        let sight = leader.fleet_view(now_us, &consensus.fleet, &self.plan.times);
        Told::Work(Box::new((consensus.fleet.work.clone(), sight)))
    }
}
