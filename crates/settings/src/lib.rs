//! The settings file of a process: read by a library for its format, typed and checked.
//!
//! [`Settings::read`] takes the file whole or refuses it in one line with a numbered code ([`SettingsCode`]); keys that
//! it doesn't know are skipped, optional ones that are absent or empty take defaults. [`Settings::changed_from`] tells
//! what a file that was read again has changed, and what of it a running process may take.

mod change;
mod code;
mod model;
mod parse;
mod properties;
mod watch;

pub use change::SettingsChange;
pub use code::{SettingsCode, SettingsError};
pub use model::{Bounds, Limits, Listen, PortRange, Settings, Tolerate, ROLE_CONTROL, ROLE_EDGE};
pub use parse::{path_from_environment, SETTINGS_VARIABLE};
pub use watch::SettingsWatch;
