//! The jobs of the register that are in flight, and the owner of each.

use std::collections::BTreeMap;

use linenthread_consensus::{JobId, Outcome};

use crate::{CallId, Response, SessionId};

/// The owner of a job, which receives its outcome.
pub(crate) enum JobOwner {
    /// An operator's call.
    Call(CallId),
    /// A session with an ingress node, for which the job is the read barrier: the configuration is sent on the session
    /// once this read has completed.
    Confirmation(SessionId),
    /// A change of the voters that this node proposed as the preferred leader.
    VoterChange,
    /// A usage report that this node proposed as the leader.
    UsageReport,
}

/// The jobs in flight.
#[derive(Default)]
pub(crate) struct PendingJobs {
    last_id: u64,
    owners: BTreeMap<JobId, JobOwner>,
}

impl PendingJobs {
    /// Adds a job and returns its new id.
    pub(crate) fn add(&mut self, owner: JobOwner) -> JobId {
        self.last_id += 1;
        let job = JobId(self.last_id);
        self.owners.insert(job, owner);
        job
    }

    /// Removes a completed job and returns its owner.
    pub(crate) fn take(&mut self, job: JobId) -> Option<JobOwner> {
        self.owners.remove(&job)
    }

    /// Reports whether an operator's call waits for its job.
    pub(crate) fn has_calls(&self) -> bool {
        self.has(|owner| matches!(owner, JobOwner::Call(_)))
    }

    /// Reports whether a change of the voters, proposed by this node as the preferred leader, is not decided yet.
    pub(crate) fn has_voter_change(&self) -> bool {
        self.has(|owner| matches!(owner, JobOwner::VoterChange))
    }

    /// Reports whether a usage report, proposed by this node as the leader, is not decided yet.
    pub(crate) fn has_usage_report(&self) -> bool {
        self.has(|owner| matches!(owner, JobOwner::UsageReport))
    }

    fn has(&self, predicate: impl Fn(&JobOwner) -> bool) -> bool {
        self.owners.values().any(predicate)
    }
}

/// Converts the outcome of a job to the response to an operator's call.
impl From<Outcome> for Response {
    fn from(outcome: Outcome) -> Response {
        match outcome {
            Outcome::Committed(revision) => Response::Committed(revision),
            Outcome::Conflict(revision) => Response::Conflict(revision),
            Outcome::NewestValue(value) => Response::Document(*value),
            Outcome::Unknown(reason) => Response::Unavailable(reason.into()),
        }
    }
}
