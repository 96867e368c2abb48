//! Detects changes of a settings file by polling, and reloads it once it has stopped changing.

use std::path::{Path, PathBuf};

use crate::code::SettingsError;
use crate::model::Settings;
use crate::parse::read_contents;

/// Polls a settings file for changes. To avoid loading a partially written file, its contents must be the same in two
/// consecutive polls.
#[derive(Debug)]
pub struct SettingsWatch {
    path: PathBuf,
    loaded: Vec<u8>,
    candidate: Option<Vec<u8>>,
}

impl SettingsWatch {
    /// Reads the settings and starts watching their file.
    pub fn start(path: impl AsRef<Path>) -> Result<(Settings, SettingsWatch), SettingsError> {
        let path = path.as_ref().to_owned();
        let loaded = read_contents(&path)?;
        let settings = Settings::parse(&path, &loaded)?;
        Ok((settings, SettingsWatch { path, loaded, candidate: None }))
    }

    /// Polls the file once. Returns `None` if the file is unchanged, has not yet been the same in two polls, or can't be
    /// read.
    pub fn poll(&mut self) -> Option<Result<Settings, SettingsError>> {
        let bytes = read_contents(&self.path).ok()?;
        if bytes == self.loaded {
            self.candidate = None;
            return None;
        }
        if self.candidate.as_ref() != Some(&bytes) {
            self.candidate = Some(bytes);
            return None;
        }
        Some(self.load(bytes))
    }

    /// Reads the file immediately, for example after a signal that it has changed.
    pub fn read_now(&mut self) -> Result<Settings, SettingsError> {
        let bytes = read_contents(&self.path)?;
        self.load(bytes)
    }

    fn load(&mut self, bytes: Vec<u8>) -> Result<Settings, SettingsError> {
        let settings = Settings::parse(&self.path, &bytes);
        self.loaded = bytes;
        self.candidate = None;
        settings
    }
}
