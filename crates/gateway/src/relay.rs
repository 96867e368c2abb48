//! Forwards a stream event by event, and resumes it at another backend if the route allows that.

use std::time::Duration;

use crankpick_dispatch::Outcome;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::backend_response::{BackendResponse, EventSource, StreamItem};
use crate::counters::Cause;
use crate::event::{Event, EventId};
use crate::forwarder::Forwarder;
use crate::generated_body::ChunkSender;
use crate::outgoing::abandoning_silence;
use crate::response_body::ResponseAborted;

/// One stream being forwarded to its client.
pub(crate) struct Relay {
    forwarder: Forwarder,
    source: Box<EventSource>,
    last_id: Option<EventId>,
    last_event_at: Instant,
    /// How long the client waits for the next event; `None` if only its deadline bounds it.
    abandoning_silence: Option<Duration>,
    /// An event without an ID has been forwarded, so the stream cannot be resumed.
    has_event_without_id: bool,
    /// Nothing of the current run has been forwarded yet, but an earlier run has been.
    resuming: bool,
}

impl Relay {
    pub fn new(forwarder: Forwarder, source: Box<EventSource>) -> Self {
        let abandoning_silence = abandoning_silence(&forwarder.request().policy.route);
        let last_event_at = Instant::now();
        Relay {
            forwarder,
            source,
            last_id: None,
            last_event_at,
            abandoning_silence,
            has_event_without_id: false,
            resuming: false,
        }
    }

    /// Forwards all items until the end. An error aborts the response, so that it cannot look complete.
    pub async fn run(mut self, first: StreamItem, sender: ChunkSender) -> Result<(), ResponseAborted> {
        let relayed = self.relay_items(first, &sender).await;
        let cause = if relayed.is_ok() { Cause::StreamCompleted } else { Cause::StreamBrokenOff };
        self.forwarder.shared().count(cause);
        relayed
    }

    async fn relay_items(&mut self, first: StreamItem, sender: &ChunkSender) -> Result<(), ResponseAborted> {
        let mut item = first;
        loop {
            item = match item {
                StreamItem::Event(event) => {
                    self.relay_event(event, sender).await?;
                    self.next().await?
                }
                StreamItem::End(rest) => {
                    if !rest.is_empty() {
                        sender.send(rest).await;
                    }
                    self.source.guard.complete();
                    return Ok(());
                }
                StreamItem::Aborted => {
                    self.source.guard.end(Outcome::Reset);
                    self.resume().await?
                }
            };
        }
    }

    /// Forwards one event if it follows the last one.
    async fn relay_event(&mut self, event: Event, sender: &ChunkSender) -> Result<(), ResponseAborted> {
        match (&event.id, &self.last_id) {
            (Some(id), Some(last)) if !id.follows(last) => return Err(ResponseAborted),
            // Events without an ID before the first event with one belong to the start of the new run and
            // are dropped.
            (None, Some(_)) if self.resuming => return Ok(()),
            (None, _) => self.has_event_without_id = true,
            (Some(_), _) => {}
        }
        self.resuming = false;
        self.last_id = event.id.or(self.last_id.take());
        sender.send(event.bytes).await;
        self.last_event_at = Instant::now();
        Ok(())
    }

    /// The next item: of the current run, or of a new run if this one is silent for too long.
    async fn next(&mut self) -> Result<StreamItem, ResponseAborted> {
        let deadline = self.forwarder.request().deadline;
        let since = Instant::now();
        self.forwarder.set_client_gives_up_at(self.client_gives_up_at());
        let resumable = self.resumable();
        let forwarder = &self.forwarder;
        let alternative = async {
            match forwarder.target() {
                Some(target) if resumable => forwarder.wait_for_alternative(target, since).await,
                _ => std::future::pending().await,
            }
        };
        let target = tokio::select! {
            biased;
            item = self.source.next() => return Ok(item),
            () = sleep_until(deadline) => {
                self.source.guard.end(Outcome::TimedOut);
                return Err(ResponseAborted);
            }
            target = alternative => target,
        };
        self.source.guard.end(Outcome::TimedOut);
        self.forwarder.shared().count(Cause::BackendSilent);
        let resume_after = self.last_id.clone();
        let response = timeout_at(deadline, self.forwarder.forward_to(target, resume_after.as_ref())).await;
        let response = response.ok().and_then(Result::ok).ok_or(ResponseAborted)?;
        self.switch_to(response)
    }

    /// When the client abandons the stream unless it receives another event.
    fn client_gives_up_at(&self) -> Instant {
        let deadline = self.forwarder.request().deadline;
        self.abandoning_silence.map_or(deadline, |silence| deadline.min(self.last_event_at + silence))
    }

    fn resumable(&self) -> bool {
        self.forwarder.request().policy.route.resume && self.last_id.is_some() && !self.has_event_without_id
    }

    /// Resumes the stream after the last forwarded event, at a backend that may execute the request.
    async fn resume(&mut self) -> Result<StreamItem, ResponseAborted> {
        if !self.resumable() {
            return Err(ResponseAborted);
        }
        let until = self.client_gives_up_at();
        self.forwarder.set_client_gives_up_at(until);
        self.forwarder.begin_resuming();
        timeout_at(until, self.resume_until_started()).await.unwrap_or(Err(ResponseAborted))
    }

    /// Sends the request until a backend resumes the stream.
    async fn resume_until_started(&mut self) -> Result<StreamItem, ResponseAborted> {
        let resume_after = self.last_id.clone();
        for round in 0.. {
            match self.forwarder.resume(resume_after.as_ref()).await {
                Ok(response @ BackendResponse::Stream(..)) => return self.switch_to(response),
                Ok(_) => self.forwarder.wait_before_retry(None, round).await,
                Err(refusal) if refusal.retry_after().is_some() => {
                    self.forwarder.wait_before_retry(Some(refusal), round).await;
                }
                Err(_) => return Err(ResponseAborted),
            }
            self.forwarder.reset_tried();
        }
        Err(ResponseAborted)
    }

    /// Continues with a new run. The client keeps the response head of the first one.
    fn switch_to(&mut self, response: BackendResponse) -> Result<StreamItem, ResponseAborted> {
        let BackendResponse::Stream(_, source, first) = response else { return Err(ResponseAborted) };
        self.source = source;
        self.resuming = true;
        self.forwarder.shared().count(Cause::StreamResumed);
        Ok(first)
    }
}
