//! One send of a request to one backend, up to the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use crankpick_dispatch::{DispatchRequest, Outcome, ReportedLoad, Target, Ticket};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Response, StatusCode};
use tokio::time::timeout;

use crate::backend_pool::{connection_share, BackendConnection, NoConnection};
use crate::counters::Cause;
use crate::event::EventId;
use crate::outgoing::ClientRequest;
use crate::request::{has_connection_option, REQUEST_ID};
use crate::shared::Shared;

/// How long a connection may take to come up.
const LEAST_CONNECT: Duration = Duration::from_millis(200);
const MOST_CONNECT: Duration = Duration::from_secs(1);
/// How long a connection rests where its backend doesn't say, and what is kept back of what it says.
const USUAL_REST: Duration = Duration::from_secs(10);
const REST_MARGIN: Duration = Duration::from_millis(600);
/// The longest that a backend may keep clients away.
const MOST_AWAY: Duration = Duration::from_secs(5);
/// How long, and for how many bytes, an answer that nobody needs is read on.
const DRAIN: Duration = Duration::from_millis(10);
const MOST_DRAINED: usize = 16 << 10;
const NOT_EXECUTED: &str = "x-not-executed";
const RESPONSE_SEAL: &str = "x-response-seal";
/// How often kept connections may be found dead before one is opened.
const STALE_TRIES: usize = 3;

/// How a send ended without an answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoAnswer {
    /// Nothing was written: it can't have run.
    NotSent,
    /// The backend says that it did not run it.
    Refused { retry_after: Option<Duration> },
    /// Another backend has the address, and did not run it.
    Misdirected,
    /// It may have run.
    Unclear,
}

/// What is held for a send until its answer was read: its ticket and its connection. Dropped before, it ends both.
pub(crate) struct Held {
    shared: Arc<Shared>,
    ticket: Ticket,
    connection: Option<BackendConnection>,
    /// How long the connection may rest behind its answer; none where it ends with it.
    pub keep_for: Option<Duration>,
    ended: bool,
}

impl Held {
    /// The answer was read to its end: the connection may serve others.
    pub fn completed(&mut self) {
        self.end(Outcome::Done);
        if let Some((connection, keep_for)) = self.connection.take().zip(self.keep_for) {
            self.shared.pools.give_back(connection, keep_for);
        }
    }

    /// Tells the dispatcher how it ended; the first word counts.
    pub fn end(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.shared.now();
            self.shared.dispatcher().end(now, self.ticket, outcome);
        }
    }

    /// A further event of a stream has come.
    pub fn event(&self, tokens: u32) {
        let now = self.shared.now();
        self.shared.dispatcher().event(now, self.ticket, tokens);
    }

    pub fn first_event(&self, load: Option<ReportedLoad>) {
        let now = self.shared.now();
        self.shared.dispatcher().first_event(now, self.ticket, load);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.end(Outcome::ClientGone);
    }
}

/// A backend's answer to this request, its body still to be read.
pub(crate) struct Received {
    pub response: Response<Incoming>,
    pub held: Held,
}

/// Sends a request to a backend. Dropped, it closes the connection that the request went out on.
pub(crate) async fn send(
    shared: &Arc<Shared>,
    request: &Arc<ClientRequest>,
    target: &Target,
    terms: &DispatchRequest<'_>,
    after: Option<&EventId>,
) -> Result<Received, NoAnswer> {
    let ticket = shared.dispatcher().begin(shared.now(), target.backend, terms);
    let mut held =
        Held { shared: Arc::clone(shared), ticket, connection: None, keep_for: None, ended: false };
    let response = exchange(shared, request, target, terms.service, &mut held, after).await?;
    match judge(shared, request, &response, &mut held) {
        Some(Verdict::Ours) => Ok(Received { response, held }),
        Some(Verdict::TurnedAway(no_answer)) => {
            drain(response, &mut held).await;
            Err(no_answer)
        }
        None => Err(NoAnswer::Unclear),
    }
}

/// What an answer says of the request it came for.
enum Verdict {
    Ours,
    TurnedAway(NoAnswer),
}

