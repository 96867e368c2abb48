//! Serves one client's connection to its end.

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

use crate::answer::{AnswerBody, BrokenOff};
use crate::client::{Client, ClientStream};
use crate::connection_end::EndReason;
use crate::counters::Cause;
use crate::exchange;
use crate::invariant::Violation;
use crate::keep_alive::{announced_rest, header_value};
use crate::lifecycle::IDLE_ENDED;
use crate::lingering_close::{has_unread, linger};
use crate::refusal::Refusal;
use crate::request::keeps_connection;
use crate::shared::{InFlight, Shared};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Answers without a body, whatever was asked for.
const BODILESS: [StatusCode; 2] = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
/// hyper takes no less for its buffer, and no head needs more.
const LEAST_BUFFER: usize = 8 << 10;
const MOST_BUFFER: usize = 256 << 10;
/// How often one that leaves is looked at again while something lies in its socket.
const LOOK: Duration = Duration::from_millis(20);
/// When one with a request in hand is looked at: it wakes by itself before.
const BUSY_LOOK: Duration = Duration::from_secs(60);

/// What was seen of a connection's requests.
#[derive(Default)]
struct Seen {
    /// One was refused whose end can't be told.
    refused: AtomicBool,
    /// The last one was of a version without chunks.
    unchunked: AtomicBool,
}

impl Seen {
    fn refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }

    fn unchunked(&self) -> bool {
        self.unchunked.load(Ordering::Relaxed)
    }
}

/// Serves a connection to its end.
pub(crate) async fn serve(client: Arc<Client>, shared: Arc<Shared>) {
    shared.count(Cause::ClientConnected);
    let seen = Seen::default();
    let _unwritten = UnwrittenGuard { client: &client, seen: &seen };
    let reason = drive(&client, &shared, &seen).await;
    client.leave();
    shared.connection_ended(reason, client.idle_since().map(|since| since.elapsed()));
    if matches!(reason, EndReason::HeadTimeout | EndReason::WriteTimeout) {
        shared.count(Cause::ClientTimedOut);
    }
    match reason {
        EndReason::RefusedBody | EndReason::Malformed => linger(&client.stream).await,
        reason if reason.is_behind_an_answer() && has_unread(&client.stream) => linger(&client.stream).await,
        EndReason::AnswerBrokenOff | EndReason::WriteTimeout if seen.unchunked() => client.reset(),
        _ => {}
    }
}

/// Dropped with some of an answer unwritten whose client tells its end by that of the connection, it makes that a reset.
struct UnwrittenGuard<'a> {
    client: &'a Client,
    seen: &'a Seen,
}

impl Drop for UnwrittenGuard<'_> {
    fn drop(&mut self) {
        if self.seen.unchunked() && self.client.is_behind() {
            self.client.reset();
        }
    }
}

async fn drive(client: &Arc<Client>, shared: &Arc<Shared>, seen: &Seen) -> EndReason {
    let service = service_fn(|request| respond(client, shared, seen, request));
    let limit = usize::try_from(shared.client_limits().max_header_bytes).unwrap_or(MOST_BUFFER);
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limit.clamp(LEAST_BUFFER, MOST_BUFFER))
        .serve_connection(TokioIo::new(ClientStream::new(Arc::clone(client))), service);
    let mut connection = std::pin::pin!(connection);
    // Why the gateway ends it, and whether it has told hyper so.
    let mut leaving = None;
    let mut shut = false;
    loop {
        let limits = shared.client_limits();
        let now = Instant::now();
        let wake = match (leaving, shut) {
            (_, true) => now + BUSY_LOOK,
            (Some(_), false) => now + LOOK,
            (None, false) => client.patience(&limits).unwrap_or(now + BUSY_LOOK),
        };
        tokio::select! {
            biased;
            ended = connection.as_mut() => {
                let reason = EndReason::of(&ended, seen.refused(), leaving.filter(|_| shut));
                reason.check_answered(client, shared);
                return reason;
            }
            () = client.evicted.notified() => leaving = Some(EndReason::Evicted),
            () = shared.lifecycle.ended_for(IDLE_ENDED), if leaving.is_none() => {
                leaving = Some(EndReason::ShuttingDown);
            }
            () = sooner(client, &limits, wake), if leaving.is_none() => {}
            () = sleep_until(wake) => {
                // A larger limit may have come meanwhile.
                if client.patience(&shared.client_limits()).is_some_and(|until| until <= Instant::now()) {
                    if client.framing().head_since().is_some() {
                        EndReason::HeadTimeout.check_answered(client, shared);
                        return EndReason::HeadTimeout;
                    }
                    leaving = leaving.or(Some(EndReason::Idle));
                }
            }
        }
        if leaving.is_some() {
            client.leave();
        }
        // A request may lie in the socket that nobody was told of: such a one is taken first.
        let may_end = || client.at_rest() && !(leaving == Some(EndReason::ShuttingDown) && client.is_new());
        if leaving.is_some() && !shut && (client.idle_since().is_none() || may_end()) {
            if leaving == Some(EndReason::Idle) && client.rests_as_announced() {
                shared.violated(Violation::RestCutShort);
            }
            // hyper keeps one that sent empty lines alone, as if a request had begun.
            if let Some(reason) = leaving.filter(|_| !client.has_asked()) {
                return reason;
            }
            connection.as_mut().graceful_shutdown();
            shut = true;
        }
    }
}

