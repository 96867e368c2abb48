//! Handles one query in one task, from the client's request to the single final response.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::header::{CONNECTION, TRANSFER_ENCODING};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use crankpick::interface::{Ended, Repeat};
use crankpick_carry::run::SendPermission;
use crankpick_http::framing::ReceivedRequest;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use crate::backends::{Backends, ExecutionOutcome};
use crate::balancer::{BalancerHandle, Decision, QueryError};
use crate::bodies::{BodyError, Payload, Pool};
use crate::in_flight::hold_until_sent;
use crate::lifecycle::Lifecycle;
use crate::reload::{RequestConfig, WorkloadConfig};

/// Subtracted from the client's deadline to leave time for the network and for writing the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Shared state of all queries.
pub struct Proxy {
    pub balancer: Arc<BalancerHandle>,
    pub backends: Arc<Backends>,
    pub bodies: Arc<Pool>,
    /// Workloads and tenants; a running query keeps the version that it started with.
    pub request_config: watch::Receiver<Arc<RequestConfig>>,
    pub lifecycle: watch::Receiver<Lifecycle>,
    /// Becomes true when the process must end: all pending queries are answered with an error.
    pub ending: watch::Receiver<bool>,
    /// Whether this proxy may send to backends; set in a fleet only.
    pub right: Option<SendPermission>,
    /// `Retry-After` for clients rejected because nothing may be sent; 0 if the settings allow none.
    pub retry_after_us: u64,
}

pub async fn answer(State(proxy): State<Arc<Proxy>>, request: Request) -> Response<Body> {
    // Cut off from the fleet it may not send to backends: reject before the query is accepted.
    if proxy.right.as_ref().is_some_and(|right| !right.is_valid()) {
        return rejected(proxy.retry_after_us);
    }
    let guard = proxy.balancer.in_flight().map(|in_flight| in_flight.query());
    hold_until_sent(handle(proxy, request).await, guard)
}

async fn handle(proxy: Arc<Proxy>, request: Request) -> Response<Body> {
    let (mut head, body) = request.into_parts();
    // Conflicting lengths may hide a second request in the body (request smuggling), and so may a request whose
    // framing was not tracked.
    let received = head.extensions.remove::<ReceivedRequest>();
    if head.headers.contains_key(TRANSFER_ENCODING)
        && received.is_none_or(|received| received.conflicting_lengths)
    {
        return plain_and_close(StatusCode::BAD_REQUEST, "a length given in two ways");
    }
    let request_config = Arc::clone(&proxy.request_config.borrow());
    let params = match RequestParams::read(&head, &request_config) {
        Ok(params) => params,
        Err(error) => return plain(StatusCode::BAD_REQUEST, &error),
    };
    let read = tokio::select! {
        biased;
        read = Payload::read(body, &proxy.bodies, params.wait / 2) => read,
        () = Lifecycle::acceptance_over(proxy.lifecycle.clone()) => Err(BodyError::TimedOut),
    };
    let (payload, memory_wait) = match read {
        Ok(read) => read,
        Err(error) => {
            let status = match error {
                // It was sent nowhere, and half of its time is left for another proxy.
                BodyError::OutOfMemory => return with_close(rejected(proxy.retry_after_us)),
                BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
                BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
                BodyError::Aborted | BodyError::Consumed => StatusCode::BAD_REQUEST,
            };
            return plain_and_close(status, &error.to_string());
        }
    };
    // SIGKILL might arrive before its response. It was sent nowhere yet, so another proxy may take it.
    if proxy.lifecycle.borrow().is_acceptance_over() {
        return rejected(proxy.retry_after_us);
    }
    // The client's deadline counts from the last byte that it sent: subtract the time that a pipelined request,
    // or one waiting for buffer memory, has spent here.
    let waited =
        received.and_then(|received| received.complete_at).map_or(Duration::ZERO, |whole| whole.elapsed());
    let wait = params.wait.saturating_sub(waited.max(memory_wait) + RESPONSE_MARGIN);
    let ttl_us = wait.as_micros() as u64;
    let (workload, tenant) = (params.workload.number, params.tenant);
    let accepted =
        proxy.balancer.query(&params.id, workload, tenant, ttl_us, params.hint_us, params.is_retry);
    let decisions = match accepted {
        Ok(decisions) => decisions,
        Err(QueryError::DuplicateId) => {
            return plain(StatusCode::BAD_REQUEST, "this X-Request-Id is in hand already")
        }
        Err(QueryError::Invalid(error)) => return plain(StatusCode::BAD_REQUEST, &error),
    };
    let not_retryable = params.workload.repeat == Repeat::NonIdempotent;
    let mut active = ActiveQuery::new(Arc::clone(&proxy.balancer), params.id, decisions);
    let head = Arc::new(head);
    let mut ending = proxy.ending.clone();
    loop {
        tokio::select! {
            biased;
            outcome = next_outcome(&mut active.running_executions) => {
                let (execution, outcome) = outcome;
                report(&active.balancer, &active.id, execution, &outcome);
                if let Some(answer) = outcome.answer {
                    active.answered = true;
                    return answer;
                }
            }
            decision = active.decisions.recv() => match decision {
                Some(Decision::Execute { backend, timeout_us, begin_within_us, guard }) => {
                    let wait = if payload.is_streamed() { wait } else { Duration::from_micros(timeout_us) };
                    let (backends, head) = (Arc::clone(&proxy.backends), Arc::clone(&head));
                    let (payload, balancer, id) = (payload.clone(), Arc::clone(&proxy.balancer), active.id.clone());
                    let body = {
                        let payload = payload.clone();
                        move || {
                            let (balancer, id) = (Arc::clone(&balancer), id.clone());
                            payload.body(move |whole| balancer.notify(|inbox| inbox.body_progress(&id, whole)))
                        }
                    };
                    let acceptance_over = Lifecycle::acceptance_over(proxy.lifecycle.clone());
                    // An execution that has not begun ends with its query, or when the time in which duplicates
                    // are recognised is over.
                    let begin_within = Duration::from_micros(begin_within_us).saturating_sub(proxy.backends.max_send_delay());
                    let mut dropped = active.alive.subscribe();
                    let unwanted = async move {
                        let gone = async { while dropped.changed().await.is_ok() {} };
                        let _ = timeout(begin_within, gone).await;
                    };
                    let execution =
                        backends.execute(backend, head, wait, not_retryable, payload, body, acceptance_over, unwanted);
                    let execution = async move {
                        let mut outcome = execution.await;
                        outcome.answer = outcome.answer.map(|answer| hold_until_sent(answer, guard));
                        outcome
                    };
                    active.running_executions.push((active.executions, Box::pin(execution)));
                    active.executions += 1;
                }
                Some(Decision::Cancel { execution }) => active.cancel(execution),
                Some(Decision::Reject { backoff_us }) => {
                    active.answered = true;
                    return rejected(backoff_us);
                }
                Some(Decision::Abort) | None => {
                    active.answered = true;
                    return plain(StatusCode::BAD_GATEWAY, "given up; it may have been executed");
                }
            },
            _ = ending.wait_for(|ending| *ending) => {
                return plain(StatusCode::BAD_GATEWAY, "the proxy ends; it may have been executed");
            }
        }
    }
}

