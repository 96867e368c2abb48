//! Incoming messages: identifies the sender, dispatches to the part concerned, and determines the return
//! route.

use crate::messages::{Message, ProcessId};

use super::{Event, Link, Node, Output};

/// The process at the other end of an accepted connection, as introduced by its hello.
pub(super) struct Peer {
    process: ProcessId,
    voter: bool,
}

/// Where a message came from.
pub(super) struct Sender {
    pub(super) name: String,
    voter: bool,
    pub(super) link: Link,
}

impl Node {
    /// Handles a message. A message from a connection without a preceding hello is dropped.
    pub fn receive(&mut self, now_us: u64, link: Link, message: Message) {
        if let (Link::Conn(conn), Message::Hello { fleet, who, voter }) = (&link, &message) {
            self.introduce(*conn, fleet, who, *voter);
            return;
        }
        if let Some(sender) = self.sender(link) {
            self.dispatch(now_us, sender, message);
        }
    }

    fn introduce(&mut self, conn: u64, fleet: &str, process: &ProcessId, voter: bool) {
        if fleet != self.plan.fleet {
            self.event(Event::ForeignFleet { fleet: fleet.to_owned(), from: process.name.clone() });
            self.outputs.push_back(Output::Close(Link::Conn(conn)));
            return;
        }
        let voter = voter && self.plan.voters.contains(&process.name);
        self.peers.insert(conn, Peer { process: process.clone(), voter });
    }

    fn sender(&self, link: Link) -> Option<Sender> {
        let (name, voter) = match &link {
            Link::Voter(name) => (name.clone(), true),
            Link::Conn(conn) => self.peers.get(conn).map(|peer| (peer.process.name.clone(), peer.voter))?,
        };
        Some(Sender { name, voter, link })
    }

    fn dispatch(&mut self, now_us: u64, sender: Sender, message: Message) {
        // Messages are forwarded at most once. Otherwise two voters that each take the other for the leader
        // would forward a message to each other forever.
        let direct = |process: &ProcessId| process.name == sender.name;
        match message {
            Message::Hello { .. } | Message::Beat => {}
            Message::Seat(seat) => self.receive_seat(&sender, seat),
            Message::Agree(message) => self.receive_consensus(&sender, &message),
            Message::Renew(renewal) => self.receive_renewal(now_us, &sender, renewal),
            Message::Renewed(answer) if answer.who == self.process => self.renewed(now_us, answer),
            Message::Renewed(answer) => self.pass_on(answer.who.clone(), Message::Renewed(answer)),
            Message::Nudge(process) if process == self.process => self.session.renew_now(now_us),
            Message::Nudge(process) => self.pass_on(process.clone(), Message::Nudge(process)),
            Message::Release { duty, token, who } => {
                if self.leader.is_some() || direct(&who) {
                    self.release(duty, token, who);
                }
            }
            Message::Ask { who, call, ask } => self.receive_request(now_us, &sender, who, call, ask),
            Message::Told { who, call, told } if who == self.process => self.complete_call(call, told),
            Message::Told { who, call, told } => self.pass_on(who.clone(), Message::Told { who, call, told }),
            Message::Publish { publication, passed } => {
                self.receive_publication(sender.link, publication, passed);
            }
            Message::Stale { duty, token, .. } => self.lose_duty(&duty, token),
            Message::Away => self.next_session_voter(now_us),
            Message::Part(process) => {
                // A process announces only its own exit; a voter may forward the announcement to the leader.
                if direct(&process) || sender.voter && self.leader.is_some() {
                    self.process_exits(now_us, process);
                }
            }
        }
    }

    /// A receiver or a maintenance system reports that the lease belongs to another process. That overrides
    /// the local clock.
    pub(super) fn lose_duty(&mut self, duty: &str, token: u64) {
        if self.session.leases.release(duty, token) {
            self.report_released(vec![(duty.to_owned(), token)]);
        }
    }

    /// A connection has closed.
    pub fn connection_closed(&mut self, now_us: u64, link: &Link) {
        match link {
            Link::Conn(conn) => {
                self.peers.remove(conn);
            }
            Link::Voter(name) => {
                if self.session_voter() == Some(name.as_str()) && self.voter.is_none() {
                    self.next_session_voter(now_us);
                }
            }
        }
    }

    /// Connections from processes that are not voters, in ascending order.
    pub(super) fn session_connections(&self) -> Vec<u64> {
        self.peers.iter().filter(|(_, peer)| !peer.voter).map(|(conn, _)| *conn).collect()
    }

    /// Forwards to the process over a connection accepted from it: preferably one that is not a voter's, and
    /// the latest.
    fn pass_on(&mut self, process: ProcessId, message: Message) {
        let mut connections = self.peers.iter().rev().filter(|(_, peer)| peer.process == process);
        let latest = connections.clone().next();
        let connection = connections.find(|(_, peer)| !peer.voter).or(latest);
        if let Some((conn, _)) = connection {
            self.send(Link::Conn(*conn), message);
        }
    }

    /// The return route to a message's sender: to a voter, over the connection opened by this process.
    pub(super) fn return_link(&self, sender: &Sender) -> Link {
        match sender.voter && sender.name != self.process.name {
            true => Link::Voter(sender.name.clone()),
            false => sender.link.clone(),
        }
    }
}
