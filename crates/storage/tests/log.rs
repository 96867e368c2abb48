//! The log on a real folder: what is synced lasts, what was torn is dropped, what is unsound is named.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use crankpick_storage::{Log, Opened, StorageError};

/// A folder of its own, removed in the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("crankpick-storage-{}-{name}", std::process::id()));
        drop(fs::remove_dir_all(&path));
        Folder(path)
    }

    fn file(&self, number: u64) -> PathBuf {
        self.0.join(format!("records-{number}"))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

fn records(folder: &Path) -> Vec<String> {
    let records = Log::open(folder).expect("opened").records;
    texts(records)
}

fn texts(records: Vec<Vec<u8>>) -> Vec<String> {
    records.into_iter().map(|record| String::from_utf8(record).expect("text")).collect()
}

#[test]
fn what_was_appended_is_read_in_order() {
    let folder = Folder::new("order");
    let Opened { mut log, records: old, dropped } = Log::open(&folder.0).expect("made");
    assert!(old.is_empty() && dropped.is_none());
    log.append(&[b"one", b"two"]).expect("appended");
    log.append(&[]).expect("nothing to do");
    log.append(&[b""]).expect("appended");
    drop(log);
    let Opened { mut log, records: old, .. } = Log::open(&folder.0).expect("opened");
    assert_eq!(texts(old), ["one", "two", ""]);
    log.append(&[b"three"]).expect("appended");
    assert_eq!(log.size(), fs::metadata(log.path()).expect("there").len());
    assert_eq!(records(&folder.0), ["one", "two", "", "three"]);
}

#[test]
fn a_rewrite_stands_in_for_all_before_it() {
    let folder = Folder::new("rewrite");
    let mut log = Log::open(&folder.0).expect("made").log;
    for _ in 0..100 {
        log.append(&[b"long ago"]).expect("appended");
    }
    let before = log.size();
    log.rewrite(&[b"now"]).expect("rewritten");
    assert!(log.size() < before / 50);
    log.append(&[b"later"]).expect("appended");
    assert_eq!(records(&folder.0), ["now", "later"]);
    let mut log = Log::open(&folder.0).expect("opened").log;
    log.rewrite(&[]).expect("rewritten");
    log.append(&[b"alone"]).expect("appended");
    assert_eq!(records(&folder.0), ["alone"]);
    assert_eq!(fs::read_dir(&folder.0).expect("listed").count(), 1);
}

#[test]
fn a_last_write_torn_anywhere_is_dropped_whole() {
    let folder = Folder::new("torn");
    let mut log = Log::open(&folder.0).expect("made").log;
    log.append(&[b"kept"]).expect("appended");
    let kept = log.size();
    log.append(&[b"first of two", b"second of two"]).expect("appended");
    let whole = fs::read(log.path()).expect("read");
    let path = log.path().to_path_buf();
    for end in kept as usize..whole.len() {
        fs::write(&path, &whole[..end]).expect("torn");
        let Opened { mut log, records: old, dropped } = Log::open(&folder.0).expect("opened");
        assert_eq!(texts(old), ["kept"], "cut at {end}");
        let offset = dropped.map(|torn| torn.offset);
        assert_eq!(offset, (end as u64 > kept).then_some(kept));
        log.append(&[b"after"]).expect("appended");
        assert_eq!(records(&folder.0), ["kept", "after"]);
    }
}

#[test]
fn a_last_write_with_a_hole_is_dropped_whole() {
    let folder = Folder::new("hole");
    let mut log = Log::open(&folder.0).expect("made").log;
    log.append(&[b"kept"]).expect("appended");
    let kept = log.size() as usize;
    log.append(&[b"first of two", b"second of two"]).expect("appended");
    let whole = fs::read(log.path()).expect("read");
    for at in kept..whole.len() - 8 {
        let mut torn = whole.clone();
        torn[at..at + 8].fill(0);
        if torn == whole {
            continue;
        }
        fs::write(log.path(), &torn).expect("torn");
        assert_eq!(records(&folder.0), ["kept"], "zeros at {at}");
    }
}

#[test]
fn an_unsound_record_before_a_later_write_is_named() {
    let folder = Folder::new("unsound");
    let mut log = Log::open(&folder.0).expect("made").log;
    log.append(&[b"kept"]).expect("appended");
    let kept = log.size();
    log.append(&[b"acknowledged"]).expect("appended");
    let second = log.size();
    log.append(&[b"later"]).expect("appended");
    let whole = fs::read(log.path()).expect("read");
    for at in kept as usize..second as usize {
        let mut unsound = whole.clone();
        unsound[at] ^= 0x40;
        fs::write(log.path(), &unsound).expect("spoilt");
        match Log::open(&folder.0) {
            Err(StorageError::Corrupt { path, offset }) => assert_eq!((path, offset), (folder.file(1), kept)),
            other => panic!("byte {at}: {other:?}"),
        }
    }
}

#[test]
fn a_crash_at_any_step_of_a_rewrite_loses_nothing() {
    let folder = Folder::new("steps");
    let mut log = Log::open(&folder.0).expect("made").log;
    log.append(&[b"old"]).expect("appended");
    let old = fs::read(log.path()).expect("read");
    log.rewrite(&[b"new"]).expect("rewritten");
    let new = fs::read(log.path()).expect("read");
    drop(log);
    // Before the rename: the unfinished file counts for nothing.
    for length in 0..=new.len() {
        fs::remove_file(folder.file(2)).ok();
        fs::write(folder.file(1), &old).expect("written");
        fs::write(folder.0.join("records-2.new"), &new[..length]).expect("written");
        assert_eq!(records(&folder.0), ["old"]);
    }
    // After it, with the old one still there: the new one counts, and the old one goes.
    fs::write(folder.file(1), &old).expect("written");
    fs::write(folder.file(2), &new).expect("written");
    assert_eq!(records(&folder.0), ["new"]);
    assert!(!folder.file(1).exists());
}

#[test]
fn a_failed_rewrite_leaves_the_old_records() {
    let folder = Folder::new("failed");
    let mut log = Log::open(&folder.0).expect("made").log;
    log.append(&[b"old"]).expect("appended");
    // A folder of that name makes the new file impossible.
    fs::create_dir(folder.0.join("records-2.new")).expect("made");
    assert!(log.rewrite(&[b"new"]).is_err());
    log.append(&[b"later"]).expect("appended");
    fs::remove_dir(folder.0.join("records-2.new")).expect("removed");
    assert_eq!(records(&folder.0), ["old", "later"]);
    log.rewrite(&[b"all"]).expect("rewritten");
    assert_eq!(records(&folder.0), ["all"]);
}

#[test]
fn what_a_refused_write_left_is_cut_off() {
    let folder = Folder::new("cut");
    let mut log = Log::open(&folder.0).expect("made").log;
    log.append(&[b"kept"]).expect("appended");
    let end = log.size();
    let mut file = OpenOptions::new().append(true).open(log.path()).expect("opened");
    file.write_all(b"half a record").expect("written");
    drop(log);
    let Opened { mut log, records: old, dropped } = Log::open(&folder.0).expect("opened");
    assert_eq!(texts(old), ["kept"]);
    assert_eq!(dropped.map(|torn| torn.offset), Some(end));
    log.append(&[b"next"]).expect("appended");
    assert_eq!(records(&folder.0), ["kept", "next"]);
}

#[test]
fn a_record_too_long_is_refused_and_nothing_is_written() {
    let folder = Folder::new("long");
    let mut log = Log::open(&folder.0).expect("made").log;
    let long = vec![0; (32 << 20) + 1];
    assert!(matches!(log.append(&[&long]), Err(StorageError::RecordTooLong { .. })));
    assert_eq!(log.size(), 0);
    log.append(&[b"short"]).expect("appended");
    assert_eq!(records(&folder.0), ["short"]);
}
