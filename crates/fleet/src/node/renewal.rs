//! Renewals: this process's own heartbeats to the leader and their answers, and those of other processes,
//! forwarded.

use crate::consensus::Consensus;
use crate::messages::{Message, Renewal, Renewed};
use crate::session::Changes;

use super::messages::Sender;
use super::{Event, Link, Node, Output, Route};

impl Node {
    /// The route to the leader: direct from a voter, otherwise through the voter that the session is with.
    /// None for the leader itself.
    pub(super) fn link_to_leader(&self) -> Option<Link> {
        match self.consensus().filter(|consensus| consensus.started()) {
            Some(consensus) if consensus.is_leader() => None,
            Some(consensus) => consensus.leader().map(|leader| Link::Voter(leader.to_owned())),
            None => self.session_voter().map(|voter| Link::Voter(voter.to_owned())),
        }
    }

    /// The voter that the session is with, if this process is not a voter or its own voter is down.
    pub(super) fn session_voter(&self) -> Option<&str> {
        let voters = self.plan.voters.iter().cycle().skip(self.voter_index).take(self.plan.voters.len());
        voters.map(String::as_str).find(|name| *name != self.process.name)
    }

    /// Moves the session to the next voter.
    pub(super) fn next_session_voter(&mut self, now_us: u64) {
        let position = |name: &str| self.plan.voters.iter().position(|voter| voter == name);
        let index = self.session_voter().and_then(position).unwrap_or(self.voter_index);
        self.voter_index = (index + 1) % self.plan.voters.len().max(1);
        self.session.renew_now(now_us);
    }

    /// Renews the session, if that is due.
    pub(super) fn renew(&mut self, now_us: u64) {
        if self.session.answer_overdue(now_us)
            && self.consensus().is_none_or(|consensus| !consensus.started())
        {
            self.next_session_voter(now_us);
        }
        let Some(renewal) = self.session.next_renewal(now_us, self.voter.is_some()) else { return };
        if let Some(leader) = &mut self.leader {
            leader.record_renewal(now_us, renewal, Route::Own);
        } else if let Some(link) = self.link_to_leader() {
            self.send(link, Message::Renew(renewal));
        }
    }

    /// Handles the answer to this process's own renewal.
    pub(super) fn renewed(&mut self, now_us: u64, answer: Renewed) {
        let was_superseded = self.session.superseded;
        let changes = self.session.handle_answer(now_us, answer);
        if self.session.superseded && !was_superseded {
            self.event(Event::Superseded);
        }
        self.report_leases(changes);
        self.report_send_right();
        self.report_drain();
        self.publish(now_us);
        self.do_work(now_us);
    }

    fn report_leases(&mut self, changes: Changes) {
        for (duty, held) in changes.held {
            let (token, from_us, until_us) = (held.token, held.from_us, held.until_us);
            self.event(Event::LeaseHeld { duty, token, from_us, until_us });
        }
        for (duty, token) in changes.released {
            self.session.leases.release(&duty, token);
            self.report_released(vec![(duty, token)]);
        }
    }

    /// Reports to the proxy whether it is to be drained, if that has changed. A proxy that is to be drained
    /// gives up the leadership.
    fn report_drain(&mut self) {
        if self.session.drained == self.draining {
            return;
        }
        self.draining = self.session.drained;
        self.outputs.push_back(Output::Drain(self.draining));
        if self.draining {
            self.transfer_leadership();
        }
    }

    /// Tells the fleet of duties that this process has given up.
    pub(super) fn report_released(&mut self, released: Vec<(String, u64)>) {
        for (duty, token) in released {
            self.event(Event::LeaseReleased { duty: duty.clone(), token });
            self.release(duty, token, self.process.clone());
        }
    }

    /// Another process's renewal: recorded by the leader, forwarded to it by other voters. A publication that
    /// the sender has missed is sent to it at once.
    pub(super) fn receive_renewal(&mut self, now_us: u64, sender: &Sender, renewal: Renewal) {
        let direct = renewal.who.name == sender.name;
        if direct {
            self.send_missed(sender, &renewal);
        }
        let route = Route::Link(self.return_link(sender));
        if let Some(leader) = &mut self.leader {
            leader.record_renewal(now_us, renewal, route);
        } else if direct {
            self.pass_on_renewal(sender, renewal);
        }
    }

    fn send_missed(&mut self, sender: &Sender, renewal: &Renewal) {
        if let Some(publication) = self.session.missed_by(renewal).cloned() {
            let link = self.return_link(sender);
            self.send(link, Message::Publish { publication, passed: true });
        }
    }

    /// Forwards at most once, to the leader as last known.
    fn pass_on_renewal(&mut self, sender: &Sender, renewal: Renewal) {
        match self.consensus().and_then(Consensus::leader).map(str::to_owned) {
            Some(leader) if leader != self.process.name => {
                self.send(Link::Voter(leader), Message::Renew(renewal));
            }
            _ if self.voter.is_none() => self.send(sender.link.clone(), Message::Away),
            _ => {}
        }
    }
}
