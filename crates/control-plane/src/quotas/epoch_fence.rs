//! Epoch fencing of quotas: homes send demands and owners issue grants under the epoch of their view.
//!
//! Invariant: once an epoch was refused or a later one was observed, it is not used again for demands or grants, even if
//! messages are lost, duplicated or delayed. Only the next view brings a usable epoch.

/// The epoch of this process, and the newest one that any process is known to use.
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

    /// Records that this process has entered the view with this epoch.
    pub fn enter(&mut self, epoch: u64) {
        self.own = epoch;
        self.newest = self.newest.max(epoch);
    }

    /// Records that another process uses this epoch.
    pub fn observe(&mut self, epoch: u64) {
        self.newest = self.newest.max(epoch);
    }

    /// Records that another process refused this epoch because a later one is in use.
    pub fn refuse(&mut self, epoch: u64) {
        self.newest = self.newest.max(epoch + 1);
    }

    /// Whether this process may use its epoch.
    pub fn is_current(&self) -> bool {
        self.own == self.newest
    }
}
