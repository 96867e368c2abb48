//! Serves one client connection until it ends.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use crankpick_configuration::ClientLimits;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use tokio::time::{sleep_until, Instant};

use crate::client::{Client, ClientStream};
use crate::connection_end::EndReason;
use crate::counters::Cause;
use crate::exchange;
use crate::invariant::Violation;
use crate::keep_alive::{announced_idle_timeout, header_value};
use crate::lifecycle::CLOSE_IDLE_AFTER_SIGNAL;
use crate::lingering_close::{has_unread, linger};
use crate::refusal::Refusal;
use crate::request::wants_keep_alive;
use crate::response_body::{ResponseAborted, ResponseBody};
use crate::shared::{InFlight, Shared};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Statuses whose responses never have a body.
const STATUSES_WITHOUT_BODY: [StatusCode; 2] = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
/// hyper requires at least this buffer size, and no head needs more than the maximum.
const MIN_BUFFER: usize = 8 << 10;
const MAX_BUFFER: usize = 256 << 10;
/// How often a connection that is to be closed is checked again while its socket has unread data.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Wake-up interval while a request is in flight; the connection wakes by itself before that.
const BUSY_POLL_INTERVAL: Duration = Duration::from_secs(60);

/// Properties of the requests received on a connection.
#[derive(Default)]
struct ConnectionFlags {
    /// A request was refused whose end is unknown.
    refused: AtomicBool,
    /// The last request used an HTTP version without chunked encoding.
    pre_http11: AtomicBool,
}

impl ConnectionFlags {
    fn refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }

    fn pre_http11(&self) -> bool {
        self.pre_http11.load(Ordering::Relaxed)
    }
}

/// Serves a connection until it ends.
pub(crate) async fn serve(client: Arc<Client>, shared: Arc<Shared>) {
    shared.count(Cause::ClientConnected);
    let flags = ConnectionFlags::default();
    let _unwritten = UnwrittenResponseGuard { client: &client, flags: &flags };
    let reason = drive(&client, &shared, &flags).await;
    client.close_after_request();
    shared.connection_ended(reason, client.idle_since().map(|since| since.elapsed()));
    if matches!(reason, EndReason::HeadTimeout | EndReason::WriteTimeout) {
        shared.count(Cause::ClientTimedOut);
    }
    match reason {
        EndReason::RefusedBody | EndReason::Malformed => linger(&client.stream).await,
        reason if reason.has_complete_response() && has_unread(&client.stream) => {
            linger(&client.stream).await
        }
        EndReason::AnswerBrokenOff | EndReason::WriteTimeout if flags.pre_http11() => client.reset(),
        _ => {}
    }
}

/// If a response is delimited by the end of the connection and dropped before it is written completely,
/// resets the connection.
struct UnwrittenResponseGuard<'a> {
    client: &'a Client,
    flags: &'a ConnectionFlags,
}

impl Drop for UnwrittenResponseGuard<'_> {
    fn drop(&mut self) {
        if self.flags.pre_http11() && self.client.has_pending_write() {
            self.client.reset();
        }
    }
}

async fn drive(client: &Arc<Client>, shared: &Arc<Shared>, flags: &ConnectionFlags) -> EndReason {
    let service = service_fn(|request| respond(client, shared, flags, request));
    let limit = usize::try_from(shared.client_limits().max_header_bytes).unwrap_or(MAX_BUFFER);
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limit.clamp(MIN_BUFFER, MAX_BUFFER))
        .serve_connection(TokioIo::new(ClientStream::new(Arc::clone(client))), service);
    let mut connection = std::pin::pin!(connection);
    // Why the gateway closes the connection, and whether it has told hyper to do so.
    let mut close_reason = None;
    let mut shutdown_started = false;
    loop {
        let limits = shared.client_limits();
        let now = Instant::now();
        let wake = match (close_reason, shutdown_started) {
            (_, true) => now + BUSY_POLL_INTERVAL,
            (Some(_), false) => now + CLOSE_POLL_INTERVAL,
            (None, false) => client.deadline(&limits).unwrap_or(now + BUSY_POLL_INTERVAL),
        };
        tokio::select! {
            biased;
            ended = connection.as_mut() => {
                let requested = close_reason.filter(|_| shutdown_started);
                let reason = EndReason::from_result(&ended, flags.refused(), requested);
                reason.check_answered(client, shared);
                return reason;
            }
            () = client.evicted.notified() => close_reason = Some(EndReason::Evicted),
            () = shared.lifecycle.wait_since_shutdown(CLOSE_IDLE_AFTER_SIGNAL), if close_reason.is_none() => {
                close_reason = Some(EndReason::ShuttingDown);
            }
            () = earlier_deadline(client, &limits, wake), if close_reason.is_none() => {}
            () = sleep_until(wake) => {
                // A configuration with a longer limit may have come into force meanwhile.
                if client.deadline(&shared.client_limits()).is_some_and(|until| until <= Instant::now()) {
                    if client.framing().head_since().is_some() {
                        EndReason::HeadTimeout.check_answered(client, shared);
                        return EndReason::HeadTimeout;
                    }
                    close_reason = close_reason.or(Some(EndReason::Idle));
                }
            }
        }
        if close_reason.is_some() {
            client.close_after_request();
        }
        // The socket may hold a request that the runtime has not reported yet; such a request is read
        // first.
        let may_close = || {
            client.is_quiescent()
                && !(close_reason == Some(EndReason::ShuttingDown) && client.awaits_first_request())
        };
        if close_reason.is_some() && !shutdown_started && (client.idle_since().is_none() || may_close()) {
            if close_reason == Some(EndReason::Idle) && client.is_within_announced_idle() {
                shared.violated(Violation::RestCutShort);
            }
            // hyper treats a connection that has sent only empty lines as if a request had started, and
            // keeps it open.
            if let Some(reason) = close_reason.filter(|_| !client.has_sent_request()) {
                return reason;
            }
            connection.as_mut().graceful_shutdown();
            shutdown_started = true;
        }
    }
}

