//! Round robin from a random start: Nginx's smooth weighted round robin with equal weights.

use crate::hash::RingEntry;
use crate::interface::BackendKey;

/// The position of the next member. With equal weights the smooth order is the member order itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rotation {
    next_index: usize,
}

impl Rotation {
    pub fn starting_at(next_index: usize) -> Rotation {
        Rotation { next_index }
    }

    /// Returns the next usable member and advances past it.
    pub fn next(&mut self, members: &[RingEntry], usable: impl Fn(BackendKey) -> bool) -> Option<BackendKey> {
        let count = members.len();
        let indices = (0..count).map(|step| (self.next_index + step) % count);
        let index = indices.into_iter().find(|index| usable(members[*index].backend))?;
        self.next_index = (index + 1) % count;
        Some(members[index].backend)
    }
}