/// Comes once a client's patience ends before `wake`: a head has begun, or an answer has ended. Polled behind its
/// connection, in the same task, which wakes for whatever changes this.
async fn sooner(client: &Client, limits: &ClientLimits, wake: Instant) {
    poll_fn(|_| match client.patience(limits) {
        Some(until) if until < wake => Poll::Ready(()),
        _ => Poll::Pending,
    })
    .await;
}

/// A request in hand; dropped before its answer, its client has gone or the process ends.
struct InHand {
    client: Arc<Client>,
    shared: Arc<Shared>,
    /// Whether its client wants the connection to be kept.
    keeps: bool,
    /// Whether it is of a version without chunks.
    unchunked: bool,
    done: bool,
    _in_flight: InFlight,
}

impl Drop for InHand {
    fn drop(&mut self) {
        if !self.done {
            self.shared.count(Cause::ClientGone);
            if self.unchunked {
                self.client.reset();
            }
        }
        self.client.answered();
    }
}

async fn respond(
    client: &Arc<Client>,
    shared: &Arc<Shared>,
    seen: &Seen,
    request: Request<Incoming>,
) -> Result<Response<ClientBody>, std::convert::Infallible> {
    client.asks();
    shared.count(Cause::Requested);
    let unchunked = request.version() < Version::HTTP_11;
    seen.unchunked.store(unchunked, Ordering::Relaxed);
    let keeps = keeps_connection(request.version(), request.headers());
    let asks_for_head = request.method() == Method::HEAD;
    let (client, shared) = (Arc::clone(client), Arc::clone(shared));
    let _in_flight = shared.hold();
    let mut in_hand = InHand { client, shared, keeps, unchunked, done: false, _in_flight };
    let came = in_hand.client.framing().next_request();
    let answer = exchange::answer(&in_hand.shared, request, came).await;
    let mut answer = answer.unwrap_or_else(|declined| {
        if let Some(cause) = cause_of(&declined.refusal) {
            in_hand.shared.count(cause);
        }
        seen.refused.fetch_or(declined.body_unread, Ordering::Relaxed);
        declined.answer()
    });
    // hyper takes no body for these, and drops what there is.
    let bodiless = asks_for_head || BODILESS.contains(&answer.status());
    in_hand.done = bodiless || matches!(answer.body(), AnswerBody::Whole(_));
    say_what_follows(&in_hand, &mut answer);
    Ok(answer.map(|body| ClientBody { body, in_hand }))
}

/// Says whether the connection ends behind this answer, and else for how long it may rest.
fn say_what_follows(in_hand: &InHand, answer: &mut Response<AnswerBody>) {
    if !ends_behind(in_hand, answer) {
        let announced = announced_rest(in_hand.shared.client_limits().idle_timeout);
        in_hand.client.announce_rest(Some(announced));
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("keep-alive"));
        answer.headers_mut().insert(KEEP_ALIVE, header_value(announced));
        return;
    }
    in_hand.client.announce_rest(None);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    if in_hand.unchunked {
        // Else hyper says beside it that the connection is kept, to a client that asked for that.
        *answer.version_mut() = Version::HTTP_10;
    }
}

/// Whether the connection ends behind this answer.
fn ends_behind(in_hand: &InHand, answer: &Response<AnswerBody>) -> bool {
    let shared = &in_hand.shared;
    let ends_the_answer = in_hand.unchunked && answer.body().size_hint().exact().is_none();
    !in_hand.keeps
        || ends_the_answer
        || answer.headers().contains_key(CONNECTION)
        || shared.lifecycle.ending()
        || shared.front.is_crowded()
        || in_hand.client.is_leaving()
}

/// What is not counted where it is found out.
fn cause_of(refusal: &Refusal) -> Option<Cause> {
    match refusal {
        Refusal::NoKey => Some(Cause::Unauthorized),
        Refusal::NotReady => Some(Cause::NotReady),
        Refusal::NotCurrent => Some(Cause::NotCurrent),
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

/// An answer's body: its client is idle once it is through.
struct ClientBody {
    body: AnswerBody,
    in_hand: InHand,
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(frame, Poll::Ready(None | Some(Err(_)))) || self.body.is_end_stream() {
            self.in_hand.done = true;
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
