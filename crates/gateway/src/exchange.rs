//! The life of one request, from its head to the answer.

use std::sync::Arc;
use std::time::Duration;

use crankpick_http::fields::end_to_end;
use crankpick_http::framing::ReceivedRequest;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING};
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts;
use hyper::{Request, Response};
use tokio::time::Instant;

use crate::admission::Terms;
use crate::answer::AnswerBody;
use crate::body::{discard, BodyLimits};
use crate::counters::Cause;
use crate::courier::Courier;
use crate::opened::Opened;
use crate::outgoing::ClientRequest;
use crate::outlet::Outlet;
use crate::refusal::{Declined, Refusal};
use crate::relay::Relay;
use crate::request;
use crate::shared::Shared;

/// What the bytes of a field's line hold besides name and value.
const FIELD_MARKS: usize = 4;

/// What must lie between a request's deadline and the end of the grace, for its last bytes to go out.
const END_MARGIN: Duration = Duration::from_millis(50);

/// Answers one request.
pub(crate) async fn answer(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    came: Option<ReceivedRequest>,
) -> Result<Response<AnswerBody>, Declined> {
    let arrived = came.and_then(|came| came.complete_at).unwrap_or_else(Instant::now);
    let (head, body) = request.into_parts();
    // Such a length may hide a second request in the body; one that was not followed may as well.
    let doubtful = came.is_none_or(|came| came.conflicting_lengths) || two_lengths(&head.headers);
    if head.headers.contains_key(TRANSFER_ENCODING) && doubtful {
        return Err(Refusal::Framing.into());
    }
    let limits = shared.client_limits();
    if head_bytes(&head.headers) > limits.max_header_bytes {
        return Err(Refusal::HeadTooLong.into());
    }
    let (id, terms) = match judge(shared, &head).await {
        Ok(judged) => judged,
        Err(refusal) => return Err(decline(refusal, &head, body, limits.header_timeout).await),
    };
    let limits = BodyLimits { most: limits.max_body_bytes, still: limits.header_timeout };
    let body = shared.bodies.read(body, limits).await?;
    let request = ClientRequest::new(terms, id, arrived, head, body, shared.hold_if_late());
    check_time_left(shared, &request)?;
    request.terms.take_quota(shared, &request.size, request.deadline).await?;
    let mut courier = Courier::new(Arc::clone(shared), request);
    let opened = courier.deliver(None).await?;
    shared.count(Cause::Answered);
    Ok(pass_on(courier, opened))
}

/// A process that shuts down takes requests for a while yet, since clients don't hear of it at once. What is under way at
/// the end of its grace is broken off, and how long an answer lasts can't be foreseen: so it takes only what must end
/// before, by the request's own deadline. The rest is refused before it runs, to be asked for elsewhere.
fn check_time_left(shared: &Shared, request: &ClientRequest) -> Result<(), Refusal> {
    match shared.lifecycle.time_left() {
        Some(left) if request.left() + END_MARGIN > left => Err(Refusal::Ending),
        _ => Ok(()),
    }
}

/// What can be said of a request by its head: its id, route and tenant.
async fn judge(shared: &Shared, head: &RequestParts) -> Result<(HeaderValue, Terms), Refusal> {
    let id = request::request_id(&head.headers)?;
    let terms = Terms::find(shared, head).await?;
    Ok((id, terms))
}

/// Refuses a request by its head. Its connection serves on only behind the whole body: ended over bytes that are still
/// to come it would be reset, and the refusal lost. Who waits to be asked for the body isn't asked, and one that takes
/// too long over it isn't waited for.
async fn decline(refusal: Refusal, head: &RequestParts, body: Incoming, within: Duration) -> Declined {
    let body_unread = head.headers.contains_key(EXPECT) || !discard(body, within).await;
    Declined { refusal, body_unread }
}

fn two_lengths(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH)
}

fn head_bytes(headers: &HeaderMap) -> u64 {
    headers.iter().map(|(name, value)| (name.as_str().len() + value.len() + FIELD_MARKS) as u64).sum()
}

/// The backend's answer as the client gets it.
fn pass_on(courier: Courier, opened: Opened) -> Response<AnswerBody> {
    match opened {
        Opened::Whole(parts, bytes) => response(parts, AnswerBody::whole(bytes)),
        Opened::Long(parts, body) => response(parts, AnswerBody::Long(body)),
        Opened::Stream(parts, source, first) => {
            let relay = Relay::new(courier, source);
            response(parts, AnswerBody::Stream(Outlet::new(|inlet| relay.run(first, inlet))))
        }
    }
}

fn response(parts: Parts, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(&parts.headers);
    response
}