type Running = Pin<Box<dyn Future<Output = ExecutionOutcome> + Send>>;

/// A query registered with the balancer. When dropped, because it was answered or because the client
/// disconnected, it reports an outcome for each execution.
struct ActiveQuery {
    balancer: Arc<BalancerHandle>,
    id: String,
    decisions: mpsc::Receiver<Decision>,
    running_executions: Vec<(u32, Running)>,
    /// Number of executions decided so far, which is the number of the next one.
    executions: u32,
    answered: bool,
    /// Dropped together with the query, which cancels executions that have not begun.
    alive: watch::Sender<()>,
}

impl ActiveQuery {
    fn new(balancer: Arc<BalancerHandle>, id: String, decisions: mpsc::Receiver<Decision>) -> Self {
        let alive = watch::Sender::new(());
        ActiveQuery {
            balancer,
            id,
            decisions,
            running_executions: Vec::new(),
            executions: 0,
            answered: false,
            alive,
        }
    }

    /// Dropping the execution closes its connection, which tells the backend.
    fn cancel(&mut self, execution: u32) {
        let before = self.running_executions.len();
        self.running_executions.retain(|(number, _)| *number != execution);
        if self.running_executions.len() < before {
            self.balancer.outcome(&self.id, execution, Ended::Cancelled, 0, false, None);
        }
    }
}

fn report(balancer: &Arc<BalancerHandle>, id: &str, execution: u32, outcome: &ExecutionOutcome) {
    // The first execution that yields a response for the client ends the query.
    balancer.outcome(id, execution, outcome.ended, outcome.took_us, outcome.answer.is_some(), outcome.report);
}

/// Waits for the next execution to end; never completes while none is running.
async fn next_outcome(running_executions: &mut Vec<(u32, Running)>) -> (u32, ExecutionOutcome) {
    poll_fn(|cx| {
        for (index, (execution, running)) in running_executions.iter_mut().enumerate() {
            if let Poll::Ready(outcome) = running.as_mut().poll(cx) {
                let execution = *execution;
                drop(running_executions.remove(index));
                return Poll::Ready((execution, outcome));
            }
        }
        Poll::Pending
    })
    .await
}

