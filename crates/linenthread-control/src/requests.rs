//! Jobs of the register, and whom each outcome is for.

use std::collections::BTreeMap;

use linenthread_consensus::{Job, Outcome};

use crate::{CallId, Response, SessionId};

/// Whom the outcome of a job is for.
pub(crate) enum Purpose {
    Call(CallId),
    /// A front's session is told the configuration once it was read.
    Confirmation(SessionId),
    /// A change of the voters.
    Voters,
}

/// The jobs on hand.
#[derive(Default)]
pub(crate) struct Requests {
    last: Job,
    waiting: BTreeMap<Job, Purpose>,
}

impl Requests {
    pub(crate) fn add(&mut self, purpose: Purpose) -> Job {
        self.last += 1;
        self.waiting.insert(self.last, purpose);
        self.last
    }

    pub(crate) fn take(&mut self, job: Job) -> Option<Purpose> {
        self.waiting.remove(&job)
    }

    pub(crate) fn has_calls(&self) -> bool {
        self.waiting
            .values()
            .any(|purpose| matches!(purpose, Purpose::Call(_)))
    }
}

/// The answer to an operator's call.
pub(crate) fn answer(outcome: Outcome) -> Response {
    match outcome {
        Outcome::Committed(revision) => Response::Committed(revision),
        Outcome::Conflict(revision) => Response::Conflict(revision),
        Outcome::Newest(value) => Response::Document(value),
        Outcome::Unknown => Response::Unavailable("no word of more than half of the voters"),
    }
}
