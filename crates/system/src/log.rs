//! The log: plain lines on standard error.

use slog::{o, Drain, Level, LevelFilter, Logger};
use slog_term::{FullFormat, PlainSyncDecorator};

/// A logger that writes plain lines to standard error.
pub fn to_stderr(level: Level) -> Logger {
    let decorator = PlainSyncDecorator::new(std::io::stderr());
    let lines = FullFormat::new(decorator).build();
    Logger::root(LevelFilter::new(lines, level).fuse(), o!())
}
