//! Tracks which decided values and which records of the order log are synced to this node's disk.

use std::time::Duration;

use linenthread_messages::{OrderIdentity, Record, Value};
use linenthread_time::Instant;

use crate::effects::{AfterSync, Effect, OrderLogRecordNumber, SyncedRecord};
use crate::timing::{MAX_REWRITE_INTERVAL, REWRITE_INTERVAL};
use crate::value_number::ValueNumber;

/// Writer of decided values and orders, which tracks which of them are synced.
///
/// Since the disk may drop records, the order log is durable up to a record only if all earlier records are synced as
/// well, or if the record contains the complete log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Durability {
    /// Number of the newest decided value that is synced.
    number: ValueNumber,
    /// The last record of the order log that was written.
    order_log_written: OrderLogRecordNumber,
    /// The last record of the order log up to which all orders are on the disk.
    order_log_synced: OrderLogRecordNumber,
    /// The last record with new orders. The log is durable once this record and all earlier ones are synced, or any
    /// later one, since all later ones contain the complete log.
    last_new_orders: OrderLogRecordNumber,
    /// The last record with the complete log; the log is durable once this record is synced.
    last_complete_log: OrderLogRecordNumber,
    value_written_at: Instant,
    order_log_written_at: Instant,
    rewrite_interval: Duration,
}

impl Durability {
    /// Creates the state for a disk that contains the decided value of this number.
    pub(crate) fn new(number: ValueNumber) -> Durability {
        Durability {
            number,
            order_log_written: OrderLogRecordNumber::NONE,
            order_log_synced: OrderLogRecordNumber::NONE,
            last_new_orders: OrderLogRecordNumber::NONE,
            last_complete_log: OrderLogRecordNumber::NONE,
            value_written_at: Instant::START,
            order_log_written_at: Instant::START,
            rewrite_interval: REWRITE_INTERVAL,
        }
    }

    /// Returns the number of the newest decided value that is synced.
    pub(crate) fn number(&self) -> ValueNumber {
        self.number
    }

    /// Reports whether all orders that were written are synced.
    pub(crate) fn is_order_log_synced(&self) -> bool {
        self.order_log_synced >= self.last_new_orders
    }

    /// Reports whether the value of this number and all orders are synced.
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
        let synced = SyncedRecord::Value(ValueNumber::of(value));
        persist(record, synced, effects);
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

    /// Writes the complete order log in one record.
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
        let synced = SyncedRecord::Orders(self.order_log_written);
        persist(record, synced, effects);
    }

    /// Handles the notification that a record is synced.
    pub(crate) fn on_synced(&mut self, synced: SyncedRecord) {
        match synced {
            SyncedRecord::Value(number) => self.number = self.number.max(number),
            SyncedRecord::Orders(record) => self.on_orders_synced(record),
        }
    }

    fn on_orders_synced(&mut self, record: OrderLogRecordNumber) {
        let has_complete_log = record > self.last_new_orders || record == self.last_complete_log;
        if record == self.order_log_synced.next() || has_complete_log {
            self.order_log_synced = self.order_log_synced.max(record);
        }
    }

    /// Reports whether the value of this number and the order log must be written again now. If so, doubles the
    /// interval until the next rewrite.
    pub(crate) fn is_rewrite_due(&mut self, now: Instant, number: ValueNumber) -> bool {
        if self.is_synced(number) {
            self.rewrite_interval = REWRITE_INTERVAL;
            return false;
        }
        // Value and order log have separate timers: frequent writes of new values must not postpone the rewrite of a
        // dropped record of the order log.
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

fn persist(record: Record, synced: SyncedRecord, effects: &mut Vec<Effect>) {
    effects.push(Effect::Persist {
        record,
        after_sync: vec![AfterSync::RecordSynced(synced)],
    });
}
