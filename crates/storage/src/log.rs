//! The log: opened, appended to and rewritten.
//!
//! Files are named `records-N`. A rewrite creates `records-N+1` under a temporary name, syncs it, renames it, syncs the
//! directory, and only then removes the old file: at each moment one of them holds every acknowledged record.

use std::path::{Path, PathBuf};

use snafu::{ensure, ResultExt};

use crate::error::{CorruptSnafu, IoSnafu, RecordTooLongSnafu, StorageError};
use crate::file_system::{FileSystem, OpenFile, SystemFiles};
use crate::frame;

const FILE_PREFIX: &str = "records-";
const TEMPORARY_SUFFIX: &str = ".new";
const FIRST_FILE_NUMBER: u64 = 1;
const FIRST_WRITE_NUMBER: u64 = 1;

/// A torn last write that was dropped when the log was opened. It had not been acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The path of the file.
    pub path: PathBuf,
    /// The offset of the torn write, in bytes.
    pub offset: u64,
}

/// What was found when the log was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenReport {
    /// The torn write that was dropped, if any.
    pub dropped: Option<TornTail>,
}

/// An append-only log of checksummed records, in a directory of its own.
#[derive(Debug)]
pub struct Log<F: FileSystem = SystemFiles> {
    files: F,
    directory: PathBuf,
    file_number: u64,
    path: PathBuf,
    file: F::File,
    /// The length of the synced writes, in bytes.
    synced_len: u64,
    next_write_number: u64,
    /// Bytes of a failed or torn write may lie beyond `synced_len`.
    has_dirty_tail: bool,
    /// The file of a rewrite that failed after its rename. It must be removed for good before anything is appended:
    /// after a restart it would replace the current file.
    failed_rewrite: Option<PathBuf>,
}

/// The decoded contents of a file.
struct Contents {
    records: Vec<Vec<u8>>,
    /// The length of the complete writes, in bytes.
    complete_len: usize,
    next_write_number: u64,
}

impl Log {
    /// Opens the log in `directory`, or creates it, and returns its records in order. A torn last write is dropped.
    ///
    /// # Errors
    ///
    /// [`StorageError::Corrupt`] if a record before the last write is corrupt; [`StorageError::Io`] if the directory or
    /// a file can't be read, written or synced.
    pub fn open(directory: &Path) -> Result<(Log, Vec<Vec<u8>>, OpenReport), StorageError> {
        Log::open_in(SystemFiles, directory)
    }
}

impl<F: FileSystem> Log<F> {
    /// Opens a log as [`Log::open`] does, in the given file system.
    ///
    /// # Errors
    ///
    /// As [`Log::open`].
    pub fn open_in(files: F, directory: &Path) -> Result<(Self, Vec<Vec<u8>>, OpenReport), StorageError> {
        files.create_directory(directory).context(IoSnafu { action: "make", path: directory })?;
        let names = files.list_names(directory).context(IoSnafu { action: "list", path: directory })?;
        // Temporary files are never read, so one that a full disk refuses to remove does no harm.
        for name in names.iter().filter(|name| is_temporary(name)) {
            drop(files.remove(&directory.join(name)));
        }
        let numbers = file_numbers(&names);
        let Some((newest, older)) = numbers.split_last() else {
            let log = Log::create(files, directory)?;
            return Ok((log, Vec::new(), OpenReport::default()));
        };
        // The newest name must be durable before older files are removed, and before anything is appended under it.
        sync_directory(&files, directory)?;
        let opened = Log::open_file(files, directory, *newest)?;
        for number in older {
            drop(opened.0.files.remove(&file_path(directory, *number)));
        }
        Ok(opened)
    }

    fn open_file(
        files: F,
        directory: &Path,
        file_number: u64,
    ) -> Result<(Self, Vec<Vec<u8>>, OpenReport), StorageError> {
        let path = file_path(directory, file_number);
        let mut file = files.open(&path).context(IoSnafu { action: "open", path: &path })?;
        // A process may have ended between a write and its sync: what is read here must be durable.
        file.sync().context(IoSnafu { action: "sync", path: &path })?;
        let bytes = file.read_all().context(IoSnafu { action: "read", path: &path })?;
        let contents = read_contents(&path, &bytes)?;
        let synced_len = contents.complete_len as u64;
        let is_torn = contents.complete_len < bytes.len();
        let dropped = is_torn.then(|| TornTail { path: path.clone(), offset: synced_len });
        let mut log = Log {
            files,
            directory: directory.to_path_buf(),
            file_number,
            path,
            file,
            synced_len,
            next_write_number: contents.next_write_number,
            has_dirty_tail: is_torn,
            failed_rewrite: None,
        };
        // A full disk may refuse it now; it is retried before the next write.
        drop(log.discard_failed_writes());
        Ok((log, contents.records, OpenReport { dropped }))
    }

