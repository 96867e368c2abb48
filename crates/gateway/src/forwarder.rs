//! Forwards one request to backends until one responds, within its deadline, the route's `retries` and the
//! retry budget. A request that may have been executed and must not be executed twice is never resent.
//!
//! Every send passes [`Forwarder::send`], and its backend comes from [`Forwarder::select`]: both ask [`Executions`]
//! whether the request may be executed there.

mod silence;

use std::sync::Arc;
use std::time::Duration;

use crankpick_dispatch::{BackendKey, Choice, DispatchRequest, ExpectedTime, RoutePolicy, Target};
use hyper::StatusCode;
use tokio::time::{sleep_until, timeout, Instant};

use crate::attempt::{self, AttemptError};
use crate::backend_response::{self, BackendResponse};
use crate::counters::Cause;
use crate::event::EventId;
use crate::executions::{Executions, Permission};
use crate::invariant::Violation;
use crate::outgoing::ClientRequest;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// Statuses by which a backend declares that nothing was executed.
const NOT_EXECUTED_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Outcome of one send.
enum SendOutcome {
    Response(Box<BackendResponse>),
    Failed(AttemptError),
    /// The backend has been silent for too long, and this one may take over.
    Silent(Target),
    TimedOut,
}

/// Whether the client has received part of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Nothing: the client can be told that the request failed.
    Nothing,
    /// A part that ends with an event: the stream breaks off unless it resumes. It may resume at a backend that has
    /// executed it before.
    Events,
}

/// Forwards one request, with retries.
pub(crate) struct Forwarder {
    shared: Arc<Shared>,
    request: Arc<ClientRequest>,
    service: String,
    /// The backends that the request was sent to since it was received, or since its stream was broken off.
    tried: Vec<BackendKey>,
    /// The backend whose stream was broken off last: another one is preferred.
    broken_off_at: Option<BackendKey>,
    /// All backends that the request was sent to, the last one last.
    sent_to: Vec<BackendKey>,
    /// Sends that reached a backend.
    deliveries: u32,
    executions: Executions,
    progress: Progress,
    /// When the client gives up unless it receives an event.
    client_gives_up_at: Instant,
    /// The backend that the request was sent to last.
    target: Option<Target>,
    /// Retry delay given by the last backend that refused.
    retry_after: Option<Duration>,
}

impl Forwarder {
    pub fn new(shared: Arc<Shared>, request: Arc<ClientRequest>) -> Self {
        let service = request.policy.route.pick_service(fastrand::u32(..)).to_owned();
        let executions = Executions::new(&request.policy.route);
        let client_gives_up_at = request.first_event_deadline;
        Forwarder {
            shared,
            request,
            service,
            tried: Vec::new(),
            broken_off_at: None,
            sent_to: Vec::new(),
            deliveries: 0,
            executions,
            progress: Progress::Nothing,
            client_gives_up_at,
            target: None,
            retry_after: None,
        }
    }

    pub fn request(&self) -> &Arc<ClientRequest> {
        &self.request
    }

    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// When the best backend would answer the request, sent now.
    fn expected_time(&self) -> ExpectedTime {
        self.shared.dispatcher().expected_time(self.shared.now(), &self.dispatch_request(&[]))
    }

    /// The latest time at which the request can be sent to be answered before its client gives up, as estimated from the
    /// work in front of it and its own.
    pub fn latest_start(&self) -> Instant {
        let expected = self.expected_time();
        let for_first_event = self.client_gives_up_at.checked_sub(expected.first_event);
        let for_answer = self.request.deadline.checked_sub(expected.answer);
        for_first_event.zip(for_answer).map_or(self.request.arrived, |(first, answer)| first.min(answer))
    }

    /// The backend that the request was sent to last.
    pub fn target(&self) -> Option<&Target> {
        self.target.as_ref()
    }

