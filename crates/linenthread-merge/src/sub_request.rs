//! The state of one sub-request in a merge: whether its shard has responded, or why the shard is missing.
//!
//! A sub-request has a *continuation* number, initially 0; asking the shard for more begins the next continuation.
//! Transitions:
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | waiting, continuation c | a valid value of continuation c | received |
//! | waiting, continuation c | an invalid value of continuation c | unchanged; while nothing is received, the shard is reported as unreadable |
//! | received | another value of the same continuation | unchanged; the value is compared with the first and dropped |
//! | received | all others are received, and the page needs more of its rows | waiting, continuation c + 1; the rows received so far remain merged |
//! | any | a value of an earlier continuation | unchanged; the value is dropped, and compared if that continuation was the last one received |

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash as _, Hasher};

use crate::query::QueriedShard;

/// The reason why a shard is missing from a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MissingReason {
    /// The shard has not responded.
    Unanswered,
    /// The sub-request failed or could not be sent.
    Failed,
    /// The shard's value is not valid.
    Unreadable,
}

/// The role of a received value for a sub-request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ValueKind {
    /// The value answers the current continuation.
    Expected,
    /// The value is to be dropped, as its continuation is not waiting for one.
    Duplicate {
        /// It differs from the value that was merged for its continuation, as far as that is still known.
        differs: bool,
    },
}

/// The last merged value of a sub-request.
#[derive(Clone, Copy)]
struct ReceivedValue {
    continuation: u32,
    hash: u64,
}

pub(crate) struct SubRequest {
    pub(crate) shard: usize,
    pub(crate) weight: f64,
    continuation: u32,
    received: Option<ReceivedValue>,
    /// The reason that applies while nothing has been received.
    missing_reason: MissingReason,
}

impl SubRequest {
    pub(crate) fn new(queried: QueriedShard) -> SubRequest {
        SubRequest {
            shard: queried.shard,
            weight: queried.weight,
            continuation: 0,
            received: None,
            missing_reason: MissingReason::Unanswered,
        }
    }

    pub(crate) fn is_received(&self) -> bool {
        self.received.is_some()
    }

    /// Returns why the shard is missing; `None` if any continuation was answered.
    pub(crate) fn missing_reason(&self) -> Option<MissingReason> {
        (!self.is_received()).then_some(self.missing_reason)
    }

    /// Returns the number of times that the shard has been asked for more.
    pub(crate) fn continuation(&self) -> u32 {
        self.continuation
    }

    /// Reports whether the current continuation has been answered.
    pub(crate) fn is_current(&self) -> bool {
        self.received
            .is_some_and(|received| received.continuation == self.continuation)
    }

    /// Classifies a value that answers a continuation.
    pub(crate) fn classify(&self, continuation: u32, value: &str) -> ValueKind {
        if let Some(received) = self.received
            && continuation <= received.continuation
        {
            let is_last = continuation == received.continuation;
            let differs = is_last && received.hash != hash_of(value);
            return ValueKind::Duplicate { differs };
        }
        if continuation == self.continuation {
            ValueKind::Expected
        } else {
            // There is no value of this continuation to compare with.
            ValueKind::Duplicate { differs: false }
        }
    }

    /// Records that the value of the current continuation has been merged.
    pub(crate) fn on_received(&mut self, value: &str) {
        self.received = Some(ReceivedValue {
            continuation: self.continuation,
            hash: hash_of(value),
        });
    }

    /// Records that an attempt has ended without a value that can be merged.
    pub(crate) fn on_failed(&mut self, reason: MissingReason) {
        self.missing_reason = reason;
    }

    /// Begins the next continuation, in which the shard is to be asked for more.
    pub(crate) fn begin_continuation(&mut self) {
        self.continuation += 1;
    }
}

fn hash_of(value: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
