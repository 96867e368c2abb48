//! The life cycle of one request, from its head to the response.

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

use crate::admission::RequestPolicy;
use crate::backend_response::BackendResponse;
use crate::body::{discard, BodyLimits};
use crate::counters::Cause;
use crate::forwarder::Forwarder;
use crate::generated_body::GeneratedBody;
use crate::outgoing::ClientRequest;
use crate::refusal::{Declined, Refusal};
use crate::relay::Relay;
use crate::request;
use crate::response_body::ResponseBody;
use crate::shared::Shared;

/// Bytes of a header line besides name and value: `: ` and CRLF.
const FIELD_LINE_OVERHEAD: usize = 4;

/// Minimum time between a request's deadline and the end of the grace period, so that its last bytes can be
/// sent.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(50);

/// Handles one request.
pub(crate) async fn handle(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    framing: Option<ReceivedRequest>,
) -> Result<Response<ResponseBody>, Declined> {
    let arrived = framing.and_then(|framing| framing.complete_at).unwrap_or_else(Instant::now);
    let (head, body) = request.into_parts();
    // Conflicting lengths can hide a second request in the body, and so can framing that was not tracked.
    let ambiguous =
        framing.is_none_or(|framing| framing.conflicting_lengths) || has_both_lengths(&head.headers);
    if head.headers.contains_key(TRANSFER_ENCODING) && ambiguous {
        return Err(Refusal::Framing.into());
    }
    let limits = shared.client_limits();
    if header_bytes(&head.headers) > limits.max_header_bytes {
        return Err(Refusal::HeadTooLong.into());
    }
    let (id, policy) = match check_head(shared, &head).await {
        Ok(checked) => checked,
        Err(refusal) => return Err(refuse_by_head(refusal, &head, body, limits.header_timeout).await),
    };
    let limits = BodyLimits { max_bytes: limits.max_body_bytes, stall_timeout: limits.header_timeout };
    let body = shared.bodies.read(body, limits).await?;
    let request = ClientRequest::new(policy, id, arrived, head, body, shared.track_if_late());
    check_time_left(shared, &request)?;
    let mut forwarder = Forwarder::new(Arc::clone(shared), Arc::clone(&request));
    request.policy.take_quota(shared, &request.size, || forwarder.latest_start()).await?;
    let response = forwarder.forward().await?;
    shared.count(Cause::Answered);
    Ok(client_response(forwarder, response))
}

/// During shutdown the process still accepts requests for a while, because clients do not learn of the
/// shutdown immediately. Whatever is in flight at the end of the grace period is aborted, and the duration
/// of a response is not predictable. Therefore only requests whose own deadline ends before that are
/// accepted; others are refused before execution, so that they can be retried elsewhere.
fn check_time_left(shared: &Shared, request: &ClientRequest) -> Result<(), Refusal> {
    match shared.lifecycle.time_left() {
        Some(left) if request.time_left() + SHUTDOWN_MARGIN > left => Err(Refusal::Ending),
        _ => Ok(()),
    }
}

/// Checks what the head determines: request ID, route and tenant.
async fn check_head(shared: &Shared, head: &RequestParts) -> Result<(HeaderValue, RequestPolicy), Refusal> {
    let id = request::request_id(&head.headers)?;
    let policy = RequestPolicy::resolve(shared, head).await?;
    Ok((id, policy))
}

/// Refuses a request by its head. The connection is kept only if the whole body has been read: closing it
/// while bytes are still arriving would reset it, and the refusal would be lost. A client that waits for
/// `100 Continue` is not asked for its body, and a body that takes too long is not waited for.
async fn refuse_by_head(
    refusal: Refusal,
    head: &RequestParts,
    body: Incoming,
    timeout: Duration,
) -> Declined {
    let body_unread = head.headers.contains_key(EXPECT) || !discard(body, timeout).await;
    Declined { refusal, body_unread }
}

fn has_both_lengths(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH)
}

fn header_bytes(headers: &HeaderMap) -> u64 {
    headers.iter().map(|(name, value)| (name.as_str().len() + value.len() + FIELD_LINE_OVERHEAD) as u64).sum()
}

/// Builds the client's response from the backend's.
fn client_response(forwarder: Forwarder, response: BackendResponse) -> Response<ResponseBody> {
    match response {
        BackendResponse::Buffered(parts, bytes) => build_response(parts, ResponseBody::buffered(bytes)),
        BackendResponse::Passthrough(parts, body) => build_response(parts, ResponseBody::Passthrough(body)),
        BackendResponse::Stream(parts, source, first) => {
            let relay = Relay::new(forwarder, source);
            build_response(parts, ResponseBody::Stream(GeneratedBody::new(|sender| relay.run(first, sender))))
        }
    }
}

fn build_response(parts: Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(&parts.headers);
    response
}