    /// Sends the request until a backend responds.
    pub async fn forward(&mut self) -> Result<BackendResponse, Refusal> {
        self.shared.retry_budgets.deposit(self.shared.now(), &self.service);
        let target = self.first_target().await?;
        let forwarded = self.forward_to(target, None).await;
        forwarded.map_err(|refusal| match refusal {
            Refusal::TimedOut => Refusal::TimedOut,
            _ if !self.executions.is_empty() => Refusal::Unclear,
            other => other,
        })
    }

    /// Resumes a stream after the event `resume_after`, at the backend that [`Self::select`] returns.
    pub async fn resume(&mut self, resume_after: Option<&EventId>) -> Result<BackendResponse, Refusal> {
        let target = self.select()?;
        self.forward_to(target, resume_after).await
    }

    /// Selects the backend for the first send. If none is known, as after a start, waits until the latest time at which one
    /// could still answer, as long as this gateway can hear of backends.
    async fn first_target(&self) -> Result<Target, Refusal> {
        let target = self.select();
        if !matches!(target, Err(Refusal::NoBackend)) {
            return target;
        }
        let latest_start = self.shared.since_start(self.latest_start());
        let wait = self.shared.backend_queue.enter(self.request.policy.priority(), latest_start);
        loop {
            let target = self.select();
            let until = self.shared.home_answers_until().map(|until| until.min(latest_start));
            let left = until.map_or(Duration::ZERO, |until| until.saturating_sub(self.shared.now()));
            if !matches!(target, Err(Refusal::NoBackend)) || left.is_zero() {
                return target;
            }
            let _ = timeout(left, wait.woken()).await;
        }
    }

    /// Like [`Forwarder::resume`], starting with a backend that has already been selected.
    pub async fn forward_to(
        &mut self,
        mut target: Target,
        resume_after: Option<&EventId>,
    ) -> Result<BackendResponse, Refusal> {
        loop {
            let outcome = self.send(&target, resume_after).await?;
            self.record_sent(target.backend);
            target = match outcome {
                SendOutcome::Response(response) => {
                    self.deliveries += 1;
                    match self.alternative_after_error(&response) {
                        Some(target) => target,
                        None => return self.check_status(*response),
                    }
                }
                SendOutcome::Failed(error) => {
                    self.record_failure(&target, error);
                    self.select()?
                }
                SendOutcome::Silent(next) => {
                    self.deliveries += 1;
                    self.shared.count(Cause::BackendSilent);
                    next
                }
                SendOutcome::TimedOut => {
                    self.deliveries += 1;
                    self.shared.count(Cause::DeadlinePassed);
                    return Err(Refusal::TimedOut);
                }
            };
        }
    }

    /// Sets when the client gives up unless it receives another event.
    pub fn set_client_gives_up_at(&mut self, client_gives_up_at: Instant) {
        self.client_gives_up_at = client_gives_up_at;
    }

    /// Prepares to resume a stream that was broken off.
    pub fn begin_resuming(&mut self) {
        self.progress = Progress::Events;
        self.broken_off_at = self.sent_to.last().copied();
        self.reset_tried();
    }

    /// Allows backends that refused to be tried again.
    pub fn reset_tried(&mut self) {
        self.tried.clear();
        self.retry_after = None;
    }

    fn record_sent(&mut self, backend: BackendKey) {
        self.tried.push(backend);
        self.sent_to.retain(|earlier| *earlier != backend);
        self.sent_to.push(backend);
    }

    /// Records a failed send.
    fn record_failure(&mut self, target: &Target, error: AttemptError) {
        match error {
            AttemptError::NotSent => self.executions.retract(target),
            AttemptError::Unreachable => {
                self.executions.retract(target);
                self.executions.unreachable(target);
            }
            AttemptError::Misdirected => {
                self.executions.retract(target);
                self.deliveries += 1;
            }
            AttemptError::Refused { retry_after } => {
                self.executions.retract(target);
                self.deliveries += 1;
                self.retry_after = Some(retry_after.unwrap_or_else(|| self.expected_time().first_event));
            }
            AttemptError::Unclear => self.deliveries += 1,
        }
    }

