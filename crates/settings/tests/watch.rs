//! A changed file is reloaded once it has stopped changing.

use std::fs;
use std::path::PathBuf;

use crankpick_settings::{SettingsCode, SettingsWatch};

const EXAMPLE: &str = include_str!("documents/example.conf");

/// Creates a settings file for one test.
fn file(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}.conf"));
    fs::write(&path, EXAMPLE).unwrap();
    path
}

#[test]
fn unchanged_file_is_not_reloaded() {
    let (_, mut watch) = SettingsWatch::start(file("same")).unwrap();
    assert!(watch.poll().is_none() && watch.poll().is_none());
}

#[test]
fn stable_change_is_loaded_once() {
    let path = file("change");
    let (old, mut watch) = SettingsWatch::start(&path).unwrap();
    fs::write(&path, EXAMPLE.replace("10.5.0.18", "10.5.0.19")).unwrap();
    assert!(watch.poll().is_none(), "it may still be being written");
    let new = watch.poll().unwrap().unwrap();
    assert!(new.diff(&old).seeds);
    assert!(watch.poll().is_none() && watch.poll().is_none());
}

#[test]
fn partially_written_file_is_not_loaded() {
    let path = file("half");
    let (_, mut watch) = SettingsWatch::start(&path).unwrap();
    for length in [0, 100, 1_000] {
        fs::write(&path, &EXAMPLE[..length]).unwrap();
        assert!(watch.poll().is_none());
    }
    fs::write(&path, EXAMPLE).unwrap();
    assert!(watch.poll().is_none() && watch.poll().is_none());
}

#[test]
fn invalid_file_is_reported_once_and_a_later_valid_one_is_loaded() {
    let path = file("unsound");
    let (_, mut watch) = SettingsWatch::start(&path).unwrap();
    fs::write(&path, EXAMPLE.replace("bounds.drain_ms=", "bounds.drain_ms=x")).unwrap();
    assert!(watch.poll().is_none());
    assert_eq!(watch.poll().unwrap().unwrap_err().code, SettingsCode::InvalidNumber);
    assert!(watch.poll().is_none());
    fs::write(&path, EXAMPLE).unwrap();
    assert!(watch.poll().is_none());
    assert!(watch.poll().unwrap().is_ok());
}

#[test]
fn missing_file_is_ignored_by_polling() {
    let path = file("gone");
    let (_, mut watch) = SettingsWatch::start(&path).unwrap();
    fs::remove_file(&path).unwrap();
    assert!(watch.poll().is_none() && watch.poll().is_none());
    assert_eq!(watch.read_now().unwrap_err().code, SettingsCode::Unreadable);
}

#[test]
fn read_now_loads_a_change_immediately() {
    let path = file("signal");
    let (old, mut watch) = SettingsWatch::start(&path).unwrap();
    fs::write(&path, EXAMPLE.replace("bounds.drain_ms=2100", "bounds.drain_ms=1000")).unwrap();
    assert!(watch.read_now().unwrap().diff(&old).bounds);
    assert!(watch.poll().is_none());
}
