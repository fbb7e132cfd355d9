//! Applies updates from service discovery.

use super::Coordinator;
use super::windows::CRASH_TIME_CONSTANT;
use crate::interface::{MembershipEntry, MembershipUpdate, Phase, TenthMillis};
use crate::state::{Observations, Replica};

/// The time within which the watch at service discovery is started after a start from a cached list.
///
/// Unit: 0.1 ms (200 ms). Reason: many co-ordinators may restart together, so their requests are spread at random.
const WATCH_SPREAD: TenthMillis = 2_000;

/// The backoff after a failure of service discovery, before it doubles with each failure.
///
/// Unit: 0.1 ms (250 ms). Reason: short enough for a brief failure, without load on an unavailable service discovery.
const WATCH_BACKOFF: TenthMillis = 2_500;

/// The maximum number of times that the backoff doubles.
///
/// Unit: doublings (up to 4 s). Reason: using an older list costs more than the requests.
const MAX_WATCH_BACKOFF_DOUBLINGS: u32 = 4;

/// The treatment of replicas that an update does not list.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UpdateScope {
    /// They are unchanged: the update lists only replicas that have changed.
    Changes,
    /// They are removed: the update lists all replicas.
    Complete,
}

impl Coordinator {
    pub(super) fn on_membership_update(&mut self, update: &MembershipUpdate) {
        let (entries, scope) = match update {
            MembershipUpdate::Delta(entries) => (entries, UpdateScope::Changes),
            MembershipUpdate::Snapshot(entries) => (entries, UpdateScope::Complete),
            MembershipUpdate::Cached(entries) => {
                self.schedule_first_watch();
                (entries, UpdateScope::Complete)
            }
            MembershipUpdate::Unavailable => return self.back_off_watch(),
        };
        // Part of the drain grace remains only if the update arrived without delay: otherwise the replica may have been
        // draining for longer.
        let grace = if scope == UpdateScope::Complete || self.timers.watch_failures > 0 {
            0
        } else {
            self.config.drain_grace / 2
        };
        self.timers.watch_failures = 0;
        self.timers.next_score = self.now;
        if scope == UpdateScope::Complete {
            for replica in &mut self.replicas {
                replica.entry.phase = Phase::Removed;
            }
        }
        for entry in entries {
            self.apply_entry(entry, scope, grace);
        }
    }

    fn schedule_first_watch(&mut self) {
        self.timers.next_watch = self
            .config
            .watch_membership
            .then(|| self.now + self.random_time(WATCH_SPREAD));
    }

    fn back_off_watch(&mut self) {
        let failures = (self.timers.watch_failures + 1).min(MAX_WATCH_BACKOFF_DOUBLINGS);
        self.timers.watch_failures = failures;
        let backoff = WATCH_BACKOFF << failures;
        self.timers.next_watch = Some(self.now + backoff / 2 + self.random_time(backoff / 2));
    }

    fn apply_entry(&mut self, entry: &MembershipEntry, scope: UpdateScope, grace: TenthMillis) {
        let replica_count = self.replicas.len().max(entry.replica.0 + 1);
        self.replicas.resize_with(replica_count, Replica::default);
        let zone_count = self.zones.len().max(entry.zone + 1);
        self.zones.resize(zone_count, Observations::default());

        let replica = &mut self.replicas[entry.replica];
        if replica.entry.id != entry.id {
            // The index now belongs to another replica.
            *replica = Replica::default();
        }
        if replica.entry.started_at != entry.started_at {
            // A new process: observations of the old one do not apply to it.
            replica.observations = Observations::default();
            replica.outage = None;
            replica.restarted_at = None;
        }
        let was_ready = replica.is_ready();
        // A replica that leaves on purpose drains first. A complete list is no evidence of a crash, since it may have
        // missed the draining.
        let left_without_draining = was_ready && entry.phase == Phase::Removed;
        let counts_crashes = self.config.permissions.health_probes && scope == UpdateScope::Changes;
        if counts_crashes && left_without_draining {
            self.fleet
                .crashes
                .record(self.now, CRASH_TIME_CONSTANT, 1.0);
        }
        if was_ready {
            replica.last_resort_until = self.now + grace;
        }
        replica.entry = entry.clone();
    }
}
