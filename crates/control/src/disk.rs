//! Writes to the disk: one at a time, in order, and what may be said only once they are synced.

use crate::message::{Body, Sender};
use crate::record::{Record, RecordBody};
use crate::replica::WriteId;
use crate::types::{EntryId, Now};
use std::time::Duration;

/// What follows from a sync.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// Something may be said.
    Send { to: Sender, body: Body },
    /// An entry of the chain in that view is on this disk.
    Stored { epoch: u64, id: EntryId },
    /// That view is entered.
    Entered { epoch: u64 },
    /// This process has an identity that lasts.
    Identified,
}

/// A write that was handed to the host.
#[derive(Clone, Debug)]
struct Flight {
    write_id: WriteId,
    records: Vec<Record>,
    effects: Vec<Effect>,
    since: Now,
}

/// The queue to the disk.
#[derive(Clone, Debug)]
pub(crate) struct Disk {
    /// Without a disk everything counts at once.
    volatile: bool,
    /// The number of the last record.
    pub(crate) number: u64,
    write_id: u64,
    records: Vec<Record>,
    effects: Vec<Effect>,
    flight: Option<Flight>,
    ready: Vec<Effect>,
    refused: Option<Now>,
    /// When a write was last handed to the host.
    written: Now,
}

impl Disk {
    pub(crate) fn new(volatile: bool, number: u64) -> Self {
        Disk {
            volatile,
            number,
            write_id: 0,
            records: Vec::new(),
            effects: Vec::new(),
            flight: None,
            ready: Vec::new(),
            refused: None,
            written: Now::ZERO,
        }
    }

    /// Something to be kept, and what follows from it.
    pub(crate) fn stage(&mut self, body: RecordBody, effect: Option<Effect>) {
        self.number += 1;
        if !self.volatile {
            self.records.push(Record { number: self.number, body });
        }
        if let Some(effect) = effect {
            self.after(effect);
        }
    }

    /// What follows once all that was staged before is synced.
    pub(crate) fn after(&mut self, effect: Effect) {
        match &mut self.flight {
            _ if !self.records.is_empty() => self.effects.push(effect),
            Some(flight) => flight.effects.push(effect),
            None => self.ready.push(effect),
        }
    }

    /// The next write, if one is due.
    pub(crate) fn next_write(&mut self, now: Now, retry: Duration) -> Option<(WriteId, Vec<Record>)> {
        let waits = self.refused.is_some_and(|at| now < at + retry);
        if self.flight.is_some() || self.records.is_empty() || waits {
            return None;
        }
        self.write_id += 1;
        self.written = now;
        let write_id = WriteId(self.write_id);
        let records = std::mem::take(&mut self.records);
        let effects = std::mem::take(&mut self.effects);
        self.flight = Some(Flight { write_id, records: records.clone(), effects, since: now });
        Some((write_id, records))
    }

    /// A write is synced: its records.
    pub(crate) fn persisted(&mut self, write_id: WriteId) -> Option<Vec<Record>> {
        let flight = self.flight.take_if(|flight| flight.write_id == write_id)?;
        self.ready.extend(flight.effects);
        self.refused = None;
        Some(flight.records)
    }

    /// A write was refused: its records wait, before all later ones.
    pub(crate) fn refuse(&mut self, now: Now, write_id: WriteId) {
        if self.flight.as_ref().is_none_or(|flight| flight.write_id != write_id) {
            return;
        }
        if let Some(mut flight) = self.flight.take() {
            flight.records.append(&mut self.records);
            flight.effects.append(&mut self.effects);
            self.records = flight.records;
            self.effects = flight.effects;
            self.refused = Some(now);
        }
    }

    /// What may be done now.
    pub(crate) fn take_ready(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.ready)
    }

    /// Whether something may be done now.
    pub(crate) fn is_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Something waits to be written or is under way.
    pub(crate) fn is_busy(&self) -> bool {
        self.flight.is_some() || !self.records.is_empty()
    }

    /// Nothing was written for so long: whether the disk still takes writes isn't known.
    pub(crate) fn is_unproven(&self, now: Now, limit: Duration) -> bool {
        !self.volatile && !self.is_busy() && now >= self.written + limit
    }

    /// A write was refused or is under way for too long.
    pub(crate) fn sick(&self, now: Now, limit: Duration) -> bool {
        self.refused.is_some() || self.flight.as_ref().is_some_and(|flight| now > flight.since + limit)
    }
}
