//! Opening the log: an I/O error leaves the files untouched, and corrupt records are quarantined.

use std::fs;

use crankpick_control::{MemberId, Record, RecordBody};
use crankpick_storage::Log;
use slog::{o, Discard};
use tokio::runtime::Builder;
use tokio::sync::mpsc::channel;

use super::*;

/// A temporary directory, removed on drop.
struct TestDirectory(PathBuf);

impl TestDirectory {
    /// Creates a directory with a log that holds the identity of a member.
    fn with_identity(name: &str) -> TestDirectory {
        let path = std::env::temp_dir().join(format!("crankpick-opening-{}-{name}", std::process::id()));
        drop(fs::remove_dir_all(&path));
        let mut log = Log::open(&path).unwrap().log;
        log.append(&[&identity().encode().unwrap()]).unwrap();
        TestDirectory(path)
    }

    fn file_names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).unwrap();
        let file_names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
        let mut file_names: Vec<String> = file_names.collect();
        file_names.sort_unstable();
        file_names
    }

    fn open(&self) -> Result<Vec<Record>, ControlPlaneError> {
        let runtime = Builder::new_current_thread().enable_time().build().unwrap();
        let (events, _receiver) = channel(8);
        let log = Logger::root(Discard, o!());
        let opened = runtime.block_on(open_disk(&self.0, &events, Duration::from_millis(1), &log));
        opened.map(|(_, records)| records)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

fn identity() -> Record {
    Record { number: 1, body: RecordBody::Identity { id: MemberId(7), bootstrap: Vec::new() } }
}

#[test]
fn io_error_leaves_the_files_untouched() {
    let directory = TestDirectory::with_identity("refuses");
    // A directory in place of the newest file: it can't be opened for writing, even by root.
    fs::create_dir(directory.0.join("records-2")).unwrap();
    let before = directory.file_names();
    let result = directory.open();
    assert!(matches!(&result, Err(ControlPlaneError::Storage { .. })), "{result:?}");
    let message = result.map_err(|error| error.to_string()).unwrap_err();
    assert!(message.contains("its contents are kept") && !message.contains("empty the folder"), "{message}");
    assert_eq!(directory.file_names(), before);
    fs::remove_dir(directory.0.join("records-2")).unwrap();
    assert_eq!(directory.open().unwrap(), [identity()]);
}

#[test]
fn file_with_corrupt_records_is_quarantined() {
    let directory = TestDirectory::with_identity("unsound");
    let mut log = Log::open(&directory.0).unwrap().log;
    log.append(&[b"a record of no build"]).unwrap();
    assert_eq!(directory.open().unwrap(), []);
    // No new file is created before there is a record to store.
    assert_eq!(directory.file_names(), ["records-1.1.unsound"]);
    let mut log = Log::open(&directory.0).unwrap().log;
    log.append(&[b"a record"]).unwrap();
    assert_eq!(directory.file_names(), ["records-1", "records-1.1.unsound"]);
}

#[test]
fn quarantine_failure_is_reported() {
    let directory = TestDirectory::with_identity("kept");
    let missing = directory.0.join("missing");
    let error = quarantine_files(&missing).unwrap_err();
    assert_eq!(error.code(), "CTL-206");
    assert!(error.to_string().contains("missing"), "{error}");
    quarantine_files(&directory.0).unwrap();
    assert_eq!(directory.file_names(), ["records-1.1.unsound"]);
}
