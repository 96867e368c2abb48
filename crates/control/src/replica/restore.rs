//! The durable state of a replica: written as a snapshot, and restored from the records of the disk.

use super::Replica;
use crate::record::{Record, RecordBody, Snapshot};
use crate::state::State;
use crate::types::{EntryId, View};

impl Replica {
    /// The records that hold the whole durable state, for the host to rewrite its log with. They must reach the disk in
    /// order with the writes that were asked for before and after.
    pub fn snapshot_records(&self) -> Vec<Record> {
        let snapshot = Snapshot {
            id: self.id,
            bootstrap: self.bootstrap.clone(),
            view: self.view.clone(),
            promised: self.acceptor.promised,
            accepted: self.acceptor.accepted.clone(),
            // A replica whose state was replaced must not count as one that holds the chain's after a restart.
            matched: self.chain.matched && !self.chain.state_replaced,
            complete: self.state.complete,
            committed: self.chain.committed,
            headers: self.state.headers(),
            entries: self.state.entries(),
        };
        // Records of their own, so that a snapshot without any can be read by earlier builds. They follow the snapshot:
        // what has its number is skipped by none that knows them.
        let gone = self.discovery.gone_machines();
        let gone = gone.map(|address| RecordBody::MachineGone { address });
        let bodies = std::iter::once(RecordBody::Snapshot(Box::new(snapshot))).chain(gone);
        bodies.map(|body| Record { number: self.disk.number, body }).collect()
    }

    /// Replays records in order. A snapshot holds all up to its number: lower ones after it are skipped, and so is an
    /// earlier snapshot.
    pub(super) fn replay(&mut self, records: Vec<Record>) {
        for record in records {
            let is_superseded = match record.body {
                RecordBody::Snapshot(_) | RecordBody::MachineGone { .. } => record.number < self.disk.number,
                _ => record.number <= self.disk.number,
            };
            if is_superseded {
                continue;
            }
            self.disk.number = self.disk.number.max(record.number);
            self.replay_record(record.body);
        }
    }

    fn replay_record(&mut self, body: RecordBody) {
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
                self.chain.state_replaced |= self.state.install(&transfer);
            }
            RecordBody::Appended { entry } => self.state.append(entry),
            RecordBody::Committed(id) => self.replay_committed(id),
            RecordBody::Snapshot(snapshot) => self.replay_snapshot(*snapshot),
            RecordBody::MachineGone { address } => self.discovery.record_gone(address),
            RecordBody::CaughtUp { transfer } => {
                self.state.install(&transfer);
                self.replay_committed(self.state.last());
            }
            // Records of an instance or view that later records replaced.
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
        self.state = State::restored(snapshot.complete, snapshot.headers, snapshot.entries);
        self.replay_committed(snapshot.committed);
    }

    fn replay_committed(&mut self, id: EntryId) {
        if id.position <= self.chain.committed.position || !self.state.contains(id) {
            return;
        }
        self.chain.committed = id;
        self.committed = self.state.entry(id.position).cloned().or(self.committed.take());
        self.state.discard_committed_bytes(id.position);
    }

    /// Changes the durable state as entering a view does: nothing promised in the old instance binds any more, and the
    /// state counts as the chain's if it is the one with which the view begins.
    pub(super) fn enter(&mut self, view: View) {
        self.acceptor.clear();
        self.chain.matched = view.chain_index(self.id).is_some() && self.state.last() == view.start;
        self.chain.state_replaced = false;
        if self.chain.matched {
            self.state.complete = view.epoch;
        }
        self.view = view;
    }
}
