//! The client's pending calls: queued for credit, or sent and without an outcome.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;

use super::send_window::SendWindow;
use crate::frame::{Call, CallRequest, Credit};
use crate::id::{CallId, CallNumber};
use crate::time::to_wire_millis;

/// A call that waits for credit or for the connection.
pub(super) struct QueuedCall {
    pub(super) call: Call,
    pub(super) priority: u32,
    /// The caller's deadline.
    pub(super) deadline: TenthMillis,
    /// When the call fails if it is still queued.
    pub(super) queue_deadline: TenthMillis,
}

/// The order of the queue: by descending priority, then oldest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Reverse<u32>,
    id: CallId,
}

/// The progress in writing the frame of a sent call.
#[derive(Clone, Copy, PartialEq)]
enum Delivery {
    /// Not written completely: the call cannot run.
    Sending,
    /// Written completely: the call may run, even if the connection is lost.
    Written,
}

/// A call passed to a connection of the session.
struct SentCall {
    id: CallId,
    delivery: Delivery,
}

/// The place where a pending call is stored.
#[derive(Clone, Copy)]
enum Position {
    Queued(QueueKey),
    Sent(CallNumber),
}

/// The first call of the queue, to be sent or failed.
pub(super) enum NextCall {
    Send(CallRequest),
    /// The call's deadline would pass before it reaches the server.
    Expired(CallId),
}

/// The state of a call when it was removed.
pub(super) enum RemovedCall {
    Queued,
    Sent(CallNumber),
}

/// A sent call of a session that has ended.
pub(super) struct UnresolvedCall {
    pub(super) id: CallId,
    /// Whether the call was written completely.
    pub(super) may_have_run: bool,
}

/// The pending calls, and the session's flow control.
///
/// Each call is in `positions` and in exactly one of `queued` and `sent`. Queued calls do not belong to a session yet.
#[derive(Default)]
pub(super) struct CallTable {
    positions: BTreeMap<CallId, Position>,
    queued: BTreeMap<QueueKey, QueuedCall>,
    sent: BTreeMap<CallNumber, SentCall>,
    /// The total size of all queued calls.
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

    /// Returns how many calls the credit allows in flight: those already sent, and those that may be sent now.
    pub(super) fn credit_capacity(&self) -> u64 {
        self.window.remaining_calls() + self.sent.len() as u64
    }

    /// Returns the last call sent in the session.
    pub(super) fn last_sent(&self) -> CallNumber {
        self.window.last_sent()
    }

    /// Raises the credit; an outdated update does not lower it.
    pub(super) fn add_credit(&mut self, credit: Credit) {
        self.window.raise(credit);
    }

    /// Adds a call to the queue.
    pub(super) fn enqueue(&mut self, id: CallId, queued: QueuedCall) {
        self.queued_bytes += queued.call.credit_bytes();
        let key = QueueKey {
            priority: Reverse(queued.priority),
            id,
        };
        self.positions.insert(id, Position::Queued(key));
        self.queued.insert(key, queued);
    }

    /// Removes a call; `None` if it is not pending.
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

    /// Removes a call from the queue. All removals from the queue go through here.
    fn dequeue(&mut self, key: QueueKey) -> Option<QueuedCall> {
        let queued = self.queued.remove(&key)?;
        self.queued_bytes -= queued.call.credit_bytes();
        Some(queued)
    }

    /// Returns the pending call that was sent with this number.
    pub(super) fn by_number(&self, number: CallNumber) -> Option<CallId> {
        self.sent.get(&number).map(|sent| sent.id)
    }

    /// Removes and returns the first call of the queue if the credit allows sending it. A call whose deadline would
    /// pass within the latency `one_way` is reported as expired and stays in the queue.
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

    /// Records that the call's frame has been written completely.
    pub(super) fn on_written(&mut self, number: CallNumber) {
        if let Some(sent) = self.sent.get_mut(&number) {
            sent.delivery = Delivery::Written;
        }
    }

    /// Returns all sent calls, in the order of their ids.
    fn sent_calls(&self) -> impl Iterator<Item = &SentCall> {
        self.positions
            .values()
            .filter_map(|position| match position {
                Position::Queued(_) => None,
                Position::Sent(number) => self.sent.get(number),
            })
    }

    /// Returns the sent calls that were not written completely.
    pub(super) fn incompletely_written(&self) -> Vec<CallId> {
        self.sent_calls()
            .filter(|sent| sent.delivery == Delivery::Sending)
            .map(|sent| sent.id)
            .collect()
    }

    /// Returns the sent calls that the server has not received, given the last one that it received.
    pub(super) fn not_received(&self, last_received: CallNumber) -> Vec<CallId> {
        self.sent
            .range(last_received.next()..)
            .map(|(_, sent)| sent.id)
            .collect()
    }

    /// Resumes the session at the server's counts; the server must have received all sent calls that remain.
    pub(super) fn resume(&mut self, last_received: CallNumber, received_bytes: u64) {
        self.window.resume(last_received, received_bytes);
    }

    /// Returns all sent calls, for the end of their session.
    pub(super) fn unresolved(&self) -> Vec<UnresolvedCall> {
        self.sent_calls()
            .map(|sent| UnresolvedCall {
                id: sent.id,
                may_have_run: sent.delivery == Delivery::Written,
            })
            .collect()
    }

    /// Begins a new session. All sent calls of the old one must have been removed; queued calls stay.
    pub(super) fn begin_session(&mut self) {
        self.window = SendWindow::default();
    }

    /// Returns the queued calls whose queue deadline has passed.
    pub(super) fn expired(&self, now: TenthMillis) -> Vec<CallId> {
        self.queued
            .iter()
            .filter(|(_, queued)| queued.queue_deadline <= now)
            .map(|(key, _)| key.id)
            .collect()
    }

    /// Returns the earliest queue deadline.
    pub(super) fn next_queue_deadline(&self) -> Option<TenthMillis> {
        self.queued
            .values()
            .map(|queued| queued.queue_deadline)
            .min()
    }
}
