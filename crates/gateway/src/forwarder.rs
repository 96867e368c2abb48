//! Forwards one request to backends until one responds, within its deadline, the route's `retries` and the
//! retry budget. A request that may have been executed and must not be executed twice is never resent.

use std::sync::Arc;
use std::time::Duration;

use crankpick_configuration::RouteRule;
use crankpick_dispatch::{BackendKey, Choice, DispatchRequest, RoutePolicy, Target};
use hyper::StatusCode;
use tokio::time::{sleep, sleep_until, Instant};

use crate::admission::MAX_HOLD_FRACTION;
use crate::attempt::{self, AttemptError};
use crate::backend_response::{self, BackendResponse};
use crate::counters::Cause;
use crate::event::EventId;
use crate::outgoing::ClientRequest;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// Maximum number of backends that one request is sent to.
const MAX_SENDS: usize = 4;
/// Retry delay if backends refused without giving one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Fraction of the tolerated silence that must have passed before a request is moved from a silent backend to
/// another one.
const FIRST_SILENCE_FRACTION: f64 = 0.7;
/// How often another backend is looked for after one has been silent for too long.
const ALTERNATIVE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

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

/// Forwards one request, with retries.
pub(crate) struct Forwarder {
    shared: Arc<Shared>,
    request: Arc<ClientRequest>,
    service: String,
    tried: Vec<BackendKey>,
    /// Sends that reached a backend.
    deliveries: u32,
    /// Sends that may have been executed.
    possible_executions: u32,
    /// Retry delay given by the last backend that refused.
    retry_after: Option<Duration>,
}

/// How long a client tolerates receiving nothing.
pub(crate) fn max_client_silence(route: &RouteRule) -> Duration {
    let min_silence = Duration::from_secs(2);
    let token_gaps = route.gap_aim.map_or(Duration::ZERO, |gap| gap * 8);
    min_silence.max(route.slo * 4).max(token_gaps)
}

impl Forwarder {
    pub fn new(shared: Arc<Shared>, request: Arc<ClientRequest>) -> Self {
        let service = request.policy.route.pick_service(fastrand::u32(..)).to_owned();
        shared.retry_budgets.deposit(shared.now(), &service);
        Forwarder {
            shared,
            request,
            service,
            tried: Vec::new(),
            deliveries: 0,
            possible_executions: 0,
            retry_after: None,
        }
    }

    pub fn request(&self) -> &Arc<ClientRequest> {
        &self.request
    }

    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Sends the request until a backend responds. A stream resumes after the event `resume_after`.
    pub async fn forward(&mut self, resume_after: Option<&EventId>) -> Result<BackendResponse, Refusal> {
        let target = self.first_target().await?;
        self.forward_to(target, resume_after).await
    }

    /// Selects the backend for the first send. If none is known, as after a start, waits for a short time.
    async fn first_target(&self) -> Result<Target, Refusal> {
        let hold_until = self.request.arrived + self.request.policy.route.slo.mul_f64(MAX_HOLD_FRACTION);
        let until = hold_until.min(self.request.deadline);
        loop {
            let target = self.next_target();
            let left = until.saturating_duration_since(Instant::now());
            if !matches!(target, Err(Refusal::NoBackend)) || left.is_zero() {
                return target;
            }
            self.shared.wait_for_publication(left).await;
        }
    }

    /// Like [`Forwarder::forward`], starting with a backend that has already been selected.
    pub async fn forward_to(
        &mut self,
        mut target: Target,
        resume_after: Option<&EventId>,
    ) -> Result<BackendResponse, Refusal> {
        loop {
            let outcome = self.send(&target, resume_after).await;
            self.tried.push(target.backend);
            target = match outcome {
                SendOutcome::Response(response) => {
                    self.record_delivery(true);
                    match self.alternative_after_error(&response) {
                        Some(target) => target,
                        None => return self.check_status(*response),
                    }
                }
                SendOutcome::Failed(error) => {
                    self.record_failure(error)?;
                    self.next_target()?
                }
                SendOutcome::Silent(next) => {
                    self.record_delivery(true);
                    self.shared.count(Cause::BackendSilent);
                    next
                }
                SendOutcome::TimedOut => {
                    self.record_delivery(true);
                    self.shared.count(Cause::DeadlinePassed);
                    return Err(Refusal::TimedOut);
                }
            };
        }
    }

    /// Another backend for a stream that has gone silent, if the request may be sent to it.
    pub fn alternative(&self) -> Option<Target> {
        self.may_execute_again(0)
            .then(|| self.choose(&self.tried))
            .and_then(|choice| self.charge_retry(choice).ok())
    }

