//! A ring buffer of values by time interval.

/// A value for each of the newest `N` intervals ("bins"), which are numbered from the start of the clock.
#[derive(Clone, Debug)]
pub(crate) struct BinRing<T, const N: usize> {
    bins: [T; N],
    /// The number of the newest bin.
    newest: u64,
}

impl<T: Copy + Default, const N: usize> Default for BinRing<T, N> {
    fn default() -> Self {
        Self { bins: [T::default(); N], newest: 0 }
    }
}

impl<T: Copy + Default, const N: usize> BinRing<T, N> {
    /// Advances to the bin with this number and clears the bins in between. An earlier number changes
    /// nothing.
    pub fn advance_to(&mut self, bin: u64) {
        if bin >= self.newest + N as u64 {
            *self = Self { newest: bin, ..Self::default() };
        }
        while self.newest < bin {
            self.newest += 1;
            *self.newest_mut() = T::default();
        }
    }

    /// Mutable access to the value of the newest bin.
    pub fn newest_mut(&mut self) -> &mut T {
        &mut self.bins[self.newest as usize % N]
    }

    /// The values of the `count` newest bins, at most `N`; fewer if the clock has not reached that many bins.
    pub fn newest(&self, count: usize) -> impl Iterator<Item = &T> {
        let first = self.newest.saturating_sub(count as u64 - 1);
        (first..=self.newest).map(|bin| &self.bins[bin as usize % N])
    }
}
