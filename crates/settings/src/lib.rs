//! The settings file of a process, in the Java properties format, parsed into typed and validated values.
//!
//! [`Settings::read`] either accepts the whole file or rejects it with a one-line error and a code ([`SettingsCode`]).
//! Unknown keys are ignored; optional keys that are absent or empty take defaults. [`Settings::diff`] tells which settings
//! a reload has changed, and which of these changes a running process can apply.

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
