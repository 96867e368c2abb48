//! The file: opened, appended to, rewritten.
//!
//! Files are named `records-N`. A rewrite makes `records-N+1` whole under another name, syncs it, renames it, syncs
//! the folder, and only then removes the old one: at each moment one of them holds all that was acknowledged.

use std::path::{Path, PathBuf};

use snafu::{ensure, ResultExt};

use crate::error::{IoSnafu, StorageError, TooLongSnafu, UnsoundSnafu};
use crate::file_system::{FileSystem, OpenFile, SystemFiles};
use crate::frame;

const PREFIX: &str = "records-";
const UNFINISHED: &str = ".new";

/// A torn last write that was dropped: it never was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The file.
    pub path: PathBuf,
    /// Where the torn write began.
    pub offset: u64,
}

/// What was met when the file was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenReport {
    /// The torn write that was dropped, if any.
    pub dropped: Option<TornTail>,
}

/// An append-only file of checksummed records in a folder of its own.
#[derive(Debug)]
pub struct Log<F: FileSystem = SystemFiles> {
    files: F,
    folder: PathBuf,
    number: u64,
    path: PathBuf,
    file: F::File,
    /// What is synced ends here.
    end: u64,
    /// The number of the next write.
    write: u64,
    /// Bytes of a failed write may lie beyond `end`.
    soiled: bool,
    /// A rewrite failed once its file bore its name: that file must be gone for good before anything is appended.
    stray: Option<PathBuf>,
}

/// What a file holds.
struct Contents {
    records: Vec<Vec<u8>>,
    /// Whole writes end here.
    end: usize,
    write: u64,
}

impl Log {
    /// Opens the folder's file, or makes it; returns its records in order. A torn last write is dropped.
    pub fn open(folder: &Path) -> Result<(Log, Vec<Vec<u8>>, OpenReport), StorageError> {
        Log::open_in(SystemFiles, folder)
    }
}

impl<F: FileSystem> Log<F> {
    /// The same in another file system.
    pub fn open_in(files: F, folder: &Path) -> Result<(Self, Vec<Vec<u8>>, OpenReport), StorageError> {
        files.make_folder(folder).context(IoSnafu { action: "make", path: folder })?;
        let names = files.names(folder).context(IoSnafu { action: "list", path: folder })?;
        // Left over, they count for nothing: a full disk may refuse to remove them.
        for name in names.iter().filter(|name| is_unfinished(name)) {
            drop(files.remove(&folder.join(name)));
        }
        let numbers = file_numbers(&names);
        let Some(number) = numbers.last().copied() else {
            let log = Log::create(files, folder)?;
            return Ok((log, Vec::new(), OpenReport::default()));
        };
        // The newest name must last before older files go, and before anything is appended under it.
        sync_folder(&files, folder)?;
        let opened = Log::open_file(files, folder, number)?;
        for older in &numbers[..numbers.len() - 1] {
            drop(opened.0.files.remove(&file_path(folder, *older)));
        }
        Ok(opened)
    }

    fn open_file(
        files: F,
        folder: &Path,
        number: u64,
    ) -> Result<(Self, Vec<Vec<u8>>, OpenReport), StorageError> {
        let path = file_path(folder, number);
        let mut file = files.open(&path).context(IoSnafu { action: "open", path: &path })?;
        // A process may have ended between a write and its sync: what is read here must last.
        file.sync().context(IoSnafu { action: "sync", path: &path })?;
        let bytes = file.read_all().context(IoSnafu { action: "read", path: &path })?;
        let contents = read_contents(&path, &bytes)?;
        let end = contents.end as u64;
        let torn = contents.end < bytes.len();
        let dropped = torn.then(|| TornTail { path: path.clone(), offset: end });
        let folder = folder.to_path_buf();
        let write = contents.write;
        let mut log = Log { files, folder, number, path, file, end, write, soiled: torn, stray: None };
        // A full disk may refuse it now: then it is done before the next write.
        drop(log.clean());
        Ok((log, contents.records, OpenReport { dropped }))
    }

    /// A folder's first file.
    fn create(files: F, folder: &Path) -> Result<Self, StorageError> {
        let number = 1;
        let (file, end) = make_file(&files, folder, number, &[])?;
        sync_folder(&files, folder)?;
        let path = file_path(folder, number);
        let folder = folder.to_path_buf();
        Ok(Log { files, folder, number, path, file, end, write: 1, soiled: false, stray: None })
    }

