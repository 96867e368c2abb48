//! The protocol between the fleet's own processes: `rmp-serde` messages in bounded frames, and their connections.

mod connection;
mod error;
mod frame;
mod home;
mod packed;

pub use connection::{accept_options, dial, DialOptions};
pub use error::ProtocolError;
pub use frame::{encode, FrameReader, FrameWriter, MAX_FRAME_BYTES};
pub use home::{
    ConfigurationUpdate, ConfigurationVersion, CoreMember, GatewayIdentity, GatewayReport, HomeUpdate,
    TenantDemand, TenantGrant,
};
pub use packed::{compress, decompress, MAX_UNPACKED_BYTES};

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The version of the protocol: a process that speaks another one is refused at its greeting.
pub const VERSION: u16 = 1;

/// The first message on each connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handshake {
    /// The sender's `VERSION`.
    pub version: u16,
    /// Who it is.
    pub caller: Caller,
}

impl Handshake {
    /// The greeting of this build.
    pub fn new(caller: Caller) -> Self {
        Handshake { version: VERSION, caller }
    }
}

/// Who opens a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Caller {
    /// Another process of the control plane, which listens at `address`.
    Peer {
        /// Where its own peers reach it.
        address: SocketAddr,
    },
    /// A gateway that follows this process.
    Gateway(GatewayIdentity),
    /// Someone who asks how things stand.
    Observer,
}
