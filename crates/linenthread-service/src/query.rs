//! The task of one query, from its submission until none of its attempts is in flight.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, QueryIndex, SubRequestIndex, TenthMillis,
};
use linenthread_merge::QueryError;
use linenthread_protocol::query::{Page, Query};
use linenthread_terms::ClusterConfig;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::clock;
use crate::dispatcher::{Decision, Dispatcher, QuerySubmission};
use crate::merge_responses::{
    AttemptResponse, MergePlans, ResponseCollector, ResponseMerging, ResponseSource,
};
use crate::transports::attempt::{FinishedAttempt, FinishedAttempts, OutgoingSubRequest};
use crate::transports::{InFlightAttempt, Transports};

/// An attempt that is cancelled this close to its deadline counts as timed out for its connection: a query that
/// runs out of time cancels its attempts at about the moment when they time out.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(20);

/// How a query ended for its client.
#[derive(Debug)]
pub(crate) enum QueryOutcome {
    /// The body of the response.
    Success(Vec<u8>),
    /// The query may be retried, after this time where it is given.
    Rejected {
        retry_after_ms: Option<f64>,
    },
    Failed,
    /// A query of the same id is open.
    DuplicateId,
    /// The requested page cannot be served.
    Invalid(QueryError),
}

/// What the tasks of all queries share.
pub(crate) struct QueryContext {
    pub dispatcher: Dispatcher,
    pub transports: Transports,
    pub cluster: ClusterConfig,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    pub merging: ResponseMerging,
    /// The value of a query by its index, in thousandths.
    pub priorities: Vec<u32>,
    /// The ids of open queries, each removed by its [`OpenId`].
    pub open_ids: RefCell<HashSet<String>>,
}

/// The id of an open query. Dropping it releases the id.
struct OpenId<'a> {
    context: &'a QueryContext,
    id: &'a str,
}

impl<'a> OpenId<'a> {
    /// `None` where a query of this id is open: sub-requests are identified by it.
    fn reserve(context: &'a QueryContext, id: &'a str) -> Option<Self> {
        let is_new = context.open_ids.borrow_mut().insert(id.to_owned());
        is_new.then(|| OpenId { context, id })
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.context.open_ids.borrow_mut().remove(self.id);
    }
}

/// Identifies an attempt within its query.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    sub_request: usize,
    attempt: usize,
}

/// An attempt that has not finished.
struct PendingAttempt {
    sent: TenthMillis,
    deadline: Instant,
    replica: usize,
    /// How many continuations of the sub-request came before.
    continuation: u32,
    /// `None` where it was never sent, which is reported as its outcome.
    in_flight: Option<InFlightAttempt>,
}

/// Attempts to be sent, by replica and time-out: those that share both share a frame.
type SendBatches = BTreeMap<(usize, TenthMillis), Vec<OutgoingSubRequest>>;

/// The pending attempts of one query. Each is reported as finished once.
struct PendingAttempts<'a> {
    context: &'a QueryContext,
    query: usize,
    by_key: BTreeMap<AttemptKey, PendingAttempt>,
}

