//! Detects queries that may be crashing replicas, and limits what other queries send while replicas crash.

use super::Coordinator;
use crate::state::{Query, Replica};

/// The decayed number of crashes above which replicas are considered to be crashing.
///
/// Unit: crashes. Reason: a single crash may be caused by the machine; a second one may be caused by a query.
const CRASHING_THRESHOLD: f64 = 1.0;

/// The evidence required for a lost connection to count against a query.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CrashEvidence {
    /// The replica is down.
    Outage,
    /// A probe found that the process is gone.
    Proven,
}

impl Coordinator {
    /// Reports whether a query may be crashing replicas: none of its sub-requests has succeeded, and two replicas were
    /// lost while they ran it; one is enough while replicas are crashing in general.
    ///
    /// Without probes nothing proves a crash, so lost connections alone never count against a query.
    pub(super) fn may_be_query_of_death(&self, query: &Query, evidence: CrashEvidence) -> bool {
        let counts_as_lost = |replica: &Replica| {
            let is_proven = !replica.suspected_crash;
            replica.outage.is_some() && (evidence == CrashEvidence::Outage || is_proven)
        };
        let tolerated = usize::from(!self.replicas_are_crashing());
        self.config.permissions.health_probes
            && query.has_no_success()
            && query
                .lost_connections
                .iter()
                .filter(|&&replica| counts_as_lost(&self.replicas[replica]))
                .count()
                > tolerated
    }

    /// Reports whether a query sends a single sub-request first, as a canary, and the others once it has succeeded or
    /// exceeded a slow response time. A query that crashes replicas then costs one replica rather than one per shard.
    pub(super) fn sends_canary_first(&self, query: &Query) -> bool {
        query.has_no_success() && self.replicas_are_crashing()
    }

    fn replicas_are_crashing(&self) -> bool {
        self.fleet.crashes.sum > CRASHING_THRESHOLD
    }
}
