//! Monitors how many further members the control plane can lose, and decides when to report that these are too few.

use std::time::Duration;

use crankpick_control::{Now, Replica};

/// The code of a fault tolerance below the required one, in the log and in the status.
pub const LOW_TOLERANCE_CODE: &str = "CTL-302";
/// A shorter lack of tolerance is not reported: a rolling restart causes it as well.
const MIN_DURATION: Duration = Duration::from_secs(3);

/// How many further members may be lost while changes can still be committed, as far as this process sees. `None` while
/// no view is known.
pub fn bearable_losses(replica: &Replica) -> Option<usize> {
    (replica.view().epoch > 0).then(|| replica.bearable_losses())
}

/// A change of the fault tolerance that is to be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToleranceChange {
    /// Fewer losses than required can be tolerated.
    Low {
        /// The number of members that may be lost.
        bearable: usize,
    },
    /// The required losses can be tolerated again.
    Sufficient {
        /// The number of members that may be lost.
        bearable: usize,
    },
}

/// Compares the losses that can be tolerated with the required number.
#[derive(Clone, Debug)]
pub struct ToleranceMonitor {
    required: usize,
    low_since: Option<Now>,
    reported: bool,
}

impl ToleranceMonitor {
    /// A monitor that requires the loss of `required` members to be tolerated.
    pub fn new(required: usize) -> Self {
        ToleranceMonitor { required, low_since: None, reported: false }
    }

    /// The number of losses that must be tolerated.
    pub fn required(&self) -> usize {
        self.required
    }

    /// Records how many losses can be tolerated now. Each lasting lack is reported once, and so is its end.
    pub fn observe(&mut self, now: Now, bearable: usize) -> Option<ToleranceChange> {
        if bearable >= self.required {
            self.low_since = None;
            return std::mem::take(&mut self.reported).then_some(ToleranceChange::Sufficient { bearable });
        }
        let since = *self.low_since.get_or_insert(now);
        if self.reported || now < since + MIN_DURATION {
            return None;
        }
        self.reported = true;
        Some(ToleranceChange::Low { bearable })
    }
}

#[cfg(test)]
#[path = "../tests/unit/fault_tolerance.rs"]
mod tests;
