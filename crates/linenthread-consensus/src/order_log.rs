use std::collections::BTreeMap;

use linenthread_messages::{DocumentDigest, OrderIdentity, OrderLogEntries, OrderLogRequest};

/// So many orders are kept at least; a record of one takes about 32 bytes on disk, an entry about 50 in memory.
pub const MAX_LOGGED_ORDERS: usize = 65_536;
/// The oldest are forgotten so many at once, when there are so many too many.
const FORGOTTEN_AT_ONCE: usize = 1_024;
/// So many go into one [`OrderLogEntries`].
pub const MAX_ORDERS_PER_MESSAGE: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    base: u64,
    digest: DocumentDigest,
}

/// What the ledger alone can say about a revision that is not above the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderLogVerdict {
    /// This very order was taken.
    Committed,
    /// Another order was taken under this revision, or none was and none can be.
    NotCommitted,
    /// What would tell is missing or forgotten.
    Unknown,
}

/// The orders that were taken, by revision.
///
/// Revisions rise from one taken order to the next, and the base of each is the revision taken before it: so the
/// ledger is a chain, and two neighbours prove that nothing between them was taken, whatever else is missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OrderLog {
    entries: BTreeMap<u64, Entry>,
    /// The newest revision that was taken, as far as this node knows.
    newest: u64,
    /// The chain from the newest downwards is whole above this revision, which is missing; 0 if nothing is.
    missing: u64,
}

impl OrderLog {
    /// Adds an order, wherever its place is; forgets the oldest ones above the bound.
    pub fn insert(&mut self, order: &OrderIdentity) {
        self.entries.insert(
            order.revision,
            Entry {
                base: order.base,
                digest: order.digest,
            },
        );
        if self.entries.len() >= MAX_LOGGED_ORDERS + FORGOTTEN_AT_ONCE {
            (0..FORGOTTEN_AT_ONCE).for_each(|_| _ = self.entries.pop_first());
        }
    }

    /// How many orders are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no order is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether this very order is known to have been taken.
    pub fn contains(&self, order: &OrderIdentity) -> bool {
        self.judge(order) == OrderLogVerdict::Committed
    }

    /// All orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = OrderIdentity> {
        self.entries.iter().map(|(revision, entry)| OrderIdentity {
            revision: *revision,
            base: entry.base,
            digest: entry.digest,
        })
    }

    /// Nothing that was ever taken is missing, but for what was forgotten by the bound or is known to nobody.
    pub fn is_complete(&self) -> bool {
        self.missing == 0 || self.entries.len() >= MAX_LOGGED_ORDERS
    }

    /// Judges an order whose revision is not above the newest one that was taken.
    pub(crate) fn judge(&self, order: &OrderIdentity) -> OrderLogVerdict {
        match self.entries.range(order.revision..).next() {
            Some((revision, entry)) if *revision == order.revision => {
                if (entry.base, entry.digest) == (order.base, order.digest) {
                    OrderLogVerdict::Committed
                } else {
                    OrderLogVerdict::NotCommitted
                }
            }
            // The next one was taken on top of one below this: this was passed over.
            Some((_, entry)) if entry.base < order.revision => OrderLogVerdict::NotCommitted,
            _ => OrderLogVerdict::Unknown,
        }
    }

    /// The newest revision that was taken is known to be this one: finds what is missing below it.
    pub(crate) fn link(&mut self, newest: u64) {
        let known = std::mem::replace(&mut self.newest, newest);
        if let Some(missing) = self.first_missing(newest, known) {
            self.missing = missing;
        }
    }

    /// Goes on from where something was missing, after orders were added.
    pub(crate) fn relink(&mut self) {
        self.missing = self.first_missing(self.missing, 0).unwrap_or(0);
    }

    /// Nobody has what is missing: what is known below it is all there is.
    pub(crate) fn give_up_missing(&mut self) {
        let next = self.entries.range(..self.missing).next_back();
        self.missing = next.map_or(0, |(revision, _)| *revision);
        self.relink();
    }

    /// Goes down the chain from a revision; none if it gets to `until`.
    fn first_missing(&self, from: u64, until: u64) -> Option<u64> {
        let mut revision = from;
        while revision > until {
            match self.entries.get(&revision) {
                Some(entry) => revision = entry.base,
                None => return Some(revision),
            }
        }
        None
    }

    /// What to ask others for, if anything.
    pub(crate) fn request(&self) -> Option<OrderLogRequest> {
        if self.is_complete() {
            return None;
        }
        let above = self
            .entries
            .range(..self.missing)
            .next_back()
            .map_or(0, |(revision, _)| *revision);
        Some(OrderLogRequest {
            newest: self.missing,
            above,
        })
    }

    /// The answer to what another asks for.
    pub(crate) fn answer(&self, request: &OrderLogRequest) -> OrderLogEntries {
        let mut orders = Vec::new();
        let mut revision = request.newest;
        while revision > request.above && orders.len() < MAX_ORDERS_PER_MESSAGE {
            let Some(entry) = self.entries.get(&revision) else {
                break;
            };
            orders.push(OrderIdentity {
                revision,
                base: entry.base,
                digest: entry.digest,
            });
            revision = entry.base;
        }
        OrderLogEntries {
            newest: request.newest,
            orders,
        }
    }
}
