//! The acceptor's side of the agreement on the next view.
//!
//! One single-decree Paxos instance for each epoch: the voters of a view decide on the one after it. A promise also
//! seals: a sealed replica takes no more entries in its view, so the ranks told in a majority of promises bound all
//! that was acknowledged in it.

use crate::disk::Effect;
use crate::message::{Accept, Body, Install, Nack, Prepare, Promise, Sender};
use crate::record::RecordBody;
use crate::replica::{Output, Replica};
use crate::types::{Ballot, Now, Rank, StateTransfer, View};

/// What binds this voter in the instance for the next view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Acceptor {
    pub(crate) promised: Option<Ballot>,
    pub(crate) accepted: Option<(Ballot, View)>,
    /// When it was last bound anew.
    pub(crate) at: Now,
}

impl Acceptor {
    pub(crate) fn promise(&mut self, now: Now, ballot: Ballot) {
        self.promised = self.promised.max(Some(ballot));
        self.at = now;
    }

    pub(crate) fn accept(&mut self, now: Now, ballot: Ballot, next: View) {
        self.promise(now, ballot);
        self.accepted = Some((ballot, next));
    }

    pub(crate) fn clear(&mut self) {
        *self = Acceptor::default();
    }

    /// A promise seals against writes in the view that is to end.
    pub(crate) fn sealed(&self) -> bool {
        self.promised.is_some()
    }
}

impl Replica {
    /// Whether the sender votes in the view's instance. The first view is decided by the seeds' addresses.
    pub(crate) fn is_voter(&self, view: &View, sender: Sender) -> bool {
        if view.epoch == 0 {
            self.electorate().contains(&sender.address)
        } else {
            view.member(sender.id).is_some()
        }
    }

    /// The votes that decide in the view's instance.
    pub(crate) fn majority(&self, view: &View) -> usize {
        if view.epoch == 0 {
            self.electorate().len() / 2 + 1
        } else {
            view.majority()
        }
    }

    pub(crate) fn on_prepare(&mut self, sender: Sender, prepare: Prepare) {
        if !self.reach_instance(sender, &prepare.view) || !self.votes_with(sender) {
            return;
        }
        if !self.bind(sender, prepare.ballot) {
            return;
        }
        let epoch = self.view.epoch;
        let body = Body::Promise(Box::new(self.promise_to(prepare.ballot, prepare.rank)));
        let record = RecordBody::Promised { epoch, ballot: prepare.ballot };
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

    pub(crate) fn on_install(&mut self, sender: Sender, install: Install) {
        let able = self.may_vote() && self.reach_instance(sender, &install.view);
        if !able || !self.bind(sender, install.ballot) {
            return;
        }
        let transfer = StateTransfer { complete: self.view.epoch, ..install.transfer };
        if !self.state.install(&transfer) {
            return;
        }
        self.chain.replaced = true;
        let record = RecordBody::Installed { epoch: self.view.epoch, ballot: install.ballot, transfer };
        let body = Body::Installed(install.ballot);
        self.disk.stage(record, Some(Effect::Send { to: sender, body }));
    }

    pub(crate) fn on_accept(&mut self, sender: Sender, accept: Accept) {
        if !self.reach_instance(sender, &accept.view) || !self.votes_with(sender) {
            return;
        }
        if !self.bind(sender, accept.ballot) {
            return;
        }
        self.acceptor.accept(self.now, accept.ballot, accept.next.clone());
        let next = Box::new(accept.next);
        let record = RecordBody::Accepted { epoch: self.view.epoch, ballot: accept.ballot, next };
        let body = Body::Accepted(accept.ballot);
        self.disk.stage(record, Some(Effect::Send { to: sender, body }));
    }

    /// Brings this process to the instance that a proposer speaks of; tells the proposer if that one is over.
    fn reach_instance(&mut self, sender: Sender, view: &View) -> bool {
        if view.epoch > self.view.epoch {
            self.adopt(view.clone());
        }
        if view.epoch < self.view.epoch {
            self.send(sender, Body::Decide(Box::new(self.view.clone())));
            return false;
        }
        true
    }

    /// Whether this process votes here, and the proposer may ask it to.
    fn votes_with(&self, proposer: Sender) -> bool {
        self.is_voter(&self.view, self.sender()) && self.is_voter(&self.view, proposer)
    }

    /// Takes the ballot unless a higher one was promised.
    fn bind(&mut self, sender: Sender, ballot: Ballot) -> bool {
        self.proposer.see(ballot);
        if let Some(promised) = self.acceptor.promised.filter(|promised| *promised > ballot) {
            self.send(sender, Body::Nack(Nack { refused: ballot, promised }));
            return false;
        }
        self.acceptor.promise(self.now, ballot);
        true
    }

    pub(crate) fn on_decide(&mut self, view: View) {
        if view.epoch > self.view.epoch {
            self.adopt(view);
        }
    }

    /// Enters a decided view.
    pub(crate) fn adopt(&mut self, view: View) {
        let epoch = view.epoch;
        self.check_view(&view);
        self.enter(view.clone());
        if !self.chain.matched {
            self.state.release_all();
        }
        self.chain.begin(self.now);
        self.proposer.abandon();
        self.catch_up.reset();
        self.waiting.clear();
        self.peers.enter(self.now, &self.view, self.id);
        let record = RecordBody::Entered(Box::new(view.clone()));
        self.disk.stage(record, Some(Effect::Entered { epoch }));
        self.output(Output::ViewChanged(view));
        self.drive_submits();
    }
}
