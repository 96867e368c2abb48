//! Messages as frames on a stream: the length in four bytes, big-endian, followed by the message in
//! `postcard` encoding. Used by `links`, and by tests that talk to a process of the fleet.

use crankpick_fleet::messages::Message;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum length of an encoded message. The longest ones carry a snapshot of the replicated state.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Encodes a message as a frame; None if it exceeds the maximum length.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut frame = postcard::to_extend(message, vec![0; 4]).ok()?;
    let length = frame.len() - 4;
    if length > MAX_FRAME_BYTES {
        return None;
    }
    frame[..4].copy_from_slice(&(length as u32).to_be_bytes());
    Some(frame)
}

/// Reads the next message. After an error the stream is unusable.
pub async fn read(stream: &mut (impl AsyncRead + Unpin), buffer: &mut Vec<u8>) -> Result<Message, String> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.map_err(|error| error.to_string())?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(format!("a frame of {length} bytes exceeds the maximum"));
    }
    buffer.clear();
    // The announced length may never arrive, so the buffer grows only with the data received.
    let read = stream.take(length as u64).read_to_end(buffer).await.map_err(|error| error.to_string())?;
    if read < length {
        return Err("the connection was closed within a frame".into());
    }
    let message = postcard::from_bytes(buffer).map_err(|error| format!("cannot decode the message: {error}"));
    if buffer.capacity() > 64 << 10 {
        *buffer = Vec::new();
    }
    message
}
