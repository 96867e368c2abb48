//! The messages that replicas exchange.
//!
//! The host encodes them with `rmp-serde`: variants by name, fields by position. Neither a variant's serialized name nor
//! the order of fields may change; `tests/serialized_form.rs` holds the bytes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::{Ballot, Command, Entry, EntryId, Member, MemberId, Outcome, Rank, StateTransfer, View};

/// A message with its sender and its intended receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The process that sends it.
    pub sender: Sender,
    /// The member it is meant for: a process with another id at the same address drops it. `None` while the
    /// receiver's id isn't known to the sender.
    pub target: Option<MemberId>,
    /// The content.
    pub body: Body,
}

/// The process that sent a message, and the address that answers go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The sender's id.
    pub id: MemberId,
    /// The address the sender accepts internal connections on.
    pub address: SocketAddr,
}

impl From<&Member> for Sender {
    fn from(member: &Member) -> Self {
        Sender { id: member.id, address: member.address }
    }
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// To a seed or another process of the core: announces a process that knows no view, or reaches nobody of it.
    Hello(Hello),
    /// To all members: asks for a vote in a later view.
    Join(Member),
    /// Between all processes that know the view, at intervals.
    Heartbeat(Heartbeat),
    /// Paxos phase 1a, proposer to acceptor.
    Prepare(Prepare),
    /// Paxos phase 1b, acceptor to proposer.
    Promise(Box<Promise>),
    /// Proposer to each replica of the next chain: the state with which the next view begins.
    Install(Box<Install>),
    /// Answers [`Body::Install`]: the state is installed and synced.
    Installed(Ballot),
    /// Paxos phase 2a, proposer to acceptor.
    Accept(Box<Accept>),
    /// Paxos phase 2b, acceptor to proposer: the vote is synced.
    Accepted(Ballot),
    /// Acceptor to proposer: a higher ballot was promised.
    Nack(Nack),
    /// A view that was decided.
    Decide(Box<View>),
    /// Predecessor to successor in the chain: a new entry.
    Append(Append),
    /// Tail to the other replicas of the chain: entries are committed.
    Commit(Commit),
    /// Asks for the newest committed entry.
    Fetch,
    /// The newest committed entry.
    Learn(Arc<Entry>),
    /// A command, from the process that an operator gave it to, to the head.
    Forward(Forward),
    /// Answers [`Body::Forward`].
    ForwardAnswer(ForwardAnswer),
    /// A replica outside the chain asks for the committed entries that it lacks.
    CatchUp(CatchUp),
    /// Answers [`Body::CatchUp`].
    CaughtUp(Box<CaughtUp>),
}

/// Announces a process that knows no view, or reaches nobody of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The process that announces itself.
    pub member: Member,
    /// Whether it takes part in the bootstrap of the first view.
    pub bootstrap: bool,
    /// The epoch of the view that it knows; 0 if none.
    pub epoch: u64,
}

/// Identifies a heartbeat, so that its receiver can acknowledge it to the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The incarnation of the process that sent the heartbeat.
    pub incarnation: u64,
    /// When that process sent it, in microseconds of its own steady clock.
    pub sent: u64,
}

/// Sent to each peer at intervals; also acknowledges the peer's newest heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identifies this heartbeat, for the receiver to echo.
    pub sent: Echo,
    /// The newest heartbeat received from the receiver. All other fields were read after it arrived.
    pub echo: Option<Echo>,
    /// The epoch of the sender's view.
    pub epoch: u64,
    /// The sender has accepted a proposal for the next view.
    pub accepted: bool,
    /// A promise seals the sender against new entries in its view.
    pub sealed: bool,
    /// The sender holds the chain's state of its view.
    pub matched: bool,
    /// The sender and all replicas before it in the chain are `matched`, and synced that they entered the view.
    pub opened: bool,
    /// The last entry of the sender's state.
    pub last: EntryId,
    /// The newest entry that the sender knows to be committed.
    pub committed: EntryId,
    /// The sender's disk takes writes, and syncs them in time.
    pub disk_healthy: bool,
    /// The sender is shutting down gracefully.
    pub shutting_down: bool,
    /// Bit `i` is set if the sender suspects the member of index `i` in the view. Members from index 64 on have no bit.
    pub unreachable: u64,
    /// The size in bytes of the newest committed entry that the sender holds.
    #[serde(default)]
    pub committed_bytes: u64,
}

/// The members that [`Heartbeat::unreachable`] has a bit for.
pub(crate) const MAX_REPORTED_MEMBERS: usize = u64::BITS as usize;

/// Paxos phase 1a: asks for a promise in the instance that decides the view after `view`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prepare {
    /// The proposal's ballot.
    pub ballot: Ballot,
    /// The view that the proposal is to replace.
    pub view: View,
    /// The rank of the proposer's state: an acceptor of a higher rank adds its own state to the promise.
    pub rank: Rank,
}

/// Paxos phase 1b: a promise, synced before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The ballot that is promised.
    pub ballot: Ballot,
    /// The zone of the acceptor.
    pub zone: String,
    /// The rank of the acceptor's state.
    pub rank: Rank,
    /// The proposal of the highest ballot that the acceptor has accepted in this instance.
    pub accepted: Option<(Ballot, View)>,
    /// The acceptor's state, where its rank is above the proposer's.
    pub state: Option<StateTransfer>,
}

/// The state with which the next view begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Install {
    /// The proposal's ballot; the receiver promises it too.
    pub ballot: Ballot,
    /// The view that the proposal is to replace.
    pub view: View,
    /// The state, or the part that the receiver lacks.
    pub transfer: StateTransfer,
}

/// Paxos phase 2a: asks for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accept {
    /// The proposal's ballot.
    pub ballot: Ballot,
    /// The view that the proposal is to replace.
    pub view: View,
    /// The proposed view.
    pub next: View,
}

/// Rejects a ballot: a higher one was promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nack {
    /// The rejected ballot.
    pub refused: Ballot,
    /// The ballot that was promised.
    pub promised: Ballot,
}

/// A new entry on its way down the chain; the sender has synced it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The epoch of the chain's view.
    pub epoch: u64,
    /// The entry.
    pub entry: Arc<Entry>,
    /// The newest entry that the sender knows to be committed.
    pub committed: EntryId,
}

/// The tail has synced an entry, which commits it and all before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// The epoch of the chain's view.
    pub epoch: u64,
    /// The newest committed entry.
    pub committed: EntryId,
}

/// A command on its way to the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The epoch of the view it was sent in: the head of another view drops it.
    pub epoch: u64,
    /// The sender's key for the command, which the answer repeats.
    pub key: u64,
    /// The command.
    pub command: Arc<Command>,
}

/// The head's answer to a [`Forward`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardAnswer {
    /// The epoch of the forward that is answered.
    pub epoch: u64,
    /// The key of the forward that is answered.
    pub key: u64,
    /// The result of the command.
    pub outcome: Outcome,
}

/// Asks for the committed entries after the last one of the sender's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatchUp {
    /// The epoch of the view it was sent in: a replica of another view drops it.
    pub epoch: u64,
    /// The last entry of the sender's state.
    pub last: EntryId,
    /// The newest committed entry that the sender holds with its bytes.
    pub known: EntryId,
}

/// The committed entries that a replica lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaughtUp {
    /// The epoch of the answering replica's view.
    pub epoch: u64,
    /// The entries. They raise the receiver's rank for no epoch: `complete` is 0.
    pub transfer: StateTransfer,
}
