//! Brings one request to backends until one answers, within its deadline, its route's `retries` and the budget
//! of repeats, and sends nothing again that may have run and must not run twice.

use std::sync::Arc;
use std::time::Duration;

use crankpick_configuration::RouteRule;
use crankpick_dispatch::{BackendKey, Choice, DispatchRequest, RoutePolicy, Target};
use hyper::StatusCode;
use tokio::time::{sleep, sleep_until, Instant};

use crate::admission::HELD_PART;
use crate::attempt::{self, NoAnswer};
use crate::counters::Cause;
use crate::event::EventId;
use crate::opened::{self, Opened};
use crate::outgoing::ClientRequest;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// No request is sent to more backends.
const MOST_SENDS: usize = 4;
/// When to come again where backends refused and didn't say.
const COME_AGAIN: Duration = Duration::from_millis(200);
/// What must be left of a client's patience for a silent backend to be left for another.
const FIRST_SILENCE: f64 = 0.7;
/// How often it is looked for another backend once one has been silent for too long.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

/// Statuses that promise that nothing ran.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// How one send ended.
enum Sent {
    Opened(Box<Opened>),
    Failed(NoAnswer),
    /// Its backend has been silent for too long, and this one may take it instead.
    Silent(Target),
    TimedOut,
}

/// One request on its way.
pub(crate) struct Courier {
    shared: Arc<Shared>,
    request: Arc<ClientRequest>,
    service: String,
    tried: Vec<BackendKey>,
    /// Sends that reached a backend.
    arrivals: u32,
    /// Sends that may have run.
    runs: u32,
    /// When a backend that refused wants to be asked again.
    come_again: Option<Duration>,
}

/// How long a client bears silence.
pub(crate) fn client_patience(route: &RouteRule) -> Duration {
    let least = Duration::from_secs(2);
    let pauses = route.gap_aim.map_or(Duration::ZERO, |gap| gap * 8);
    least.max(route.slo * 4).max(pauses)
}

impl Courier {
    pub fn new(shared: Arc<Shared>, request: Arc<ClientRequest>) -> Self {
        let service = request.terms.route.pick_service(fastrand::u32(..)).to_owned();
        shared.retries.deposit(shared.now(), &service);
        Courier { shared, request, service, tried: Vec::new(), arrivals: 0, runs: 0, come_again: None }
    }

    pub fn request(&self) -> &Arc<ClientRequest> {
        &self.request
    }

    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Sends the request until a backend answers; `after` is what a stream is to go on behind.
    pub async fn deliver(&mut self, after: Option<&EventId>) -> Result<Opened, Refusal> {
        let target = self.first_target().await?;
        self.deliver_to(target, after).await
    }

    /// The backend for the first send. Where none is known, as after a start, it is waited for a little.
    async fn first_target(&self) -> Result<Target, Refusal> {
        let held = self.request.arrived + self.request.terms.route.slo.mul_f64(HELD_PART);
        let until = held.min(self.request.deadline);
        loop {
            let target = self.next_target();
            let left = until.saturating_duration_since(Instant::now());
            if !matches!(target, Err(Refusal::NoBackend)) || left.is_zero() {
                return target;
            }
            self.shared.published(left).await;
        }
    }

    /// The same, beginning at a backend that was chosen before.
    pub async fn deliver_to(
        &mut self,
        mut target: Target,
        after: Option<&EventId>,
    ) -> Result<Opened, Refusal> {
        loop {
            let sent = self.send(&target, after).await;
            self.tried.push(target.backend);
            target = match sent {
                Sent::Opened(opened) => {
                    self.arrived(true);
                    match self.instead_of(&opened) {
                        Some(target) => target,
                        None => return self.passable(*opened),
                    }
                }
                Sent::Failed(no_answer) => {
                    self.failed(no_answer)?;
                    self.next_target()?
                }
                Sent::Silent(next) => {
                    self.arrived(true);
                    self.shared.count(Cause::BackendSilent);
                    next
                }
                Sent::TimedOut => {
                    self.arrived(true);
                    self.shared.count(Cause::DeadlinePassed);
                    return Err(Refusal::TimedOut);
                }
            };
        }
    }

    /// Another backend for a stream that has gone silent midway, if it may go there.
    pub fn alternative(&self) -> Option<Target> {
        self.may_run_again(0).then(|| self.choose(&self.tried)).and_then(|choice| self.repeat(choice).ok())
    }

    /// Backends that refused may be asked again.
    pub fn ask_again(&mut self) {
        self.tried.clear();
        self.come_again = None;
    }

    /// Whether it may run once more, where `out` sends more may run.
    fn may_run_again(&self, out: u32) -> bool {
        self.request.terms.route.repeatable() && self.runs + out < self.request.terms.route.retries
    }

    fn arrived(&mut self, may_have_run: bool) {
        self.arrivals += 1;
        self.runs += u32::from(may_have_run);
    }

