//! Tracks contact with a majority of the voters. Without it nothing may be confirmed, and nothing conclusively
//! rejected.

use std::time::Duration;

use linenthread_time::Instant;

use crate::timing::{PAUSE_TIMEOUT, STARTUP_GRACE};

/// A change of the contact with a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ContactChange {
    /// The node came into contact with a majority.
    Established,
    /// The node is no longer in contact with a majority.
    Lost,
}

/// When the node started, and since when it is in contact with a majority of the voters.
pub(crate) struct QuorumContact {
    started_at: Instant,
    /// When the current contact began; `None` while out of contact.
    in_contact_since: Option<Instant>,
    /// When the state machine last processed anything.
    last_active_at: Instant,
}

impl QuorumContact {
    pub(crate) fn new(now: Instant) -> QuorumContact {
        QuorumContact {
            started_at: now,
            in_contact_since: None,
            last_active_at: now,
        }
    }

    /// Returns when the node started.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns since when contact has lasted without interruption; `None` while out of contact.
    pub(crate) fn in_contact_since(&self) -> Option<Instant> {
        self.in_contact_since
    }

    /// Reports whether the node started so recently that it may not have found the other nodes yet.
    pub(crate) fn is_starting(&self, now: Instant) -> bool {
        now < self.started_at + STARTUP_GRACE
    }

    /// Records whether the node is in contact with a majority; returns the change, if there is one.
    pub(crate) fn update(&mut self, now: Instant, has_quorum: bool) -> Option<ContactChange> {
        match (has_quorum, self.in_contact_since) {
            (true, None) => {
                self.in_contact_since = Some(now);
                Some(ContactChange::Established)
            }
            (false, Some(_)) => {
                self.in_contact_since = None;
                Some(ContactChange::Lost)
            }
            _ => None,
        }
    }

    /// Ends any contact, after the process was paused.
    pub(crate) fn reset(&mut self) {
        self.in_contact_since = None;
    }

    /// Records that the state machine runs; returns for how long it did not run, if that exceeds [`PAUSE_TIMEOUT`].
    pub(crate) fn on_activity(&mut self, now: Instant) -> Option<Duration> {
        let paused = now.since(self.last_active_at);
        self.last_active_at = now;
        (paused > PAUSE_TIMEOUT).then_some(paused)
    }
}
