//! The life of one query, from the client's request to the one final answer, in one task.

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
use crankpick_http::framing::Came;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use crate::backends::{Backends, Heard};
use crate::bodies::{Broken, Payload, Pool};
use crate::decide::{Decide, Decided, NotTaken};
use crate::in_flight::flowing;
use crate::lifecycle::Lifecycle;
use crate::reload::{Known, Terms};

/// Kept back from what the client waits, for the way there and for writing the answer.
const ROOM: Duration = Duration::from_millis(10);

/// What every query needs.
pub struct Proxy {
    pub decide: Arc<Decide>,
    pub backends: Arc<Backends>,
    pub bodies: Arc<Pool>,
    /// What requests may name; an open query keeps what it came with.
    pub terms: watch::Receiver<Arc<Terms>>,
    pub lifecycle: watch::Receiver<Lifecycle>,
    /// Turns true when the process must end: what is still in hand gets its answer.
    pub ending: watch::Receiver<bool>,
    /// Whether this proxy may send anything to a backend, in a fleet.
    pub right: Option<SendPermission>,
    /// What a client is told that is turned away for want of it; 0 where the settings allow no such word.
    pub come_back_us: u64,
}

pub async fn answer(State(proxy): State<Arc<Proxy>>, request: Request) -> Response<Body> {
    // Cut off from the fleet it may send nothing: said at once, before anything is taken.
    if proxy.right.as_ref().is_some_and(|right| !right.is_valid()) {
        return rejected(proxy.come_back_us);
    }
    let hold = proxy.decide.in_flight().map(|in_flight| in_flight.query());
    flowing(answered(proxy, request).await, hold)
}

