//! Checks what must hold at the end of a schedule, some time after the faults.

use linenthread_consensus::{Revision, document_digest};
use linenthread_control::ControlNode;
use linenthread_messages::OrderIdentity;

use super::super::disk::COMPACT_ABOVE_BYTES;
use super::super::ingress_node::INGRESS_NODES;
use super::super::invariant::Invariant;
use super::super::world::World;
use super::catch_up::BYTES_PER_CHANGE;

/// Maximum size of a log beyond its state, in bytes: the last records before compaction.
const LOG_SLACK_BYTES: u64 = 64 << 10;
/// Maximum size of a durable state, in bytes, in addition to [`BYTES_PER_CHANGE`] for each change.
const STATE_BYTES: usize = 64 << 10;
/// Number of the last changes that may not have reached the ingress nodes yet.
const CHANGES_IN_FLIGHT: usize = 3;

impl World {
    /// Checks the state at the end of a schedule; `acknowledged_before` changes were acknowledged before the faults
    /// ended.
    pub(in super::super) fn check_end(&mut self, acknowledged_before: usize) {
        if self.report.coverage.acknowledgements == acknowledged_before {
            let details = "no change was acknowledged after the faults";
            self.violation(Invariant::Recovers, details);
        }
        self.check_acknowledged_changes();
        self.check_ingress_nodes();
        self.check_voters();
        self.check_all_caught_up();
        self.check_state_bytes();
    }

    /// Checks [`Invariant::AcknowledgedLasts`].
    fn check_acknowledged_changes(&mut self) {
        let lost: Vec<Revision> = self
            .history
            .acknowledged
            .values()
            .filter(|change| !self.history.is_committed(change))
            .map(|change| change.revision)
            .collect();
        for revision in lost {
            let details = format!("{revision} is not in the chain");
            self.violation(Invariant::AcknowledgedLasts, &details);
        }
        for (node, revision) in self.missing_in_order_logs() {
            let details = format!("{revision} is not in the order log of {node}");
            self.violation(Invariant::AcknowledgedLasts, &details);
        }
        let acknowledged = self.history.newest_acknowledged();
        let newest = self
            .history
            .newest_value()
            .map_or(Revision::NONE, Revision::of);
        if newest < acknowledged {
            let details = format!("{acknowledged} is acknowledged, {newest} is the newest");
            self.violation(Invariant::AcknowledgedLasts, &details);
        }
    }

    /// Returns the nodes whose order logs lack an acknowledged revision, with that revision, although they have decided
    /// it or a later one. Replaced disks must have all of them as well.
    fn missing_in_order_logs(&self) -> Vec<(usize, Revision)> {
        let mut missing = Vec::new();
        for (node, machine) in self.machines.iter().enumerate() {
            let control = machine.control.as_ref().filter(|_| !machine.decommissioned);
            let Some(register) = control.map(ControlNode::register) else {
                continue;
            };
            let newest = register.decided().map_or(Revision::NONE, Revision::of);
            for change in self.history.acknowledged.values() {
                let order = OrderIdentity {
                    revision: change.revision.get(),
                    base: change.base.get(),
                    digest: document_digest(&change.document),
                };
                if change.revision <= newest && !register.order_log().contains(&order) {
                    missing.push((node, change.revision));
                }
            }
        }
        missing
    }

    /// Checks [`Invariant::Recovers`]: each ingress node has one of the newest configurations, and knows that it is
    /// confirmed.
    fn check_ingress_nodes(&mut self) {
        let acknowledged = self.history.acknowledged.keys().rev();
        let expected = acknowledged
            .copied()
            .nth(CHANGES_IN_FLIGHT)
            .unwrap_or_default();
        for index in 0..INGRESS_NODES {
            let ingress = &self.ingress.nodes[index];
            let (revision, confirmed) = (ingress.revision, ingress.confirmed);
            if revision < expected || !confirmed {
                let details = format!(
                    "ingress node {index} has {revision}, confirmed {confirmed}, of {expected}"
                );
                self.violation(Invariant::Recovers, &details);
            }
        }
    }

    /// Checks [`Invariant::Recovers`]: each machine votes or is the only standby.
    fn check_voters(&mut self) {
        let machines = self
            .machines
            .iter()
            .filter(|machine| !machine.decommissioned)
            .count();
        let voters = self
            .history
            .newest_value()
            .map_or(0, |value| value.voters.len());
        if !self.all_vote_but_one_standby(voters, machines) {
            let details = format!("{voters} disks vote, {machines} machines are there");
            self.violation(Invariant::Recovers, &details);
        }
    }

    /// Checks [`Invariant::BoundedState`].
    fn check_state_bytes(&mut self) {
        let max_state = STATE_BYTES + BYTES_PER_CHANGE * self.history.changes.len();
        let max_state = u64::try_from(max_state).unwrap_or(u64::MAX);
        for node in 0..self.machines.len() {
            let disk = &self.machines[node].disk;
            let (log, state) = (disk.log_bytes(), disk.state_bytes());
            let coverage = &mut self.report.coverage;
            coverage.max_state_bytes = coverage.max_state_bytes.max(state);
            if state > max_state || log > COMPACT_ABOVE_BYTES.max(state) + LOG_SLACK_BYTES {
                let details = format!("{node} keeps {state} bytes, in a log of {log}");
                self.violation(Invariant::BoundedState, &details);
            }
        }
    }
}
