//! Draws what becomes of attempts, and changes replicas.

use linenthread_core::interface::{MembershipUpdate, Phase, ReplicaIndex, TenthMillis};

use super::event::Event;
use super::fault::{AttemptFate, ReplicaBehavior};
use super::replicas::SimulatedReplicas;
use super::settings::REPLICA_GROUPS;
use crate::number;
use crate::random;

impl SimulatedReplicas {
    /// A replica dies and is replaced, drains, or comes back.
    pub(super) fn change(&mut self) {
        let replica = random::index(&mut self.rng, REPLICA_GROUPS);
        let entry = &mut self.members[replica];
        match (entry.phase, self.rng.rand_range(0..3)) {
            (Phase::Ready, 0) => entry.phase = Phase::Draining,
            (Phase::Ready, 1) => {
                // Another process in its place, which has to warm up.
                entry.started_at = Some(self.now);
                self.is_alive[replica] = true;
            }
            (Phase::Ready, _) => self.is_alive[replica] = !self.is_alive[replica],
            (_, _) => {
                (entry.phase, entry.started_at) = (Phase::Ready, Some(self.now));
                self.is_alive[replica] = true;
            }
        }
        let update = MembershipUpdate::Delta(vec![entry.clone()]);
        self.inputs.membership.push(update);
        let after = 5_000 + random::time_below(&mut self.rng, 40_000);
        self.schedule(after, Event::MembershipChange);
    }

    /// What becomes of an attempt at a replica, and how long after it was sent.
    pub(super) fn fate(
        &mut self,
        ReplicaIndex(replica): ReplicaIndex,
    ) -> (TenthMillis, AttemptFate) {
        let ReplicaBehavior { slow, faults, .. } = self.behavior;
        if !self.is_alive[replica] {
            return (
                2 + random::time_below(&mut self.rng, 20),
                AttemptFate::ConnectFailed,
            );
        }
        let usual = 10 + number::time(400.0 * self.rng.rand_float().powi(3));
        if self.rng.rand_float() < slow {
            return (1_000_000, AttemptFate::Success);
        }
        if self.rng.rand_float() >= faults {
            return (usual, AttemptFate::Success);
        }
        let fates = [
            AttemptFate::DuplicateSuccess,
            AttemptFate::MalformedValue,
            AttemptFate::Error,
            AttemptFate::Rejected,
            AttemptFate::ConnectFailed,
            AttemptFate::ConnectionLost,
        ];
        (usual, fates[random::index(&mut self.rng, fates.len())])
    }
}
