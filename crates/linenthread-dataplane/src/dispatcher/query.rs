//! A client's request as a query to one backend or several: its parts, what has arrived for them, and the response
//! that follows from it.

use std::rc::Rc;

use linenthread_config::{Destination, ResolvedRoute};
use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use crate::counter::CounterGuard;
use crate::outcome::{SendState, may_retry};
use crate::pool::{ReplicaRequest, ReplicaResponse, SubRequestOutcome};
use crate::response::{PartResponses, Response};

/// Which query: its slot, which is used again after its end, and its sequence number, which is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueryId {
    pub(super) slot: usize,
    pub(super) sequence: u64,
}

/// Which sub-request: its query, its part, and its number among those of the part.
#[derive(Clone, Copy)]
pub(super) struct SubRequestId {
    pub(super) query: QueryId,
    pub(super) part: usize,
    pub(super) attempt: usize,
}

/// What goes to one backend, and its sub-requests.
#[derive(Default)]
struct Part {
    response: Option<ReplicaResponse>,
    attempts: usize,
    /// Sub-requests that are not known not to have run; those in flight count.
    may_have_run: usize,
}

impl Part {
    /// The furthest that any of its sub-requests got.
    fn sent(&self) -> SendState {
        match (self.may_have_run, self.attempts) {
            (0, 0) => SendState::NotSent,
            (0, _) => SendState::Rejected,
            _ => SendState::MayHaveRun,
        }
    }
}

/// A query that has not completed.
pub(super) struct OpenQuery {
    pub(super) sequence: u64,
    pub(super) request: Rc<ReplicaRequest>,
    pub(super) resolved: Rc<ResolvedRoute>,
    /// None once the client has its response.
    client: Option<oneshot::Sender<Response>>,
    parts: SmallVec<[Part; 4]>,
    /// A replica's own failure, which is forwarded where nothing better arrives.
    failure: Option<ReplicaResponse>,
    _open: CounterGuard,
}

impl OpenQuery {
    pub(super) fn new(
        sequence: u64,
        request: Rc<ReplicaRequest>,
        resolved: Rc<ResolvedRoute>,
        part_count: usize,
        client: oneshot::Sender<Response>,
        open: CounterGuard,
    ) -> OpenQuery {
        OpenQuery {
            sequence,
            request,
            resolved,
            client: Some(client),
            parts: (0..part_count).map(|_| Part::default()).collect(),
            failure: None,
            _open: open,
        }
    }

    /// Counts one more sub-request of a part: its number, and whether it may be sent at all. It may not where an
    /// earlier one may have run and the route does not allow it to run twice.
    pub(super) fn begin_attempt(&mut self, part: usize) -> (usize, Permission) {
        let part = &mut self.parts[part];
        let permission = if may_retry(self.resolved.route.mode, part.sent()) {
            part.may_have_run += 1;
            Permission::Granted
        } else {
            Permission::Denied
        };
        let attempt = part.attempts;
        part.attempts += 1;
        (attempt, permission)
    }

    /// Takes in how a sub-request completed.
    pub(super) fn end_attempt(&mut self, part: usize, completed: SubRequestOutcome) {
        let part = &mut self.parts[part];
        if completed.outcome.sent != SendState::MayHaveRun {
            part.may_have_run -= 1;
        }
        match completed.response {
            Some(response) if completed.outcome.attempt_outcome == AttemptOutcome::Success => {
                part.response.get_or_insert(response);
            }
            Some(response) => self.failure = Some(response),
            None => {}
        }
    }

    /// Answers from the responses that have arrived: the replica's own, or the merged records of all parts.
    pub(super) fn complete(&mut self) {
        if self.client.is_none() {
            return;
        }
        let response = match self.resolved.destination {
            Destination::Weighted(_) => self
                .parts
                .first_mut()
                .and_then(|part| part.response.take())
                .map(Response::forwarded),
            Destination::FanOut(_) => self.merged(),
        };
        match response {
            Some(response) => self.respond(response),
            None => self.abandon(None),
        }
    }

    /// Answers that nothing could be had: with a replica's own failure, if there was one.
    pub(super) fn abandon(&mut self, retry_after: Option<TenthMillis>) {
        if self.client.is_none() {
            return;
        }
        let response = match self.failure.take() {
            Some(failure) => Response::forwarded(failure),
            None => {
                let may_have_run = self.parts.iter().any(|part| part.may_have_run > 0);
                Response::abandoned(may_have_run, retry_after)
            }
        };
        self.respond(response);
    }

    fn merged(&self) -> Option<Response> {
        let responses: PartResponses = self
            .parts
            .iter()
            .filter_map(|part| part.response.as_ref())
            .collect();
        (!responses.is_empty()).then(|| {
            Response::merged(
                &self.request.attempt_id,
                &responses,
                self.parts.len(),
                self.resolved.route.result_limit,
            )
        })
    }

    /// The first response is the client's; a client that has left gets none.
    fn respond(&mut self, response: Response) {
        if let Some(client) = self.client.take() {
            let _ = client.send(response);
        }
    }
}

/// Whether a sub-request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permission {
    Granted,
    Denied,
}
