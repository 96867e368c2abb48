//! Words as frames on a stream: four bytes of length, the highest first, then the word in `postcard`. Called
//! by `links`, and by whoever speaks to a process of the fleet in tests.

use crankpick_fleet::messages::Message;
use tokio::io::{AsyncRead, AsyncReadExt};

/// A snapshot of the agreed state is the longest word there is.
pub const MOST: usize = 8 << 20;

/// None where the word is longer than any may be.
pub fn framed(word: &Message) -> Option<Vec<u8>> {
    let mut frame = postcard::to_extend(word, vec![0; 4]).ok()?;
    let length = frame.len() - 4;
    if length > MOST {
        return None;
    }
    frame[..4].copy_from_slice(&(length as u32).to_be_bytes());
    Some(frame)
}

/// The next word; an error says why the stream is of no more use.
pub async fn read(stream: &mut (impl AsyncRead + Unpin), room: &mut Vec<u8>) -> Result<Message, String> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.map_err(|wrong| wrong.to_string())?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MOST {
        return Err(format!("a frame of {length} bytes"));
    }
    room.clear();
    // What was announced need not come: room grows with what does.
    let read = stream.take(length as u64).read_to_end(room).await.map_err(|wrong| wrong.to_string())?;
    if read < length {
        return Err("closed in a frame".into());
    }
    let word = postcard::from_bytes(room).map_err(|wrong| format!("not to be understood: {wrong}"));
    if room.capacity() > 64 << 10 {
        *room = Vec::new();
    }
    word
}
