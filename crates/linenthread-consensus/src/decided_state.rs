//! The decided state known to this node, and the status of orders and usage reports according to it.

use std::collections::BTreeSet;

use linenthread_messages::{DecidedUsage, OrderIdentity, UsageReport, Value, Voter};
use linenthread_time::WindowNumber;
use prost::bytes::Bytes;

use crate::epoch::Epoch;
use crate::jobs::UnknownReason;
use crate::node_id::NodeId;
use crate::order_log::{LoggedOrderStatus, OrderLog};
use crate::revision::Revision;
use crate::value_number::ValueNumber;

/// Number of the newest orders that each value contains. A node that missed at most this many values finds their
/// orders in the value itself; it fetches older ones from the order logs of its peers.
const RECENT_ORDERS: usize = 16;

/// Status of an order according to the decided state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderStatus {
    /// Its base is the newest revision, so it may be proposed.
    Proposable,
    /// It was accepted.
    Committed,
    /// It was not accepted and never will be.
    Conflict,
    /// This node cannot determine the status.
    Unknown(UnknownReason),
}

/// Status of a usage report according to the decided state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UsageStatus {
    /// Its window follows the newest one whose report is decided, or no report is decided yet.
    Proposable,
    /// A report for its window, or for a later one, is decided already.
    Decided,
    /// An earlier window has no report yet.
    TooEarly,
}

/// The newest decided value, and the log of the orders that were accepted up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct DecidedState {
    value: Option<Value>,
    order_log: OrderLog,
}

impl DecidedState {
    /// Creates the state from the value and order log on disk.
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

    /// Returns the newest value that this node knows to be decided.
    pub(crate) fn value(&self) -> Option<&Value> {
        self.value.as_ref()
    }

    /// Returns the accepted orders that this node knows.
    pub(crate) fn order_log(&self) -> &OrderLog {
        &self.order_log
    }

    pub(crate) fn order_log_mut(&mut self) -> &mut OrderLog {
        &mut self.order_log
    }

    /// Returns the number of the newest value; [`ValueNumber::FIRST`] also if none is known.
    pub(crate) fn number(&self) -> ValueNumber {
        self.value
            .as_ref()
            .map_or(ValueNumber::FIRST, ValueNumber::of)
    }

    /// Returns the number to be decided next.
    pub(crate) fn next_number(&self) -> ValueNumber {
        self.value
            .as_ref()
            .map_or(ValueNumber::FIRST, |value| ValueNumber::of(value).next())
    }

    /// Returns the newest known revision of the configuration.
    pub(crate) fn revision(&self) -> Revision {
        self.value.as_ref().map_or(Revision::NONE, Revision::of)
    }

    /// Returns the nodes that decide the next value.
    pub(crate) fn voters(&self) -> &[Voter] {
        self.value.as_ref().map_or(&[], |value| &value.voters)
    }

    pub(crate) fn voter_ids(&self) -> impl Iterator<Item = NodeId> {
        self.voters().iter().map(NodeId::from)
    }

    /// Reports whether a node votes on the next value.
    pub(crate) fn is_voter(&self, id: NodeId) -> bool {
        self.voter_ids().any(|voter| voter == id)
    }

    /// Reports whether these nodes include more than half of the voters (*decided-by-voters*).
    pub(crate) fn is_majority(&self, ids: impl IntoIterator<Item = NodeId>) -> bool {
        let votes: BTreeSet<NodeId> = ids.into_iter().filter(|id| self.is_voter(*id)).collect();
        votes.len() * 2 > self.voters().len()
    }

    /// Replaces the value with a newer one, and adds its recent orders to the log.
    pub(crate) fn adopt(&mut self, value: Value) {
        self.order_log.extend(&value.recent_orders);
        self.order_log.set_newest(Revision::of(&value));
        self.value = Some(value);
    }

    /// Returns the status of an order. It is final only if there is a majority of voters of which none has accepted
    /// anything for the next number.
    pub(crate) fn check_order(&self, order: &OrderIdentity) -> OrderStatus {
        let newest = self.revision();
        let (base, revision) = (Revision::new(order.base), Revision::new(order.revision));
        if revision <= newest {
            return match self.order_log.check_order(order) {
                LoggedOrderStatus::Committed => OrderStatus::Committed,
                LoggedOrderStatus::NotCommitted => OrderStatus::Conflict,
                LoggedOrderStatus::Unknown => OrderStatus::Unknown(UnknownReason::OrderLogGap),
            };
        }
        if base == newest {
            OrderStatus::Proposable
        } else if newest < base && base < revision {
            // Its base may still be decided, and the order accepted afterwards.
            OrderStatus::Unknown(UnknownReason::BaseNotDecided)
        } else {
            OrderStatus::Conflict
        }
    }

    /// Returns the value that results from applying an order to the newest value.
    pub(crate) fn with_order(&self, order: &OrderIdentity, document: &Bytes) -> Option<Value> {
        let value = self.value.as_ref()?;
        let dropped = value.recent_orders.len().saturating_sub(RECENT_ORDERS - 1);
        let recent_orders = value.recent_orders[dropped..]
            .iter()
            .chain([order])
            .copied()
            .collect();
        Some(Value {
            number: self.next_number().get(),
            revision: order.revision,
            document: document.clone(),
            order_count: value.order_count + 1,
            recent_orders,
            ..value.clone()
        })
    }

    /// Returns the value that results from applying a voter change to the newest value.
    pub(crate) fn with_voters(&self, voters: &[Voter], epoch: Epoch) -> Option<Value> {
        let value = self.value.as_ref()?;
        let number = self.next_number().get();
        Some(Value {
            number,
            voters: voters.to_vec(),
            voters_since: number,
            epoch: epoch.get(),
            ..value.clone()
        })
    }

    /// Returns the newest window whose usage report is decided.
    pub(crate) fn newest_usage_window(&self) -> Option<WindowNumber> {
        let usage = self.value.as_ref()?.usage.as_ref()?;
        Some(WindowNumber::new(usage.newest_window))
    }

    /// Returns the status of a usage report for this window (*one-report-per-window*).
    pub(crate) fn check_usage(&self, window: WindowNumber) -> UsageStatus {
        match self.newest_usage_window() {
            Some(newest) if window <= newest => UsageStatus::Decided,
            Some(newest) if window > newest.next() => UsageStatus::TooEarly,
            Some(_) | None => UsageStatus::Proposable,
        }
    }

    /// Returns the value that results from adding a usage report to the newest value, and removing the reports that
    /// were delivered to the platform.
    pub(crate) fn with_usage(
        &self,
        report: &UsageReport,
        delivered: Option<WindowNumber>,
    ) -> Option<Value> {
        let value = self.value.as_ref()?;
        let is_undelivered = |report: &&UsageReport| {
            delivered.is_none_or(|delivered| report.window > delivered.get())
        };
        let reports = value.usage.iter().flat_map(|usage| &usage.reports);
        Some(Value {
            number: self.next_number().get(),
            usage: Some(Box::new(DecidedUsage {
                newest_window: report.window,
                reports: reports
                    .filter(is_undelivered)
                    .chain([report])
                    .cloned()
                    .collect(),
            })),
            ..value.clone()
        })
    }
}
