//! Record of what was sent, decided and acknowledged so far, as the reference for the checker.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_consensus::{Epoch, Incarnation, Order, Revision, ValueNumber};
use linenthread_messages::Value;

/// Result of adding a decided value to the history.
pub(super) enum Commit {
    /// The value has no new revision.
    None,
    /// The revision is committed for the first time; holds the change that was sent for it, if any.
    New(Option<Order>),
    /// Another document was already committed under this revision.
    Conflict,
}

#[derive(Default)]
pub(super) struct History {
    /// Decided values by number.
    pub(super) values: BTreeMap<ValueNumber, Value>,
    /// Committed document of each revision.
    committed: BTreeMap<Revision, Vec<u8>>,
    /// Committed changes as they were sent, oldest first.
    pub(super) changes: Vec<Order>,
    /// All changes that operators have sent.
    pub(super) sent: Vec<Order>,
    /// Revision and document of each change that was rejected.
    rejected: BTreeSet<(Revision, Vec<u8>)>,
    /// Acknowledged changes by revision.
    pub(super) acknowledged: BTreeMap<Revision, Order>,
    /// Acknowledged revision by the base revision that it replaced.
    pub(super) acknowledged_on: BTreeMap<Revision, Revision>,
    /// Incarnation that held the lease, by epoch.
    pub(super) lease_holders: BTreeMap<Epoch, Incarnation>,
}

impl History {
    /// Adds a decided value and reports whether it commits a new revision.
    pub(super) fn add_value(&mut self, value: Value) -> Commit {
        let commit = self.commit(&value);
        self.values.insert(ValueNumber::of(&value), value);
        commit
    }

    fn commit(&mut self, value: &Value) -> Commit {
        let revision = Revision::of(value);
        if revision == Revision::NONE {
            return Commit::None;
        }
        if let Some(document) = self.committed.get(&revision) {
            return if document[..] == value.document[..] {
                Commit::None
            } else {
                Commit::Conflict
            };
        }
        self.committed.insert(revision, value.document.to_vec());
        let is_committed = |change: &&Order| {
            change.revision == revision && change.document[..] == value.document[..]
        };
        let change = self.sent.iter().rev().find(is_committed).cloned();
        self.changes.extend(change.clone());
        Commit::New(change)
    }

    pub(super) fn newest_value(&self) -> Option<&Value> {
        self.values.last_key_value().map(|(_, value)| value)
    }

    pub(super) fn newest_number(&self) -> ValueNumber {
        self.newest_value()
            .map_or(ValueNumber::FIRST, ValueNumber::of)
    }

    pub(super) fn is_committed(&self, change: &Order) -> bool {
        self.committed
            .get(&change.revision)
            .is_some_and(|document| *document == change.document)
    }

    /// Records that a change was rejected as a conflict.
    pub(super) fn add_rejected(&mut self, change: Order) {
        self.rejected.insert((change.revision, change.document));
    }

    pub(super) fn was_rejected(&self, change: &Order) -> bool {
        self.rejected
            .contains(&(change.revision, change.document.clone()))
    }

    pub(super) fn newest_acknowledged(&self) -> Revision {
        self.acknowledged
            .keys()
            .last()
            .copied()
            .unwrap_or(Revision::NONE)
    }
}
