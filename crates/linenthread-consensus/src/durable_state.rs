//! The state on a node's disk, rebuilt from its records.

use std::collections::BTreeMap;

use linenthread_messages::{Accepted, Ballot, Record, Replica, Value};

use crate::acceptor::Acceptor;
use crate::epoch::Epoch;
use crate::node_id::NodeId;
use crate::order_log::OrderLog;
use crate::value_number::ValueNumber;

/// The state that results from all records on a disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DurableState {
    /// The node's identity; `None` on an empty disk.
    pub id: Option<NodeId>,
    decided: Option<Value>,
    order_log: OrderLog,
    /// The number that `promised` and `accepted` apply to.
    number: ValueNumber,
    promised: Option<Ballot>,
    accepted: Option<Accepted>,
    /// The greatest epoch under which this node granted the leader lease.
    pub epoch: Epoch,
    /// The replicas from the last record that lists or clears them.
    pub replicas: Vec<Replica>,
    /// The replicas that drain or have ended, by id: those of the last record that lists or clears the replicas, and of
    /// later records. They prevail over `replicas`.
    pub drains: BTreeMap<String, Replica>,
}

impl DurableState {
    /// Applies the next record; records must be added oldest first.
    pub fn add(&mut self, record: Record) {
        self.id = record.id.map(NodeId).or(self.id);
        self.epoch = self.epoch.max(Epoch::new(record.epoch));
        if !record.replicas.is_empty() || record.replicas_cleared {
            self.replicas = record.replicas;
            self.drains.clear();
        }
        let drains = record.drains.into_iter();
        self.drains
            .extend(drains.map(|replica| (replica.id.clone(), replica)));
        self.order_log.extend(&record.order_log);
        if let Some(value) = record.decided {
            self.add_decided(value);
        }
        if let Some(promised) = record.promised {
            let number = ValueNumber::new(record.number);
            self.add_promise(number, promised, record.accepted);
        }
    }

    fn add_decided(&mut self, value: Value) {
        self.order_log.extend(&value.recent_orders);
        if self
            .decided
            .as_ref()
            .is_none_or(|decided| decided.number < value.number)
        {
            self.decided = Some(value);
        }
    }

    fn add_promise(&mut self, number: ValueNumber, promised: Ballot, accepted: Option<Accepted>) {
        if number > self.number {
            (self.number, self.promised, self.accepted) = (number, None, None);
        }
        if number == self.number {
            self.promised = self.promised.max(Some(promised));
            self.accepted = accepted.or(self.accepted.take());
        }
    }

    /// Returns records that represent this state, for a compacted log.
    pub fn records(&self) -> Vec<Record> {
        vec![
            Record {
                id: self.id.map(|NodeId(id)| id),
                decided: self.decided.clone(),
                epoch: self.epoch.get(),
                replicas: self.replicas.clone(),
                drains: self.drains.values().cloned().collect(),
                order_log: self.order_log.iter().collect(),
                ..Record::default()
            },
            Record {
                number: self.number.get(),
                promised: self.promised,
                accepted: self.accepted.clone(),
                ..Record::default()
            },
        ]
    }

    /// Returns the newest decided value, the order log, and the acceptor for the next number to vote on.
    pub(crate) fn into_parts(self, genesis: Option<Value>) -> (Option<Value>, OrderLog, Acceptor) {
        let decided = self.decided.or(genesis);
        let next = decided
            .as_ref()
            .map_or(ValueNumber::FIRST, |value| ValueNumber::of(value).next());
        let acceptor = if self.number >= next {
            Acceptor::new(self.number, self.promised, self.accepted)
        } else {
            Acceptor::new(next, None, None)
        };
        (decided, self.order_log, acceptor)
    }

    /// Returns the number of the newest decided value; [`ValueNumber::FIRST`] also if there is none.
    pub(crate) fn decided_number(&self) -> ValueNumber {
        self.decided
            .as_ref()
            .map_or(ValueNumber::FIRST, ValueNumber::of)
    }
}
