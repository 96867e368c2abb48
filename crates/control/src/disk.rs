//! Writes to the disk: one at a time and in order, and the effects that must wait until they are synced.

use std::time::Duration;

use crate::message::{Body, Sender};
use crate::record::{Record, RecordBody};
use crate::types::{CommandId, EntryId, Now, WriteId};

/// What follows once records are synced.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// A message may be sent.
    Send { to: Sender, body: Body },
    /// An entry of the chain of that epoch's view is synced.
    EntrySynced { epoch: u64, id: EntryId },
    /// The record of entering that epoch's view is synced.
    ViewEntered { epoch: u64 },
    /// This process's identity is synced.
    Identified,
    /// An operator's word that a machine is gone is synced.
    DepartureStored { key: CommandId },
}

/// A write that the host is carrying out.
#[derive(Clone, Debug)]
struct WriteInFlight {
    id: WriteId,
    records: Vec<Record>,
    effects: Vec<Effect>,
    started_at: Now,
}

/// The queue of records to the disk.
#[derive(Clone, Debug)]
pub(crate) struct Disk {
    /// The process has no disk: records count as synced at once.
    volatile: bool,
    /// The number of the newest record.
    pub(crate) number: u64,
    /// The id of the newest write.
    last_write: u64,
    /// Records that wait for the next write, and what follows from them.
    records: Vec<Record>,
    effects: Vec<Effect>,
    in_flight: Option<WriteInFlight>,
    ready_effects: Vec<Effect>,
    /// When the last write failed, if none has succeeded since.
    failed_at: Option<Now>,
    /// When a write was last handed to the host.
    last_write_at: Now,
}

impl Disk {
    /// An empty queue behind a record of that number.
    pub(crate) fn new(volatile: bool, number: u64) -> Self {
        Disk {
            volatile,
            number,
            last_write: 0,
            records: Vec::new(),
            effects: Vec::new(),
            in_flight: None,
            ready_effects: Vec::new(),
            failed_at: None,
            last_write_at: Now::ZERO,
        }
    }

    /// Queues a record, and the effect that follows once it is synced.
    pub(crate) fn stage(&mut self, body: RecordBody, effect: Option<Effect>) {
        self.number += 1;
        if !self.volatile {
            self.records.push(Record { number: self.number, body });
        }
        if let Some(effect) = effect {
            self.run_after_sync(effect);
        }
    }

    /// Queues an effect that follows once all records staged before are synced.
    fn run_after_sync(&mut self, effect: Effect) {
        match &mut self.in_flight {
            _ if !self.records.is_empty() => self.effects.push(effect),
            Some(write) => write.effects.push(effect),
            None => self.ready_effects.push(effect),
        }
    }

    /// Starts the next write, if one is due. A failed one is due again after the retry interval.
    pub(crate) fn next_write(
        &mut self,
        now: Now,
        retry_interval: Duration,
    ) -> Option<(WriteId, Vec<Record>)> {
        let backs_off = self.failed_at.is_some_and(|at| now < at + retry_interval);
        if self.in_flight.is_some() || self.records.is_empty() || backs_off {
            return None;
        }
        self.last_write += 1;
        self.last_write_at = now;
        let id = WriteId(self.last_write);
        let records = std::mem::take(&mut self.records);
        let effects = std::mem::take(&mut self.effects);
        self.in_flight = Some(WriteInFlight { id, records: records.clone(), effects, started_at: now });
        Some((id, records))
    }

    /// The write in flight is synced: makes its effects ready, and returns its records. `None` if another write is in
    /// flight.
    pub(crate) fn persisted(&mut self, id: WriteId) -> Option<Vec<Record>> {
        let write = self.in_flight.take_if(|write| write.id == id)?;
        self.ready_effects.extend(write.effects);
        self.failed_at = None;
        Some(write.records)
    }

    /// The write in flight has failed: its records go back to the front of the queue.
    pub(crate) fn write_failed(&mut self, now: Now, id: WriteId) {
        let Some(mut write) = self.in_flight.take_if(|write| write.id == id) else { return };
        write.records.append(&mut self.records);
        write.effects.append(&mut self.effects);
        self.records = write.records;
        self.effects = write.effects;
        self.failed_at = Some(now);
    }

    /// Removes and returns the effects that may be carried out.
    pub(crate) fn take_ready_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.ready_effects)
    }

    /// Whether effects may be carried out.
    pub(crate) fn has_ready_effects(&self) -> bool {
        !self.ready_effects.is_empty()
    }

    /// Whether records wait or a write is in flight.
    pub(crate) fn is_busy(&self) -> bool {
        self.in_flight.is_some() || !self.records.is_empty()
    }

    /// Whether no write was asked for within the interval: nobody knows whether the disk still takes writes.
    pub(crate) fn is_idle(&self, now: Now, interval: Duration) -> bool {
        !self.volatile && !self.is_busy() && now >= self.last_write_at + interval
    }

    /// Whether the last write failed, or the one in flight has taken longer than the timeout.
    pub(crate) fn is_unhealthy(&self, now: Now, timeout: Duration) -> bool {
        let is_stalled = self.in_flight.as_ref().is_some_and(|write| now > write.started_at + timeout);
        self.failed_at.is_some() || is_stalled
    }
}
