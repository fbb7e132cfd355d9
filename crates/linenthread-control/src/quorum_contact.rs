//! Contact with a majority of the voters: nothing may be confirmed, and nothing conclusively rejected, without it.

use std::time::Duration;

use linenthread_time::Instant;

use crate::timing::{PAUSE_TIMEOUT, STARTUP_GRACE};

/// What has become of the contact with a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ContactChange {
    /// It begins.
    Began,
    /// It ends.
    Ended,
}

/// Since when the node runs, and since when it is in contact with a majority of the voters.
pub(crate) struct QuorumContact {
    started_at: Instant,
    /// `None` while out of contact.
    since: Option<Instant>,
    /// When the state machine last ran at all.
    last_active_at: Instant,
}

impl QuorumContact {
    pub(crate) fn new(now: Instant) -> QuorumContact {
        QuorumContact {
            started_at: now,
            since: None,
            last_active_at: now,
        }
    }

    /// When the node started.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Since when contact has lasted without interruption.
    pub(crate) fn since(&self) -> Option<Instant> {
        self.since
    }

    /// Whether the node started so recently that the others may not have been found yet.
    pub(crate) fn is_starting(&self, now: Instant) -> bool {
        now < self.started_at + STARTUP_GRACE
    }

    /// Takes in whether the node is in contact with a majority.
    pub(crate) fn update(&mut self, now: Instant, has_quorum: bool) -> Option<ContactChange> {
        match (has_quorum, self.since) {
            (true, None) => {
                self.since = Some(now);
                Some(ContactChange::Began)
            }
            (false, Some(_)) => {
                self.since = None;
                Some(ContactChange::Ended)
            }
            _ => None,
        }
    }

    /// The process was frozen: whatever contact there was is over.
    pub(crate) fn reset(&mut self) {
        self.since = None;
    }

    /// Notes that the state machine runs; how long it did not, if that was long enough for a freeze.
    pub(crate) fn on_activity(&mut self, now: Instant) -> Option<Duration> {
        let paused = now.since(self.last_active_at);
        self.last_active_at = now;
        (paused > PAUSE_TIMEOUT).then_some(paused)
    }
}
