//! Runs the calls and probes of other sites: each is sent to the replica that it names, once, and its outcome is
//! returned to the peer.

use std::rc::Rc;

use linenthread_core::interface::{AttemptOutcome, ReplicaIndex, SubRequestIndex, TenthMillis};
use linenthread_link::frame::{CallOutcome, ProbeOutcome};
use linenthread_link::{Call, CallNumber, ConnectionId, Frame, ProbeId, SessionId};
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;

use super::Gateway;
use crate::clock;
use crate::transports::InFlightAttempt;
use crate::transports::attempt::{AttemptKey, FinishedAttempt, OutgoingSubRequest, ProbeReport};

/// The key of every call's attempt: a call is one attempt at one sub-request.
const ONLY_ATTEMPT: AttemptKey = AttemptKey {
    sub_request: SubRequestIndex(0),
    attempt: 0,
};

/// Identifies a running call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallKey {
    pub(super) session: SessionId,
    pub(super) number: CallNumber,
}

impl Gateway {
    /// Runs one call to its end, and reports its outcome.
    pub(super) async fn run_call(
        self,
        key: CallKey,
        timeout: TenthMillis,
        call: Call,
        cancelled: Rc<Notify>,
    ) {
        let finished = match self.0.driver.direct_replica(&call.replica) {
            None => FinishedAttempt::without_value(ONLY_ATTEMPT, AttemptOutcome::NotSent),
            Some(replica) => self.attempt(replica, timeout, &call, &cancelled).await,
        };
        self.0.running.borrow_mut().remove(&key);
        let outcome = CallOutcome {
            number: key.number,
            outcome: finished.outcome,
            queue_depth: finished.queue_depth,
            value: finished.value,
        };
        self.step(|server, _, actions| server.on_call_completed(key.session, outcome, actions));
    }

    /// Makes the only attempt of a call.
    async fn attempt(
        &self,
        replica: ReplicaIndex,
        timeout: TenthMillis,
        call: &Call,
        cancelled: &Notify,
    ) -> FinishedAttempt {
        let (outcomes, mut finished_attempts) = mpsc::unbounded_channel();
        let outgoing = OutgoingSubRequest {
            key: ONLY_ATTEMPT,
            shard: usize::try_from(call.shard).unwrap_or(usize::MAX),
            continuation: call.continuation,
            text: call.text.as_str().into(),
            priority: 0,
        };
        let wait = clock::to_duration(timeout.max(1));
        let in_flight = self.0.transports.send(
            replica,
            &call.query,
            &[outgoing],
            clock::to_millis_ceil(wait),
            &outcomes,
        );
        // Dropping `in_flight` cancels the attempt if it has not finished.
        tokio::select! {
            Some(finished) = finished_attempts.recv() => finished,
            () = sleep(wait) => {
                in_flight.iter().flatten().for_each(InFlightAttempt::on_timeout);
                FinishedAttempt::without_value(ONLY_ATTEMPT, AttemptOutcome::TimedOut)
            }
            () = cancelled.notified() => {
                FinishedAttempt::without_value(ONLY_ATTEMPT, AttemptOutcome::Cancelled)
            }
        }
    }

    /// Probes a replica on behalf of the peer, and sends the outcome to it.
    pub(super) async fn probe(self, connection: ConnectionId, id: ProbeId, replica: String) {
        let report = match self.0.driver.direct_replica(&replica) {
            Some(replica) => self.0.transports.probe(replica).await,
            None => ProbeReport::without_queue_depth(AttemptOutcome::NotSent),
        };
        let outcome = ProbeOutcome {
            id,
            outcome: report.outcome,
            queue_depth: report.queue_depth,
        };
        self.send(connection, &Frame::Probed(outcome));
    }
}
