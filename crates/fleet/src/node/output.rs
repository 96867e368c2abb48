//! What a node hands back to its host: messages to send, changes for the proxy, and events for the log.

use crate::order::Begin;
use crate::words::{Publication, Told, Word};
use crate::work::Step;

/// A way to another process: a connection that this one opened to a voter, or one that it accepted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// The connection opened to the voter of this name.
    Voter(String),
    /// An accepted connection, by the host's number for it.
    Conn(u64),
}

/// Where an answer goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To this process itself.
    Own,
    Link(Link),
}

/// Something that staff or a test may want to know of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This process holds the lease on a duty for a time.
    LeaseHeld {
        duty: String,
        token: u64,
        from_us: u64,
        until_us: u64,
    },
    /// The lease ran out without a renewal.
    LeaseExpired {
        duty: String,
        token: u64,
    },
    /// This process gave the duty up.
    LeaseReleased {
        duty: String,
        token: u64,
    },
    /// A publication passed the fence and is in force here.
    PublicationApplied {
        duty: String,
        token: u64,
        version: u64,
        owner: String,
    },
    /// The fence refused a publication: `seen` is the higher token that stands against it.
    StalePublication {
        duty: String,
        token: u64,
        version: u64,
        owner: String,
        seen: u64,
    },
    BecameLeader {
        term: u64,
    },
    LostLeadership {
        term: u64,
    },
    /// The replicated log began with this many voters.
    LogFounded {
        voters: usize,
    },
    /// The log began without this disk: the voter listens until the others take it in.
    AwaitingAdmission,
    /// A voter's new disk has taken its old one's place.
    VoterReplaced {
        name: String,
    },
    /// A newer process of the same name has the session.
    Superseded,
    /// A process of another fleet connected.
    ForeignFleet {
        fleet: String,
        from: String,
    },
    DiskFailed {
        why: String,
    },
    DiskRecovered,
    /// The leader gave a duty to a process.
    DutyGranted {
        duty: String,
        token: u64,
        to: String,
    },
    /// A machine of a plan has come to another stage: told by the leader.
    WorkStepped {
        step: Step,
    },
    /// The maintenance system has not begun work on a machine.
    WorkNotStarted {
        machine: String,
        why: String,
    },
}

/// What a maintenance system answered to a call that begins work.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkStart {
    Started,
    /// It has heard from an owner with this higher token.
    StaleToken(u64),
    Refused(String),
}

/// One thing for the host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send(Link, Word),
    /// Nothing more is to be received from there.
    Close(Link),
    /// From now on each connection begins with this; those that are open get it too.
    Hello(Word),
    /// For the proxy: these backends are out for the whole fleet.
    Apply(Publication),
    /// The answer to the call of this number.
    Answer(u64, Told),
    Event(Event),
    /// Until when the proxy may send anything to a backend, by its own clock.
    SendUntil(u64),
    /// Whether the proxy itself is to be drained for work.
    Drain(bool),
    /// For the maintenance system.
    StartWork(Begin),
}