    /// Allows backends that refused to be tried again.
    pub fn reset_tried(&mut self) {
        self.tried.clear();
        self.retry_after = None;
    }

    /// Whether the request may be executed once more, given `pending` sends that may still be executed.
    fn may_execute_again(&self, pending: u32) -> bool {
        self.request.policy.route.repeatable()
            && self.possible_executions + pending < self.request.policy.route.retries
    }

    fn record_delivery(&mut self, may_have_executed: bool) {
        self.deliveries += 1;
        self.possible_executions += u32::from(may_have_executed);
    }

    /// Records a failed send. Returns an error if the request must not be sent again.
    fn record_failure(&mut self, error: AttemptError) -> Result<(), Refusal> {
        match error {
            AttemptError::NotSent => {}
            AttemptError::Misdirected => self.record_delivery(false),
            AttemptError::Refused { retry_after } => {
                self.record_delivery(false);
                self.retry_after = retry_after.or(Some(DEFAULT_RETRY_AFTER));
            }
            AttemptError::Unclear => {
                self.record_delivery(true);
                if !self.may_execute_again(0) {
                    self.shared.count(Cause::Unclear);
                    return Err(Refusal::Unclear);
                }
            }
        }
        Ok(())
    }

    /// Another backend to replace one that responded with a server error.
    fn alternative_after_error(&self, response: &BackendResponse) -> Option<Target> {
        if !response.parts().status.is_server_error() || !self.may_execute_again(0) {
            return None;
        }
        self.shared.count(Cause::BackendError);
        self.charge_retry(self.choose(&self.tried)).ok()
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
    fn next_target(&self) -> Result<Target, Refusal> {
        if self.request.time_left().is_zero() {
            self.shared.count(Cause::DeadlinePassed);
            return Err(if self.possible_executions == 0 { Refusal::Expired } else { Refusal::TimedOut });
        }
        let target = self.charge_retry(self.choose(&self.tried));
        target.map_err(|refusal| match self.possible_executions {
            0 => refusal,
            _ => Refusal::Unclear,
        })
    }

    /// Returns the selected backend if the send limit and the retry budget permit another send.
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
        if self.tried.len() >= MAX_SENDS {
            return Err(Refusal::Full(self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)));
        }
        if self.deliveries > 0 {
            if !self.shared.retry_budgets.try_take(self.shared.now(), &self.service) {
                self.shared.count(Cause::RetryOverBudget);
                return Err(Refusal::Full(self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)));
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
            elapsed: request.arrived.elapsed(),
            deadline: request.time_left(),
            tried,
        }
    }

    /// Sends the request once. Ends with a response that can be passed on, at the deadline, or after too
    /// long a silence.
    async fn send(&self, target: &Target, resume_after: Option<&EventId>) -> SendOutcome {
        let (shared, request) = (&self.shared, &self.request);
        let dispatch_request = self.dispatch_request(&self.tried);
        let sending = async {
            let received = attempt::send(shared, request, target, &dispatch_request, resume_after).await?;
            backend_response::read_start(request, &self.service, received)
                .await
                .map_err(|_| AttemptError::Unclear)
        };
        let mut sending = std::pin::pin!(sending);
        let mut silent_at =
            Instant::now() + max_client_silence(&request.policy.route).mul_f64(FIRST_SILENCE_FRACTION);
        loop {
            tokio::select! {
                biased;
                sent = sending.as_mut() => return match sent {
                    Ok(response) => SendOutcome::Response(Box::new(response)),
                    Err(error) => SendOutcome::Failed(error),
                },
                () = sleep_until(request.deadline) => return SendOutcome::TimedOut,
                () = sleep_until(silent_at), if self.may_execute_again(1) => {
                    if let Some(target) = self.alternative_after_silence(target.backend) {
                        return SendOutcome::Silent(target);
                    }
                    silent_at = Instant::now() + ALTERNATIVE_CHECK_INTERVAL;
                }
            }
        }
    }

    fn alternative_after_silence(&self, silent: BackendKey) -> Option<Target> {
        let mut tried = self.tried.clone();
        tried.push(silent);
        match self.choose(&tried) {
            Choice::Send(target) if self.shared.retry_budgets.try_take(self.shared.now(), &self.service) => {
                self.shared.count(Cause::Retried);
                Some(target)
            }
            _ => None,
        }
    }

    /// Waits before backends that refused are tried again.
    pub async fn wait_retry_after(&self, refusal: Refusal) {
        sleep(refusal.retry_after().unwrap_or(DEFAULT_RETRY_AFTER)).await;
    }
}
