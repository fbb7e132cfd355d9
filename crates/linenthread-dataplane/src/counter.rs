//! Counts of what is in use, given back when its guard is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// How many guards of it there are.
#[derive(Clone, Default)]
pub(crate) struct Counter(Rc<Cell<usize>>);

impl Counter {
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more for as long as the guard lives.
    pub(crate) fn enter(&self) -> CounterGuard {
        self.0.set(self.0.get() + 1);
        CounterGuard(self.clone())
    }
}

/// One of what a [`Counter`] counts.
pub(crate) struct CounterGuard(Counter);

impl Drop for CounterGuard {
    fn drop(&mut self) {
        let Counter(count) = &self.0;
        count.set(count.get() - 1);
    }
}
