//! Messages exchanged between the processes of a fleet, and the values shared by all modules of this crate.
//! `crankpick-carry` encodes the messages as frames.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::observation::{FleetView, ProxyReport};
use crate::state::{Command, Outcome};
use crate::work::{DepartedProxy, SendPolicy, Work};

/// The duty of publishing which backends are out of service for the whole fleet.
pub const OUTS: &str = "outs";
/// The duty of scheduling maintenance work: which machines are taken out of service, and when.
pub const WORK: &str = "work";
/// All duties. Each has at most one owner at a time.
pub const DUTIES: &[&str] = &[OUTS, WORK];

/// One process of one proxy. The name survives restarts; the incarnation is new with each start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    pub name: String,
    pub incarnation: u64,
}

impl std::fmt::Display for ProcessId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{:x}", self.name, self.incarnation)
    }
}

/// The set of backends that are out of service, as published by the duty's owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    pub token: u64,
    pub version: u64,
    pub outs: BTreeSet<String>,
    /// Informational only: receivers decide by the token.
    pub owner: String,
}

/// Heartbeat of a session, with the sender's current state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    pub who: ProcessId,
    /// In the sender's own clock. Only the sender reads it, from the answer that echoes it.
    pub sent_us: u64,
    /// Whether this process accepts ownership of duties.
    pub willing: bool,
    /// Whether the disk of this process accepts writes.
    pub writable: bool,
    pub voter: bool,
    pub taken_token: u64,
    pub taken: u64,
    /// The version that the proxy's query dispatch has applied.
    pub acted: u64,
    /// The newest committed version that the process has heard of.
    pub heard: u64,
    /// The version that its disk holds, if the disk accepts writes.
    pub kept: u64,
    pub terms: SendPolicy,
    pub seen: ProxyReport,
    /// The revision of the maintenance plans that it holds as owner of the work duty.
    pub work: Option<u64>,
}

/// The leader's answer to a renewal, sent only after a majority has confirmed that it still leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewed {
    pub who: ProcessId,
    pub sent_us: u64,
    /// A newer process of the same name has taken the session; this one no longer owns anything.
    pub superseded: bool,
    /// Duties that the process owns, with their fencing tokens.
    pub duties: Vec<(String, u64)>,
    pub version: u64,
    /// The last token granted for each duty. A restarted receiver must not accept anything below it.
    pub tokens: Vec<(String, u64)>,
    /// Sent to an owner that has not heard of `version` yet.
    pub outs: Option<BTreeSet<String>>,
    pub leader: String,
    /// While a plan is open: its revision, and the backends that are scheduled to leave next.
    pub next: Option<(u64, Vec<String>)>,
    /// This proxy itself is to be drained for maintenance.
    pub drained: bool,
    /// Sent to the owner of the work duty: the plans, and the aggregated observations of all proxies.
    pub work: Option<Box<WorkContext>>,
}

/// Input for the owner of the work duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkContext {
    pub revision: u64,
    /// Sent if the owner holds a different revision.
    pub work: Option<Work>,
    pub sight: FleetView,
}

/// Status of one proxy, as reported to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub incarnation: String,
    pub voter: bool,
    pub writable: bool,
    pub willing: bool,
    pub token: u64,
    pub taken: u64,
    pub acted: u64,
    /// Time since the leader last heard from it.
    pub silent_us: u64,
}

/// Status of the fleet, as reported to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub leader: String,
    pub term: u64,
    pub version: u64,
    pub outs: BTreeSet<String>,
    /// Current owner, if any, and the last token granted.
    pub duties: BTreeMap<String, (Option<String>, u64)>,
    pub members: Vec<MemberStatus>,
    /// Proxies that have a session in the committed state but have not been heard from by this leader.
    pub unheard: Vec<String>,
    /// Proxies that have left but may still send queries.
    pub absent: Vec<DepartedProxy>,
}

/// A request from an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Command(Command),
    Status,
    /// The plans, and the leader's aggregated observations of all proxies.
    Work,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    Done(Outcome),
    Status(Box<Status>),
    Work(Box<(Work, FleetView)>),
    /// Temporary failure: there is no leader, or too many calls are in progress.
    NotNow(String),
}

/// A voter's state while the replicated log is being created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    pub id: u64,
    pub roster: Option<Roster>,
    pub started: bool,
}

/// The voters by name, with the id that each disk was given when it was new.
pub type Roster = BTreeMap<String, u64>;

/// A message between two processes of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message on each connection.
    Hello {
        fleet: String,
        who: ProcessId,
        voter: bool,
    },
    /// Keepalive.
    Beat,
    Seat(Seat),
    /// A message of the Raft library, in its own encoding.
    Agree(Vec<u8>),
    Renew(Renewal),
    Renewed(Renewed),
    /// Asks the process to renew at once, because something that concerns it has changed.
    Nudge(ProcessId),
    /// An owner gives up a duty.
    Release {
        duty: String,
        token: u64,
        who: ProcessId,
    },
    Ask {
        who: ProcessId,
        call: u64,
        ask: Ask,
    },
    Told {
        who: ProcessId,
        call: u64,
        told: Told,
    },
    /// Forwarded by a voter at most once: a forwarded message is not forwarded again.
    Publish {
        publication: Publication,
        passed: bool,
    },
    /// The receiver's fence has seen a higher token.
    Stale {
        duty: String,
        token: u64,
        seen: u64,
    },
    /// This voter cannot serve sessions at the moment.
    Away,
    /// This process is exiting and has answered all queries that it accepted.
    Part(ProcessId),
}
