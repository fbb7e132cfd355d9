//! History of accepted orders, stored outside of the replicated value.

use std::collections::BTreeMap;

use linenthread_messages::{DocumentDigest, OrderIdentity, OrderLogEntries, OrderLogRequest};

use crate::revision::Revision;

/// Minimum number of the newest orders that the log retains. Each takes about 32 bytes on disk and 50 in memory.
pub const MAX_LOGGED_ORDERS: usize = 65_536;

/// Number of orders that are evicted together, oldest first, when the log contains that many more than
/// [`MAX_LOGGED_ORDERS`].
const EVICTION_BATCH: usize = 1_024;

/// Maximum number of orders in one [`OrderLogEntries`], which limits it to about 33 KB.
pub const MAX_ORDERS_PER_MESSAGE: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    base: Revision,
    digest: DocumentDigest,
}

/// Status of an order according to the order log alone, if its revision is not above the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoggedOrderStatus {
    /// This very order was accepted.
    Committed,
    /// Another order was accepted under this revision, or none was and none ever will be.
    NotCommitted,
    /// The entries needed to determine the status are missing or evicted.
    Unknown,
}

/// The accepted orders, by revision.
///
/// Revisions increase from one accepted order to the next, and the base of each is the previously accepted revision.
/// The log is therefore a chain: an entry proves that no order between its base and itself was accepted, even if
/// other entries are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OrderLog {
    entries: BTreeMap<Revision, Entry>,
    /// The newest accepted revision known to this node.
    newest: Revision,
    /// The newest missing revision; the chain is complete above it. `None` if none is missing.
    missing: Option<Revision>,
}

impl OrderLog {
    /// Adds an order; orders may be added in any sequence. Evicts the oldest ones if the log exceeds its maximum
    /// size.
    pub fn insert(&mut self, order: &OrderIdentity) {
        self.entries.insert(
            Revision::new(order.revision),
            Entry {
                base: Revision::new(order.base),
                digest: order.digest,
            },
        );
        if self.entries.len() >= MAX_LOGGED_ORDERS + EVICTION_BATCH {
            (0..EVICTION_BATCH).for_each(|_| _ = self.entries.pop_first());
        }
    }

    /// Adds several orders by [`OrderLog::insert`].
    pub(crate) fn extend(&mut self, orders: &[OrderIdentity]) {
        orders.iter().for_each(|order| self.insert(order));
    }

    /// Returns the number of orders in the log.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether the log contains no orders.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Reports whether this very order is known to be accepted.
    pub fn contains(&self, order: &OrderIdentity) -> bool {
        self.check_order(order) == LoggedOrderStatus::Committed
    }

    /// Iterates over all orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = OrderIdentity> {
        self.entries
            .iter()
            .map(|(revision, entry)| identity(*revision, entry))
    }

    /// Reports whether no accepted order is missing, apart from those that were evicted or that no voter has. A log
    /// with at least [`MAX_LOGGED_ORDERS`] orders counts as complete and needs no more.
    pub fn is_complete(&self) -> bool {
        self.missing.is_none() || self.entries.len() >= MAX_LOGGED_ORDERS
    }

    /// Returns the status of an order whose revision is not above the newest accepted one.
    pub(crate) fn check_order(&self, order: &OrderIdentity) -> LoggedOrderStatus {
        let revision = Revision::new(order.revision);
        match self.entries.range(revision..).next() {
            Some((found, entry)) if *found == revision => {
                if (entry.base.get(), entry.digest) == (order.base, order.digest) {
                    LoggedOrderStatus::Committed
                } else {
                    LoggedOrderStatus::NotCommitted
                }
            }
            // The base of the next accepted order is below this revision, so no order was accepted under it.
            Some((_, entry)) if entry.base < revision => LoggedOrderStatus::NotCommitted,
            _ => LoggedOrderStatus::Unknown,
        }
    }

    /// Sets the newest accepted revision, and finds the newest missing one, which is the upper end of a gap.
    pub(crate) fn set_newest(&mut self, newest: Revision) {
        let previous = std::mem::replace(&mut self.newest, newest);
        if let Some(missing) = self.first_missing(newest, previous) {
            self.missing = Some(missing);
        }
    }

    /// Updates the gap after orders were added that may fill it: follows the chain down from the missing revision.
    pub(crate) fn refresh_gap(&mut self) {
        self.missing = self
            .missing
            .and_then(|missing| self.first_missing(missing, Revision::NONE));
    }

    /// Skips a gap whose orders no voter has, and continues the chain with the next lower entry.
    pub(crate) fn skip_gap(&mut self) {
        self.missing = self.missing.and_then(|missing| self.newest_below(missing));
        self.refresh_gap();
    }

    /// Follows the chain downwards from a revision. Returns the first missing revision, or `None` if the chain is
    /// complete down to `until`.
    fn first_missing(&self, from: Revision, until: Revision) -> Option<Revision> {
        let mut revision = from;
        while revision > until {
            match self.entries.get(&revision) {
                Some(entry) => revision = entry.base,
                None => return Some(revision),
            }
        }
        None
    }

    /// Returns the newest logged revision below the given one.
    fn newest_below(&self, revision: Revision) -> Option<Revision> {
        let (below, _) = self.entries.range(..revision).next_back()?;
        Some(*below)
    }

    /// Returns the request for the newest missing orders, or `None` if the log is complete.
    pub(crate) fn request_for_gap(&self) -> Option<OrderLogRequest> {
        let missing = self.missing.filter(|_| !self.is_complete())?;
        let above = self.newest_below(missing).unwrap_or(Revision::NONE);
        Some(OrderLogRequest {
            newest: missing.get(),
            above: above.get(),
        })
    }

    /// Returns the reply to another node's request.
    pub(crate) fn entries_for(&self, request: &OrderLogRequest) -> OrderLogEntries {
        let mut orders = Vec::new();
        let above = Revision::new(request.above);
        let mut revision = Revision::new(request.newest);
        while revision > above && orders.len() < MAX_ORDERS_PER_MESSAGE {
            let Some(entry) = self.entries.get(&revision) else {
                break;
            };
            orders.push(identity(revision, entry));
            revision = entry.base;
        }
        OrderLogEntries {
            newest: request.newest,
            orders,
        }
    }
}

fn identity(revision: Revision, entry: &Entry) -> OrderIdentity {
    OrderIdentity {
        revision: revision.get(),
        base: entry.base.get(),
        digest: entry.digest,
    }
}
