//! A client's request, and what its whole answer must be. Both sides tell from the path alone.

use std::fmt::Write as _;
use std::time::Duration;

use fastrand::Rng;

use crate::configuration::{prefix, HOST, KEY};
use crate::history::RouteKind;
use crate::wire::Message;

/// The longest work of a backend, and the longest stream.
const MOST_WORK_MS: u64 = 300;
/// The longest stream that may be resumed: several resets in a row fall into it.
const MOST_RESUMABLE_MS: u64 = 1_200;
const MOST_EVENTS: u32 = 12;
const MOST_FILLER: usize = 4_000;
/// How long clients wait.
const LEAST_DEADLINE_MS: u64 = 2_500;

/// What a request asks of its backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// The request's id.
    pub id: String,
    /// How long the backend works, over the whole answer.
    pub work: Duration,
    /// How many events a stream has; 0 where the answer is no stream.
    pub events: u32,
    /// Bytes of the answer beyond the least.
    pub filler: usize,
}

/// A request before it is sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its route's kind.
    pub kind: RouteKind,
    /// What it asks.
    pub task: Task,
    /// How long its client waits.
    pub deadline: Duration,
    /// Whether its body goes in chunks.
    pub chunked: bool,
}

impl Request {
    /// Draws one.
    pub fn draw(rng: &mut Rng, id: String) -> Self {
        let kind = match rng.u32(..10) {
            0..=3 => RouteKind::Idempotent,
            4..=6 => RouteKind::Mutating,
            7 => RouteKind::Streaming,
            _ => RouteKind::Resumable,
        };
        let longest = if kind == RouteKind::Resumable { MOST_RESUMABLE_MS } else { MOST_WORK_MS };
        let work = Duration::from_millis(if rng.bool() { rng.u64(1..20) } else { rng.u64(1..=longest) });
        let events = if kind.is_stream() { rng.u32(1..=MOST_EVENTS) } else { 0 };
        let filler = if rng.u32(..4) == 0 { rng.usize(..MOST_FILLER) } else { 0 };
        let task = Task { id, work, events, filler };
        let deadline = Duration::from_millis(LEAST_DEADLINE_MS + rng.u64(..3_000));
        Request { kind, task, deadline, chunked: rng.u32(..4) == 0 }
    }

    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let path = self.task.path(self.kind);
        let body = self.task.request_body();
        let mut text = format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {}\r\n", self.task.id);
        let _ =
            write!(text, "X-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n", self.deadline.as_millis());
        if self.chunked {
            let _ = write!(text, "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        } else {
            let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
        }
        text.into_bytes()
    }

    /// What is wrong with a whole answer to it.
    pub fn flaw(&self, answer: &Message) -> Option<String> {
        let status = answer.head.status()?;
        let seal = answer.head.value("x-response-seal");
        if let Some(id) = answer.head.value("x-request-id").filter(|id| *id != self.task.id) {
            return Some(format!("the answer to {id}"));
        }
        if seal.is_some_and(|seal| seal != self.task.seal()) {
            return Some(format!("sealed {seal:?}"));
        }
        if !(200..300).contains(&status) {
            return None;
        }
        if seal.is_none() {
            return Some(format!("{status} without a seal"));
        }
        let expected = self.task.answer_body();
        (answer.body != expected.as_bytes()).then(|| {
            let body = String::from_utf8_lossy(&answer.body);
            format!("{status} with {} bytes of {}: {body:.200}", answer.body.len(), expected.len())
        })
    }
}

impl Task {
    /// The path that tells it.
    pub fn path(&self, kind: RouteKind) -> String {
        let work = self.work.as_millis();
        format!("{}{}/{work}/{}/{}", prefix(kind), self.id, self.events, self.filler)
    }

    /// Reads a path.
    pub fn parse(path: &str) -> Option<Task> {
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let id = parts.next()?.to_owned();
        let work = Duration::from_millis(parts.next()?.parse().ok()?);
        let events = parts.next()?.parse().ok()?;
        Some(Task { id, work, events, filler: parts.next()?.parse().ok()? })
    }

    /// The body of the request.
    pub fn request_body(&self) -> String {
        format!("asked by {}", self.id)
    }

    /// The seal of its answer.
    pub fn seal(&self) -> String {
        format!("seal.{}", self.id)
    }

    /// One event of its stream.
    pub fn event(&self, number: u32) -> String {
        let last = if number == self.events { " last" } else { "" };
        format!("id: {number}\ndata: {} {number}{last}\n\n", self.id)
    }

    /// The body of its whole answer.
    pub fn answer_body(&self) -> String {
        if self.events > 0 {
            return (1..=self.events).map(|number| self.event(number)).collect();
        }
        format!("answer to {} {}", self.id, "x".repeat(self.filler))
    }
}
