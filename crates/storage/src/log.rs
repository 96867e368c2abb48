//! The log: appended to and rewritten.
//!
//! Files are named `records-N`. A rewrite creates `records-N+1` under a temporary name, syncs it, renames it, syncs the
//! directory, and only then removes the old file: at each moment one of them holds every acknowledged record.

use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::contents::{encode_write, FIRST_WRITE_NUMBER};
use crate::directory::{
    create_directory, create_file, create_first_file, file_path, sync_directory, FIRST_FILE_NUMBER,
};
use crate::error::{IoSnafu, StorageError, SyncSnafu};
use crate::file_system::{FileSystem, OpenFile, SystemFiles};

/// An append-only log of checksummed records, in a directory of its own.
#[derive(Debug)]
pub struct Log<F: FileSystem = SystemFiles> {
    files: F,
    directory: PathBuf,
    file_number: u64,
    path: PathBuf,
    /// The current file; `None` until the first append to an empty directory.
    file: Option<F::File>,
    /// The length of the synced writes, in bytes.
    synced_len: u64,
    next_write_number: u64,
    /// Bytes of a failed or torn write may lie beyond `synced_len`.
    has_dirty_tail: bool,
    /// The file of a rewrite that failed after its rename. It must be removed for good before anything is appended:
    /// after a restart it would replace the current file.
    failed_rewrite: Option<PathBuf>,
}

impl<F: FileSystem> Log<F> {
    /// A log without a file, in a directory that need not exist yet.
    pub(crate) fn empty(files: F, directory: &Path) -> Self {
        Log {
            files,
            directory: directory.to_path_buf(),
            file_number: FIRST_FILE_NUMBER,
            path: file_path(directory, FIRST_FILE_NUMBER),
            file: None,
            synced_len: 0,
            next_write_number: FIRST_WRITE_NUMBER,
            has_dirty_tail: false,
            failed_rewrite: None,
        }
    }

    /// A log whose current file has been read.
    pub(crate) fn opened(
        files: F,
        directory: &Path,
        file_number: u64,
        file: F::File,
        synced_len: u64,
        next_write_number: u64,
    ) -> Self {
        Log {
            file_number,
            path: file_path(directory, file_number),
            file: Some(file),
            synced_len,
            next_write_number,
            ..Log::empty(files, directory)
        }
    }

    /// Cuts off a torn last write. A full disk may refuse it now; it is retried before the next write.
    pub(crate) fn discard_torn_tail(&mut self) {
        self.has_dirty_tail = true;
        drop(self.discard_failed_writes());
    }

    /// Removes older files. Those that can't be removed now are removed at the next start.
    pub(crate) fn remove_files(&self, numbers: &[u64]) {
        for number in numbers {
            drop(self.files.remove(&file_path(&self.directory, *number)));
        }
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
        let file = match &mut self.file {
            Some(file) => file,
            none => none.insert(create_first_file(&self.files, &self.directory)?),
        };
        self.has_dirty_tail = true;
        let written = file.write_at(self.synced_len, &buffer);
        written.context(IoSnafu { action: "write", path: &self.path })?;
        file.sync_data().context(SyncSnafu { path: &self.path })?;
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
        if self.file.is_none() {
            create_directory(&self.files, &self.directory)?;
        }
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
        self.file = Some(file);
        self.has_dirty_tail = false;
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
        let Some(file) = self.file.as_mut().filter(|_| self.has_dirty_tail) else { return Ok(()) };
        file.set_len(self.synced_len).context(IoSnafu { action: "cut", path: &self.path })?;
        file.sync().context(SyncSnafu { path: &self.path })?;
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