impl Drop for ActiveQuery {
    fn drop(&mut self) {
        if !self.answered {
            self.balancer.withdrawn(&self.id);
        }
        while let Ok(decision) = self.decisions.try_recv() {
            match decision {
                Decision::Cancel { execution } => self.cancel(execution),
                // Decided at the moment the client disconnected: it was never sent and must not count as
                // running.
                Decision::Execute { .. } => {
                    self.balancer.outcome(&self.id, self.executions, Ended::NotSent, 0, false, None);
                    self.executions += 1;
                }
                Decision::Reject { .. } | Decision::Abort => {}
            }
        }
        self.balancer.forget(&self.id);
        // If executions may not be cancelled, those that have begun run to completion.
        for (execution, running) in self.running_executions.drain(..) {
            let (balancer, id) = (Arc::clone(&self.balancer), self.id.clone());
            tokio::spawn(async move {
                report(&balancer, &id, execution, &running.await);
            });
        }
    }
}

/// The parts of a request that the balancer needs; everything else is forwarded unchanged.
struct RequestParams {
    id: String,
    workload: WorkloadConfig,
    tenant: usize,
    wait: Duration,
    hint_us: Option<u64>,
    /// Whether the client marks the request as a retry.
    is_retry: bool,
}

impl RequestParams {
    fn read(head: &Parts, request_config: &RequestConfig) -> Result<Self, String> {
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let repeated = |name: &&&str| head.headers.get_all(**name).iter().nth(1).is_some();
        if let Some(name) = ["x-request-id", "idempotency-key", "x-deadline"].iter().find(repeated) {
            return Err(format!("{name} stands there twice"));
        }
        let id = text("x-request-id").filter(|id| !id.is_empty()).ok_or("X-Request-Id is missing")?;
        let name = head.uri.path().split('/').nth(1).unwrap_or_default();
        let workload = request_config.workloads.iter().find(|workload| workload.name == name);
        let workload = workload.ok_or_else(|| format!("no workload {name:?}"))?;
        let key = head.headers.get("idempotency-key").map(|key| !key.is_empty());
        let method_fits = match workload.repeat {
            Repeat::Idempotent => head.method == Method::GET && key.is_none(),
            Repeat::Deduplicated => head.method == Method::POST && key == Some(true),
            Repeat::NonIdempotent => head.method == Method::POST && key.is_none(),
        };
        if !method_fits {
            return Err(format!("{} and Idempotency-Key don't fit workload {name:?}", head.method));
        }
        // The workload's timeout caps the client's deadline, so that no query occupies a slot for an hour.
        let max_wait = workload.statement_timeout;
        let wait = match text("x-deadline") {
            Some(wait) => duration(wait).ok_or_else(|| format!("X-Deadline {wait:?}"))?.min(max_wait),
            None => max_wait,
        };
        // A tenant that isn't configured has no share to exceed.
        let tenant =
            text("x-tenant").and_then(|name| request_config.tenants.iter().position(|tenant| tenant == name));
        Ok(RequestParams {
            id: id.to_owned(),
            workload: workload.clone(),
            tenant: tenant.unwrap_or(usize::MAX),
            wait,
            hint_us: hint(&head.headers),
            is_retry: text("x-retry") == Some("1"),
        })
    }
}

fn hint(headers: &HeaderMap) -> Option<u64> {
    let hint: f64 = headers.get("x-cost-hint")?.to_str().ok()?.trim().parse().ok()?;
    (hint.is_finite() && hint >= 0.0).then_some(hint as u64)
}

/// Parses a duration such as `480m` (milliseconds) or `480u` (microseconds).
fn duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    let (number, unit_us) = match text.strip_suffix('m') {
        Some(number) => (number, 1e3),
        None => (text.strip_suffix('u')?, 1.0),
    };
    let us = number.trim().parse::<f64>().ok()? * unit_us;
    (us.is_finite() && us >= 0.0).then(|| Duration::from_micros(us as u64))
}

pub fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let mut answer = Response::new(Body::from(format!("{text}\n")));
    *answer.status_mut() = status;
    answer
}

/// Response that closes the connection: the client's next bytes can't be told apart from the rest of this
/// request.
fn plain_and_close(status: StatusCode, text: &str) -> Response<Body> {
    with_close(plain(status, text))
}

fn with_close(mut answer: Response<Body>) -> Response<Body> {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn rejected(backoff_us: u64) -> Response<Body> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "turned away; trying again is harmless");
    if backoff_us > 0 {
        let seconds = format!("{:.3}", Duration::from_micros(backoff_us).as_secs_f64());
        if let Ok(seconds) = HeaderValue::try_from(seconds) {
            answer.headers_mut().insert("retry-after", seconds);
        }
    }
    answer
}

#[cfg(test)]
#[path = "../tests/unit/query.rs"]
mod tests;
