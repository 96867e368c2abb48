//! Carries executions to backends by hyper-util's client and tells how each ended.

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

use crate::bodies::{Answer, Broken, Payload, Pool, SHORT};
use crate::connect::{Connector, Link, OverBudget};
use crate::places::Places;

/// Longer ones tell no more than that it has not answered.
const PROBE: Duration = Duration::from_millis(500);

/// Before its time is up an answer that may be long goes on as far as it is there.
const CLOSE: Duration = Duration::from_millis(30);

/// The share of dead ones among kept connections from which a new one is worth its price to a request that
/// can't be sent again.
const OFTEN: f64 = 0.01;
/// A backend's word on the moment, not on the query.
const OF_THE_MOMENT: [StatusCode; 2] = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];

pub struct Backends {
    client: Client<Connector, Body>,
    connector: Connector,
    answers: Arc<Pool>,
    /// The share of kept connections found dead by the last few dozen executions on one.
    stale: Mutex<f64>,
    fresh: AtomicU64,
    places: Arc<Places>,
}

/// What an execution came to. There is an answer where it completed, or where none would.
pub struct Heard {
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
        // The client lets go of an idle connection before it ends itself, and that before the backend
        // would: so none ends under a request that was just written to it.
        let connector = Connector::new(budget, connect_timeout, idle_close.mul_f64(0.85), right);
        let places = Arc::clone(&connector.places);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_close.mul_f64(0.8))
            .retry_canceled_requests(false)
            .http1_max_buf_size(SHORT)
            .build(connector.clone());
        Backends { client, connector, answers, stale: Mutex::default(), fresh: AtomicU64::default(), places }
    }

    pub async fn leave_room(self: Arc<Self>, others: watch::Receiver<usize>, budget: usize) {
        self.connector.leave_room(others, budget).await;
    }

    pub fn places(&self) -> &Places {
        &self.places
    }

    /// Nothing of it stays: whoever comes to its address next is a stranger.
    pub fn forget(&self, backend: u32) {
        self.places.forget(backend);
        self.connector.end_all(backend);
    }

    /// What a request's way to its backend takes at the most: half of what a connection may, coming up.
    pub fn way_there(&self) -> Duration {
        self.connector.timeout() / 2
    }

    /// Takes down whether a kept connection was dead.
    fn found(&self, stale: bool) {
        let mut share = self.stale.lock().unwrap_or_else(PoisonError::into_inner);
        *share += (f64::from(u8::from(stale)) - *share) / 64.0;
    }

    /// A connection of its own for a request, where it must have one or kept ones are often dead.
    fn fresh(&self, must: bool) -> Option<u64> {
        let often = *self.stale.lock().unwrap_or_else(PoisonError::into_inner) > OFTEN;
        (must || often).then(|| self.fresh.fetch_add(1, Ordering::Relaxed))
    }

    /// One execution, to its end, or past what is kept whole of its answer. Dropped before, it closes its
    /// connection. What has but one chance does not take a kept connection while these are often dead; what is
    /// passed on as it comes takes none, since it could not follow on another connection.
    /// Until its first byte is written it ends unsent where it is no longer `wanted`, or its backend is out of
    /// bounds: it may wait for a descriptor or a connection while its client goes or news come.
    pub async fn execute(
        self: Arc<Self>,
        backend: u32,
        head: Arc<Parts>,
        wait: Duration,
        one_chance: bool,
        payload: Payload,
        body: impl Fn() -> Body,
        too_late: impl Future<Output = ()>,
        unwanted: impl Future<Output = ()>,
    ) -> Heard {
        let sent = Instant::now();
        let under_way: Mutex<Option<CaptureConnection>> = Mutex::default();
        let begun = || {
            let under_way = under_way.lock().unwrap_or_else(PoisonError::into_inner);
            under_way.as_ref().and_then(link).is_some_and(|link| link.begun())
        };
        let place = self.places.open(backend);
        let heard = async {
            loop {
                let open = place.filter(|place| self.places.open(backend) == Some(*place));
                let address = open.filter(|_| self.connector.may_send()).ok_or(Ended::NotSent)?;
                let left = if payload.passing() { wait } else { wait.saturating_sub(sent.elapsed()) };
                let fresh =
                    (one_chance || payload.passing()).then(|| self.fresh(payload.passing())).flatten();
                let request = outgoing(backend, fresh, address, &head, body(), left);
                let mut request = request.ok_or(Ended::NotSent)?;
                let connection = capture_connection(&mut request);
                under_way.lock().unwrap_or_else(PoisonError::into_inner).replace(connection.clone());
                let answer = self.client.request(request).await;
                let link = link(&connection);
                if link.as_deref().is_some_and(Link::kept) {
                    self.found(answer.is_err() && link.as_deref().is_some_and(Link::unanswered));
                }
                match answer {
                    Ok(answer) => {
                        let until = payload.gone_at().unwrap_or(sent) + wait.saturating_sub(CLOSE);
                        return read(answer, &self.answers, link, until).await;
                    }
                    // Another connection: what the last request left behind is not this one's fault.
                    Err(_) if link.as_deref().is_some_and(Link::spent_unused) => {}
                    Err(_) if !begun() && self.places.open(backend) != place => return Err(Ended::NotSent),
                    Err(wrong) => return Err(why_no_answer(&wrong, link.as_deref(), payload.surely())),
                }
            }
        };
        // A long body has no total time: what the client waits counts from its end.
        let late = async { sleep_until(payload.gone().await.unwrap_or(sent) + wait).await };
        let unfinished = async {
            too_late.await;
            if !payload.passing() || payload.gone_at().is_some() {
                std::future::pending::<()>().await;
            }
        };
        let unbegun = async {
            let shut = async {
                match place {
                    Some(place) => self.places.shut(backend, place).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = unwanted => {}
                () = shut => {}
            }
            // What has begun goes on, and stands under the rules on repeats.
            if begun() {
                std::future::pending::<()>().await;
            }
        };
        let heard = tokio::select! {
            biased;
            () = unbegun => Err(Ended::NotSent),
            heard = heard => heard,
            () = late => Err(Ended::TimedOut),
            // It has not gone whole, so it never ran.
            () = unfinished => Err(Ended::NotSent),
        };
        let since = payload.gone_at().unwrap_or(sent);
        let (ended, report, answer) = heard.unwrap_or_else(|ended| (ended, None, None));
        Heard { ended, took_us: since.elapsed().as_micros() as u64, report, answer }
    }

    /// Asks a backend for no more than a sign of life and its load report: a request without an id, which
    /// none takes for a query. What would be passed on as an answer is the sign, a 404 too.
    pub async fn probe(self: Arc<Self>, backend: u32, path: Uri) -> Heard {
        let mut request = Request::new(());
        *request.uri_mut() = path;
        let head = Arc::new(request.into_parts().0);
        let nothing = Payload::Whole(Bytes::new(), Arc::default());
        let pending = std::future::pending::<()>;
        let heard =
            self.execute(backend, head, PROBE, false, nothing, Body::empty, pending(), pending()).await;
        let answered = heard.answer.is_some();
        Heard { ended: if answered { Ended::Completed } else { heard.ended }, answer: None, ..heard }
    }
}

