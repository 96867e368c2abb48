//! The log on a modelled file system that loses power between any two of its calls, kills the process there, and refuses
//! calls: what was reported as synced is read back, whatever becomes of the rest.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use crankpick_storage::{FileSystem, Log, OpenFile, Opened};

const FOLDER: &str = "/data/role";

/// A drawn number; the sequence hangs on the seed alone.
#[derive(Clone, Debug)]
struct Lot(u64);

impl Lot {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}

/// A change of a file's bytes.
#[derive(Clone, Debug)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Cut(usize),
}

impl Change {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Change::Write { offset, bytes } => {
                content.resize(content.len().max(offset + bytes.len()), 0);
                content[*offset..offset + bytes.len()].copy_from_slice(bytes);
            }
            Change::Cut(length) => content.resize(*length, 0),
        }
    }

    /// What a loss of power leaves of it: all, nothing, or a write with a piece missing.
    fn after_power_loss(&self, lot: &mut Lot) -> Option<Change> {
        match (self, lot.below(3)) {
            (_, 0) => Some(self.clone()),
            (Change::Write { offset, bytes }, 1) if !bytes.is_empty() => {
                let mut torn = bytes.clone();
                let from = lot.below(bytes.len() as u64) as usize;
                if lot.one_in(2) {
                    torn.truncate(from);
                } else {
                    let to = from + lot.below((bytes.len() - from) as u64 + 1) as usize;
                    torn[from..to].fill(0);
                }
                Some(Change::Write { offset: *offset, bytes: torn })
            }
            _ => None,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Inode {
    synced: Vec<u8>,
    since: Vec<Change>,
}

impl Inode {
    fn content(&self) -> Vec<u8> {
        let mut content = self.synced.clone();
        self.since.iter().for_each(|change| change.apply(&mut content));
        content
    }
}

/// A change of names that no sync of the folder has covered.
#[derive(Clone, Debug)]
enum Naming {
    Made(PathBuf, usize),
    Renamed(PathBuf, PathBuf, usize),
    Removed(PathBuf),
}

/// The disk, and what is going to happen to it.
#[derive(Clone, Debug)]
struct Disk {
    inodes: Vec<Inode>,
    names: BTreeMap<PathBuf, usize>,
    lasting: BTreeMap<PathBuf, usize>,
    namings: Vec<Naming>,
    lot: Lot,
    calls: u64,
    /// No call succeeds from this one on.
    ends_at: u64,
    /// One in so many calls is refused; none if 0.
    refused: u64,
}

impl Disk {
    fn new(seed: u64) -> Disk {
        Disk {
            inodes: Vec::new(),
            names: BTreeMap::new(),
            lasting: BTreeMap::new(),
            namings: Vec::new(),
            lot: Lot(seed),
            calls: 0,
            ends_at: u64::MAX,
            refused: 0,
        }
    }

    /// Counts a call: an error if the process is at its end or the disk refuses it.
    fn call(&mut self) -> io::Result<()> {
        self.calls += 1;
        if self.calls > self.ends_at {
            return Err(io::Error::other("ended"));
        }
        if self.refused > 0 && self.lot.one_in(self.refused) {
            return Err(io::Error::other("refused"));
        }
        Ok(())
    }

    fn ended(&self) -> bool {
        self.calls > self.ends_at
    }

    fn lose_power(&mut self) {
        let all_gone = self.lot.one_in(4);
        for inode in &mut self.inodes {
            let since = std::mem::take(&mut inode.since);
            for change in since.into_iter().filter(|_| !all_gone) {
                if let Some(change) = change.after_power_loss(&mut self.lot) {
                    change.apply(&mut inode.synced);
                }
            }
        }
        let mut names = self.lasting.clone();
        for naming in std::mem::take(&mut self.namings) {
            if self.lot.one_in(2) {
                continue;
            }
            match naming {
                Naming::Made(path, inode) => {
                    names.insert(path, inode);
                }
                Naming::Renamed(from, to, inode) => {
                    names.remove(&from);
                    names.insert(to, inode);
                }
                Naming::Removed(path) => {
                    names.remove(&path);
                }
            }
        }
        self.lasting = names.clone();
        self.names = names;
    }
}

#[derive(Clone, Debug)]
struct Files(Rc<RefCell<Disk>>);

#[derive(Debug)]
struct Handle {
    disk: Rc<RefCell<Disk>>,
    inode: usize,
}

fn not_found() -> io::Error {
    io::Error::from(io::ErrorKind::NotFound)
}

impl FileSystem for Files {
    type File = Handle;

    fn create_directory(&self, _folder: &Path) -> io::Result<()> {
        self.0.borrow_mut().call()
    }

    fn list_names(&self, _directory: &Path) -> io::Result<Vec<String>> {
        let mut disk = self.0.borrow_mut();
        disk.call()?;
        let names = disk.names.keys().filter_map(|path| path.file_name());
        Ok(names.filter_map(|name| name.to_str()).map(str::to_owned).collect())
    }

    fn open(&self, path: &Path) -> io::Result<Handle> {
        let mut disk = self.0.borrow_mut();
        disk.call()?;
        let inode = *disk.names.get(path).ok_or_else(not_found)?;
        Ok(Handle { disk: self.0.clone(), inode })
    }

    fn create(&self, path: &Path) -> io::Result<Handle> {
        let mut disk = self.0.borrow_mut();
        disk.call()?;
        let inode = match disk.names.get(path).copied() {
            Some(inode) => {
                disk.inodes[inode].since.push(Change::Cut(0));
                inode
            }
            None => {
                let inode = disk.inodes.len();
                disk.inodes.push(Inode::default());
                disk.names.insert(path.to_path_buf(), inode);
                disk.namings.push(Naming::Made(path.to_path_buf(), inode));
                inode
            }
        };
        Ok(Handle { disk: self.0.clone(), inode })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        disk.call()?;
        let inode = disk.names.remove(from).ok_or_else(not_found)?;
        disk.names.insert(to.to_path_buf(), inode);
        disk.namings.push(Naming::Renamed(from.to_path_buf(), to.to_path_buf(), inode));
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        disk.call()?;
        disk.names.remove(path).ok_or_else(not_found)?;
        disk.namings.push(Naming::Removed(path.to_path_buf()));
        Ok(())
    }

    fn sync_directory(&self, _folder: &Path) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        disk.call()?;
        disk.lasting = disk.names.clone();
        disk.namings.clear();
        Ok(())
    }
}

impl OpenFile for Handle {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        let mut disk = self.disk.borrow_mut();
        disk.call()?;
        Ok(disk.inodes[self.inode].content())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        // A write that fails may have written a part.
        let part = disk.lot.below(bytes.len() as u64 + 1) as usize;
        let called = disk.call();
        let written = if called.is_ok() { bytes } else { &bytes[..part] };
        let change = Change::Write { offset: offset as usize, bytes: written.to_vec() };
        disk.inodes[self.inode].since.push(change);
        called
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        disk.call()?;
        disk.inodes[self.inode].since.push(Change::Cut(length as usize));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()?;
        // Its own sync makes a new file last.
        let mut disk = self.disk.borrow_mut();
        let inode = self.inode;
        let made = |naming: &Naming| matches!(naming, Naming::Made(_, made) if *made == inode);
        if let Some(place) = disk.namings.iter().position(made) {
            if let Naming::Made(path, inode) = disk.namings.remove(place) {
                disk.lasting.insert(path, inode);
            }
        }
        Ok(())
    }

    fn sync_data(&mut self) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        disk.call()?;
        let inode = &mut disk.inodes[self.inode];
        inode.synced = inode.content();
        inode.since.clear();
        Ok(())
    }
}