impl PendingAttempts<'_> {
    /// The only place where an attempt ends. One that is still in flight is cancelled on its connection.
    fn finish(&mut self, key: AttemptKey, outcome: AttemptOutcome, queue_depth: Option<f64>) {
        let Some(pending) = self.by_key.remove(&key) else {
            return;
        };
        let was_given_up = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
        );
        if let Some(in_flight) = &pending.in_flight
            && was_given_up
            && Instant::now() + DEADLINE_TOLERANCE >= pending.deadline
        {
            in_flight.timed_out();
        }
        let dispatcher = &self.context.dispatcher;
        let elapsed = dispatcher.clock().now() - pending.sent;
        dispatcher.observe_outcome(pending.replica, outcome, elapsed);
        dispatcher.report_attempt(AttemptResult {
            query: QueryIndex(self.query),
            sub_request: SubRequestIndex(key.sub_request),
            attempt: key.attempt,
            outcome,
            elapsed,
            queue_depth,
        });
    }

    /// Sends the batches and leaves them empty.
    fn send(&mut self, batches: &mut SendBatches, query_id: &str, finished: &FinishedAttempts) {
        let now = Instant::now();
        let sent = self.context.dispatcher.clock().now();
        let max_per_frame = self.context.cluster.max_sub_requests_per_call;
        for ((replica, timeout), batch) in std::mem::take(batches) {
            let wait = clock::to_duration(timeout.max(1));
            let wait_ms = clock::to_millis_ceil(wait);
            for sub_requests in batch.chunks(max_per_frame) {
                let in_flight = self.context.transports.send(
                    replica,
                    query_id,
                    sub_requests,
                    wait_ms,
                    finished,
                );
                for (outgoing, in_flight) in sub_requests.iter().zip(in_flight) {
                    let key = AttemptKey {
                        sub_request: outgoing.sub_request,
                        attempt: outgoing.attempt,
                    };
                    let pending = PendingAttempt {
                        sent,
                        deadline: now + wait,
                        replica,
                        continuation: outgoing.continuation,
                        in_flight,
                    };
                    self.by_key.insert(key, pending);
                }
            }
        }
    }

    fn next_deadline(&self) -> Option<Instant> {
        self.by_key.values().map(|pending| pending.deadline).min()
    }

    /// Ends the attempts whose deadline has passed.
    fn expire(&mut self) {
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

    fn cancel_all(&mut self) {
        let keys: Vec<_> = self.by_key.keys().copied().collect();
        for key in keys {
            self.finish(key, AttemptOutcome::Cancelled, None);
        }
    }
}

/// A query as a frontend has decoded it and checked it against the deployment.
pub(crate) struct QueryRequest {
    pub query: Query,
    pub submission: QuerySubmission,
    /// The requested page, where the index is merged.
    pub page: Page,
}

/// Runs a query to its end. `client` receives the one outcome; it is closed where the client leaves.
pub(crate) async fn run(
    context: Rc<QueryContext>,
    request: QueryRequest,
    client: oneshot::Sender<QueryOutcome>,
) {
    let plans = context.merging.plans.borrow().clone();
    let responses = match collector(&context, &plans, &request) {
        Ok(responses) => responses,
        Err(error) => return drop(client.send(QueryOutcome::Invalid(error))),
    };
    let QueryRequest {
        query, submission, ..
    } = request;
    let priority = context.priorities.get(submission.index).copied();
    let Some(_open_id) = OpenId::reserve(&context, &query.id) else {
        return drop(client.send(QueryOutcome::DuplicateId));
    };
    let (id, decisions) = context.dispatcher.submit(submission);
    let (finished, finished_attempts) = mpsc::unbounded_channel();
    let task = QueryTask {
        context: &context,
        id,
        text: query.body.as_str().into(),
        priority: priority.unwrap_or_default(),
        attempt_counts: vec![0; query.sub_requests.len()],
        query: &query,
        responses,
        pending: PendingAttempts {
            context: &context,
            query: id,
            by_key: BTreeMap::new(),
        },
        finished,
        client: Some(client),
    };
    task.run(decisions, finished_attempts).await;
}

/// # Errors
///
/// Why the requested page cannot be served.
fn collector<'a>(
    context: &'a QueryContext,
    plans: &'a MergePlans,
    request: &QueryRequest,
) -> Result<ResponseCollector<'a>, QueryError> {
    let anomalies = &context.merging.anomalies;
    let index = request.submission.index;
    let shard_count = context.cluster.shard_count;
    ResponseCollector::new(
        plans,
        anomalies,
        index,
        shard_count,
        &request.query,
        &request.page,
    )
}

/// The state of one query's task.
struct QueryTask<'a> {
    context: &'a QueryContext,
    /// The dispatcher's number of the query.
    id: usize,
    query: &'a Query,
    text: Rc<str>,
    /// In thousandths.
    priority: u32,
    responses: ResponseCollector<'a>,
    /// Attempts made so far, by sub-request.
    attempt_counts: Vec<usize>,
    pending: PendingAttempts<'a>,
    /// Given to the transports with each attempt.
    finished: FinishedAttempts,
    /// `None` once it is answered or has left.
    client: Option<oneshot::Sender<QueryOutcome>>,
}

