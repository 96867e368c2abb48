//! Decides when to rewrite the log on disk: when it has grown large, or when a write fails, since a rewrite may free
//! space. A failed rewrite is retried after a delay.

use std::time::Duration;

use crankpick_control::Now;

/// The growth factor since the last rewrite that triggers the next one.
const REWRITE_RATIO: u64 = 4;
/// A smaller log isn't rewritten. In bytes.
const MIN_REWRITE_BYTES: u64 = 2 << 20;
/// A log of this size or more, in bytes, is rewritten once it has more than doubled, whatever `REWRITE_RATIO` says.
const MAX_REWRITE_BYTES: u64 = 8 << 20;
/// The minimum delay before a failed rewrite is retried, since each attempt writes the whole state.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Why the log may have to be rewritten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RewriteCause {
    /// The log has this many bytes.
    Length(u64),
    /// A write to the disk failed.
    FailedWrite,
}

/// The state of log rewriting.
#[derive(Clone, Debug, Default)]
pub struct LogRewriting {
    in_progress: bool,
    /// The length of the log after the last rewrite, in bytes.
    rewritten_bytes: u64,
    postponed_until: Now,
    failing: bool,
}

impl LogRewriting {
    /// Whether the log should be rewritten now.
    pub fn is_due(&self, now: Now, cause: RewriteCause) -> bool {
        if self.in_progress || now < self.postponed_until {
            return false;
        }
        match cause {
            RewriteCause::FailedWrite => true,
            RewriteCause::Length(bytes) => {
                let threshold =
                    (self.rewritten_bytes * REWRITE_RATIO).clamp(MIN_REWRITE_BYTES, MAX_REWRITE_BYTES);
                bytes >= threshold && bytes > self.rewritten_bytes.saturating_mul(2)
            }
        }
    }

    /// Records that a rewrite was queued at the disk thread.
    pub fn begin(&mut self) {
        self.in_progress = true;
    }

    /// Records that the rewrite succeeded, with a log of this many bytes. Returns whether the previous rewrite had failed.
    pub fn succeed(&mut self, bytes: u64) -> bool {
        self.in_progress = false;
        self.rewritten_bytes = bytes;
        self.postponed_until = Now::ZERO;
        std::mem::take(&mut self.failing)
    }

    /// Records that the rewrite failed. Returns whether it is the first consecutive failure.
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