/// What a start may read: what was reported as synced, and each step after it that got no answer or an error.
#[derive(Debug)]
struct Expected {
    synced: Vec<String>,
    /// Steps that failed since: they may be there until the next one that succeeds.
    perhaps: Vec<Vec<String>>,
}

impl Expected {
    fn appended(&mut self, record: &str, done: bool) {
        let mut after = self.synced.clone();
        after.push(record.to_owned());
        self.stepped(after, done);
    }

    fn stepped(&mut self, after: Vec<String>, done: bool) {
        if done {
            self.synced = after;
            self.perhaps.clear();
        } else {
            self.perhaps.push(after);
        }
    }
}

fn texts(records: Vec<Vec<u8>>) -> Vec<String> {
    records.into_iter().map(|record| String::from_utf8(record).expect("text")).collect()
}

/// One process: opens the log, and appends and rewrites until it ends. False if the log couldn't be opened.
fn live(disk: &Rc<RefCell<Disk>>, expected: &mut Expected, life: u64) -> bool {
    let Ok(Opened { mut log, records, .. }) = Log::open_in(Files(disk.clone()), Path::new(FOLDER)) else {
        return false;
    };
    let read = texts(records);
    assert!(
        read == expected.synced || expected.perhaps.contains(&read),
        "life {life}: read {read:?}, expected {expected:?}"
    );
    // What is read is synced from now on.
    expected.stepped(read, true);
    for step in 0..12 {
        let (rewrites, long) = {
            let lot = &mut disk.borrow_mut().lot;
            (lot.one_in(4), lot.below(40) as usize)
        };
        let record = format!("{life}.{step}.{}", "x".repeat(long));
        if rewrites {
            let kept = vec![format!("all up to {record}")];
            let done = log.rewrite(&[kept[0].as_bytes()]).is_ok();
            expected.stepped(kept, done);
        } else {
            let done = log.append(&[record.as_bytes()]).is_ok();
            expected.appended(&record, done);
        }
        if disk.borrow().ended() {
            break;
        }
    }
    true
}

/// Four processes, one after another, on one disk: each ends after some call, by a loss of power or a kill.
fn lives(seed: u64, ends_at: u64, refused: u64) -> u64 {
    let disk = Rc::new(RefCell::new(Disk::new(seed)));
    let mut expected = Expected { synced: Vec::new(), perhaps: Vec::new() };
    let mut opened = 0;
    for life in 0..4 {
        {
            let mut disk = disk.borrow_mut();
            let later = if life == 0 { ends_at } else { disk.lot.below(60) };
            disk.calls = 0;
            disk.ends_at = later;
            disk.refused = refused;
        }
        opened += u64::from(live(&disk, &mut expected, life));
        let mut disk = disk.borrow_mut();
        if !disk.lot.one_in(4) {
            disk.lose_power();
        }
    }
    // At last a disk that is well.
    disk.borrow_mut().ends_at = u64::MAX;
    disk.borrow_mut().refused = 0;
    assert!(live(&disk, &mut expected, 4), "a disk that is well opens");
    opened
}

/// 24,000 runs with an end after each of the first calls; one in `refused` calls is refused.
fn end_at_each_call(refused: u64) {
    let mut opened = 0;
    for ends_at in 0..80 {
        for seed in 0..300 {
            opened += lives(seed * 1_000 + ends_at, ends_at, refused);
        }
    }
    println!("24,000 runs, one call refused of {refused}: {opened} processes opened the log");
}

#[test]
fn what_was_synced_is_read_after_an_end_at_any_call() {
    end_at_each_call(0);
}

#[test]
fn what_was_synced_is_read_though_calls_were_refused() {
    end_at_each_call(5);
    end_at_each_call(25);
}
