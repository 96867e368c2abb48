//! The bytes of stored files: a file written by an earlier build is read, and this build writes the same bytes.

use std::fs;
use std::path::PathBuf;

use crankpick_storage::{Log, Opened};
use crankpick_test_support::Fixtures;

const FIRST_WRITE: &[&[u8]] = &[b"alone"];
const SECOND_WRITE: &[&[u8]] = &[b"first of three", b"", &[0x00, 0xff, 0x80]];
const REWRITTEN: &[&[u8]] = &[b"a snapshot", b"in two records"];
const AFTER_REWRITE: &[&[u8]] = &[b"appended later"];

fn fixtures() -> Fixtures {
    Fixtures::of(env!("CARGO_MANIFEST_DIR"))
}

/// A directory of its own for one test, empty.
fn empty_directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("crankpick-storage-fixture-{}-{name}", std::process::id()));
    drop(fs::remove_dir_all(&path));
    fs::create_dir_all(&path).expect("created");
    path
}

fn check_read(name: &str, file_name: &str, expected: &[&[u8]]) {
    let directory = empty_directory(&format!("read-{name}"));
    let file = directory.join(file_name);
    fs::copy(fixtures().path(name), &file).expect("copied");
    let Opened { log, records, dropped } = Log::open(&directory).expect("opened");
    assert_eq!(records, expected, "{name}");
    assert!(dropped.is_none(), "{name}");
    assert_eq!(log.path(), file);
    assert_eq!(log.size(), fs::metadata(&file).expect("there").len(), "{name}");
    fs::remove_dir_all(&directory).expect("removed");
}

#[test]
fn appended_writes_have_the_bytes_of_earlier_builds() {
    let directory = empty_directory("appended");
    let mut log = Log::open(&directory).expect("opened").log;
    log.append(FIRST_WRITE).expect("appended");
    log.append(SECOND_WRITE).expect("appended");
    fixtures().assert_bytes("appended.bin", &fs::read(directory.join("records-1")).expect("read"));
    check_read("appended.bin", "records-1", &[FIRST_WRITE, SECOND_WRITE].concat());
    fs::remove_dir_all(&directory).expect("removed");
}

#[test]
fn a_rewritten_file_has_the_bytes_of_earlier_builds() {
    let directory = empty_directory("rewritten");
    let mut log = Log::open(&directory).expect("opened").log;
    log.append(FIRST_WRITE).expect("appended");
    log.rewrite(REWRITTEN).expect("rewritten");
    log.append(AFTER_REWRITE).expect("appended");
    fixtures().assert_bytes("rewritten.bin", &fs::read(directory.join("records-2")).expect("read"));
    check_read("rewritten.bin", "records-2", &[REWRITTEN, AFTER_REWRITE].concat());
    fs::remove_dir_all(&directory).expect("removed");
}
