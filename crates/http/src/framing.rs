//! Tracks the framing of client requests in parallel to hyper, for information that hyper does not provide:
//! conflicting lengths, since when a request head has been incomplete, and when a pipelined request was
//! complete.

use std::collections::VecDeque;

use tokio::time::Instant;

/// hyper rejects a head well before this size.
const MAX_BUFFERED: usize = 64 << 10;
/// hyper's limit.
const MAX_HEADERS: usize = 100;

/// Framing information of one request.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedRequest {
    /// Both `Content-Length` and `Transfer-Encoding` are present: a second request may hide in the body.
    pub conflicting_lengths: bool,
    /// When its last byte arrived, if that was before the request was taken by `next_request`.
    pub complete_at: Option<Instant>,
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Head,
    /// Remaining bytes of a body or a chunk, including the line end behind a chunk.
    Body(u64, AfterBody),
    ChunkSize,
    Trailer,
    /// Input that hyper rejects as well.
    Invalid,
}

#[derive(Clone, Copy, Debug)]
enum AfterBody {
    Head,
    ChunkSize,
}

/// Parser for the requests of one connection.
#[derive(Debug, Default)]
pub struct Framing {
    state: State,
    /// Incomplete lines, and the lines of an incomplete head.
    buffer: Vec<u8>,
    line_start: usize,
    head_since: Option<Instant>,
    received: VecDeque<ReceivedRequest>,
}

impl Framing {
    pub fn new() -> Self {
        Framing::default()
    }

    /// When the first byte of the current incomplete head arrived.
    pub fn head_since(&self) -> Option<Instant> {
        self.head_since
    }

    /// The next request, in the order in which hyper serves them.
    pub fn next_request(&mut self) -> Option<ReceivedRequest> {
        self.received.pop_front()
    }

    /// Parses received bytes.
    pub fn feed(&mut self, mut bytes: &[u8], now: Instant) {
        while !bytes.is_empty() {
            match &mut self.state {
                State::Invalid => return,
                State::Body(left, next) => {
                    let taken = (*left).min(bytes.len() as u64);
                    (*left, bytes) = (*left - taken, &bytes[taken as usize..]);
                    if *left == 0 {
                        match *next {
                            AfterBody::Head => self.end_request(now),
                            AfterBody::ChunkSize => self.state = State::ChunkSize,
                        }
                    }
                }
                State::Head | State::ChunkSize | State::Trailer => {
                    let end = bytes.iter().position(|byte| *byte == b'\n').map(|place| place + 1);
                    let (part, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
                    self.buffer.extend_from_slice(part);
                    bytes = rest;
                    if self.buffer.len() > MAX_BUFFERED {
                        self.state = State::Invalid;
                    } else if end.is_some() {
                        self.end_line(now);
                    } else if matches!(self.state, State::Head) {
                        self.head_since.get_or_insert(now);
                    }
                }
            }
        }
    }

    /// Handles a complete line.
    fn end_line(&mut self, now: Instant) {
        let blank = matches!(&self.buffer[self.line_start..], b"\n" | b"\r\n");
        match self.state {
            // Empty lines before a request line are ignored.
            State::Head if blank && self.line_start == 0 => self.buffer.clear(),
            State::Head if blank => self.parse_head(now),
            State::Head => {
                self.head_since.get_or_insert(now);
                self.line_start = self.buffer.len();
            }
            State::ChunkSize => {
                self.state = match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete((_, 0))) => State::Trailer,
                    Ok(httparse::Status::Complete((_, size))) => {
                        State::Body(size.saturating_add(2), AfterBody::ChunkSize)
                    }
                    _ => State::Invalid,
                };
                self.buffer.clear();
            }
            _ => {
                self.buffer.clear();
                if blank {
                    self.end_request(now);
                }
            }
        }
    }

    fn parse_head(&mut self, now: Instant) {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        if request.parse(&self.buffer).is_err() {
            self.state = State::Invalid;
            return;
        }
        let named = |name| request.headers.iter().find(move |header| header.name.eq_ignore_ascii_case(name));
        let (chunked, length) = (named("transfer-encoding").is_some(), named("content-length"));
        let conflicting_lengths = chunked && length.is_some();
        let length = length.and_then(|length| std::str::from_utf8(length.value).ok()?.trim().parse().ok());
        self.state = match (chunked, length) {
            (true, _) => State::ChunkSize,
            (false, Some(length)) => State::Body(length, AfterBody::Head),
            (false, None) => State::Body(0, AfterBody::Head),
        };
        (self.buffer, self.line_start, self.head_since) = (Vec::new(), 0, None);
        self.received.push_back(ReceivedRequest { conflicting_lengths, complete_at: None });
        if matches!(self.state, State::Body(0, _)) {
            self.end_request(now);
        }
    }

    fn end_request(&mut self, now: Instant) {
        self.state = State::Head;
        // If the request was taken before, its handler learns of the end from the body.
        if let Some(last) = self.received.back_mut() {
            last.complete_at = Some(now);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/framing.rs"]
mod tests;