impl QueryTask<'_> {
    /// Runs until the dispatcher releases the query: it is over, and nothing is in flight.
    async fn run(
        mut self,
        mut decisions: mpsc::UnboundedReceiver<Decision>,
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
                () = closed(&mut self.client) => self.on_client_left(),
            }
        }
    }

    /// Records the response of an attempt, unless it was ended before.
    fn on_finished(&mut self, finished: FinishedAttempt) {
        let key = AttemptKey {
            sub_request: finished.sub_request,
            attempt: finished.attempt,
        };
        let Some(pending) = self.pending.by_key.get(&key) else {
            return;
        };
        let replica = pending.replica;
        let dispatcher = &self.context.dispatcher;
        let source = || ResponseSource {
            replica: dispatcher.replica_id(replica),
            shard: self.query.sub_requests[key.sub_request].shard,
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
            dispatcher.continue_sub_requests(self.id, &continuations);
        }
    }

    fn on_client_left(&mut self) {
        self.client = None;
        self.context.dispatcher.abandon(self.id);
        if self.context.cancellation {
            self.pending.cancel_all();
        }
    }

    /// Performs the decisions made on this query by now. Consecutive attempts that go to one replica share a
    /// frame; any other decision takes effect after the attempts before it.
    fn on_decisions(&mut self, first: Decision, decisions: &mut mpsc::UnboundedReceiver<Decision>) {
        let mut batches = SendBatches::new();
        let mut next = Some(first);
        while let Some(decision) = next {
            if !matches!(decision, Decision::Send { .. }) {
                self.send(&mut batches);
            }
            self.perform(decision, &mut batches);
            next = decisions.try_recv().ok();
        }
        self.send(&mut batches);
    }

    fn send(&mut self, batches: &mut SendBatches) {
        self.pending.send(batches, &self.query.id, &self.finished);
    }

    /// The next attempt at a sub-request.
    fn next_attempt(&mut self, sub_request: usize) -> OutgoingSubRequest {
        let (continuation, text) = self.responses.request(sub_request, &self.text);
        let attempt = self.attempt_counts[sub_request];
        self.attempt_counts[sub_request] += 1;
        OutgoingSubRequest {
            sub_request,
            attempt,
            shard: self.query.sub_requests[sub_request].shard,
            continuation,
            text,
            priority: self.priority,
        }
    }

    /// Performs a decision; attempts to be sent are added to `batches`.
    fn perform(&mut self, decision: Decision, batches: &mut SendBatches) {
        match decision {
            Decision::Send {
                sub_request,
                replica,
                timeout,
            } => {
                let outgoing = self.next_attempt(sub_request);
                batches
                    .entry((replica, timeout))
                    .or_default()
                    .push(outgoing);
            }
            Decision::Cancel {
                sub_request,
                attempt,
            } => {
                let key = AttemptKey {
                    sub_request,
                    attempt,
                };
                self.pending.finish(key, AttemptOutcome::Cancelled, None);
            }
            Decision::Respond { complete } => {
                let body = self.responses.response(complete, self.query);
                self.answer(QueryOutcome::Success(body));
            }
            Decision::Reject { retry_after } => {
                let retry_after_ms = retry_after.map(|tenths| tenths as f64 / 10.0);
                self.answer(QueryOutcome::Rejected { retry_after_ms });
            }
            Decision::Fail => self.answer(QueryOutcome::Failed),
        }
    }

    fn answer(&mut self, outcome: QueryOutcome) {
        if let Some(client) = self.client.take() {
            client.send(outcome).ok();
        }
    }
}

/// Waits until the client leaves; for ever once it is answered.
async fn closed(client: &mut Option<oneshot::Sender<QueryOutcome>>) {
    match client {
        Some(client) => client.closed().await,
        None => std::future::pending().await,
    }
}
