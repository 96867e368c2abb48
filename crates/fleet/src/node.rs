//! One process's whole part in the fleet, as a state machine without I/O or clock: messages, calls and time go in,
//! outputs come out, and `pump` writes what must be on disk before they do. Called by `crankpick-carry` with what its
//! sockets and its clock say, and by tests in virtual time.
//!
//! | module | job |
//! | --- | --- |
//! | `messages` | who sent a message, and which part it is for |
//! | `renewal` | the session: heartbeats to the leader, their answers, leases |
//! | `calls`, `requests` | calls of this process to the fleet; those of others, answered by the leader |
//! | `voter`, `leadership` | founding and agreement among the voters; what their leader does |
//! | `publication` | which backends are out, published by one owner |
//! | `maintenance` | machines out for work, decided by one owner |
//! | `persistence` | the disk, and its failure |
//! | `output` | what the host is to do |

mod calls;
mod leadership;
mod maintenance;
mod messages;
mod output;
mod persistence;
mod publication;
mod renewal;
mod requests;
mod voter;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::kept::Kept;
use crate::lead::Lead;
use crate::lease::Times;
use crate::order::Owner;
use crate::session::Session;
use crate::sight::View;
use crate::state::Fleet;
use crate::words::{Publication, Who, Word};
use crate::work::Terms;

pub use output::{Event, Link, Output, Route, WorkStart};

use calls::Calls;
use messages::Peer;
use requests::Requester;
use voter::Voter;

/// What a process is by its file.
#[derive(Clone, Debug)]
pub struct Plan {
    pub fleet: String,
    pub name: String,
    /// The voters' names, this process's own among them if it is one.
    pub voters: Vec<String>,
    pub times: Times,
    pub terms: Terms,
}

/// One process of the fleet. All times are in microseconds by this process's own steady clock.
pub struct Node {
    plan: Plan,
    /// This process's own name and incarnation.
    process: Who,
    seed: u64,
    kept: Kept,
    pub session: Session,
    voter: Option<Voter>,
    /// While this process leads the voters.
    leader: Option<Lead<Route>>,
    /// Why the disk takes no writes, where it doesn't.
    disk_error: Option<String>,
    /// The voter that the session is with, in the plan's order.
    voter_index: usize,
    /// By accepted connection.
    peers: BTreeMap<u64, Peer>,
    calls: Calls,
    /// As leader: commands of requesters that have yet to be applied, by number.
    proposals: BTreeMap<u64, Requester>,
    outputs: VecDeque<Output>,
    /// Taken, and written with the next pump.
    unwritten: Option<Publication>,
    exiting: bool,
    next_hello_us: u64,
    /// While this process owns the work.
    work_owner: Option<Owner>,
    reviewed_us: u64,
    /// Unix time, as last told: for hours in which nothing goes, and for the record.
    pub wall_us: u64,
    /// Until when the proxy may send, as it was last told.
    send_until_us: u64,
    /// Whether the proxy is to be drained, as it was last told.
    draining: bool,
}

impl Node {
    /// A process that starts now, with what its disk holds. `seed` draws the times to an election.
    pub fn new(now_us: u64, plan: Plan, incarnation: u64, kept: Kept, seed: u64) -> Self {
        let process = Who { name: plan.name.clone(), incarnation };
        let mut session = Session::new(process.clone(), plan.times, kept.taken.clone());
        session.terms = plan.terms;
        session.hurry(now_us);
        let mut node = Node {
            voter_index: spread(&process.name) % plan.voters.len().max(1),
            next_hello_us: now_us + plan.times.lease_us,
            plan,
            process,
            seed,
            kept: Kept::default(),
            session,
            voter: None,
            leader: None,
            disk_error: None,
            peers: BTreeMap::new(),
            calls: Calls::default(),
            proposals: BTreeMap::new(),
            outputs: VecDeque::new(),
            unwritten: None,
            exiting: false,
            work_owner: None,
            reviewed_us: 0,
            wall_us: 0,
            send_until_us: 0,
            draining: false,
        };
        node.report_send_right();
        if let Some(taken) = &kept.taken {
            node.outputs.push_back(Output::Apply(taken.clone()));
        }
        node.load(now_us, kept);
        node
    }

    /// Takes up what the disk holds.
    fn load(&mut self, now_us: u64, kept: Kept) {
        self.kept = kept;
        self.session.kept = self.kept.taken.as_ref().map_or(0, |taken| taken.version);
        self.start_voter(now_us);
    }

    /// To be called once each tick of the plan's times, and after what came in.
    pub fn tick(&mut self, now_us: u64) {
        for (duty, token) in self.session.holding.lapsed(now_us) {
            self.event(Event::LeaseExpired { duty, token });
        }
        self.repeat_hello(now_us);
        self.tick_voter(now_us);
        self.renew(now_us);
        self.publish(now_us);
        self.review_work(now_us);
        self.retry_calls(now_us);
    }

