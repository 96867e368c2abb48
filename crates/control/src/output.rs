//! The actions that a replica asks its host to carry out.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::invariant::Violation;
use crate::message::{Body, Message, Sender};
use crate::record::Record;
use crate::types::{CommandId, Departure, Entry, MemberId, Outcome, View, WriteId};

/// An action for the host.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message. It may be lost, duplicated or reordered on the way.
    Send {
        /// The internal address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Append the records to the log in one write, sync it, and feed [`Persisted`](crate::Input::Persisted) or
    /// [`WriteFailed`](crate::Input::WriteFailed). At most one write is in flight.
    Persist {
        /// The id of the write, which the input repeats.
        write_id: WriteId,
        /// The records, in order.
        records: Vec<Record>,
    },
    /// The result of a command that the host submitted.
    Answer {
        /// The host's id for the command.
        key: CommandId,
        /// The result.
        outcome: Outcome,
    },
    /// The answer to an operator who declared a machine to be gone.
    DepartureAnswer {
        /// The host's id for the declaration.
        key: CommandId,
        /// The answer.
        departure: Departure,
    },
    /// The newest entry known to be committed has changed.
    Committed(Arc<Entry>),
    /// The replica has entered another view.
    ViewChanged(View),
    /// An invariant is broken: a fault of the program, to be reported under its code.
    Violation(Violation),
}

/// The actions for the host, in the order in which they must be carried out.
pub type Outputs = Vec<Output>;

/// Collects the outputs of one input, and the messages that the replica addresses to itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    outputs: Outputs,
    local_messages: VecDeque<Body>,
}

impl Outbox {
    /// Adds an action for the host.
    pub(crate) fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Sends to one process, which may be this one.
    pub(crate) fn send(&mut self, from: Sender, to: Sender, body: Body) {
        if to.id == from.id {
            self.local_messages.push_back(body);
        } else {
            self.send_to_address(from, to.address, Some(to.id), body);
        }
    }

    /// Sends to the process at an address, which may be this one's; only the member `target` takes the message, if given.
    pub(crate) fn send_to_address(
        &mut self,
        from: Sender,
        to: SocketAddr,
        target: Option<MemberId>,
        body: Body,
    ) {
        if to == from.address {
            self.local_messages.push_back(body);
            return;
        }
        let message = Message { sender: from, target, body };
        self.outputs.push(Output::Send { to, message });
    }

    /// The oldest message of the replica to itself that hasn't been handled.
    pub(crate) fn next_local_message(&mut self) -> Option<Body> {
        self.local_messages.pop_front()
    }

    /// Hands over all collected outputs.
    pub(crate) fn drain_into(&mut self, outputs: &mut Outputs) {
        outputs.append(&mut self.outputs);
    }
}
