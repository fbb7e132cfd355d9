//! Which decided values and which records of the order log are synced to this node's disk.

use std::time::Duration;

use linenthread_messages::{OrderIdentity, PeerMessage, Record, Synced, Value};
use linenthread_time::Instant;

use crate::effects::{DeferredMessage, Effect};
use crate::node_id::NodeId;
use crate::timing::{MAX_REWRITE_INTERVAL, REWRITE_INTERVAL};
use crate::value_number::ValueNumber;

/// Numbers the records of the order log, from 1 within this incarnation: raised with each one that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct RecordNumber(u64);

impl RecordNumber {
    /// Before the first record; what a notification carries whose record holds no orders.
    const NONE: RecordNumber = RecordNumber(0);

    fn next(self) -> RecordNumber {
        RecordNumber(self.0 + 1)
    }
}

/// Writes decided values and orders, and tracks which of them are synced.
///
/// A record may be dropped by the disk, so one is known to be durable only if all before it are, or if it repeats
/// everything before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Durability {
    id: NodeId,
    /// Number of the newest decided value that is synced.
    number: ValueNumber,
    /// The last record of the order log that was written.
    order_log_written: RecordNumber,
    /// The last record of the order log up to which nothing is missing on the disk.
    order_log_synced: RecordNumber,
    /// The last record that held new orders. The log is durable once the disk holds this record and all before it; a
    /// later one suffices by itself, since it repeats the whole log.
    last_new_orders: RecordNumber,
    /// The last record that repeats the whole log: it suffices by itself.
    last_complete_log: RecordNumber,
    value_written_at: Instant,
    order_log_written_at: Instant,
    rewrite_interval: Duration,
}

impl Durability {
    /// For a disk that holds the decided value of this number.
    pub(crate) fn new(id: NodeId, number: ValueNumber) -> Durability {
        Durability {
            id,
            number,
            order_log_written: RecordNumber::NONE,
            order_log_synced: RecordNumber::NONE,
            last_new_orders: RecordNumber::NONE,
            last_complete_log: RecordNumber::NONE,
            value_written_at: Instant::START,
            order_log_written_at: Instant::START,
            rewrite_interval: REWRITE_INTERVAL,
        }
    }

    /// Number of the newest decided value that is synced.
    pub(crate) fn number(&self) -> ValueNumber {
        self.number
    }

    /// Whether all records of the order log are synced.
    pub(crate) fn is_order_log_synced(&self) -> bool {
        self.order_log_synced >= self.last_new_orders
    }

    /// Whether the value of this number and all records of the order log are synced.
    pub(crate) fn is_synced(&self, number: ValueNumber) -> bool {
        self.number >= number && self.is_order_log_synced()
    }

    /// Writes a decided value.
    pub(crate) fn persist_value(&mut self, now: Instant, value: &Value, effects: &mut Vec<Effect>) {
        self.value_written_at = now;
        let record = Record {
            decided: Some(value.clone()),
            ..Record::default()
        };
        let synced = Synced {
            number: value.number,
            order_log_record: RecordNumber::NONE.0,
        };
        self.persist(record, synced, effects);
    }

    /// Writes orders that were fetched from another node.
    pub(crate) fn persist_orders(
        &mut self,
        now: Instant,
        orders: Vec<OrderIdentity>,
        effects: &mut Vec<Effect>,
    ) {
        self.last_new_orders = self.order_log_written.next();
        self.persist_order_log_record(now, orders, effects);
    }

    /// Writes the whole order log in one record.
    pub(crate) fn persist_complete_order_log(
        &mut self,
        now: Instant,
        orders: Vec<OrderIdentity>,
        effects: &mut Vec<Effect>,
    ) {
        self.last_complete_log = self.order_log_written.next();
        self.persist_order_log_record(now, orders, effects);
    }

    fn persist_order_log_record(
        &mut self,
        now: Instant,
        orders: Vec<OrderIdentity>,
        effects: &mut Vec<Effect>,
    ) {
        self.order_log_written_at = now;
        self.order_log_written = self.order_log_written.next();
        let record = Record {
            order_log: orders,
            ..Record::default()
        };
        let synced = Synced {
            number: ValueNumber::FIRST.get(),
            order_log_record: self.order_log_written.0,
        };
        self.persist(record, synced, effects);
    }

    fn persist(&self, record: Record, synced: Synced, effects: &mut Vec<Effect>) {
        let notification = DeferredMessage {
            to: self.id,
            message: PeerMessage::Synced(synced),
        };
        effects.push(Effect::Persist {
            record,
            after_sync: vec![notification],
        });
    }

    /// A record is synced.
    pub(crate) fn on_synced(&mut self, synced: &Synced) {
        self.number = self.number.max(ValueNumber::new(synced.number));
        let record = RecordNumber(synced.order_log_record);
        let repeats_log = record > self.last_new_orders || record == self.last_complete_log;
        if record == self.order_log_synced.next() || repeats_log {
            self.order_log_synced = self.order_log_synced.max(record);
        }
    }

    /// Whether the value of this number and the order log are to be written again. The interval doubles each time.
    pub(crate) fn is_rewrite_due(&mut self, now: Instant, number: ValueNumber) -> bool {
        if self.is_synced(number) {
            self.rewrite_interval = REWRITE_INTERVAL;
            return false;
        }
        // Both are considered apart: new values are written again and again, while a record of the order log that was
        // dropped is not.
        let value_due =
            self.number < number && now >= self.value_written_at + self.rewrite_interval;
        let order_log_due =
            !self.is_order_log_synced() && now >= self.order_log_written_at + self.rewrite_interval;
        let due = value_due || order_log_due;
        if due {
            self.rewrite_interval = (self.rewrite_interval * 2).min(MAX_REWRITE_INTERVAL);
        }
        due
    }
}
