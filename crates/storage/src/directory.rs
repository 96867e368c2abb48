//! The directory of a log: its files are named `records-N`, and the highest number is in force.

use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::contents::{encode_write, FIRST_WRITE_NUMBER};
use crate::error::{IoSnafu, StorageError, SyncSnafu};
use crate::file_system::{FileSystem, OpenFile};

const FILE_PREFIX: &str = "records-";
const TEMPORARY_SUFFIX: &str = ".new";
/// The number of a directory's first file.
pub(crate) const FIRST_FILE_NUMBER: u64 = 1;

/// Creates the directory, durably, if it doesn't exist.
pub(crate) fn create_directory<F: FileSystem>(files: &F, directory: &Path) -> Result<(), StorageError> {
    files.create_directory(directory).context(IoSnafu { action: "make", path: directory })
}

/// Creates the directory and its first file, which is empty. Both are durable.
pub(crate) fn create_first_file<F: FileSystem>(files: &F, directory: &Path) -> Result<F::File, StorageError> {
    create_directory(files, directory)?;
    let (file, _empty) = create_file(files, directory, FIRST_FILE_NUMBER, &[])?;
    sync_directory(files, directory)?;
    Ok(file)
}

/// Creates a complete file under its final name. The file is synced; the directory isn't yet.
pub(crate) fn create_file<F: FileSystem>(
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
    file.sync().context(SyncSnafu { path })?;
    Ok(file)
}

/// Makes the names in the directory durable.
pub(crate) fn sync_directory<F: FileSystem>(files: &F, directory: &Path) -> Result<(), StorageError> {
    files.sync_directory(directory).context(SyncSnafu { path: directory })
}

/// The path of the file with that number.
pub(crate) fn file_path(directory: &Path, file_number: u64) -> PathBuf {
    directory.join(format!("{FILE_PREFIX}{file_number}"))
}

/// The numbers of the files among these names, ascending.
pub(crate) fn file_numbers(names: &[String]) -> Vec<u64> {
    let mut numbers: Vec<u64> =
        names.iter().filter_map(|name| name.strip_prefix(FILE_PREFIX)?.parse().ok()).collect();
    numbers.sort_unstable();
    numbers
}

/// Whether the name is that of a file which was being created.
pub(crate) fn is_temporary(name: &str) -> bool {
    name.starts_with(FILE_PREFIX) && name.ends_with(TEMPORARY_SUFFIX)
}
