//! The events that a control-plane process handles sequentially, and the messages between peers.

use std::net::SocketAddr;

use bytes::Bytes;
use crankpick_control::Departure;
use crankpick_protocol::{GatewayIdentity, GatewayReport, HomeUpdate, TenantDemand, TenantGrant};
use crankpick_registry::{Announcement, BackendDeparture, Digest, Heartbeat, HeartbeatError, ProcessId};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

use crate::disk_message::WriteResult;

/// A request to the HTTP API, with a channel for its response.
pub enum ApiRequest {
    /// Replaces the configuration.
    Put {
        /// The base version of the change.
        if_match: u64,
        /// The request body.
        body: Bytes,
        /// The channel for the response.
        reply: oneshot::Sender<ChangeResponse>,
    },
    /// Changes individual items of the configuration.
    Patch {
        /// The base version of the change.
        if_match: u64,
        /// The request body.
        body: Bytes,
        /// The channel for the response.
        reply: oneshot::Sender<ChangeResponse>,
    },
    /// Reads the newest acknowledged configuration.
    Get {
        /// The channel for the response.
        reply: oneshot::Sender<GetResponse>,
    },
    /// A backend's heartbeat.
    Heartbeat {
        /// The id of the backend.
        id: String,
        /// The decoded body.
        heartbeat: Heartbeat,
        /// The channel for the response.
        reply: oneshot::Sender<HeartbeatResponse>,
    },
    /// Removes a backend.
    Leave {
        /// The id of the backend.
        id: String,
        /// The channel for the response.
        reply: oneshot::Sender<HeartbeatResponse>,
    },
    /// Declares that a machine is gone for good.
    MachineGone {
        /// The internal address of the machine.
        address: SocketAddr,
        /// The channel for the response.
        reply: oneshot::Sender<DepartureResponse>,
    },
    /// Reads the status of this process, as JSON.
    Status {
        /// The channel for the response.
        reply: oneshot::Sender<String>,
    },
}

/// The response to a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatResponse {
    /// The change is recorded by all processes that must have it.
    Acknowledged,
    /// The heartbeat was rejected.
    Rejected(HeartbeatError),
    /// No majority of the members has acknowledged the change: the backend should retry at another process.
    Unconfirmed,
}

/// The response to a change of the configuration, by `PUT` or by `PATCH`.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeResponse {
    /// The change is committed.
    Committed,
    /// The current version is not the one that the change builds on.
    Conflict,
    /// The configuration is invalid, for the given reason.
    Invalid(String),
    /// The process at this address can handle the request; nothing was done with it here.
    Redirect(SocketAddr),
    /// The outcome is unknown: the caller should retry.
    Unknown,
}

/// The response to an operator who declares a machine to be gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureResponse {
    /// The answer of the head.
    Answered(Departure),
    /// The process at this address is the head.
    Redirect(SocketAddr),
    /// No head is known or reachable: the caller should retry.
    Unknown,
}

/// The response to a read of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum GetResponse {
    /// The newest acknowledged configuration.
    Document(Bytes),
    /// No configuration was committed yet.
    NotFound,
    /// The process at this address can answer.
    Redirect(SocketAddr),
    /// The outcome is unknown: the caller should retry.
    Unknown,
}

/// The id of a gateway's connection, unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// An event for the task that owns a process's state.
pub enum Event {
    /// A request came in on the API.
    ApiRequest(ApiRequest),
    /// A peer sent a message.
    PeerMessage {
        /// The address on which the peer listens.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// A gateway has connected.
    GatewayConnected {
        /// The id of the connection.
        session: SessionId,
        /// The identity of the gateway.
        gateway: GatewayIdentity,
        /// The queue of updates to the gateway.
        updates: Sender<HomeUpdate>,
    },
    /// A gateway sent a report.
    GatewayReported {
        /// The id of the connection.
        session: SessionId,
        /// The report.
        report: GatewayReport,
    },
    /// A gateway's connection has ended.
    GatewayDisconnected {
        /// The id of the connection.
        session: SessionId,
    },
    /// A write to the disk has finished.
    WriteFinished(WriteResult),
    /// A write of departures to the disk has finished.
    DepartureWriteFinished(WriteResult),
    /// The seeds in the settings have changed. Holds the new internal addresses.
    SeedsChanged(Vec<SocketAddr>),
    /// The process was asked to shut down gracefully.
    Terminate,
}

/// A message between two processes of the control plane.
///
/// Variants are encoded by name and fields by position: neither may change, except by `serde(rename)`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the replication protocol.
    Replica(crankpick_control::Message),
    /// Changes of the registry.
    Announce {
        /// The number to repeat in the acknowledgement; 0 requests none.
        number: u64,
        /// The changes of the registry.
        announcements: Vec<Announcement>,
    },
    /// Acknowledges that the changes of an `Announce` are in memory, and the departures among them on disk.
    #[serde(rename = "Announced")]
    AnnounceAcknowledged {
        /// The number of the `Announce`.
        number: u64,
    },
    /// Announces that the sender is up. Sent periodically.
    Presence {
        /// The incarnation of the sender.
        process: ProcessId,
        /// The zone of the sender.
        zone: String,
        /// The peers that the sender reaches; lets non-voting processes discover one another.
        peers: Vec<SocketAddr>,
        /// The sender has just started and requests the receiver's full state.
        wants_full_state: bool,
    },
    /// Checksums of the sender's registry; the receiver answers with the records that differ.
    Digest(Digest),
    /// Quota demands of a home for tenants that the receiver owns.
    #[serde(rename = "Demands")]
    QuotaDemands {
        /// The number to repeat in the answer.
        number: u64,
        /// The incarnation of the home.
        home: ProcessId,
        /// The epoch of the view in which the receiver owns these tenants.
        epoch: u64,
        /// One entry for each tenant.
        demands: Vec<TenantDemand>,
    },
    /// An owner's answer to `QuotaDemands`.
    #[serde(rename = "Grants")]
    QuotaGrants {
        /// The number of the demands.
        number: u64,
        /// One entry for each tenant.
        grants: Vec<TenantGrant>,
    },
    /// Asks the receiver to forward changes to peers that the sender does not reach.
    Relay {
        /// The addresses of those peers.
        to: Vec<SocketAddr>,
        /// The changes of the registry.
        announcements: Vec<Announcement>,
    },
    /// Asks for the departures that the receiver knows. Sent only on connections of [`Caller::DepartureReader`], which
    /// earlier builds refuse.
    ///
    /// [`Caller::DepartureReader`]: crankpick_protocol::Caller::DepartureReader
    DepartureQuery,
    /// Answers a `DepartureQuery`, on a connection of the same kind.
    DepartureReport {
        /// The epoch of the sender's view.
        epoch: u64,
        /// Whether the sender has stored all departures that it had to store as a member of that view.
        sound: bool,
        /// All departures that the sender knows.
        departures: Vec<BackendDeparture>,
    },
}

#[cfg(test)]
#[path = "../tests/unit/wire.rs"]
mod tests;
