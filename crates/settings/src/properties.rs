//! The key-value pairs of a settings file, with their line numbers.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use java_properties::{LineContent, PropertiesIter};

use crate::code::{SettingsCode, SettingsError};

/// A value and its line number.
#[derive(Clone, Debug)]
struct Entry {
    value: String,
    line: usize,
}

/// All keys of a file. The last occurrence of a duplicate key wins, as the format specifies.
#[derive(Debug)]
pub(crate) struct Properties {
    file: PathBuf,
    entries: BTreeMap<String, Entry>,
}

impl Properties {
    /// Parses the contents of a file.
    pub(crate) fn parse(file: &Path, bytes: &[u8]) -> Result<Properties, SettingsError> {
        let malformed = |line, message: String| SettingsError {
            code: SettingsCode::MalformedLine,
            file: file.to_owned(),
            line,
            message,
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

    /// The value of a key, or `None` if it is absent or empty.
    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        let value = self.entries.get(key)?.value.as_str();
        (!value.is_empty()).then_some(value)
    }

    /// The non-empty elements of a comma-separated list.
    pub(crate) fn list(&self, key: &str) -> impl Iterator<Item = &str> {
        let value = self.text(key).unwrap_or_default();
        value.split(',').map(str::trim).filter(|element| !element.is_empty())
    }

    /// The keys that begin with a prefix, without the prefix, and their values.
    pub(crate) fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.entries
            .iter()
            .filter_map(move |(key, entry)| Some((key.strip_prefix(prefix)?, entry.value.as_str())))
    }

    /// Creates an error for the line of a key.
    pub(crate) fn error(&self, code: SettingsCode, key: &str, message: impl Into<String>) -> SettingsError {
        let line = self.entries.get(key).map(|entry| entry.line);
        SettingsError { code, file: self.file.clone(), line, message: message.into() }
    }
}
