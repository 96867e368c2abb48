//! The thread that writes to the disk: it alone waits for it. Records come in order; what came together is synced together.

use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread;

use crankpick_control::Record;
use crankpick_storage::Log;
use snafu::ResultExt;
use tokio::sync::mpsc::Sender;

use crate::error::{ControlPlaneError, RecordSnafu, StorageSnafu, ThreadSnafu};
use crate::event::Event;

/// Writes under way at the most; past that the disk counts as refusing.
const QUEUE: usize = 1_024;

/// What the disk is asked for.
pub enum Write {
    /// Append records; the answer names the ticket.
    Append {
        /// Names this write in its answer.
        write_id: u64,
        /// What is appended.
        records: Vec<Record>,
    },
    /// Replace all that is there.
    Rewrite {
        /// What replaces it.
        records: Vec<Record>,
    },
}

/// How a write ended.
#[derive(Clone, Copy, Debug)]
pub enum Written {
    /// It will outlast a loss of power. So many bytes are on disk now.
    Synced {
        /// The write.
        write_id: u64,
        /// The size of the file.
        bytes: u64,
    },
    /// The disk took nothing.
    Refused {
        /// The write.
        write_id: u64,
    },
    /// The file was rewritten, or not.
    Rewritten {
        /// The size of the file.
        bytes: u64,
    },
}

/// The disk's thread, as its owner sees it.
pub struct Disk {
    writes: SyncSender<Write>,
}

impl Disk {
    /// Reads what is on disk and starts the thread.
    pub fn open(folder: PathBuf, events: Sender<Event>) -> Result<(Disk, Vec<Record>), ControlPlaneError> {
        let (log, stored, _report) = Log::open(&folder).context(StorageSnafu)?;
        let records: Result<Vec<Record>, _> = stored.iter().map(|bytes| Record::decode(bytes)).collect();
        let records = records.context(RecordSnafu)?;
        let (writes, queue) = sync_channel(QUEUE);
        thread::Builder::new()
            .name("disk".into())
            .spawn(move || write_all(log, &queue, &events))
            .context(ThreadSnafu)?;
        Ok((Disk { writes }, records))
    }

    /// Hands a write over; false where too many wait.
    pub fn write(&self, write: Write) -> bool {
        match self.writes.try_send(write) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

fn write_all(mut log: Log, queue: &Receiver<Write>, events: &Sender<Event>) {
    let mut next = queue.recv().ok();
    while let Some(write) = next.take() {
        match write {
            Write::Append { write_id, records } => {
                let (tickets, records, left) = gather(write_id, records, queue);
                next = left;
                append(&mut log, &tickets, &records, events);
            }
            Write::Rewrite { records } => rewrite(&mut log, &records, events),
        }
        if next.is_none() {
            next = queue.recv().ok();
        }
    }
}

/// All that waits to be appended goes in one write with one sync.
fn gather(
    first: u64,
    mut records: Vec<Record>,
    queue: &Receiver<Write>,
) -> (Vec<u64>, Vec<Record>, Option<Write>) {
    let mut tickets = vec![first];
    while let Ok(write) = queue.try_recv() {
        match write {
            Write::Append { write_id, records: more } => {
                tickets.push(write_id);
                records.extend(more);
            }
            other => return (tickets, records, Some(other)),
        }
    }
    (tickets, records, None)
}

fn encode(records: &[Record]) -> Option<Vec<Vec<u8>>> {
    records.iter().map(|record| record.encode().ok()).collect()
}

fn append(log: &mut Log, tickets: &[u64], records: &[Record], events: &Sender<Event>) {
    let synced = encode(records).is_some_and(|encoded| {
        let slices: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        log.append(&slices).is_ok()
    });
    let bytes = log.size();
    for &write_id in tickets {
        let written =
            if synced { Written::Synced { write_id, bytes } } else { Written::Refused { write_id } };
        tell(events, written);
    }
}

fn rewrite(log: &mut Log, records: &[Record], events: &Sender<Event>) {
    if let Some(encoded) = encode(records) {
        let slices: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        // A disk that refuses keeps the file it had: nothing is lost, and the next write tries again.
        let _kept = log.rewrite(&slices);
    }
    tell(events, Written::Rewritten { bytes: log.size() });
}

fn tell(events: &Sender<Event>, written: Written) {
    // The owner is gone at shutdown alone.
    let _ended = events.blocking_send(Event::Disk(written));
}
