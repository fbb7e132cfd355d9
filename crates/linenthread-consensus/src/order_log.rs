//! The accepted orders of the past, apart from the replicated value.

use std::collections::BTreeMap;

use linenthread_messages::{DocumentDigest, OrderIdentity, OrderLogEntries, OrderLogRequest};

use crate::revision::Revision;

/// Number of the newest orders that are retained at least. One takes about 32 bytes on disk and 50 in memory.
pub const MAX_LOGGED_ORDERS: usize = 65_536;

/// Number of orders that are dropped at once, oldest first, when the log holds that many more than
/// [`MAX_LOGGED_ORDERS`].
const DROPPED_AT_ONCE: usize = 1_024;

/// Number of orders in one [`OrderLogEntries`] at most, which bounds it to about 33 KB.
pub const MAX_ORDERS_PER_MESSAGE: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    base: Revision,
    digest: DocumentDigest,
}

/// What the order log alone tells of a revision that is not above the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoggedOrderStatus {
    /// This very order was accepted.
    Committed,
    /// Another order was accepted under this revision, or none was and none can be.
    NotCommitted,
    /// The entries that would tell are missing or dropped.
    Unknown,
}

/// The accepted orders, by revision.
///
/// Revisions rise from one accepted order to the next, and the base of each is the revision accepted before it. So
/// the log is a chain: an entry proves that nothing between its base and itself was accepted, whatever else is
/// missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OrderLog {
    entries: BTreeMap<Revision, Entry>,
    /// The newest accepted revision that this node knows of.
    newest: Revision,
    /// The newest missing revision: above it the chain is complete. `None` if none is missing.
    missing: Option<Revision>,
}

impl OrderLog {
    /// Adds an order, in any sequence; drops the oldest ones beyond the bound.
    pub fn insert(&mut self, order: &OrderIdentity) {
        self.entries.insert(
            Revision::new(order.revision),
            Entry {
                base: Revision::new(order.base),
                digest: order.digest,
            },
        );
        if self.entries.len() >= MAX_LOGGED_ORDERS + DROPPED_AT_ONCE {
            (0..DROPPED_AT_ONCE).for_each(|_| _ = self.entries.pop_first());
        }
    }

    /// Adds orders, as [`OrderLog::insert`].
    pub(crate) fn extend(&mut self, orders: &[OrderIdentity]) {
        orders.iter().for_each(|order| self.insert(order));
    }

    /// Number of orders in the log.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the log holds no order.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether this very order is known to be accepted.
    pub fn contains(&self, order: &OrderIdentity) -> bool {
        self.check_order(order) == LoggedOrderStatus::Committed
    }

    /// All orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = OrderIdentity> {
        self.entries
            .iter()
            .map(|(revision, entry)| identity(*revision, entry))
    }

    /// Whether no accepted order is missing, but for those that were dropped or that no voter has. A log that holds
    /// as many orders as are retained at least ([`MAX_LOGGED_ORDERS`]) asks for no more, and counts as complete.
    pub fn is_complete(&self) -> bool {
        self.missing.is_none() || self.entries.len() >= MAX_LOGGED_ORDERS
    }

    /// Looks an order up whose revision is not above the newest accepted one.
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
            // The next accepted order builds on one below this revision, which was skipped.
            Some((_, entry)) if entry.base < revision => LoggedOrderStatus::NotCommitted,
            _ => LoggedOrderStatus::Unknown,
        }
    }

    /// Notes the newest accepted revision, and finds the newest one that is missing below it: the upper end of the gap.
    pub(crate) fn track(&mut self, newest: Revision) {
        let known = std::mem::replace(&mut self.newest, newest);
        if let Some(missing) = self.first_missing(newest, known) {
            self.missing = Some(missing);
        }
    }

    /// Follows the chain on from the missing revision, after orders were added that may fill the gap.
    pub(crate) fn refresh_gap(&mut self) {
        self.missing = self
            .missing
            .and_then(|missing| self.first_missing(missing, Revision::NONE));
    }

    /// No voter has the missing orders: the gap is left as it is, and the chain goes on with the next lower entry.
    pub(crate) fn skip_gap(&mut self) {
        self.missing = self.missing.and_then(|missing| self.newest_below(missing));
        self.refresh_gap();
    }

    /// Follows the chain downwards from a revision; none if it is complete down to `until`.
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

    /// The newest order in the log below a revision.
    fn newest_below(&self, revision: Revision) -> Option<Revision> {
        let (below, _) = self.entries.range(..revision).next_back()?;
        Some(*below)
    }

    /// The request for the newest missing orders; none if the log is complete.
    pub(crate) fn request_for_gap(&self) -> Option<OrderLogRequest> {
        let missing = self.missing.filter(|_| !self.is_complete())?;
        let above = self.newest_below(missing).unwrap_or(Revision::NONE);
        Some(OrderLogRequest {
            newest: missing.get(),
            above: above.get(),
        })
    }

    /// The reply to another node's request.
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
