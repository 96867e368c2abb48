//! The numbered codes of unsound settings, and the error that bears one.

use std::fmt;
use std::path::PathBuf;

use snafu::Snafu;

/// Why settings were refused. The numbers are listed in `docs/codes.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SettingsCode {
    /// The variable that names the file is not set.
    NotNamed,
    /// The file can't be read.
    Unreadable,
    /// The file is larger than any settings file may be.
    TooLarge,
    /// A line is not of the form `a.b=value`.
    Malformed,
    /// A key that the process can't do without is absent or empty.
    Missing,
    /// A value is not a number, or not one in its key's bounds.
    Number,
    /// A value is not true or false.
    Flag,
    /// A value is not an IPv4 address, or not one with a port.
    Address,
    /// The range of ports is not two ports in rising order.
    Ports,
}

impl SettingsCode {
    /// All codes, in the order of their numbers.
    pub const ALL: [SettingsCode; 9] = [
        SettingsCode::NotNamed,
        SettingsCode::Unreadable,
        SettingsCode::TooLarge,
        SettingsCode::Malformed,
        SettingsCode::Missing,
        SettingsCode::Number,
        SettingsCode::Flag,
        SettingsCode::Address,
        SettingsCode::Ports,
    ];

    /// The code as operators read it.
    pub fn as_str(self) -> &'static str {
        match self {
            SettingsCode::NotNamed => "SET-101",
            SettingsCode::Unreadable => "SET-102",
            SettingsCode::TooLarge => "SET-103",
            SettingsCode::Malformed => "SET-104",
            SettingsCode::Missing => "SET-105",
            SettingsCode::Number => "SET-106",
            SettingsCode::Flag => "SET-107",
            SettingsCode::Address => "SET-108",
            SettingsCode::Ports => "SET-109",
        }
    }

    /// What an operator does about it.
    pub fn remedy(self) -> &'static str {
        match self {
            SettingsCode::NotNamed => "set CRANKPICK_SETTINGS to the path of the settings file",
            SettingsCode::Unreadable => "check the path and that this user may read the file",
            SettingsCode::TooLarge => "name a settings file, of 1 MiB at most",
            SettingsCode::Malformed => "write the line as key=value in UTF-8",
            SettingsCode::Missing => "add the key with its value",
            SettingsCode::Number => "give a number within the bounds",
            SettingsCode::Flag => "give true or false",
            SettingsCode::Address => {
                "give an IPv4 address, with a port where the key names a place to listen or call"
            }
            SettingsCode::Ports => "give the first and the last port, as 7500,7515",
        }
    }
}

impl fmt::Display for SettingsCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Settings that were refused, in one line: file, line where there is one, code, what is wrong, remedy.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}: {code} {text}; {}", place(file, *line), code.remedy()))]
pub struct SettingsError {
    /// What kind of fault it is.
    pub code: SettingsCode,
    /// The settings file.
    pub file: PathBuf,
    /// The line at fault, the first being 1.
    pub line: Option<usize>,
    /// What is wrong.
    pub text: String,
}

fn place(file: &std::path::Path, line: Option<usize>) -> String {
    match line {
        Some(line) => format!("{}:{line}", file.display()),
        None => file.display().to_string(),
    }
}
