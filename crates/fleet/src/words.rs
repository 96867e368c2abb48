//! What processes of a fleet say to one another, and the values all parts of this crate share. Called by
//! every other module here, and by the carrier, which turns words into frames.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::state::{Command, Outcome};

/// The duty of publishing which backends are out for the whole fleet.
pub const OUTS: &str = "outs";
/// Pieces of fleet work that have one owner at a time.
pub const DUTIES: &[&str] = &[OUTS];

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
}

/// What an operator asks of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Command(Command),
    Status,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    Done(Outcome),
    Status(Box<Status>),
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
}
