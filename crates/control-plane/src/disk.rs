//! The disk thread, the only one that blocks on disk I/O.
//!
//! Records are written in order. Queued appends are written and synced as one batch.

use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread;

use crankpick_control::Record;
use crankpick_storage::{Log, Opened};
use snafu::ResultExt;
use tokio::sync::mpsc::Sender;

use crate::disk_message::{WriteRequest, WriteResult};
use crate::error::{ControlPlaneError, RecordSnafu, StorageSnafu, ThreadSnafu};
use crate::event::Event;

/// The capacity of the write queue; further writes are rejected.
const MAX_QUEUED_WRITES: usize = 1_024;

/// How to open the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenMode {
    /// Opens the existing file.
    InPlace,
    /// Copies the records to a new file, after a failed attempt; see [`Log::open_by_copy`].
    ByCopy,
}

/// A kind of record that is stored in a log of its own.
pub trait StoredRecord: Send + Sized + 'static {
    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// [`ControlPlaneError::Record`] if the encoder fails.
    fn encode(&self) -> Result<Vec<u8>, ControlPlaneError>;

    /// Decodes a record from the bytes that [`StoredRecord::encode`] made.
    ///
    /// # Errors
    ///
    /// [`ControlPlaneError::Record`] if the bytes aren't a record.
    fn decode(bytes: &[u8]) -> Result<Self, ControlPlaneError>;

    /// The event that tells the host of a finished write.
    fn write_finished(result: WriteResult) -> Event;
}

impl StoredRecord for Record {
    fn encode(&self) -> Result<Vec<u8>, ControlPlaneError> {
        Record::encode(self).context(RecordSnafu)
    }

    fn decode(bytes: &[u8]) -> Result<Self, ControlPlaneError> {
        Record::decode(bytes).context(RecordSnafu)
    }

    fn write_finished(result: WriteResult) -> Event {
        Event::WriteFinished(result)
    }
}

/// A handle to the disk thread of one log. The thread ends when the handle is dropped.
pub struct Disk<R = Record> {
    writes: SyncSender<WriteRequest<R>>,
}

impl<R: StoredRecord> Disk<R> {
    /// Reads the records in `directory` and starts the thread. Results are sent as [`StoredRecord::write_finished`] says.
    ///
    /// # Errors
    ///
    /// If the log can't be opened, a record can't be decoded, or the thread can't be started.
    pub fn open(
        directory: &Path,
        mode: OpenMode,
        events: Sender<Event>,
    ) -> Result<(Disk<R>, Vec<R>), ControlPlaneError> {
        let opened = match mode {
            OpenMode::InPlace => Log::open(directory),
            OpenMode::ByCopy => Log::open_by_copy(directory),
        };
        let Opened { log, records: stored, .. } = opened.context(StorageSnafu)?;
        let records = stored.iter().map(|bytes| R::decode(bytes)).collect::<Result<Vec<R>, _>>()?;
        let (writes, queue) = sync_channel(MAX_QUEUED_WRITES);
        thread::Builder::new()
            .name("disk".into())
            .spawn(move || write_all(log, &queue, &events))
            .context(ThreadSnafu)?;
        Ok((Disk { writes }, records))
    }

    /// Queues a write. Returns false if the queue is full or the thread has ended.
    pub fn write(&self, request: WriteRequest<R>) -> bool {
        match self.writes.try_send(request) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

fn write_all<R: StoredRecord>(mut log: Log, queue: &Receiver<WriteRequest<R>>, events: &Sender<Event>) {
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

/// Merges the queued appends into one write with one sync. Returns the ids of the merged writes, their records, and the
/// first request that can't be merged.
fn batch_appends<R>(
    first: u64,
    mut records: Vec<R>,
    queue: &Receiver<WriteRequest<R>>,
) -> (Vec<u64>, Vec<R>, Option<WriteRequest<R>>) {
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

fn encode<R: StoredRecord>(records: &[R]) -> Result<Vec<Vec<u8>>, ControlPlaneError> {
    records.iter().map(R::encode).collect()
}

fn append<R: StoredRecord>(log: &mut Log, write_ids: &[u64], records: &[R], events: &Sender<Event>) {
    let appended = encode(records).and_then(|encoded| {
        let slices: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        log.append(&slices).context(StorageSnafu)
    });
    let bytes = log.size();
    for &write_id in write_ids {
        let result = match &appended {
            Ok(()) => WriteResult::Synced { write_id, bytes },
            Err(error) => WriteResult::Failed { write_id, cause: error.to_string() },
        };
        notify::<R>(events, result);
    }
}

fn rewrite<R: StoredRecord>(log: &mut Log, records: &[R], events: &Sender<Event>) {
    let rewritten = encode(records).and_then(|encoded| {
        let slices: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        log.rewrite(&slices).context(StorageSnafu)
    });
    let result = match rewritten {
        Ok(()) => WriteResult::Rewritten { bytes: log.size() },
        // The previous file stays in use: no data is lost, and a later rewrite retries.
        Err(error) => WriteResult::RewriteFailed { cause: error.to_string() },
    };
    notify::<R>(events, result);
}

fn notify<R: StoredRecord>(events: &Sender<Event>, result: WriteResult) {
    // The receiver is dropped only at shutdown.
    let _ended = events.blocking_send(R::write_finished(result));
}
