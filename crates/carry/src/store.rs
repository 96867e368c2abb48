//! What a process keeps, on disk: one file, each batch written whole or not at all and there for good before
//! the write returns. Called by `run` on the fleet's own thread, never by the one that serves queries.

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
pub enum Wrong {
    /// Another process has it: the older one of an upgrade, most often.
    Held,
    /// It can't be read or written.
    Broken(String),
}

impl std::fmt::Display for Wrong {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Wrong::Held => write!(f, "another process has it"),
            Wrong::Broken(why) => write!(f, "{why}"),
        }
    }
}

fn broken(wrong: impl std::fmt::Display) -> Wrong {
    Wrong::Broken(wrong.to_string())
}

pub struct Store {
    database: Database,
}

impl Store {
    /// Opens the file in this folder, or makes both; what is there is read whole.
    pub fn open(folder: &Path) -> Result<(Self, PersistentState), Wrong> {
        std::fs::create_dir_all(folder).map_err(|wrong| broken(format!("{}: {wrong}", folder.display())))?;
        let path = folder.join("fleet.redb");
        let opened = || {
            let database = Database::create(&path).map_err(|wrong| match wrong {
                redb::DatabaseError::DatabaseAlreadyOpen => Wrong::Held,
                wrong => broken(format!("{}: {wrong}", path.display())),
            })?;
            Self::read(database)
        };
        // A file that was cut short makes the library stop in places: told as any other damage.
        let opened = std::panic::catch_unwind(std::panic::AssertUnwindSafe(opened));
        opened.unwrap_or_else(|_| Err(broken(format!("{}: damaged", path.display()))))
    }

    /// On a disk that a test has its hands on.
    pub fn over(disk: impl StorageBackend) -> Result<(Self, PersistentState), Wrong> {
        Self::read(Database::builder().create_with_backend(disk).map_err(broken)?)
    }

    fn read(database: Database) -> Result<(Self, PersistentState), Wrong> {
        let mut store = Store { database };
        let kept = match store.kept().map_err(broken)? {
            Some(kept) => kept,
            None => {
                let seat = fastrand::u64(1..);
                store.found(seat).map_err(broken)?;
                PersistentState::new(seat)
            }
        };
        // It may have been opened where nothing can be written any more: better known now.
        store.probe().map_err(broken)?;
        Ok((store, kept))
    }

    fn found(&mut self, seat: u64) -> Result<(), redb::Error> {
        let write = self.database.begin_write()?;
        write.open_table(META)?.insert(SEAT, seat.to_be_bytes().as_slice())?;
        write.open_table(LOG)?;
        write.commit()?;
        Ok(())
    }

    fn probe(&mut self) -> Result<(), redb::Error> {
        let write = self.database.begin_write()?;
        write.open_table(META)?.insert(PROBE, fastrand::u64(..).to_be_bytes().as_slice())?;
        write.commit()?;
        Ok(())
    }

    fn kept(&mut self) -> Result<Option<PersistentState>, Box<dyn std::error::Error>> {
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
            // A commit that is older than the snapshot counts as far as that.
            kept.log.apply(&Batch { hard, ..Batch::default() });
        }
        Ok(Some(kept))
    }

    fn put(&mut self, batch: &Batch) -> Result<(), Box<dyn std::error::Error>> {
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
        self.put(batch).map_err(|wrong| wrong.to_string())
    }
}
