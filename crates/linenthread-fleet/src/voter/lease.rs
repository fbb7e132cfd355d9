//! The leader's lease, which proves for a limited time that no other process is the leader.
//!
//! The leader sends requests to its quorum at intervals. The quorum's response proves that no other leader had been
//! elected when the request was sent, and that none can be elected for one election timeout from then on.

use std::collections::VecDeque;

use linenthread_core::interface::TenthMillis;
use linenthread_store::Files;
use raft::{ReadState, StateRole};

use super::Voter;
use super::clock::ELECTION_TIMEOUT;
use super::stage::State;

/// How long the lease lasts from when the confirmed request was sent: shorter than the election timeout, even if the
/// clocks run a tenth too fast or too slow.
const LEASE_DURATION: TenthMillis = ELECTION_TIMEOUT * 3 / 4;
/// Interval of the requests to the quorum.
const RENEW_INTERVAL: TenthMillis = 1_000;
/// Maximum number of requests without a response that are kept.
const MAX_PENDING: usize = 64;

struct PendingRequest {
    number: u64,
    sent_at: TenthMillis,
}

/// A voter's lease and its pending requests.
#[derive(Default)]
pub(super) struct Lease {
    /// Requests to the quorum without a response, oldest first.
    pending: VecDeque<PendingRequest>,
    last_request: u64,
    requested_at: TenthMillis,
    valid_until: TenthMillis,
}

impl Lease {
    pub(super) fn is_valid(&self, now: TenthMillis) -> bool {
        now < self.valid_until
    }

    /// Ends the lease; responses to pending requests still renew it.
    pub(super) fn revoke(&mut self) {
        self.valid_until = 0;
    }

    /// Ends the lease; responses to earlier requests no longer renew it.
    pub(super) fn reset(&mut self) {
        self.pending.clear();
        self.revoke();
    }

    /// Records a new request and returns its number.
    fn add_request(&mut self, now: TenthMillis) -> u64 {
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

    /// Handles the quorum's response to a request: renews the lease, and drops the request and all earlier ones.
    pub(super) fn on_response(&mut self, response: &ReadState) {
        let context = response.request_ctx.as_slice();
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
    /// As the leader, sends a request to the quorum if one is due.
    pub(super) fn renew_lease(&mut self, now: TenthMillis) {
        let State::Active(node) = &mut self.state else {
            return;
        };
        let is_due = now >= self.lease.requested_at + RENEW_INTERVAL;
        if is_due && node.raft.state == StateRole::Leader {
            let number = self.lease.add_request(now);
            node.read_index(number.to_be_bytes().to_vec());
        }
    }
}
