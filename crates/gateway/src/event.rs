//! Splits a `text/event-stream` into events incrementally.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// The bytes as received.
    pub bytes: Bytes,
    /// The ID that the event sets, if any.
    pub id: Option<EventId>,
}

/// Event ID.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EventId {
    /// The ID as received.
    pub text: Bytes,
}

impl EventId {
    /// The ID as a number, if it is one.
    pub fn number(&self) -> Option<u64> {
        std::str::from_utf8(&self.text).ok()?.trim().parse().ok()
    }

    /// Whether this ID comes after `other`. Numeric IDs must increase; other IDs must only differ.
    pub fn follows(&self, other: &EventId) -> bool {
        match (self.number(), other.number()) {
            (Some(this), Some(other)) => this > other,
            _ => self.text != other.text,
        }
    }
}

/// The event exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLong;

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer prefix that is known to contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(end) = self.event_end() else {
            self.searched = self.buffer.len().saturating_sub(2);
            return None;
        };
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.copy_to_bytes(self.buffer.len())
    }

    /// Position after the first blank line.
    fn event_end(&self) -> Option<usize> {
        let buffer = &self.buffer[..];
        for position in self.searched..buffer.len() {
            let blank = match buffer[position] {
                b'\n' => match buffer.get(position + 1) {
                    Some(b'\n') => Some(2),
                    Some(b'\r') if buffer.get(position + 2) == Some(&b'\n') => Some(3),
                    _ => None,
                },
                b'\r' if buffer.get(position + 1) == Some(&b'\r') => Some(2),
                _ => None,
            };
            if let Some(length) = blank {
                return Some(position + length);
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
