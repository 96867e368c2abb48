//! What passes between the decisions in `balance` and whoever hosts them: plain values and the
//! writer that takes decisions away. Times are whole microseconds; nothing here decides anything.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// Which backends drop repeats of a deduplicated query together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    pub repeat: Repeat,
    pub group: DedupGroup,
    pub window_us: u64,
    pub slo_us: u64,
    pub importance: f64,
    /// The part of the importance still earned between the SLO time and the statement timeout.
    pub tardy_importance: f64,
}

/// The queries a second, over all proxies, that lie within a tenant's share.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    pub quota_per_s: f64,
    /// What the importance beyond it is scaled by.
    pub beyond_importance: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutionLimits {
    pub max_executions: u32,
    pub may_duplicate: bool,
    pub cancel: bool,
    /// The longest back-off a client heeds; 0 where no advice reaches clients.
    pub max_backoff_us: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct ColdRule {
    pub start_capacity: f64,
    pub cold_us: u64,
    pub multiple: f64,
    pub window_us: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Terminating,
    #[default]
    Gone,
}

/// One line of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listed {
    pub backend: u32,
    pub zone: u32,
    pub cell: u32,
    pub phase: Phase,
    pub weight: f64,
    /// When it last started; 0 means long ago.
    pub since_us: u64,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Completed,
    Errored,
    TurnedAway,
    TimedOut,
    Unreachable,
    Dropped,
    /// Dropped with nothing heard on a connection kept from before: that, not the backend, may have failed.
    Stale,
    Cancelled,
    NotSent,
}

/// A backend's word on its own load; what a deployment does not report is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub utilisation: Option<f64>,
    /// Queries that it holds, ours among them.
    pub held: Option<f64>,
    pub errors_per_s: Option<f64>,
}

/// One backend as the mechanism sees it, for whoever plans beside it; in load units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    pub backend: u32,
    pub zone: u32,
    pub cell: u32,
    pub ready: bool,
    /// What this proxy has there.
    pub load: f64,
    pub max: f64,
    /// The last outcomes there were all failures, or it is shut.
    pub lost: bool,
}

/// Where a proxy stands, and whether it asks backends for what their answers don't tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    /// None where the proxy is in no zone: then no backend is nearer than another.
    pub zone: Option<u32>,
    /// What an execution in another zone costs, in importance of a mean query.
    pub crossing: f64,
    /// What new connections and open ones cost, as the settings price them; 0 where they are free.
    pub connection: f64,
    pub probes: bool,
    /// Whether proxies may tell one another what they send.
    pub peers: bool,
    /// Whether only what was listed as draining is out of bounds: what the list drops may still be sent to.
    pub only_draining_binds: bool,
    /// Answers that the proxy can hold while clients read them; none where nothing bounds them.
    pub response_room: Option<usize>,
    /// One that neither watches the list nor has asked for so long counts as told of what it missed; none
    /// where the list comes by itself, or nothing is said.
    pub ask_within_us: Option<u64>,
    pub clocks: ClockError,
    pub goal: Goal,
}

/// By how much what machines tell of time may be wrong, either way; 0 where clocks agree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockError {
    /// Of the time left that a query comes with.
    pub deadline_us: u64,
    /// Of the time at which a backend is said to have started.
    pub start_us: u64,
}

/// How the operators weigh short spans and slow ends; no decision rests on it so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Goal {
    pub nines_part: f64,
    pub full_at_nines: f64,
    pub slow_end: f64,
    /// The share of a workload's queries that may miss their SLO time in a short span.
    pub tail_slack: f64,
}

/// Takes each decision at the moment it is made.
pub trait Writer {
    /// Past `begin_within_us` a byte of it may no longer be written: those who drop repeats forget by then.
    /// Far past any time-out where nothing binds.
    fn execute(&mut self, qry: &str, backend: u32, timeout_us: u64, begin_within_us: u64);
    fn cancel(&mut self, qry: &str, execution: u32);
    fn reject(&mut self, qry: &str, backoff_us: u64);
    fn abort(&mut self, qry: &str);
    fn wake(&mut self, in_us: u64, token: &str);
    fn subscribe(&mut self);
    fn probe(&mut self, backend: u32);
    fn tell(&mut self, peer: u32, bytes: &str);
}