    /// Creates the first file of a directory.
    fn create(files: F, directory: &Path) -> Result<Self, StorageError> {
        let file_number = FIRST_FILE_NUMBER;
        let (file, synced_len) = create_file(&files, directory, file_number, &[])?;
        sync_directory(&files, directory)?;
        Ok(Log {
            files,
            directory: directory.to_path_buf(),
            file_number,
            path: file_path(directory, file_number),
            file,
            synced_len,
            next_write_number: FIRST_WRITE_NUMBER,
            has_dirty_tail: false,
            failed_rewrite: None,
        })
    }

    /// Appends records in one atomic write and syncs it.
    ///
    /// # Errors
    ///
    /// [`StorageError::RecordTooLong`] if a record is longer than 32 MiB; [`StorageError::Io`] if the write or its sync
    /// failed. After an error none of the records is stored.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<(), StorageError> {
        if records.is_empty() {
            return Ok(());
        }
        let buffer = encode_write(self.next_write_number, records)?;
        self.discard_failed_writes()?;
        self.has_dirty_tail = true;
        let written = self.file.write_at(self.synced_len, &buffer);
        written.context(IoSnafu { action: "write", path: &self.path })?;
        self.file.sync_data().context(IoSnafu { action: "sync", path: &self.path })?;
        self.has_dirty_tail = false;
        self.synced_len += buffer.len() as u64;
        self.next_write_number += 1;
        Ok(())
    }

    /// Replaces the whole contents by these records, and syncs them.
    ///
    /// # Errors
    ///
    /// As [`Log::append`]. After an error the former records stay in force.
    pub fn rewrite(&mut self, records: &[&[u8]]) -> Result<(), StorageError> {
        self.discard_failed_writes()?;
        let file_number = self.file_number + 1;
        let path = file_path(&self.directory, file_number);
        let created = create_file(&self.files, &self.directory, file_number, records);
        let synced = created.and_then(|created| {
            sync_directory(&self.files, &self.directory)?;
            Ok(created)
        });
        let (file, synced_len) = synced.inspect_err(|_| self.failed_rewrite = Some(path.clone()))?;
        let old_path = std::mem::replace(&mut self.path, path);
        self.file_number = file_number;
        self.file = file;
        self.synced_len = synced_len;
        self.next_write_number = if records.is_empty() { FIRST_WRITE_NUMBER } else { FIRST_WRITE_NUMBER + 1 };
        // An old file that can't be removed now is removed at the next start: the highest number is in force.
        drop(self.files.remove(&old_path));
        Ok(())
    }

    /// The length of the synced writes, in bytes.
    pub fn size(&self) -> u64 {
        self.synced_len
    }

    /// The path of the current file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Truncates the bytes of a failed or torn write, and removes the file of a failed rewrite.
    fn discard_failed_writes(&mut self) -> Result<(), StorageError> {
        self.remove_failed_rewrite()?;
        if !self.has_dirty_tail {
            return Ok(());
        }
        self.file.set_len(self.synced_len).context(IoSnafu { action: "cut", path: &self.path })?;
        self.file.sync().context(IoSnafu { action: "sync", path: &self.path })?;
        self.has_dirty_tail = false;
        Ok(())
    }

    fn remove_failed_rewrite(&mut self) -> Result<(), StorageError> {
        let Some(path) = &self.failed_rewrite else { return Ok(()) };
        let names = self.files.list_names(&self.directory);
        let names = names.context(IoSnafu { action: "list", path: &self.directory })?;
        if names.iter().any(|name| self.directory.join(name) == *path) {
            self.files.remove(path).context(IoSnafu { action: "remove", path })?;
        }
        sync_directory(&self.files, &self.directory)?;
        self.failed_rewrite = None;
        Ok(())
    }
}

