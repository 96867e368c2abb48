//! One process's part in the fleet, as a state machine without I/O or a clock: messages, calls and time are
//! inputs, and `pump` persists what must be on disk before outputs are released. Driven by `crankpick-carry`
//! with its sockets and clock, and by tests in virtual time.
//!
//! | module | job |
//! | --- | --- |
//! | `messages` | identifies the sender of a message and dispatches it |
//! | `renewal` | the session: heartbeats to the leader, their answers, leases |
//! | `calls`, `requests` | calls of this process to the fleet; calls of others, answered by the leader |
//! | `voter`, `leadership` | log creation and consensus among the voters; the duties of their leader |
//! | `publication` | the set of backends out of service, published by its owner |
//! | `maintenance` | maintenance of machines, scheduled by its owner |
//! | `persistence` | the disk and its failures |
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

use crate::leader::LeaderState;
use crate::lease::Timing;
use crate::messages::{Message, ProcessId, Publication};
use crate::observation::View;
use crate::scheduler::Owner;
use crate::session::Session;
use crate::state::Fleet;
use crate::storage::PersistentState;
use crate::work::SendPolicy;

pub use output::{Event, Link, Output, Route, WorkStart};

use calls::Calls;
use messages::Peer;
use requests::Requester;
use voter::Voter;

/// A process's configuration, from the fleet file.
#[derive(Clone, Debug)]
pub struct Plan {
    pub fleet: String,
    pub name: String,
    /// The voters' names, including this process's own if it is one.
    pub voters: Vec<String>,
    pub times: Timing,
    pub terms: SendPolicy,
}

/// One process of the fleet. All times are in microseconds by this process's own monotonic clock.
pub struct Node {
    plan: Plan,
    /// This process's own name and incarnation.
    process: ProcessId,
    seed: u64,
    kept: PersistentState,
    pub session: Session,
    voter: Option<Voter>,
    /// Set while this process leads the voters.
    leader: Option<LeaderState<Route>>,
    /// Why the disk accepts no writes, if it does not.
    disk_error: Option<String>,
    /// Index in `Plan::voters` of the voter that the session is with.
    voter_index: usize,
    /// By accepted connection.
    peers: BTreeMap<u64, Peer>,
    calls: Calls,
    /// As leader: the requesters of commands that have not been applied yet, by call number.
    proposals: BTreeMap<u64, Requester>,
    outputs: VecDeque<Output>,
    /// Accepted, to be persisted by the next `pump`.
    unwritten: Option<Publication>,
    exiting: bool,
    next_hello_us: u64,
    /// Set while this process owns the work duty.
    work_owner: Option<Owner>,
    reviewed_us: u64,
    /// Unix time as last set by the host: for quiet hours and for timestamps in the log.
    pub wall_us: u64,
    /// Until when the proxy may send, as last reported to it.
    send_until_us: u64,
    /// Whether the proxy is to be drained, as last reported to it.
    draining: bool,
}

impl Node {
    /// A process that starts now, with the contents of its disk. `seed` determines the election timeouts.
    pub fn new(now_us: u64, plan: Plan, incarnation: u64, kept: PersistentState, seed: u64) -> Self {
        let process = ProcessId { name: plan.name.clone(), incarnation };
        let mut session = Session::new(process.clone(), plan.times, kept.taken.clone());
        session.terms = plan.terms;
        session.renew_now(now_us);
        let mut node = Node {
            voter_index: spread(&process.name) % plan.voters.len().max(1),
            next_hello_us: now_us + plan.times.lease_us,
            plan,
            process,
            seed,
            kept: PersistentState::default(),
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

    /// Takes over the contents of the disk.
    fn load(&mut self, now_us: u64, kept: PersistentState) {
        self.kept = kept;
        self.session.kept = self.kept.taken.as_ref().map_or(0, |taken| taken.version);
        self.start_voter(now_us);
    }

    /// To be called at every tick (`Timing::tick_us`) and after inputs.
    pub fn tick(&mut self, now_us: u64) {
        for (duty, token) in self.session.leases.take_expired(now_us) {
            self.event(Event::LeaseExpired { duty, token });
        }
        self.repeat_hello(now_us);
        self.tick_voter(now_us);
        self.renew(now_us);
        self.publish(now_us);
        self.review_work(now_us);
        self.retry_calls(now_us);
    }

    /// Repeated periodically: if a hello were lost, a voter would be mistaken for a process that is none, or
    /// the reverse.
    fn repeat_hello(&mut self, now_us: u64) {
        if now_us >= self.next_hello_us {
            self.next_hello_us = now_us + self.plan.times.lease_us;
            let hello = self.hello();
            self.outputs.push_back(Output::Hello(hello));
        }
    }

    /// The pending outputs, in order.
    pub fn take_outputs(&mut self) -> impl Iterator<Item = Output> + '_ {
        self.outputs.drain(..)
    }

    fn event(&mut self, event: Event) {
        self.outputs.push_back(Output::Event(event));
    }

    fn send(&mut self, link: Link, message: Message) {
        self.outputs.push_back(Output::Send(link, message));
    }

    // Properties of this process.

    /// The first message on each connection. Only a process whose voter is running counts as a voter: during
    /// an upgrade, the newer process has the same name but no running voter.
    pub fn hello(&self) -> Message {
        let voter = self.voter.is_some();
        Message::Hello { fleet: self.plan.fleet.clone(), who: self.process.clone(), voter }
    }

    /// Name and incarnation.
    pub fn process_name(&self) -> String {
        self.process.to_string()
    }

    /// Whether it has the log and is a voting member.
    pub fn is_voter(&self) -> bool {
        self.consensus().is_some_and(|consensus| consensus.started() && consensus.is_voter())
    }

    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// The replicated state, if this process is a voter.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.consensus().filter(|consensus| consensus.started()).map(|consensus| &consensus.fleet)
    }

