//! The request that is sent to a backend.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crankpick_configuration::{RouteKind, RouteRule};
use crankpick_dispatch::Target;
use crankpick_http::fields::end_to_end;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, AUTHORIZATION};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use tokio::time::Instant;

use crate::admission::RequestPolicy;
use crate::body::BufferedBody;
use crate::event::EventId;
use crate::request::{self, PromptSize};
use crate::shared::LateInFlight;

/// Subtracted from the client's timeout for the network round trip.
const ROUND_TRIP_MARGIN: Duration = Duration::from_millis(10);
/// Subtracted from the remaining time, so that a backend that stops at its deadline can still report it in
/// time.
const BACKEND_DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// Clients abandon a stream after a silence of this, of this many objectives or of this many longest pauses between
/// events, whichever is the longest (PROTOCOL.md, Requests).
const MIN_ABANDONING_SILENCE: Duration = Duration::from_secs(2);
const ABANDONING_OBJECTIVES: u32 = 4;
const ABANDONING_EVENT_GAPS: u32 = 8;

/// How long clients of a streaming route wait for its next event, or its first; `None` if only their deadline bounds it.
pub(crate) fn abandoning_silence(route: &RouteRule) -> Option<Duration> {
    let event_gaps = route.gap_aim.map_or(Duration::ZERO, |gap| gap * ABANDONING_EVENT_GAPS);
    let silence = MIN_ABANDONING_SILENCE.max(route.slo * ABANDONING_OBJECTIVES).max(event_gaps);
    (route.kind == RouteKind::Streaming).then_some(silence)
}

/// A fully read and admitted client request.
pub(crate) struct ClientRequest {
    pub policy: RequestPolicy,
    pub id: HeaderValue,
    pub size: PromptSize,
    pub arrived: Instant,
    /// When the client stops waiting for the complete response.
    pub deadline: Instant,
    /// When the client stops waiting if it has received nothing.
    pub first_event_deadline: Instant,
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: BufferedBody,
    _late: Option<LateInFlight>,
}

impl ClientRequest {
    pub fn new(
        policy: RequestPolicy,
        id: HeaderValue,
        arrived: Instant,
        head: Parts,
        body: BufferedBody,
        late: Option<LateInFlight>,
    ) -> Arc<Self> {
        let size = PromptSize::read(&head.headers);
        let max_timeout = policy.route.timeout;
        let timeout = request::client_timeout(&head.headers).unwrap_or(max_timeout).min(max_timeout);
        let headers = forwarded_headers(&head.headers, &policy);
        let first_event_timeout =
            abandoning_silence(&policy.route).map_or(timeout, |silence| silence.min(timeout));
        Arc::new(ClientRequest {
            deadline: arrived + timeout.saturating_sub(ROUND_TRIP_MARGIN),
            first_event_deadline: arrived + first_event_timeout.saturating_sub(ROUND_TRIP_MARGIN),
            policy,
            id,
            size,
            arrived,
            method: head.method,
            target: origin_form(&head.uri),
            headers,
            body,
            _late: late,
        })
    }

    pub fn bytes(&self) -> u32 {
        u32::try_from(self.body.bytes.len()).unwrap_or(u32::MAX)
    }

    /// Time left until the client stops waiting.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Builds the request for a backend. A stream is to resume after the event `resume_after`.
    pub fn to_backend(&self, target: &Target, resume_after: Option<&EventId>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.bytes.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        let time_left = self.time_left().saturating_sub(BACKEND_DEADLINE_MARGIN).as_millis();
        headers.insert(request::DEADLINE, HeaderValue::from(u64::try_from(time_left).unwrap_or(u64::MAX)));
        if let Ok(id) = HeaderValue::from_str(&target.id) {
            headers.insert(request::EXPECT_INSTANCE, id);
        }
        if let Some(priority) = target.priority_header {
            headers.insert(request::PRIORITY, HeaderValue::from(u16::from(priority)));
        }
        if let Some(resume_after) =
            resume_after.and_then(|resume_after| HeaderValue::from_bytes(&resume_after.text).ok())
        {
            headers.insert(request::LAST_EVENT_ID, resume_after);
        }
        *request.headers_mut() = headers;
        request
    }
}

/// The forwarded headers: without the API key if the configuration has tenants, and with the tenant
/// determined by the gateway instead of any sent by the client.
fn forwarded_headers(headers: &HeaderMap, policy: &RequestPolicy) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    forwarded.remove(request::TENANT);
    forwarded.remove(request::EXPECT_INSTANCE);
    if policy.routing.has_tenants() {
        forwarded.remove(AUTHORIZATION);
    }
    let tenant = policy.tenant.as_ref().and_then(|tenant| HeaderValue::from_str(&tenant.name).ok());
    if let Some(tenant) = tenant {
        forwarded.insert(request::TENANT, tenant);
    }
    forwarded
}

/// Path and query as received.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => uri.clone(),
    }
}
