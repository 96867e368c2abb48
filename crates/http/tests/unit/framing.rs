use super::*;
use quickcheck::{Gen, QuickCheck};

const STREAM: &[u8] = b"\r\nPOST /a HTTP/1.1\r\nContent-Length: 26\r\n\r\nGET /x HTTP/1.1\r\nA: b\r\n\r\n..GET /b HTTP/1.1\nHost: x\n\n\
    POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n\r\n\r\n\r\nb\r\n0123456789a\r\n0\r\nTrailer: t\r\n\r\n\
    POST /d HTTP/1.1\r\ncontent-length: 0\r\n\r\nPOST /e HTTP/1.1\r\nTransfer-encoding: chunked\r\nCONTENT-LENGTH: 3\r\n\r\n0\r\n\r\n";

/// Requests are parsed the same, however their bytes are split into reads.
#[test]
fn requests_are_parsed_from_reads_of_any_size() {
    let parses = |sizes: Vec<u8>| {
        let (mut framing, mut rest, mut sizes) = (Framing::new(), STREAM, sizes.into_iter().cycle());
        while !rest.is_empty() {
            let size = usize::from(sizes.next().unwrap_or(0)).clamp(1, rest.len());
            framing.feed(&rest[..size], Instant::now());
            rest = &rest[size..];
        }
        let received: Vec<_> = std::iter::from_fn(|| framing.next_request())
            .map(|request| (request.conflicting_lengths, request.complete_at.is_some()))
            .collect();
        let sound = (false, true);
        framing.head_since().is_none() && received == [sound, sound, sound, sound, (true, true)]
    };
    QuickCheck::new().rng(Gen::from_size_and_seed(30, 3)).quickcheck(parses as fn(Vec<u8>) -> bool);
}

#[test]
fn an_incomplete_head_is_timed_from_its_first_byte() {
    let (mut framing, start) = (Framing::new(), Instant::now());
    let at = |ms| start + std::time::Duration::from_millis(ms);
    framing.feed(b"\r\n", at(1));
    assert_eq!(framing.head_since(), None);
    framing.feed(b"GE", at(2));
    framing.feed(b"T / HTTP/1.1\r\nA: b\r\n", at(3));
    assert_eq!((framing.head_since(), framing.next_request().is_none()), (Some(at(2)), true));
    framing.feed(b"\r\n", at(4));
    assert_eq!(
        (framing.head_since(), framing.next_request().and_then(|request| request.complete_at)),
        (None, Some(at(4)))
    );
}
