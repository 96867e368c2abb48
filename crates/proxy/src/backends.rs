//! Runs executions on backends with the hyper-util client and reports how each ended.

use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::Body;
use axum::http::header::CONNECTION;
use axum::http::request::Parts;
use axum::http::uri::{Authority, Scheme};
use axum::http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use bytes::Bytes;
use crankpick::interface::{Ended, LoadReport};
use crankpick_carry::run::SendPermission;
use crankpick_http::fields::end_to_end;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::{capture_connection, CaptureConnection};
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use crate::bodies::{Answer, BodyError, Payload, Pool, MAX_BUFFERED};
use crate::connect::{Connector, OverBudget, TrackedConnection};
use crate::endpoints::Endpoints;

/// Timeout of a probe; waiting longer would only show that the backend does not answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A response of unknown length is no longer buffered this long before its deadline, but streamed from what has
/// arrived.
const STREAM_MARGIN: Duration = Duration::from_millis(30);

/// Fraction of pooled connections found stale above which a request that can't be retried gets a new connection
/// in spite of its cost.
const STALE_THRESHOLD: f64 = 0.01;
/// Client errors that describe the backend's current state, not the query.
const TEMPORARY_ERRORS: [StatusCode; 2] = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];

pub struct Backends {
    client: Client<Connector, Body>,
    connector: Connector,
    answers: Arc<Pool>,
    /// Moving average of the fraction of stale pooled connections, over the last few dozen executions on pooled
    /// connections.
    stale_fraction: Mutex<f64>,
    connection_numbers: AtomicU64,
    endpoints: Arc<Endpoints>,
}

/// Result of an execution. `answer` is set if it completed, or if no other backend would accept the query
/// either.
pub struct ExecutionOutcome {
    pub ended: Ended,
    pub took_us: u64,
    pub report: Option<LoadReport>,
    pub answer: Option<Response<Body>>,
}

