//! Reads a backend's response up to the point where it can be forwarded.

use std::future::poll_fn;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use crankpick_configuration::RouteKind;
use crankpick_dispatch::Outcome;
use http_body::Body;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use tokio::time::sleep_until;

use crate::attempt::{reported_load, AttemptGuard, AttemptResponse};
use crate::event::{Event, EventSplitter};
use crate::outgoing::ClientRequest;
use crate::response_body::PassthroughBody;

/// Responses up to this size are buffered completely.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A response that can be forwarded.
pub(crate) enum BackendResponse {
    /// A short response, read completely.
    Buffered(Parts, Bytes),
    /// A long response, of which the start has been read.
    Passthrough(Parts, Box<PassthroughBody>),
    /// An event stream with its first item.
    Stream(Parts, Box<EventSource>, StreamItem),
}

impl BackendResponse {
    pub fn parts(&self) -> &Parts {
        match self {
            BackendResponse::Buffered(parts, _)
            | BackendResponse::Passthrough(parts, _)
            | BackendResponse::Stream(parts, _, _) => parts,
        }
    }
}

/// The response body ended prematurely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyAborted;

/// The next item of an event stream.
pub(crate) enum StreamItem {
    /// A complete event.
    Event(Event),
    /// The end of the stream, with any bytes after the last complete event.
    End(Bytes),
    /// The stream was truncated.
    Aborted,
}

/// A backend's event stream.
pub(crate) struct EventSource {
    body: Incoming,
    splitter: EventSplitter,
    pub guard: AttemptGuard,
    tokens: u32,
    /// Whether the end of the body is marked by more than the end of the connection.
    is_framed: bool,
}

impl EventSource {
    /// Returns the next item. Cancel-safe.
    pub async fn next(&mut self) -> StreamItem {
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.guard.event(self.tokens);
                return StreamItem::Event(event);
            }
            match next_data(&mut self.body).await {
                Ok(Some(data)) if self.splitter.feed(&data).is_ok() => {}
                Ok(None) => {
                    let rest = self.splitter.take_remainder();
                    // Without framing, an incomplete event means that the backend aborted.
                    return if self.is_framed || rest.is_empty() {
                        StreamItem::End(rest)
                    } else {
                        StreamItem::Aborted
                    };
                }
                Ok(Some(_)) | Err(BodyAborted) => return StreamItem::Aborted,
            }
        }
    }
}

/// Returns the next data of a body and drops trailers.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, BodyAborted> {
    loop {
        match poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
            None => return Ok(None),
            Some(Err(_)) => return Err(BodyAborted),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => return Ok(Some(data)),
                Err(_) => continue,
            },
        }
    }
}

/// Whether the end of a body is marked by its length or its chunks rather than by the end of the
/// connection.
fn is_framed(headers: &HeaderMap, body: &Incoming) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) || body.is_end_stream()
}

/// Whether a response is an event stream: declared as such, or without content type and length.
fn is_stream(request: &ClientRequest, parts: &Parts) -> bool {
    let events = match parts.headers.get(CONTENT_TYPE) {
        Some(kind) => kind.as_bytes().starts_with(EVENT_STREAM),
        None => !parts.headers.contains_key(CONTENT_LENGTH),
    };
    events && request.policy.route.kind == RouteKind::Streaming && parts.status.is_success()
}

/// Reads a response until a part of it can be forwarded: the whole body, its start or the first event.
pub(crate) async fn read_start(
    request: &ClientRequest,
    service: &str,
    received: AttemptResponse,
) -> Result<BackendResponse, BodyAborted> {
    let AttemptResponse { response, mut guard } = received;
    let (parts, body) = response.into_parts();
    if !is_framed(&parts.headers, &body) {
        // An orderly close ends the response; a reset truncates it as in any other response.
        guard.reusable_for = None;
    }
    match is_stream(request, &parts) {
        true => start_stream(request, service, parts, body, guard).await,
        false => start_plain(request, parts, body, guard).await,
    }
}

async fn start_stream(
    request: &ClientRequest,
    service: &str,
    parts: Parts,
    body: Incoming,
    guard: AttemptGuard,
) -> Result<BackendResponse, BodyAborted> {
    let engine = request.policy.routing.service(service).and_then(|service| service.engine.as_ref());
    let tokens = engine.map_or(1, |engine| engine.stride);
    let is_framed = is_framed(&parts.headers, &body);
    let mut source =
        Box::new(EventSource { body, splitter: EventSplitter::default(), guard, tokens, is_framed });
    let first = source.next().await;
    source.guard.first_event(reported_load(&parts.headers));
    match first {
        StreamItem::Aborted => {
            source.guard.end(Outcome::Reset);
            Err(BodyAborted)
        }
        first => Ok(BackendResponse::Stream(parts, source, first)),
    }
}

async fn start_plain(
    request: &ClientRequest,
    parts: Parts,
    mut body: Incoming,
    mut guard: AttemptGuard,
) -> Result<BackendResponse, BodyAborted> {
    guard.first_event(reported_load(&parts.headers));
    if parts.status.is_server_error() {
        guard.end(Outcome::BackendError);
    }
    let length = body.size_hint().exact();
    let mut read = BytesMut::new();
    while read.len() <= MAX_BUFFERED_BYTES {
        match next_data(&mut body).await {
            Ok(Some(data)) => read.extend_from_slice(&data),
            Ok(None) => {
                guard.complete();
                return Ok(BackendResponse::Buffered(parts, read.freeze()));
            }
            Err(BodyAborted) => {
                guard.end(Outcome::Reset);
                return Err(BodyAborted);
            }
        }
    }
    let deadline = Box::pin(sleep_until(request.deadline));
    let body = PassthroughBody { first: Some(read.freeze()), rest: body, length, deadline, guard };
    Ok(BackendResponse::Passthrough(parts, Box::new(body)))
}
