//! One attempt to send a request to one backend, up to the response head.

use std::sync::Arc;
use std::time::Duration;

use crankpick_dispatch::{DispatchRequest, Outcome, ReportedLoad, Target, Ticket};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Response, StatusCode};
use tokio::time::timeout;

use crate::backend_pool::{connection_share, BackendConnection, ConnectError};
use crate::counters::Cause;
use crate::event::EventId;
use crate::outgoing::ClientRequest;
use crate::request::{has_connection_option, REQUEST_ID};
use crate::shared::Shared;

/// Bounds of the connect timeout.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection is reusable if the backend announces no keep-alive timeout, and the margin
/// subtracted from an announced one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(10);
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);
/// Time and size limits for reading the rest of a response that is not needed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(10);
const MAX_DRAIN_BYTES: usize = 16 << 10;
const NOT_EXECUTED: &str = "x-not-executed";
const RESPONSE_SEAL: &str = "x-response-seal";
/// How many idle connections may turn out to be dead before a new one is opened.
const MAX_STALE_CONNECTIONS: usize = 3;

/// Why an attempt produced no response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// Nothing was written: the request cannot have been executed.
    NotSent,
    /// As `NotSent`: no connection could be established.
    Unreachable,
    /// The backend declared that it did not execute the request.
    Refused { retry_after: Option<Duration> },
    /// A different backend has this address; it did not execute the request.
    Misdirected,
    /// The request may have been executed.
    Unclear,
}

/// Holds the dispatcher ticket and the connection of an attempt until the response has been read. Dropping
/// it earlier releases the ticket and closes the connection.
pub(crate) struct AttemptGuard {
    shared: Arc<Shared>,
    ticket: Ticket,
    connection: Option<BackendConnection>,
    /// How long the connection may be reused after the response; `None` if it closes with the response.
    pub reusable_for: Option<Duration>,
    reported: bool,
}

impl AttemptGuard {
    /// The response has been read completely: the connection can serve other requests.
    pub fn complete(&mut self) {
        self.end(Outcome::Done);
        if let Some((connection, reusable_for)) = self.connection.take().zip(self.reusable_for) {
            self.shared.pools.release(connection, reusable_for);
        }
    }

    /// Reports the outcome to the dispatcher; only the first report counts.
    pub fn end(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.reported, true) {
            let now = self.shared.now();
            self.shared.dispatcher().end(now, self.ticket, outcome);
        }
    }

    /// Reports a subsequent event of a stream.
    pub fn event(&self, tokens: u32) {
        let now = self.shared.now();
        self.shared.dispatcher().event(now, self.ticket, tokens);
    }

    pub fn first_event(&self, load: Option<ReportedLoad>) {
        let now = self.shared.now();
        self.shared.dispatcher().first_event(now, self.ticket, load);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end(Outcome::ClientGone);
    }
}

/// A backend's response to this request, with the body still to be read.
pub(crate) struct AttemptResponse {
    pub response: Response<Incoming>,
    pub guard: AttemptGuard,
}

/// Sends a request to a backend. Dropping the future closes the connection that the request was sent on.
pub(crate) async fn send(
    shared: &Arc<Shared>,
    request: &Arc<ClientRequest>,
    target: &Target,
    dispatch_request: &DispatchRequest<'_>,
    resume_after: Option<&EventId>,
) -> Result<AttemptResponse, AttemptError> {
    let ticket = shared.dispatcher().begin(shared.now(), target.backend, dispatch_request);
    let mut guard = AttemptGuard {
        shared: Arc::clone(shared),
        ticket,
        connection: None,
        reusable_for: None,
        reported: false,
    };
    let response =
        exchange(shared, request, target, dispatch_request.service, &mut guard, resume_after).await?;
    match classify_response(shared, request, &response, &mut guard) {
        Some(Classification::Accepted) => Ok(AttemptResponse { response, guard }),
        Some(Classification::Rejected(error)) => {
            drain(response, &mut guard).await;
            Err(error)
        }
        None => Err(AttemptError::Unclear),
    }
}

/// How a response relates to the request that was sent.
enum Classification {
    Accepted,
    Rejected(AttemptError),
}

