//! The error codes of invalid settings, and the error type.

use std::fmt;
use std::path::PathBuf;

use snafu::Snafu;

/// Why settings were rejected. `docs/codes.md` lists the codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SettingsCode {
    /// The environment variable with the path of the file is not set.
    PathNotSet,
    /// The file can't be read.
    Unreadable,
    /// The file exceeds the maximum size.
    TooLarge,
    /// A line is not of the form `a.b=value`.
    MalformedLine,
    /// A required key is absent or empty.
    MissingKey,
    /// A value is not a number or is out of range.
    InvalidNumber,
    /// A value is neither true nor false.
    InvalidBoolean,
    /// A value is not an IPv4 address, or lacks its port.
    InvalidAddress,
    /// The port range is not two ports in ascending order.
    InvalidPortRange,
}

impl SettingsCode {
    /// All codes in ascending order.
    pub const ALL: [SettingsCode; 9] = [
        SettingsCode::PathNotSet,
        SettingsCode::Unreadable,
        SettingsCode::TooLarge,
        SettingsCode::MalformedLine,
        SettingsCode::MissingKey,
        SettingsCode::InvalidNumber,
        SettingsCode::InvalidBoolean,
        SettingsCode::InvalidAddress,
        SettingsCode::InvalidPortRange,
    ];

    /// The code as shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            SettingsCode::PathNotSet => "SET-101",
            SettingsCode::Unreadable => "SET-102",
            SettingsCode::TooLarge => "SET-103",
            SettingsCode::MalformedLine => "SET-104",
            SettingsCode::MissingKey => "SET-105",
            SettingsCode::InvalidNumber => "SET-106",
            SettingsCode::InvalidBoolean => "SET-107",
            SettingsCode::InvalidAddress => "SET-108",
            SettingsCode::InvalidPortRange => "SET-109",
        }
    }

    /// What an operator can do about it.
    pub fn remedy(self) -> &'static str {
        match self {
            SettingsCode::PathNotSet => "set CRANKPICK_SETTINGS to the path of the settings file",
            SettingsCode::Unreadable => "check the path and that this user may read the file",
            SettingsCode::TooLarge => "name a settings file, of 1 MiB at most",
            SettingsCode::MalformedLine => "write the line as key=value in UTF-8",
            SettingsCode::MissingKey => "add the key with its value",
            SettingsCode::InvalidNumber => "give a number within the bounds",
            SettingsCode::InvalidBoolean => "give true or false",
            SettingsCode::InvalidAddress => {
                "give an IPv4 address, with a port where the key names a place to listen or call"
            }
            SettingsCode::InvalidPortRange => "give the first and the last port, as 7500,7515",
        }
    }
}

impl fmt::Display for SettingsCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// An error in settings. Displayed as one line with the file, the line if known, the code, the message and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}: {code} {message}; {}", location(file, *line), code.remedy()))]
pub struct SettingsError {
    /// The code of the error.
    pub code: SettingsCode,
    /// The settings file.
    pub file: PathBuf,
    /// The number of the invalid line, starting at 1.
    pub line: Option<usize>,
    /// The description of the error.
    pub message: String,
}

fn location(file: &std::path::Path, line: Option<usize>) -> String {
    match line {
        Some(line) => format!("{}:{line}", file.display()),
        None => file.display().to_string(),
    }
}
