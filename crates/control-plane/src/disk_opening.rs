//! Opens the log on disk at the start of a process, with retries.
//!
//! A corrupt log is quarantined, and the process joins as a new member. After an I/O error the files are left
//! untouched: they may be the last replica that the other members depend on.

use std::path::{Path, PathBuf};
use std::time::Duration;

use crankpick_storage::StorageError;
use slog::{warn, Logger};
use snafu::ResultExt;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::disk::{Disk, OpenMode, StoredRecord};
use crate::error::{ControlPlaneError, QuarantineSnafu};
use crate::event::Event;

/// The extension of quarantined files.
const QUARANTINE_EXTENSION: &str = "unsound";
/// The interval between attempts to open the log after an I/O error.
pub const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// After this many attempts the process exits, to be restarted by its supervisor.
const MAX_ATTEMPTS: u32 = 8;

/// Opens the log in `directory` and reads its records, retrying after I/O errors every `retry_interval`.
///
/// # Errors
///
/// The error of the last attempt.
pub async fn open_disk<R: StoredRecord>(
    directory: &Path,
    events: &Sender<Event>,
    retry_interval: Duration,
    log: &Logger,
) -> Result<(Disk<R>, Vec<R>), ControlPlaneError> {
    let mut mode = OpenMode::InPlace;
    for _ in 1..MAX_ATTEMPTS {
        let error = match Disk::open(directory, mode, events.clone()) {
            Ok(opened) => return Ok(opened),
            Err(error) => error,
        };
        if is_io_error(&error) {
            warn!(log, "the disk can't be opened yet"; "code" => error.code(), "cause" => %error);
            if is_failed_sync(&error) {
                mode = OpenMode::ByCopy;
            }
            sleep(retry_interval).await;
        } else if is_corrupt(&error) {
            slog::error!(log, "the disk's file is put aside"; "code" => error.code(), "cause" => %error);
            if let Err(error) = quarantine_files(directory) {
                warn!(log, "the disk's file can't be quarantined yet"; "code" => error.code(), "cause" => %error);
                sleep(retry_interval).await;
            }
        } else {
            return Err(error);
        }
    }
    Disk::open(directory, mode, events.clone())
}

/// Whether an I/O operation failed, so that the contents of the disk are unknown.
fn is_io_error(error: &ControlPlaneError) -> bool {
    matches!(error, ControlPlaneError::Storage { source: StorageError::Io { .. } }) || is_failed_sync(error)
}

/// Whether a sync failed: a later sync may report success although the data isn't durable.
fn is_failed_sync(error: &ControlPlaneError) -> bool {
    matches!(error, ControlPlaneError::Storage { source: StorageError::Sync { .. } })
}

/// Whether the contents were read but are corrupt.
fn is_corrupt(error: &ControlPlaneError) -> bool {
    matches!(error, ControlPlaneError::Storage { .. } | ControlPlaneError::Record { .. })
}

/// An unused path for a quarantined file.
fn unused_path(name: &Path) -> PathBuf {
    let numbered = |number: u32| name.with_extension(format!("{number}.{QUARANTINE_EXTENSION}"));
    (1..)
        .map(numbered)
        .find(|path| !path.exists())
        .unwrap_or_else(|| name.with_extension(QUARANTINE_EXTENSION))
}

/// Renames all files except those already quarantined. Directories hold other logs, which are left alone.
fn quarantine_files(directory: &Path) -> Result<(), ControlPlaneError> {
    for entry in std::fs::read_dir(directory).context(QuarantineSnafu { path: directory })? {
        let path = entry.context(QuarantineSnafu { path: directory })?.path();
        if path.is_dir() {
            continue;
        }
        if path.extension().is_none_or(|extension| extension != QUARANTINE_EXTENSION) {
            std::fs::rename(&path, unused_path(&path)).context(QuarantineSnafu { path: &path })?;
        }
    }
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/disk_opening.rs"]
mod tests;
