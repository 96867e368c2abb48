//! The basic types of the protocol: members, views, ballots, commands, entries.
//!
//! Most of them are part of messages or records: the order of their fields must not change, and serialized names of
//! variants neither; `tests/serialized_form.rs` holds the bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The time since the process started, by its own steady clock. Times of two processes can't be compared.
pub type Now = Duration;

/// The host's id for a command that it submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CommandId(pub u64);

/// Identifies a write to the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WriteId(pub u64);

/// The id of a process, drawn at random at its first start with an empty disk, and persisted: a process whose disk was
/// wiped has another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// A process that votes on views and may hold the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The process's id.
    pub id: MemberId,
    /// The address the process accepts internal connections on.
    pub address: SocketAddr,
    /// The zone the process runs in.
    pub zone: String,
    /// Whether the process stores its state on a disk.
    #[serde(default = "durable_by_default")]
    pub durable: bool,
}

/// The value of [`Member::durable`] in files written before the field existed: all members had a disk.
fn durable_by_default() -> bool {
    true
}

/// Identifies an entry. Two entries with the same id are equal, and so are all entries before them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// The epoch of the head that made the entry.
    pub epoch: u64,
    /// The position of the entry, counted from 1; 0 is the empty state.
    pub position: u64,
}

/// The voters, and the replicas of the chain in their order. Decided by a majority of the view before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// The number of the view, one above that of the view before; 0 means that no view is known.
    pub epoch: u64,
    /// The voters.
    pub members: Vec<Member>,
    /// The replicas that hold the state, head first, tail last.
    pub chain: Vec<MemberId>,
    /// The last entry of the state with which the chain begins.
    pub start: EntryId,
}

impl View {
    /// The number of votes that decide in this view.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The length of the shortest chain that intersects each majority and survives the loss of `tolerate` members.
    pub fn least_chain(&self, tolerate: usize) -> usize {
        let intersecting = (self.members.len() + 1).saturating_sub(self.majority());
        intersecting.max(tolerate + 1).min(self.members.len())
    }

    /// The member with that id.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// The index of a replica in the chain; the head's is 0.
    pub fn chain_index(&self, id: MemberId) -> Option<usize> {
        self.chain.iter().position(|replica| *replica == id)
    }

    /// The replica that accepts commands.
    pub fn head(&self) -> Option<MemberId> {
        self.chain.first().copied()
    }

    /// The replica whose sync commits an entry.
    pub fn tail(&self) -> Option<MemberId> {
        self.chain.last().copied()
    }

    /// The replica before one in the chain.
    pub fn predecessor(&self, id: MemberId) -> Option<MemberId> {
        let index = self.chain_index(id)?.checked_sub(1)?;
        self.chain.get(index).copied()
    }

    /// The replica after one in the chain.
    pub fn successor(&self, id: MemberId) -> Option<MemberId> {
        self.chain.get(self.chain_index(id)? + 1).copied()
    }
}

/// The answer to an operator who declares a machine to be gone for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It is stored, and commands don't wait for that machine any more.
    Recorded,
    /// The machine votes, or is heard: nothing is changed.
    StillHere,
    /// Nothing is known of such a machine: nothing is changed.
    UnknownMachine,
}

/// The number of a proposal in one Paxos instance. Ballots are compared by their fields in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Above every counter that the proposer has seen.
    pub counter: u64,
    /// The proposer.
    pub proposer: MemberId,
    /// The proposer's incarnation, drawn at each of its starts: keeps a restarted proposer from using a ballot twice.
    pub incarnation: u64,
}

/// How much of the state a replica holds.
///
/// Invariant (`docs/control.md`, "Why nothing is lost"): the highest rank among a majority of promises holds all that was
/// acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// The state holds all that was acknowledged in this epoch and before, while the replica is sealed.
    pub complete: u64,
    /// The last entry of the state.
    pub last: EntryId,
}

/// An operator's command: a complete configuration that replaces the one of a given version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The version that the configuration replaces; 0 for the first one.
    pub if_match: u64,
    /// The version of the configuration.
    pub generation: u64,
    /// The digest of what the operator sent, by which a repeated command is recognized.
    pub digest: u128,
    /// The configuration, as sent or merged from a patch; empty in an inquiry.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

impl Command {
    /// A command with the digest of its bytes.
    pub fn new(if_match: u64, generation: u64, bytes: Vec<u8>) -> Self {
        Command { if_match, generation, digest: digest(&bytes), bytes }
    }

    /// Asks whether a command was committed whose configuration can't be built any more. It is never committed itself.
    pub fn inquiry(if_match: u64, generation: u64, digest: u128) -> Self {
        Command { if_match, generation, digest, bytes: Vec::new() }
    }

    /// Whether this is an inquiry.
    pub fn is_inquiry(&self) -> bool {
        self.bytes.is_empty()
    }
}

/// FNV-1a of 128 bits: tells apart what operators send. Nobody gains by a collision, so it needn't be cryptographic.
fn digest(bytes: &[u8]) -> u128 {
    const OFFSET_BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u128::from(*byte)).wrapping_mul(PRIME))
}

/// A command that a head has appended to the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's id.
    pub id: EntryId,
    /// The command.
    pub command: Arc<Command>,
}

impl Entry {
    /// The entry without the command's bytes.
    pub fn header(&self) -> EntryHeader {
        EntryHeader {
            id: self.id,
            if_match: self.command.if_match,
            generation: self.command.generation,
            digest: self.command.digest,
        }
    }
}

/// What is remembered of an entry once its bytes are discarded, so that a repeated command is recognized.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHeader {
    /// The entry's id.
    pub id: EntryId,
    /// The version that the configuration replaced.
    pub if_match: u64,
    /// The version of the configuration.
    pub generation: u64,
    /// The digest of what the operator sent.
    pub digest: u128,
}

impl EntryHeader {
    /// Whether the entry was made by that command.
    pub fn is_of(&self, command: &Command) -> bool {
        self.if_match == command.if_match
            && self.generation == command.generation
            && self.digest == command.digest
    }
}

/// A state, or the part of it that follows an entry, as it is sent to a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateTransfer {
    /// The epoch that the state is complete for; see [`Rank::complete`].
    pub complete: u64,
    /// The entry that the receiver's state is kept up to; `None` if the transfer replaces all of it.
    pub since: Option<EntryId>,
    /// The headers of the entries after `since`, oldest first.
    pub headers: Vec<EntryHeader>,
    /// The last entry with its bytes, unless the receiver has it.
    pub newest: Option<Arc<Entry>>,
}

impl StateTransfer {
    /// The last entry of the state once it is installed.
    pub fn last(&self) -> EntryId {
        let last = self.headers.last().map(|header| header.id);
        last.or(self.since).unwrap_or_default()
    }

    /// The approximate size in bytes.
    pub fn size(&self) -> usize {
        let newest = self.newest.as_ref().map_or(0, |entry| entry.command.bytes.len());
        newest + self.headers.len() * size_of::<EntryHeader>()
    }
}

/// The result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command is committed.
    #[serde(rename = "Taken")]
    Committed,
    /// Another version is current, and the command will never be committed.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The command's version isn't above the current one, and the command will never be committed.
    Invalid {
        /// The current version.
        current: u64,
    },
    /// The command may have been committed, or may yet be.
    #[serde(rename = "Unclear")]
    Unknown,
}
