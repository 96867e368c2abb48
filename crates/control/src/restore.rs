//! What the records of the disk say, replayed.

use crate::record::{Record, RecordBody, Snapshot};
use crate::replica::Replica;
use crate::state::State;
use crate::types::{EntryId, View};

impl Replica {
    /// Replays records in order. A snapshot holds all up to its number: lower ones after it are skipped, and so is an
    /// earlier snapshot.
    pub(crate) fn replay(&mut self, records: Vec<Record>) {
        for record in records {
            let superseded = match record.body {
                RecordBody::Snapshot(_) => record.number < self.disk.number,
                _ => record.number <= self.disk.number,
            };
            if superseded {
                continue;
            }
            self.disk.number = self.disk.number.max(record.number);
            self.replay_one(record.body);
        }
    }

    fn replay_one(&mut self, body: RecordBody) {
        match body {
            RecordBody::Identity { id, bootstrap } => {
                self.id = id;
                self.bootstrap = bootstrap;
            }
            RecordBody::Promised { epoch, ballot } if epoch == self.view.epoch => {
                self.acceptor.promise(self.now, ballot);
            }
            RecordBody::Accepted { epoch, ballot, next } if epoch == self.view.epoch => {
                self.acceptor.accept(self.now, ballot, *next);
            }
            RecordBody::Entered(view) if view.epoch > self.view.epoch => self.enter(*view),
            RecordBody::Installed { epoch, ballot, transfer } if epoch == self.view.epoch => {
                self.acceptor.promise(self.now, ballot);
                self.chain.replaced |= self.state.install(&transfer);
            }
            RecordBody::Appended { entry } => self.state.append(entry),
            RecordBody::Committed(id) => self.replay_committed(id),
            RecordBody::Snapshot(snapshot) => self.replay_snapshot(*snapshot),
            RecordBody::CaughtUp { transfer } => {
                self.state.install(&transfer);
                self.replay_committed(self.state.last());
            }
            RecordBody::Promised { .. }
            | RecordBody::Accepted { .. }
            | RecordBody::Entered(_)
            | RecordBody::Installed { .. } => {}
        }
    }

    fn replay_snapshot(&mut self, snapshot: Snapshot) {
        self.id = snapshot.id;
        self.bootstrap = snapshot.bootstrap;
        self.view = snapshot.view;
        self.acceptor.promised = snapshot.promised;
        self.acceptor.accepted = snapshot.accepted;
        self.chain.matched = snapshot.matched;
        self.state = State::restored(snapshot.complete, snapshot.changes, snapshot.entries);
        self.replay_committed(snapshot.committed);
    }

    fn replay_committed(&mut self, id: EntryId) {
        if id.position <= self.chain.committed.position || !self.state.contains(id) {
            return;
        }
        self.chain.committed = id;
        self.committed = self.state.entry(id.position).cloned().or(self.committed.take());
        self.state.release(id.position);
    }

    /// What entering a view changes in what is kept: nothing of the old instance binds any more, and the state counts
    /// as the chain's if it is the one the chain begins with.
    pub(crate) fn enter(&mut self, view: View) {
        self.acceptor.clear();
        self.chain.matched = view.chain_index(self.id).is_some() && self.state.last() == view.start;
        self.chain.replaced = false;
        if self.chain.matched {
            self.state.complete = view.epoch;
        }
        self.view = view;
    }
}
