//! Chain replication of the control state, and the agreed view that reconfigures the chain.
//!
//! Pure: no I/O and no clock. The host feeds [`Input`]s with the time since the process started, and carries out the
//! [`Output`]s. `docs/control.md` explains why it is safe.

mod acceptor;
mod catch_up;
mod chain;
mod commands;
mod discovery;
mod disk;
mod freshness;
mod input;
mod invariant;
mod membership;
mod message;
mod options;
mod output;
mod peers;
mod plan;
mod proposer;
mod record;
mod replica;
mod state;
mod types;

pub use commands::DeclineReason;
pub use input::Input;
pub use invariant::{Violation, ViolationKind};
pub use message::{
    Accept, Append, Body, CatchUp, CaughtUp, Commit, Echo, Forward, ForwardAnswer, Heartbeat, Hello, Install,
    Message, Nack, Prepare, Promise, Sender,
};
pub use options::{Options, Timing};
pub use output::{Output, Outputs};
pub use record::{Record, RecordBody, RecordError, Snapshot};
pub use replica::Replica;
pub use types::{
    Ballot, Command, CommandId, Departure, Entry, EntryHeader, EntryId, Member, MemberId, Now, Outcome, Rank,
    StateTransfer, View, WriteId,
};

#[cfg(test)]
#[path = "../tests/unit/model.rs"]
mod model;
