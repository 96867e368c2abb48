//! The events that the host feeds into a replica.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::message::Message;
use crate::types::{Command, CommandId, WriteId};

/// An event that a replica reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; fed every 50 ms.
    Tick,
    /// A message has arrived.
    Message(Message),
    /// The records of that write are synced.
    Persisted(WriteId),
    /// The write failed and none of its records counts as stored; the replica asks for them again.
    WriteFailed(WriteId),
    /// An operator's command, validated in all but its base version.
    Submit {
        /// The host's id for the command, repeated in the answer.
        key: CommandId,
        /// The command.
        command: Arc<Command>,
    },
    /// An operator declares that the machine with this internal address is gone for good.
    MachineGone {
        /// The host's id for the declaration, repeated in the answer.
        key: CommandId,
        /// The internal address of the machine.
        address: SocketAddr,
    },
    /// The settings name other seeds.
    SeedsChanged(Vec<SocketAddr>),
    /// Another process of the core has announced itself at this address.
    PeerDiscovered(SocketAddr),
    /// The process at this address used that epoch in a message of the host's own protocols.
    EpochUsed {
        /// The internal address of that process.
        address: SocketAddr,
        /// The epoch that it used.
        epoch: u64,
    },
    /// This process shuts down gracefully.
    Shutdown,
}
