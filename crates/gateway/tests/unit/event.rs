use super::*;

const STREAM: &[u8] = b"id: 7\ndata: a\n\nversions: 2\r\nid:14\r\ndata: b\r\n\r\n: nothing\n\nid: 21\rdata: c\r\rdata: d\n\nid: 2";

fn events_in_pieces_of(size: usize) -> (Vec<Event>, Bytes) {
    let (mut splitter, mut events) = (EventSplitter::default(), Vec::new());
    for piece in STREAM.chunks(size) {
        splitter.feed(piece).expect("short");
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.take_remainder())
}

/// However the bytes are split, the same complete events result and nothing is lost.
#[test]
fn events_are_split_for_any_chunk_size() {
    for size in 1..=STREAM.len() {
        let (events, rest) = events_in_pieces_of(size);
        let ids: Vec<_> = events.iter().map(|event| event.id.as_ref().and_then(EventId::number)).collect();
        assert_eq!(ids, [Some(7), Some(14), None, Some(21), None], "in pieces of {size}");
        assert_eq!(rest, &b"id: 2"[..]);
        let mut all: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        all.extend_from_slice(&rest);
        assert_eq!(all, STREAM);
    }
}

#[test]
fn unterminated_event_is_too_long() {
    let mut splitter = EventSplitter::default();
    let half = vec![b'x'; MAX_EVENT_BYTES / 2];
    assert_eq!(splitter.feed(&half), Ok(()));
    assert_eq!(splitter.feed(&half), Ok(()));
    assert_eq!(splitter.feed(b"x"), Err(TooLong));
}

#[test]
fn ids_increase_numerically() {
    let id = |text: &'static str| EventId { text: Bytes::from_static(text.as_bytes()) };
    assert!(id("10").follows(&id("9")));
    assert!(!id("9").follows(&id("10")));
    assert!(!id("9").follows(&id("9")));
    assert!(id("b").follows(&id("a")) && !id("a").follows(&id("a")));
}