async fn answered(proxy: Arc<Proxy>, request: Request) -> Response<Body> {
    let (mut head, body) = request.into_parts();
    // Such a length may hide a second request in the body; a request that was not followed may as well.
    let came = head.extensions.remove::<Came>();
    if head.headers.contains_key(TRANSFER_ENCODING) && came.is_none_or(|came| came.two_lengths) {
        return last(StatusCode::BAD_REQUEST, "a length given in two ways");
    }
    let terms = Arc::clone(&proxy.terms.borrow());
    let asked = match Asked::read(&head, &terms) {
        Ok(asked) => asked,
        Err(wrong) => return plain(StatusCode::BAD_REQUEST, &wrong),
    };
    let read = tokio::select! {
        biased;
        read = Payload::read(body, &proxy.bodies, asked.wait / 2) => read,
        () = Lifecycle::too_late(proxy.lifecycle.clone()) => Err(Broken::Still),
    };
    let (payload, held_up) = match read {
        Ok(read) => read,
        Err(wrong) => {
            let status = match wrong {
                // It has gone nowhere; half of its time is left to others.
                Broken::NoRoom => return closing(rejected(proxy.come_back_us)),
                Broken::Still => StatusCode::REQUEST_TIMEOUT,
                Broken::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
                Broken::Off | Broken::Gone => StatusCode::BAD_REQUEST,
            };
            return last(status, &wrong.to_string());
        }
    };
    // Sent on it could meet the kill before its answer; it has gone nowhere yet, so others may have it.
    if proxy.lifecycle.borrow().is_too_late() {
        return rejected(proxy.come_back_us);
    }
    // The client counts from its last byte; what a pipelined request, or one for which there was no memory, waited here
    // is gone.
    let waited = came.and_then(|came| came.whole).map_or(Duration::ZERO, |whole| whole.elapsed());
    let wait = asked.wait.saturating_sub(waited.max(held_up) + ROOM);
    let ttl_us = wait.as_micros() as u64;
    let (workload, tenant) = (asked.workload.number, asked.tenant);
    let taken = proxy.decide.query(&asked.id, workload, tenant, ttl_us, asked.hint_us, asked.again);
    let decided = match taken {
        Ok(decided) => decided,
        Err(NotTaken::Known) => {
            return plain(StatusCode::BAD_REQUEST, "this X-Request-Id is in hand already")
        }
        Err(NotTaken::Unsound(wrong)) => return plain(StatusCode::BAD_REQUEST, &wrong),
    };
    let one_chance = asked.workload.repeat == Repeat::NonIdempotent;
    let mut life = Life::new(Arc::clone(&proxy.decide), asked.id, decided);
    let head = Arc::new(head);
    let mut ending = proxy.ending.clone();
    loop {
        tokio::select! {
            biased;
            heard = next_outcome(&mut life.out) => {
                let (execution, heard) = heard;
                report(&life.decide, &life.id, execution, &heard);
                if let Some(answer) = heard.answer {
                    life.answered = true;
                    return answer;
                }
            }
            decided = life.decided.recv() => match decided {
                Some(Decided::Execute { backend, timeout_us, begin_within_us, hold }) => {
                    let wait = if payload.passing() { wait } else { Duration::from_micros(timeout_us) };
                    let (backends, head) = (Arc::clone(&proxy.backends), Arc::clone(&head));
                    let (payload, decide, id) = (payload.clone(), Arc::clone(&proxy.decide), life.id.clone());
                    let body = {
                        let payload = payload.clone();
                        move || {
                            let (decide, id) = (Arc::clone(&decide), id.clone());
                            payload.body(move |whole| decide.news(|inbox| inbox.body_progress(&id, whole)))
                        }
                    };
                    let too_late = Lifecycle::too_late(proxy.lifecycle.clone());
                    // What waits to begin ends with its query, or with the time in which repeats are known.
                    let begin = Duration::from_micros(begin_within_us).saturating_sub(proxy.backends.way_there());
                    let mut given_up = life.there.subscribe();
                    let unwanted = async move {
                        let gone = async { while given_up.changed().await.is_ok() {} };
                        let _ = timeout(begin, gone).await;
                    };
                    let execution =
                        backends.execute(backend, head, wait, one_chance, payload, body, too_late, unwanted);
                    let execution = async move {
                        let mut heard = execution.await;
                        heard.answer = heard.answer.map(|answer| flowing(answer, hold));
                        heard
                    };
                    life.out.push((life.executions, Box::pin(execution)));
                    life.executions += 1;
                }
                Some(Decided::Cancel { execution }) => life.cancel(execution),
                Some(Decided::Reject { backoff_us }) => {
                    life.answered = true;
                    return rejected(backoff_us);
                }
                Some(Decided::Abort) | None => {
                    life.answered = true;
                    return plain(StatusCode::BAD_GATEWAY, "given up; it may have been executed");
                }
            },
            _ = ending.wait_for(|ending| *ending) => {
                return plain(StatusCode::BAD_GATEWAY, "the proxy ends; it may have been executed");
            }
        }
    }
}

type Running = Pin<Box<dyn Future<Output = Heard> + Send>>;

/// Stands for a query that the module holds. Dropped, whether answered or because the client went, it
/// leaves the module with an outcome for each execution.
struct Life {
    decide: Arc<Decide>,
    id: String,
    decided: mpsc::Receiver<Decided>,
    out: Vec<(u32, Running)>,
    /// How many were decided: the number of the next.
    executions: u32,
    answered: bool,
    /// Dropped with it, which ends what has not begun.
    there: watch::Sender<()>,
}

impl Life {
    fn new(decide: Arc<Decide>, id: String, decided: mpsc::Receiver<Decided>) -> Self {
        let there = watch::Sender::new(());
        Life { decide, id, decided, out: Vec::new(), executions: 0, answered: false, there }
    }

    /// Dropping the execution closes its connection: that is how a backend hears of it.
    fn cancel(&mut self, execution: u32) {
        let before = self.out.len();
        self.out.retain(|(number, _)| *number != execution);
        if self.out.len() < before {
            self.decide.outcome(&self.id, execution, Ended::Cancelled, 0, false, None);
        }
    }
}

fn report(decide: &Arc<Decide>, id: &str, execution: u32, heard: &Heard) {
    // The first that brings an answer for the client ends the query.
    decide.outcome(id, execution, heard.ended, heard.took_us, heard.answer.is_some(), heard.report);
}

