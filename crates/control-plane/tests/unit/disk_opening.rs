//! A disk that refuses keeps what it holds; one whose records are unsound is put aside.

use std::fs;

use crankpick_control::{MemberId, RecordBody};
use crankpick_storage::Log;
use slog::{o, Discard};
use tokio::runtime::Builder;
use tokio::sync::mpsc::channel;

use super::*;

/// A folder of its own, removed in the end.
struct Folder(PathBuf);

impl Folder {
    /// A folder with the identity of a member on its disk.
    fn with_identity(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("crankpick-opening-{}-{name}", std::process::id()));
        drop(fs::remove_dir_all(&path));
        let mut log = Log::open(&path).unwrap().log;
        log.append(&[&identity().encode().unwrap()]).unwrap();
        Folder(path)
    }

    fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).unwrap();
        let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
        let mut names: Vec<String> = names.collect();
        names.sort_unstable();
        names
    }

    fn open(&self) -> Result<Vec<Record>, ControlPlaneError> {
        let runtime = Builder::new_current_thread().enable_time().build().unwrap();
        let (events, _heard) = channel(8);
        let log = Logger::root(Discard, o!());
        let opened = runtime.block_on(open_disk(&self.0, &events, Duration::from_millis(1), &log));
        opened.map(|(_, records)| records)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

fn identity() -> Record {
    Record { number: 1, body: RecordBody::Identity { id: MemberId(7), bootstrap: Vec::new() } }
}

#[test]
fn a_disk_that_refuses_keeps_what_it_holds() {
    let folder = Folder::with_identity("refuses");
    // A folder in the place of the newest file: it can't be opened for writing, whoever runs this.
    fs::create_dir(folder.0.join("records-2")).unwrap();
    let before = folder.names();
    let refused = folder.open();
    assert!(matches!(&refused, Err(ControlPlaneError::Storage { .. })), "{refused:?}");
    let advice = refused.map_err(|error| error.to_string()).unwrap_err();
    assert!(advice.contains("its contents are kept") && !advice.contains("empty the folder"), "{advice}");
    assert_eq!(folder.names(), before);
    fs::remove_dir(folder.0.join("records-2")).unwrap();
    assert_eq!(folder.open().unwrap(), [identity()]);
}

#[test]
fn a_file_of_unsound_records_is_put_aside() {
    let folder = Folder::with_identity("unsound");
    let mut log = Log::open(&folder.0).unwrap().log;
    log.append(&[b"a record of no build"]).unwrap();
    assert_eq!(folder.open().unwrap(), []);
    // Nothing is made before there is something to store.
    assert_eq!(folder.names(), ["records-1.1.unsound"]);
    let mut log = Log::open(&folder.0).unwrap().log;
    log.append(&[b"a record"]).unwrap();
    assert_eq!(folder.names(), ["records-1", "records-1.1.unsound"]);
}

#[test]
fn files_that_cant_be_put_aside_are_told() {
    let folder = Folder::with_identity("kept");
    let missing = folder.0.join("missing");
    let error = quarantine_files(&missing).unwrap_err();
    assert_eq!(error.code(), "CTL-206");
    assert!(error.to_string().contains("missing"), "{error}");
    quarantine_files(&folder.0).unwrap();
    assert_eq!(folder.names(), ["records-1.1.unsound"]);
}
