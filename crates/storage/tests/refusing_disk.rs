//! A disk that refuses every write, from the first start on or later, and a sync that fails once and is then said to be
//! done: nothing counts as stored that isn't, and nothing stored is lost.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use crankpick_storage::{FileSystem, Log, OpenFile, Opened};

const DIRECTORY: &str = "/data/role";

#[derive(Clone, Debug, Default)]
struct Content {
    /// What reads see.
    cached: Vec<u8>,
    /// What is on the disk.
    stored: Vec<u8>,
    /// Whether the operating system knows of bytes that it has yet to write.
    dirty: bool,
}

/// A file system in memory. Names are durable at once.
#[derive(Clone, Debug, Default)]
struct Disk {
    exists: Rc<Cell<bool>>,
    files: Rc<RefCell<BTreeMap<PathBuf, Rc<RefCell<Content>>>>>,
    /// Bytes that may still be written.
    free: Rc<Cell<usize>>,
    /// The next sync of a file fails: what it was for is dropped, and the operating system forgets that it was dirty.
    next_sync_fails: Rc<Cell<bool>>,
}

#[derive(Debug)]
struct Handle {
    disk: Disk,
    content: Rc<RefCell<Content>>,
}

fn full() -> io::Error {
    io::Error::from(ErrorKind::StorageFull)
}

impl Disk {
    fn with_room(bytes: usize) -> Disk {
        let disk = Disk::default();
        disk.free.set(bytes);
        disk
    }

    fn allocate(&self, bytes: usize) -> io::Result<()> {
        let left = self.free.get().checked_sub(bytes).ok_or_else(full)?;
        self.free.set(left);
        Ok(())
    }

    fn lose_power(&self) {
        for content in self.files.borrow().values() {
            let mut content = content.borrow_mut();
            content.cached = content.stored.clone();
            content.dirty = false;
        }
    }

    fn names(&self) -> Vec<String> {
        let files = self.files.borrow();
        let names = files.keys().filter_map(|path| path.file_name()?.to_str().map(str::to_owned));
        names.collect()
    }
}

impl FileSystem for Disk {
    type File = Handle;

    fn create_directory(&self, _directory: &Path) -> io::Result<()> {
        if !self.exists.get() {
            self.allocate(1)?;
            self.exists.set(true);
        }
        Ok(())
    }

    fn list_names(&self, _directory: &Path) -> io::Result<Vec<String>> {
        self.exists.get().then(|| self.names()).ok_or(ErrorKind::NotFound.into())
    }

    fn open(&self, path: &Path) -> io::Result<Handle> {
        let content = self.files.borrow().get(path).cloned().ok_or(io::Error::from(ErrorKind::NotFound))?;
        Ok(Handle { disk: self.clone(), content })
    }

    fn create(&self, path: &Path) -> io::Result<Handle> {
        self.allocate(1)?;
        let content = Rc::default();
        self.files.borrow_mut().insert(path.to_path_buf(), Rc::clone(&content));
        Ok(Handle { disk: self.clone(), content })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut files = self.files.borrow_mut();
        let content = files.remove(from).ok_or(io::Error::from(ErrorKind::NotFound))?;
        files.insert(to.to_path_buf(), content);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let content = self.files.borrow_mut().remove(path).ok_or(io::Error::from(ErrorKind::NotFound))?;
        self.free.set(self.free.get() + content.borrow().cached.len() + 1);
        Ok(())
    }

    fn sync_directory(&self, _directory: &Path) -> io::Result<()> {
        Ok(())
    }
}

impl OpenFile for Handle {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.content.borrow().cached.clone())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.content.borrow_mut();
        let end = offset as usize + bytes.len();
        self.disk.allocate(end.saturating_sub(content.cached.len()))?;
        let length = content.cached.len().max(end);
        content.cached.resize(length, 0);
        content.cached[offset as usize..end].copy_from_slice(bytes);
        content.dirty = true;
        Ok(())
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        let mut content = self.content.borrow_mut();
        content.cached.truncate(length as usize);
        content.dirty = true;
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn sync_data(&mut self) -> io::Result<()> {
        let mut content = self.content.borrow_mut();
        if !std::mem::take(&mut content.dirty) {
            return Ok(());
        }
        if self.disk.next_sync_fails.take() {
            return Err(io::Error::other("input/output error"));
        }
        content.stored = content.cached.clone();
        Ok(())
    }
}

