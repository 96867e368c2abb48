//! Nginx's smooth weighted round robin with equal weights: each member in its turn, from a random start.

use crate::hash::Point;
use crate::interface::BackendKey;

/// Whose turn it is. With equal weights the smooth order is the members' own order, over and over.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rotation {
    turn: usize,
}

impl Rotation {
    pub fn starting_at(turn: usize) -> Rotation {
        Rotation { turn }
    }

    /// The next of the members that may be used.
    pub fn next(&mut self, members: &[Point], usable: impl Fn(BackendKey) -> bool) -> Option<BackendKey> {
        let count = members.len();
        let places = (0..count).map(|step| (self.turn + step) % count);
        let at = places.into_iter().find(|at| usable(members[*at].backend))?;
        self.turn = (at + 1) % count;
        Some(members[at].backend)
    }
}
