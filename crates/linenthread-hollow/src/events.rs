use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Events by time, then in the order in which they were put in.
pub(crate) struct Events<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    order: u64,
}

struct Entry<E> {
    key: (u64, u64),
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

impl<E> Default for Events<E> {
    fn default() -> Self {
        Events {
            heap: BinaryHeap::new(),
            order: 0,
        }
    }
}

impl<E> Events<E> {
    pub(crate) fn push(&mut self, at: u64, event: E) {
        self.order += 1;
        self.heap.push(Reverse(Entry {
            key: (at, self.order),
            event,
        }));
    }

    /// The next event before this time.
    pub(crate) fn pop_before(&mut self, end: u64) -> Option<(u64, E)> {
        if self.heap.peek()?.0.key.0 >= end {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.key.0, entry.event))
    }
}
