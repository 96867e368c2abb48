//! How long an idle client connection is kept, and what its client is told.
//!
//! The close of a connection can cross a request that the client has just sent: the client then receives
//! neither a response nor a refusal, and cannot know whether the request was executed. This cannot happen
//! if the client stops using a connection well before the gateway closes it. Therefore each response
//! announces a time (`Keep-Alive: timeout`), and the gateway keeps the connection for longer than that,
//! even if a shorter limit comes into force meanwhile.

use std::time::Duration;

use hyper::header::HeaderValue;

/// Fraction of the configured limit that is announced to clients.
const ANNOUNCED_FRACTION: f64 = 0.8;
/// The header is in whole seconds.
const MIN_ANNOUNCED: Duration = Duration::from_secs(1);
/// Margin added to the announced time, for the response's way to the client, the next request's way back,
/// and timers that fire late.
const MIN_MARGIN: Duration = Duration::from_secs(1);
const MARGIN_FRACTION: f64 = 0.25;

/// The idle time announced to clients under this limit, in whole seconds.
pub(crate) fn announced_idle_timeout(idle_timeout: Duration) -> Duration {
    let seconds = idle_timeout.mul_f64(ANNOUNCED_FRACTION).as_secs();
    Duration::from_secs(seconds).max(MIN_ANNOUNCED)
}

/// How long an idle connection is kept whose client was told `announced`; `None` before its first response.
pub(crate) fn enforced_idle_timeout(announced: Option<Duration>, idle_timeout: Duration) -> Duration {
    let promised = announced
        .map_or(Duration::ZERO, |announced| announced + MIN_MARGIN.max(announced.mul_f64(MARGIN_FRACTION)));
    promised.max(idle_timeout)
}

/// The `Keep-Alive` header value that announces this time.
pub(crate) fn header_value(announced: Duration) -> HeaderValue {
    HeaderValue::try_from(format!("timeout={}", announced.as_secs()))
        .unwrap_or_else(|_| HeaderValue::from_static("timeout=1"))
}

#[cfg(test)]
#[path = "../tests/unit/keep_alive.rs"]
mod tests;
