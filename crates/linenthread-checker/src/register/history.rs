//! Past events that the invariants refer to.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_consensus::{JobId, NodeId, ValueNumber};
use linenthread_messages::{Ballot, OrderIdentity, Value};

/// The decided values, and the outcomes that callers received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    /// The first value that a node considered decided under each number.
    decided: BTreeMap<ValueNumber, Value>,
    /// Whether different values were considered decided under the same number.
    has_conflicting_values: bool,
    /// Whether a node considered a value decided that no majority of its voters had accepted.
    has_minority_decision: bool,
    /// The nodes that have synced an acceptance, by number and ballot, for numbers without a decided value.
    accepted_by: BTreeMap<(ValueNumber, Ballot), BTreeSet<NodeId>>,
    acknowledged: Vec<OrderIdentity>,
    rejected: Vec<OrderIdentity>,
    /// The greatest number of a value that was reported to a caller.
    newest_reported: ValueNumber,
    /// The value of `newest_reported` when each pending read was submitted.
    minimum_read_numbers: BTreeMap<JobId, ValueNumber>,
    /// Whether a read returned a value older than one that was reported before the read was submitted.
    has_stale_read: bool,
    completed_reads: u8,
}

impl History {
    /// Creates the history of nodes that all start with `genesis` as their decided value.
    pub(crate) fn new(genesis: Value) -> History {
        History {
            decided: BTreeMap::from([(ValueNumber::of(&genesis), genesis)]),
            ..History::default()
        }
    }

    pub(crate) fn has_conflicting_values(&self) -> bool {
        self.has_conflicting_values
    }

    pub(crate) fn has_minority_decision(&self) -> bool {
        self.has_minority_decision
    }

    pub(crate) fn has_stale_read(&self) -> bool {
        self.has_stale_read
    }

    pub(crate) fn acknowledged(&self) -> &[OrderIdentity] {
        &self.acknowledged
    }

    pub(crate) fn rejected(&self) -> &[OrderIdentity] {
        &self.rejected
    }

    pub(crate) fn completed_reads(&self) -> u8 {
        self.completed_reads
    }

    /// Reports whether a voter change was decided.
    pub(crate) fn has_voter_change(&self) -> bool {
        self.decided.values().any(|value| value.epoch > 0)
    }

    /// Returns the accepted orders. The newest value lists all of them, because no scenario has enough orders for older
    /// ones to be dropped from it.
    pub(crate) fn accepted_orders(&self) -> &[OrderIdentity] {
        self.decided
            .last_key_value()
            .map_or(&[], |(_, value)| &value.recent_orders)
    }

    pub(crate) fn is_decided(&self, number: ValueNumber) -> bool {
        self.decided.contains_key(&number)
    }

    /// Reports whether this value is recorded as decided, so that [`History::record_decided`] would not change
    /// anything.
    pub(crate) fn is_decided_value(&self, value: &Value) -> bool {
        self.decided.get(&ValueNumber::of(value)) == Some(value)
    }

    /// Records that a voter synced an acceptance.
    pub(crate) fn record_accepted(&mut self, number: ValueNumber, ballot: Ballot, voter: NodeId) {
        self.accepted_by
            .entry((number, ballot))
            .or_default()
            .insert(voter);
    }

    /// Records that a node considers a value decided.
    pub(crate) fn record_decided(&mut self, value: &Value) {
        let number = ValueNumber::of(value);
        if self.is_decided(number) {
            self.has_conflicting_values |= !self.is_decided_value(value);
            return;
        }
        self.has_minority_decision |= !self.is_accepted_by_majority(number);
        self.accepted_by
            .retain(|(accepted_number, _), _| *accepted_number != number);
        self.decided.insert(number, value.clone());
    }

    /// Reports whether a majority of the voters of the preceding value accepted a value with this number under a single
    /// ballot.
    fn is_accepted_by_majority(&self, number: ValueNumber) -> bool {
        let precedes = |value: &&Value| ValueNumber::of(value).next() == number;
        let Some(previous) = self.decided.values().find(precedes) else {
            return false;
        };
        let is_voter = |id: &NodeId| {
            previous
                .voters
                .iter()
                .any(|voter| NodeId::from(voter) == *id)
        };
        self.accepted_by
            .iter()
            .filter(|((accepted_number, _), _)| *accepted_number == number)
            .any(|(_, accepted_by)| {
                let votes = accepted_by.iter().filter(|id| is_voter(id)).count();
                votes * 2 > previous.voters.len()
            })
    }

    /// Records that an order was reported to its caller as committed.
    pub(crate) fn record_acknowledged(&mut self, order: OrderIdentity) {
        if !self.acknowledged.contains(&order) {
            self.acknowledged.push(order);
            self.acknowledged
                .sort_by_key(|order| (order.revision, order.digest));
        }
        let first_number = self
            .decided
            .iter()
            .find(|(_, value)| value.recent_orders.contains(&order))
            .map_or(ValueNumber::FIRST, |(number, _)| *number);
        self.newest_reported = self.newest_reported.max(first_number);
    }

    /// Records that an order was reported to its caller as conflicting.
    pub(crate) fn record_rejected(&mut self, order: OrderIdentity) {
        if !self.rejected.contains(&order) {
            self.rejected.push(order);
        }
    }

    /// Records that a read was submitted.
    pub(crate) fn record_read_submitted(&mut self, job: JobId) {
        self.minimum_read_numbers.insert(job, self.newest_reported);
    }

    /// Records that a read returned a value.
    pub(crate) fn record_read(&mut self, job: JobId, value: &Value) {
        let number = ValueNumber::of(value);
        let minimum = self.minimum_read_numbers.remove(&job);
        self.has_stale_read |= minimum.is_some_and(|minimum| number < minimum);
        self.newest_reported = self.newest_reported.max(number);
        self.completed_reads += 1;
    }
}
