//! The source of randomness of a simulation.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use oorandom::Rand64;

/// A random number generator shared by all parts of a simulation. An execution depends on the order of the draws.
#[derive(Clone)]
pub(crate) struct Random(Rc<RefCell<Rand64>>);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(Rc::new(RefCell::new(Rand64::new(u128::from(seed)))))
    }

    /// Draws a number below `bound`; 0 if `bound` is 0.
    pub(crate) fn below(&self, bound: u64) -> u64 {
        self.0.borrow_mut().rand_range(0..bound.max(1))
    }

    /// Draws an index into a slice of this length; 0 if the slice is empty.
    pub(crate) fn index(&self, length: usize) -> usize {
        usize::try_from(self.below(length as u64))
            .expect("a number below a usize fits into a usize")
    }

    /// Draws one of the choices.
    pub(crate) fn choose<T: Copy>(&self, choices: &[T]) -> T {
        choices[self.index(choices.len())]
    }

    /// Returns true with a probability of `per_mille` in a thousand.
    pub(crate) fn per_mille(&self, per_mille: u64) -> bool {
        self.below(1_000) < per_mille
    }

    /// Draws a duration of at least `min` and less than `bound` milliseconds.
    pub(crate) fn millis(&self, min: u64, bound: u64) -> Duration {
        Duration::from_millis(min + self.below(bound - min))
    }
}
