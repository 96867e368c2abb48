//! The acceptor's side of the agreement on the next view (`docs/control.md`, "The view").

use super::Replica;
use crate::disk::Effect;
use crate::message::{Accept, Body, Install, Nack, Prepare, Promise, Sender};
use crate::output::Output;
use crate::record::RecordBody;
use crate::types::{Ballot, Rank, StateTransfer, View};

impl Replica {
    /// Whether the sender votes in the view's instance. The first view is decided by the seeds' addresses.
    pub(super) fn is_voter(&self, view: &View, sender: Sender) -> bool {
        if view.epoch == 0 {
            self.electorate().contains(&sender.address)
        } else {
            view.member(sender.id).is_some()
        }
    }

    /// The number of votes that decide in the view's instance.
    pub(super) fn majority(&self, view: &View) -> usize {
        if view.epoch == 0 {
            self.electorate().len() / 2 + 1
        } else {
            view.majority()
        }
    }

    pub(super) fn on_prepare(&mut self, sender: Sender, prepare: Prepare) {
        if !self.synchronize_instance(sender, &prepare.view) || !self.is_vote_valid(sender) {
            return;
        }
        if !self.promise_ballot(sender, prepare.ballot) {
            return;
        }
        let promise = self.promise_to(prepare.ballot, prepare.rank);
        let record = RecordBody::Promised { epoch: self.view.epoch, ballot: prepare.ballot };
        let body = Body::Promise(Box::new(promise));
        self.disk.stage(record, Some(Effect::Send { to: sender, body }));
    }

    fn promise_to(&self, ballot: Ballot, proposer: Rank) -> Promise {
        let rank = self.state.rank();
        let state = (rank > proposer).then(|| self.state.transfer(proposer.last, rank.complete));
        Promise {
            ballot,
            zone: self.options.zone.clone(),
            rank,
            accepted: self.acceptor.accepted.clone(),
            state,
        }
    }

    pub(super) fn on_install(&mut self, sender: Sender, install: Install) {
        let able = self.may_vote() && self.synchronize_instance(sender, &install.view);
        if !able || !self.promise_ballot(sender, install.ballot) {
            return;
        }
        let transfer = StateTransfer { complete: self.view.epoch, ..install.transfer };
        if !self.state.install(&transfer) {
            return;
        }
        self.chain.state_replaced = true;
        let record = RecordBody::Installed { epoch: self.view.epoch, ballot: install.ballot, transfer };
        let body = Body::Installed(install.ballot);
        self.disk.stage(record, Some(Effect::Send { to: sender, body }));
    }

    pub(super) fn on_accept(&mut self, sender: Sender, accept: Accept) {
        if !self.synchronize_instance(sender, &accept.view) || !self.is_vote_valid(sender) {
            return;
        }
        if !self.promise_ballot(sender, accept.ballot) {
            return;
        }
        self.acceptor.accept(self.now, accept.ballot, accept.next.clone());
        let next = Box::new(accept.next);
        let record = RecordBody::Accepted { epoch: self.view.epoch, ballot: accept.ballot, next };
        let body = Body::Accepted(accept.ballot);
        self.disk.stage(record, Some(Effect::Send { to: sender, body }));
    }

    /// Enters the view that a proposer is to replace, if it is newer. False if that view is already replaced: the
    /// proposer is sent the newer one.
    fn synchronize_instance(&mut self, sender: Sender, view: &View) -> bool {
        if view.epoch > self.view.epoch {
            self.adopt(view.clone());
        }
        if view.epoch < self.view.epoch {
            self.send(sender, Body::Decide(Box::new(self.view.clone())));
            return false;
        }
        true
    }

    /// Whether both this process and the proposer vote in this instance.
    fn is_vote_valid(&self, proposer: Sender) -> bool {
        self.is_voter(&self.view, self.sender()) && self.is_voter(&self.view, proposer)
    }

    /// Promises a ballot. False if a higher one was promised: the proposer gets a [`Nack`].
    fn promise_ballot(&mut self, sender: Sender, ballot: Ballot) -> bool {
        self.proposer.observe(ballot);
        if let Some(promised) = self.acceptor.promised.filter(|promised| *promised > ballot) {
            self.send(sender, Body::Nack(Nack { refused: ballot, promised }));
            return false;
        }
        self.acceptor.promise(self.now, ballot);
        true
    }

    pub(super) fn on_decide(&mut self, view: View) {
        if view.epoch > self.view.epoch {
            self.adopt(view);
        }
    }

    /// Enters a decided view.
    fn adopt(&mut self, view: View) {
        let epoch = view.epoch;
        self.check_view(&view);
        self.enter(view.clone());
        if !self.chain.matched {
            self.state.discard_all_but_newest();
        }
        self.chain.begin(self.now);
        self.proposer.abandon();
        self.catch_up.reset();
        self.blocked_commands.clear();
        self.peers.enter(self.now, &self.view, self.id);
        let record = RecordBody::Entered(Box::new(view.clone()));
        self.disk.stage(record, Some(Effect::ViewEntered { epoch }));
        self.outbox.push(Output::ViewChanged(view));
        self.forward_pending_commands();
    }
}
