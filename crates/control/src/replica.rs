//! A replica: what goes in, what comes out.

use std::sync::Arc;
use std::time::Duration;

use crate::message::Message;
use crate::options::Options;
use crate::record::Record;
use crate::types::{Entry, MemberId, Now, Order, Outcome, View};

/// The host's name for an order it submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SubmitKey(pub u64);

/// Names a write to the disk. One is under way at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passes: every 50 ms.
    Tick,
    /// A message has come.
    Message(Message),
    /// The records of that write are synced.
    Persisted(Ticket),
    /// The write was refused: none of its records counts, and they will be asked for again.
    DiskRefused(Ticket),
    /// An operator's order, checked for all but its place.
    Submit {
        /// The host's name for it.
        key: SubmitKey,
        /// The order.
        order: Arc<Order>,
    },
    /// The settings name other seeds.
    Seeds(Vec<std::net::SocketAddr>),
    /// This process shuts down in order.
    Leave,
}

/// What the host is to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// Where.
        to: std::net::SocketAddr,
        /// What.
        message: Message,
    },
    /// Append the records in one write, sync, and say `Persisted` or `DiskRefused`.
    Persist {
        /// Its name.
        ticket: Ticket,
        /// The records.
        records: Vec<Record>,
    },
    /// What became of an order.
    Answer {
        /// The host's name for it.
        key: SubmitKey,
        /// What became of it.
        outcome: Outcome,
    },
    /// The newest committed configuration is another one now.
    Committed(Arc<Entry>),
    /// The view is another one now.
    ViewChanged(View),
}

/// What the host is to do, in order.
pub type Outputs = Vec<Output>;

/// A replica, a member outside the chain, or a follower.
#[derive(Debug)]
pub struct Replica {
    options: Options,
    id: MemberId,
    view: View,
}

impl Replica {
    /// Starts from the records of the disk; none mean a first start.
    pub fn restore(_now: Now, options: Options, _records: Vec<Record>, _outputs: &mut Outputs) -> Replica {
        Replica { id: MemberId(options.entropy), options, view: View::default() }
    }

    /// Takes one input; pushes what is to be done.
    pub fn handle(&mut self, _now: Now, input: Input, outputs: &mut Outputs) {
        if let Input::Submit { key, .. } = input {
            outputs.push(Output::Answer { key, outcome: Outcome::Unclear });
        }
    }

    /// The records that hold all that counts, to rewrite the file with. Hand them to the disk in order with the
    /// writes asked for before and after.
    pub fn snapshot_records(&self) -> Vec<Record> {
        Vec::new()
    }

    /// The age of the newest moment as of which this replica surely knows all that was acknowledged.
    pub fn freshness(&self, _now: Now) -> Option<Duration> {
        None
    }

    /// The view this process is in; epoch 0 while it knows none.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The newest entry that it knows to be committed.
    pub fn newest_committed(&self) -> Option<&Arc<Entry>> {
        None
    }

    /// Who this is.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Whether it stands in the chain of its view.
    pub fn in_chain(&self) -> bool {
        self.view.place(self.id).is_some()
    }

    /// What it was told at its start.
    pub fn options(&self) -> &Options {
        &self.options
    }
}
