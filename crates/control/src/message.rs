//! What replicas say to each other.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::{Ballot, Command, Entry, EntryId, Member, MemberId, Outcome, Rank, StateTransfer, View};

/// One message, with who sends it and for whom it is meant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it.
    pub sender: Sender,
    /// For whom it is meant: another one at that address drops it. Nothing while ids aren't known.
    pub target: Option<MemberId>,
    /// What is said.
    pub body: Body,
}

/// Who sends a message, and where it takes answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Who.
    pub id: MemberId,
    /// Where it takes internal traffic.
    pub address: SocketAddr,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// To a seed: I am here, and know no view or nobody of it.
    Hello(Hello),
    /// To all members: take me in.
    Join(Member),
    /// Between all that know the view.
    Heartbeat(Heartbeat),
    /// Proposer to acceptor.
    Prepare(Prepare),
    /// Acceptor to proposer.
    Promise(Box<Promise>),
    /// Proposer to each of the next chain.
    Install(Box<Install>),
    /// Its answer: installed and synced.
    Installed(Ballot),
    /// Proposer to acceptor.
    Accept(Box<Accept>),
    /// Its answer: accepted and synced.
    Accepted(Ballot),
    /// A higher ballot was promised.
    Nack(Nack),
    /// A view that is decided.
    Decide(Box<View>),
    /// Down the chain.
    Append(Append),
    /// From the tail to the chain.
    Commit(Commit),
    /// Asks for the newest committed entry.
    Fetch,
    /// The newest committed entry.
    Learn(Arc<Entry>),
    /// A command on its way to the head.
    Forward(Forward),
    /// Its answer.
    ForwardAnswer(ForwardAnswer),
    /// A replica outside the chain asks for what it lacks.
    CatchUp(CatchUp),
    /// Its answer.
    CaughtUp(Box<CaughtUp>),
}

/// I am here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Who.
    pub member: Member,
    /// It takes part in the bootstrap.
    pub bootstrap: bool,
    /// The epoch it knows.
    pub epoch: u64,
}

/// What a peer last heard from us.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Our incarnation.
    pub incarnation: u64,
    /// Our time when we sent it, in microseconds.
    pub sent: u64,
}

/// Sent to each peer at intervals; an answer to the peer's last one as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Of this sender, with its own time.
    pub sent: Echo,
    /// The last one heard from the receiver: all that is said here was so after it.
    pub heard: Option<Echo>,
    /// The view the sender is in.
    pub epoch: u64,
    /// It has accepted the next view.
    pub accepted: bool,
    /// It is sealed against writes by a promise.
    pub sealed: bool,
    /// It holds the state of the chain in that view.
    pub matched: bool,
    /// It and all before it in the chain do.
    pub opened: bool,
    /// Its last entry.
    pub last: EntryId,
    /// The newest entry that it knows to be committed.
    pub committed: EntryId,
    /// Its disk keeps up.
    pub disk_well: bool,
    /// It shuts down.
    pub leaving: bool,
    /// A bit for each member of the view that it can't reach both ways.
    pub unreachable: u64,
    /// The bytes of the newest committed entry that it holds.
    #[serde(default)]
    pub committed_bytes: u64,
}

/// Asks for a promise for the view after `view`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prepare {
    /// The proposer's number.
    pub ballot: Ballot,
    /// The view that is to end.
    pub view: View,
    /// What the proposer holds: who holds more sends it along.
    pub rank: Rank,
}

/// A promise, synced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// To whom.
    pub ballot: Ballot,
    /// The zone of this acceptor.
    pub zone: String,
    /// What it holds.
    pub rank: Rank,
    /// What it had accepted before.
    pub accepted: Option<(Ballot, View)>,
    /// Its state, where its rank is above the proposer's.
    pub state: Option<StateTransfer>,
}

/// The state with which the next view begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Install {
    /// The proposer's number; implies a promise.
    pub ballot: Ballot,
    /// The view that is to end.
    pub view: View,
    /// The state.
    pub transfer: StateTransfer,
}

/// Asks for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accept {
    /// The proposer's number.
    pub ballot: Ballot,
    /// The view that is to end.
    pub view: View,
    /// The view that is to begin.
    pub next: View,
}

/// A higher ballot was promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nack {
    /// The ballot refused.
    pub refused: Ballot,
    /// The one promised.
    pub promised: Ballot,
}

/// An entry on its way down the chain: the sender has synced it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The view of the chain.
    pub epoch: u64,
    /// The entry.
    pub entry: Arc<Entry>,
    /// Committed as far as the sender knows.
    pub committed: EntryId,
}

/// The tail has synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// The view of the chain.
    pub epoch: u64,
    /// The newest committed entry.
    pub committed: EntryId,
}

/// A command on its way to the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The view it was sent in: a head of another one drops it.
    pub epoch: u64,
    /// The sender's name for it.
    pub key: u64,
    /// The command.
    pub command: Arc<Command>,
}

/// What the head says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardAnswer {
    /// The view of the forward that is answered.
    pub epoch: u64,
    /// The id of the command.
    pub key: u64,
    /// What became of it.
    pub outcome: Outcome,
}

/// Asks for the committed entries after the last one here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatchUp {
    /// The view it was sent in: a replica of another one drops it.
    pub epoch: u64,
    /// The last entry of the sender's state.
    pub last: EntryId,
    /// The newest committed entry whose bytes the sender has.
    pub known: EntryId,
}

/// The committed entries that a replica lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaughtUp {
    /// The view of the answering replica.
    pub epoch: u64,
    /// What the receiver lacks. Complete for no epoch.
    pub transfer: StateTransfer,
}
