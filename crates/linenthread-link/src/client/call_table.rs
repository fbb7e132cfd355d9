//! The client's calls that have not completed: queued for credit, or sent and not answered.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;

use super::send_window::SendWindow;
use crate::frame::{Call, CallRequest, Credit};
use crate::id::{CallId, CallNumber};
use crate::time::to_wire_millis;

/// A call that waits for credit, or for the link.
pub(super) struct QueuedCall {
    pub(super) call: Call,
    pub(super) priority: u32,
    /// When the caller gives up.
    pub(super) deadline: TenthMillis,
    /// Until then it may wait in the queue.
    pub(super) queue_deadline: TenthMillis,
}

/// The queue's order: by descending priority, then by age.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Reverse<u32>,
    id: CallId,
}

/// How far a call has come that was handed to a connection.
#[derive(Clone, Copy, PartialEq)]
enum Delivery {
    /// Not yet written completely: it cannot run.
    Sending,
    /// Written completely: it may run, also when the connection is gone.
    Written,
}

/// A call that was handed to a connection of the session.
struct SentCall {
    id: CallId,
    delivery: Delivery,
}

/// Where a call is to be found.
#[derive(Clone, Copy)]
enum Position {
    Queued(QueueKey),
    Sent(CallNumber),
}

/// What to do with the first call of the queue.
pub(super) enum NextCall {
    Send(CallRequest),
    /// Its deadline would pass on the way.
    Expired(CallId),
}

/// How far a call had come as it was removed.
pub(super) enum RemovedCall {
    Queued,
    Sent(CallNumber),
}

/// A sent call of a session that has ended.
pub(super) struct UnresolvedCall {
    pub(super) id: CallId,
    /// It was written completely.
    pub(super) may_have_run: bool,
}

/// Calls that have not completed, and the flow control of the session that they belong to.
///
/// Each call stands in `positions` and in exactly one of `queued` and `sent`. Queued calls belong to no session yet.
#[derive(Default)]
pub(super) struct CallTable {
    positions: BTreeMap<CallId, Position>,
    queued: BTreeMap<QueueKey, QueuedCall>,
    sent: BTreeMap<CallNumber, SentCall>,
    /// The bytes of all queued calls.
    queued_bytes: u64,
    window: SendWindow,
}

impl CallTable {
    pub(super) fn len(&self) -> usize {
        self.positions.len()
    }

    pub(super) fn queued_bytes(&self) -> u64 {
        self.queued_bytes
    }

    /// How many calls may be in flight by the credit: those that are, and those that may be sent now.
    pub(super) fn credit_capacity(&self) -> u64 {
        self.window.remaining_calls() + self.sent.len() as u64
    }

    /// The last call sent in the session.
    pub(super) fn last_sent(&self) -> CallNumber {
        self.window.last_sent()
    }

    /// Raises the credit; one that arrives late does not lower it.
    pub(super) fn add_credit(&mut self, credit: Credit) {
        self.window.raise(credit);
    }

    /// Adds a call that waits to be sent.
    pub(super) fn enqueue(&mut self, id: CallId, queued: QueuedCall) {
        self.queued_bytes += queued.call.credit_bytes();
        let key = QueueKey {
            priority: Reverse(queued.priority),
            id,
        };
        self.positions.insert(id, Position::Queued(key));
        self.queued.insert(key, queued);
    }

    /// Removes a call if it is pending.
    pub(super) fn remove(&mut self, id: CallId) -> Option<RemovedCall> {
        Some(match self.positions.remove(&id)? {
            Position::Queued(key) => {
                self.dequeue(key);
                RemovedCall::Queued
            }
            Position::Sent(number) => {
                self.sent.remove(&number);
                RemovedCall::Sent(number)
            }
        })
    }

    /// The one place where the queue becomes shorter.
    fn dequeue(&mut self, key: QueueKey) -> Option<QueuedCall> {
        let queued = self.queued.remove(&key)?;
        self.queued_bytes -= queued.call.credit_bytes();
        Some(queued)
    }

    /// The call that was sent with this number, if it is pending.
    pub(super) fn by_number(&self, number: CallNumber) -> Option<CallId> {
        self.sent.get(&number).map(|sent| sent.id)
    }

    /// Takes the first call off the queue if credit allows; `one_way` is how long it takes to arrive.
    pub(super) fn next_to_send(
        &mut self,
        now: TenthMillis,
        one_way: TenthMillis,
    ) -> Option<NextCall> {
        let (&key, first) = self.queued.first_key_value()?;
        let remaining = first.deadline - now - one_way;
        if remaining <= 0 {
            return Some(NextCall::Expired(key.id));
        }
        let bytes = first.call.credit_bytes();
        if !self.window.admits(bytes) {
            return None;
        }
        let QueuedCall { call, .. } = self.dequeue(key)?;
        let number = self.window.send(bytes);
        self.positions.insert(key.id, Position::Sent(number));
        let sent = SentCall {
            id: key.id,
            delivery: Delivery::Sending,
        };
        self.sent.insert(number, sent);
        Some(NextCall::Send(CallRequest {
            number,
            remaining_ms: to_wire_millis(remaining),
            call,
        }))
    }

    /// The call's frame has been written completely.
    pub(super) fn on_written(&mut self, number: CallNumber) {
        if let Some(sent) = self.sent.get_mut(&number) {
            sent.delivery = Delivery::Written;
        }
    }

    /// All calls that are not queued, by their ids.
    fn sent_calls(&self) -> impl Iterator<Item = &SentCall> {
        self.positions
            .values()
            .filter_map(|position| match position {
                Position::Queued(_) => None,
                Position::Sent(number) => self.sent.get(number),
            })
    }

    /// Sent calls that were not written completely.
    pub(super) fn incompletely_written(&self) -> Vec<CallId> {
        self.sent_calls()
            .filter(|sent| sent.delivery == Delivery::Sending)
            .map(|sent| sent.id)
            .collect()
    }

    /// Sent calls that the server has not received, given the last one that it has.
    pub(super) fn not_received(&self, last_received: CallNumber) -> Vec<CallId> {
        self.sent
            .range(last_received.next()..)
            .map(|(_, sent)| sent.id)
            .collect()
    }

    /// The session resumes at the server's counts; all sent calls that remain have been received.
    pub(super) fn resume(&mut self, last_received: CallNumber, received_bytes: u64) {
        self.window.resume(last_received, received_bytes);
    }

    /// All sent calls, whose session has ended.
    pub(super) fn unresolved(&self) -> Vec<UnresolvedCall> {
        self.sent_calls()
            .map(|sent| UnresolvedCall {
                id: sent.id,
                may_have_run: sent.delivery == Delivery::Written,
            })
            .collect()
    }

    /// Begins a new session, once all sent calls of the old one have been removed. Queued calls stay.
    pub(super) fn begin_session(&mut self) {
        self.window = SendWindow::default();
    }

    /// Calls that have waited in the queue for too long.
    pub(super) fn expired(&self, now: TenthMillis) -> Vec<CallId> {
        self.queued
            .iter()
            .filter(|(_, queued)| queued.queue_deadline <= now)
            .map(|(key, _)| key.id)
            .collect()
    }

    /// When the first queued call expires.
    pub(super) fn next_queue_deadline(&self) -> Option<TenthMillis> {
        self.queued
            .values()
            .map(|queued| queued.queue_deadline)
            .min()
    }
}