impl Backends {
    pub fn new(
        budget: usize,
        answers: Arc<Pool>,
        connect_timeout: Duration,
        idle_close: Duration,
        right: Option<SendPermission>,
    ) -> Self {
        // The client drops idle connections before they close themselves, and both happen before the backend
        // would close them, so that no connection ends under a request that was just written to it.
        let connector = Connector::new(budget, connect_timeout, idle_close.mul_f64(0.85), right);
        let endpoints = Arc::clone(&connector.endpoints);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_close.mul_f64(0.8))
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_BUFFERED)
            .build(connector.clone());
        Backends {
            client,
            connector,
            answers,
            stale_fraction: Mutex::default(),
            connection_numbers: AtomicU64::default(),
            endpoints,
        }
    }

    pub async fn share_with(self: Arc<Self>, others: watch::Receiver<usize>, budget: usize) {
        self.connector.share_with(others, budget).await;
    }

    pub fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// Drops all state and connections of a backend: its address may be reused by another one.
    pub fn forget(&self, backend: u32) {
        self.endpoints.forget(backend);
        self.connector.close_all(backend);
    }

    /// Upper bound for the time a request takes to reach its backend: half of the connect timeout.
    pub fn max_send_delay(&self) -> Duration {
        self.connector.connect_timeout() / 2
    }

    /// Updates the stale fraction with one use of a pooled connection.
    fn record_reuse(&self, stale: bool) {
        let mut fraction = self.stale_fraction.lock().unwrap_or_else(PoisonError::into_inner);
        *fraction += (f64::from(u8::from(stale)) - *fraction) / 64.0;
    }

    /// Returns the number of a new connection if the request needs one of its own (`must`), or if pooled ones
    /// are often stale.
    fn new_connection_number(&self, must: bool) -> Option<u64> {
        let often_stale =
            *self.stale_fraction.lock().unwrap_or_else(PoisonError::into_inner) > STALE_THRESHOLD;
        (must || often_stale).then(|| self.connection_numbers.fetch_add(1, Ordering::Relaxed))
    }

    /// Runs one execution until its response is complete, or has exceeded the buffer and is streamed. Dropping
    /// the future before that closes the connection. A request that can't be retried avoids pooled connections
    /// while these are often stale; a streamed body never uses one, since it could not be repeated on another
    /// connection.
    /// Until its first byte is written the execution ends as `NotSent` once it is `unwanted` or its backend
    /// becomes unavailable: it may wait for a descriptor or a connection while its client disconnects or the
    /// list changes.
    pub async fn execute(
        self: Arc<Self>,
        backend: u32,
        head: Arc<Parts>,
        wait: Duration,
        not_retryable: bool,
        payload: Payload,
        body: impl Fn() -> Body,
        acceptance_over: impl Future<Output = ()>,
        unwanted: impl Future<Output = ()>,
    ) -> ExecutionOutcome {
        let sent = Instant::now();
        let current: Mutex<Option<CaptureConnection>> = Mutex::default();
        let begun = || {
            let current = current.lock().unwrap_or_else(PoisonError::into_inner);
            current.as_ref().and_then(tracked).is_some_and(|tracked| tracked.begun())
        };
        let endpoint = self.endpoints.available_address(backend);
        let outcome = async {
            loop {
                let open =
                    endpoint.filter(|endpoint| self.endpoints.available_address(backend) == Some(*endpoint));
                let address = open.filter(|_| self.connector.may_send()).ok_or(Ended::NotSent)?;
                let left = if payload.is_streamed() { wait } else { wait.saturating_sub(sent.elapsed()) };
                let new_connection = (not_retryable || payload.is_streamed())
                    .then(|| self.new_connection_number(payload.is_streamed()))
                    .flatten();
                let request = backend_request(backend, new_connection, address, &head, body(), left);
                let mut request = request.ok_or(Ended::NotSent)?;
                let connection = capture_connection(&mut request);
                current.lock().unwrap_or_else(PoisonError::into_inner).replace(connection.clone());
                let answer = self.client.request(request).await;
                let tracked = tracked(&connection);
                if tracked.as_deref().is_some_and(TrackedConnection::reused) {
                    self.record_reuse(
                        answer.is_err() && tracked.as_deref().is_some_and(TrackedConnection::has_no_answer),
                    );
                }
                match answer {
                    Ok(answer) => {
                        let until = payload.sent_at().unwrap_or(sent) + wait.saturating_sub(STREAM_MARGIN);
                        return read_response(answer, &self.answers, tracked, until).await;
                    }
                    // Retry on another connection: this one was made unusable by an earlier request.
                    Err(_) if tracked.as_deref().is_some_and(TrackedConnection::unusable_before_use) => {}
                    Err(_) if !begun() && self.endpoints.available_address(backend) != endpoint => {
                        return Err(Ended::NotSent)
                    }
                    Err(error) => {
                        return Err(classify_failure(&error, tracked.as_deref(), payload.max_unsent_bytes()))
                    }
                }
            }
        };
        // A streamed body has no total timeout: the client's wait counts from the end of the body.
        let deadline = async { sleep_until(payload.sent().await.unwrap_or(sent) + wait).await };
        let unfinished = async {
            acceptance_over.await;
            if !payload.is_streamed() || payload.sent_at().is_some() {
                std::future::pending::<()>().await;
            }
        };
        let not_begun = async {
            let unavailable = async {
                match endpoint {
                    Some(endpoint) => self.endpoints.unavailable(backend, endpoint).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = unwanted => {}
                () = unavailable => {}
            }
            // An execution that has begun continues; the retry rules apply to it.
            if begun() {
                std::future::pending::<()>().await;
            }
        };
        let outcome = tokio::select! {
            biased;
            () = not_begun => Err(Ended::NotSent),
            outcome = outcome => outcome,
            () = deadline => Err(Ended::TimedOut),
            // The request was not sent completely, so it was not executed.
            () = unfinished => Err(Ended::NotSent),
        };
        let since = payload.sent_at().unwrap_or(sent);
        let (ended, report, answer) = outcome.unwrap_or_else(|ended| (ended, None, None));
        ExecutionOutcome { ended, took_us: since.elapsed().as_micros() as u64, report, answer }
    }

    /// Checks that a backend responds and reads its load report. The request has no id, so no backend takes it
    /// for a query. Any response that would be passed on counts as alive, including a 404.
    pub async fn probe(self: Arc<Self>, backend: u32, path: Uri) -> ExecutionOutcome {
        let mut request = Request::new(());
        *request.uri_mut() = path;
        let head = Arc::new(request.into_parts().0);
        let nothing = Payload::Buffered(Bytes::new(), Arc::default());
        let pending = std::future::pending::<()>;
        let outcome = self
            .execute(backend, head, PROBE_TIMEOUT, false, nothing, Body::empty, pending(), pending())
            .await;
        let answered = outcome.answer.is_some();
        ExecutionOutcome {
            ended: if answered { Ended::Completed } else { outcome.ended },
            answer: None,
            ..outcome
        }
    }
}

