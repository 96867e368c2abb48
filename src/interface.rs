//! The types exchanged between the decisions in `balance` and their host: plain values, and the
//! writer that receives the decisions. Times are whole microseconds; nothing here decides anything.

/// Whether a workload's queries may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Any number of executions is harmless.
    Idempotent,
    /// The backends of a deduplication group drop repeats within a time window.
    Deduplicated,
    /// A query that may have been executed must not be executed again.
    NonIdempotent,
}

/// Which backends share the state that drops repeats of a deduplicated query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// The settings of one class of queries.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Whether its queries may be executed more than once.
    pub repeat: Repeat,
    /// Which backends drop repeats together; only used for deduplicated queries.
    pub group: DedupGroup,
    /// For how long after the first execution repeats are dropped.
    pub window_us: u64,
    /// The time within which an answer earns its full importance.
    pub slo_us: u64,
    /// The value of an answer in time, relative to the other workloads.
    pub importance: f64,
    /// The fraction of the importance still earned between the SLO time and the statement timeout.
    pub tardy_importance: f64,
}

/// The quota of one tenant.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Queries per second, summed over all proxies.
    pub quota_per_s: f64,
    /// The factor applied to the importance of queries beyond the quota.
    pub over_quota_importance: f64,
}

/// What further executions of a query are permitted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutionLimits {
    /// The maximum number of executions, including the first.
    pub max_executions: u32,
    /// Whether two executions of one query may run concurrently.
    pub may_duplicate: bool,
    /// Whether executions can be cancelled.
    pub cancel: bool,
    /// The longest back-off that a client respects; 0 where no advice reaches clients.
    pub max_backoff_us: u64,
}

/// The slow start of backends: a cold backend's capacity rises linearly, and all proxies together must
/// not send it more than a multiple of that capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdRule {
    /// The fraction of its capacity that a backend has when it starts.
    pub start_capacity: f64,
    /// How long a backend takes to warm up.
    pub cold_us: u64,
    /// The work allowed in one window, as a multiple of what the backend can do in it.
    pub capacity_multiple: f64,
    /// The length of the window over which the work is summed.
    pub window_us: u64,
}

/// The state in which the list of backends has a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Takes queries.
    Ready,
    /// Drains: takes no new queries.
    Terminating,
    /// Removed.
    #[default]
    Gone,
}

/// One entry of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listed {
    /// The backend's id.
    pub backend: u32,
    /// The zone that it is in.
    pub zone: u32,
    /// The cell that it is in.
    pub cell: u32,
    /// Its state.
    pub phase: Phase,
    /// Its relative capacity.
    pub weight: f64,
    /// When it last started; 0 means long ago.
    pub since_us: u64,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A complete answer came.
    Completed,
    /// The backend answered with an error.
    Errored,
    /// The backend rejected it without executing it.
    Rejected,
    /// No answer came before the time-out.
    TimedOut,
    /// No connection to the backend came up.
    Unreachable,
    /// The connection broke before the answer was complete, or the answer could not be read.
    Dropped,
    /// A reused idle connection broke before any response: the connection, not the backend, may have failed.
    Stale,
    /// It was cancelled.
    Cancelled,
    /// It never left the proxy.
    NotSent,
}

/// A backend's report of its own load; values that a deployment does not report are absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The utilisation of its processors, from 0 to 1.
    pub utilisation: Option<f64>,
    /// Queries in flight at the backend, those of this proxy included.
    pub in_flight: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// The state of one backend for planners outside this crate, such as fleet maintenance; in load units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendCapacity {
    /// The backend's id.
    pub backend: u32,
    /// The zone that it is in.
    pub zone: u32,
    /// The cell that it is in.
    pub cell: u32,
    /// Whether it may be sent queries.
    pub ready: bool,
    /// The load that this proxy has in flight there.
    pub load: f64,
    /// The estimated maximum load.
    pub max: f64,
    /// Whether its last outcomes were all failures, or it is ejected.
    pub lost: bool,
}

/// The deployment that a proxy runs in: its location, what messages are available, and what traffic costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deployment {
    /// The proxy's zone. None where it is in no zone: then no backend is nearer than another.
    pub zone: Option<u32>,
    /// The cost of an execution in another zone, in units of a mean query's importance.
    pub cross_zone_cost: f64,
    /// The cost of new and of open connections, as priced in the settings; 0 where they are free.
    pub connection: f64,
    /// Whether the proxy probes backends, for load that their answers do not report.
    pub probes: bool,
    /// Whether proxies may notify one another of what they send.
    pub peers: bool,
    /// Whether only a backend that was listed as draining is off limits: one that is merely removed from the
    /// list may still be sent queries.
    pub removal_not_binding: bool,
    /// How many answers the proxy can buffer while clients read them; none where this is unbounded.
    pub response_buffers: Option<usize>,
    /// A proxy that neither watches the list nor has requested it for this long counts as notified of the
    /// changes that it missed; none where the list is pushed, or the settings do not say.
    pub ask_within_us: Option<u64>,
    /// The possible clock errors.
    pub clocks: ClockError,
    /// The weights of the scoring.
    pub scoring: ScoringMix,
}

/// The maximum error, in either direction, of times that other machines report; 0 where clocks agree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockError {
    /// Error of the remaining time that a query arrives with.
    pub deadline_us: u64,
    /// Error of the time at which a backend is said to have started.
    pub start_us: u64,
}

/// How the operators weigh short time spans and slow answers; no decision depends on it yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScoringMix {
    /// The setting `ScoringMix.NinesPart`.
    pub nines_part: f64,
    /// The setting `ScoringMix.FullAtNines`.
    pub full_at_nines: f64,
    /// The setting `ScoringMix.SlowEnd`.
    pub slow_end: f64,
    /// The fraction of a workload's queries that may miss their SLO time in a short span.
    pub tail_slack: f64,
}

/// Receives each decision at the moment it is made.
pub trait Writer {
    /// Executes a query on a backend. After `begin_within_us` no byte of it may be written, since by then the
    /// deduplicating backends may have forgotten the first execution; far beyond any time-out where there is
    /// no such limit.
    fn execute(&mut self, qry: &str, backend: u32, timeout_us: u64, begin_within_us: u64);
    /// Cancels one execution of a query, counted from 0.
    fn cancel(&mut self, qry: &str, execution: u32);
    /// Rejects a query; its client may retry after the back-off.
    fn reject(&mut self, qry: &str, backoff_us: u64);
    /// Answers a query with an error that doesn't invite a retry, since it may have been executed.
    fn abort(&mut self, qry: &str);
    /// Sets a timer that returns the token through `Inbox::timer_fired`.
    fn wake(&mut self, in_us: u64, token: &str);
    /// Requests the list of backends, and its changes.
    fn subscribe(&mut self);
    /// Sends a probe to a backend.
    fn probe(&mut self, backend: u32);
    /// Sends a note to another proxy.
    fn send_note(&mut self, peer: u32, bytes: &str);
}
