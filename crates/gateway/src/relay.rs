//! Passes a stream on event by event, and takes it up at another backend where the route allows it.

use std::time::Duration;

use crankpick_dispatch::Outcome;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::answer::BrokenOff;
use crate::answer_times::AnswerTimer;
use crate::counters::Cause;
use crate::courier::{client_patience, Courier};
use crate::event::{Event, EventId};
use crate::opened::{EventSource, Opened, Step};
use crate::outlet::Inlet;

/// The part of a client's patience after which a backend in the midst of a stream is too silent: sooner, as
/// by the pace of its run, streams are moved that a long prompt beside them holds up, and their prompts read again.
const SILENCE: f64 = 0.5;
/// The part of a client's patience within which a stream goes on at another backend, or not at all.
const RESUMED_WITHIN: f64 = 0.9;
/// How often it is looked for another backend once one has been silent for too long.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

/// One stream on its way to its client.
pub(crate) struct Relay {
    courier: Courier,
    source: Box<EventSource>,
    last: Option<EventId>,
    last_at: Instant,
    patience: Duration,
    /// An event without an id was passed on: nobody can go on behind it.
    unnumbered: bool,
    /// Nothing of the present run was passed on, and something of one before was.
    rejoins: bool,
    _timer: Option<AnswerTimer>,
}

impl Relay {
    pub fn new(courier: Courier, source: Box<EventSource>, timer: Option<AnswerTimer>) -> Self {
        let patience = client_patience(&courier.request().terms.route);
        let last_at = Instant::now();
        Relay {
            courier,
            source,
            last: None,
            last_at,
            patience,
            unnumbered: false,
            rejoins: false,
            _timer: timer,
        }
    }

    /// Passes all on, from what came first to the end. An error ends the answer so that it can't look whole.
    pub async fn run(mut self, first: Step, inlet: Inlet) -> Result<(), BrokenOff> {
        let passed = self.pass_all(first, &inlet).await;
        let cause = if passed.is_ok() { Cause::StreamCompleted } else { Cause::StreamBrokenOff };
        self.courier.shared().count(cause);
        passed
    }

    async fn pass_all(&mut self, first: Step, inlet: &Inlet) -> Result<(), BrokenOff> {
        let mut step = first;
        loop {
            step = match step {
                Step::Event(event) => {
                    self.pass(event, inlet).await?;
                    self.next().await?
                }
                Step::End(rest) => {
                    if !rest.is_empty() {
                        inlet.send(rest).await;
                    }
                    self.source.held.completed();
                    return Ok(());
                }
                Step::Broken => {
                    self.source.held.end(Outcome::Reset);
                    self.resume().await?
                }
            };
        }
    }

    /// Passes one event on, if it comes behind the last one.
    async fn pass(&mut self, event: Event, inlet: &Inlet) -> Result<(), BrokenOff> {
        match (&event.id, &self.last) {
            (Some(id), Some(last)) if !id.follows(last) => return Err(BrokenOff),
            // What comes ahead of the first piece of a further run belongs to that run's beginning.
            (None, Some(_)) if self.rejoins => return Ok(()),
            (None, _) => self.unnumbered = true,
            (Some(_), _) => {}
        }
        self.rejoins = false;
        self.last = event.id.or(self.last.take());
        inlet.send(event.bytes).await;
        self.last_at = Instant::now();
        Ok(())
    }

    /// What comes next: of the present run, or of another where this one is silent for too long.
    async fn next(&mut self) -> Result<Step, BrokenOff> {
        let deadline = self.courier.request().deadline;
        let mut silent_at = Instant::now() + self.patience.mul_f64(SILENCE);
        loop {
            let resumable = self.resumable();
            tokio::select! {
                biased;
                step = self.source.next() => return Ok(step),
                () = sleep_until(deadline) => {
                    self.source.held.end(Outcome::TimedOut);
                    return Err(BrokenOff);
                }
                () = sleep_until(silent_at), if resumable => {}
            }
            if let Some(target) = self.courier.alternative() {
                self.source.held.end(Outcome::TimedOut);
                self.courier.shared().count(Cause::BackendSilent);
                let after = self.last.clone();
                let opened = timeout_at(deadline, self.courier.deliver_to(target, after.as_ref())).await;
                let opened = opened.ok().and_then(Result::ok).ok_or(BrokenOff)?;
                return self.rejoin(opened);
            }
            silent_at = Instant::now() + LOOK_AGAIN;
        }
    }

    fn resumable(&self) -> bool {
        self.courier.request().terms.route.resume && self.last.is_some() && !self.unnumbered
    }

    /// Takes the stream up at another backend, behind the last event that was passed on.
    async fn resume(&mut self) -> Result<Step, BrokenOff> {
        if !self.resumable() {
            return Err(BrokenOff);
        }
        let within = self.last_at + self.patience.mul_f64(RESUMED_WITHIN);
        let until = within.min(self.courier.request().deadline);
        let after = self.last.clone();
        loop {
            match timeout_at(until, self.courier.deliver(after.as_ref())).await {
                Ok(Ok(opened)) => return self.rejoin(opened),
                Ok(Err(refusal)) if refusal.retry_after().is_some() => {
                    if timeout_at(until, self.courier.rest(refusal)).await.is_err() {
                        return Err(BrokenOff);
                    }
                    self.courier.ask_again();
                }
                Ok(Err(_)) | Err(_) => return Err(BrokenOff),
            }
        }
    }

    /// Goes on with another run. The answer keeps the head of its first one.
    fn rejoin(&mut self, opened: Opened) -> Result<Step, BrokenOff> {
        let Opened::Stream(_, source, first) = opened else { return Err(BrokenOff) };
        self.source = source;
        self.rejoins = true;
        self.courier.shared().count(Cause::StreamResumed);
        Ok(first)
    }
}
