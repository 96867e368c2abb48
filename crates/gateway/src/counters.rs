//! What happened, counted by cause, for a log line now and then.

use std::sync::atomic::{AtomicU64, Ordering};

/// Why something was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Cause {
    /// A connection of a client was taken.
    ClientConnected,
    /// One at rest was ended to make room.
    ClientEvicted,
    /// One was ended as too slow: a head or a body that did not come, an answer not read.
    ClientTimedOut,
    /// A client went while its request was in hand.
    ClientGone,
    /// A request was read.
    Requested,
    /// A backend's answer was passed on.
    Answered,
    /// A stream was passed on to its end.
    StreamCompleted,
    /// A stream ended without being complete.
    StreamBrokenOff,
    /// A stream was taken up at another backend.
    StreamResumed,
    /// A request was refused with a 4xx as unsound.
    Unsound,
    /// No configuration was known yet.
    NotReady,
    /// Unknown, by a configuration that may be out of date.
    NotCurrent,
    /// No key, or one that nobody holds.
    Unauthorized,
    /// No route.
    NoRoute,
    /// Beyond the tenant's quota.
    OverQuota,
    /// All places are taken.
    Full,
    /// No backend is known.
    NoBackend,
    /// The process ends, perhaps before it could be answered.
    Ending,
    /// Not known to have run, not known not to.
    Unclear,
    /// The deadline passed.
    DeadlinePassed,
    /// A request went to a further backend.
    Retried,
    /// One would have, beyond the budget.
    RetryOverBudget,
    /// A connection to a backend was opened.
    BackendConnected,
    /// One did not come up.
    BackendUnreachable,
    /// A kept one was found dead before its use.
    BackendStale,
    /// One ended under a request.
    BackendReset,
    /// An answer that belongs to no request, or is none.
    BackendForeignAnswer,
    /// A backend refused.
    BackendRefused,
    /// Another backend has the address.
    BackendMisdirected,
    /// A backend failed.
    BackendError,
    /// A backend was silent for too long.
    BackendSilent,
    /// The gateway ended a connection with a request in hand: a fault of the program.
    InvariantRequestUnanswered,
    /// It ended one at rest before the time that its client was told: a fault of the program.
    InvariantRestCutShort,
    /// A request taken after the signal to end was broken off at the end of the grace: a fault of the program.
    InvariantTakenTooLate,
}

/// All causes with the names that logs give them.
const CAUSES: [(Cause, &str); 34] = [
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
];

/// How often something happened since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// What.
    pub cause: Cause,
    /// Its name in logs.
    pub name: &'static str,
    /// How often.
    pub number: u64,
}

/// Counts by cause.
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

    /// What has happened at all.
    pub fn read(&self) -> Vec<Count> {
        let counts = CAUSES.iter().map(|(cause, name)| Count {
            cause: *cause,
            name,
            number: self.numbers[*cause as usize].load(Ordering::Relaxed),
        });
        counts.filter(|count| count.number > 0).collect()
    }
}
