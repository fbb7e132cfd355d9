//! What the holder of the leader lease allots to the fronts of the further tries.

use std::collections::BTreeMap;

use linenthread_messages::{IngressSession, QuotaGrant};

use crate::RetryBudget;
use crate::retry_budget::LEASE;

/// The allotments under the leases that this node held.
pub(crate) struct QuotaAllocator {
    budget: RetryBudget,
    first_of_all: bool,
    /// The epoch under which this life last held the lease.
    last_epoch: Option<u64>,
    /// By name and life of a front: its heartbeat that was last answered.
    answered: BTreeMap<(String, u64), u64>,
}

impl QuotaAllocator {
    pub(crate) fn new(budget: RetryBudget, first_of_all: bool) -> QuotaAllocator {
        QuotaAllocator {
            budget,
            first_of_all,
            last_epoch: None,
            answered: BTreeMap::new(),
        }
    }

    /// The lease is this node's from now on. Under the very next epoch nobody can have held it in between:
    /// what this node allotted is all there is.
    pub(crate) fn on_lease(&mut self, now: u64, epoch: u64) {
        if self.last_epoch != Some(epoch - 1) {
            self.budget.begin(now, self.first_of_all && epoch == 1);
        }
        self.last_epoch = Some(epoch);
        self.answered.clear();
    }

    /// For all fronts that have asked since they were last answered.
    pub(crate) fn allot(
        &mut self,
        now: u64,
        epoch: u64,
        fronts: &BTreeMap<String, IngressSession>,
    ) -> Vec<QuotaGrant> {
        let many = fronts.len();
        let mut quota_grants = Vec::new();
        for (own, session) in fronts.values().enumerate() {
            let key = (session.name.clone(), session.incarnation);
            if session.quota_request == 0 || self.answered.get(&key) == Some(&session.quota_request)
            {
                continue;
            }
            let share = self
                .budget
                .grant(now, &session.name, session.incarnation, many);
            self.answered.insert(key, session.quota_request);
            quota_grants.push(QuotaGrant {
                name: session.name.clone(),
                incarnation: session.incarnation,
                quota_request: session.quota_request,
                epoch,
                share,
                lease_ms: LEASE as u32,
                ingress_count: many as u32,
                ingress_index: own as u32,
            });
        }
        self.answered
            .retain(|(name, life), _| fronts.get(name).is_some_and(|s| s.incarnation == *life));
        quota_grants
    }
}
