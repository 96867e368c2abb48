//! What was seen of a run from outside: by clients, backends, the operator, and whoever made the troubles.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde_json::Value;

use crate::clock::Moment;
use crate::departure::{AcknowledgedDeparture, MachineDisturbance};

/// How a route's requests may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    Mutating,
    /// A stream that may not be taken up again.
    Streaming,
    /// A stream that may be taken up at another backend.
    Resumable,
}

impl RouteKind {
    /// All kinds.
    pub const ALL: [RouteKind; 4] =
        [RouteKind::Idempotent, RouteKind::Mutating, RouteKind::Streaming, RouteKind::Resumable];

    /// Whether a request may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Resumable)
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Streaming | RouteKind::Resumable)
    }
}

/// How a request ended at its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer came; its flaw, if it is none that this request may get.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it bears a backend's seal.
        sealed: bool,
        /// What is wrong with it.
        flaw: Option<String>,
    },
    /// The connection ended before the first byte of an answer.
    CutNoAnswer,
    /// The connection ended within the answer.
    CutMidAnswer,
    /// Nothing came for as long as the client waits.
    Silent,
    /// What came is no answer in the protocol.
    Garbled {
        /// What is wrong with it.
        text: String,
    },
}

/// One request that was written whole, on a connection that is kept.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The request's id; no two are alike.
    pub id: String,
    /// Its route's kind.
    pub kind: RouteKind,
    /// The machine that took its connection.
    pub machine: usize,
    /// Whether the connection goes through the machine's relay.
    pub relayed: bool,
    /// Its place among the requests of its connection, from 0 on.
    pub place: u32,
    /// When the connection came to rest, or was opened. No gateway can have counted a longer rest.
    pub rest_from: Moment,
    /// When its first byte was about to be written.
    pub write_began: Moment,
    /// When its last byte had been written.
    pub written: Moment,
    /// When a gateway may give it up: by what its client tells, or by its route.
    pub deadline: Moment,
    /// When it ended.
    pub ended: Moment,
    /// How.
    pub outcome: Outcome,
}

/// How a run ended at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Its answer was written whole.
    Answered,
    /// The backend broke off.
    BrokenOff,
    /// Its caller closed the connection, or could not be written to.
    CallerGone,
}

/// One run of a request at a backend.
#[derive(Clone, Debug)]
pub struct Run {
    /// The backend.
    pub backend: String,
    /// When it began.
    pub began: Moment,
    /// The moment before the last byte of its answer was written.
    pub last_byte: Option<Moment>,
    /// How it ended, if it has.
    pub end: Option<RunEnd>,
    /// What the id can't tell: method and path as they came.
    pub target: String,
}

/// A configuration that the operator sent.
#[derive(Clone, Debug)]
pub struct Order {
    /// Its number.
    pub generation: u64,
    /// The number of the one that it builds on.
    pub base: u64,
    /// All of it.
    pub document: Value,
    /// What was sent in its place, where it was sent as a patch.
    pub patch: Option<Value>,
    /// Its `idle_timeout_ms`.
    pub idle_timeout: Duration,
    /// When it was first sent.
    pub sent: Moment,
    /// How it ended.
    pub end: OrderEnd,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// No clear answer has come.
    Open,
    /// It was acknowledged.
    Acknowledged(Moment),
    /// It was refused.
    Refused(Moment),
}

impl Order {
    /// When it was acknowledged.
    pub fn acknowledged(&self) -> Option<Moment> {
        match self.end {
            OrderEnd::Acknowledged(moment) => Some(moment),
            _ => None,
        }
    }
}

/// A configuration that was read back.
#[derive(Clone, Debug)]
pub struct Reading {
    /// When the question was sent.
    pub sent: Moment,
    /// The machine that answered.
    pub machine: usize,
    /// What it answered.
    pub document: Value,
    /// Whether it is the last one, after all was healed.
    pub last: bool,
}

/// What befell the way of clients' connections, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisturbanceKind {
    /// The gateway was killed.
    Killed,
    /// The gateway stood still.
    Paused,
    /// The gateway was told to end, and killed as its grace was over.
    GraceOver,
    /// The gateway was told to end some time ago: it ends connections at rest and takes no new ones.
    Leaving,
    /// The relay to the gateway held all up.
    Cut,
    /// The relay to the gateway reset its connections.
    Reset,
}

