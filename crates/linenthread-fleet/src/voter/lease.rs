//! The leader's lease: proof that no other process leads, for a limited time.
//!
//! The leader asks its quorum at intervals. An answer proves that no other leader was elected when the question was
//! sent, and none can be elected for an election time-out from then on.

use std::collections::VecDeque;

use linenthread_core::interface::TenthMillis;
use linenthread_store::Files;
use raft::{ReadState, StateRole};

use super::Voter;
use super::clock::ELECTION_TIMEOUT;
use super::stage::State;

/// How long a quorum's answer is valid, from when it was asked: less than an election takes on clocks that differ by
/// a tenth either way.
const LEASE_DURATION: TenthMillis = ELECTION_TIMEOUT * 3 / 4;
/// How often the quorum is asked.
const RENEW_INTERVAL: TenthMillis = 1_000;
/// The most requests without an answer that are remembered.
const MAX_PENDING: usize = 64;

struct PendingRequest {
    number: u64,
    sent_at: TenthMillis,
}

/// The state of the lease at one voter.
#[derive(Default)]
pub(super) struct Lease {
    /// Requests to the quorum without an answer, oldest first.
    pending: VecDeque<PendingRequest>,
    last_request: u64,
    requested_at: TenthMillis,
    valid_until: TenthMillis,
}

impl Lease {
    pub(super) fn is_valid(&self, now: TenthMillis) -> bool {
        now < self.valid_until
    }

    /// Ends the lease; answers that are under way still count.
    pub(super) fn revoke(&mut self) {
        self.valid_until = 0;
    }

    /// Ends the lease, and answers to earlier requests do not count any more.
    pub(super) fn reset(&mut self) {
        self.pending.clear();
        self.revoke();
    }

    /// The number of a new request.
    fn request(&mut self, now: TenthMillis) -> u64 {
        self.requested_at = now;
        self.last_request += 1;
        self.pending.push_back(PendingRequest {
            number: self.last_request,
            sent_at: now,
        });
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
        self.last_request
    }

    /// The quorum has answered: the request and all before it are done.
    pub(super) fn on_answer(&mut self, answer: &ReadState) {
        let context = answer.request_ctx.as_slice();
        let number = context.try_into().map_or(0, u64::from_be_bytes);
        while let Some(request) = self
            .pending
            .pop_front_if(|request| request.number <= number)
        {
            if request.number == number {
                self.valid_until = self.valid_until.max(request.sent_at + LEASE_DURATION);
            }
        }
    }
}

impl<F: Files> Voter<F> {
    /// Asks the quorum whether this process still leads, at intervals.
    pub(super) fn renew_lease(&mut self, now: TenthMillis) {
        let State::Active(node) = &mut self.state else {
            return;
        };
        let is_due = now >= self.lease.requested_at + RENEW_INTERVAL;
        if is_due && node.raft.state == StateRole::Leader {
            let number = self.lease.request(now);
            node.read_index(number.to_be_bytes().to_vec());
        }
    }
}
