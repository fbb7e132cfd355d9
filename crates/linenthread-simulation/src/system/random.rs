//! Random numbers of one schedule, derived from its seed.

use std::time::Duration;

use oorandom::Rand64;

pub(super) struct Random(Rand64);

impl Random {
    /// Shuffles the items.
    pub(super) fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.index(last + 1));
        }
    }

    pub(super) fn new(seed: u64) -> Random {
        Random(Rand64::new(u128::from(seed)))
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub(super) fn below(&mut self, bound: u64) -> u64 {
        self.0.rand_range(0..bound.max(1))
    }

    /// Returns an index into a list of this length, or 0 if the list is empty.
    pub(super) fn index(&mut self, length: usize) -> usize {
        let bound = u64::try_from(length).unwrap_or(u64::MAX);
        usize::try_from(self.below(bound)).expect("below a length")
    }

    /// Returns true with probability 1 / `n`.
    pub(super) fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    /// Returns a duration of whole milliseconds below `bound`, or zero if `bound` is 0.
    pub(super) fn millis_below(&mut self, bound: u64) -> Duration {
        Duration::from_millis(self.below(bound))
    }

    /// Returns 64 random bits, used as the number of an incarnation.
    pub(super) fn bits(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// Returns the underlying generator for the simulated disk.
    pub(super) fn generator(&mut self) -> &mut Rand64 {
        &mut self.0
    }
}