/// Encodes the records of one write.
fn encode_write(write_number: u64, records: &[&[u8]]) -> Result<Vec<u8>, StorageError> {
    let total: usize = records.iter().map(|record| frame::HEADER_BYTES + record.len()).sum();
    let mut buffer = Vec::with_capacity(total);
    for (index, record) in records.iter().enumerate() {
        ensure!(record.len() <= frame::MAX_RECORD_BYTES, RecordTooLongSnafu { length: record.len() });
        let remaining = (records.len() - 1 - index) as u32;
        frame::encode_into(&mut buffer, write_number, remaining, record);
    }
    Ok(buffer)
}

/// Decodes complete writes up to the first that isn't.
///
/// An incomplete or corrupt record belongs to a torn last write unless a later write follows it: a write begins only
/// after the one before it was synced.
fn read_contents(path: &Path, bytes: &[u8]) -> Result<Contents, StorageError> {
    let mut contents =
        Contents { records: Vec::new(), complete_len: 0, next_write_number: FIRST_WRITE_NUMBER };
    let mut complete_records = 0;
    let mut offset = 0;
    while let Some(frame) = frame::decode(&bytes[offset..]) {
        if frame.write_number != contents.next_write_number {
            break;
        }
        offset += frame.encoded_len();
        contents.records.push(frame.payload.to_vec());
        if frame.remaining == 0 {
            complete_records = contents.records.len();
            contents.complete_len = offset;
            contents.next_write_number = frame.write_number + 1;
        }
    }
    let torn_write = contents.next_write_number;
    let is_corrupt = offset < bytes.len() && contains_later_write(&bytes[offset..], torn_write);
    ensure!(!is_corrupt, CorruptSnafu { path, offset: offset as u64 });
    contents.records.truncate(complete_records);
    Ok(contents)
}

/// Whether an intact record of a write after the given one begins at any offset.
fn contains_later_write(bytes: &[u8], write_number: u64) -> bool {
    let is_later = |frame: frame::Frame<'_>| frame.write_number > write_number;
    (0..bytes.len()).any(|offset| frame::decode(&bytes[offset..]).is_some_and(is_later))
}

/// Creates a complete file under its final name. The file is synced; the directory isn't yet.
fn create_file<F: FileSystem>(
    files: &F,
    directory: &Path,
    file_number: u64,
    records: &[&[u8]],
) -> Result<(F::File, u64), StorageError> {
    let path = file_path(directory, file_number);
    let temporary = directory.join(format!("{FILE_PREFIX}{file_number}{TEMPORARY_SUFFIX}"));
    let buffer = encode_write(FIRST_WRITE_NUMBER, records)?;
    let created = write_new_file(files, &temporary, &buffer).and_then(|file| {
        files.rename(&temporary, &path).context(IoSnafu { action: "rename", path: &temporary })?;
        Ok(file)
    });
    let file = created.inspect_err(|_| drop(files.remove(&temporary)))?;
    Ok((file, buffer.len() as u64))
}

fn write_new_file<F: FileSystem>(files: &F, path: &Path, buffer: &[u8]) -> Result<F::File, StorageError> {
    let mut file = files.create(path).context(IoSnafu { action: "make", path })?;
    file.write_at(0, buffer).context(IoSnafu { action: "write", path })?;
    file.sync().context(IoSnafu { action: "sync", path })?;
    Ok(file)
}

fn sync_directory<F: FileSystem>(files: &F, directory: &Path) -> Result<(), StorageError> {
    files.sync_directory(directory).context(IoSnafu { action: "sync", path: directory })
}

fn file_path(directory: &Path, file_number: u64) -> PathBuf {
    directory.join(format!("{FILE_PREFIX}{file_number}"))
}

/// The numbers of the files among these names, ascending.
fn file_numbers(names: &[String]) -> Vec<u64> {
    let mut numbers: Vec<u64> =
        names.iter().filter_map(|name| name.strip_prefix(FILE_PREFIX)?.parse().ok()).collect();
    numbers.sort_unstable();
    numbers
}

fn is_temporary(name: &str) -> bool {
    name.starts_with(FILE_PREFIX) && name.ends_with(TEMPORARY_SUFFIX)
}
