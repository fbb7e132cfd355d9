//! Types that all transports share: attempts at sub-requests, probes and their outcomes.

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
    /// Identifies the attempt.
    pub key: AttemptKey,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The queue depth that the replica reported, if it did.
    pub queue_depth: Option<f64>,
    /// The value in the response; empty unless the attempt succeeded.
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

/// Reports the outcome of one attempt to the task of its query.
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

    /// Reports the contents of a response.
    pub(crate) fn report(self, outcome: AttemptOutcome, queue_depth: Option<f64>, value: String) {
        let finished = FinishedAttempt {
            key: self.key,
            outcome,
            queue_depth,
            value,
        };
        // Sending fails once the query has ended and needs no more outcomes.
        self.outcomes.send(finished).ok();
    }

    /// Reports the outcome of an attempt that ended without a response.
    pub(crate) fn report_without_response(self, outcome: AttemptOutcome) {
        let finished = FinishedAttempt::without_value(self.key, outcome);
        self.outcomes.send(finished).ok();
    }
}

/// The outcome of one probe of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeReport {
    pub outcome: AttemptOutcome,
    /// The queue depth that the replica reported, if it did.
    pub queue_depth: Option<f64>,
}

impl ProbeReport {
    pub(crate) fn without_queue_depth(outcome: AttemptOutcome) -> ProbeReport {
        ProbeReport {
            outcome,
            queue_depth: None,
        }
    }
}

/// Reports all sub-requests as not sent. Returns `None` for each of them, as none is in flight.
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
    /// Identifies the attempt.
    pub key: AttemptKey,
    /// The shard to be searched.
    pub shard: usize,
    /// Number of earlier continuations of this sub-request.
    pub continuation: u32,
    /// The text of the request.
    pub text: Rc<str>,
    /// The value of its query, in thousandths. A link that is short of credit sends the calls of highest value first.
    pub priority: u32,
}

/// Settings for connections to replicas.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionConfig {
    /// Maximum number of attempts and probes in flight on one connection. A frame with more attempts is sent on a
    /// connection with nothing in flight.
    pub max_streams: usize,
    /// Whether cancellations are sent to replicas.
    pub sends_cancellations: bool,
    /// How long a connect may take, and how long a frame may take to arrive completely.
    pub connect_timeout: Duration,
    /// How long the response to a probe may take.
    pub probe_timeout: Duration,
    /// An idle connection is closed after this time, which is shorter than the replica's own.
    pub idle_timeout: Duration,
    /// Maximum number of connections to all replicas together.
    pub max_connections: usize,
}
