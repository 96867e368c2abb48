//! From an order's body to a checked configuration.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::error::Category;

use crate::code::{ConfigurationCode, ConfigurationError};
use crate::lenient::Object;
use crate::message::Configuration;
use crate::validate;

/// No document is larger.
pub const MAX_DOCUMENT_BYTES: usize = 12 << 20;

/// Reads a configuration whole and checks all that doesn't depend on the current one.
pub fn read(bytes: &[u8]) -> Result<Configuration, ConfigurationError> {
    let configuration = parse(bytes)?;
    match validate::first_problem(&configuration) {
        Some(problem) => Err(ConfigurationError::new(problem.code, None, problem.text)),
        None => Ok(configuration),
    }
}

/// Reads a configuration without checking what it says.
pub(crate) fn parse(bytes: &[u8]) -> Result<Configuration, ConfigurationError> {
    if bytes.len() > MAX_DOCUMENT_BYTES {
        let text = format!("the document has {} bytes, over {MAX_DOCUMENT_BYTES}", bytes.len());
        return Err(ConfigurationError::new(ConfigurationCode::TooLarge, None, text));
    }
    let object: Object<Configuration> = from_json(bytes)?;
    Ok(object.0)
}

/// Reads JSON that must be text throughout, fields that are skipped included.
pub(crate) fn from_json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, ConfigurationError> {
    let text = std::str::from_utf8(bytes).map_err(|error| not_text(bytes, error.valid_up_to()))?;
    serde_json::from_str(text).map_err(unreadable)
}

/// Bytes that are no text, be it in a field that is skipped.
fn not_text(bytes: &[u8], place: usize) -> ConfigurationError {
    let line = 1 + bytes[..place].iter().filter(|byte| **byte == b'\n').count();
    ConfigurationError::new(ConfigurationCode::NotJson, Some(line), "the document is not UTF-8".to_owned())
}

pub(crate) fn unreadable(error: serde_json::Error) -> ConfigurationError {
    let code = match error.classify() {
        Category::Eof => ConfigurationCode::CutShort,
        Category::Data => ConfigurationCode::WrongType,
        Category::Syntax | Category::Io => ConfigurationCode::NotJson,
    };
    let line = (error.line() > 0).then_some(error.line());
    ConfigurationError::new(code, line, error.to_string())
}

impl Configuration {
    /// Checks that this configuration may follow the current one, 0 being the number before the first.
    pub fn validate_against(&self, current_generation: u64) -> Result<(), ConfigurationError> {
        if self.generation > current_generation {
            return Ok(());
        }
        let text = format!("generation {} is not above the current {current_generation}", self.generation);
        Err(ConfigurationError::new(ConfigurationCode::Generation, None, text))
    }
}

/// A configuration together with the bytes that it was sent as, which is how it is read back.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// The body as sent.
    pub bytes: Bytes,
    /// What it says.
    pub configuration: Configuration,
}

impl Document {
    /// Reads and checks a body, as [`read`] does, and keeps it.
    pub fn read(bytes: Bytes) -> Result<Document, ConfigurationError> {
        let configuration = read(&bytes)?;
        Ok(Document { bytes, configuration })
    }

    /// The configuration's number.
    pub fn generation(&self) -> u64 {
        self.configuration.generation
    }
}
