//! The leader's grants of retry quota to ingress nodes.

use std::collections::BTreeMap;

use linenthread_messages::{IngressSession, QuotaGrant};
use linenthread_time::{Instant, whole_millis};

use crate::RetryBudget;
use crate::retry_budget::GRANT_LIFETIME;

/// The grants under the leases that this node held.
pub(crate) struct QuotaAllocator {
    budget: RetryBudget,
    /// The whole system started for the first time with this process.
    is_genesis: bool,
    /// The epoch under which this process last held the lease.
    last_epoch: Option<u64>,
    /// By name and incarnation of an ingress node: its quota request that was last granted.
    granted_requests: BTreeMap<(String, u64), u64>,
}

impl QuotaAllocator {
    pub(crate) fn new(budget: RetryBudget, is_genesis: bool) -> QuotaAllocator {
        QuotaAllocator {
            budget,
            is_genesis,
            last_epoch: None,
            granted_requests: BTreeMap::new(),
        }
    }

    /// This node leads from now on. If it led under the epoch just before, nobody led in between: its own grants are
    /// all there are.
    pub(crate) fn on_lease_acquired(&mut self, now: Instant, epoch: u64) {
        if self.last_epoch != Some(epoch - 1) {
            self.budget.begin(now, self.is_genesis && epoch == 1);
        }
        self.last_epoch = Some(epoch);
        self.granted_requests.clear();
    }

    /// Grants for all ingress nodes with a request that was not granted yet.
    pub(crate) fn allocate(
        &mut self,
        now: Instant,
        epoch: u64,
        ingress_nodes: &BTreeMap<String, IngressSession>,
    ) -> Vec<QuotaGrant> {
        let count = ingress_nodes.len();
        let mut grants = Vec::new();
        for (index, session) in ingress_nodes.values().enumerate() {
            let key = (session.name.clone(), session.incarnation);
            if session.quota_request == 0
                || self.granted_requests.get(&key) == Some(&session.quota_request)
            {
                continue;
            }
            let share = self
                .budget
                .grant(now, &session.name, session.incarnation, count);
            self.granted_requests.insert(key, session.quota_request);
            grants.push(QuotaGrant {
                name: session.name.clone(),
                incarnation: session.incarnation,
                quota_request: session.quota_request,
                epoch,
                share,
                lease_ms: saturating_u32(whole_millis(GRANT_LIFETIME)),
                ingress_count: saturating_u32(count),
                ingress_index: saturating_u32(index),
            });
        }
        self.granted_requests.retain(|(name, incarnation), _| {
            ingress_nodes
                .get(name)
                .is_some_and(|session| session.incarnation == *incarnation)
        });
        grants
    }
}

fn saturating_u32(number: impl TryInto<u32>) -> u32 {
    number.try_into().unwrap_or(u32::MAX)
}
