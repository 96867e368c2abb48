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

#[derive(Debug)]
enum At {
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

#[derive(Debug)]
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
        Framing { at: At::Head, held: Vec::new(), line: 0, head_since: None, came: VecDeque::new() }
    }

    /// Since when a head is on its way and not whole.
    pub fn head_since(&self) -> Option<Instant> {
        self.head_since
    }

    /// The next request, in the order in which hyper serves them.
    pub fn next(&mut self) -> Option<Came> {
        self.came.pop_front()
    }

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
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    const STREAM: &[u8] = b"\r\nPOST /a HTTP/1.1\r\nContent-Length: 26\r\n\r\nGET /x HTTP/1.1\r\nA: b\r\n\r\n..GET /b HTTP/1.1\nHost: x\n\n\
        POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n\r\n\r\n\r\nb\r\n0123456789a\r\n0\r\nTrailer: t\r\n\r\n\
        POST /d HTTP/1.1\r\ncontent-length: 0\r\n\r\nPOST /e HTTP/1.1\r\nTransfer-encoding: chunked\r\nCONTENT-LENGTH: 3\r\n\r\n0\r\n\r\n";

    /// However the bytes are cut, each request is told as it is.
    #[test]
    fn requests_are_told_apart_in_pieces_of_any_size() {
        let told = |sizes: Vec<u8>| {
            let (mut framing, mut rest, mut sizes) = (Framing::new(), STREAM, sizes.into_iter().cycle());
            while !rest.is_empty() {
                let size = usize::from(sizes.next().unwrap_or(0)).clamp(1, rest.len());
                framing.feed(&rest[..size], Instant::now());
                rest = &rest[size..];
            }
            let came: Vec<_> = std::iter::from_fn(|| framing.next())
                .map(|came| (came.two_lengths, came.whole.is_some()))
                .collect();
            let sound = (false, true);
            framing.head_since().is_none() && came == [sound, sound, sound, sound, (true, true)]
        };
        QuickCheck::new().rng(Gen::from_size_and_seed(30, 3)).quickcheck(told as fn(Vec<u8>) -> bool);
    }

    #[test]
    fn a_head_on_its_way_is_known_from_its_first_byte() {
        let (mut framing, start) = (Framing::new(), Instant::now());
        let at = |ms| start + std::time::Duration::from_millis(ms);
        framing.feed(b"\r\n", at(1));
        assert_eq!(framing.head_since(), None);
        framing.feed(b"GE", at(2));
        framing.feed(b"T / HTTP/1.1\r\nA: b\r\n", at(3));
        assert_eq!((framing.head_since(), framing.next().is_none()), (Some(at(2)), true));
        framing.feed(b"\r\n", at(4));
        assert_eq!((framing.head_since(), framing.next().and_then(|came| came.whole)), (None, Some(at(4))));
    }
}