/// Sends on an idle connection, or on a new one. Idle connections found dead before a byte was written are
/// not counted as failed attempts.
async fn exchange(
    shared: &Arc<Shared>,
    request: &Arc<ClientRequest>,
    target: &Target,
    service: &str,
    guard: &mut AttemptGuard,
    resume_after: Option<&EventId>,
) -> Result<Response<Incoming>, AttemptError> {
    for attempt in 0..=MAX_STALE_CONNECTIONS {
        let idle = if attempt < MAX_STALE_CONNECTIONS { shared.pools.take_idle(&target.id) } else { None };
        let connection = match idle {
            Some(connection) => connection,
            None => open(shared, request, target, service, guard).await?,
        };
        let link = Arc::clone(&connection.link);
        let connection = guard.connection.insert(connection);
        let sent = connection.sender.send_request(request.to_backend(target, resume_after)).await;
        match sent {
            Ok(response) => return Ok(response),
            Err(_) if !link.request_started() && link.is_reused() => {
                shared.count(Cause::BackendStale);
                guard.connection = None;
            }
            Err(_) => {
                shared.count(Cause::BackendReset);
                guard.end(if link.request_started() { Outcome::Reset } else { Outcome::NoConnection });
                return Err(if link.request_started() {
                    AttemptError::Unclear
                } else {
                    AttemptError::NotSent
                });
            }
        }
    }
    guard.end(Outcome::NoConnection);
    Err(AttemptError::NotSent)
}

async fn open(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    target: &Target,
    service: &str,
    guard: &mut AttemptGuard,
) -> Result<BackendConnection, AttemptError> {
    let max_conns = request.policy.routing.service(service).map_or(1, |service| service.max_conns);
    let share = connection_share(max_conns, shared.gateways());
    let connect_timeout = (request.policy.route.slo / 2)
        .clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
        .min(request.time_left());
    match shared.pools.open(&target.id, target.address, share, connect_timeout).await {
        Ok(connection) => {
            shared.count(Cause::BackendConnected);
            Ok(connection)
        }
        Err(ConnectError::LimitReached) => Err(AttemptError::NotSent),
        Err(ConnectError::Unreachable) => {
            shared.count(Cause::BackendUnreachable);
            guard.end(Outcome::NoConnection);
            Err(AttemptError::Unreachable)
        }
    }
}

/// Checks whether a response belongs to this request and whether it declares that nothing was executed.
/// Returns `None` for a response to a different request and for one without the backend's seal.
fn classify_response(
    shared: &Shared,
    request: &ClientRequest,
    response: &Response<Incoming>,
    guard: &mut AttemptGuard,
) -> Option<Classification> {
    let headers = response.headers();
    let refused = headers.contains_key(NOT_EXECUTED) && response.status() != StatusCode::BAD_REQUEST;
    let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    let matches_request = match headers.get(REQUEST_ID) {
        Some(id) => *id == request.id,
        // A refusal may lack the ID. On a reused connection it could be a late response to another request.
        None => (refused || misdirected) && (request.policy.route.repeatable() || !is_reused(guard)),
    };
    // A successful response without the backend's seal did not come from a backend.
    let sealed = !response.status().is_success() || headers.contains_key(RESPONSE_SEAL);
    if !matches_request || !sealed {
        shared.count(Cause::BackendForeignAnswer);
        guard.end(Outcome::Reset);
        return None;
    }
    guard.reusable_for = reuse_time(headers);
    if !misdirected && !refused {
        return Some(Classification::Accepted);
    }
    guard.first_event(reported_load(headers));
    guard.end(if misdirected { Outcome::Misdirected } else { Outcome::Refused });
    shared.count(if misdirected { Cause::BackendMisdirected } else { Cause::BackendRefused });
    let refused = AttemptError::Refused { retry_after: retry_after(headers) };
    Some(Classification::Rejected(if misdirected { AttemptError::Misdirected } else { refused }))
}

/// Reads the rest of a short response that is not needed, so that its connection can be reused.
async fn drain(response: Response<Incoming>, guard: &mut AttemptGuard) {
    let rest = Limited::new(response.into_body(), MAX_DRAIN_BYTES).collect();
    if matches!(timeout(DRAIN_TIMEOUT, rest).await, Ok(Ok(_))) {
        guard.complete();
    }
}

fn is_reused(guard: &AttemptGuard) -> bool {
    guard.connection.as_ref().is_none_or(|connection| connection.link.is_reused())
}

/// How long the connection may be reused after this response; `None` if it closes.
fn reuse_time(headers: &HeaderMap) -> Option<Duration> {
    if has_connection_option(headers, "close") {
        return None;
    }
    let announced = headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(|value| {
        let mut options = value.split(',').filter_map(|option| option.trim().split_once('='));
        let timeout = options.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?.1;
        timeout.trim().parse::<u32>().ok()
    });
    let reusable_for = announced.map_or(DEFAULT_KEEP_ALIVE, |announced| {
        Duration::from_secs(announced.into()).saturating_sub(KEEP_ALIVE_MARGIN)
    });
    (!reusable_for.is_zero()).then_some(reusable_for)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Parses `X-Backend-Load`: running requests, waiting requests and slots.
pub(crate) fn reported_load(headers: &HeaderMap) -> Option<ReportedLoad> {
    let text = headers.get("x-backend-load")?.to_str().ok()?;
    let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
    let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
    Some(ReportedLoad { running, waiting, slots })
}
