//! Opening a log: its records are read, and whatever an earlier process left half done is dropped.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::contents::{read_contents, Contents};
use crate::directory::{file_numbers, file_path, is_temporary, sync_directory};
use crate::error::{IoSnafu, StorageError, SyncSnafu};
use crate::file_system::{FileSystem, OpenFile, SystemFiles};
use crate::log::Log;

/// A log that was opened.
pub struct Opened<F: FileSystem = SystemFiles> {
    /// The log, to be appended to.
    pub log: Log<F>,
    /// Its records, in order.
    pub records: Vec<Vec<u8>>,
    /// A torn last write that was dropped, if there was one.
    pub dropped: Option<TornTail>,
}

impl<F: FileSystem> std::fmt::Debug for Opened<F> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut text = formatter.debug_struct("Opened");
        text.field("path", &self.log.path()).field("records", &self.records).field("dropped", &self.dropped);
        text.finish_non_exhaustive()
    }
}

/// A torn last write that was dropped when the log was opened. It had not been acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The path of the file.
    pub path: PathBuf,
    /// The offset of the torn write, in bytes.
    pub offset: u64,
}

impl Log {
    /// Opens the log in `directory` and returns its records in order. A torn last write is dropped.
    ///
    /// Nothing is created before the first append: a disk that refuses all writes can be opened if nothing was stored on
    /// it.
    ///
    /// # Errors
    ///
    /// [`StorageError::Corrupt`] if a record before the last write is corrupt; [`StorageError::Io`] if the directory or
    /// a file can't be read or synced.
    pub fn open(directory: &Path) -> Result<Opened, StorageError> {
        Log::open_in(SystemFiles, directory)
    }

    /// Opens the log after an attempt that failed: the records are copied to a new file before they count as durable.
    ///
    /// A sync that failed may be reported as done the next time, although the disk hasn't what it was for: the operating
    /// system drops what it couldn't write.
    ///
    /// # Errors
    ///
    /// As [`Log::open`], and [`StorageError::Io`] if the copy can't be written.
    pub fn open_by_copy(directory: &Path) -> Result<Opened, StorageError> {
        Log::open_by_copy_in(SystemFiles, directory)
    }
}

impl<F: FileSystem> Log<F> {
    /// Opens a log as [`Log::open`] does, in the given file system.
    ///
    /// # Errors
    ///
    /// As [`Log::open`].
    pub fn open_in(files: F, directory: &Path) -> Result<Opened<F>, StorageError> {
        let Some(mut newest) = newest_file(&files, directory)? else {
            return Ok(Opened::empty(files, directory));
        };
        // A process may have ended between a write and its sync: what is read here must be durable.
        newest.file.sync().context(SyncSnafu { path: &newest.path })?;
        let older = std::mem::take(&mut newest.older);
        let opened = newest.read(files, directory)?;
        opened.log.remove_files(&older);
        Ok(opened)
    }

    /// Opens a log as [`Log::open_by_copy`] does, in the given file system.
    ///
    /// # Errors
    ///
    /// As [`Log::open_by_copy`].
    pub fn open_by_copy_in(files: F, directory: &Path) -> Result<Opened<F>, StorageError> {
        let Some(mut newest) = newest_file(&files, directory)? else {
            return Ok(Opened::empty(files, directory));
        };
        let older = std::mem::take(&mut newest.older);
        let mut opened = newest.read(files, directory)?;
        let records: Vec<&[u8]> = opened.records.iter().map(Vec::as_slice).collect();
        opened.log.rewrite(&records)?;
        opened.log.remove_files(&older);
        Ok(opened)
    }
}

impl<F: FileSystem> Opened<F> {
    /// A log in which nothing was stored yet.
    fn empty(files: F, directory: &Path) -> Self {
        Opened { log: Log::empty(files, directory), records: Vec::new(), dropped: None }
    }
}

/// The file in force.
struct NewestFile<H> {
    number: u64,
    path: PathBuf,
    file: H,
    /// The numbers of the files that it replaced.
    older: Vec<u64>,
}

/// Opens the file in force, and makes its name durable: older files may be removed then, and it may be appended to. `None`
/// if the directory is empty or doesn't exist.
fn newest_file<F: FileSystem>(
    files: &F,
    directory: &Path,
) -> Result<Option<NewestFile<F::File>>, StorageError> {
    let names = match files.list_names(directory) {
        Ok(names) => names,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).context(IoSnafu { action: "list", path: directory }),
    };
    // Temporary files are never read, so one that a full disk refuses to remove does no harm.
    for name in names.iter().filter(|name| is_temporary(name)) {
        drop(files.remove(&directory.join(name)));
    }
    // Also where no file is left: a name that isn't there for good must not come back after a loss of power.
    sync_directory(files, directory)?;
    let mut older = file_numbers(&names);
    let Some(number) = older.pop() else { return Ok(None) };
    let path = file_path(directory, number);
    let file = files.open(&path).context(IoSnafu { action: "open", path: &path })?;
    Ok(Some(NewestFile { number, path, file, older }))
}

impl<H: OpenFile> NewestFile<H> {
    /// Reads all records, and cuts off a torn last write.
    fn read<F: FileSystem<File = H>>(
        mut self,
        files: F,
        directory: &Path,
    ) -> Result<Opened<F>, StorageError> {
        let bytes = self.file.read_all().context(IoSnafu { action: "read", path: &self.path })?;
        let Contents { records, complete_len, next_write_number } = read_contents(&self.path, &bytes)?;
        let is_torn = complete_len < bytes.len();
        let offset = complete_len as u64;
        let dropped = is_torn.then_some(TornTail { path: self.path, offset });
        let mut log = Log::opened(files, directory, self.number, self.file, offset, next_write_number);
        if is_torn {
            log.discard_torn_tail();
        }
        Ok(Opened { log, records, dropped })
    }
}
