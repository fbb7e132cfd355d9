//! What is to happen in simulated time, in order.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use linenthread_time::Instant;

/// Events by time, then in the order in which they were added.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    last_number: u64,
}

struct Entry<E> {
    key: (Instant, u64),
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key.cmp(&other.key)
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            last_number: 0,
        }
    }
}

impl<E> EventQueue<E> {
    pub(crate) fn push(&mut self, at: Instant, event: E) {
        self.last_number += 1;
        self.heap.push(Reverse(Entry {
            key: (at, self.last_number),
            event,
        }));
    }

    /// The next event before this time.
    pub(crate) fn pop_before(&mut self, end: Instant) -> Option<(Instant, E)> {
        if self.heap.peek()?.0.key.0 >= end {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.key.0, entry.event))
    }
}