/// Sends on a connection that rests, or on a new one. Kept ones found dead before a byte was written don't count.
async fn exchange(
    shared: &Arc<Shared>,
    request: &Arc<ClientRequest>,
    target: &Target,
    service: &str,
    held: &mut Held,
    after: Option<&EventId>,
) -> Result<Response<Incoming>, NoAnswer> {
    for attempt in 0..=STALE_TRIES {
        let kept = if attempt < STALE_TRIES { shared.pools.take_kept(&target.id) } else { None };
        let connection = match kept {
            Some(connection) => connection,
            None => open(shared, request, target, service, held).await?,
        };
        let link = Arc::clone(&connection.link);
        let connection = held.connection.insert(connection);
        let sent = connection.sender.send_request(request.for_backend(target, after)).await;
        match sent {
            Ok(response) => return Ok(response),
            Err(_) if !link.began() && link.kept() => {
                shared.count(Cause::BackendStale);
                held.connection = None;
            }
            Err(_) => {
                shared.count(Cause::BackendReset);
                held.end(if link.began() { Outcome::Reset } else { Outcome::NoConnection });
                return Err(if link.began() { NoAnswer::Unclear } else { NoAnswer::NotSent });
            }
        }
    }
    held.end(Outcome::NoConnection);
    Err(NoAnswer::NotSent)
}

async fn open(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    target: &Target,
    service: &str,
    held: &mut Held,
) -> Result<BackendConnection, NoAnswer> {
    let max_conns = request.terms.routing.service(service).map_or(1, |service| service.max_conns);
    let share = connection_share(max_conns, shared.gateways());
    let within = (request.terms.route.slo / 2).clamp(LEAST_CONNECT, MOST_CONNECT).min(request.left());
    match shared.pools.open(&target.id, target.address, share, within).await {
        Ok(connection) => {
            shared.count(Cause::BackendConnected);
            Ok(connection)
        }
        Err(NoConnection::Spent) => Err(NoAnswer::NotSent),
        Err(NoConnection::Unreachable) => {
            shared.count(Cause::BackendUnreachable);
            held.end(Outcome::NoConnection);
            Err(NoAnswer::NotSent)
        }
    }
}

/// Whether an answer is this request's, and whether it says that nothing ran. None for a foreign one.
fn judge(
    shared: &Shared,
    request: &ClientRequest,
    response: &Response<Incoming>,
    held: &mut Held,
) -> Option<Verdict> {
    let headers = response.headers();
    let refused = headers.contains_key(NOT_EXECUTED) && response.status() != StatusCode::BAD_REQUEST;
    let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    let ours = match headers.get(REQUEST_ID) {
        Some(id) => *id == request.id,
        // A refusal may come without one. On a kept connection it could be another request's, late.
        None => (refused || misdirected) && (request.terms.route.repeatable() || !kept(held)),
    };
    // A success without its backend's seal is no answer of a backend.
    let sealed = !response.status().is_success() || headers.contains_key(RESPONSE_SEAL);
    if !ours || !sealed {
        shared.count(Cause::BackendForeignAnswer);
        held.end(Outcome::Reset);
        return None;
    }
    held.keep_for = rest(headers);
    if !misdirected && !refused {
        return Some(Verdict::Ours);
    }
    held.first_event(reported_load(headers));
    held.end(if misdirected { Outcome::Misdirected } else { Outcome::Refused });
    shared.count(if misdirected { Cause::BackendMisdirected } else { Cause::BackendRefused });
    let refused = NoAnswer::Refused { retry_after: retry_after(headers) };
    Some(Verdict::TurnedAway(if misdirected { NoAnswer::Misdirected } else { refused }))
}

/// Reads the rest of a short answer that nobody needs, so that its connection can be used again.
async fn drain(response: Response<Incoming>, held: &mut Held) {
    let rest = Limited::new(response.into_body(), MOST_DRAINED).collect();
    if matches!(timeout(DRAIN, rest).await, Ok(Ok(_))) {
        held.completed();
    }
}

fn kept(held: &Held) -> bool {
    held.connection.as_ref().is_none_or(|connection| connection.link.kept())
}

/// How long the connection may rest behind this answer; none where it closes.
fn rest(headers: &HeaderMap) -> Option<Duration> {
    if has_connection_option(headers, "close") {
        return None;
    }
    let told = headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(|value| {
        let mut options = value.split(',').filter_map(|option| option.trim().split_once('='));
        let timeout = options.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?.1;
        timeout.trim().parse::<u32>().ok()
    });
    let rest = told.map_or(USUAL_REST, |told| Duration::from_secs(told.into()).saturating_sub(REST_MARGIN));
    (!rest.is_zero()).then_some(rest)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().map(|after| after.min(MOST_AWAY))
}

/// `X-Backend-Load`: requests running, requests waiting and slots.
pub(crate) fn reported_load(headers: &HeaderMap) -> Option<ReportedLoad> {
    let text = headers.get("x-backend-load")?.to_str().ok()?;
    let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
    let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
    Some(ReportedLoad { running, waiting, slots })
}
