//! The thread that writes to the disk, the only one that blocks on it.
//!
//! Records are written in order. Those that wait at the same time are written and synced together.

use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread;

use crankpick_control::Record;
use crankpick_storage::Log;
use snafu::ResultExt;
use tokio::sync::mpsc::Sender;

use crate::error::{ControlPlaneError, RecordSnafu, StorageSnafu, ThreadSnafu};
use crate::event::Event;

/// The most writes that wait; beyond it a write is rejected.
const MAX_QUEUED_WRITES: usize = 1_024;

/// A request to the disk's thread.
pub enum WriteRequest {
    /// Append records.
    Append {
        /// The id of this write, repeated in its result.
        write_id: u64,
        /// The records to append.
        records: Vec<Record>,
    },
    /// Replace the whole contents.
    Rewrite {
        /// The records that replace it.
        records: Vec<Record>,
    },
}

/// The result of a write.
#[derive(Clone, Copy, Debug)]
pub enum WriteResult {
    /// The records are durable.
    Synced {
        /// The id of the write.
        write_id: u64,
        /// The size of the file, in bytes.
        bytes: u64,
    },
    /// None of the records was stored.
    Failed {
        /// The id of the write.
        write_id: u64,
    },
    /// A rewrite has ended, successfully or not.
    Rewritten {
        /// The size of the file, in bytes.
        bytes: u64,
    },
}

/// A handle to the disk's thread. The thread ends when the handle is dropped.
pub struct Disk {
    writes: SyncSender<WriteRequest>,
}

impl Disk {
    /// Reads the records in `directory` and starts the thread. Results are sent as [`Event::WriteFinished`].
    ///
    /// # Errors
    ///
    /// If the log can't be opened, a record can't be decoded, or the thread can't be started.
    pub fn open(directory: PathBuf, events: Sender<Event>) -> Result<(Disk, Vec<Record>), ControlPlaneError> {
        let (log, stored, _report) = Log::open(&directory).context(StorageSnafu)?;
        let records: Result<Vec<Record>, _> = stored.iter().map(|bytes| Record::decode(bytes)).collect();
        let records = records.context(RecordSnafu)?;
        let (writes, queue) = sync_channel(MAX_QUEUED_WRITES);
        thread::Builder::new()
            .name("disk".into())
            .spawn(move || write_all(log, &queue, &events))
            .context(ThreadSnafu)?;
        Ok((Disk { writes }, records))
    }

    /// Queues a write. Returns false if the queue is full or the thread has ended.
    pub fn write(&self, request: WriteRequest) -> bool {
        match self.writes.try_send(request) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

fn write_all(mut log: Log, queue: &Receiver<WriteRequest>, events: &Sender<Event>) {
    let mut next = queue.recv().ok();
    while let Some(request) = next.take() {
        match request {
            WriteRequest::Append { write_id, records } => {
                let (write_ids, records, unmerged) = batch_appends(write_id, records, queue);
                next = unmerged;
                append(&mut log, &write_ids, &records, events);
            }
            WriteRequest::Rewrite { records } => rewrite(&mut log, &records, events),
        }
        if next.is_none() {
            next = queue.recv().ok();
        }
    }
}

/// Merges the appends that wait into one write with one sync. Returns the ids of the merged writes, their records, and a
/// request that can't be merged.
fn batch_appends(
    first: u64,
    mut records: Vec<Record>,
    queue: &Receiver<WriteRequest>,
) -> (Vec<u64>, Vec<Record>, Option<WriteRequest>) {
    let mut write_ids = vec![first];
    while let Ok(request) = queue.try_recv() {
        match request {
            WriteRequest::Append { write_id, records: more } => {
                write_ids.push(write_id);
                records.extend(more);
            }
            other => return (write_ids, records, Some(other)),
        }
    }
    (write_ids, records, None)
}

fn encode(records: &[Record]) -> Option<Vec<Vec<u8>>> {
    records.iter().map(|record| record.encode().ok()).collect()
}

fn append(log: &mut Log, write_ids: &[u64], records: &[Record], events: &Sender<Event>) {
    let synced = encode(records).is_some_and(|encoded| {
        let slices: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        log.append(&slices).is_ok()
    });
    let bytes = log.size();
    for &write_id in write_ids {
        let result =
            if synced { WriteResult::Synced { write_id, bytes } } else { WriteResult::Failed { write_id } };
        notify(events, result);
    }
}

fn rewrite(log: &mut Log, records: &[Record], events: &Sender<Event>) {
    if let Some(encoded) = encode(records) {
        let slices: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        // After an error the former file stays in force: nothing is lost, and a later rewrite tries again.
        let _kept = log.rewrite(&slices);
    }
    notify(events, WriteResult::Rewritten { bytes: log.size() });
}

fn notify(events: &Sender<Event>, result: WriteResult) {
    // The receiver is dropped at shutdown only.
    let _ended = events.blocking_send(Event::WriteFinished(result));
}