    /// Takes note of a failed send. An error where it must not be sent again.
    fn failed(&mut self, no_answer: NoAnswer) -> Result<(), Refusal> {
        match no_answer {
            NoAnswer::NotSent => {}
            NoAnswer::Misdirected => self.arrived(false),
            NoAnswer::Refused { retry_after } => {
                self.arrived(false);
                self.come_again = retry_after.or(Some(COME_AGAIN));
            }
            NoAnswer::Unclear => {
                self.arrived(true);
                if !self.may_run_again(0) {
                    self.shared.count(Cause::Unclear);
                    return Err(Refusal::Unclear);
                }
            }
        }
        Ok(())
    }

    /// Another backend in place of one that answered that it failed.
    fn instead_of(&self, opened: &Opened) -> Option<Target> {
        if !opened.parts().status.is_server_error() || !self.may_run_again(0) {
            return None;
        }
        self.shared.count(Cause::BackendError);
        self.repeat(self.choose(&self.tried)).ok()
    }

    /// A promise that the backend has not backed by its word is not passed on.
    fn passable(&self, opened: Opened) -> Result<Opened, Refusal> {
        if PROMISES.contains(&opened.parts().status) && !self.request.terms.route.repeatable() {
            self.shared.count(Cause::Unclear);
            return Err(Refusal::Unclear);
        }
        Ok(opened)
    }

    /// The backend for the next send.
    fn next_target(&self) -> Result<Target, Refusal> {
        if self.request.left().is_zero() {
            self.shared.count(Cause::DeadlinePassed);
            return Err(if self.runs == 0 { Refusal::Expired } else { Refusal::TimedOut });
        }
        let target = self.repeat(self.choose(&self.tried));
        target.map_err(|refusal| match self.runs {
            0 => refusal,
            _ => Refusal::Unclear,
        })
    }

    /// What was chosen, if the budget allows it.
    fn repeat(&self, choice: Choice) -> Result<Target, Refusal> {
        let target = match choice {
            Choice::Send(target) => target,
            Choice::Full { retry_after } => {
                self.shared.count(Cause::Full);
                return Err(Refusal::Full(self.come_again.unwrap_or(retry_after)));
            }
            Choice::NoBackend => {
                self.shared.count(Cause::NoBackend);
                return Err(self.come_again.map_or(Refusal::NoBackend, Refusal::Full));
            }
        };
        if self.tried.len() >= MOST_SENDS {
            return Err(Refusal::Full(self.come_again.unwrap_or(COME_AGAIN)));
        }
        if self.arrivals > 0 {
            if !self.shared.retries.take(self.shared.now(), &self.service) {
                self.shared.count(Cause::RetryOverBudget);
                return Err(Refusal::Full(self.come_again.unwrap_or(COME_AGAIN)));
            }
            self.shared.count(Cause::Retried);
        }
        Ok(target)
    }

    fn choose(&self, tried: &[BackendKey]) -> Choice {
        let now = self.shared.now();
        self.shared.dispatcher().choose(now, &self.dispatch_request(tried))
    }

    fn dispatch_request<'a>(&'a self, tried: &'a [BackendKey]) -> DispatchRequest<'a> {
        let (request, route) = (&self.request, &self.request.terms.route);
        let usage = request.size.usage;
        DispatchRequest {
            service: &self.service,
            route: RoutePolicy { slo: route.slo, sticky: route.sticky, idempotent: route.repeatable() },
            priority: request.terms.priority(),
            prompt_tokens: usage.map_or(0, |usage| usage.prompt),
            response_tokens: usage.map_or(0, |usage| usage.answer),
            parts: &request.size.parts,
            request_bytes: request.bytes(),
            elapsed: request.arrived.elapsed(),
            deadline: request.left(),
            tried,
        }
    }

    /// One send, until the answer may be passed on, the deadline, or too long a silence.
    async fn send(&self, target: &Target, after: Option<&EventId>) -> Sent {
        let (shared, request) = (&self.shared, &self.request);
        let terms = self.dispatch_request(&self.tried);
        let sending = async {
            let received = attempt::send(shared, request, target, &terms, after).await?;
            opened::open(request, &self.service, received).await.map_err(|_| NoAnswer::Unclear)
        };
        let mut sending = std::pin::pin!(sending);
        let mut silent_at = Instant::now() + client_patience(&request.terms.route).mul_f64(FIRST_SILENCE);
        loop {
            tokio::select! {
                biased;
                sent = sending.as_mut() => return match sent {
                    Ok(opened) => Sent::Opened(Box::new(opened)),
                    Err(no_answer) => Sent::Failed(no_answer),
                },
                () = sleep_until(request.deadline) => return Sent::TimedOut,
                () = sleep_until(silent_at), if self.may_run_again(1) => {
                    if let Some(target) = self.instead_of_silent(target.backend) {
                        return Sent::Silent(target);
                    }
                    silent_at = Instant::now() + LOOK_AGAIN;
                }
            }
        }
    }

    fn instead_of_silent(&self, silent: BackendKey) -> Option<Target> {
        let mut tried = self.tried.clone();
        tried.push(silent);
        match self.choose(&tried) {
            Choice::Send(target) if self.shared.retries.take(self.shared.now(), &self.service) => {
                self.shared.count(Cause::Retried);
                Some(target)
            }
            _ => None,
        }
    }

    /// Waits before backends that refused are asked again.
    pub async fn rest(&self, refusal: Refusal) {
        sleep(refusal.retry_after().unwrap_or(COME_AGAIN)).await;
    }
}
