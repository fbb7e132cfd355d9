//! Which decided values and which records of the order log are synced to this node's disk.

use std::time::Duration;

use linenthread_messages::{OrderIdentity, Record, Value};
use linenthread_time::Instant;

use crate::effects::{AfterSync, Effect, OrderLogRecordNumber, SyncedRecord};
use crate::timing::{MAX_REWRITE_INTERVAL, REWRITE_INTERVAL};
use crate::value_number::ValueNumber;

/// Writes decided values and orders, and tracks which of them are synced.
///
/// A record may be dropped by the disk, so one is known to be durable only if all before it are, or if it repeats
/// everything before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Durability {
    /// Number of the newest decided value that is synced.
    number: ValueNumber,
    /// The last record of the order log that was written.
    order_log_written: OrderLogRecordNumber,
    /// The last record of the order log up to which nothing is missing on the disk.
    order_log_synced: OrderLogRecordNumber,
    /// The last record that held new orders. The log is durable once the disk holds this record and all before it; a
    /// later one suffices by itself, since it repeats the whole log.
    last_new_orders: OrderLogRecordNumber,
    /// The last record that repeats the whole log: it suffices by itself.
    last_complete_log: OrderLogRecordNumber,
    value_written_at: Instant,
    order_log_written_at: Instant,
    rewrite_interval: Duration,
}

impl Durability {
    /// For a disk that holds the decided value of this number.
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
        let synced = SyncedRecord::Orders(self.order_log_written);
        persist(record, synced, effects);
    }

    /// A record is synced.
    pub(crate) fn on_synced(&mut self, synced: SyncedRecord) {
        match synced {
            SyncedRecord::Value(number) => self.number = self.number.max(number),
            SyncedRecord::Orders(record) => self.on_orders_synced(record),
        }
    }

    fn on_orders_synced(&mut self, record: OrderLogRecordNumber) {
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

fn persist(record: Record, synced: SyncedRecord, effects: &mut Vec<Effect>) {
    effects.push(Effect::Persist {
        record,
        after_sync: vec![AfterSync::RecordSynced(synced)],
    });
}
