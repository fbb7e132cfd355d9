//! The task of one query: performs the coordinator's decisions, collects the responses and answers the client.

use std::rc::Rc;

use linenthread_core::interface::{AttemptOutcome, QueryIndex, SubRequestIndex};
use linenthread_protocol::query::Query;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::pending_attempts::{BatchKey, PendingAttempts, SendBatches};
use super::{QueryContext, QueryOutcome};
use crate::clock;
use crate::coordinator_driver::QueryDecision;
use crate::merge_responses::{AttemptRequest, AttemptResponse, ResponseCollector, ResponseSource};
use crate::transports::attempt::{AttemptKey, FinishedAttempt, OutcomeSender, OutgoingSubRequest};

/// The state of one query's task.
pub(super) struct QueryTask<'a> {
    pub(super) context: &'a QueryContext,
    pub(super) index: QueryIndex,
    pub(super) query: &'a Query,
    /// The text of the query, which is sent with each attempt unless responses are merged.
    pub(super) text: Rc<str>,
    /// The value of the query, in thousandths.
    pub(super) priority: u32,
    pub(super) responses: ResponseCollector<'a>,
    /// Attempts made so far, by sub-request.
    pub(super) attempt_counts: Vec<usize>,
    pub(super) pending: PendingAttempts<'a>,
    /// Passed to the transports with each attempt.
    pub(super) outcomes: OutcomeSender,
    /// `None` once the client is answered or has disconnected.
    pub(super) client: Option<oneshot::Sender<QueryOutcome>>,
}

impl QueryTask<'_> {
    /// Runs until the driver releases the query, when the query is over and nothing is in flight.
    pub(super) async fn run(
        mut self,
        mut decisions: mpsc::UnboundedReceiver<QueryDecision>,
        mut finished_attempts: mpsc::UnboundedReceiver<FinishedAttempt>,
    ) {
        loop {
            let deadline = self.pending.next_deadline();
            tokio::select! {
                biased;
                decision = decisions.recv() => match decision {
                    Some(first) => self.on_decisions(first, &mut decisions),
                    None => return,
                },
                Some(finished) = finished_attempts.recv() => self.on_finished(finished),
                () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                    self.pending.expire();
                }
                () = client_disconnected(self.client.as_mut()) => self.on_client_disconnected(),
            }
        }
    }

    /// Records the response to an attempt, unless the attempt has ended before.
    fn on_finished(&mut self, finished: FinishedAttempt) {
        let key = finished.key;
        let Some(pending) = self.pending.get(key) else {
            return;
        };
        let replica = pending.replica;
        let driver = &self.context.driver;
        let source = || ResponseSource {
            replica: driver.replica_id(replica),
            shard: self.query.sub_requests[key.sub_request.0].shard,
        };
        let response = AttemptResponse {
            sub_request: key.sub_request,
            continuation: pending.continuation,
            outcome: finished.outcome,
            value: finished.value,
        };
        let outcome = self.responses.record(response, source);
        self.pending.finish(key, outcome, finished.queue_depth);
        let continuations = self.responses.take_continuations();
        if !continuations.is_empty() {
            driver.continue_sub_requests(self.index, &continuations);
        }
    }

    fn on_client_disconnected(&mut self) {
        self.client = None;
        self.context.driver.cancel_query(self.index);
        if self.context.sends_cancellations {
            self.pending.cancel_all();
        }
    }

    /// Performs all pending decisions on this query. Consecutive attempts at one replica may share a frame; any other
    /// decision is performed after the attempts before it are sent.
    fn on_decisions(
        &mut self,
        first: QueryDecision,
        decisions: &mut mpsc::UnboundedReceiver<QueryDecision>,
    ) {
        let mut batches = SendBatches::new();
        let mut next = Some(first);
        while let Some(decision) = next {
            if !matches!(decision, QueryDecision::Send { .. }) {
                self.send(&mut batches);
            }
            self.perform(decision, &mut batches);
            next = decisions.try_recv().ok();
        }
        self.send(&mut batches);
    }

    fn send(&mut self, batches: &mut SendBatches) {
        self.pending.send(batches, &self.query.id, &self.outcomes);
    }

    /// Creates the next attempt at a sub-request.
    fn next_attempt(&mut self, sub_request: SubRequestIndex) -> OutgoingSubRequest {
        let AttemptRequest { continuation, text } =
            self.responses.next_request(sub_request, &self.text);
        let attempt = self.attempt_counts[sub_request.0];
        self.attempt_counts[sub_request.0] += 1;
        OutgoingSubRequest {
            key: AttemptKey {
                sub_request,
                attempt,
            },
            shard: self.query.sub_requests[sub_request.0].shard,
            continuation,
            text,
            priority: self.priority,
        }
    }

    /// Performs a decision; attempts to be sent are added to `batches`.
    fn perform(&mut self, decision: QueryDecision, batches: &mut SendBatches) {
        match decision {
            QueryDecision::Send {
                sub_request,
                replica,
                timeout,
            } => {
                let outgoing = self.next_attempt(sub_request);
                let batch = batches.entry(BatchKey { replica, timeout });
                batch.or_default().push(outgoing);
            }
            QueryDecision::Cancel {
                sub_request,
                attempt,
            } => {
                let key = AttemptKey {
                    sub_request,
                    attempt,
                };
                self.pending.finish(key, AttemptOutcome::Cancelled, None);
            }
            QueryDecision::Respond { completeness } => {
                let body = self.responses.response(completeness, self.query);
                self.answer(QueryOutcome::Success(body));
            }
            QueryDecision::Reject { retry_after } => {
                let retry_after_ms = retry_after.map(clock::to_millis);
                self.answer(QueryOutcome::Rejected { retry_after_ms });
            }
            QueryDecision::Fail => self.answer(QueryOutcome::Failed),
        }
    }

    fn answer(&mut self, outcome: QueryOutcome) {
        if let Some(client) = self.client.take() {
            client.send(outcome).ok();
        }
    }
}

/// Waits until the client disconnects; never completes if `client` is `None`.
async fn client_disconnected(client: Option<&mut oneshot::Sender<QueryOutcome>>) {
    match client {
        Some(client) => client.closed().await,
        None => std::future::pending().await,
    }
}
