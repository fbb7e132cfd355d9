//! Checks that an acknowledged drain is known to a majority of the voters, and is never forgotten.

use std::time::Duration;

use linenthread_control::ControlNode;
use linenthread_messages::{IngressUpdate, ReplicaState, Voter};
use linenthread_time::Instant;

use super::super::invariant::Invariant;
use super::super::world::World;

/// A process that has run for less than this may have known a drain before it was restarted.
const RECENT_START_TIME: Duration = Duration::from_millis(1_500);

/// Time from the acknowledgement of a drain within which ingress nodes may still be told that the replica is available.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);

impl World {
    /// Checks [`Invariant::AcknowledgedDrainLasts`] for an update sent to an ingress node.
    pub(in super::super) fn check_offered(
        &mut self,
        index: usize,
        sent_at: Instant,
        update: &IngressUpdate,
    ) {
        for replica in &update.replicas {
            let acknowledged_at = self.replicas.acknowledged_at(&replica.id);
            let is_late = acknowledged_at.is_some_and(|at| sent_at > at + DRAIN_TIMEOUT);
            if is_late && replica.state() == ReplicaState::Available {
                let details = format!(
                    "ingress node {index} is told that {} is available",
                    replica.id
                );
                self.violation(Invariant::AcknowledgedDrainLasts, &details);
            }
        }
    }

    /// Checks [`Invariant::DrainsAreKnown`].
    pub(in super::super) fn check_drain(&mut self, node: usize, replica_id: &str) {
        self.report.coverage.drains += 1;
        let control = self.machines[node].control.as_ref();
        let Some(register) = control.map(ControlNode::register) else {
            return;
        };
        let voters = register.voters();
        let known = voters
            .iter()
            .filter(|voter| self.knows_drain(voter, replica_id))
            .count();
        // A voter that may have known the drain and has been restarted since counts as knowing it.
        let restarted = voters
            .iter()
            .filter(|voter| !self.is_long_running(voter))
            .count();
        if (known + restarted) * 2 <= voters.len() {
            let details = format!("{known} of {} know of {replica_id}", voters.len());
            self.violation(Invariant::DrainsAreKnown, &details);
        }
    }

    fn knows_drain(&self, voter: &Voter, replica_id: &str) -> bool {
        let is_known = |control: &ControlNode| {
            let known = control
                .registry()
                .get(replica_id)
                .map(|known| &known.replica);
            known.is_some_and(|replica| replica.draining || replica.ended)
        };
        self.machines
            .iter()
            .filter_map(|machine| machine.control.as_ref())
            .any(|control| control.register().id() == voter.into() && is_known(control))
    }

    fn is_long_running(&self, voter: &Voter) -> bool {
        let started_before = |start| start + RECENT_START_TIME < self.now();
        self.machines.iter().any(|machine| {
            machine.voter_id() == Some(voter.into()) && started_before(machine.started_at)
        })
    }
}
