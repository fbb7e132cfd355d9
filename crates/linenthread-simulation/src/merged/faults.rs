//! Draws the outcomes of attempts, and the changes of replicas.

use linenthread_core::interface::{MembershipUpdate, Phase, ReplicaIndex, TenthMillis};

use super::event::Event;
use super::fault::{DrawnOutcome, ReplicaBehavior};
use super::replicas::SimulatedReplicas;
use super::settings::REPLICA_GROUPS;
use crate::number;
use crate::random;

impl SimulatedReplicas {
    /// Stops, drains, replaces or brings back a random replica, and schedules the next change.
    pub(super) fn change_replica(&mut self) {
        let replica = random::index(&mut self.rng, REPLICA_GROUPS);
        let entry = &mut self.members[replica];
        match (entry.phase, self.rng.rand_range(0..3)) {
            (Phase::Ready, 0) => entry.phase = Phase::Draining,
            (Phase::Ready, 1) => {
                // Another process replaces it and has to warm up.
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

    /// Draws the outcome of an attempt at a replica, and how long after it was sent the attempt ends.
    pub(super) fn draw_outcome(
        &mut self,
        ReplicaIndex(replica): ReplicaIndex,
    ) -> (TenthMillis, DrawnOutcome) {
        let ReplicaBehavior {
            slow_share,
            fault_share,
            ..
        } = self.behavior;
        if !self.is_alive[replica] {
            return (
                2 + random::time_below(&mut self.rng, 20),
                DrawnOutcome::ConnectFailed,
            );
        }
        let usual = 10 + number::time_from_f64(400.0 * self.rng.rand_float().powi(3));
        if self.rng.rand_float() < slow_share {
            return (1_000_000, DrawnOutcome::Success);
        }
        if self.rng.rand_float() >= fault_share {
            return (usual, DrawnOutcome::Success);
        }
        let outcomes = [
            DrawnOutcome::DuplicateSuccess,
            DrawnOutcome::MalformedValue,
            DrawnOutcome::Error,
            DrawnOutcome::Rejected,
            DrawnOutcome::ConnectFailed,
            DrawnOutcome::ConnectionLost,
        ];
        (
            usual,
            outcomes[random::index(&mut self.rng, outcomes.len())],
        )
    }
}
