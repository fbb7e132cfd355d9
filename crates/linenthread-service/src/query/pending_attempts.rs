//! The attempts of one query that have not finished: sent in batches, and each reported as finished once.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, QueryIndex, ReplicaIndex, TenthMillis,
};
use tokio::time::Instant;

use super::QueryContext;
use crate::clock;
use crate::transports::InFlightAttempt;
use crate::transports::attempt::{AttemptKey, OutcomeSender, OutgoingSubRequest};

/// An attempt that is cancelled this close to its deadline counts as timed out for its connection: a query that times
/// out cancels its attempts at about the time when they time out.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(20);

/// An attempt that has not finished.
pub(super) struct PendingAttempt {
    sent: TenthMillis,
    deadline: Instant,
    pub(super) replica: ReplicaIndex,
    /// Number of earlier continuations of the sub-request.
    pub(super) continuation: u32,
    /// `None` if the attempt was not sent, which the transport reports as its outcome.
    in_flight: Option<InFlightAttempt>,
}

/// The key of a batch: attempts with the same replica and time-out may share a frame.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BatchKey {
    pub(super) replica: ReplicaIndex,
    pub(super) timeout: TenthMillis,
}

/// Attempts to be sent, by batch.
pub(super) type SendBatches = BTreeMap<BatchKey, Vec<OutgoingSubRequest>>;

/// The pending attempts of one query. Each is reported as finished once.
pub(super) struct PendingAttempts<'a> {
    context: &'a QueryContext,
    query: QueryIndex,
    by_key: BTreeMap<AttemptKey, PendingAttempt>,
}

impl PendingAttempt {
    /// Notifies the connection if the attempt has timed out, since the connection may be unresponsive.
    fn notify_connection_on_timeout(&self, outcome: AttemptOutcome) {
        let has_no_response = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
        );
        if let Some(in_flight) = &self.in_flight
            && has_no_response
            && Instant::now() + DEADLINE_TOLERANCE >= self.deadline
        {
            in_flight.on_timeout();
        }
    }
}

impl<'a> PendingAttempts<'a> {
    pub(super) fn new(context: &'a QueryContext, query: QueryIndex) -> Self {
        PendingAttempts {
            context,
            query,
            by_key: BTreeMap::new(),
        }
    }

    pub(super) fn get(&self, key: AttemptKey) -> Option<&PendingAttempt> {
        self.by_key.get(&key)
    }

    /// Ends an attempt and reports its outcome; attempts end only here. One that is still in flight is cancelled on its
    /// connection.
    pub(super) fn finish(
        &mut self,
        key: AttemptKey,
        outcome: AttemptOutcome,
        queue_depth: Option<f64>,
    ) {
        let Some(pending) = self.by_key.remove(&key) else {
            return;
        };
        pending.notify_connection_on_timeout(outcome);
        let driver = &self.context.driver;
        let elapsed = driver.clock().now() - pending.sent;
        driver.observe_outcome(pending.replica, outcome, elapsed);
        driver.report_attempt(AttemptResult {
            query: self.query,
            sub_request: key.sub_request,
            attempt: key.attempt,
            outcome,
            elapsed,
            queue_depth,
        });
    }

    /// Sends the batches and leaves them empty.
    pub(super) fn send(
        &mut self,
        batches: &mut SendBatches,
        query_id: &str,
        outcomes: &OutcomeSender,
    ) {
        let now = Instant::now();
        let sent = self.context.driver.clock().now();
        let max_per_frame = self.context.cluster.max_sub_requests_per_call;
        for (BatchKey { replica, timeout }, batch) in std::mem::take(batches) {
            let wait = clock::to_duration(timeout.max(1));
            let wait_ms = clock::to_millis_ceil(wait);
            for sub_requests in batch.chunks(max_per_frame) {
                let transports = &self.context.transports;
                let in_flight = transports.send(replica, query_id, sub_requests, wait_ms, outcomes);
                for (outgoing, in_flight) in sub_requests.iter().zip(in_flight) {
                    let pending = PendingAttempt {
                        sent,
                        deadline: now + wait,
                        replica,
                        continuation: outgoing.continuation,
                        in_flight,
                    };
                    self.by_key.insert(outgoing.key, pending);
                }
            }
        }
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.by_key.values().map(|pending| pending.deadline).min()
    }

    /// Ends the attempts whose deadline has passed.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<_> = self
            .by_key
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.finish(key, AttemptOutcome::TimedOut, None);
        }
    }

    pub(super) fn cancel_all(&mut self) {
        let keys: Vec<_> = self.by_key.keys().copied().collect();
        for key in keys {
            self.finish(key, AttemptOutcome::Cancelled, None);
        }
    }
}
