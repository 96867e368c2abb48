//! Why clients' connections end, and how often each reason came.

use std::error::Error;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::client::Client;
use crate::invariant::Violation;
use crate::shared::Shared;

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum EndReason {
    /// The client closed it, or an answer had said that it would end.
    Closed,
    /// It rested for longer than its client was told that it may.
    Idle,
    /// It was at rest and made room for another one.
    Evicted,
    /// It was at rest, or its request was answered, while the process shuts down.
    ShuttingDown,
    /// A request's head took too long.
    HeadTimeout,
    /// The client took nothing of its answer for too long.
    WriteTimeout,
    /// A request was refused before all of its body had come.
    RefusedBody,
    /// What came was no request.
    Malformed,
    /// The answer's body broke off.
    AnswerBrokenOff,
    /// The client left in the midst of something, or the network failed.
    Lost,
}

/// All reasons with the names that logs and metrics give them.
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
    /// Why a connection ended. `refused` is whether one of its requests was refused before its end, `asked_for` why the
    /// gateway told hyper to end it.
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

    /// What the gateway ends by its own decision has no request in hand, and has read none that it does not answer.
    pub(crate) fn check_answered(self, client: &Client, shared: &Shared) {
        if self.is_gateway_initiated() && client.is_unanswered() {
            shared.violated(Violation::RequestUnanswered);
        }
    }

    /// Whether the gateway decided it by itself, so that no request may be in hand then.
    pub(crate) fn is_gateway_initiated(self) -> bool {
        matches!(
            self,
            EndReason::Idle | EndReason::Evicted | EndReason::ShuttingDown | EndReason::HeadTimeout
        )
    }

    /// Whether whatever was answered on it was written whole.
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

/// How often connections ended for one reason, and how long they had rested then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionEnds {
    /// The reason.
    pub reason: EndReason,
    /// Its name in logs and metrics.
    pub name: &'static str,
    /// How many ended for it since the start.
    pub number: u64,
    /// The shortest rest before such an end; none where each had a request in hand.
    pub min_idle: Option<Duration>,
    /// The longest.
    pub max_idle: Option<Duration>,
}

/// Counts the ends of connections by reason.
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
    /// A connection ended, having rested for so long; none where a request was in hand.
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

    /// What has happened at all.
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
