//! A backend's answer as far as it must be there before anything of it is passed on.

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

use crate::answer::LongBody;
use crate::attempt::{reported_load, Held, Received};
use crate::event::{Event, EventSplitter};
use crate::outgoing::ClientRequest;

/// What is kept whole of an answer.
const SHORT: usize = 64 << 10;
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// An answer that may be passed on.
pub(crate) enum Opened {
    /// A short one, whole.
    Whole(Parts, Bytes),
    /// A long one.
    Long(Parts, Box<LongBody>),
    /// A stream of events with what came first.
    Stream(Parts, Box<EventSource>, Step),
}

impl Opened {
    pub fn parts(&self) -> &Parts {
        match self {
            Opened::Whole(parts, _) | Opened::Long(parts, _) | Opened::Stream(parts, _, _) => parts,
        }
    }
}

/// The answer ended before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Broken;

/// What comes next of a stream.
pub(crate) enum Step {
    /// An event, whole.
    Event(Event),
    /// The end, with what came behind the last event.
    End(Bytes),
    /// It broke off.
    Broken,
}

/// A backend's stream of events.
pub(crate) struct EventSource {
    body: Incoming,
    splitter: EventSplitter,
    pub held: Held,
    tokens: u32,
    /// Whether the end is told by more than that of the connection.
    framed: bool,
}

impl EventSource {
    /// What comes next. May be dropped and called again.
    pub async fn next(&mut self) -> Step {
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.held.event(self.tokens);
                return Step::Event(event);
            }
            match next_data(&mut self.body).await {
                Ok(Some(data)) if self.splitter.feed(&data).is_ok() => {}
                Ok(None) => {
                    let rest = self.splitter.rest();
                    // Without a length, half an event says that the backend broke off.
                    return if self.framed || rest.is_empty() { Step::End(rest) } else { Step::Broken };
                }
                Ok(Some(_)) | Err(Broken) => return Step::Broken,
            }
        }
    }
}

/// The next bytes of a body; trailers stay behind.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, Broken> {
    loop {
        match poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
            None => return Ok(None),
            Some(Err(_)) => return Err(Broken),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => return Ok(Some(data)),
                Err(_) => continue,
            },
        }
    }
}

/// Whether the end of a body is told by its length or its chunks, and not by the end of its connection.
fn framed(headers: &HeaderMap, body: &Incoming) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) || body.is_end_stream()
}

/// Whether an answer is a series of events: it says so, or says nothing of what it is nor of its length.
fn is_stream(request: &ClientRequest, parts: &Parts) -> bool {
    let events = match parts.headers.get(CONTENT_TYPE) {
        Some(kind) => kind.as_bytes().starts_with(EVENT_STREAM),
        None => !parts.headers.contains_key(CONTENT_LENGTH),
    };
    events && request.terms.route.kind == RouteKind::Streaming && parts.status.is_success()
}

/// Reads an answer until something of it may be passed on: the whole, its first part or its first event.
pub(crate) async fn open(
    request: &ClientRequest,
    service: &str,
    received: Received,
) -> Result<Opened, Broken> {
    let Received { response, mut held } = received;
    let (parts, body) = response.into_parts();
    if !framed(&parts.headers, &body) {
        // The connection's end in order is that of the answer; a reset breaks it off as any other.
        held.keep_for = None;
    }
    match is_stream(request, &parts) {
        true => open_stream(request, service, parts, body, held).await,
        false => open_plain(request, parts, body, held).await,
    }
}

async fn open_stream(
    request: &ClientRequest,
    service: &str,
    parts: Parts,
    body: Incoming,
    held: Held,
) -> Result<Opened, Broken> {
    let engine = request.terms.routing.service(service).and_then(|service| service.engine.as_ref());
    let tokens = engine.map_or(1, |engine| engine.stride);
    let framed = framed(&parts.headers, &body);
    let mut source = Box::new(EventSource { body, splitter: EventSplitter::default(), held, tokens, framed });
    let first = source.next().await;
    source.held.first_event(reported_load(&parts.headers));
    match first {
        Step::Broken => {
            source.held.end(Outcome::Reset);
            Err(Broken)
        }
        first => Ok(Opened::Stream(parts, source, first)),
    }
}

async fn open_plain(
    request: &ClientRequest,
    parts: Parts,
    mut body: Incoming,
    mut held: Held,
) -> Result<Opened, Broken> {
    held.first_event(reported_load(&parts.headers));
    if parts.status.is_server_error() {
        held.end(Outcome::BackendError);
    }
    let length = body.size_hint().exact();
    let mut read = BytesMut::new();
    while read.len() <= SHORT {
        match next_data(&mut body).await {
            Ok(Some(data)) => read.extend_from_slice(&data),
            Ok(None) => {
                held.completed();
                return Ok(Opened::Whole(parts, read.freeze()));
            }
            Err(Broken) => {
                held.end(Outcome::Reset);
                return Err(Broken);
            }
        }
    }
    let deadline = Box::pin(sleep_until(request.deadline));
    let body = LongBody { first: Some(read.freeze()), rest: body, length, deadline, held };
    Ok(Opened::Long(parts, Box::new(body)))
}
