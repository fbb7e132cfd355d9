//! One shard's part in a merge: what it is asked for, what has been received of it, or why it is missing.
//!
//! A sub-request has a *continuation* number, 0 at first; asking the shard for more begins the next. Transitions:
//!
//! | sub-request | event | next |
//! | --- | --- | --- |
//! | waiting, continuation c | a valid value of continuation c | received |
//! | waiting, continuation c | an invalid one | as before: it has failed, and is reported so if nothing better arrives |
//! | received | a second value of its continuation | compared and dropped: the first one counts |
//! | received | the page lacks its further rows, and all others are received | waiting, continuation c + 1; what it has counts |
//! | any | a value of an earlier continuation | dropped; compared if it is the last one received |

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash as _, Hasher};

use crate::query::QueriedShard;

/// Why a shard is missing from a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MissingReason {
    /// It has not responded.
    Unanswered,
    /// It failed, or could not be asked.
    Failed,
    /// Its value is not valid.
    Unreadable,
}

/// What a value is to a sub-request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// The sub-request waits for it.
    Awaited,
    /// Another value counts.
    Duplicate {
        /// This one is not the same.
        differs: bool,
    },
}

/// The value last received of a sub-request.
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
    /// Why nothing is received, as long as that is so.
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

    /// Why the shard is missing; `None` if it is not, even where it lacks a later continuation.
    pub(crate) fn missing_reason(&self) -> Option<MissingReason> {
        (!self.is_received()).then_some(self.missing_reason)
    }

    /// How many times the shard has been asked for more.
    pub(crate) fn continuation(&self) -> u32 {
        self.continuation
    }

    /// Whether its present continuation has been answered.
    pub(crate) fn is_current(&self) -> bool {
        self.received
            .is_some_and(|received| received.continuation == self.continuation)
    }

    /// What a value is that answers a continuation.
    pub(crate) fn classify(&self, continuation: u32, value: &str) -> Arrival {
        if let Some(received) = self.received
            && continuation <= received.continuation
        {
            let is_last = continuation == received.continuation;
            let differs = is_last && received.hash != hash_of(value);
            return Arrival::Duplicate { differs };
        }
        if continuation == self.continuation {
            Arrival::Awaited
        } else {
            // Nothing is known of a continuation that was not asked for.
            Arrival::Duplicate { differs: false }
        }
    }

    /// The value that was awaited has been merged.
    pub(crate) fn on_received(&mut self, value: &str) {
        self.received = Some(ReceivedValue {
            continuation: self.continuation,
            hash: hash_of(value),
        });
    }

    /// An attempt has ended without a value that can be merged.
    pub(crate) fn on_failed(&mut self, reason: MissingReason) {
        self.missing_reason = reason;
    }

    /// The shard is to be asked for more.
    pub(crate) fn begin_continuation(&mut self) {
        self.continuation += 1;
    }
}

fn hash_of(value: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
