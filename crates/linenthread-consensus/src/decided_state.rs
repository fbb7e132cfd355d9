use std::collections::BTreeSet;

use linenthread_messages::{OrderIdentity, Value, Voter};

use crate::order_log::{OrderLog, OrderLogVerdict};

/// So many of the last orders are in each value; a node that misses no more values than these hold finds the others
/// in its own ledger.
pub const RECENT_ORDERS: usize = 16;

/// What a decided state says about an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It builds on the newest revision: it may be proposed.
    Proposable,
    /// It was taken.
    Committed,
    /// It was not taken and never will be.
    Conflict,
    /// This node cannot tell: the part of the ledger that would tell is missing or forgotten, or the order builds
    /// on a revision that is not decided yet.
    Unknown,
}

/// The newest decided value and the ledger of the orders that were taken up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DecidedState {
    value: Option<Value>,
    order_log: OrderLog,
}

impl DecidedState {
    /// From what a disk holds.
    pub(crate) fn new(value: Option<Value>, order_log: OrderLog) -> DecidedState {
        let mut state = DecidedState {
            value: None,
            order_log,
        };
        if let Some(value) = value {
            state.adopt(value);
        }
        state
    }

    /// The newest value that this node knows to be decided.
    pub fn value(&self) -> Option<&Value> {
        self.value.as_ref()
    }

    /// The orders that were taken, as far as this node knows them.
    pub fn order_log(&self) -> &OrderLog {
        &self.order_log
    }

    pub(crate) fn ledger_mut(&mut self) -> &mut OrderLog {
        &mut self.order_log
    }

    /// Number of the newest value; 0 if none is known.
    pub(crate) fn number(&self) -> u64 {
        self.value.as_ref().map_or(0, |value| value.number)
    }

    /// The number to be decided next.
    pub(crate) fn next(&self) -> u64 {
        self.value.as_ref().map_or(0, |value| value.number + 1)
    }

    /// Those whose disks decide the next value.
    pub(crate) fn voters(&self) -> &[Voter] {
        self.value.as_ref().map_or(&[], |value| &value.voters)
    }

    /// Whether a disk counts.
    pub(crate) fn counts(&self, id: u64) -> bool {
        self.voters().iter().any(|voter| voter.id == id)
    }

    /// Whether these are more than half of the counted disks.
    pub(crate) fn is_majority(&self, ids: impl IntoIterator<Item = u64>) -> bool {
        let known: BTreeSet<u64> = ids.into_iter().filter(|id| self.counts(*id)).collect();
        known.len() * 2 > self.voters().len()
    }

    /// Takes a value that is newer; its last orders join the ledger.
    pub(crate) fn adopt(&mut self, value: Value) {
        value
            .recent_orders
            .iter()
            .for_each(|order| self.order_log.insert(order));
        self.order_log.link(value.revision);
        self.value = Some(value);
    }

    /// Judges an order by what is decided. Only where nothing can be half done at the next number is it an answer.
    pub fn judge(&self, order: &OrderIdentity) -> Verdict {
        let newest = self.value.as_ref().map_or(0, |value| value.revision);
        if order.revision <= newest {
            return match self.order_log.judge(order) {
                OrderLogVerdict::Committed => Verdict::Committed,
                OrderLogVerdict::NotCommitted => Verdict::Conflict,
                OrderLogVerdict::Unknown => Verdict::Unknown,
            };
        }
        if order.base == newest {
            Verdict::Proposable
        } else if newest < order.base && order.base < order.revision {
            // Its base may be decided yet, and then the order be taken.
            Verdict::Unknown
        } else {
            Verdict::Conflict
        }
    }

    /// The value that an order makes of the newest one.
    pub(crate) fn with_order(
        &self,
        order: &OrderIdentity,
        document: &prost::bytes::Bytes,
    ) -> Option<Value> {
        let value = self.value.as_ref()?;
        let earlier = value.recent_orders.len().saturating_sub(RECENT_ORDERS - 1);
        let recent = value.recent_orders[earlier..]
            .iter()
            .chain([order])
            .copied()
            .collect();
        Some(Value {
            number: value.number + 1,
            revision: order.revision,
            document: document.clone(),
            order_count: value.order_count + 1,
            recent_orders: recent,
            ..value.clone()
        })
    }

    /// The value that other voters make of the newest one.
    pub(crate) fn with_voters(&self, voters: &[Voter], epoch: u64) -> Option<Value> {
        let value = self.value.as_ref()?;
        let number = value.number + 1;
        Some(Value {
            number,
            voters: voters.to_vec(),
            voters_since: number,
            epoch,
            ..value.clone()
        })
    }
}
