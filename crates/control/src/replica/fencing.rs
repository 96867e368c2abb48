//! Fencing by epochs: a process that still uses the epoch of a replaced view is refused, and learns the newer view from
//! the refusal; a process that hears of a later epoch than its own asks for the view.
//!
//! Invariant: a view is adopted as soon as it is learned, and nothing is sent in the epoch of an earlier one from then on.
//! So no epoch is used again after a refusal, whatever is lost, doubled or delayed on the way.

use std::cmp::Ordering;
use std::net::SocketAddr;

use super::Replica;
use crate::message::{Body, Sender};
use crate::types::MemberId;

impl Replica {
    /// Whether a message of that epoch belongs to the view that this process is in. If not, whichever of the two processes
    /// is behind learns the newer view.
    pub(super) fn is_current_epoch(&mut self, sender: Sender, epoch: u64) -> bool {
        self.exchange_views(sender.address, Some(sender.id), epoch);
        epoch == self.view.epoch
    }

    /// Another process used that epoch in a message of the host's own.
    pub(super) fn on_epoch_used(&mut self, address: SocketAddr, epoch: u64) {
        self.exchange_views(address, None, epoch);
    }

    /// Sends the view to a process that uses an older epoch, and asks one that uses a later epoch for its view.
    fn exchange_views(&mut self, address: SocketAddr, target: Option<MemberId>, epoch: u64) {
        let body = match epoch.cmp(&self.view.epoch) {
            Ordering::Equal => return,
            Ordering::Less => {
                self.stale_epochs_refused += 1;
                Body::Decide(Box::new(self.view.clone()))
            }
            Ordering::Greater => self.own_hello(),
        };
        self.send_to_address(address, target, body);
    }
}