/// The connection that a request was given, if it got that far.
fn link(connection: &CaptureConnection) -> Option<Arc<Link>> {
    let connected = connection.connection_metadata();
    let mut extras = axum::http::Extensions::new();
    connected.as_ref()?.get_extras(&mut extras);
    extras.remove::<Arc<Link>>()
}

/// No answer came: only what surely never was written whole counts as never run.
fn why_no_answer(wrong: &ClientError, link: Option<&Link>, surely: usize) -> Ended {
    let mut source = wrong.source();
    while let Some(cause) = source {
        // No backend's fault: no descriptor here, or no more of the body.
        if cause.is::<OverBudget>() || cause.is::<Broken>() && surely == usize::MAX {
            return Ended::NotSent;
        }
        source = cause.source();
    }
    match link {
        None => Ended::Unreachable,
        Some(link) if link.wrote_less_than(surely) => Ended::Unreachable,
        Some(link) if link.kept() && link.unanswered() => Ended::Stale,
        Some(_) => Ended::Dropped,
    }
}

type Read = (Ended, Option<LoadReport>, Option<Response<Body>>);

async fn read(
    answer: Response<Incoming>,
    pool: &Pool,
    link: Option<Arc<Link>>,
    until: Instant,
) -> Result<Read, Ended> {
    let execution = link.as_deref().map(Link::execution);
    let (head, body) = answer.into_parts();
    let never_ran = head.headers.get("x-not-run").is_some_and(|value| value == "1");
    let ended = match head.status {
        StatusCode::OK => Ended::Completed,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Ended::Rejected,
        // The query's own fault: no other backend would take it, and it says nothing about this one.
        status if status.is_client_error() && !OF_THE_MOMENT.contains(&status) => Ended::Cancelled,
        _ => Ended::Errored,
    };
    let report = load_report(&head.headers);
    // One that is said to be too long is not worth reading.
    let answer = Answer::read(Body::new(body), pool, until).await.map_err(|_| Ended::Dropped)?;
    // Past what is kept whole it ends by standing still where more is asked for, not by a pause.
    match (answer.whole(), link.as_deref().zip(execution)) {
        (true, Some((link, execution))) => link.rest(execution),
        (false, Some((link, _))) => link.flow(),
        (_, None) => {}
    }
    let rest = move || link.iter().zip(execution).for_each(|(link, execution)| link.rest(execution));
    let answer = matches!(ended, Ended::Completed | Ended::Cancelled).then(|| {
        let mut passed = Response::new(answer.body(rest));
        *passed.status_mut() = head.status;
        *passed.headers_mut() = end_to_end(&head.headers);
        passed
    });
    Ok((ended, report, answer))
}

/// `X-Load: inflight=7,queue=2,util=0.61`; fields that no decision needs are skipped.
fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let fields = headers.get("x-load")?.to_str().ok()?;
    let mut report = LoadReport::default();
    for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
        let value = value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
        match name.trim() {
            "util" => report.utilisation = value,
            "inflight" => report.held = value,
            "eps" => report.errors_per_s = value,
            _ => {}
        }
    }
    Some(report)
}

/// The request as the backend gets it: method, path, query and body as the bytes that came.
fn outgoing(
    backend: u32,
    fresh: Option<u64>,
    address: SocketAddr,
    head: &Parts,
    body: Body,
    wait: Duration,
) -> Option<Request<Body>> {
    let mut uri = head.uri.clone().into_parts();
    uri.scheme = Some(Scheme::HTTP);
    // The client keeps connections apart by this: none is handed on to another backend at the same address.
    let place = match fresh {
        Some(number) => format!("{backend}-{number}@{address}"),
        None => format!("{backend}@{address}"),
    };
    uri.authority = Some(Authority::try_from(place).ok()?);
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = Uri::from_parts(uri).ok()?;
    *request.headers_mut() = end_to_end(&head.headers);
    let deadline = HeaderValue::try_from(format!("{}u", wait.as_micros())).ok()?;
    request.headers_mut().insert("x-deadline", deadline);
    if fresh.is_some() {
        request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Some(request)
}
