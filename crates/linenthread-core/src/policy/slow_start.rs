//! Limits the attempts sent to a replica that has recently started.

use super::Coordinator;
use crate::conversion::to_u64;
use crate::interface::ReplicaIndex;

/// The usable part of the slow-start budget.
///
/// Unit: share of the budget. Reason: the capacity that the budget is a multiple of is an estimate.
const SLOW_START_UTILIZATION: f64 = 0.8;

/// Where co-ordinators take turns, turns are frequent enough for this share of them to be used.
///
/// Unit: share of turns. Reason: a co-ordinator with little traffic seldom has an attempt for the replica in its turn.
const TARGET_TURN_UTILIZATION: f64 = 0.5;

/// The maximum factor by which turns become more frequent.
///
/// Unit: factor. Reason: co-ordinators whose turns coincide all use the budget.
const MAX_TURN_FACTOR: f64 = 2.0;

impl Coordinator {
    /// Returns the share of its full capacity that a replica has during slow start; `None` once it is warm.
    pub(super) fn slow_start_capacity(&self, replica: ReplicaIndex) -> Option<f64> {
        let slow_start = &self.config.slow_start;
        let age = self.now - self.replicas[replica].started_at()?;
        (age < slow_start.duration).then(|| {
            slow_start.initial_share
                + (1.0 - slow_start.initial_share) * age.max(0) as f64 / slow_start.duration as f64
        })
    }

    /// Reports whether a replica's slow-start budget permits one more attempt. The budget is this co-ordinator's share,
    /// derived from what warm replicas serve for it.
    pub(super) fn has_slow_start_budget(&self, replica_index: ReplicaIndex) -> bool {
        let Some(capacity_share) = self.slow_start_capacity(replica_index) else {
            return true;
        };
        let replica = &self.replicas[replica_index];
        let slow_start = &self.config.slow_start;
        let sent = replica
            .slow_start_sends
            .count_since(self.now - slow_start.window);
        let usable_share = replica.entry.slow_start_share.unwrap_or(1.0);
        let budget = slow_start.budget_multiple
            * SLOW_START_UTILIZATION
            * capacity_share
            * usable_share
            * self.fleet.warm_capacity;
        if budget >= 1.0 {
            (sent + 1) as f64 <= budget
        } else {
            sent == 0 && self.is_turn(replica_index, budget)
        }
    }

    /// Reports whether this co-ordinator may use the replica's budget in the current window.
    ///
    /// If the budget is less than one attempt per window, this co-ordinator may send one attempt in every 1 / `budget`
    /// windows, counted from the replica's start, and the co-ordinators take turns. A co-ordinator with little traffic
    /// often has no attempt for the replica in its turn, which would leave most of the budget unused. Its turns are
    /// therefore up to [`MAX_TURN_FACTOR`] times as frequent, although some of them then coincide with those of others.
    fn is_turn(&self, replica_index: ReplicaIndex, budget: f64) -> bool {
        let replica = &self.replicas[replica_index];
        let age = self.now - replica.started_at().unwrap_or(0);
        let used_share = 1.0 - (-self.fleet.sent_per_window).exp();
        let budget = budget * (TARGET_TURN_UTILIZATION / used_share).clamp(1.0, MAX_TURN_FACTOR);
        let window = self.config.slow_start.window.max(1);
        // If service discovery reports a start in the future, the window is negative; the turns continue by wrapping
        // around.
        let turn = (age / window).cast_unsigned()
            + self.config.coordinator_number as u64
            + replica.entry.id;
        let windows_per_turn = (1.0 / budget)
            .ceil()
            .min(self.config.coordinator_count as f64);
        turn.is_multiple_of(to_u64(windows_per_turn))
    }
}
