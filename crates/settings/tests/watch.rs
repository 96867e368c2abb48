//! A file that changes without a signal is taken once it rests.

use std::fs;
use std::path::PathBuf;

use crankpick_settings::{SettingsCode, SettingsWatch};

const EXAMPLE: &str = include_str!("documents/example.conf");

/// A settings file of a test's own.
fn file(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("{name}.conf"));
    fs::write(&path, EXAMPLE).unwrap();
    path
}

#[test]
fn a_file_as_it_was_is_nothing_new() {
    let (_, mut watch) = SettingsWatch::begin(file("same")).unwrap();
    assert!(watch.look().is_none() && watch.look().is_none());
}

#[test]
fn a_change_is_taken_once_when_it_rests() {
    let path = file("change");
    let (old, mut watch) = SettingsWatch::begin(&path).unwrap();
    fs::write(&path, EXAMPLE.replace("10.5.0.18", "10.5.0.19")).unwrap();
    assert!(watch.look().is_none(), "it may still be being written");
    let new = watch.look().unwrap().unwrap();
    assert!(new.changed_from(&old).seeds);
    assert!(watch.look().is_none() && watch.look().is_none());
}

#[test]
fn a_file_that_is_being_written_is_not_taken_half() {
    let path = file("half");
    let (_, mut watch) = SettingsWatch::begin(&path).unwrap();
    for length in [0, 100, 1_000] {
        fs::write(&path, &EXAMPLE[..length]).unwrap();
        assert!(watch.look().is_none());
    }
    fs::write(&path, EXAMPLE).unwrap();
    assert!(watch.look().is_none() && watch.look().is_none());
}

#[test]
fn an_unsound_file_is_told_of_once_and_a_sound_one_after_it_is_taken() {
    let path = file("unsound");
    let (_, mut watch) = SettingsWatch::begin(&path).unwrap();
    fs::write(&path, EXAMPLE.replace("bounds.drain_ms=", "bounds.drain_ms=x")).unwrap();
    assert!(watch.look().is_none());
    assert_eq!(watch.look().unwrap().unwrap_err().code, SettingsCode::Number);
    assert!(watch.look().is_none());
    fs::write(&path, EXAMPLE).unwrap();
    assert!(watch.look().is_none());
    assert!(watch.look().unwrap().is_ok());
}

#[test]
fn a_file_that_is_gone_changes_nothing() {
    let path = file("gone");
    let (_, mut watch) = SettingsWatch::begin(&path).unwrap();
    fs::remove_file(&path).unwrap();
    assert!(watch.look().is_none() && watch.look().is_none());
    assert_eq!(watch.read_now().unwrap_err().code, SettingsCode::Unreadable);
}

#[test]
fn a_signal_has_it_read_at_once() {
    let path = file("signal");
    let (old, mut watch) = SettingsWatch::begin(&path).unwrap();
    fs::write(&path, EXAMPLE.replace("bounds.drain_ms=2100", "bounds.drain_ms=1000")).unwrap();
    assert!(watch.read_now().unwrap().changed_from(&old).bounds);
    assert!(watch.look().is_none());
}
