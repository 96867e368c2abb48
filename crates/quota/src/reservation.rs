//! The upper bound of what one holder may hold, from the grants sent to it.

use crate::message::{Grant, HeldLease};
use crate::share::Share;
use crate::Now;

/// The maximum number of grants of one holder that are stored separately.
const MAX_OUTSTANDING: usize = 8;

#[derive(Clone, Copy, Debug)]
struct OutstandingGrant {
    number: u64,
    share: Share,
    until: Now,
}

/// The grants that one holder may still hold: all that it has not reported to be superseded.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservation {
    /// Oldest first.
    outstanding: Vec<OutstandingGrant>,
}

impl Reservation {
    /// Adds a share that the holder may have from a grant of another allocator.
    pub fn add_unknown(&mut self, share: Share, until: Now) {
        self.push(OutstandingGrant { number: 0, share, until });
    }

    /// Adds a grant that was sent to the holder.
    pub fn add_grant(&mut self, grant: &Grant, until: Now) {
        self.push(OutstandingGrant { number: grant.number, share: grant.share(), until });
    }

    /// Removes the grants older than the lease that the holder has reported under the current token.
    pub fn confirm(&mut self, held: &HeldLease) {
        self.outstanding.retain(|grant| grant.number >= held.number);
    }

    /// Removes the expired grants; returns whether none is left.
    pub fn expire(&mut self, now: Now) -> bool {
        self.outstanding.retain(|grant| grant.until > now);
        self.outstanding.is_empty()
    }

    /// The maximum that the holder may have, whichever of its grants have arrived.
    pub fn upper_bound(&self) -> Share {
        self.outstanding.iter().fold(Share::default(), |bound, grant| bound.max(grant.share))
    }

    /// Adds a grant. Beyond the maximum number, the oldest grant is merged into the next, so that it still
    /// counts.
    fn push(&mut self, grant: OutstandingGrant) {
        if self.outstanding.len() >= MAX_OUTSTANDING {
            let oldest = self.outstanding.remove(0);
            if let Some(next) = self.outstanding.first_mut() {
                next.share = next.share.max(oldest.share);
                next.until = next.until.max(oldest.until);
            }
        }
        self.outstanding.push(grant);
    }
}
