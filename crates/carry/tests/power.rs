//! The store on a disk whose power fails at or within any write, with unsynced data lost or kept at random.
//! The store must then contain exactly the acknowledged batches, and possibly the one in progress.

use std::io;
use std::sync::{Arc, Mutex};

use crankpick_carry::store::Store;
use crankpick_fleet::messages::Publication;
use crankpick_fleet::storage::{Batch, Disk, PersistentState};
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::StorageBackend;

#[derive(Clone, Debug)]
enum DiskOp {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

/// An in-memory disk that records the operations on it, in order.
#[derive(Clone, Debug, Default)]
struct RecordingDisk {
    bytes: Arc<Mutex<Vec<u8>>>,
    ops: Arc<Mutex<Vec<DiskOp>>>,
}

fn apply(bytes: &mut Vec<u8>, op: &DiskOp, limit: usize) {
    match op {
        DiskOp::Write(at, data) => {
            let data = &data[..limit.min(data.len())];
            let end = *at as usize + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*at as usize..end].copy_from_slice(data);
        }
        DiskOp::Length(length) => bytes.resize(*length as usize, 0),
        DiskOp::Sync => {}
    }
}

impl RecordingDisk {
    fn with_contents(bytes: Vec<u8>) -> Self {
        RecordingDisk { bytes: Arc::new(Mutex::new(bytes)), ops: Arc::default() }
    }

    fn record(&self, op: DiskOp) {
        apply(&mut self.bytes.lock().expect("not poisoned"), &op, usize::MAX);
        self.ops.lock().expect("not poisoned").push(op);
    }

    fn op_count(&self) -> usize {
        self.ops.lock().expect("not poisoned").len()
    }
}

impl StorageBackend for RecordingDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.bytes.lock().expect("not poisoned").len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let bytes = self.bytes.lock().expect("not poisoned");
        let range =
            bytes.get(offset as usize..offset as usize + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(range);
        Ok(())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.record(DiskOp::Length(length));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.record(DiskOp::Sync);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.record(DiskOp::Write(offset, data.to_vec()));
        Ok(())
    }
}

fn entry(index: u64, term: u64, size: usize) -> Entry {
    let mut entry = Entry::default();
    (entry.index, entry.term) = (index, term);
    entry.data = vec![index as u8; size].into();
    entry
}

fn hard(term: u64, vote: u64, commit: u64) -> Option<HardState> {
    let mut hard = HardState::default();
    (hard.term, hard.vote, hard.commit) = (term, vote, commit);
    Some(hard)
}

/// All kinds of writes: votes, entries, replacements of entries, snapshots and publications.
fn batches() -> Vec<Batch> {
    let mut snapshot = Snapshot::default();
    (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (1, 1);
    snapshot.data = vec![7; 300].into();
    let mut all = vec![Batch { hard: hard(1, 0, 1), snapshot: Some(snapshot.clone()), ..Batch::default() }];
    for step in 0..12_u64 {
        let first = 2 + step * 3;
        let entries =
            (first..first + 3).map(|index| entry(index, step + 1, 40 + 900 * (step as usize % 3))).collect();
        all.push(Batch { entries, hard: hard(step + 1, 5, first), ..Batch::default() });
        if step % 4 == 1 {
            // A new leader's entries replace the last two.
            let entries = vec![entry(first + 1, step + 2, 64), entry(first + 2, step + 2, 64)];
            all.push(Batch { entries, ..Batch::default() });
            let outs = (0..step).map(|number| format!("s-{number}")).collect();
            let taken = Publication { token: step, version: step, outs, owner: "n1".into() };
            all.push(Batch { taken: Some(taken), ..Batch::default() });
        }
        if step % 5 == 4 {
            snapshot.mut_metadata().index = first;
            snapshot.mut_metadata().term = step + 1;
            all.push(Batch { snapshot: Some(snapshot.clone()), ..Batch::default() });
        }
    }
    all
}

fn same(one: &PersistentState, other: &PersistentState) -> bool {
    one.seat == other.seat
        && one.taken == other.taken
        && one.roster == other.roster
        && (&one.log.hard, &one.log.snapshot, &one.log.entries)
            == (&other.log.hard, &other.log.snapshot, &other.log.entries)
}

/// The expected contents of the store after each batch, and the number of disk operations until then.
fn run_batches() -> (RecordingDisk, Vec<(usize, PersistentState)>) {
    let disk = RecordingDisk::default();
    let (mut store, mut state) = Store::with_backend(disk.clone()).expect("a new disk");
    let mut states = vec![(disk.op_count(), state.clone())];
    for batch in batches() {
        store.write(&batch).expect("room");
        state.apply(&batch);
        states.push((disk.op_count(), state.clone()));
    }
    // Not closed, as in a power failure.
    std::mem::forget(store);
    (disk, states)
}

#[test]
fn what_was_acknowledged_is_there_wherever_the_power_fails() {
    let (disk, states) = run_batches();
    let ops = disk.ops.lock().expect("not poisoned").clone();
    let mut rng = fastrand::Rng::with_seed(11);
    let first = states[0].0;
    let mut cuts = 0;
    for cut in first..=ops.len() {
        for _ in 0..3 {
            // All operations up to the last sync are kept; of those after it, any subset, possibly torn.
            let synced = ops[..cut].iter().rposition(|op| matches!(op, DiskOp::Sync)).map_or(0, |at| at + 1);
            let mut bytes = Vec::new();
            ops[..synced].iter().for_each(|op| apply(&mut bytes, op, usize::MAX));
            for op in &ops[synced..cut] {
                match rng.u32(0..3) {
                    0 => {}
                    1 => apply(&mut bytes, op, rng.usize(0..4_096)),
                    _ => apply(&mut bytes, op, usize::MAX),
                }
            }
            let (_, found) =
                Store::with_backend(RecordingDisk::with_contents(bytes)).expect("it opens after a power cut");
            let acked = states.iter().rposition(|(at, _)| *at <= cut).expect("the first");
            // The batch that was being written is there completely or not at all.
            let allowed = &states[acked..(acked + 2).min(states.len())];
            assert!(
                allowed.iter().any(|(_, state)| same(state, &found)),
                "cut after operation {cut}: {found:?}"
            );
            cuts += 1;
        }
    }
    assert!(cuts > 100, "{cuts} cuts");
}

/// A truncated file is rejected or contains everything. Data must never be missing silently.
#[test]
fn a_file_that_is_cut_anywhere_holds_all_or_is_refused() {
    let (disk, states) = run_batches();
    let whole = disk.bytes.lock().expect("not poisoned").clone();
    let last = &states.last().expect("the last").1;
    // Every length within the first and last pages, and one in each page between them.
    let ends = (0..4_096).chain(whole.len() - 4_096..whole.len());
    let (mut refused, mut held) = (0, 0);
    for length in ends.chain((4_096..whole.len()).step_by(4_099)) {
        let opened = std::panic::catch_unwind(|| {
            Store::with_backend(RecordingDisk::with_contents(whole[..length].to_vec()))
        });
        match opened {
            Ok(Ok((_, found))) if length == 0 => assert_eq!(found.log.entries.len(), 0, "a new disk"),
            Ok(Ok((_, found))) => {
                assert!(same(&found, last), "cut at {length} of {}", whole.len());
                held += 1;
            }
            Ok(Err(_)) | Err(_) => refused += 1,
        }
    }
    assert!(refused > 1_000, "{refused} refused, {held} held");
}