    /// Appends records in one write and syncs. After an error none of them counts.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<(), StorageError> {
        if records.is_empty() {
            return Ok(());
        }
        let buffer = encode(self.write, records)?;
        self.clean()?;
        self.soiled = true;
        self.file.write_at(self.end, &buffer).context(IoSnafu { action: "write", path: &self.path })?;
        self.file.sync_data().context(IoSnafu { action: "sync", path: &self.path })?;
        self.soiled = false;
        self.end += buffer.len() as u64;
        self.write += 1;
        Ok(())
    }

    /// Puts these records in place of all that the file holds. After an error the old ones stand.
    pub fn rewrite(&mut self, records: &[&[u8]]) -> Result<(), StorageError> {
        self.clean()?;
        let number = self.number + 1;
        let path = file_path(&self.folder, number);
        let made = make_file(&self.files, &self.folder, number, records).and_then(|made| {
            sync_folder(&self.files, &self.folder)?;
            Ok(made)
        });
        let (file, end) = made.inspect_err(|_| self.stray = Some(path.clone()))?;
        let old = std::mem::replace(&mut self.path, path);
        self.number = number;
        self.file = file;
        self.end = end;
        self.write = if records.is_empty() { 1 } else { 2 };
        // Left over, it is removed at the next start: the higher number counts.
        drop(self.files.remove(&old));
        Ok(())
    }

    /// The bytes of the file that count.
    pub fn size(&self) -> u64 {
        self.end
    }

    /// Where the records are.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Cuts off what a failed or torn write left, and removes what a failed rewrite left.
    fn clean(&mut self) -> Result<(), StorageError> {
        if let Some(stray) = &self.stray {
            let names = self.files.names(&self.folder);
            let names = names.context(IoSnafu { action: "list", path: &self.folder })?;
            if names.iter().any(|name| self.folder.join(name) == *stray) {
                self.files.remove(stray).context(IoSnafu { action: "remove", path: stray })?;
            }
            sync_folder(&self.files, &self.folder)?;
            self.stray = None;
        }
        if !self.soiled {
            return Ok(());
        }
        self.file.set_len(self.end).context(IoSnafu { action: "cut", path: &self.path })?;
        self.file.sync().context(IoSnafu { action: "sync", path: &self.path })?;
        self.soiled = false;
        Ok(())
    }
}

fn encode(write: u64, records: &[&[u8]]) -> Result<Vec<u8>, StorageError> {
    let total: usize = records.iter().map(|record| frame::HEADER + record.len()).sum();
    let mut buffer = Vec::with_capacity(total);
    for (place, record) in records.iter().enumerate() {
        ensure!(record.len() <= frame::LONGEST, TooLongSnafu { length: record.len() });
        let left = (records.len() - 1 - place) as u32;
        frame::put(&mut buffer, write, left, record);
    }
    Ok(buffer)
}

/// Reads whole writes up to the first that isn't. What is unsound is the torn last write unless a later one follows:
/// a write begins only after the one before it was synced.
fn read_contents(path: &Path, bytes: &[u8]) -> Result<Contents, StorageError> {
    let mut contents = Contents { records: Vec::new(), end: 0, write: 1 };
    let mut whole = 0;
    let mut at = 0;
    while let Some(frame) = frame::read(&bytes[at..]) {
        if frame.write != contents.write {
            break;
        }
        at += frame.length();
        contents.records.push(frame.bytes.to_vec());
        if frame.left == 0 {
            whole = contents.records.len();
            contents.end = at;
            contents.write = frame.write + 1;
        }
    }
    let torn = contents.write;
    let later = at < bytes.len() && later_write(&bytes[at..], torn);
    ensure!(!later, UnsoundSnafu { path, offset: at as u64 });
    contents.records.truncate(whole);
    Ok(contents)
}

/// Whether a sound record of a write after the given one begins anywhere.
fn later_write(bytes: &[u8], write: u64) -> bool {
    (0..bytes.len()).any(|at| frame::read(&bytes[at..]).is_some_and(|frame| frame.write > write))
}

/// A whole file under its name, itself synced; the folder isn't yet.
fn make_file<F: FileSystem>(
    files: &F,
    folder: &Path,
    number: u64,
    records: &[&[u8]],
) -> Result<(F::File, u64), StorageError> {
    let path = file_path(folder, number);
    let unfinished = folder.join(format!("{PREFIX}{number}{UNFINISHED}"));
    let buffer = encode(1, records)?;
    let made = write_new(files, &unfinished, &buffer).and_then(|file| {
        files.rename(&unfinished, &path).context(IoSnafu { action: "rename", path: &unfinished })?;
        Ok(file)
    });
    let file = made.inspect_err(|_| drop(files.remove(&unfinished)))?;
    Ok((file, buffer.len() as u64))
}

fn write_new<F: FileSystem>(files: &F, path: &Path, buffer: &[u8]) -> Result<F::File, StorageError> {
    let mut file = files.create(path).context(IoSnafu { action: "make", path })?;
    file.write_at(0, buffer).context(IoSnafu { action: "write", path })?;
    file.sync().context(IoSnafu { action: "sync", path })?;
    Ok(file)
}

fn sync_folder<F: FileSystem>(files: &F, folder: &Path) -> Result<(), StorageError> {
    files.sync_folder(folder).context(IoSnafu { action: "sync", path: folder })
}

fn file_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number}"))
}

fn file_numbers(names: &[String]) -> Vec<u64> {
    let mut numbers: Vec<u64> =
        names.iter().filter_map(|name| name.strip_prefix(PREFIX)?.parse().ok()).collect();
    numbers.sort_unstable();
    numbers
}

fn is_unfinished(name: &str) -> bool {
    name.starts_with(PREFIX) && name.ends_with(UNFINISHED)
}
