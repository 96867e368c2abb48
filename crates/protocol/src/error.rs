//! The errors of a connection between two processes of the fleet.

use snafu::Snafu;

/// An error of the internal protocol. The connection it happened on is closed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProtocolError {
    /// The connection failed or was closed in the middle of a frame.
    #[snafu(display("PRO-101: connection: {source}"))]
    Io {
        /// The cause.
        source: std::io::Error,
    },
    /// The length of a frame is over the limit.
    #[snafu(display("PRO-102: frame of {length} bytes, {max} at most"))]
    FrameTooLong {
        /// The length of the frame, in bytes.
        length: usize,
        /// The limit, in bytes.
        max: usize,
    },
    /// A frame can't be decoded as the expected message.
    #[snafu(display("PRO-103: unsound message: {source}"))]
    Malformed {
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// A message can't be encoded.
    #[snafu(display("PRO-104: message can't be encoded: {source}"))]
    Encoding {
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// A compressed configuration can't be decompressed, or is longer than the limit when decompressed.
    #[snafu(display("PRO-106: configuration can't be unpacked: {source}"))]
    Decompression {
        /// The cause.
        source: std::io::Error,
    },
    /// The peer did not connect, read or write in time.
    #[snafu(display("PRO-105: nothing moved on the connection in time"))]
    TimedOut,
}

impl ProtocolError {
    /// The code of this error in `docs/codes.md`.
    pub fn code(&self) -> &'static str {
        match self {
            ProtocolError::Io { .. } => "PRO-101",
            ProtocolError::FrameTooLong { .. } => "PRO-102",
            ProtocolError::Malformed { .. } => "PRO-103",
            ProtocolError::Encoding { .. } => "PRO-104",
            ProtocolError::TimedOut => "PRO-105",
            ProtocolError::Decompression { .. } => "PRO-106",
        }
    }
}
