//! Invariants of client connections and requests, checked at runtime.
//!
//! - The gateway does not close a connection by its own decision before every request read from it has been
//!   answered.
//! - An idle connection stays open for at least the time announced to its client, unless room is needed or
//!   the process is shutting down.
//! - No request accepted after the shutdown signal is still in flight at the end of the grace period.
//! - No request is sent to a backend if it would then be executed by more backends than its route's `retries`.
//!
//! A violation is a bug. It is counted and logged, and the tests allow none.

use crate::counters::Cause;

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// The gateway closed a connection with a request in flight.
    RequestUnanswered,
    /// An idle connection was closed before the announced time.
    RestCutShort,
    /// A request accepted after the shutdown signal was aborted at the end of the grace period.
    TakenTooLate,
    /// A request was to be sent to more backends than may execute it.
    TooManyExecutions,
}

impl Violation {
    pub fn code(self) -> &'static str {
        match self {
            Violation::RequestUnanswered => "GWY-101",
            Violation::RestCutShort => "GWY-102",
            Violation::TakenTooLate => "GWY-103",
            Violation::TooManyExecutions => "GWY-104",
        }
    }

    pub fn message(self) -> &'static str {
        match self {
            Violation::RequestUnanswered => {
                "invariant violated: a connection was closed with a request in flight"
            }
            Violation::RestCutShort => {
                "invariant violated: an idle connection was closed before the announced time"
            }
            Violation::TakenTooLate => {
                "invariant violated: a request accepted after the shutdown signal outlasted the grace period"
            }
            Violation::TooManyExecutions => {
                "invariant violated: a request was to be sent to more backends than may execute it"
            }
        }
    }

    pub fn cause(self) -> Cause {
        match self {
            Violation::RequestUnanswered => Cause::InvariantRequestUnanswered,
            Violation::RestCutShort => Cause::InvariantRestCutShort,
            Violation::TakenTooLate => Cause::InvariantTakenTooLate,
            Violation::TooManyExecutions => Cause::InvariantTooManyExecutions,
        }
    }
}
