//! Event counters by cause, logged periodically and exported as metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// What is being counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Cause {
    /// A client connection was accepted.
    ClientConnected,
    /// An idle client connection was closed to make room.
    ClientEvicted,
    /// A client connection was closed as too slow: a head or body did not arrive, or a response was not
    /// read.
    ClientTimedOut,
    /// A client disconnected while its request was in flight.
    ClientGone,
    /// A request head was read.
    Requested,
    /// A backend's response was forwarded.
    Answered,
    /// A stream was forwarded to its end.
    StreamCompleted,
    /// A stream ended before it was complete.
    StreamBrokenOff,
    /// A stream was resumed at another backend.
    StreamResumed,
    /// An invalid request was refused with a 4xx status.
    Unsound,
    /// A request was refused because no configuration had been received yet.
    NotReady,
    /// An unknown key or route, according to a configuration that may be outdated.
    NotCurrent,
    /// The API key was missing or unknown.
    Unauthorized,
    /// No route matched.
    NoRoute,
    /// The tenant's quota was exhausted.
    OverQuota,
    /// All slots were taken.
    Full,
    /// No backend was known.
    NoBackend,
    /// The process was shutting down and could have ended before a response.
    Ending,
    /// It is unknown whether the request was executed.
    Unclear,
    /// The deadline passed.
    DeadlinePassed,
    /// A request was sent to another backend.
    Retried,
    /// A retry was suppressed because the budget was exhausted.
    RetryOverBudget,
    /// A connection to a backend was opened.
    BackendConnected,
    /// A connection to a backend could not be opened.
    BackendUnreachable,
    /// An idle connection to a backend was found dead before reuse.
    BackendStale,
    /// A connection to a backend failed during a request.
    BackendReset,
    /// A response belonged to no request or did not come from a backend.
    BackendForeignAnswer,
    /// A backend refused a request.
    BackendRefused,
    /// A different backend had the address.
    BackendMisdirected,
    /// A backend responded with a server error.
    BackendError,
    /// A backend was silent for too long.
    BackendSilent,
    /// Invariant violated: the gateway closed a connection with a request in flight.
    InvariantRequestUnanswered,
    /// Invariant violated: the gateway closed an idle connection before the announced time.
    InvariantRestCutShort,
    /// Invariant violated: a request accepted after the shutdown signal was aborted at the end of the grace
    /// period.
    InvariantTakenTooLate,
    /// Invariant violated: a request was to be sent to more backends than may execute it.
    InvariantTooManyExecutions,
}

/// All causes with their names in logs and metrics.
const CAUSES: [(Cause, &str); 35] = [
    (Cause::ClientConnected, "client_connected"),
    (Cause::ClientEvicted, "client_evicted"),
    (Cause::ClientTimedOut, "client_timed_out"),
    (Cause::ClientGone, "client_gone"),
    (Cause::Requested, "requested"),
    (Cause::Answered, "answered"),
    (Cause::StreamCompleted, "stream_completed"),
    (Cause::StreamBrokenOff, "stream_broken_off"),
    (Cause::StreamResumed, "stream_resumed"),
    (Cause::Unsound, "unsound"),
    (Cause::NotReady, "not_ready"),
    (Cause::NotCurrent, "not_current"),
    (Cause::Unauthorized, "unauthorized"),
    (Cause::NoRoute, "no_route"),
    (Cause::OverQuota, "over_quota"),
    (Cause::Full, "full"),
    (Cause::NoBackend, "no_backend"),
    (Cause::Ending, "ending"),
    (Cause::Unclear, "unclear"),
    (Cause::DeadlinePassed, "deadline_passed"),
    (Cause::Retried, "retried"),
    (Cause::RetryOverBudget, "retry_over_budget"),
    (Cause::BackendConnected, "backend_connected"),
    (Cause::BackendUnreachable, "backend_unreachable"),
    (Cause::BackendStale, "backend_stale"),
    (Cause::BackendReset, "backend_reset"),
    (Cause::BackendForeignAnswer, "backend_foreign_answer"),
    (Cause::BackendRefused, "backend_refused"),
    (Cause::BackendMisdirected, "backend_misdirected"),
    (Cause::BackendError, "backend_error"),
    (Cause::BackendSilent, "backend_silent"),
    (Cause::InvariantRequestUnanswered, "invariant_request_unanswered"),
    (Cause::InvariantRestCutShort, "invariant_rest_cut_short"),
    (Cause::InvariantTakenTooLate, "invariant_taken_too_late"),
    (Cause::InvariantTooManyExecutions, "invariant_too_many_executions"),
];

/// Number of events with one cause since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// The cause.
    pub cause: Cause,
    /// The cause's name in logs and metrics.
    pub name: &'static str,
    /// The number of events.
    pub number: u64,
}

/// Event counters by cause.
#[derive(Debug)]
pub(crate) struct Counters {
    numbers: [AtomicU64; CAUSES.len()],
}

impl Default for Counters {
    fn default() -> Self {
        Counters { numbers: std::array::from_fn(|_| AtomicU64::new(0)) }
    }
}

impl Counters {
    pub fn add(&self, cause: Cause) {
        if let Some(number) = self.numbers.get(cause as usize) {
            number.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// All non-zero counters.
    pub fn read(&self) -> Vec<Count> {
        let counts = CAUSES.iter().map(|(cause, name)| Count {
            cause: *cause,
            name,
            number: self.numbers[*cause as usize].load(Ordering::Relaxed),
        });
        counts.filter(|count| count.number > 0).collect()
    }
}
