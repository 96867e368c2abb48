//! The protocol between the fleet's own processes: messages, their framing, and TCP connections.

mod compression;
mod connection;
mod error;
mod frame;
mod home;

pub use compression::{compress, decompress, MAX_DECOMPRESSED_BYTES};
pub use connection::{accept_options, dial, DialOptions};
pub use error::ProtocolError;
pub use frame::{encode, FrameReader, FrameWriter, MAX_FRAME_BYTES};
pub use home::{
    ConfigurationUpdate, ConfigurationVersion, ControlPlaneMember, GatewayIdentity, GatewayReport,
    HomeUpdate, TenantDemand, TenantGrant,
};

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The version of the protocol. A connection whose handshake has another one is closed.
pub const PROTOCOL_VERSION: u16 = 1;

/// The first message on each connection, sent by the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handshake {
    /// The protocol version of the sender.
    pub version: u16,
    /// The identity of the sender.
    pub caller: Caller,
}

impl Handshake {
    /// The handshake of this build.
    pub fn new(caller: Caller) -> Self {
        Handshake { version: PROTOCOL_VERSION, caller }
    }
}

/// The process that opened a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Caller {
    /// Another process of the control plane.
    Peer {
        /// The address on which it listens for its peers.
        address: SocketAddr,
    },
    /// Another process of the control plane, on a connection for the departures of backends. Builds that don't know it
    /// close the connection.
    DepartureReader {
        /// The address on which it listens for its peers.
        address: SocketAddr,
    },
    /// A gateway that follows this process.
    Gateway(GatewayIdentity),
    /// A client that only observes. Nothing is sent to it.
    Observer,
}
