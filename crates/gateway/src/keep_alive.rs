//! How long a client's connection is kept at rest, and what its client is told of it.
//!
//! A connection's end crosses a request that its client has just sent: the client then has neither an answer nor a
//! refusal, and can't know whether the request ran. It can't come about while the client stops using a connection
//! well before the gateway ends it. So each answer announces a time (`Keep-Alive: timeout`), and the gateway keeps the
//! connection for longer than that, whatever limit came into force meanwhile.

use std::time::Duration;

use hyper::header::HeaderValue;

/// The part of the configured limit that clients may use.
const ANNOUNCED_FRACTION: f64 = 0.8;
/// The header has whole seconds.
const MIN_ANNOUNCED: Duration = Duration::from_secs(1);
/// What is added to the announced time: an answer's way to its client, the next request's way back, and clocks that
/// are looked at late.
const MIN_MARGIN: Duration = Duration::from_secs(1);
const MARGIN_FRACTION: f64 = 0.25;

/// What clients are told under this limit, in whole seconds.
pub(crate) fn announced_idle_timeout(idle_timeout: Duration) -> Duration {
    let seconds = idle_timeout.mul_f64(ANNOUNCED_FRACTION).as_secs();
    Duration::from_secs(seconds).max(MIN_ANNOUNCED)
}

/// How long a connection is kept at rest whose client was told `announced`; none before its first answer.
pub(crate) fn enforced_idle_timeout(announced: Option<Duration>, idle_timeout: Duration) -> Duration {
    let promised = announced
        .map_or(Duration::ZERO, |announced| announced + MIN_MARGIN.max(announced.mul_f64(MARGIN_FRACTION)));
    promised.max(idle_timeout)
}

/// The value of `Keep-Alive` that announces this time.
pub(crate) fn header_value(announced: Duration) -> HeaderValue {
    HeaderValue::try_from(format!("timeout={}", announced.as_secs()))
        .unwrap_or_else(|_| HeaderValue::from_static("timeout=1"))
}

#[cfg(test)]
#[path = "../tests/unit/keep_alive.rs"]
mod tests;
