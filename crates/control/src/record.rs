//! What a replica keeps on its disk.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::types::{Ballot, Entry, EntryHeader, EntryId, MemberId, StateTransfer, View};

/// One record. Replayed in order at the start; a snapshot says up to which number it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Rises by one with each record.
    pub number: u64,
    /// What happened.
    pub body: RecordBody,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordBody {
    /// The first start with an empty disk.
    Identity {
        /// Drawn then.
        id: MemberId,
        /// The seeds, if it takes part in the bootstrap.
        bootstrap: Vec<SocketAddr>,
    },
    /// A promise for the view after `epoch`.
    Promised {
        /// The view that is to end.
        epoch: u64,
        /// To whom.
        ballot: Ballot,
    },
    /// A vote for the view after `epoch`.
    Accepted {
        /// The view that is to end.
        epoch: u64,
        /// The proposal.
        ballot: Ballot,
        /// The view that is to begin.
        next: Box<View>,
    },
    /// A view entered.
    Entered(Box<View>),
    /// The state with which a view may begin.
    Installed {
        /// The view that is to end.
        epoch: u64,
        /// The proposal; implies a promise.
        ballot: Ballot,
        /// The state.
        transfer: StateTransfer,
    },
    /// An entry of the chain.
    Appended {
        /// The entry.
        entry: Arc<Entry>,
    },
    /// That entry and all before it are committed: after a restart the process knows it at once.
    Committed(EntryId),
    /// All of the above, up to this record's number.
    Snapshot(Box<Snapshot>),
    /// Committed entries that a replica outside the chain lacked.
    CaughtUp {
        /// What it lacked.
        transfer: StateTransfer,
    },
}

/// All that is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Who this is.
    pub id: MemberId,
    /// The seeds, if it takes part in the bootstrap.
    pub bootstrap: Vec<SocketAddr>,
    /// The view it is in.
    pub view: View,
    /// Its promise for the next one.
    pub promised: Option<Ballot>,
    /// Its vote for the next one.
    pub accepted: Option<(Ballot, View)>,
    /// It holds the state with which the view begins, and all entries since.
    pub matched: bool,
    /// What the state is complete for.
    pub complete: u64,
    /// The newest entry known to be committed.
    pub committed: EntryId,
    /// The changes it remembers, oldest first.
    pub changes: Vec<EntryHeader>,
    /// Entries whose bytes it keeps, oldest first; the last one is the newest.
    pub entries: Vec<Arc<Entry>>,
}

/// A record that can't be written or read.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// Not written.
    #[snafu(display("record not encoded: {source}"))]
    Encode {
        /// Why.
        source: rmp_serde::encode::Error,
    },
    /// Not read.
    #[snafu(display("record not understood: {source}"))]
    Decode {
        /// Why.
        source: rmp_serde::decode::Error,
    },
}

impl Record {
    /// As bytes.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        rmp_serde::to_vec(self).context(EncodeSnafu)
    }

    /// From bytes.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        rmp_serde::from_slice(bytes).context(DecodeSnafu)
    }
}