    /// Whether the request may be executed at a backend that has not executed it.
    fn may_execute_at_another(&self) -> bool {
        self.executions.permission(&self.shared.dispatcher()) == Permission::AnyBackend
    }

    /// Another backend to replace one that responded with a server error.
    fn alternative_after_error(&self, response: &BackendResponse) -> Option<Target> {
        if !response.parts().status.is_server_error() || !self.may_execute_at_another() {
            return None;
        }
        self.shared.count(Cause::BackendError);
        self.charge_retry(self.choose(&self.tried, None)).ok()
    }

    /// Refuses to pass on a status that promises non-execution if the backend did not confirm it with
    /// `X-Not-Executed`.
    fn check_status(&self, response: BackendResponse) -> Result<BackendResponse, Refusal> {
        if NOT_EXECUTED_STATUSES.contains(&response.parts().status) && !self.request.policy.route.repeatable()
        {
            self.shared.count(Cause::Unclear);
            return Err(Refusal::Unclear);
        }
        Ok(response)
    }

    /// Selects the backend for the next send.
    fn select(&self) -> Result<Target, Refusal> {
        if self.request.time_left().is_zero() {
            self.shared.count(Cause::DeadlinePassed);
            return Err(if self.executions.is_empty() { Refusal::Expired } else { Refusal::TimedOut });
        }
        let permission = self.executions.permission(&self.shared.dispatcher());
        match (permission, self.progress) {
            (Permission::AnyBackend, Progress::Nothing) => self.charge_retry(self.choose(&self.tried, None)),
            (Permission::AnyBackend, Progress::Events) => self.select_for_resuming(None),
            (Permission::Among(backends), Progress::Events) => self.select_for_resuming(Some(&backends)),
            (Permission::Among(_), Progress::Nothing) | (Permission::Nowhere, _) => {
                self.shared.count(Cause::Unclear);
                Err(Refusal::Unclear)
            }
        }
    }

    /// Selects the backend at which a stream resumes, preferably another one than that which broke it off.
    fn select_for_resuming(&self, restricted_to: Option<&[BackendKey]>) -> Result<Target, Refusal> {
        let avoided: Vec<BackendKey> = self.tried.iter().copied().chain(self.broken_off_at).collect();
        let choice = match self.choose(&avoided, restricted_to) {
            Choice::NoBackend => self.choose(&self.tried, restricted_to),
            other => other,
        };
        self.charge_retry(choice)
    }

    /// Returns the selected backend if the retry budget permits another send. The request's time, its budget and the
    /// backends that have not been tried bound the number of sends, and [`Executions`] that of executions.
    fn charge_retry(&self, choice: Choice) -> Result<Target, Refusal> {
        let target = match choice {
            Choice::Send(target) => target,
            Choice::Full { retry_after } => {
                self.shared.count(Cause::Full);
                return Err(Refusal::Full(self.retry_after.unwrap_or(retry_after)));
            }
            Choice::NoBackend => {
                self.shared.count(Cause::NoBackend);
                return Err(self.retry_after.map_or(Refusal::NoBackend, Refusal::Full));
            }
        };
        if self.deliveries > 0 {
            if !self.shared.retry_budgets.try_take(self.shared.now(), &self.service) {
                self.shared.count(Cause::RetryOverBudget);
                return Err(self.over_budget());
            }
            self.shared.count(Cause::Retried);
        }
        Ok(target)
    }

    /// The refusal if the retry budget is exhausted. It fills over seconds, and a client whose stream breaks off at once can
    /// resume it by a request of its own, which needs no budget.
    fn over_budget(&self) -> Refusal {
        match self.progress {
            Progress::Nothing => {
                Refusal::Full(self.retry_after.unwrap_or_else(|| self.expected_time().first_event))
            }
            Progress::Events => Refusal::Unclear,
        }
    }