/// A disturbance of one machine's gateway.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// The machine.
    pub machine: usize,
    /// What it is.
    pub kind: DisturbanceKind,
    /// When it began; before it takes effect.
    pub from: Moment,
    /// When it ended; after it was taken back.
    pub to: Option<Moment>,
}

impl Disturbance {
    /// Whether it can touch a connection.
    pub fn touches(&self, machine: usize, relayed: bool) -> bool {
        let by_relay = matches!(self.kind, DisturbanceKind::Cut | DisturbanceKind::Reset);
        self.machine == machine && (relayed || !by_relay)
    }
}

/// A connection at rest that its gateway ended.
#[derive(Clone, Copy, Debug)]
pub struct EndOfRest {
    /// The machine.
    pub machine: usize,
    /// Whether the connection goes through the machine's relay.
    pub relayed: bool,
    /// When the rest began.
    pub rest_from: Moment,
    /// When its client saw the end.
    pub ended: Moment,
}

/// A time in which the way to a backend was cut or reset.
#[derive(Clone, Debug)]
pub struct BackendDisturbance {
    /// The incarnation's id.
    pub backend: String,
    /// Whether the way was cut; otherwise its connections were reset.
    pub is_cut: bool,
    /// When it began; before it takes effect.
    pub from: Moment,
    /// When it ended; after it was taken back.
    pub to: Option<Moment>,
}

impl BackendDisturbance {
    /// Whether it can have touched a run, as seen at a client until `ended`.
    pub fn touches(&self, run: &Run, ended: Moment) -> bool {
        self.backend == run.backend && self.from <= ended && self.to.is_none_or(|to| to >= run.began)
    }
}

/// The end of a backend.
#[derive(Clone, Debug)]
pub struct BackendEnd {
    /// The incarnation's id.
    pub backend: String,
    /// When it ended; before its connections were reset.
    pub at: Moment,
}

/// A line of a process's log that tells of a broken invariant, or an end that nobody caused.
#[derive(Clone, Debug)]
pub struct ProcessFinding {
    /// The process.
    pub process: String,
    /// What was found.
    pub text: String,
}

/// All that was seen of a run.
#[derive(Debug, Default)]
pub struct History {
    /// Whether the run had no troubles at all.
    pub is_calm: bool,
    /// Requests that were written whole.
    pub exchanges: Vec<Exchange>,
    /// Runs at backends, by the request's id.
    pub runs: HashMap<String, Vec<Run>>,
    /// Orders in the order of their first sending.
    pub orders: Vec<Order>,
    /// Acknowledged orders that were refused when sent again, with no other change between.
    pub repeats_refused: Vec<u64>,
    /// Configurations read back.
    pub readings: Vec<Reading>,
    /// What befell clients' connections.
    pub disturbances: Vec<Disturbance>,
    /// What befell the ways to backends.
    pub backend_disturbances: Vec<BackendDisturbance>,
    /// What processes say of themselves.
    pub process_findings: Vec<ProcessFinding>,
    /// Counts that decide nothing.
    pub notes: BTreeMap<String, u64>,
    /// Connections at rest that their gateways ended.
    pub ends_of_rest: Vec<EndOfRest>,
    /// What befell the processes of machines.
    pub machine_disturbances: Vec<MachineDisturbance>,
    /// Backends that left, as acknowledged.
    pub departures: Vec<AcknowledgedDeparture>,
    /// Backends that ended.
    pub backend_ends: Vec<BackendEnd>,
}

impl History {
    /// Counts something that decides nothing.
    pub fn note(&mut self, what: &str) {
        *self.notes.entry(what.to_owned()).or_default() += 1;
    }

    /// The moment since which a connection may have been at rest, once this request is answered: before it no answer
    /// can have been through at the gateway.
    pub fn earliest_rest(&self, id: &str, written: Moment) -> Moment {
        let runs = self.runs.get(id).into_iter().flatten();
        runs.filter_map(|run| run.last_byte).min().unwrap_or(written)
    }
}
