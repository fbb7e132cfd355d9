//! The queue of events in simulated time.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;

/// Events ordered by time; events at the same time keep the order in which they were added.
pub(crate) struct EventQueue<E> {
    events: BTreeMap<(TenthMillis, u64), E>,
    last_number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue {
            events: BTreeMap::new(),
            last_number: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event, which takes the next sequence number.
    pub(crate) fn push(&mut self, at: TenthMillis, event: E) {
        let number = self.next_number();
        self.events.insert((at, number), event);
    }

    /// Returns the next sequence number, for something other than an event; no event gets the same number.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the sequence number that was assigned last.
    pub(crate) fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns the time of the next event.
    pub(crate) fn next_at(&self) -> Option<TenthMillis> {
        let ((at, _), _) = self.events.first_key_value()?;
        Some(*at)
    }

    /// Removes the next event if its time is not after `end`, and returns its time with it.
    pub(crate) fn pop_by(&mut self, end: TenthMillis) -> Option<(TenthMillis, E)> {
        if self.next_at()? > end {
            return None;
        }
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }

    /// Drops all events for which `keep` returns false.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&E) -> bool) {
        self.events.retain(|_, event| keep(event));
    }
}
