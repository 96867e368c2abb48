//! Reads clients' requests beside hyper, for what hyper does not tell: that a length is given in two ways,
//! since when a head is on its way, and when a pipelined request had come whole.

use std::collections::VecDeque;

use tokio::time::Instant;

/// hyper gives up on a head well before.
const MOST_HELD: usize = 64 << 10;
/// As many as hyper takes.
const MOST_HEADERS: usize = 100;

/// What is known of one request.
#[derive(Clone, Copy, Debug)]
pub struct Came {
    /// A `Content-Length` beside a `Transfer-Encoding`: a second request may hide in the body.
    pub two_lengths: bool,
    /// When its last byte came, where that was before it was looked at.
    pub whole: Option<Instant>,
}

#[derive(Debug, Default)]
enum At {
    #[default]
    Head,
    /// So many bytes of a body or a chunk, the line's end behind a chunk included.
    Body(u64, Next),
    Size,
    Trailer,
    /// hyper will not get past this either.
    Lost,
}

#[derive(Clone, Copy, Debug)]
enum Next {
    Head,
    Size,
}

/// The requests of one connection, as far as their bytes have come.
#[derive(Debug, Default)]
pub struct Framing {
    at: At,
    /// Lines that are not complete, or not all there.
    held: Vec<u8>,
    line: usize,
    head_since: Option<Instant>,
    came: VecDeque<Came>,
}

impl Framing {
    pub fn new() -> Self {
        Framing::default()
    }

    /// Since when a head is on its way and not whole.
    pub fn head_since(&self) -> Option<Instant> {
        self.head_since
    }

    /// The next request, in the order in which hyper serves them.
    pub fn next_request(&mut self) -> Option<Came> {
        self.came.pop_front()
    }

    /// Takes in what came.
    pub fn feed(&mut self, mut bytes: &[u8], now: Instant) {
        while !bytes.is_empty() {
            match &mut self.at {
                At::Lost => return,
                At::Body(left, next) => {
                    let taken = (*left).min(bytes.len() as u64);
                    (*left, bytes) = (*left - taken, &bytes[taken as usize..]);
                    if *left == 0 {
                        match *next {
                            Next::Head => self.end(now),
                            Next::Size => self.at = At::Size,
                        }
                    }
                }
                At::Head | At::Size | At::Trailer => {
                    let end = bytes.iter().position(|byte| *byte == b'\n').map(|place| place + 1);
                    let (part, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
                    self.held.extend_from_slice(part);
                    bytes = rest;
                    if self.held.len() > MOST_HELD {
                        self.at = At::Lost;
                    } else if end.is_some() {
                        self.line(now);
                    } else if matches!(self.at, At::Head) {
                        self.head_since.get_or_insert(now);
                    }
                }
            }
        }
    }

    /// A line has come whole.
    fn line(&mut self, now: Instant) {
        let blank = matches!(&self.held[self.line..], b"\n" | b"\r\n");
        match self.at {
            // Empty lines ahead of a head are no part of it.
            At::Head if blank && self.line == 0 => self.held.clear(),
            At::Head if blank => self.head(now),
            At::Head => {
                self.head_since.get_or_insert(now);
                self.line = self.held.len();
            }
            At::Size => {
                self.at = match httparse::parse_chunk_size(&self.held) {
                    Ok(httparse::Status::Complete((_, 0))) => At::Trailer,
                    Ok(httparse::Status::Complete((_, size))) => At::Body(size.saturating_add(2), Next::Size),
                    _ => At::Lost,
                };
                self.held.clear();
            }
            _ => {
                self.held.clear();
                if blank {
                    self.end(now);
                }
            }
        }
    }

    fn head(&mut self, now: Instant) {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        if request.parse(&self.held).is_err() {
            self.at = At::Lost;
            return;
        }
        let named = |name| request.headers.iter().find(move |header| header.name.eq_ignore_ascii_case(name));
        let (coded, length) = (named("transfer-encoding").is_some(), named("content-length"));
        let two_lengths = coded && length.is_some();
        let length = length.and_then(|length| std::str::from_utf8(length.value).ok()?.trim().parse().ok());
        self.at = match (coded, length) {
            (true, _) => At::Size,
            (false, Some(length)) => At::Body(length, Next::Head),
            (false, None) => At::Body(0, Next::Head),
        };
        (self.held, self.line, self.head_since) = (Vec::new(), 0, None);
        self.came.push_back(Came { two_lengths, whole: None });
        if matches!(self.at, At::Body(0, _)) {
            self.end(now);
        }
    }

    fn end(&mut self, now: Instant) {
        self.at = At::Head;
        // Where it was looked at before, whoever looked knows the end from its body.
        if let Some(last) = self.came.back_mut() {
            last.whole = Some(now);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/framing.rs"]
mod tests;
