//! Outputs of a node to its host: messages to send, changes for the proxy, and events for the log.

use crate::messages::{Message, Publication, Told};
use crate::scheduler::WorkStartRequest;
use crate::work::Step;

/// A route to another process: a connection opened to a voter, or an accepted one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// The connection opened to the voter of this name.
    Voter(String),
    /// An accepted connection, by the host's number for it.
    Conn(u64),
}

/// The destination of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// This process itself.
    Own,
    Link(Link),
}

/// An event for operators and tests.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This process holds the lease on a duty until the given time.
    LeaseHeld {
        duty: String,
        token: u64,
        from_us: u64,
        until_us: u64,
    },
    /// The lease expired without a renewal.
    LeaseExpired {
        duty: String,
        token: u64,
    },
    /// This process gave up the duty.
    LeaseReleased {
        duty: String,
        token: u64,
    },
    /// A publication was accepted and is in force here.
    PublicationApplied {
        duty: String,
        token: u64,
        version: u64,
        owner: String,
    },
    /// The fence rejected a publication, because the higher token `seen` was accepted before.
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
    /// The replicated log was created with this many voters.
    LogFounded {
        voters: usize,
    },
    /// The log was created without this disk: the voter listens until the others admit it.
    AwaitingAdmission,
    /// A voter's new disk has replaced its old one.
    VoterReplaced {
        name: String,
    },
    /// A newer process of the same name has taken the session.
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
    /// The leader granted a duty to a process.
    DutyGranted {
        duty: String,
        token: u64,
        to: String,
    },
    /// A machine of a plan entered another stage. Reported by the leader.
    WorkStepped {
        step: Step,
    },
    /// The maintenance system did not start work on a machine.
    WorkNotStarted {
        machine: String,
        why: String,
    },
}

/// A maintenance system's answer to a call that starts work.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkStart {
    Started,
    /// It has seen an owner with this higher token.
    StaleToken(u64),
    Refused(String),
}

/// An instruction to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send(Link, Message),
    /// Receive nothing more from there.
    Close(Link),
    /// The new first message of each connection; connections that are already open get it too.
    Hello(Message),
    /// For the proxy: the set of backends that are out of service fleet-wide.
    Apply(Publication),
    /// The answer to the call of this number.
    Answer(u64, Told),
    Event(Event),
    /// Until when the proxy may send anything to a backend, by its own clock.
    SendUntil(u64),
    /// Whether the proxy itself is to be drained for maintenance.
    Drain(bool),
    /// For the maintenance system.
    StartWork(WorkStartRequest),
}