    /// Said again from time to time: one that was lost would leave a voter taken for none, or the reverse.
    fn repeat_hello(&mut self, now_us: u64) {
        if now_us >= self.next_hello_us {
            self.next_hello_us = now_us + self.plan.times.lease_us;
            let hello = self.hello();
            self.outputs.push_back(Output::Hello(hello));
        }
    }

    /// What is to be done now, in order.
    pub fn take_outputs(&mut self) -> impl Iterator<Item = Output> + '_ {
        self.outputs.drain(..)
    }

    fn event(&mut self, event: Event) {
        self.outputs.push_back(Output::Event(event));
    }

    fn send(&mut self, link: Link, message: Word) {
        self.outputs.push_back(Output::Send(link, message));
    }

    // What is known of this process.

    /// The first message on each connection. A voter is who has that part running: the newer process of an upgrade
    /// goes by the same name and has not.
    pub fn hello(&self) -> Word {
        let voter = self.voter.is_some();
        Word::Hello { fleet: self.plan.fleet.clone(), who: self.process.clone(), voter }
    }

    /// Name and incarnation.
    pub fn process_name(&self) -> String {
        self.process.to_string()
    }

    /// Has the log, and is one of those who vote on it.
    pub fn is_voter(&self) -> bool {
        self.agreement().is_some_and(|agreement| agreement.started() && agreement.votes())
    }

    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// The agreed state, where this process votes.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.agreement().filter(|agreement| agreement.started()).map(|agreement| &agreement.fleet)
    }

    /// Why the disk takes no writes, where it doesn't.
    pub fn disk_error(&self) -> Option<&str> {
        self.disk_error.as_deref()
    }

    /// The state of this process, in a line for whoever looks for a fault.
    pub fn describe(&self) -> String {
        let agreement = self.agreement().map(|agreement| {
            let (term, leader) = (agreement.term(), agreement.leader().unwrap_or("nobody"));
            format!("term {term}, leader {leader}, voters {:?}", agreement.fleet.seats)
        });
        let taken = self.session.taken.as_ref().map_or(0, |taken| taken.version);
        format!("seat {}, {agreement:?}, version {taken}, led by {:?}", self.kept.seat, self.session.leader)
    }

    // What the proxy tells.

    /// The proxy has told its module of this version; at these of the backends out it still has something in hand.
    pub fn version_applied(&mut self, now_us: u64, version: u64, busy: BTreeSet<String>) {
        self.session.acts(now_us, version, busy);
        self.report_send_right();
    }

    /// What the proxy sees of its backends.
    pub fn set_view(&mut self, view: View) {
        self.session.sees(view);
    }

    /// Whether the proxy has nothing in hand.
    pub fn set_idle(&mut self, now_us: u64, idle: bool) {
        if self.session.empty != idle {
            self.session.empty = idle;
            self.session.hurry(now_us);
        }
    }

    /// The longest that an execution of the proxy may take.
    pub fn set_longest_execution(&mut self, now_us: u64, longest_us: u64) {
        self.session.terms.longest_us = longest_us;
        self.session.hurry(now_us);
    }

    /// Whether this process would own duties: not while it is drained or exits.
    pub fn set_willing(&mut self, now_us: u64, willing: bool) {
        self.session.willing = willing && !self.exiting;
        if !self.session.willing {
            let released = self.session.let_go_all(now_us);
            self.report_released(released);
        }
        self.session.hurry(now_us);
    }

    /// The process is about to exit: duties and the lead go to others at once.
    pub fn prepare_exit(&mut self, now_us: u64) {
        self.exiting = true;
        self.set_willing(now_us, false);
        self.transfer_leadership();
    }

    /// The process exits now, and has answered all that it took.
    pub fn announce_exit(&mut self, now_us: u64) {
        let process = self.process.clone();
        self.process_exits(now_us, process);
    }

    /// A process exits: noted by the leader, passed on to it by others.
    fn process_exits(&mut self, now_us: u64, process: Who) {
        if let Some(leader) = &mut self.leader {
            leader.parted(process);
            self.tick(now_us);
        } else if let Some(link) = self.link_to_leader() {
            self.send(link, Word::Part(process));
        }
    }

    /// Tells the proxy until when it may send, where that has changed.
    fn report_send_right(&mut self) {
        let send_until_us = self.session.right_until();
        if send_until_us != self.send_until_us {
            self.send_until_us = send_until_us;
            self.outputs.push_back(Output::SendUntil(send_until_us));
        }
    }
}

/// Spreads processes over the voters by name, so that a restart finds the same one.
fn spread(name: &str) -> usize {
    name.bytes().fold(0, |sum: usize, byte| sum.wrapping_mul(31).wrapping_add(byte as usize))
}
