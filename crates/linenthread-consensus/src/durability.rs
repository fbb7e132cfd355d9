use std::time::Duration;

use linenthread_messages::{OrderIdentity, PeerMessage, Record, Synced, Value};
use linenthread_time::Instant;

use crate::effects::Effect;

/// What was handed over and is not synced after so long is handed over again, then after twice as long: the disk
/// drops records when too many wait, or when it is full. It holds all again so long after there is room at most.
const REWRITE: Duration = Duration::from_millis(1_500);
const REWRITE_MOST: Duration = Duration::from_millis(3_000);

/// Which of the decided values and of the ledger's records are on this node's disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Durability {
    id: u64,
    /// Number of the newest decided value that is synced.
    number: u64,
    /// Records of the ledger in this incarnation: handed over, and synced without one missing in between.
    ledger_handed_over: u64,
    ledger_synced: u64,
    /// The last record that told of new orders: those behind it say the same once more, and each of them is whole.
    ledger_needed: u64,
    /// The last record that holds the whole ledger: all before it may be missing.
    order_log_complete: u64,
    /// When a value, and when a record of the ledger, was last handed over.
    value_at: Instant,
    ledger_at: Instant,
    wait: Duration,
}

impl Durability {
    pub(crate) fn new(id: u64, number: u64) -> Durability {
        Durability {
            id,
            number,
            ledger_handed_over: 0,
            ledger_synced: 0,
            ledger_needed: 0,
            order_log_complete: 0,
            value_at: Instant::START,
            ledger_at: Instant::START,
            wait: REWRITE,
        }
    }

    /// Number of the newest decided value that is synced.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Whether all records of the ledger are synced.
    pub(crate) fn holds_order_log(&self) -> bool {
        self.ledger_synced >= self.ledger_needed
    }

    /// Whether the value of this number and all records of the ledger are synced.
    pub(crate) fn holds(&self, number: u64) -> bool {
        self.number >= number && self.holds_order_log()
    }

    /// Hands a decided value over to the disk.
    pub(crate) fn persist_value(&mut self, now: Instant, value: &Value, effects: &mut Vec<Effect>) {
        self.value_at = now;
        let record = Record {
            decided: Some(value.clone()),
            ..Record::default()
        };
        self.keep(
            record,
            Synced {
                number: value.number,
                order_log_record: 0,
            },
            effects,
        );
    }

    /// Hands orders that were fetched over to the disk.
    pub(crate) fn persist_orders(
        &mut self,
        now: Instant,
        orders: Vec<OrderIdentity>,
        effects: &mut Vec<Effect>,
    ) {
        self.ledger_needed = self.ledger_handed_over + 1;
        self.persist_order_log(now, orders, effects);
    }

    fn persist_order_log(
        &mut self,
        now: Instant,
        orders: Vec<OrderIdentity>,
        effects: &mut Vec<Effect>,
    ) {
        self.ledger_at = now;
        self.ledger_handed_over += 1;
        let record = Record {
            order_log: orders,
            ..Record::default()
        };
        self.keep(
            record,
            Synced {
                number: 0,
                order_log_record: self.ledger_handed_over,
            },
            effects,
        );
    }

    fn keep(&self, record: Record, synced: Synced, effects: &mut Vec<Effect>) {
        let then = vec![(self.id, PeerMessage::Synced(synced))];
        effects.push(Effect::Persist { record, then });
    }

    /// A record is on disk.
    pub(crate) fn on_synced(&mut self, synced: &Synced) {
        self.number = self.number.max(synced.number);
        let next = self.ledger_synced + 1;
        let is_whole = synced.order_log_record > self.ledger_needed
            || synced.order_log_record == self.order_log_complete;
        if synced.order_log_record == next || is_whole {
            self.ledger_synced = self.ledger_synced.max(synced.order_log_record);
        }
    }

    /// Whether what was handed over is to be handed over again.
    pub(crate) fn is_overdue(&mut self, now: Instant, number: u64) -> bool {
        if self.holds(number) {
            self.wait = REWRITE;
            return false;
        }
        // New values come again and again, and say nothing of a record of the ledger that was dropped.
        let value_overdue = self.number < number && now >= self.value_at + self.wait;
        let ledger_overdue = !self.holds_order_log() && now >= self.ledger_at + self.wait;
        let overdue = value_overdue || ledger_overdue;
        if overdue {
            self.wait = (self.wait * 2).min(REWRITE_MOST);
        }
        overdue
    }

    /// Hands all orders over in one record.
    pub(crate) fn persist_complete_order_log(
        &mut self,
        now: Instant,
        orders: Vec<OrderIdentity>,
        effects: &mut Vec<Effect>,
    ) {
        self.order_log_complete = self.ledger_handed_over + 1;
        self.persist_order_log(now, orders, effects);
    }
}
