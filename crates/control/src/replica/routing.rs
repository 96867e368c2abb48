//! Messages: dispatched to the protocol that they belong to, and sent to other processes or to this one.

use std::net::SocketAddr;

use super::Replica;
use crate::message::{Body, Message, Sender};
use crate::types::MemberId;

impl Replica {
    pub(super) fn receive(&mut self, message: Message) {
        self.check_sender(message.sender);
        let is_own = message.sender.id == self.id;
        let is_for_us = message.target.is_none_or(|target| target == self.id);
        if is_for_us && !is_own {
            self.dispatch(message.sender, message.body);
        } else if !is_own && self.view.epoch == 0 {
            // Meant for the process at this address before its disk was lost: the sender knows the view.
            self.hello(message.sender);
        }
    }

    pub(super) fn dispatch(&mut self, sender: Sender, body: Body) {
        match body {
            Body::Hello(hello) => self.on_hello(sender, hello),
            Body::Join(member) => self.on_join(member),
            Body::Heartbeat(heartbeat) => self.on_heartbeat(sender, heartbeat),
            Body::Prepare(prepare) => self.on_prepare(sender, prepare),
            Body::Promise(promise) => self.on_promise(sender, *promise),
            Body::Install(install) => self.on_install(sender, *install),
            Body::Installed(ballot) => self.on_installed(sender, ballot),
            Body::Accept(accept) => self.on_accept(sender, *accept),
            Body::Accepted(ballot) => self.on_accepted(sender, ballot),
            Body::Nack(nack) => self.on_nack(nack),
            Body::Decide(view) => self.on_decide(*view),
            Body::Append(append) => self.on_append(sender, append),
            Body::Commit(commit) => self.on_commit(sender, commit),
            Body::Fetch => self.on_fetch(sender),
            Body::Learn(entry) => self.learn(entry),
            Body::Forward(forward) => self.on_forward(sender, forward),
            Body::ForwardAnswer(answer) => self.on_forward_answer(answer),
            Body::CatchUp(request) => self.on_catch_up(sender, request),
            Body::CaughtUp(answer) => self.on_caught_up(*answer),
        }
    }

    /// This process, as the sender of a message.
    pub(super) fn sender(&self) -> Sender {
        Sender { id: self.id, address: self.options.address }
    }

    /// Sends to one process, which may be this one.
    pub(super) fn send(&mut self, to: Sender, body: Body) {
        let from = self.sender();
        self.outbox.send(from, to, body);
    }

    /// Sends to the process at an address, which may be this one's; only the member `target` takes the message, if given.
    pub(super) fn send_to_address(&mut self, to: SocketAddr, target: Option<MemberId>, body: Body) {
        let from = self.sender();
        self.outbox.send_to_address(from, to, target, body);
    }
}
