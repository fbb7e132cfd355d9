//! Jobs of the register, and whom each outcome is for.

use std::collections::BTreeMap;

use linenthread_consensus::{JobId, Outcome};

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
    last: u64,
    waiting: BTreeMap<JobId, Purpose>,
}

impl Requests {
    pub(crate) fn add(&mut self, purpose: Purpose) -> JobId {
        self.last += 1;
        let job = JobId(self.last);
        self.waiting.insert(job, purpose);
        job
    }

    pub(crate) fn take(&mut self, job: JobId) -> Option<Purpose> {
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
