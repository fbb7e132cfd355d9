//! The client's calls that have not completed: queued for credit, or sent and not answered.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use linenthread_core::interface::TenthMillis;

use crate::frame::{Call, CallRequest, Credit};
use crate::id::{CallId, CallNumber};

/// TenthMillis of a millisecond in a millisecond, the unit of deadlines on the wire.
const TENTHS_PER_MS: u64 = 10;

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Waits for credit, or for the link.
    Queued,
    /// Handed to the connection, not yet written completely: it cannot run.
    Sending,
    /// Written completely: it may run.
    Written,
    /// Written completely on a connection that is gone: unknown until the session resumes.
    Unconfirmed,
}

/// A call that has not completed.
struct PendingCall {
    /// The call, until it is sent.
    call: Option<Call>,
    stage: Stage,
    /// When the caller gives up.
    deadline: TenthMillis,
    /// Its number in the session, once it is handed to a connection.
    number: Option<CallNumber>,
    priority: u32,
    /// Until then it may wait in the queue.
    queue_deadline: TenthMillis,
}

/// The queue's order: by descending priority, then by age.
type QueueKey = (Reverse<u32>, CallId);

impl PendingCall {
    fn queue_key(&self, id: CallId) -> QueueKey {
        (Reverse(self.priority), id)
    }

    fn queued_bytes(&self) -> u64 {
        self.call.as_ref().map_or(0, Call::credit_bytes)
    }
}

/// What to do with the first call of the queue.
pub(super) enum NextCall {
    Send(CallRequest),
    /// Its deadline would pass on the way.
    Expired(CallId),
}

/// Calls that have not completed, and the flow control of the session that they belong to.
#[derive(Default)]
pub(super) struct CallTable {
    calls: BTreeMap<CallId, PendingCall>,
    by_number: BTreeMap<CallNumber, CallId>,
    queue: BTreeSet<QueueKey>,
    queued_bytes: u64,
    last_sent: CallNumber,
    /// Bytes of all calls sent in the session.
    sent_bytes: u64,
    credit: Credit,
}

impl CallTable {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn queued_bytes(&self) -> u64 {
        self.queued_bytes
    }

    /// How many calls may be in flight by the credit: those that are, and those that may be sent now.
    pub(super) fn credit_capacity(&self) -> u64 {
        let sendable = self.credit.last_call.0.saturating_sub(self.last_sent.0);
        sendable + self.by_number.len() as u64
    }

    /// Adds a call that waits to be sent.
    pub(super) fn enqueue(
        &mut self,
        id: CallId,
        call: Call,
        priority: u32,
        deadline: TenthMillis,
        queue_deadline: TenthMillis,
    ) {
        self.queued_bytes += call.credit_bytes();
        let pending = PendingCall {
            call: Some(call),
            stage: Stage::Queued,
            deadline,
            number: None,
            priority,
            queue_deadline,
        };
        self.queue.insert(pending.queue_key(id));
        self.calls.insert(id, pending);
    }

    /// Removes a call if it is pending. The inner value is its number in the session, if it was sent.
    pub(super) fn remove(&mut self, id: CallId) -> Option<Option<CallNumber>> {
        let pending = self.calls.remove(&id)?;
        self.queue.remove(&pending.queue_key(id));
        self.queued_bytes -= pending.queued_bytes();
        if let Some(number) = pending.number {
            self.by_number.remove(&number);
        }
        Some(pending.number)
    }

    /// The call that was sent with this number, if it is pending.
    pub(super) fn by_number(&self, number: CallNumber) -> Option<CallId> {
        self.by_number.get(&number).copied()
    }

    /// Raises the credit; one that arrives late does not lower it.
    pub(super) fn add_credit(&mut self, credit: Credit) {
        self.credit.last_call = self.credit.last_call.max(credit.last_call);
        self.credit.bytes = self.credit.bytes.max(credit.bytes);
    }

