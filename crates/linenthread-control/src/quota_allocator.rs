//! Grants retry quotas to ingress nodes, on the leader.

use std::collections::BTreeMap;
use std::fmt;

use linenthread_consensus::Epoch;
use linenthread_messages::{IngressSession, QuotaGrant};
use linenthread_time::{Instant, whole_millis};

use crate::retry_budget::{EarlierGrants, GRANT_LIFETIME};
use crate::{IngressIncarnation, RetryBudget};

/// Number of a request for a retry quota, within one incarnation of an ingress node. The ingress node increments it
/// with each heartbeat, and the grant repeats it, so that each request is granted once and the ingress node knows from
/// when a grant is valid.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuotaRequestNumber(u64);

impl QuotaRequestNumber {
    /// Less than the number of every request: no request was made yet.
    pub const NONE: QuotaRequestNumber = QuotaRequestNumber(0);

    /// Converts the number in a message.
    pub const fn new(number: u64) -> QuotaRequestNumber {
        QuotaRequestNumber(number)
    }

    /// Returns the number that is sent in messages.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of the next request.
    #[must_use]
    pub const fn next(self) -> QuotaRequestNumber {
        QuotaRequestNumber(self.0 + 1)
    }
}

impl fmt::Display for QuotaRequestNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The grants that this node made under its leases.
pub(crate) struct QuotaAllocator {
    budget: RetryBudget,
    /// Whether the cluster started for the first time with this process.
    is_genesis: bool,
    /// The epoch of the last lease that this process held.
    last_epoch: Option<Epoch>,
    /// The last granted request of each ingress node.
    granted_requests: BTreeMap<IngressIncarnation, QuotaRequestNumber>,
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

    /// Starts granting under a newly acquired lease. If this process also held the lease of the previous epoch, no
    /// other node led in between, and its own grants are the only ones.
    pub(crate) fn on_lease_acquired(&mut self, now: Instant, epoch: Epoch) {
        if self.last_epoch.map(Epoch::next) != Some(epoch) {
            let is_first_leader = self.is_genesis && epoch == Epoch::FIRST;
            let earlier = if is_first_leader {
                EarlierGrants::None
            } else {
                EarlierGrants::MayBeInUse
            };
            self.budget.start_granting(now, earlier);
        }
        self.last_epoch = Some(epoch);
        self.granted_requests.clear();
    }

    /// Returns grants for all ingress nodes whose latest request was not granted yet.
    pub(crate) fn allocate(
        &mut self,
        now: Instant,
        epoch: Epoch,
        ingress_nodes: &BTreeMap<String, IngressSession>,
    ) -> Vec<QuotaGrant> {
        let count = ingress_nodes.len();
        let mut grants = Vec::new();
        for (index, session) in ingress_nodes.values().enumerate() {
            let ingress = IngressIncarnation::from(session);
            let request = QuotaRequestNumber::new(session.quota_request);
            if request == QuotaRequestNumber::NONE
                || self.granted_requests.get(&ingress) == Some(&request)
            {
                continue;
            }
            let share = self.budget.grant(now, &ingress, count);
            self.granted_requests.insert(ingress, request);
            grants.push(QuotaGrant {
                name: session.name.clone(),
                incarnation: session.incarnation,
                quota_request: request.get(),
                epoch: epoch.get(),
                share,
                lease_ms: saturating_u32(whole_millis(GRANT_LIFETIME)),
                ingress_count: saturating_u32(count),
                ingress_index: saturating_u32(index),
            });
        }
        self.granted_requests.retain(|ingress, _| {
            ingress_nodes
                .get(&ingress.name)
                .is_some_and(|session| IngressIncarnation::from(session) == *ingress)
        });
        grants
    }
}

fn saturating_u32(number: impl TryInto<u32>) -> u32 {
    number.try_into().unwrap_or(u32::MAX)
}
