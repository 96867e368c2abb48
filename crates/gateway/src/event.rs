//! Events of a `text/event-stream`, told apart as their bytes come.

use bytes::{Buf, Bytes, BytesMut};

/// No event is longer.
const MOST_EVENT: usize = 1 << 20;

/// One whole event with the blank line behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its bytes as they came.
    pub bytes: Bytes,
    /// The id that it sets, if it sets one.
    pub id: Option<EventId>,
}

/// What an event is known by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EventId {
    /// As it stands there.
    pub text: Bytes,
}

impl EventId {
    /// Its number, where it is one.
    pub fn number(&self) -> Option<u64> {
        std::str::from_utf8(&self.text).ok()?.trim().parse().ok()
    }

    /// Whether it comes behind another: ids rise. Those that are no numbers must differ at least.
    pub fn follows(&self, other: &EventId) -> bool {
        match (self.number(), other.number()) {
            (Some(this), Some(other)) => this > other,
            _ => self.text != other.text,
        }
    }
}

/// An event that is too long to be one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLong;

/// Cuts a stream's bytes into events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    held: BytesMut,
    /// So many bytes hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Takes in what came.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.held.len() + bytes.len() > MOST_EVENT {
            return Err(TooLong);
        }
        self.held.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(end) = self.end() else {
            self.searched = self.held.len().saturating_sub(2);
            return None;
        };
        let bytes = self.held.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// What came behind the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.held.copy_to_bytes(self.held.len())
    }

    /// Behind the first blank line.
    fn end(&self) -> Option<usize> {
        let held = &self.held[..];
        for place in self.searched..held.len() {
            let blank = match held[place] {
                b'\n' => match held.get(place + 1) {
                    Some(b'\n') => Some(2),
                    Some(b'\r') if held.get(place + 2) == Some(&b'\n') => Some(3),
                    _ => None,
                },
                b'\r' if held.get(place + 1) == Some(&b'\r') => Some(2),
                _ => None,
            };
            if let Some(length) = blank {
                return Some(place + length);
            }
        }
        None
    }
}

/// The last `id` field of an event.
fn event_id(event: &Bytes) -> Option<EventId> {
    let mut id = None;
    for line in event.split(|byte| matches!(byte, b'\n' | b'\r')) {
        if let Some(value) = line.strip_prefix(b"id:") {
            id = Some(event.slice_ref(value.strip_prefix(b" ").unwrap_or(value)));
        }
    }
    id.map(|text| EventId { text })
}

#[cfg(test)]
#[path = "../tests/unit/event.rs"]
mod tests;
