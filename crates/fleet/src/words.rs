//! What processes of a fleet say to one another, and the values all parts of this crate share. Called by
//! every other module here, and by the carrier, which turns words into frames.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::sight::{Seen, Sight};
use crate::state::{Command, Outcome};
use crate::work::{Absent, Terms, Work};

/// The duty of publishing which backends are out for the whole fleet.
pub const OUTS: &str = "outs";
/// The duty of settling which machines go out for work, and when.
pub const WORK: &str = "work";
/// Pieces of fleet work that have one owner at a time.
pub const DUTIES: &[&str] = &[OUTS, WORK];

/// One process of one proxy. The name outlives restarts, the incarnation is new with each.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Who {
    pub name: String,
    pub incarnation: u64,
}

impl std::fmt::Display for Who {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{:x}", self.name, self.incarnation)
    }
}

/// Which backends are out, as an owner publishes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    pub token: u64,
    pub version: u64,
    pub outs: BTreeSet<String>,
    /// For the record alone: the token decides.
    pub owner: String,
}

/// A session's sign of life, and what it has to say of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    pub who: Who,
    /// By the sender's own clock, which nobody else reads: it comes back with the answer.
    pub sent_us: u64,
    /// Whether it would own duties.
    pub willing: bool,
    /// A voter's disk, or that of another proxy, takes writes.
    pub writable: bool,
    pub voter: bool,
    pub taken_token: u64,
    pub taken: u64,
    /// The version that its queries are decided under.
    pub acted: u64,
    /// The version that it has heard to be agreed.
    pub heard: u64,
    /// The version that its disk holds, where it has one that takes writes.
    pub kept: u64,
    pub terms: Terms,
    pub seen: Seen,
    /// The revision of the work that it has, as the duty's owner.
    pub work: Option<u64>,
}

/// The leader's answer, given only once a majority has confirmed that it still leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewed {
    pub who: Who,
    pub sent_us: u64,
    /// Another process of the same name has come since: this one owns nothing any more.
    pub superseded: bool,
    /// What it owns, and the tokens.
    pub duties: Vec<(String, u64)>,
    pub version: u64,
    /// The tokens last given: what a receiver that has restarted must not fall behind.
    pub tokens: Vec<(String, u64)>,
    /// To an owner that has not heard of `version` yet.
    pub outs: Option<BTreeSet<String>>,
    pub leader: String,
    /// While there is a plan: its revision, and the backends that are next to go.
    pub next: Option<(u64, Vec<String>)>,
    /// This proxy is itself to be drained for work.
    pub drained: bool,
    /// To the owner of the work, and what all proxies see.
    pub work: Option<Box<Desk>>,
}

/// What the owner of the work has before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Desk {
    pub revision: u64,
    /// Where it has another revision.
    pub work: Option<Work>,
    pub sight: Sight,
}

/// What is told of one proxy.
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
    /// Since the leader last heard of it.
    pub silent_us: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub leader: String,
    pub term: u64,
    pub version: u64,
    pub outs: BTreeSet<String>,
    /// Owner, where there is one, and the token last given.
    pub duties: BTreeMap<String, (Option<String>, u64)>,
    pub members: Vec<MemberStatus>,
    /// Proxies that have a session by the agreed record and were not heard of by this leader.
    pub unheard: Vec<String>,
    /// Proxies that left and may send all the same.
    pub absent: Vec<Absent>,
}

/// What an operator asks of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Command(Command),
    Status,
    /// The plans, and what the leader has been told of all proxies.
    Work,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    Done(Outcome),
    Status(Box<Status>),
    Work(Box<(Work, Sight)>),
    /// For now: nobody leads, or too much is in hand.
    NotNow(String),
}

/// A voter's place at the founding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    pub id: u64,
    pub roster: Option<Roster>,
    pub started: bool,
}

/// The voters by name, and the number that each one's disk was given when it was new.
pub type Roster = BTreeMap<String, u64>;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// First on each connection.
    Hello {
        fleet: String,
        who: Who,
        voter: bool,
    },
    /// Says that the connection lives.
    Beat,
    Seat(Seat),
    /// The engine's, as it writes them.
    Agree(Vec<u8>),
    Renew(Renewal),
    Renewed(Renewed),
    /// Something has changed for you: renew at once.
    Nudge(Who),
    /// An owner has let go.
    Release {
        duty: String,
        token: u64,
        who: Who,
    },
    Ask {
        who: Who,
        call: u64,
        ask: Ask,
    },
    Told {
        who: Who,
        call: u64,
        told: Told,
    },
    /// Passed on by a voter at most once: never by one that was passed it.
    Publish {
        publication: Publication,
        passed: bool,
    },
    /// The fence has seen a higher token.
    Stale {
        duty: String,
        token: u64,
        seen: u64,
    },
    /// This voter can't serve sessions for now.
    Away,
    /// This process ends, and has answered all that it took.
    Part(Who),
}