/// The connection that a request was assigned, if it got that far.
fn tracked(connection: &CaptureConnection) -> Option<Arc<TrackedConnection>> {
    let connected = connection.connection_metadata();
    let mut extras = axum::http::Extensions::new();
    connected.as_ref()?.get_extras(&mut extras);
    extras.remove::<Arc<TrackedConnection>>()
}

/// Classifies a missing response: only a request that was certainly not sent completely counts as not executed.
fn classify_failure(
    error: &ClientError,
    tracked: Option<&TrackedConnection>,
    max_unsent_bytes: usize,
) -> Ended {
    let mut source = error.source();
    while let Some(cause) = source {
        // Not the backend's fault: no local descriptor was available, or the client's body ended early.
        if cause.is::<OverBudget>() || cause.is::<BodyError>() && max_unsent_bytes == usize::MAX {
            return Ended::NotSent;
        }
        source = cause.source();
    }
    match tracked {
        None => Ended::Unreachable,
        Some(tracked) if tracked.wrote_less_than(max_unsent_bytes) => Ended::Unreachable,
        Some(tracked) if tracked.reused() && tracked.has_no_answer() => Ended::Stale,
        Some(_) => Ended::Dropped,
    }
}

type ReadResult = (Ended, Option<LoadReport>, Option<Response<Body>>);

async fn read_response(
    answer: Response<Incoming>,
    pool: &Pool,
    tracked: Option<Arc<TrackedConnection>>,
    until: Instant,
) -> Result<ReadResult, Ended> {
    let execution = tracked.as_deref().map(TrackedConnection::execution);
    let (head, body) = answer.into_parts();
    let never_ran = head.headers.get("x-not-run").is_some_and(|value| value == "1");
    let ended = match head.status {
        StatusCode::OK => Ended::Completed,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Ended::Rejected,
        // An error of the query itself: other backends would reject it too, and it says nothing about this one.
        status if status.is_client_error() && !TEMPORARY_ERRORS.contains(&status) => Ended::Cancelled,
        _ => Ended::Errored,
    };
    let report = load_report(&head.headers);
    // A response whose declared length exceeds the limit is not read.
    let answer = Answer::read(Body::new(body), pool, until).await.map_err(|_| Ended::Dropped)?;
    // Beyond the buffer a response times out when it makes no progress although more is requested, not when the
    // client pauses.
    match (answer.is_complete(), tracked.as_deref().zip(execution)) {
        (true, Some((tracked, execution))) => tracked.set_idle(execution),
        (false, Some((tracked, _))) => tracked.set_streaming(),
        (_, None) => {}
    }
    let rest =
        move || tracked.iter().zip(execution).for_each(|(tracked, execution)| tracked.set_idle(execution));
    let answer = matches!(ended, Ended::Completed | Ended::Cancelled).then(|| {
        let mut passed = Response::new(answer.body(rest));
        *passed.status_mut() = head.status;
        *passed.headers_mut() = end_to_end(&head.headers);
        passed
    });
    Ok((ended, report, answer))
}

/// Parses `X-Load: inflight=7,queue=2,util=0.61`; fields that the balancer doesn't use are ignored.
fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let fields = headers.get("x-load")?.to_str().ok()?;
    let mut report = LoadReport::default();
    for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
        let value = value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
        match name.trim() {
            "util" => report.utilisation = value,
            "inflight" => report.in_flight = value,
            "eps" => report.errors_per_s = value,
            _ => {}
        }
    }
    Some(report)
}

/// Builds the backend request: method, path, query and body exactly as received.
fn backend_request(
    backend: u32,
    new_connection: Option<u64>,
    address: SocketAddr,
    head: &Parts,
    body: Body,
    wait: Duration,
) -> Option<Request<Body>> {
    let mut uri = head.uri.clone().into_parts();
    uri.scheme = Some(Scheme::HTTP);
    // The client pools connections by authority: with the backend's number in it, a connection is never reused
    // for another backend at the same address.
    let authority = match new_connection {
        Some(number) => format!("{backend}-{number}@{address}"),
        None => format!("{backend}@{address}"),
    };
    uri.authority = Some(Authority::try_from(authority).ok()?);
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = Uri::from_parts(uri).ok()?;
    *request.headers_mut() = end_to_end(&head.headers);
    let deadline = HeaderValue::try_from(format!("{}u", wait.as_micros())).ok()?;
    request.headers_mut().insert("x-deadline", deadline);
    if new_connection.is_some() {
        request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Some(request)
}
