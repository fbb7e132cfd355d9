//! The source of all random choices of a simulation.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use oorandom::Rand64;

/// A random number generator that all parts of a simulation share: the order of the draws is part of an execution.
#[derive(Clone)]
pub(crate) struct Random(Rc<RefCell<Rand64>>);

impl Random {
    /// All choices that follow from a seed.
    pub(crate) fn new(seed: u64) -> Random {
        Random(Rc::new(RefCell::new(Rand64::new(u128::from(seed)))))
    }

    /// A number below `bound`; 0 if that is 0.
    pub(crate) fn below(&self, bound: u64) -> u64 {
        self.0.borrow_mut().rand_range(0..bound.max(1))
    }

    /// An index into a slice of this length.
    pub(crate) fn index(&self, length: usize) -> usize {
        usize::try_from(self.below(length as u64)).expect("a number below a usize")
    }

    /// One of these.
    pub(crate) fn choose<T: Copy>(&self, choices: &[T]) -> T {
        choices[self.index(choices.len())]
    }

    /// True in `per_mille` of a thousand cases.
    pub(crate) fn per_mille(&self, per_mille: u64) -> bool {
        self.below(1_000) < per_mille
    }

    /// A number of milliseconds, from `min` and below `bound`.
    pub(crate) fn millis(&self, min: u64, bound: u64) -> Duration {
        Duration::from_millis(min + self.below(bound - min))
    }
}
