//! The random numbers of one schedule, all from its seed.

use std::time::Duration;

use oorandom::Rand64;

pub(super) struct Random(Rand64);

impl Random {
    /// Brings the items into a random order.
    pub(super) fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.index(last + 1));
        }
    }

    pub(super) fn new(seed: u64) -> Random {
        Random(Rand64::new(u128::from(seed)))
    }

    /// A number below `bound`; 0 if that is 0.
    pub(super) fn below(&mut self, bound: u64) -> u64 {
        self.0.rand_range(0..bound.max(1))
    }

    /// An index of a list of this length; 0 if it is empty.
    pub(super) fn index(&mut self, length: usize) -> usize {
        let bound = u64::try_from(length).unwrap_or(u64::MAX);
        usize::try_from(self.below(bound)).expect("below a length")
    }

    /// True once in `n` draws on average.
    pub(super) fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    /// A duration of whole milliseconds, shorter than so many.
    pub(super) fn millis_below(&mut self, bound: u64) -> Duration {
        Duration::from_millis(self.below(bound))
    }

    /// Any 64 bits, for the number of an incarnation.
    pub(super) fn bits(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// The generator itself, for the modelled disk.
    pub(super) fn generator(&mut self) -> &mut Rand64 {
        &mut self.0
    }
}
