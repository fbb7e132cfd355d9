//! Queries that may be what makes replicas crash, and how the others are sent while replicas crash.

use super::Coordinator;
use crate::state::{Query, Replica};

/// With more crashes remembered than this, replicas count as crashing.
///
/// Unit: crashes. Reason: a single crash may be a machine's; a second one may be the work of a query.
const MANY_CRASHES: f64 = 1.0;

/// What makes a lost connection count against a query.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CrashEvidence {
    /// The replica is down.
    Outage,
    /// A probe found that the replica is gone.
    Proven,
}

impl Coordinator {
    /// Whether a query may be what makes replicas crash: none of its sub-requests has succeeded, and two replicas were
    /// lost under it. While replicas crash anyhow, one lost replica is enough.
    ///
    /// Where no probes are permitted there is no proof, and a lost connection alone ends nothing.
    pub(super) fn may_be_query_of_death(&self, query: &Query, evidence: CrashEvidence) -> bool {
        let counts_as_lost = |replica: &Replica| {
            let is_proven = !replica.suspected_crash;
            replica.outage.is_some() && (evidence == CrashEvidence::Outage || is_proven)
        };
        let tolerated = usize::from(!self.replicas_crash());
        self.config.permissions.health_probes
            && query.has_no_success()
            && query
                .lost_connections
                .iter()
                .filter(|&&replica| counts_as_lost(&self.replicas[replica]))
                .count()
                > tolerated
    }

    /// Whether a query sends one sub-request first, and the others once that one has succeeded or outlasted a slow
    /// response time. So a query that makes replicas crash costs one of them, not one for each shard.
    pub(super) fn sends_one_first(&self, query: &Query) -> bool {
        query.has_no_success() && self.replicas_crash()
    }

    fn replicas_crash(&self) -> bool {
        self.fleet.crashes.sum > MANY_CRASHES
    }
}
