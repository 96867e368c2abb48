//! The records that a replica keeps on its disk.
//!
//! Variants are stored by name, fields by position: neither a variant's serialized name nor the order of fields may
//! change, or files of earlier versions can't be read; `tests/serialized_form.rs` holds the bytes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::types::{Ballot, Entry, EntryHeader, EntryId, MemberId, StateTransfer, View};

/// One numbered record of the log. Records are replayed in order at the start; a snapshot replaces all up to its number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The number of the record, one above that of the record before it.
    pub number: u64,
    /// The change of state that is recorded.
    pub body: RecordBody,
}

/// A change of a replica's durable state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordBody {
    /// The first start with an empty disk.
    Identity {
        /// The id drawn at that start.
        id: MemberId,
        /// The seeds, if the process takes part in the bootstrap; else empty.
        bootstrap: Vec<SocketAddr>,
    },
    /// A promise in the instance that decides the view after `epoch`.
    Promised {
        /// The epoch of the view that the proposal is to replace.
        epoch: u64,
        /// The ballot that was promised.
        ballot: Ballot,
    },
    /// A vote in the instance that decides the view after `epoch`.
    Accepted {
        /// The epoch of the view that the proposal is to replace.
        epoch: u64,
        /// The proposal's ballot.
        ballot: Ballot,
        /// The proposed view.
        next: Box<View>,
    },
    /// A decided view that the replica entered.
    Entered(Box<View>),
    /// The state with which a proposed view begins.
    Installed {
        /// The epoch of the view that the proposal is to replace.
        epoch: u64,
        /// The proposal's ballot, which the replica promised by installing the state.
        ballot: Ballot,
        /// The state, or the part that the replica lacked.
        transfer: StateTransfer,
    },
    /// An entry of the chain.
    Appended {
        /// The entry.
        entry: Arc<Entry>,
    },
    /// The entry and all before it are committed: after a restart the replica can serve them at once.
    Committed(EntryId),
    /// The complete durable state as of this record's number.
    Snapshot(Box<Snapshot>),
    /// An operator declared a machine to be gone for good. Builds before this variant can't read it.
    MachineGone {
        /// The machine's internal address.
        address: SocketAddr,
    },
    /// Committed entries that a replica outside the chain lacked.
    CaughtUp {
        /// The entries.
        transfer: StateTransfer,
    },
}

/// The complete durable state of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The replica's id.
    pub id: MemberId,
    /// The seeds, if the process takes part in the bootstrap; else empty.
    pub bootstrap: Vec<SocketAddr>,
    /// The replica's view.
    pub view: View,
    /// The highest ballot promised for the next view.
    pub promised: Option<Ballot>,
    /// The accepted proposal of the highest ballot for the next view.
    pub accepted: Option<(Ballot, View)>,
    /// The replica holds the state with which its view begins, and all entries since.
    pub matched: bool,
    /// The epoch that the state is complete for; see [`Rank::complete`](crate::Rank::complete).
    pub complete: u64,
    /// The newest entry known to be committed.
    pub committed: EntryId,
    /// The headers of the remembered entries, oldest first.
    pub headers: Vec<EntryHeader>,
    /// The entries that are kept with their bytes, oldest first; the last one is the newest.
    pub entries: Vec<Arc<Entry>>,
}

/// A record that can't be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The record couldn't be encoded.
    #[snafu(display("record not encoded: {source}"))]
    Encode {
        /// The encoder's error.
        source: rmp_serde::encode::Error,
    },
    /// The bytes aren't a record of a known form.
    #[snafu(display("record not understood: {source}"))]
    Decode {
        /// The decoder's error.
        source: rmp_serde::decode::Error,
    },
}

impl Record {
    /// Encodes the record as MessagePack, without a length or a checksum.
    ///
    /// # Errors
    ///
    /// [`RecordError::Encode`] if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        rmp_serde::to_vec(self).context(EncodeSnafu)
    }

    /// Decodes a record from the bytes that [`Record::encode`] made.
    ///
    /// # Errors
    ///
    /// [`RecordError::Decode`] if the bytes aren't a record.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        rmp_serde::from_slice(bytes).context(DecodeSnafu)
    }
}
