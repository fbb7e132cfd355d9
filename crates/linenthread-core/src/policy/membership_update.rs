//! What an update from service discovery changes.

use super::Coordinator;
use super::windows::CRASH_MEMORY;
use crate::interface::{MembershipEntry, MembershipUpdate, Phase, TenthMillis};
use crate::state::{Observations, Replica};

/// After a start from a cached list, service discovery is watched within this time.
///
/// Unit: 0.1 ms (200 ms). Reason: restarts may come together, so their requests are spread out at random.
const WATCH_SPREAD: TenthMillis = 2_000;

/// The backoff after service discovery was unavailable, before it doubles with each failure.
///
/// Unit: 0.1 ms (250 ms). Reason: soon enough for a short fault, without load on a service discovery that is down.
const WATCH_BACKOFF: TenthMillis = 2_500;

/// How often that backoff doubles at most.
///
/// Unit: doublings (up to 4 s). Reason: a list that is older costs more than the requests.
const MAX_WATCH_BACKOFF_DOUBLINGS: u32 = 4;

/// What an update says of the replicas that it leaves out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UpdateScope {
    /// Nothing: it names those that have changed.
    Changes,
    /// They are removed: it names all there are.
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
        // Only an update that came without delay leaves a part of the drain grace: otherwise the replica may
        // have been draining for longer.
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
            // Another replica has the index now.
            *replica = Replica::default();
        }
        if replica.entry.started_at != entry.started_at {
            // A new process: no observation of the old one counts against it.
            replica.observations = Observations::default();
            replica.outage = None;
            replica.returned_at = None;
        }
        let was_ready = replica.is_ready();
        // A replica that leaves on purpose drains first. A complete list says nothing of that: the draining may have
        // been missed.
        let left_without_draining = was_ready && entry.phase == Phase::Removed;
        let counts_crashes = self.config.permissions.health_probes && scope == UpdateScope::Changes;
        if counts_crashes && left_without_draining {
            self.fleet.crashes.record(self.now, CRASH_MEMORY, 1.0);
        }
        if was_ready {
            replica.last_resort_until = self.now + grace;
        }
        replica.entry = entry.clone();
    }
}
