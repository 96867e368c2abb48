//! Opens the disk at the start of a process.
//!
//! A file whose records can't be understood is put aside, and the process joins as one that remembers nothing. A disk that
//! only refuses is another matter: what it holds may be the last copy that others count on, so that it stays as it is.

use std::path::{Path, PathBuf};
use std::time::Duration;

use crankpick_control::Record;
use crankpick_storage::StorageError;
use slog::{error, warn, Logger};
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::disk::Disk;
use crate::error::ControlPlaneError;
use crate::event::Event;

/// What the names of files that were put aside end with.
const UNSOUND: &str = "unsound";
/// Between two tries to open a disk that refuses.
pub const OPEN_AGAIN: Duration = Duration::from_millis(250);
/// So many tries; then the process ends, and whoever starts it again tries anew.
const TRIES: u32 = 8;

/// Opens the disk and reads its records.
pub async fn open_disk(
    folder: &Path,
    events: &Sender<Event>,
    again: Duration,
    log: &Logger,
) -> Result<(Disk, Vec<Record>), ControlPlaneError> {
    for _ in 1..TRIES {
        match Disk::open(folder.to_path_buf(), events.clone()) {
            Ok(opened) => return Ok(opened),
            Err(wrong) if refuses(&wrong) => {
                warn!(log, "the disk can't be opened yet"; "code" => wrong.code(), "cause" => %wrong);
                sleep(again).await;
            }
            Err(wrong) if is_unsound(&wrong) => {
                error!(log, "the disk's file is put aside"; "code" => wrong.code(), "cause" => %wrong);
                put_aside(folder);
            }
            Err(wrong) => return Err(wrong),
        }
    }
    Disk::open(folder.to_path_buf(), events.clone())
}

/// The disk didn't do what it was asked for: what it holds isn't known.
fn refuses(wrong: &ControlPlaneError) -> bool {
    matches!(wrong, ControlPlaneError::Storage { source: StorageError::Io { .. } })
}

/// What the disk holds was read, and can't be used.
fn is_unsound(wrong: &ControlPlaneError) -> bool {
    matches!(wrong, ControlPlaneError::Storage { .. } | ControlPlaneError::Record { .. })
}

/// A name for a file that is put aside, which no earlier one has.
fn unused(name: &Path) -> PathBuf {
    let numbered = |number: u32| name.with_extension(format!("{number}.{UNSOUND}"));
    (1..).map(numbered).find(|path| !path.exists()).unwrap_or_else(|| name.with_extension(UNSOUND))
}

fn put_aside(folder: &Path) {
    let Ok(entries) = std::fs::read_dir(folder) else { return };
    for entry in entries.flatten() {
        let name = entry.path();
        if name.extension().is_none_or(|extension| extension != UNSOUND) {
            let _kept = std::fs::rename(&name, unused(&name));
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/disk_opening.rs"]
mod tests;
