//! The framing of messages: a length of four bytes, big-endian, then one message encoded by `rmp-serde`.

use bytes::{Buf, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::error::{EncodingSnafu, IoSnafu, MalformedSnafu};
use crate::ProtocolError;

/// The longest message in a frame, in bytes: enough for the longest configuration.
pub const MAX_FRAME_BYTES: usize = 10 << 20;
const LENGTH_PREFIX_BYTES: usize = 4;
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Encodes a message as a frame.
///
/// # Errors
///
/// [`ProtocolError::Encoding`] if the message can't be serialized; [`ProtocolError::FrameTooLong`] if it is too long.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, ProtocolError> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    rmp_serde::encode::write(&mut frame, message).context(EncodingSnafu)?;
    let length = frame.len() - LENGTH_PREFIX_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(ProtocolError::FrameTooLong { length, max: MAX_FRAME_BYTES });
    }
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame.into())
}

/// Reads frames from a connection.
pub struct FrameReader<R> {
    source: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// A reader whose source is at the start of a frame.
    pub fn new(source: R) -> Self {
        FrameReader { source, buffer: BytesMut::with_capacity(READ_BUFFER_BYTES) }
    }

    /// Reads the next message; `None` if the connection was closed between two frames. Cancel safe.
    ///
    /// # Errors
    ///
    /// If the connection fails or ends within a frame, a frame is too long, or a message can't be decoded.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, ProtocolError> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return rmp_serde::from_slice(&frame).map(Some).context(MalformedSnafu);
            }
            if self.source.read_buf(&mut self.buffer).await.context(IoSnafu)? == 0 {
                return self.finish();
            }
        }
    }

    fn take_frame(&mut self) -> Result<Option<Bytes>, ProtocolError> {
        let Some(head) = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(ProtocolError::FrameTooLong { length, max: MAX_FRAME_BYTES });
        }
        if self.buffer.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_PREFIX_BYTES);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }

    fn finish<T>(&self) -> Result<Option<T>, ProtocolError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof)).context(IoSnafu)
    }
}

/// Writes frames to a connection.
pub struct FrameWriter<W> {
    sink: W,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// A writer whose sink is at the start of a frame.
    pub fn new(sink: W) -> Self {
        FrameWriter { sink }
    }

    /// Encodes and writes one message.
    ///
    /// # Errors
    ///
    /// As [`encode`], and [`ProtocolError::Io`] if the connection fails.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), ProtocolError> {
        self.send_frame(&encode(message)?).await
    }

    /// Writes a frame made by [`encode`].
    ///
    /// # Errors
    ///
    /// [`ProtocolError::Io`] if the connection fails.
    pub async fn send_frame(&mut self, frame: &[u8]) -> Result<(), ProtocolError> {
        self.sink.write_all(frame).await.context(IoSnafu)
    }
}
