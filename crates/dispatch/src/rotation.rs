//! Round robin from a random start: Nginx's smooth weighted round robin with equal weights.

use crate::hash::RingEntry;
use crate::interface::BackendKey;

/// The position of the next member. With equal weights the smooth order is the member order itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rotation {
    turn: usize,
}

impl Rotation {
    pub fn starting_at(turn: usize) -> Rotation {
        Rotation { turn }
    }

    /// Returns the next usable member and advances past it.
    pub fn next(&mut self, members: &[RingEntry], usable: impl Fn(BackendKey) -> bool) -> Option<BackendKey> {
        let count = members.len();
        let indices = (0..count).map(|step| (self.turn + step) % count);
        let at = indices.into_iter().find(|at| usable(members[*at].backend))?;
        self.turn = (at + 1) % count;
        Some(members[at].backend)
    }
}