    /// Why the disk accepts no writes, if it does not.
    pub fn disk_error(&self) -> Option<&str> {
        self.disk_error.as_deref()
    }

    /// The state of this process in one line, for diagnostics.
    pub fn describe(&self) -> String {
        let consensus = self.consensus().map(|consensus| {
            let (term, leader) = (consensus.term(), consensus.leader().unwrap_or("nobody"));
            format!("term {term}, leader {leader}, voters {:?}", consensus.fleet.seats)
        });
        let taken = self.session.taken.as_ref().map_or(0, |taken| taken.version);
        format!("seat {}, {consensus:?}, version {taken}, led by {:?}", self.kept.seat, self.session.leader)
    }

    // Inputs from the proxy.

    /// The proxy's dispatch has applied this version; at `busy`, of the backends that are out, it still has
    /// queries in progress.
    pub fn version_applied(&mut self, now_us: u64, version: u64, busy: BTreeSet<String>) {
        self.session.record_applied(now_us, version, busy);
        self.report_send_right();
    }

    /// The proxy's observations of its backends.
    pub fn set_view(&mut self, view: View) {
        self.session.set_view(view);
    }

    /// Whether the proxy has no queries in progress.
    pub fn set_idle(&mut self, now_us: u64, idle: bool) {
        if self.session.idle != idle {
            self.session.idle = idle;
            self.session.renew_now(now_us);
        }
    }

    /// The longest that one of the proxy's executions may take.
    pub fn set_longest_execution(&mut self, now_us: u64, longest_us: u64) {
        self.session.terms.longest_us = longest_us;
        self.session.renew_now(now_us);
    }

    /// Whether this process accepts duties: not while it is drained or exiting.
    pub fn set_willing(&mut self, now_us: u64, willing: bool) {
        self.session.willing = willing && !self.exiting;
        if !self.session.willing {
            let released = self.session.release_all(now_us);
            self.report_released(released);
        }
        self.session.renew_now(now_us);
    }

    /// The process is about to exit: hands over its duties and the leadership at once.
    pub fn prepare_exit(&mut self, now_us: u64) {
        self.exiting = true;
        self.set_willing(now_us, false);
        self.transfer_leadership();
    }

    /// The process exits now and has answered all queries that it accepted.
    pub fn announce_exit(&mut self, now_us: u64) {
        let process = self.process.clone();
        self.process_exits(now_us, process);
    }

    /// A process exits: recorded if this is the leader, forwarded to the leader otherwise.
    fn process_exits(&mut self, now_us: u64, process: ProcessId) {
        if let Some(leader) = &mut self.leader {
            leader.process_exited(process);
            self.tick(now_us);
        } else if let Some(link) = self.link_to_leader() {
            self.send(link, Message::Part(process));
        }
    }

    /// Reports to the proxy until when it may send, if that has changed.
    fn report_send_right(&mut self) {
        let send_until_us = self.session.send_until_us();
        if send_until_us != self.send_until_us {
            self.send_until_us = send_until_us;
            self.outputs.push_back(Output::SendUntil(send_until_us));
        }
    }
}

/// Distributes processes over the voters by name, so that a restarted process chooses the same one.
fn spread(name: &str) -> usize {
    name.bytes().fold(0, |sum: usize, byte| sum.wrapping_mul(31).wrapping_add(byte as usize))
}