fn open(disk: &Disk) -> Opened<Disk> {
    Log::open_in(disk.clone(), Path::new(DIRECTORY)).map_err(|error| error.to_string()).expect("opened")
}

fn texts(records: Vec<Vec<u8>>) -> Vec<String> {
    records.into_iter().map(|record| String::from_utf8(record).expect("text")).collect()
}

#[test]
fn a_full_disk_without_a_log_can_be_opened_and_takes_records_later() {
    let disk = Disk::with_room(0);
    let Opened { mut log, records, dropped } = open(&disk);
    assert!(records.is_empty() && dropped.is_none());
    for _ in 0..3 {
        assert!(log.append(&[b"one"]).is_err(), "a full disk stores nothing");
        assert_eq!(log.size(), 0);
    }
    disk.free.set(4_096);
    log.append(&[b"two"]).expect("there is room now");
    drop(log);
    disk.lose_power();
    assert_eq!(texts(open(&disk).records), ["two"]);
}

#[test]
fn a_log_that_was_opened_and_never_written_leaves_nothing_behind() {
    let disk = Disk::with_room(4_096);
    drop(open(&disk));
    assert!(!disk.exists.get() && disk.names().is_empty());
}

#[test]
fn a_disk_that_fills_up_while_the_first_file_is_made_is_tried_again() {
    for room in 0..80 {
        let disk = Disk::with_room(room);
        let mut log = open(&disk).log;
        let stored = log.append(&[b"one"]).is_ok();
        disk.free.set(4_096);
        log.append(&[b"two"]).expect("there is room now");
        drop(log);
        disk.lose_power();
        let expected: &[&str] = if stored { &["one", "two"] } else { &["two"] };
        assert_eq!(texts(open(&disk).records), expected, "with room for {room} bytes at first");
    }
}

/// A rewrite needs room for what is kept, not for what the log has grown to.
#[test]
fn a_rewrite_works_with_less_room_than_the_log_is_long() {
    let disk = Disk::with_room(1 << 20);
    let mut log = open(&disk).log;
    for _ in 0..100 {
        log.append(&[&[7; 1_000]]).expect("appended");
    }
    let length = log.size();
    disk.free.set(1_200);
    assert!(length > 100 * 1_000);
    log.rewrite(&[&[8; 1_000]]).expect("rewritten");
    assert!(disk.free.get() as u64 > length, "the old file's room is free again");
    disk.free.set(500);
    assert!(log.rewrite(&[&[9; 1_000]]).is_err(), "not enough room for what is kept");
    drop(log);
    disk.lose_power();
    assert_eq!(open(&disk).records, [vec![8; 1_000]]);
}

/// A process was killed between a write and its sync, and the sync at the next start fails. The operating system has
/// dropped the bytes and says so once only.
#[test]
fn a_sync_that_failed_at_a_start_isnt_believed_the_second_time() {
    let disk = Disk::with_room(1 << 16);
    let mut log = open(&disk).log;
    log.append(&[b"one"]).expect("appended");
    disk.next_sync_fails.set(true);
    assert!(log.append(&[b"two"]).is_err());
    drop(log);
    // As if the process had ended before it heard of the failure.
    for content in disk.files.borrow().values() {
        content.borrow_mut().dirty = true;
    }
    disk.next_sync_fails.set(true);
    assert!(Log::open_in(disk.clone(), Path::new(DIRECTORY)).is_err());
    let again = Log::open_by_copy_in(disk.clone(), Path::new(DIRECTORY));
    let Opened { mut log, records, .. } = again.map_err(|error| error.to_string()).expect("opened");
    assert_eq!(texts(records), ["one", "two"]);
    log.append(&[b"three"]).expect("appended");
    drop(log);
    disk.lose_power();
    assert_eq!(texts(open(&disk).records), ["one", "two", "three"], "what was read counted as stored");
}
