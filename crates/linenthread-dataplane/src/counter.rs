//! Counters of resources in use, decremented when a guard is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// The number of live guards.
#[derive(Clone, Default)]
pub(crate) struct Counter(Rc<Cell<usize>>);

impl Counter {
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }

    /// Increments the count until the guard is dropped.
    pub(crate) fn increment(&self) -> CounterGuard {
        self.0.set(self.0.get() + 1);
        CounterGuard(self.clone())
    }
}

/// Holds one unit of a [`Counter`].
pub(crate) struct CounterGuard(Counter);

impl Drop for CounterGuard {
    fn drop(&mut self) {
        let Counter(count) = &self.0;
        count.set(count.get() - 1);
    }
}
