//! A settings file that may change without a signal: looked at now and then, taken once it rests.

use std::path::{Path, PathBuf};

use crate::code::SettingsError;
use crate::model::Settings;
use crate::parse::content;

/// Looks at a settings file again and again. A file that is being written is not taken half: its bytes must be the
/// same at two looks, one after the other.
#[derive(Debug)]
pub struct SettingsWatch {
    path: PathBuf,
    judged: Vec<u8>,
    seen: Option<Vec<u8>>,
}

impl SettingsWatch {
    /// Reads the settings, and begins to watch their file.
    pub fn begin(path: impl AsRef<Path>) -> Result<(Settings, SettingsWatch), SettingsError> {
        let path = path.as_ref().to_owned();
        let judged = content(&path)?;
        let settings = Settings::parse(&path, &judged)?;
        Ok((settings, SettingsWatch { path, judged, seen: None }))
    }

    /// One look: none while there is nothing new that rests, or the file can't be read.
    pub fn look(&mut self) -> Option<Result<Settings, SettingsError>> {
        let bytes = content(&self.path).ok()?;
        if bytes == self.judged {
            self.seen = None;
            return None;
        }
        if self.seen.as_ref() != Some(&bytes) {
            self.seen = Some(bytes);
            return None;
        }
        Some(self.judge(bytes))
    }

    /// Reads the file at once, as when told that it has changed.
    pub fn read_now(&mut self) -> Result<Settings, SettingsError> {
        let bytes = content(&self.path)?;
        self.judge(bytes)
    }

    fn judge(&mut self, bytes: Vec<u8>) -> Result<Settings, SettingsError> {
        let settings = Settings::parse(&self.path, &bytes);
        self.judged = bytes;
        self.seen = None;
        settings
    }
}
