//! Monitors how many more member failures can be tolerated, and decides when to report that the number is too low.

use std::time::Duration;

use crankpick_control::{Now, Replica};

/// The code for fault tolerance below the required level, in the log and in the status.
pub const LOW_TOLERANCE_CODE: &str = "CTL-302";
/// Shorter periods of low tolerance aren't reported, since a rolling restart causes them as well.
const MIN_DURATION: Duration = Duration::from_secs(3);

/// How many more members may fail while changes can still be committed, as seen by this process. `None` while no view
/// is known.
pub fn tolerable_losses(replica: &Replica) -> Option<usize> {
    (replica.view().epoch > 0).then(|| replica.bearable_losses())
}

/// A change of the fault tolerance that is to be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToleranceChange {
    /// Fewer failures than required can be tolerated.
    Low {
        /// The number of members that may fail.
        tolerable: usize,
    },
    /// The required number of failures can be tolerated again.
    Sufficient {
        /// The number of members that may fail.
        tolerable: usize,
    },
}

/// Compares the number of tolerable failures with the required number.
#[derive(Clone, Debug)]
pub struct ToleranceMonitor {
    required: usize,
    low_since: Option<Now>,
    reported: bool,
}

impl ToleranceMonitor {
    /// Creates a monitor that requires `required` member failures to be tolerable.
    pub fn new(required: usize) -> Self {
        ToleranceMonitor { required, low_since: None, reported: false }
    }

    /// The number of member failures that must be tolerable.
    pub fn required(&self) -> usize {
        self.required
    }

    /// Records how many failures are tolerable now. Each lasting shortfall is reported once, and so is its end.
    pub fn observe(&mut self, now: Now, tolerable: usize) -> Option<ToleranceChange> {
        if tolerable >= self.required {
            self.low_since = None;
            return std::mem::take(&mut self.reported).then_some(ToleranceChange::Sufficient { tolerable });
        }
        let since = *self.low_since.get_or_insert(now);
        if self.reported || now < since + MIN_DURATION {
            return None;
        }
        self.reported = true;
        Some(ToleranceChange::Low { tolerable })
    }
}

#[cfg(test)]
#[path = "../tests/unit/fault_tolerance.rs"]
mod tests;
