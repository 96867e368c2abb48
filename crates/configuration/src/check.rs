//! Looking over an operator's configuration file: all that is wrong with it, not the first thing alone.

use std::fmt;
use std::fs::File;
use std::io::Read;
use std::path::Path;

use crate::code::{ConfigurationCode, ConfigurationError};
use crate::locate::Locator;
use crate::read::{self, MAX_DOCUMENT_BYTES};
use crate::validate::{self, Problem};

/// No more findings are told of one file.
const MAX_FINDINGS: usize = 1_000;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What kind of fault it is.
    pub code: ConfigurationCode,
    /// Where, the first line being 1.
    pub line: Option<usize>,
    /// What is wrong.
    pub text: String,
    /// What to do about it.
    pub remedy: &'static str,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        write!(formatter, "{} {}; {}", self.code, self.text, self.remedy)
    }
}

impl From<ConfigurationError> for Finding {
    fn from(error: ConfigurationError) -> Finding {
        Finding {
            code: error.code(),
            line: error.line(),
            text: error.text().to_owned(),
            remedy: error.code().remedy(),
        }
    }
}

/// Looks over a configuration file. Nothing found means that a fleet takes it, if its number is above the current one.
pub fn check(path: impl AsRef<Path>) -> Vec<Finding> {
    match content(path.as_ref()) {
        Ok(bytes) => check_bytes(&bytes),
        Err(error) => {
            let text = format!("{}: {error}", path.as_ref().display());
            vec![ConfigurationError::new(ConfigurationCode::Unreadable, None, text).into()]
        }
    }
}

/// Looks over a configuration's bytes.
pub fn check_bytes(bytes: &[u8]) -> Vec<Finding> {
    let configuration = match read::parse(bytes) {
        Ok(configuration) => configuration,
        Err(error) => return vec![error.into()],
    };
    let problems = validate::problems(&configuration, MAX_FINDINGS);
    if problems.is_empty() {
        return Vec::new();
    }
    let locator = Locator::new(std::str::from_utf8(bytes).unwrap_or_default());
    let found = |problem: Problem| Finding {
        code: problem.code,
        line: locator.line(problem.subject),
        text: problem.text,
        remedy: problem.code.remedy(),
    };
    problems.into_iter().map(found).collect()
}

/// The file's bytes, one more than the bound at most.
fn content(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let bound = MAX_DOCUMENT_BYTES as u64 + 1;
    File::open(path)?.take(bound).read_to_end(&mut bytes)?;
    Ok(bytes)
}
