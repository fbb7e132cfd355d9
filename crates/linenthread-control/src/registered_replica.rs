//! One replica in the registry: how reports of it are merged, and when it is gone.

use std::time::Duration;

use linenthread_messages::Replica;
use linenthread_time::{Instant, whole_millis};

/// Reports whether a node reports a replica as present without having been able to learn of its departure.
pub(crate) fn is_present_unconfirmed(report: &Replica) -> bool {
    report.unconfirmed && !report.draining && !report.ended
}

/// One incarnation of a replica in the registry.
#[derive(Clone, Debug)]
pub struct RegisteredReplica {
    /// The merged state of the replica, without ages, which [`RegisteredReplica::snapshot`] sets.
    pub replica: Replica,
    /// When the newest heartbeat was received, here or at another control node.
    pub(crate) last_heartbeat_at: Instant,
    /// When the warm-up ends.
    warmed_up_at: Instant,
    /// When the replica ended, if it has.
    ended_at: Option<Instant>,
}

impl RegisteredReplica {
    /// Returns the state of the replica, with ages as of now.
    pub fn snapshot(&self, now: Instant) -> Replica {
        Replica {
            age_ms: saturating_millis(now.since(self.last_heartbeat_at)),
            warmup_ms: saturating_millis(self.warmed_up_at.since(now)),
            ..self.replica.clone()
        }
    }

    /// Reports whether the replica drains or has ended. A majority must know this before the replica is told that it
    /// may stop.
    pub(crate) fn is_draining_or_ended(&self) -> bool {
        self.replica.draining || self.replica.ended
    }

    /// Reports whether it is known only from this node's disk, or from before a loss of contact, that the replica is
    /// present.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        is_present_unconfirmed(&self.replica)
    }

    /// Returns when the replica ended, or timed out while it drained; `None` if neither.
    pub(crate) fn gone_since(&self, timeout: Duration) -> Option<Instant> {
        let drained = self.replica.draining && self.replica.timed_out_or_ended;
        self.ended_at
            .or_else(|| drained.then(|| self.last_heartbeat_at + timeout))
    }

    /// Creates the entry of a replica from its first report.
    pub(crate) fn new(now: Instant, report: &Replica) -> RegisteredReplica {
        RegisteredReplica {
            replica: Replica {
                age_ms: 0,
                warmup_ms: 0,
                timed_out_or_ended: report.ended || report.timed_out_or_ended,
                ..report.clone()
            },
            last_heartbeat_at: reported_at(now, report),
            warmed_up_at: now + Duration::from_millis(u64::from(report.warmup_ms)),
            ended_at: report.ended.then_some(now),
        }
    }

    /// Returns a replica of which nothing but the id is known.
    pub(crate) fn unknown(now: Instant, id: &str) -> RegisteredReplica {
        RegisteredReplica {
            replica: Replica {
                id: id.to_owned(),
                ..Replica::default()
            },
            last_heartbeat_at: now,
            warmed_up_at: now,
            ended_at: None,
        }
    }

    /// Reports whether nothing but the departure of the replica is known.
    pub(crate) fn is_unknown_departure(&self) -> bool {
        self.replica.ended && self.replica.address.is_empty()
    }

    /// Records that the replica ended.
    pub(crate) fn end(&mut self, now: Instant) {
        self.replica.ended = true;
        self.replica.timed_out_or_ended = true;
        self.ended_at = Some(now);
    }

    /// Merges a report of the same replica.
    pub(crate) fn merge(&mut self, now: Instant, report: &Replica) -> HeartbeatOutcome {
        self.replica.unconfirmed &= report.unconfirmed;
        if self.replica.ended {
            return HeartbeatOutcome::Stale;
        }
        if report.ended {
            self.end(now);
            return HeartbeatOutcome::Changed;
        }
        if report.call_count < self.replica.call_count {
            return HeartbeatOutcome::Stale;
        }
        self.last_heartbeat_at = self.last_heartbeat_at.max(reported_at(now, report));
        if report.call_count == self.replica.call_count {
            return HeartbeatOutcome::Stale;
        }
        let changed = self.replica.timed_out_or_ended != report.timed_out_or_ended
            || self.replica.draining != report.draining
            || self.replica.address != report.address
            || self.replica.backend != report.backend
            || self.replica.capacity != report.capacity
            || self.replica.zone != report.zone;
        self.replica = Replica {
            // Set by `snapshot`. `warmed_up_at` keeps its value from the first report: later reports count down the
            // same warm-up, and those forwarded by another control node arrive later than they were made.
            age_ms: 0,
            warmup_ms: 0,
            ..report.clone()
        };
        if changed {
            HeartbeatOutcome::Changed
        } else {
            HeartbeatOutcome::Refreshed
        }
    }
}

fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(whole_millis(duration)).unwrap_or(u32::MAX)
}

/// Returns when the heartbeat behind a report was received.
fn reported_at(now: Instant, report: &Replica) -> Instant {
    now.saturating_sub(Duration::from_millis(u64::from(report.age_ms)))
}

/// The change that a report of a replica made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The report is not newer than the known state.
    Stale,
    /// The replica is still running. Ingress nodes need not be notified.
    Refreshed,
    /// The state changed, and ingress nodes must be notified.
    Changed,
}
