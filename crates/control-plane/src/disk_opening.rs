//! Opens the log on disk at the start of a process, with retries.
//!
//! A corrupt log is quarantined, and the process joins as a new member. After an I/O error the files are left as they
//! are: they may be the last replica that the others count on.

use std::path::{Path, PathBuf};
use std::time::Duration;

use crankpick_control::Record;
use crankpick_storage::StorageError;
use slog::{warn, Logger};
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::disk::Disk;
use crate::error::ControlPlaneError;
use crate::event::Event;

/// The extension of quarantined files.
const QUARANTINE_EXTENSION: &str = "unsound";
/// The interval between attempts to open the log after an I/O error.
pub const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// After so many attempts the process ends, to be started again by its supervisor.
const MAX_ATTEMPTS: u32 = 8;

/// Opens the log in `directory` and reads its records, retrying after I/O errors every `retry_interval`.
///
/// # Errors
///
/// The error of the last attempt.
pub async fn open_disk(
    directory: &Path,
    events: &Sender<Event>,
    retry_interval: Duration,
    log: &Logger,
) -> Result<(Disk, Vec<Record>), ControlPlaneError> {
    for _ in 1..MAX_ATTEMPTS {
        match Disk::open(directory.to_path_buf(), events.clone()) {
            Ok(opened) => return Ok(opened),
            Err(error) if is_io_error(&error) => {
                warn!(log, "the disk can't be opened yet"; "code" => error.code(), "cause" => %error);
                sleep(retry_interval).await;
            }
            Err(error) if is_corrupt(&error) => {
                slog::error!(log, "the disk's file is put aside"; "code" => error.code(), "cause" => %error);
                quarantine_files(directory);
            }
            Err(error) => return Err(error),
        }
    }
    Disk::open(directory.to_path_buf(), events.clone())
}

/// Whether an operation failed, so that the contents of the disk aren't known.
fn is_io_error(error: &ControlPlaneError) -> bool {
    matches!(error, ControlPlaneError::Storage { source: StorageError::Io { .. } })
}

/// Whether the contents were read and can't be used.
fn is_corrupt(error: &ControlPlaneError) -> bool {
    matches!(error, ControlPlaneError::Storage { .. } | ControlPlaneError::Record { .. })
}

/// A path for a quarantined file that no earlier one has.
fn unused_path(name: &Path) -> PathBuf {
    let numbered = |number: u32| name.with_extension(format!("{number}.{QUARANTINE_EXTENSION}"));
    (1..)
        .map(numbered)
        .find(|path| !path.exists())
        .unwrap_or_else(|| name.with_extension(QUARANTINE_EXTENSION))
}

fn quarantine_files(directory: &Path) {
    let Ok(entries) = std::fs::read_dir(directory) else { return };
    for entry in entries.flatten() {
        let name = entry.path();
        if name.extension().is_none_or(|extension| extension != QUARANTINE_EXTENSION) {
            let _kept = std::fs::rename(&name, unused_path(&name));
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/disk_opening.rs"]
mod tests;
