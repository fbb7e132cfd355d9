//! The requests for a retry quota that were sent recently.

use std::collections::VecDeque;

use linenthread_control::QuotaRequestNumber;
use linenthread_time::Instant;

/// How many requests are remembered; grants for older ones are of no use any more.
const MAX_REMEMBERED: usize = 64;

struct QuotaRequest {
    number: QuotaRequestNumber,
    sent_at: Instant,
}

/// When each request for a quota was sent. A grant counts from then: that was before it was given, so it never lasts
/// longer here than where it was given.
#[derive(Default)]
pub(super) struct QuotaRequests {
    last_number: QuotaRequestNumber,
    recent: VecDeque<QuotaRequest>,
}

impl QuotaRequests {
    /// The number of a request that is sent now.
    pub(super) fn next(&mut self, now: Instant) -> QuotaRequestNumber {
        self.last_number = self.last_number.next();
        self.recent.push_back(QuotaRequest {
            number: self.last_number,
            sent_at: now,
        });
        if self.recent.len() > MAX_REMEMBERED {
            self.recent.pop_front();
        }
        self.last_number
    }

    /// When a request was sent, if it is remembered.
    pub(super) fn sent_at(&self, number: QuotaRequestNumber) -> Option<Instant> {
        self.recent
            .iter()
            .find(|request| request.number == number)
            .map(|request| request.sent_at)
    }
}
