//! What is to happen in simulated time, in order.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;

/// Events by time; those of one moment happen in the order in which they were added.
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
    /// Adds an event under the next number.
    pub(crate) fn push(&mut self, at: TenthMillis, event: E) {
        let number = self.next_number();
        self.events.insert((at, number), event);
    }

    /// Takes the next number, for something other than an event.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The number that was taken last.
    pub(crate) fn last_number(&self) -> u64 {
        self.last_number
    }

    /// When the next event happens.
    pub(crate) fn next_at(&self) -> Option<TenthMillis> {
        let ((at, _), _) = self.events.first_key_value()?;
        Some(*at)
    }

    /// Takes the next event, if it happens by this time, and when that is.
    pub(crate) fn pop_by(&mut self, end: TenthMillis) -> Option<(TenthMillis, E)> {
        if self.next_at()? > end {
            return None;
        }
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }

    /// Drops all events but those that are to be kept.
    pub(crate) fn retain(&mut self, mut keeps: impl FnMut(&E) -> bool) {
        self.events.retain(|_, event| keeps(event));
    }
}
