//! Decides when the log on disk is rewritten: when it has grown long, or when the disk refuses a write, since a rewrite may
//! free room. A rewrite that fails is put off.

use std::time::Duration;

use crankpick_control::Now;

/// The log is rewritten when it has grown by this factor since the last rewrite.
const REWRITE_RATIO: u64 = 4;
/// A shorter log isn't rewritten. In bytes.
const MIN_REWRITE_BYTES: u64 = 2 << 20;
/// A longer log is rewritten whatever its growth, if it has at least doubled. In bytes.
const MAX_REWRITE_BYTES: u64 = 8 << 20;
/// A rewrite that failed is tried again after this time at the earliest: each try writes the whole state.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Why the log may have to be rewritten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RewriteCause {
    /// The log has this many bytes.
    Length(u64),
    /// The disk refused a write.
    RefusedWrite,
}

/// The rewrites of the log.
#[derive(Clone, Debug, Default)]
pub struct LogRewriting {
    in_progress: bool,
    /// The length of the log after the last rewrite, in bytes.
    rewritten_bytes: u64,
    postponed_until: Now,
    failing: bool,
}

impl LogRewriting {
    /// Whether the log is to be rewritten now.
    pub fn is_due(&self, now: Now, cause: RewriteCause) -> bool {
        if self.in_progress || now < self.postponed_until {
            return false;
        }
        match cause {
            RewriteCause::RefusedWrite => true,
            RewriteCause::Length(bytes) => {
                let threshold =
                    (self.rewritten_bytes * REWRITE_RATIO).clamp(MIN_REWRITE_BYTES, MAX_REWRITE_BYTES);
                bytes >= threshold && bytes > self.rewritten_bytes.saturating_mul(2)
            }
        }
    }

    /// A rewrite was handed to the disk.
    pub fn begin(&mut self) {
        self.in_progress = true;
    }

    /// The rewrite has ended with a log of this many bytes. Returns whether earlier ones had failed.
    pub fn succeed(&mut self, bytes: u64) -> bool {
        self.in_progress = false;
        self.rewritten_bytes = bytes;
        self.postponed_until = Now::ZERO;
        std::mem::take(&mut self.failing)
    }

    /// The rewrite has failed. Returns whether it is the first one in a row.
    pub fn fail(&mut self, now: Now) -> bool {
        self.in_progress = false;
        self.postponed_until = now + RETRY_INTERVAL;
        !std::mem::replace(&mut self.failing, true)
    }

    /// Whether the last rewrite has failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }
}

#[cfg(test)]
#[path = "../tests/unit/log_rewriting.rs"]
mod tests;
