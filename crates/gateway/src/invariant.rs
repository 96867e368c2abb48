//! What must hold of every client's connection, checked while the gateway runs.
//!
//! - Each request that was read has its answer before the gateway ends the connection by its own decision.
//! - A connection at rest outlasts the time that its client was told, unless there is no room or the process ends.
//! - No request that was taken after the signal to end is under way when the grace is over.
//!
//! A violation is a fault of the program. It is counted and logged, and the tests allow none.

use crate::counters::Cause;

/// A broken invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A connection was ended by the gateway with a request in hand.
    RequestUnanswered,
    /// A connection at rest was ended before the time that its client was told.
    RestCutShort,
    /// A request that was taken after the signal to end is broken off at the end of the grace.
    TakenTooLate,
}

impl Violation {
    pub fn code(self) -> &'static str {
        match self {
            Violation::RequestUnanswered => "GWY-101",
            Violation::RestCutShort => "GWY-102",
            Violation::TakenTooLate => "GWY-103",
        }
    }

    pub fn message(self) -> &'static str {
        match self {
            Violation::RequestUnanswered => "invariant violated: a connection ended with a request in hand",
            Violation::RestCutShort => "invariant violated: a connection ended before the time that was told",
            Violation::TakenTooLate => {
                "invariant violated: a request taken after the signal outlasts the grace"
            }
        }
    }

    pub fn cause(self) -> Cause {
        match self {
            Violation::RequestUnanswered => Cause::InvariantRequestUnanswered,
            Violation::RestCutShort => Cause::InvariantRestCutShort,
            Violation::TakenTooLate => Cause::InvariantTakenTooLate,
        }
    }
}
