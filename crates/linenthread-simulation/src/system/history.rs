//! What was sent, decided and acknowledged so far: what the checker judges by.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_consensus::{Epoch, Incarnation, Order, Revision, ValueNumber};
use linenthread_messages::Value;

/// The configuration that became committed, by the decided values.
pub(super) enum Commit {
    /// The value carries no new revision.
    None,
    /// A revision for the first time; the change that was sent for it, if there is one.
    New(Option<Order>),
    /// Another document was committed under this revision before.
    Conflict,
}

#[derive(Default)]
pub(super) struct History {
    /// Decided values by their numbers.
    pub(super) values: BTreeMap<ValueNumber, Value>,
    /// The committed document of each revision.
    committed: BTreeMap<Revision, Vec<u8>>,
    /// The committed changes as they were sent, oldest first.
    pub(super) changes: Vec<Order>,
    /// All changes that were ever sent.
    pub(super) sent: Vec<Order>,
    /// Revision and document of each change that was rejected.
    rejected: BTreeSet<(Revision, Vec<u8>)>,
    /// Acknowledged changes by revision.
    pub(super) acknowledged: BTreeMap<Revision, Order>,
    /// Which revision was acknowledged on top of which.
    pub(super) acknowledged_on: BTreeMap<Revision, Revision>,
    /// Which incarnation held the lease under which epoch.
    pub(super) lease_holders: BTreeMap<Epoch, Incarnation>,
}

impl History {
    /// Notes a decided value.
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

    /// Notes that a change was rejected as a conflict.
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
