//! What happens to a process of the control plane, in the order in which its one owner takes it.

use std::net::SocketAddr;

use bytes::Bytes;
use crankpick_protocol::{GatewayIdentity, GatewayReport, HomeUpdate, TenantDemand, TenantGrant};
use crankpick_registry::{Announcement, Digest, Heartbeat, HeartbeatError, ProcessId};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

use crate::disk::Written;

/// A call of the operator or of a backend, answered on its own channel.
pub enum Call {
    /// A whole configuration.
    Put {
        /// The version that it builds on.
        if_match: u64,
        /// As sent.
        body: Bytes,
        /// Where the answer goes.
        reply: oneshot::Sender<PutAnswer>,
    },
    /// Changes of named items of a configuration.
    Patch {
        /// The version that it builds on.
        if_match: u64,
        /// As sent.
        body: Bytes,
        /// Where the answer goes.
        reply: oneshot::Sender<PutAnswer>,
    },
    /// The newest configuration.
    Get {
        /// Where the answer goes.
        reply: oneshot::Sender<GetAnswer>,
    },
    /// A backend's heartbeat.
    Heartbeat {
        /// Its id.
        id: String,
        /// What it says.
        heartbeat: Heartbeat,
        /// Said once the heartbeat may be acknowledged.
        reply: oneshot::Sender<HeartbeatAnswer>,
    },
    /// A backend that is gone.
    Leave {
        /// Its id.
        id: String,
        /// Said once it may be acknowledged.
        reply: oneshot::Sender<HeartbeatAnswer>,
    },
    /// How things stand, as JSON.
    Status {
        /// Where the answer goes.
        reply: oneshot::Sender<String>,
    },
}

/// The answer to a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatAnswer {
    /// It is known to all that must know it.
    Acknowledged,
    /// It is not taken, for this reason.
    Refused(HeartbeatError),
    /// No majority of the control plane knows of it: to be said again elsewhere.
    Unconfirmed,
}

/// The answer to a change of the configuration, whole or by a patch.
#[derive(Clone, Debug, PartialEq)]
pub enum PutAnswer {
    /// It is taken, and will not be lost.
    Taken,
    /// Another version is in place.
    Conflict,
    /// It is invalid, for this reason.
    Invalid(String),
    /// Another process can take it: nothing was done with it here.
    Elsewhere(SocketAddr),
    /// Nothing is known: to be asked again.
    Unclear,
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq)]
pub enum GetAnswer {
    /// The newest acknowledged configuration.
    Document(Bytes),
    /// There is none yet.
    Nothing,
    /// Another process knows.
    Elsewhere(SocketAddr),
    /// Nothing is known: to be asked again.
    Unclear,
}

/// A gateway's connection at this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// What happened.
pub enum Event {
    /// A call on the API.
    Call(Call),
    /// A message of a peer, which listens at `from`.
    Peer {
        /// Where the peer is reached.
        from: SocketAddr,
        /// What it said.
        packet: PeerPacket,
    },
    /// A gateway has connected.
    Joined {
        /// Its connection.
        session: SessionId,
        /// Who it is.
        gateway: GatewayIdentity,
        /// Where updates go.
        updates: Sender<HomeUpdate>,
    },
    /// A gateway's report.
    Reported {
        /// Its connection.
        session: SessionId,
        /// What it says.
        report: GatewayReport,
    },
    /// A gateway's connection has ended.
    Left {
        /// The connection.
        session: SessionId,
    },
    /// A write to the disk has ended.
    Disk(Written),
    /// The settings name other seeds: where peers reach them.
    Seeds(Vec<SocketAddr>),
    /// SIGTERM.
    Terminate,
}

/// What processes of the control plane tell one another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerPacket {
    /// A message of the replicated state's.
    Replica(crankpick_control::Message),
    /// Changes of the registry, to be acknowledged under their number.
    Announce {
        /// Names them in the acknowledgement; 0 wants none.
        number: u64,
        /// The changes.
        announcements: Vec<Announcement>,
    },
    /// The changes of that number are held in memory.
    Announced {
        /// Their number.
        number: u64,
    },
    /// The sender is up.
    Presence {
        /// This start of its process.
        process: ProcessId,
        /// The zone it runs in.
        zone: String,
        /// The peers that it hears, so that those that don't vote find one another.
        peers: Vec<SocketAddr>,
        /// It has just started, or has just heard of the receiver: it wants all that the receiver knows.
        recall: bool,
    },
    /// Sums over what the sender knows: the receiver tells what differs.
    Digest(Digest),
    /// Demands of a home for tenants whose owner the receiver is.
    Demands {
        /// Names them in the answer.
        number: u64,
        /// This start of the home.
        home: ProcessId,
        /// The view's epoch, under which the receiver owns these tenants.
        epoch: u64,
        /// By tenant.
        demands: Vec<TenantDemand>,
    },
    /// An owner's answer.
    Grants {
        /// The demands that they answer.
        number: u64,
        /// By tenant.
        grants: Vec<TenantGrant>,
    },
    /// Changes to be passed on to peers that the sender does not reach.
    Relay {
        /// Those peers.
        to: Vec<SocketAddr>,
        /// The changes.
        announcements: Vec<Announcement>,
    },
}

#[cfg(test)]
#[path = "../tests/unit/wire.rs"]
mod tests;