/// The next execution to end; waits for good while none is out.
async fn next_outcome(out: &mut Vec<(u32, Running)>) -> (u32, Heard) {
    poll_fn(|cx| {
        for (place, (execution, running)) in out.iter_mut().enumerate() {
            if let Poll::Ready(heard) = running.as_mut().poll(cx) {
                let execution = *execution;
                drop(out.remove(place));
                return Poll::Ready((execution, heard));
            }
        }
        Poll::Pending
    })
    .await
}

impl Drop for Life {
    fn drop(&mut self) {
        if !self.answered {
            self.decide.withdrawn(&self.id);
        }
        while let Ok(decided) = self.decided.try_recv() {
            match decided {
                Decided::Cancel { execution } => self.cancel(execution),
                // Decided in the same moment as the client went: it never left, and must not count as out.
                Decided::Execute { .. } => {
                    self.decide.outcome(&self.id, self.executions, Ended::NotSent, 0, false, None);
                    self.executions += 1;
                }
                Decided::Reject { .. } | Decided::Abort => {}
            }
        }
        self.decide.forget(&self.id);
        // Where executions may not be called off those that have begun go on until their own end.
        for (execution, running) in self.out.drain(..) {
            let (decide, id) = (Arc::clone(&self.decide), self.id.clone());
            tokio::spawn(async move {
                report(&decide, &id, execution, &running.await);
            });
        }
    }
}

/// What the decisions need of a request; all else goes on as it came.
struct Asked {
    id: String,
    workload: Known,
    tenant: usize,
    wait: Duration,
    hint_us: Option<u64>,
    /// Whether the client says that it has tried before.
    again: bool,
}

impl Asked {
    fn read(head: &Parts, terms: &Terms) -> Result<Self, String> {
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let twice = |name: &&&str| head.headers.get_all(**name).iter().nth(1).is_some();
        if let Some(name) = ["x-request-id", "idempotency-key", "x-deadline"].iter().find(twice) {
            return Err(format!("{name} stands there twice"));
        }
        let id = text("x-request-id").filter(|id| !id.is_empty()).ok_or("X-Request-Id is missing")?;
        let name = head.uri.path().split('/').nth(1).unwrap_or_default();
        let workload = terms.workloads.iter().find(|workload| workload.name == name);
        let workload = workload.ok_or_else(|| format!("no workload {name:?}"))?;
        let key = head.headers.get("idempotency-key").map(|key| !key.is_empty());
        let fits = match workload.repeat {
            Repeat::Idempotent => head.method == Method::GET && key.is_none(),
            Repeat::Deduplicated => head.method == Method::POST && key == Some(true),
            Repeat::NonIdempotent => head.method == Method::POST && key.is_none(),
        };
        if !fits {
            return Err(format!("{} and Idempotency-Key don't fit workload {name:?}", head.method));
        }
        // No client of this workload waits longer, whatever it says: a place is not held for an hour.
        let most = workload.statement_timeout;
        let wait = match text("x-deadline") {
            Some(wait) => duration(wait).ok_or_else(|| format!("X-Deadline {wait:?}"))?.min(most),
            None => most,
        };
        // A tenant on no list has no share to be beyond.
        let tenant = text("x-tenant").and_then(|name| terms.tenants.iter().position(|tenant| tenant == name));
        Ok(Asked {
            id: id.to_owned(),
            workload: workload.clone(),
            tenant: tenant.unwrap_or(usize::MAX),
            wait,
            hint_us: hint(&head.headers),
            again: text("x-retry") == Some("1"),
        })
    }
}

fn hint(headers: &HeaderMap) -> Option<u64> {
    let hint: f64 = headers.get("x-cost-hint")?.to_str().ok()?.trim().parse().ok()?;
    (hint.is_finite() && hint >= 0.0).then_some(hint as u64)
}

/// `480m` or `480u`.
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

/// For a client whose next bytes can't be told apart from what is left of this request.
fn last(status: StatusCode, text: &str) -> Response<Body> {
    closing(plain(status, text))
}

fn closing(mut answer: Response<Body>) -> Response<Body> {
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
