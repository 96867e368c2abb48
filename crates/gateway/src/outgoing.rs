//! A request as a backend gets it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crankpick_dispatch::Target;
use crankpick_http::fields::end_to_end;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, AUTHORIZATION};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use tokio::time::Instant;

use crate::admission::Terms;
use crate::body::WholeBody;
use crate::event::EventId;
use crate::request::{self, PromptSize};
use crate::shared::LateInFlight;

/// Kept back from what the client waits: the way there and back.
const ROOM: Duration = Duration::from_millis(10);
/// Kept back from what is left: a backend that stops at its deadline says so in time.
const BACKEND_ROOM: Duration = Duration::from_millis(5);

/// A client's request, whole and admitted.
pub(crate) struct ClientRequest {
    pub terms: Terms,
    pub id: HeaderValue,
    pub size: PromptSize,
    pub arrived: Instant,
    /// When nobody waits any more.
    pub deadline: Instant,
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: WholeBody,
    _late: Option<LateInFlight>,
}

impl ClientRequest {
    pub fn new(
        terms: Terms,
        id: HeaderValue,
        arrived: Instant,
        head: Parts,
        body: WholeBody,
        late: Option<LateInFlight>,
    ) -> Arc<Self> {
        let size = PromptSize::read(&head.headers);
        let most = terms.route.timeout;
        let patience = request::patience(&head.headers).unwrap_or(most).min(most);
        let headers = passed_headers(&head.headers, &terms);
        Arc::new(ClientRequest {
            deadline: arrived + patience.saturating_sub(ROOM),
            terms,
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

    /// What is left until nobody waits any more.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The request as the backend gets it; `after` is what a stream is to go on behind.
    pub fn for_backend(&self, target: &Target, after: Option<&EventId>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.bytes.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        let left = self.left().saturating_sub(BACKEND_ROOM).as_millis();
        headers.insert(request::DEADLINE, HeaderValue::from(u64::try_from(left).unwrap_or(u64::MAX)));
        if let Ok(id) = HeaderValue::from_str(&target.id) {
            headers.insert(request::EXPECT_INSTANCE, id);
        }
        if let Some(priority) = target.priority_header {
            headers.insert(request::PRIORITY, HeaderValue::from(u16::from(priority)));
        }
        if let Some(after) = after.and_then(|after| HeaderValue::from_bytes(&after.text).ok()) {
            headers.insert(request::LAST_EVENT_ID, after);
        }
        *request.headers_mut() = headers;
        request
    }
}

/// The headers that go on: without the key, and with the tenant that the gateway found, whatever the client says.
fn passed_headers(headers: &HeaderMap, terms: &Terms) -> HeaderMap {
    let mut passed = end_to_end(headers);
    passed.remove(request::TENANT);
    passed.remove(request::EXPECT_INSTANCE);
    if terms.routing.has_tenants() {
        passed.remove(AUTHORIZATION);
    }
    let tenant = terms.tenant.as_ref().and_then(|tenant| HeaderValue::from_str(&tenant.name).ok());
    if let Some(tenant) = tenant {
        passed.insert(request::TENANT, tenant);
    }
    passed
}

/// Path and query as they came.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => uri.clone(),
    }
}
