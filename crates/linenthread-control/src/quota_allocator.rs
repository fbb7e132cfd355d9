//! The leader's grants of retry quota to ingress nodes.

use std::collections::BTreeMap;
use std::fmt;

use linenthread_consensus::Epoch;
use linenthread_messages::{IngressSession, QuotaGrant};
use linenthread_time::{Instant, whole_millis};

use crate::retry_budget::{EarlierGrants, GRANT_LIFETIME};
use crate::{IngressIncarnation, RetryBudget};

/// Numbers the requests of one incarnation of an ingress node for a retry quota: the ingress node raises it with each
/// heartbeat, and the grant repeats it. So each request is granted once, and the ingress node knows from when a grant
/// counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuotaRequestNumber(u64);

impl QuotaRequestNumber {
    /// Below every request: none was made yet.
    pub const NONE: QuotaRequestNumber = QuotaRequestNumber(0);

    /// The number that a message carries.
    pub const fn new(number: u64) -> QuotaRequestNumber {
        QuotaRequestNumber(number)
    }

    /// The number that messages carry.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The number of the next request.
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

/// The grants under the leases that this node held.
pub(crate) struct QuotaAllocator {
    budget: RetryBudget,
    /// The whole system started for the first time with this process.
    is_genesis: bool,
    /// The epoch under which this process last held the lease.
    last_epoch: Option<Epoch>,
    /// The request of each ingress node that was last granted.
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

    /// This node leads from now on. If it led under the epoch just before, nobody led in between: its own grants are
    /// all there are.
    pub(crate) fn on_lease_acquired(&mut self, now: Instant, epoch: Epoch) {
        if self.last_epoch.map(Epoch::next) != Some(epoch) {
            let is_first_leader = self.is_genesis && epoch == Epoch::FIRST;
            let earlier = if is_first_leader {
                EarlierGrants::None
            } else {
                EarlierGrants::MayBeInUse
            };
            self.budget.begin(now, earlier);
        }
        self.last_epoch = Some(epoch);
        self.granted_requests.clear();
    }

    /// Grants for all ingress nodes with a request that was not granted yet.
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