    fn choose(&self, tried: &[BackendKey], restricted_to: Option<&[BackendKey]>) -> Choice {
        let now = self.shared.now();
        let dispatch_request = DispatchRequest { restricted_to, ..self.dispatch_request(tried) };
        self.shared.dispatcher().choose(now, &dispatch_request)
    }

    fn dispatch_request<'a>(&'a self, tried: &'a [BackendKey]) -> DispatchRequest<'a> {
        let (request, route) = (&self.request, &self.request.policy.route);
        let usage = request.size.usage;
        DispatchRequest {
            service: &self.service,
            route: RoutePolicy { slo: route.slo, sticky: route.sticky, idempotent: route.repeatable() },
            priority: request.policy.priority(),
            prompt_tokens: usage.map_or(0, |usage| usage.prompt),
            response_tokens: usage.map_or(0, |usage| usage.response),
            parts: &request.size.parts,
            request_bytes: request.bytes(),
            deadline: request.time_left(),
            first_event_within: self.client_gives_up_at.saturating_duration_since(Instant::now()),
            tried,
            restricted_to: None,
        }
    }

    /// Sends the request once, unless it must not be executed by this backend. Ends with a response that can be passed
    /// on, at the deadline, or after too long a silence.
    async fn send(
        &mut self,
        target: &Target,
        resume_after: Option<&EventId>,
    ) -> Result<SendOutcome, Refusal> {
        if !self.executions.permits(&self.shared.dispatcher(), target) {
            self.shared.violated(Violation::TooManyExecutions);
            return Err(Refusal::Unclear);
        }
        self.executions.begin(target);
        self.target = Some(target.clone());
        let (shared, request) = (&self.shared, &self.request);
        let dispatch_request = self.dispatch_request(&self.sent_to);
        let sending = async {
            let received = attempt::send(shared, request, target, &dispatch_request, resume_after).await?;
            backend_response::read_start(request, &self.service, received)
                .await
                .map_err(|_| AttemptError::Unclear)
        };
        tokio::select! {
            biased;
            sent = sending => Ok(match sent {
                Ok(response) => SendOutcome::Response(Box::new(response)),
                Err(error) => SendOutcome::Failed(error),
            }),
            () = sleep_until(request.deadline) => Ok(SendOutcome::TimedOut),
            next = self.wait_for_alternative(target, Instant::now()), if request.policy.route.repeatable() => {
                Ok(SendOutcome::Silent(next))
            }
        }
    }

    /// Another backend than the silent one, if the request may be sent there.
    fn alternative_to(&self, silent: &Target) -> Option<Target> {
        if !self.may_execute_at_another() {
            return None;
        }
        let mut tried = self.tried.clone();
        tried.push(silent.backend);
        match self.choose(&tried, None) {
            Choice::Send(target) if self.shared.retry_budgets.try_take(self.shared.now(), &self.service) => {
                self.shared.count(Cause::Retried);
                Some(target)
            }
            Choice::NoBackend => {
                self.shared.count(Cause::NoBackend);
                None
            }
            Choice::Send(_) | Choice::Full { .. } => None,
        }
    }

    /// Waits before backends that refused or failed are tried again for the `round`th time, counted from 0: for the time
    /// that was told, but at least for the time that a backend needs to answer, doubled with each round, so that streams
    /// broken off together don't overrun the backends; at most until other backends are published.
    pub async fn wait_before_retry(&self, refusal: Option<Refusal>, round: u32) {
        let told = match refusal {
            Some(Refusal::Full(retry_after)) => retry_after,
            _ => Duration::ZERO,
        };
        let backoff = self.expected_time().first_event.saturating_mul(2_u32.saturating_pow(round));
        let retry_after = told.max(backoff);
        let wait = self.shared.backend_queue.enter(self.request.policy.priority(), self.shared.now());
        let _ = timeout(retry_after, wait.woken()).await;
    }
}
