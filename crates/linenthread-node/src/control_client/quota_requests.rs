//! The recently sent requests for a retry quota.

use std::collections::VecDeque;

use linenthread_control::QuotaRequestNumber;
use linenthread_time::Instant;

/// How many requests are remembered. Grants for older requests are ignored.
const MAX_REMEMBERED: usize = 64;

struct QuotaRequest {
    number: QuotaRequestNumber,
    sent_at: Instant,
}

/// The send times of recent quota requests. The duration of a grant is counted from the send time of its request, which
/// precedes the grant, so the grant never lasts longer on this node than on the node that granted it.
#[derive(Default)]
pub(super) struct QuotaRequests {
    last_number: QuotaRequestNumber,
    recent: VecDeque<QuotaRequest>,
}

impl QuotaRequests {
    /// Records a request that is sent now, and returns its number.
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

    /// Returns when a request was sent, if it is remembered.
    pub(super) fn sent_at(&self, number: QuotaRequestNumber) -> Option<Instant> {
        self.recent
            .iter()
            .find(|request| request.number == number)
            .map(|request| request.sent_at)
    }
}
