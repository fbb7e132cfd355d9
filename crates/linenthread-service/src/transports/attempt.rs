//! What every transport takes and reports: one attempt at a sub-request, and how it ended.

use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::{AttemptOutcome, SubRequestIndex};
use tokio::sync::mpsc;

/// Identifies an attempt within its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The sub-request's position in its query.
    pub sub_request: SubRequestIndex,
    /// The attempt's number within its sub-request.
    pub attempt: usize,
}

/// Sends the outcome of each attempt to the task of its query.
pub type OutcomeSender = mpsc::UnboundedSender<FinishedAttempt>;

/// The outcome of one attempt, reported to the task of its query.
#[derive(Debug)]
pub struct FinishedAttempt {
    /// Which attempt it is.
    pub key: AttemptKey,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The queue depth that the replica reported.
    pub queue_depth: Option<f64>,
    /// Empty unless the attempt succeeded.
    pub value: String,
}

impl FinishedAttempt {
    pub(crate) fn without_value(key: AttemptKey, outcome: AttemptOutcome) -> FinishedAttempt {
        FinishedAttempt {
            key,
            outcome,
            queue_depth: None,
            value: String::new(),
        }
    }
}

/// Reports the outcome of one attempt, once it has one, to the task of its query.
pub(crate) struct OutcomeReporter {
    key: AttemptKey,
    outcomes: OutcomeSender,
}

impl OutcomeReporter {
    pub(crate) fn new(key: AttemptKey, outcomes: &OutcomeSender) -> OutcomeReporter {
        OutcomeReporter {
            key,
            outcomes: outcomes.clone(),
        }
    }

    /// Reports what a response brought.
    pub(crate) fn report(self, outcome: AttemptOutcome, queue_depth: Option<f64>, value: String) {
        let finished = FinishedAttempt {
            key: self.key,
            outcome,
            queue_depth,
            value,
        };
        // A query that has ended needs no outcome.
        self.outcomes.send(finished).ok();
    }

    /// Reports the end of an attempt that has no response.
    pub(crate) fn report_without_response(self, outcome: AttemptOutcome) {
        let finished = FinishedAttempt::without_value(self.key, outcome);
        self.outcomes.send(finished).ok();
    }
}

/// The outcome of one probe of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeReport {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The queue depth that the replica reported.
    pub queue_depth: Option<f64>,
}

impl ProbeReport {
    pub(crate) fn without_load(outcome: AttemptOutcome) -> ProbeReport {
        ProbeReport {
            outcome,
            queue_depth: None,
        }
    }
}

/// Reports sub-requests that never left this process; none of them is in flight.
pub(crate) fn report_not_sent<T>(
    sub_requests: &[OutgoingSubRequest],
    outcomes: &OutcomeSender,
) -> Vec<Option<T>> {
    for outgoing in sub_requests {
        let not_sent = FinishedAttempt::without_value(outgoing.key, AttemptOutcome::NotSent);
        outcomes.send(not_sent).ok();
    }
    sub_requests.iter().map(|_| None).collect()
}

/// One attempt at a sub-request, ready to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingSubRequest {
    /// Which attempt it is.
    pub key: AttemptKey,
    /// The shard that it is for.
    pub shard: usize,
    /// How many continuations of this sub-request came before.
    pub continuation: u32,
    /// What the replica is asked.
    pub text: Rc<str>,
    /// The value of its query, in thousandths: a link that is short of credit sends the highest first.
    pub priority: u32,
}

/// How connections to replicas are used.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionConfig {
    /// Attempts in flight on one connection.
    pub max_streams: usize,
    /// Replicas are sent cancellations.
    pub sends_cancellations: bool,
    /// How long a connect may take.
    pub connect_timeout: Duration,
    /// How long the response to a probe may take.
    pub probe_timeout: Duration,
    /// An idle connection is closed after this time, which is shorter than the replica's own.
    pub idle_timeout: Duration,
    /// Connections to all replicas together.
    pub max_connections: usize,
}