/// Completes when the client's deadline moves before `wake`, because a head has started or a response has
/// ended. Polled after the connection in the same task, which wakes on every such change.
async fn earlier_deadline(client: &Client, limits: &ClientLimits, wake: Instant) {
    poll_fn(|_| match client.deadline(limits) {
        Some(until) if until < wake => Poll::Ready(()),
        _ => Poll::Pending,
    })
    .await;
}

/// A request in flight. If it is dropped before its response is complete, the client has disconnected or
/// the process is exiting.
struct ActiveRequest {
    client: Arc<Client>,
    shared: Arc<Shared>,
    /// Whether the client wants to keep the connection.
    wants_keep_alive: bool,
    /// Whether the HTTP version lacks chunked encoding.
    pre_http11: bool,
    done: bool,
    _in_flight: InFlight,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if !self.done {
            self.shared.count(Cause::ClientGone);
            if self.pre_http11 {
                self.client.reset();
            }
        }
        self.client.request_finished();
    }
}

async fn respond(
    client: &Arc<Client>,
    shared: &Arc<Shared>,
    flags: &ConnectionFlags,
    request: Request<Incoming>,
) -> Result<Response<ClientBody>, std::convert::Infallible> {
    client.request_started();
    shared.count(Cause::Requested);
    let pre_http11 = request.version() < Version::HTTP_11;
    flags.pre_http11.store(pre_http11, Ordering::Relaxed);
    let wants_keep_alive = wants_keep_alive(request.version(), request.headers());
    let is_head_request = request.method() == Method::HEAD;
    let (client, shared) = (Arc::clone(client), Arc::clone(shared));
    let _in_flight = shared.track_in_flight();
    let mut active = ActiveRequest { client, shared, wants_keep_alive, pre_http11, done: false, _in_flight };
    let framing = active.client.framing().next_request();
    let response = exchange::handle(&active.shared, request, framing).await;
    let mut response = response.unwrap_or_else(|declined| {
        if let Some(cause) = cause_of(&declined.refusal) {
            active.shared.count(cause);
        }
        flags.refused.fetch_or(declined.body_unread, Ordering::Relaxed);
        declined.response()
    });
    // hyper drops the bodies of such responses.
    let has_no_body = is_head_request || STATUSES_WITHOUT_BODY.contains(&response.status());
    active.done = has_no_body || matches!(response.body(), ResponseBody::Buffered(_));
    set_connection_headers(&active, &mut response);
    Ok(response.map(|body| ClientBody { body, active }))
}

/// Sets the headers that tell the client whether the connection closes after this response, or how long it
/// may be idle.
fn set_connection_headers(active: &ActiveRequest, response: &mut Response<ResponseBody>) {
    if !closes_after_response(active, response) {
        let announced = announced_idle_timeout(active.shared.client_limits().idle_timeout);
        active.client.set_announced_idle(Some(announced));
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("keep-alive"));
        response.headers_mut().insert(KEEP_ALIVE, header_value(announced));
        return;
    }
    active.client.set_announced_idle(None);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    if active.pre_http11 {
        // With HTTP/1.1, hyper would add `keep-alive` for a client that asked for it.
        *response.version_mut() = Version::HTTP_10;
    }
}

/// Whether the connection closes after this response.
fn closes_after_response(active: &ActiveRequest, response: &Response<ResponseBody>) -> bool {
    let shared = &active.shared;
    let delimited_by_close = active.pre_http11 && response.body().size_hint().exact().is_none();
    !active.wants_keep_alive
        || delimited_by_close
        || response.headers().contains_key(CONNECTION)
        || shared.lifecycle.is_shutting_down()
        || shared.client_connections.is_nearly_full()
        || active.client.is_closing()
}

/// The cause to count for a refusal; `None` if it has already been counted where it occurred.
fn cause_of(refusal: &Refusal) -> Option<Cause> {
    match refusal {
        Refusal::NoKey => Some(Cause::Unauthorized),
        Refusal::NotReady => Some(Cause::NotReady),
        Refusal::NotCurrent | Refusal::NoLease => Some(Cause::NotCurrent),
        Refusal::NoRoute => Some(Cause::NoRoute),
        Refusal::Ending => Some(Cause::Ending),
        Refusal::OverQuota(_)
        | Refusal::Full(_)
        | Refusal::NoBackend
        | Refusal::Expired
        | Refusal::TimedOut
        | Refusal::Unclear => None,
        _ => Some(Cause::Unsound),
    }
}

/// Body of a response to a client; marks the request as done at its end.
struct ClientBody {
    body: ResponseBody,
    active: ActiveRequest,
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(frame, Poll::Ready(None | Some(Err(_)))) || self.body.is_end_stream() {
            self.active.done = true;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[cfg(test)]
#[path = "../tests/unit/connection.rs"]
mod tests;
