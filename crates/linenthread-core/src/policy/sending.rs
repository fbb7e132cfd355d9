//! Sends an attempt, and closes idle connections first if they tend to fail.

use super::Coordinator;
use super::windows::{RETAINED_RESPONSES, SHORT_TIME_CONSTANT};
use crate::interface::{DecisionSink, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis};
use crate::state::{Attempt, ConnectionUse};

/// The time without use after which a connection counts as idle.
///
/// Unit: 0.1 ms (750 ms). Reason: connections that are dropped without notice are those that are not in use.
const IDLE_AFTER: TenthMillis = 7_500;

/// Idle connections are closed before use if their failure rate exceeds that of other connections by more than this.
///
/// Unit: share of attempts. Reason: smaller differences are random, and closing costs a handshake for each attempt.
const IDLE_FAILURE_MARGIN: f64 = 0.08;

impl Coordinator {
    /// Sends an attempt of a sub-request if a replica is available for it.
    pub(super) fn send_attempt(
        &mut self,
        query_index: QueryIndex,
        sub_request_index: SubRequestIndex,
        sink: &mut impl DecisionSink,
    ) {
        let Some(replica_index) = self.choose_replica(query_index, sub_request_index) else {
            return;
        };
        let now = self.now;
        let abandon_at = self.abandon_at(self.open_query(query_index));
        self.count_attempt(query_index, sub_request_index, replica_index);
        let connection = self.prepare_connection(replica_index, sink);
        let sub_request = &mut self.open_query_mut(query_index).sub_requests[sub_request_index];
        sub_request.attempts.push(Attempt {
            replica: replica_index,
            sent_at: now,
            connection,
            outcome: None,
            reissued: false,
        });
        self.replicas[replica_index].on_send(now);
        let timeout = (abandon_at - now).max(1);
        sink.send(query_index, sub_request_index, replica_index, timeout);
    }

    /// Counts an attempt about to be sent against each budget that it uses.
    fn count_attempt(
        &mut self,
        query_index: QueryIndex,
        sub_request_index: SubRequestIndex,
        replica_index: ReplicaIndex,
    ) {
        let now = self.now;
        let sub_request = &self.open_query(query_index).sub_requests[sub_request_index];
        let is_retry = !sub_request.attempts.is_empty();
        let is_hedge = sub_request.in_flight() > 0;
        self.fleet
            .hedge_share
            .record_attempt(now, SHORT_TIME_CONSTANT, is_hedge);
        if is_retry {
            self.count_retry();
        }
        if self.slow_start_capacity(replica_index).is_some() {
            let window = self.config.slow_start.window;
            let replica = &mut self.replicas[replica_index];
            replica.slow_start_sends.add(now, window, 1);
        }
    }

    /// Closes the idle connections to a replica if such connections tend to fail. Returns the kind of connection that
    /// the attempt will use.
    fn prepare_connection(
        &self,
        replica_index: ReplicaIndex,
        sink: &mut impl DecisionSink,
    ) -> ConnectionUse {
        let replica = &self.replicas[replica_index];
        if replica.in_flight > 0 {
            return ConnectionUse::Unknown;
        }
        let is_idle = self.now - replica.last_used_at > IDLE_AFTER;
        if !is_idle {
            return ConnectionUse::Active;
        }
        if self.idle_connections_fail() {
            sink.close_idle(replica_index);
            return ConnectionUse::Active;
        }
        ConnectionUse::Idle
    }

    fn idle_connections_fail(&self) -> bool {
        let idle = self.fleet.idle_connection_failures;
        let active = self.fleet.active_connection_failures;
        idle.mean(RETAINED_RESPONSES)
            .zip(active.mean(RETAINED_RESPONSES))
            .is_some_and(|(idle, active)| idle > active + IDLE_FAILURE_MARGIN)
    }
}
