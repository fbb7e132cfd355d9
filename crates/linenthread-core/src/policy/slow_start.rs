//! How many attempts a replica gets that has just started.

use super::Coordinator;
use crate::conversion::to_u64;
use crate::interface::ReplicaIndex;

/// How much is used of the slow-start budget.
///
/// Unit: share of the budget. Reason: the capacity that it is a multiple of is estimated.
const BUDGET_USE: f64 = 0.8;

/// Where co-ordinators take turns, their turns come often enough that this share of them is used.
///
/// Unit: share of turns. Reason: a co-ordinator that sees little seldom has an attempt for the replica in its turn.
const USED_TURNS: f64 = 0.5;

/// How much more often turns come at most.
///
/// Unit: factor. Reason: turns that coincide all use the budget.
const MAX_TURN_FACTOR: f64 = 2.0;

impl Coordinator {
    /// The share of its full capacity that a replica has while it is in slow start; `None` once it is warm.
    pub(super) fn slow_start_capacity(&self, replica: ReplicaIndex) -> Option<f64> {
        let slow_start = &self.config.slow_start;
        let age = self.now - self.replicas[replica].started_at()?;
        (age < slow_start.duration).then(|| {
            slow_start.initial_share
                + (1.0 - slow_start.initial_share) * age.max(0) as f64 / slow_start.duration as f64
        })
    }

    /// Whether a replica's slow-start budget has room for one more attempt: this co-ordinator's share of the
    /// budget, from what warm replicas serve from here.
    pub(super) fn has_slow_start_budget(&self, replica_index: ReplicaIndex) -> bool {
        let Some(capacity_share) = self.slow_start_capacity(replica_index) else {
            return true;
        };
        let replica = &self.replicas[replica_index];
        let slow_start = &self.config.slow_start;
        let sent = replica.slow_start_sends.since(self.now - slow_start.window);
        let own_share = replica.entry.slow_start_share.unwrap_or(1.0);
        let budget = slow_start.budget_multiple
            * BUDGET_USE
            * capacity_share
            * own_share
            * self.fleet.warm_capacity;
        if budget >= 1.0 {
            (sent + 1) as f64 <= budget
        } else {
            sent == 0 && self.is_turn(replica_index, budget)
        }
    }

    /// Whether this co-ordinator may use the replica's budget in the present window.
    ///
    /// Where its budget is less than one attempt in each window, it has one attempt in each 1 / `budget` windows,
    /// counted from the replica's start; the co-ordinators take turns. A co-ordinator with little traffic often has no
    /// attempt for the replica in its turn, so its turns come up to [`MAX_TURN_FACTOR`] times as often, though some of
    /// them then coincide with others': else most of the budget would be left unused.
    fn is_turn(&self, replica_index: ReplicaIndex, budget: f64) -> bool {
        let replica = &self.replicas[replica_index];
        let age = self.now - replica.started_at().unwrap_or(0);
        let used_share = 1.0 - (-self.fleet.sent_per_window).exp();
        let budget = budget * (USED_TURNS / used_share).clamp(1.0, MAX_TURN_FACTOR);
        let window = self.config.slow_start.window.max(1);
        // A start that service discovery dates in the future is before window 0; the turns go on by wrapping round.
        let turn = (age / window).cast_unsigned()
            + self.config.coordinator_number as u64
            + replica.entry.id;
        let windows_per_turn = (1.0 / budget)
            .ceil()
            .min(self.config.coordinator_count as f64);
        turn.is_multiple_of(to_u64(windows_per_turn))
    }
}
