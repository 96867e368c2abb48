//! Reasons why client connections end, and their counters.

use std::error::Error;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::client::Client;
use crate::invariant::Violation;
use crate::shared::Shared;

/// Why a client connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum EndReason {
    /// The client closed it, or a response had announced the close.
    Closed,
    /// It was idle for longer than the announced time.
    Idle,
    /// It was idle and was closed to make room for another one.
    Evicted,
    /// It was idle, or its request had been answered, while the process was shutting down.
    ShuttingDown,
    /// A request head took too long.
    HeadTimeout,
    /// The client read nothing of its response for too long.
    WriteTimeout,
    /// A request was refused before its whole body was received.
    RefusedBody,
    /// The received data was not a valid request.
    Malformed,
    /// The response body was aborted.
    AnswerBrokenOff,
    /// The client disconnected in the middle of an exchange, or the network failed.
    Lost,
}

/// All reasons with their names in logs and metrics.
const REASONS: [(EndReason, &str); 10] = [
    (EndReason::Closed, "closed"),
    (EndReason::Idle, "idle"),
    (EndReason::Evicted, "evicted"),
    (EndReason::ShuttingDown, "shutting_down"),
    (EndReason::HeadTimeout, "head_timeout"),
    (EndReason::WriteTimeout, "write_timeout"),
    (EndReason::RefusedBody, "refused_body"),
    (EndReason::Malformed, "malformed"),
    (EndReason::AnswerBrokenOff, "answer_broken_off"),
    (EndReason::Lost, "lost"),
];

impl EndReason {
    /// Determines the reason from hyper's result. `refused` tells whether a request was refused before its
    /// end, `requested` why the gateway told hyper to close the connection.
    pub(crate) fn from_result(
        ended: &hyper::Result<()>,
        refused: bool,
        requested: Option<EndReason>,
    ) -> EndReason {
        match ended {
            Ok(()) if refused => EndReason::RefusedBody,
            Ok(()) => requested.unwrap_or(EndReason::Closed),
            Err(error) if error.is_parse() => EndReason::Malformed,
            Err(error) if error.is_user() => EndReason::AnswerBrokenOff,
            Err(error) if timed_out(error) => EndReason::WriteTimeout,
            Err(_) => EndReason::Lost,
        }
    }

    /// Checks the invariant that a connection closed by the gateway's own decision has no unanswered
    /// request.
    pub(crate) fn check_answered(self, client: &Client, shared: &Shared) {
        if self.is_gateway_initiated() && client.is_unanswered() {
            shared.violated(Violation::RequestUnanswered);
        }
    }

    /// Whether the gateway closed the connection by its own decision, in which case no request may be in
    /// flight.
    pub(crate) fn is_gateway_initiated(self) -> bool {
        matches!(
            self,
            EndReason::Idle | EndReason::Evicted | EndReason::ShuttingDown | EndReason::HeadTimeout
        )
    }

    /// Whether every response on the connection was written completely.
    pub(crate) fn has_complete_response(self) -> bool {
        matches!(
            self,
            EndReason::Closed
                | EndReason::Idle
                | EndReason::Evicted
                | EndReason::ShuttingDown
                | EndReason::HeadTimeout
        )
    }
}

fn timed_out(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| source.kind() == io::ErrorKind::TimedOut)
}

/// Number of connections that ended for one reason, and how long they had been idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionEnds {
    /// The reason.
    pub reason: EndReason,
    /// The reason's name in logs and metrics.
    pub name: &'static str,
    /// The number of connections since the start.
    pub number: u64,
    /// The shortest idle time before such an end; `None` if all of them had a request in flight.
    pub min_idle: Option<Duration>,
    /// The longest idle time before such an end.
    pub max_idle: Option<Duration>,
}

/// Counters of connection ends by reason.
#[derive(Debug)]
pub(crate) struct EndCounters {
    by_reason: [EndCounter; REASONS.len()],
}

#[derive(Debug)]
struct EndCounter {
    number: AtomicU64,
    idle_samples: AtomicU64,
    min_idle_us: AtomicU64,
    max_idle_us: AtomicU64,
}

impl Default for EndCounters {
    fn default() -> Self {
        let counter = || EndCounter {
            number: AtomicU64::new(0),
            idle_samples: AtomicU64::new(0),
            min_idle_us: AtomicU64::new(u64::MAX),
            max_idle_us: AtomicU64::new(0),
        };
        EndCounters { by_reason: std::array::from_fn(|_| counter()) }
    }
}

impl EndCounters {
    /// Records the end of a connection and how long it had been idle; `None` if a request was in flight.
    pub fn add(&self, reason: EndReason, idle: Option<Duration>) {
        let counter = &self.by_reason[reason as usize];
        counter.number.fetch_add(1, Ordering::Relaxed);
        if let Some(idle) = idle {
            let idle_us = u64::try_from(idle.as_micros()).unwrap_or(u64::MAX);
            counter.idle_samples.fetch_add(1, Ordering::Relaxed);
            counter.min_idle_us.fetch_min(idle_us, Ordering::Relaxed);
            counter.max_idle_us.fetch_max(idle_us, Ordering::Relaxed);
        }
    }

    /// All non-zero counters.
    pub fn read(&self) -> Vec<ConnectionEnds> {
        let ends = REASONS.iter().map(|(reason, name)| {
            let counter = &self.by_reason[*reason as usize];
            let idle_samples = counter.idle_samples.load(Ordering::Relaxed) > 0;
            let idle =
                |us: &AtomicU64| idle_samples.then(|| Duration::from_micros(us.load(Ordering::Relaxed)));
            ConnectionEnds {
                reason: *reason,
                name,
                number: counter.number.load(Ordering::Relaxed),
                min_idle: idle(&counter.min_idle_us),
                max_idle: idle(&counter.max_idle_us),
            }
        });
        ends.filter(|ends| ends.number > 0).collect()
    }
}
