//! The fence of quotas: the epoch of the view, under which a home asks and an owner grants.
//!
//! Invariant: an epoch that was refused, or than which a later one was heard of, is not used again, neither to ask nor to
//! grant, whatever is lost, doubled or delayed. The next one comes with the next view.

/// The own epoch, and the newest one that any process is known to use.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EpochFence {
    own: u64,
    newest: u64,
}

impl EpochFence {
    /// The epoch of this process's view.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// This process enters the view of that epoch.
    pub fn enter(&mut self, epoch: u64) {
        self.own = epoch;
        self.newest = self.newest.max(epoch);
    }

    /// Another process uses that epoch.
    pub fn observe(&mut self, epoch: u64) {
        self.newest = self.newest.max(epoch);
    }

    /// Another process refused that epoch since a later one is in use.
    pub fn refuse(&mut self, epoch: u64) {
        self.newest = self.newest.max(epoch + 1);
    }

    /// Whether the own epoch may be used.
    pub fn is_current(&self) -> bool {
        self.own == self.newest
    }
}
