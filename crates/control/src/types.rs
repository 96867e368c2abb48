//! The words of the protocol: members, views, entries, ballots.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time since the process's start, by its steady clock.
pub type Now = Duration;

/// Drawn at random at a member's first start with an empty disk, and persisted: a wiped member has another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// A process that votes on views and may hold the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Who it is.
    pub id: MemberId,
    /// Where it takes internal traffic.
    pub address: SocketAddr,
    /// The zone it runs in.
    pub zone: String,
    /// It keeps what it is told on a disk.
    #[serde(default = "durable_by_default")]
    pub durable: bool,
}

/// Files written before the field was there hold members with a disk only.
fn durable_by_default() -> bool {
    true
}

/// Names an entry: the epoch of the head that made it, and its position. The same name is the same entry, and the
/// same entries before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// The epoch of the head that made it.
    pub epoch: u64,
    /// Counted from 1; 0 is the empty state.
    pub position: u64,
}

/// Who votes, and which of them hold the state, in which order. Agreed by a majority of the view before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// Rises by one with each view; 0 is none.
    pub epoch: u64,
    /// The voters.
    pub members: Vec<Member>,
    /// Those that hold the state, head first, tail last.
    pub chain: Vec<MemberId>,
    /// The last entry of the state with which the chain begins.
    pub start: EntryId,
}

impl View {
    /// The votes that decide in this view.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The shortest chain that each majority meets and that outlives the loss of `tolerate` members.
    pub fn least_chain(&self, tolerate: usize) -> usize {
        let meets = (self.members.len() + 1).saturating_sub(self.majority());
        meets.max(tolerate + 1).min(self.members.len())
    }

    /// The member with that id.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Where a replica stands in the chain.
    pub fn chain_index(&self, id: MemberId) -> Option<usize> {
        self.chain.iter().position(|replica| *replica == id)
    }

    /// The replica that takes commands.
    pub fn head(&self) -> Option<MemberId> {
        self.chain.first().copied()
    }

    /// The replica whose sync commits.
    pub fn tail(&self) -> Option<MemberId> {
        self.chain.last().copied()
    }

    /// The replica before one in the chain.
    pub fn predecessor(&self, id: MemberId) -> Option<MemberId> {
        let place = self.chain_index(id)?.checked_sub(1)?;
        self.chain.get(place).copied()
    }

    /// The replica after one in the chain.
    pub fn successor(&self, id: MemberId) -> Option<MemberId> {
        self.chain.get(self.chain_index(id)? + 1).copied()
    }
}

/// A proposer's number in one instance. The incarnation keeps a restarted proposer from using a number twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Above every counter its proposer has seen.
    pub counter: u64,
    /// The proposer.
    pub proposer: MemberId,
    /// Drawn at each start of the proposer.
    pub incarnation: u64,
}

/// How much of the state a replica holds: the highest rank among a majority holds all that was acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// The state holds all that was acknowledged in this epoch and before it, while the replica is sealed.
    pub complete: u64,
    /// The last entry.
    pub last: EntryId,
}

/// What an operator asks for: a whole configuration on top of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The version it builds on; 0 for the first.
    pub if_match: u64,
    /// Its own version.
    pub generation: u64,
    /// Of what the operator sent.
    pub digest: u128,
    /// The configuration that it makes, as sent or merged; nothing in an inquiry.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

impl Command {
    /// A command with the digest of its bytes.
    pub fn new(if_match: u64, generation: u64, bytes: Vec<u8>) -> Self {
        Command { if_match, generation, digest: digest(&bytes), bytes }
    }

    /// Asks whether a command was taken whose configuration can't be made any more. It is never taken itself.
    pub fn inquiry(if_match: u64, generation: u64, digest: u128) -> Self {
        Command { if_match, generation, digest, bytes: Vec::new() }
    }

    /// Whether it only asks.
    pub fn is_inquiry(&self) -> bool {
        self.bytes.is_empty()
    }
}

/// FNV-1a of 128 bits: tells apart what operators send, and nobody gains by a collision.
fn digest(bytes: &[u8]) -> u128 {
    const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
    bytes.iter().fold(OFFSET, |hash, byte| (hash ^ u128::from(*byte)).wrapping_mul(PRIME))
}

/// A command that a head has taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub id: EntryId,
    /// What was asked for.
    pub command: Arc<Command>,
}

impl Entry {
    /// What the history keeps of it.
    pub fn change(&self) -> EntryHeader {
        EntryHeader {
            id: self.id,
            if_match: self.command.if_match,
            generation: self.command.generation,
            digest: self.command.digest,
        }
    }
}

/// What is remembered of a committed command, so that the same command again is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHeader {
    /// The entry.
    pub id: EntryId,
    /// The version it built on.
    pub if_match: u64,
    /// Its version.
    pub generation: u64,
    /// Of what the operator sent.
    pub digest: u128,
}

impl EntryHeader {
    /// Whether it was made by that command.
    pub fn is_of(&self, command: &Command) -> bool {
        self.if_match == command.if_match
            && self.generation == command.generation
            && self.digest == command.digest
    }
}

/// A state as sent to a replica: what comes after an entry that it has, or the whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateTransfer {
    /// What the state is complete for.
    pub complete: u64,
    /// The entry that the receiver has; nothing means that the state is whole.
    pub since: Option<EntryId>,
    /// The changes after it.
    pub changes: Vec<EntryHeader>,
    /// The last entry, where the receiver hasn't got it.
    pub newest: Option<Arc<Entry>>,
}

impl StateTransfer {
    /// The last entry of the state once it is installed.
    pub fn last(&self) -> EntryId {
        let last = self.changes.last().map(|change| change.id);
        last.or(self.since).unwrap_or_default()
    }

    /// About how many bytes it takes.
    pub fn size(&self) -> usize {
        let newest = self.newest.as_ref().map_or(0, |entry| entry.command.bytes.len());
        newest + self.changes.len() * size_of::<EntryHeader>()
    }
}

/// What became of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is committed.
    #[serde(rename = "Taken")]
    Committed,
    /// Another version is current, and this command will never be taken.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// Its generation isn't above the current one, and this command will never be taken.
    Invalid {
        /// The current version.
        current: u64,
    },
    /// It may have been taken, or may yet be.
    #[serde(rename = "Unclear")]
    Unknown,
}
