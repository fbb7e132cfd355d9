//! Checks the leader lease, and the retry allowance that is granted under it.

use linenthread_consensus::Epoch;

use super::super::ingress_node::RETRY_ALLOWANCE;
use super::super::invariant::Invariant;
use super::super::world::World;

/// Tolerance in comparisons of sums of shares.
const TOLERANCE: f64 = 1e-6;

impl World {
    /// Checks [`Invariant::OneLeaseHolderPerEpoch`].
    pub(in super::super) fn check_lease_holders(&mut self) {
        let epoch_of = |node: usize| {
            let control = self.machines[node].control.as_ref()?;
            control.lease_epoch(self.machine_clock(node))
        };
        let holders: Vec<(usize, Epoch)> = (0..self.machines.len())
            .filter_map(|node| epoch_of(node).map(|epoch| (node, epoch)))
            .collect();
        if holders.len() > 1 {
            let details = format!("control nodes and their epochs {holders:?} at once");
            self.violation(Invariant::OneLeaseHolderPerEpoch, &details);
        }
        for (node, epoch) in holders {
            let incarnation = self.machines[node].incarnation;
            let holder = *self
                .history
                .lease_holders
                .entry(epoch)
                .or_insert(incarnation);
            if holder != incarnation {
                let details =
                    format!("{epoch} is held by a second incarnation, of control node {node}");
                self.violation(Invariant::OneLeaseHolderPerEpoch, &details);
            }
        }
    }

    /// Checks [`Invariant::GrantsWithinAllowance`] for what all incarnations may have used in the window that ends now.
    pub(in super::super) fn check_grants(&mut self) {
        let usage = self.ingress.max_usage(self.queue.now());
        if usage > RETRY_ALLOWANCE + TOLERANCE {
            let details = format!("{usage} of {RETRY_ALLOWANCE} may be in use");
            self.violation(Invariant::GrantsWithinAllowance, &details);
        }
    }
}
