//! The lines of a settings file: keys with their values and line numbers.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use java_properties::{LineContent, PropertiesIter};

use crate::code::{SettingsCode, SettingsError};

/// One value and where it stands.
#[derive(Clone, Debug)]
struct Entry {
    value: String,
    line: usize,
}

/// All keys of a file. Of a key that stands twice the last holds, as the format has it.
#[derive(Debug)]
pub(crate) struct Properties {
    file: PathBuf,
    entries: BTreeMap<String, Entry>,
}

impl Properties {
    /// Reads the lines of a file's bytes.
    pub(crate) fn parse(file: &Path, bytes: &[u8]) -> Result<Properties, SettingsError> {
        let malformed = |line, text: String| SettingsError {
            code: SettingsCode::Malformed,
            file: file.to_owned(),
            line,
            text,
        };
        if let Err(error) = std::str::from_utf8(bytes) {
            let line = 1 + bytes[..error.valid_up_to()].iter().filter(|byte| **byte == b'\n').count();
            return Err(malformed(Some(line), "the line is not UTF-8".to_owned()));
        }
        let mut entries = BTreeMap::new();
        for line in PropertiesIter::new_with_encoding(bytes, encoding_rs::UTF_8) {
            let line = line.map_err(|error| malformed(error.line_number(), error.to_string()))?;
            let number = line.line_number();
            if let LineContent::KVPair(key, value) = line.consume_content() {
                entries.insert(key, Entry { value: value.trim().to_owned(), line: number });
            }
        }
        Ok(Properties { file: file.to_owned(), entries })
    }

    /// The value of a key, unless it is absent or empty.
    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        let value = self.entries.get(key)?.value.as_str();
        (!value.is_empty()).then_some(value)
    }

    /// The elements of a list, empty ones left out.
    pub(crate) fn list(&self, key: &str) -> impl Iterator<Item = &str> {
        let value = self.text(key).unwrap_or_default();
        value.split(',').map(str::trim).filter(|element| !element.is_empty())
    }

    /// What follows a prefix in keys, with their values.
    pub(crate) fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.entries
            .iter()
            .filter_map(move |(key, entry)| Some((key.strip_prefix(prefix)?, entry.value.as_str())))
    }

    /// An error at a key's line.
    pub(crate) fn error(&self, code: SettingsCode, key: &str, text: impl Into<String>) -> SettingsError {
        let line = self.entries.get(key).map(|entry| entry.line);
        SettingsError { code, file: self.file.clone(), line, text: text.into() }
    }
}
