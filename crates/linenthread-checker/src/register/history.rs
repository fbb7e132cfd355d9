//! What has happened so far that later states are judged by.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_consensus::{JobId, NodeId, ValueNumber};
use linenthread_messages::{Ballot, OrderIdentity, Value};

/// The decided values, and what callers were told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    /// Each value that some node took for decided, by number.
    decided: BTreeMap<ValueNumber, Value>,
    /// Two nodes took different values under one number for decided.
    has_conflicting_values: bool,
    /// A node took a value for decided that no majority of its voters had accepted.
    has_minority_decision: bool,
    /// The voters that have synced an acceptance, by number and ballot, for numbers that are not decided.
    accepted_by: BTreeMap<(ValueNumber, Ballot), BTreeSet<NodeId>>,
    acknowledged: Vec<OrderIdentity>,
    rejected: Vec<OrderIdentity>,
    /// The greatest number of a value that a caller was told of.
    newest_reported: ValueNumber,
    /// `newest_reported` as of when each pending read was submitted.
    minimum_read_numbers: BTreeMap<JobId, ValueNumber>,
    /// A read returned a value older than one that was reported before it was submitted.
    has_stale_read: bool,
    completed_reads: u8,
}

impl History {
    /// The history of nodes that all start with this value.
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

    /// Whether a change of the voters was decided.
    pub(crate) fn has_voter_change(&self) -> bool {
        self.decided.values().any(|value| value.epoch > 0)
    }

    /// The accepted orders: those of the newest value, since no scenario has so many that they leave it.
    pub(crate) fn accepted_orders(&self) -> &[OrderIdentity] {
        self.decided
            .last_key_value()
            .map_or(&[], |(_, value)| &value.recent_orders)
    }

    pub(crate) fn is_decided(&self, number: ValueNumber) -> bool {
        self.decided.contains_key(&number)
    }

    /// Whether [`History::record_decided`] would change anything.
    pub(crate) fn is_decided_value(&self, value: &Value) -> bool {
        self.decided.get(&ValueNumber::of(value)) == Some(value)
    }

    /// A voter has synced an acceptance.
    pub(crate) fn record_accepted(&mut self, number: ValueNumber, ballot: Ballot, voter: NodeId) {
        self.accepted_by
            .entry((number, ballot))
            .or_default()
            .insert(voter);
    }

    /// A node takes a value for decided.
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

    /// Whether, under some ballot, a majority of the voters of the value before has accepted a value of this number.
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

    /// A caller was told that its order is committed.
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

    /// A caller was told that its order conflicts.
    pub(crate) fn record_rejected(&mut self, order: OrderIdentity) {
        if !self.rejected.contains(&order) {
            self.rejected.push(order);
        }
    }

    /// A read was submitted.
    pub(crate) fn record_read_submitted(&mut self, job: JobId) {
        self.minimum_read_numbers.insert(job, self.newest_reported);
    }

    /// A read returned a value.
    pub(crate) fn record_read(&mut self, job: JobId, value: &Value) {
        let number = ValueNumber::of(value);
        let floor = self.minimum_read_numbers.remove(&job);
        self.has_stale_read |= floor.is_some_and(|floor| number < floor);
        self.newest_reported = self.newest_reported.max(number);
        self.completed_reads += 1;
    }
}
