//! Frames: a length of four bytes, big-endian, then one `rmp-serde` message.

use bytes::{Buf, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::error::{IoSnafu, UnencodableSnafu, UnsoundSnafu};
use crate::ProtocolError;

/// The longest frame: the longest configuration and some room.
pub const MAX_FRAME_BYTES: usize = 10 << 20;
const LENGTH_BYTES: usize = 4;
const READ_AHEAD: usize = 16 << 10;

/// A message as a frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, ProtocolError> {
    let mut frame = vec![0; LENGTH_BYTES];
    rmp_serde::encode::write(&mut frame, message).context(UnencodableSnafu)?;
    let length = frame.len() - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(ProtocolError::TooLong { length, most: MAX_FRAME_BYTES });
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame.into())
}

/// Reads frames from a connection.
pub struct FrameReader<R> {
    from: R,
    held: BytesMut,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from the start of a frame.
    pub fn new(from: R) -> Self {
        FrameReader { from, held: BytesMut::with_capacity(READ_AHEAD) }
    }

    /// The next message; `None` where the connection ended between two frames. Safe to drop and call again.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, ProtocolError> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return rmp_serde::from_slice(&frame).map(Some).context(UnsoundSnafu);
            }
            if self.from.read_buf(&mut self.held).await.context(IoSnafu)? == 0 {
                return self.at_end();
            }
        }
    }

    fn take_frame(&mut self) -> Result<Option<Bytes>, ProtocolError> {
        let Some(head) = self.held.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(ProtocolError::TooLong { length, most: MAX_FRAME_BYTES });
        }
        if self.held.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.held.advance(LENGTH_BYTES);
        Ok(Some(self.held.split_to(length).freeze()))
    }

    fn at_end<T>(&self) -> Result<Option<T>, ProtocolError> {
        if self.held.is_empty() {
            return Ok(None);
        }
        Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof)).context(IoSnafu)
    }
}

/// Writes frames to a connection.
pub struct FrameWriter<W> {
    to: W,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Writes from the start of a frame.
    pub fn new(to: W) -> Self {
        FrameWriter { to }
    }

    /// Writes one message.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), ProtocolError> {
        self.send_frame(&encode(message)?).await
    }

    /// Writes a frame that `encode` made.
    pub async fn send_frame(&mut self, frame: &[u8]) -> Result<(), ProtocolError> {
        self.to.write_all(frame).await.context(IoSnafu)
    }
}
