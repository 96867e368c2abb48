//! What may go wrong on a connection between two processes of the fleet.

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
    /// A frame's length is over the bound.
    #[snafu(display("PRO-102: frame of {length} bytes, {most} at most"))]
    TooLong {
        /// As announced.
        length: usize,
        /// The bound.
        most: usize,
    },
    /// A frame isn't the message that was expected.
    #[snafu(display("PRO-103: unsound message: {source}"))]
    Unsound {
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// A message can't be encoded.
    #[snafu(display("PRO-104: message can't be encoded: {source}"))]
    Unencodable {
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// A packed configuration can't be unpacked, or unpacks to more than any may have.
    #[snafu(display("PRO-106: configuration can't be unpacked: {source}"))]
    Packing {
        /// The cause.
        source: std::io::Error,
    },
    /// The other side took or sent nothing for too long.
    #[snafu(display("PRO-105: nothing moved on the connection in time"))]
    Stalled,
}

impl ProtocolError {
    /// Its number in `docs/codes.md`.
    pub fn code(&self) -> &'static str {
        match self {
            ProtocolError::Io { .. } => "PRO-101",
            ProtocolError::TooLong { .. } => "PRO-102",
            ProtocolError::Unsound { .. } => "PRO-103",
            ProtocolError::Unencodable { .. } => "PRO-104",
            ProtocolError::Stalled => "PRO-105",
            ProtocolError::Packing { .. } => "PRO-106",
        }
    }
}