    /// Takes the first call off the queue if credit allows; `one_way` is how long it takes to arrive.
    pub(super) fn next_to_send(
        &mut self,
        now: TenthMillis,
        one_way: TenthMillis,
    ) -> Option<NextCall> {
        let key = *self.queue.first()?;
        let id = key.1;
        let pending = self.calls.get_mut(&id)?;
        let remaining = pending.deadline - now - one_way;
        if remaining <= 0 {
            return Some(NextCall::Expired(id));
        }
        let bytes = pending.queued_bytes();
        if self.last_sent >= self.credit.last_call || self.sent_bytes + bytes > self.credit.bytes {
            return None;
        }
        let call = pending.call.take()?;
        let number = self.last_sent.next();
        (pending.stage, pending.number) = (Stage::Sending, Some(number));
        self.queued_bytes -= bytes;
        self.last_sent = number;
        self.sent_bytes += bytes;
        self.queue.remove(&key);
        self.by_number.insert(number, id);
        Some(NextCall::Send(CallRequest {
            number,
            remaining_ms: to_millis(remaining),
            call,
        }))
    }

    /// The call's frame has been written completely.
    pub(super) fn mark_written(&mut self, number: CallNumber) {
        let pending = self
            .by_number
            .get(&number)
            .and_then(|id| self.calls.get_mut(id));
        if let Some(pending) = pending.filter(|pending| pending.stage == Stage::Sending) {
            pending.stage = Stage::Written;
        }
    }

    /// The connection is gone. Returns the calls that were not written completely, for the caller to remove.
    pub(super) fn on_disconnected(&mut self) -> Vec<CallId> {
        let mut interrupted = Vec::new();
        for (id, pending) in &mut self.calls {
            match pending.stage {
                Stage::Queued => {}
                Stage::Sending => interrupted.push(*id),
                Stage::Written | Stage::Unconfirmed => pending.stage = Stage::Unconfirmed,
            }
        }
        interrupted
    }

    /// Sent calls that the server has not received, given the last one that it has.
    pub(super) fn not_received(&self, last_received: CallNumber) -> Vec<CallId> {
        self.by_number
            .range(last_received.next()..)
            .map(|(_, id)| *id)
            .collect()
    }

    /// The session resumes at the server's counts; all sent calls that remain have been received.
    pub(super) fn resume(&mut self, last_received: CallNumber, received_bytes: u64) {
        for pending in self.calls.values_mut() {
            if pending.stage == Stage::Unconfirmed {
                pending.stage = Stage::Written;
            }
        }
        (self.last_sent, self.sent_bytes) = (last_received, received_bytes);
    }

    /// The last call sent in the session.
    pub(super) fn last_sent(&self) -> CallNumber {
        self.last_sent
    }

    /// All calls that are not queued, each with whether it was written completely.
    pub(super) fn sent_calls(&self) -> Vec<(CallId, bool)> {
        self.calls
            .iter()
            .filter(|(_, pending)| pending.stage != Stage::Queued)
            .map(|(id, pending)| (*id, pending.stage != Stage::Sending))
            .collect()
    }

    /// Begins a new session; queued calls stay, as they belong to none yet.
    pub(super) fn reset_session(&mut self) {
        (self.last_sent, self.sent_bytes) = (CallNumber::default(), 0);
        self.credit = Credit::default();
        self.by_number.clear();
    }

    /// Calls that have waited in the queue for too long.
    pub(super) fn expired(&self, now: TenthMillis) -> Vec<CallId> {
        let expired = |id: &CallId| {
            self.calls
                .get(id)
                .is_none_or(|pending| pending.queue_deadline <= now)
        };
        self.queue
            .iter()
            .map(|(_, id)| *id)
            .filter(expired)
            .collect()
    }

    /// When the first queued call expires.
    pub(super) fn next_queue_deadline(&self) -> Option<TenthMillis> {
        self.queue
            .iter()
            .filter_map(|(_, id)| self.calls.get(id))
            .map(|pending| pending.queue_deadline)
            .min()
    }
}

/// A positive length of time in whole milliseconds, rounded up.
fn to_millis(tenths: TenthMillis) -> u32 {
    let millis = u64::try_from(tenths).unwrap_or(0).div_ceil(TENTHS_PER_MS);
    u32::try_from(millis).unwrap_or(u32::MAX)
}
