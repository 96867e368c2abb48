//! How many further members the core can lose now, and when the operator is told that these are too few.

use std::time::Duration;

use crankpick_control::{Now, Replica};

/// The code under which too few are told, in the log and in the status.
pub const TOO_FEW: &str = "CTL-302";
/// A lack that is over by then is not told: members come and go at a rolling restart.
const LASTING: Duration = Duration::from_secs(3);

/// How many further members may be lost while orders are still taken, as far as this process sees. Nothing while no view
/// is known.
pub fn bearable_losses(replica: &Replica) -> Option<usize> {
    (replica.view().epoch > 0).then(|| replica.bearable_losses())
}

/// What the operator is to hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The core bears fewer losses than are asked for.
    TooFew {
        /// How many it bears.
        bearable: usize,
    },
    /// It bears as many again.
    Enough {
        /// How many it bears.
        bearable: usize,
    },
}

/// Watches the losses that can be borne.
#[derive(Clone, Debug)]
pub struct Resilience {
    asked: usize,
    lacking_since: Option<Now>,
    told: bool,
}

impl Resilience {
    /// A watch over a core that is to bear the loss of `asked` members.
    pub fn new(asked: usize) -> Self {
        Resilience { asked, lacking_since: None, told: false }
    }

    /// How many losses the core is to bear.
    pub fn asked(&self) -> usize {
        self.asked
    }

    /// Notes how many can be borne now. Each lack that lasts is told once, and its end.
    pub fn note(&mut self, now: Now, bearable: usize) -> Option<Change> {
        if bearable >= self.asked {
            self.lacking_since = None;
            return std::mem::take(&mut self.told).then_some(Change::Enough { bearable });
        }
        let since = *self.lacking_since.get_or_insert(now);
        if self.told || now < since + LASTING {
            return None;
        }
        self.told = true;
        Some(Change::TooFew { bearable })
    }
}

#[cfg(test)]
#[path = "../tests/unit/resilience.rs"]
mod tests;
