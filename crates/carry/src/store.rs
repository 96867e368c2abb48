//! The persistent store of a process: one file. Each batch is written atomically and is durable before the
//! write returns. Used by `run` on the fleet thread, never on the one that serves queries.

use std::path::Path;

use crankpick_fleet::storage::{Batch, Disk, PersistentState};
use protobuf::Message;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

const SEAT: &str = "seat";
const ROSTER: &str = "roster";
const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const TAKEN: &str = "taken";
const PROBE: &str = "probe";

#[derive(Debug)]
pub enum StoreError {
    /// Another process has it open, usually the older one of an upgrade.
    Held,
    /// It cannot be read or written.
    Broken(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Held => write!(f, "another process has the store open"),
            StoreError::Broken(why) => write!(f, "{why}"),
        }
    }
}

fn store_error(error: impl std::fmt::Display) -> StoreError {
    StoreError::Broken(error.to_string())
}

pub struct Store {
    database: Database,
}

impl Store {
    /// Opens the store in this folder, creating both if necessary, and reads all of its contents.
    pub fn open(folder: &Path) -> Result<(Self, PersistentState), StoreError> {
        std::fs::create_dir_all(folder)
            .map_err(|error| store_error(format!("{}: {error}", folder.display())))?;
        let path = folder.join("fleet.redb");
        let opened = || {
            let database = Database::create(&path).map_err(|error| match error {
                redb::DatabaseError::DatabaseAlreadyOpen => StoreError::Held,
                error => store_error(format!("{}: {error}", path.display())),
            })?;
            Self::read(database)
        };
        // The library panics on some truncated files; report that as any other damage.
        let opened = std::panic::catch_unwind(std::panic::AssertUnwindSafe(opened));
        opened.unwrap_or_else(|_| Err(store_error(format!("{}: damaged", path.display()))))
    }

    /// Opens a store on the given backend, for fault-injection tests.
    pub fn with_backend(disk: impl StorageBackend) -> Result<(Self, PersistentState), StoreError> {
        Self::read(Database::builder().create_with_backend(disk).map_err(store_error)?)
    }

    fn read(database: Database) -> Result<(Self, PersistentState), StoreError> {
        let mut store = Store { database };
        let kept = match store.load().map_err(store_error)? {
            Some(kept) => kept,
            None => {
                let seat = fastrand::u64(1..);
                store.initialize(seat).map_err(store_error)?;
                PersistentState::new(seat)
            }
        };
        // The file may have been opened on a disk that accepts no writes any more; detect that now.
        store.check_writable().map_err(store_error)?;
        Ok((store, kept))
    }

    fn initialize(&mut self, seat: u64) -> Result<(), redb::Error> {
        let write = self.database.begin_write()?;
        write.open_table(META)?.insert(SEAT, seat.to_be_bytes().as_slice())?;
        write.open_table(LOG)?;
        write.commit()?;
        Ok(())
    }

    fn check_writable(&mut self) -> Result<(), redb::Error> {
        let write = self.database.begin_write()?;
        write.open_table(META)?.insert(PROBE, fastrand::u64(..).to_be_bytes().as_slice())?;
        write.commit()?;
        Ok(())
    }

    fn load(&mut self) -> Result<Option<PersistentState>, Box<dyn std::error::Error>> {
        let read = self.database.begin_read()?;
        let meta = match read.open_table(META) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            meta => meta?,
        };
        let value = |key| meta.get(key).map(|value| value.map(|value| value.value().to_vec()));
        let Some(seat) = value(SEAT)? else { return Ok(None) };
        let mut kept = PersistentState::new(u64::from_be_bytes(seat.as_slice().try_into()?));
        if let Some(roster) = value(ROSTER)? {
            kept.roster = Some(postcard::from_bytes(&roster)?);
        }
        if let Some(taken) = value(TAKEN)? {
            kept.taken = Some(postcard::from_bytes(&taken)?);
        }
        if let Some(snapshot) = value(SNAPSHOT)? {
            kept.log.snapshot = Message::parse_from_bytes(&snapshot)?;
        }
        for entry in read.open_table(LOG)?.iter()? {
            kept.log.entries.push(Message::parse_from_bytes(entry?.1.value())?);
        }
        if let Some(hard) = value(HARD)? {
            let hard = Some(Message::parse_from_bytes(&hard)?);
            // Applied as a batch, so that a commit index older than the snapshot is raised to the snapshot's.
            kept.log.apply(&Batch { hard, ..Batch::default() });
        }
        Ok(Some(kept))
    }

    fn write_batch(&mut self, batch: &Batch) -> Result<(), Box<dyn std::error::Error>> {
        let write = self.database.begin_write()?;
        {
            let (mut meta, mut log) = (write.open_table(META)?, write.open_table(LOG)?);
            if let Some(snapshot) = &batch.snapshot {
                meta.insert(SNAPSHOT, snapshot.write_to_bytes()?.as_slice())?;
                log.retain_in(..=snapshot.get_metadata().index, |_, _| false)?;
            }
            if let Some(first) = batch.entries.first() {
                log.retain_in(first.index.., |_, _| false)?;
            }
            for entry in &batch.entries {
                log.insert(entry.index, entry.write_to_bytes()?.as_slice())?;
            }
            if let Some(hard) = &batch.hard {
                meta.insert(HARD, hard.write_to_bytes()?.as_slice())?;
            }
            if let Some(roster) = &batch.roster {
                meta.insert(ROSTER, postcard::to_stdvec(roster)?.as_slice())?;
            }
            if let Some(taken) = &batch.taken {
                meta.insert(TAKEN, postcard::to_stdvec(taken)?.as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

impl Disk for Store {
    fn write(&mut self, batch: &Batch) -> Result<(), String> {
        self.write_batch(batch).map_err(|error| error.to_string())
    }
}
