//! A client's request as a query to one or more backends: its sub-requests, the responses received for them, and the
//! response to the client.

use std::rc::Rc;

use linenthread_config::{Destination, ResolvedRoute};
use linenthread_core::interface::{AttemptOutcome, QueryIndex, SubRequestIndex, TenthMillis};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use crate::counter::CounterGuard;
use crate::outcome::{SendState, may_retry};
use crate::pool::{CompletedAttempt, ReplicaRequest, ReplicaResponse};
use crate::response::{Response, SubRequestResponses};
use crate::usage_rule::{UsageRule, requests_to_count};

/// The number of a query within its dispatcher, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SequenceNumber(pub(super) u64);

impl SequenceNumber {
    pub(super) fn next(self) -> SequenceNumber {
        SequenceNumber(self.0 + 1)
    }
}

/// Identifies a query by its index, which is reused after its end, and its sequence number, which is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueryId {
    pub(super) index: QueryIndex,
    pub(super) sequence_number: SequenceNumber,
}

/// Identifies an attempt by its query, its sub-request, and its number within the sub-request.
#[derive(Clone, Copy)]
pub(super) struct AttemptKey {
    pub(super) query: QueryId,
    pub(super) sub_request: SubRequestIndex,
    pub(super) attempt: usize,
}

/// The part of a query that is sent to one backend, with its attempts.
#[derive(Default)]
struct SubRequest {
    response: Option<ReplicaResponse>,
    attempts: usize,
    /// The number of attempts that may have run: those in flight, and those that ended without proof that they did not
    /// run.
    may_have_run: usize,
}

impl SubRequest {
    /// Returns the furthest state that any of the attempts reached.
    fn furthest_send_state(&self) -> SendState {
        match (self.may_have_run, self.attempts) {
            (0, 0) => SendState::NotSent,
            (0, _) => SendState::Rejected,
            _ => SendState::MayHaveRun,
        }
    }
}

/// A query that has not ended.
pub(super) struct OpenQuery {
    pub(super) sequence_number: SequenceNumber,
    pub(super) request: Rc<ReplicaRequest>,
    pub(super) resolved: Rc<ResolvedRoute>,
    /// `None` once the response was sent.
    client: Option<oneshot::Sender<Response>>,
    sub_requests: SmallVec<[SubRequest; 4]>,
    /// An error response of a replica, which is forwarded if there is no success.
    failure: Option<ReplicaResponse>,
    /// The number of attempts that have ended and may have run.
    ended_may_have_run: usize,
    _open: CounterGuard,
}

impl OpenQuery {
    pub(super) fn new(
        sequence_number: SequenceNumber,
        request: Rc<ReplicaRequest>,
        resolved: Rc<ResolvedRoute>,
        sub_request_count: usize,
        client: oneshot::Sender<Response>,
        open: CounterGuard,
    ) -> OpenQuery {
        OpenQuery {
            sequence_number,
            request,
            resolved,
            client: Some(client),
            sub_requests: (0..sub_request_count)
                .map(|_| SubRequest::default())
                .collect(),
            failure: None,
            ended_may_have_run: 0,
            _open: open,
        }
    }

    /// Registers a new attempt of a sub-request, and determines whether it may be sent.
    pub(super) fn register_attempt(&mut self, sub_request: SubRequestIndex) -> RegisteredAttempt {
        let sub_request = &mut self.sub_requests[sub_request.0];
        let safety = if may_retry(self.resolved.route.mode, sub_request.furthest_send_state()) {
            sub_request.may_have_run += 1;
            SendSafety::Safe
        } else {
            SendSafety::MayRunTwice
        };
        let number = sub_request.attempts;
        sub_request.attempts += 1;
        RegisteredAttempt { number, safety }
    }

    /// Records the end of an attempt. Returns how many started requests to count for it in usage reports.
    pub(super) fn end_attempt(
        &mut self,
        sub_request: SubRequestIndex,
        completed: CompletedAttempt,
    ) -> u64 {
        let sub_request = &mut self.sub_requests[sub_request.0];
        let send_state = completed.outcome.send_state;
        let started_requests =
            requests_to_count(UsageRule::CURRENT, send_state, self.ended_may_have_run);
        if send_state == SendState::MayHaveRun {
            self.ended_may_have_run += 1;
        } else {
            sub_request.may_have_run -= 1;
        }
        match completed.response {
            Some(response) if completed.outcome.attempt_outcome == AttemptOutcome::Success => {
                sub_request.response.get_or_insert(response);
            }
            Some(response) => self.failure = Some(response),
            None => {}
        }
        started_requests
    }

    /// Responds with the responses received: the one replica's response, or the merged records of all sub-requests.
    pub(super) fn complete(&mut self) {
        if self.client.is_none() {
            return;
        }
        let response = match self.resolved.destination {
            Destination::Weighted(_) => self
                .sub_requests
                .first_mut()
                .and_then(|sub_request| sub_request.response.take())
                .map(Response::forwarded),
            Destination::FanOut(_) => self.merged(),
        };
        match response {
            Some(response) => self.respond(response),
            None => self.abandon(None),
        }
    }

    /// Abandons the query: forwards a replica's error response if there is one, else responds with an error status.
    pub(super) fn abandon(&mut self, retry_after: Option<TenthMillis>) {
        if self.client.is_none() {
            return;
        }
        let response = if let Some(failure) = self.failure.take() {
            Response::forwarded(failure)
        } else {
            let furthest = self
                .sub_requests
                .iter()
                .map(SubRequest::furthest_send_state)
                .max();
            Response::abandoned(furthest.unwrap_or(SendState::NotSent), retry_after)
        };
        self.respond(response);
    }

    fn merged(&self) -> Option<Response> {
        let responses: SubRequestResponses = self
            .sub_requests
            .iter()
            .filter_map(|sub_request| sub_request.response.as_ref())
            .collect();
        (!responses.is_empty()).then(|| {
            Response::merged(
                &self.request.request_id,
                &responses,
                self.sub_requests.len(),
                self.resolved.route.result_limit,
            )
        })
    }

    /// Sends the response, unless one was sent before or the client has disconnected.
    fn respond(&mut self, response: Response) {
        if let Some(client) = self.client.take() {
            let _ = client.send(response);
        }
    }
}

/// An attempt that is registered but not yet sent.
pub(super) struct RegisteredAttempt {
    /// Its number within the sub-request, from 0.
    pub(super) number: usize,
    pub(super) safety: SendSafety,
}

/// Whether an attempt may be sent, judging by the earlier attempts of its sub-request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendSafety {
    /// No earlier attempt can have run, or the route allows a second run.
    Safe,
    /// An earlier attempt may have run and the route does not allow a second run, so this one must not be sent.
    MayRunTwice,
}
