//! The leader lease, which a majority of the voters grants to one node at a time under an epoch.

use std::collections::BTreeSet;
use std::time::Duration;

use linenthread_messages::{LeaseRelease, LeaseReply, LeaseRequest, Value, Voter};
use linenthread_time::Instant;

use crate::epoch::Epoch;
use crate::incarnation::Incarnation;
use crate::node_id::NodeId;
use crate::timing::{LEASE_DURATION, LEASE_MARGIN, LEASE_MILLIS, LEASE_RENEWAL_INTERVAL};
use crate::value_number::ValueNumber;

/// The lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    epoch: Epoch,
    expires_at: Instant,
    /// Number of the value whose voters granted it.
    value_number: ValueNumber,
}

/// The lease that this node, as a voter, granted to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    candidate: NodeId,
    incarnation: Incarnation,
    epoch: Epoch,
    expires_at: Instant,
}

impl Grant {
    fn is_for(&self, candidate: NodeId, incarnation: Incarnation) -> bool {
        (self.candidate, self.incarnation) == (candidate, incarnation)
    }
}

/// Identifier of a lease request within an incarnation of this node, incremented with each request. A reply contains
/// the identifier of its request and counts for no other one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct RequestId(u64);

impl RequestId {
    fn next(self) -> RequestId {
        RequestId(self.0 + 1)
    }
}

/// This node's pending request for the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    id: RequestId,
    epoch: Epoch,
    value_number: ValueNumber,
    sent_at: Instant,
}

/// The result of a reply to this node's lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseProgress {
    /// Nothing changed: no majority has granted the request yet, or the reply is not for a current request that is
    /// still in time.
    Pending,
    /// This node has acquired the lease, which it did not hold before.
    Acquired {
        /// The epoch of the lease.
        epoch: Epoch,
    },
    /// This node already held the lease, and now holds it by grants of the voters of a newer value.
    RenewedAtNewValue,
    /// This node already held the lease at the same value, and has extended it.
    Renewed,
}

/// The parts of the newest decided value that the lease depends on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct NewestValue {
    number: ValueNumber,
    voters: Vec<Voter>,
    /// Number of the value that first named these voters.
    voters_since: ValueNumber,
}

/// One node's state of the leader lease. As a voter the node grants the lease to one candidate at a time; as a
/// candidate it can hold the lease.
///
/// At most one node holds the lease under an epoch, and at most one at any time (*one-lease-holder-per-epoch*). This
/// follows from these rules:
/// - A grant lasts for the lease duration from when the voter received the request. The lease lasts for that
///   duration, less a margin, from when the candidate sent the request, which was earlier.
/// - A voter that has restarted, or has become a voter, grants nothing until all grants that it may not know have
///   expired.
/// - A request is only granted if candidate and voter have the same newest value, and the voter has accepted no other
///   one. Hence the majorities of two candidates are majorities of the same voters.
/// - If the voters change during a lease, fewer than half of the set that granted it have not granted it. Hence a
///   majority of a later set that is smaller by at most one includes a new voter, which does not grant yet: its
///   waiting period began after the later set was decided, when the earlier set had stopped granting.
/// - A set shrinks by one voter at a time, and only by the holder of a lease that the set itself has granted, or
///   after the leases that earlier sets granted have expired ([`LEASE_DURATION`]). Otherwise two consecutive removals
///   could leave a majority that has granted nothing.
/// - The epoch of a new lease is above all epochs of earlier eras (see [`Epoch`]).
///
/// Hence a node may change the voters even if it does not hold the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaderLease {
    incarnation: Incarnation,
    /// The last grant, possibly expired.
    grant: Option<Grant>,
    /// No request is granted before this instant, until which unknown earlier grants may last.
    grants_allowed_from: Instant,
    /// The greatest epoch that this node granted, or that it knows from other nodes.
    epoch: Epoch,
    request: Option<PendingRequest>,
    last_request_id: RequestId,
    granted_by: BTreeSet<NodeId>,
    held: Option<HeldLease>,
    /// The greatest epoch of a lease that this node lost or released. It must not hold the lease under this epoch
    /// again.
    retired_epoch: Epoch,
    newest: NewestValue,
}

impl LeaderLease {
    /// Creates the state of a starting node. `epoch` is the greatest one on its disk. Unless this is the first start
    /// of all nodes (`is_genesis`), an earlier incarnation may have granted the lease, and the node grants nothing
    /// until those grants have expired.
    pub fn new(
        incarnation: Incarnation,
        now: Instant,
        is_genesis: bool,
        epoch: Epoch,
    ) -> LeaderLease {
        LeaderLease {
            incarnation,
            grant: None,
            grants_allowed_from: if is_genesis {
                now
            } else {
                now + LEASE_DURATION
            },
            epoch,
            request: None,
            last_request_id: RequestId::default(),
            granted_by: BTreeSet::new(),
            held: None,
            retired_epoch: Epoch::NONE,
            newest: NewestValue {
                number: ValueNumber::FIRST,
                voters: Vec::new(),
                voters_since: ValueNumber::FIRST,
            },
        }
    }

    /// Returns the epoch under which this node holds the lease, or `None` if it does not hold it.
    pub fn held_epoch(&self, now: Instant) -> Option<Epoch> {
        self.held
            .filter(|held| now < held.expires_at)
            .map(|held| held.epoch)
    }

    /// Returns when the lease of this node expires unless it is renewed, or `None` if it does not hold the lease.
    pub fn expires_at(&self, now: Instant) -> Option<Instant> {
        self.held
            .map(|held| held.expires_at)
            .filter(|expires_at| now < *expires_at)
    }

    /// Reports whether this node holds the lease by grants of the voters that the value of this number names.
    pub fn is_held_at(&self, now: Instant, value_number: ValueNumber) -> bool {
        self.held
            .is_some_and(|held| now < held.expires_at && held.value_number == value_number)
    }

    /// Returns a request for the lease or its renewal, if one is due, to be sent to the voters that the value of this
    /// number names.
    ///
    /// A node that does not hold the lease requests it only if it `is_preferred`: it is the first, in the order of
    /// the value, of the connected voters that may lead. This usually prevents two nodes from competing.
    pub fn tick(
        &mut self,
        now: Instant,
        is_preferred: bool,
        value_number: ValueNumber,
    ) -> Option<LeaseRequest> {
        let holds = self.held_epoch(now).is_some();
        if !holds {
            self.retire_expired();
        }
        if !is_preferred && !holds {
            self.request = None;
            return None;
        }
        let is_current = self.request.as_ref().is_some_and(|pending| {
            now < pending.sent_at + LEASE_RENEWAL_INTERVAL && pending.value_number == value_number
        });
        if is_current {
            return None;
        }
        Some(self.start_request(now, value_number))
    }

    /// Drops an expired lease with its pending renewal, and marks its epoch as not to be used again.
    fn retire_expired(&mut self) {
        if let Some(expired) = self.held.take() {
            self.request = None;
            self.retired_epoch = expired.epoch;
        }
    }

    fn start_request(&mut self, now: Instant, value_number: ValueNumber) -> LeaseRequest {
        let epoch = self.epoch_to_request();
        self.last_request_id = self.last_request_id.next();
        self.request = Some(PendingRequest {
            id: self.last_request_id,
            epoch,
            value_number,
            sent_at: now,
        });
        self.granted_by.clear();
        LeaseRequest {
            epoch: epoch.get(),
            request_id: self.last_request_id.0,
            lease_ms: LEASE_MILLIS,
            incarnation: self.incarnation.get(),
            value_number: value_number.get(),
        }
    }

    /// Returns the epoch of the current lease for a renewal. Otherwise returns an epoch above all that this node
    /// knows and above all earlier eras.
    fn epoch_to_request(&self) -> Epoch {
        let floor = self.epoch.max(Epoch::before_era(self.newest.voters_since));
        match (self.held, &self.request) {
            (Some(held), _) => held.epoch,
            (None, Some(pending)) if pending.epoch > floor => pending.epoch,
            _ => floor.max(self.retired_epoch).next(),
        }
    }

    /// Returns the greatest epoch that this node granted or knows from other nodes. It must be synced to disk before
    /// a grant under a new epoch is sent.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Handles a decided value. If it directly follows the value at which the lease was granted and has the same
    /// voters, the lease counts as granted at the new value.
    pub fn on_decided(&mut self, value: &Value) {
        let (newest, number) = (&self.newest, ValueNumber::of(value));
        let same_voters = newest.number.next() == number && newest.voters == value.voters;
        if let Some(held) = self
            .held
            .as_mut()
            .filter(|held| same_voters && held.value_number == newest.number)
        {
            held.value_number = number;
        }
        self.newest = NewestValue {
            number,
            voters: value.voters.clone(),
            voters_since: ValueNumber::new(value.voters_since),
        };
    }

    /// Reports whether the voters changed in a value after the newest one that this node knows, if this value does
    /// not directly follow that one. This node may have been removed and added again unnoticed, and another node may
    /// have acquired the lease in the meantime.
    pub fn skips_voter_change(&self, value: &Value) -> bool {
        let voters_since = ValueNumber::new(value.voters_since);
        ValueNumber::of(value) > self.newest.number.next() && voters_since > self.newest.number
    }

    /// Handles a decided value with this epoch: no lower epoch is granted from now on.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Blocks grants for [`LEASE_DURATION`] after this node has become a voter, since it does not know the other
    /// voters' grants. If it was a voter before, not even the candidate of its last grant is granted a renewal:
    /// another candidate may have acquired the lease without this node.
    pub fn on_became_voter(&mut self, now: Instant) {
        self.grants_allowed_from = self.grants_allowed_from.max(now + LEASE_DURATION);
    }

    /// Grants or denies a request from another node or from this one. `value_number` is the number of this node's
    /// newest value, or `None` if it has accepted a value that it does not know to be decided. Only a request at the
    /// same value is granted.
    pub fn on_lease_request(
        &mut self,
        now: Instant,
        from: NodeId,
        request: &LeaseRequest,
        value_number: Option<ValueNumber>,
    ) -> LeaseReply {
        let epoch = Epoch::new(request.epoch);
        let incarnation = Incarnation::new(request.incarnation);
        let same_value = value_number == Some(ValueNumber::new(request.value_number));
        let granted = same_value && self.may_grant(now, from, incarnation, epoch);
        if granted {
            let requested = Duration::from_millis(u64::from(request.lease_ms));
            self.grant = Some(Grant {
                candidate: from,
                incarnation,
                epoch,
                expires_at: now + requested.min(LEASE_DURATION),
            });
            self.epoch = epoch;
        }
        LeaseReply {
            epoch: self.epoch.get(),
            request_id: request.request_id,
            granted,
        }
    }

    /// Reports whether a request may be granted. The candidate of the current grant may renew it, also under a new
    /// epoch. Otherwise two candidates with some of the grants each would repeatedly wait for the other's grants to
    /// expire. A new incarnation of the candidate needs a new epoch.
    fn may_grant(
        &self,
        now: Instant,
        candidate: NodeId,
        incarnation: Incarnation,
        epoch: Epoch,
    ) -> bool {
        if now < self.grants_allowed_from {
            return false;
        }
        let renews = self
            .grant
            .is_some_and(|grant| grant.is_for(candidate, incarnation));
        if renews && epoch >= self.epoch {
            return true;
        }
        let same_candidate = self.grant.is_some_and(|grant| grant.candidate == candidate);
        let expired = self.grant.is_none_or(|grant| now >= grant.expires_at);
        epoch > self.epoch && (same_candidate || expired)
    }

    /// Handles a voter's reply to this node's request, if the request was at the value of this number.
    pub fn on_lease_reply(
        &mut self,
        now: Instant,
        from: NodeId,
        reply: &LeaseReply,
        value_number: ValueNumber,
        is_majority: impl Fn(&BTreeSet<NodeId>) -> bool,
    ) -> LeaseProgress {
        let Some(pending) = &self.request else {
            return LeaseProgress::Pending;
        };
        let expires_at = pending.sent_at + LEASE_DURATION.saturating_sub(LEASE_MARGIN);
        // The process may have been suspended since the request was sent. An expired lease must not be acquired again
        // under the same epoch.
        let expired = now >= expires_at || self.held.is_some_and(|held| now >= held.expires_at);
        let is_current =
            RequestId(reply.request_id) == pending.id && pending.value_number == value_number;
        if !is_current || expired {
            return LeaseProgress::Pending;
        }
        if !reply.granted {
            self.on_denied(reply);
            return LeaseProgress::Pending;
        }
        let epoch = pending.epoch;
        self.granted_by.insert(from);
        if !is_majority(&self.granted_by) {
            return LeaseProgress::Pending;
        }
        let previous = self.held.replace(HeldLease {
            epoch,
            expires_at,
            value_number,
        });
        match previous {
            None => LeaseProgress::Acquired { epoch },
            Some(held) if held.value_number != value_number => LeaseProgress::RenewedAtNewValue,
            Some(_) => LeaseProgress::Renewed,
        }
    }

    /// Cancels the pending request if the voter already knows the requested epoch or a higher one to be in use, unless
    /// this node holds the lease. The next request uses a higher epoch, and grants of the cancelled one no longer
    /// count.
    fn on_denied(&mut self, reply: &LeaseReply) {
        let granted_epoch = Epoch::new(reply.epoch);
        let is_outdated = self
            .request
            .as_ref()
            .is_some_and(|pending| granted_epoch >= pending.epoch);
        if self.held.is_none() && is_outdated {
            self.epoch = self.epoch.max(granted_epoch);
            self.request = None;
        }
    }

    /// Releases the lease and cancels a pending request. This node will not hold the lease again under any epoch that
    /// it has requested so far. Returns the message to send to all voters, including this node, or `None` if this
    /// node neither holds the lease nor has requested it.
    pub fn release(&mut self) -> Option<LeaseRelease> {
        let requested = self.request.take().map(|pending| pending.epoch);
        let held = self.held.take().map(|held| held.epoch);
        let epoch = requested.max(held)?;
        self.granted_by.clear();
        self.retired_epoch = self.retired_epoch.max(epoch);
        Some(LeaseRelease {
            epoch: epoch.get(),
            incarnation: self.incarnation.get(),
        })
    }

    /// Handles the release of the lease by the node `from`: ends this voter's grant to it, so that another candidate
    /// can be granted the lease immediately. Reports whether a grant ended.
    ///
    /// This preserves *one-lease-holder-per-epoch*. Only the lease holder itself sends the message, for its own
    /// incarnation, after [`LeaderLease::release`]; from then on it requests only epochs above the released one.
    /// Grants that this incarnation received up to that epoch cannot make it hold the lease again, since a grant
    /// counts only for the current request, which is cancelled. However late the message arrives, it never ends a
    /// grant under a later epoch. Nor does it shorten the waiting period after a restart or after becoming a voter,
    /// which covers grants that this incarnation does not know.
    pub fn on_release(&mut self, from: NodeId, release: &LeaseRelease) -> bool {
        let released = Epoch::new(release.epoch);
        let incarnation = Incarnation::new(release.incarnation);
        let ended = self
            .grant
            .is_some_and(|grant| grant.is_for(from, incarnation) && grant.epoch <= released);
        if ended {
            self.grant = None;
            // A request that was sent before the release but arrives after it must not be granted.
            self.epoch = self.epoch.max(released);
        }
        ended
    }
}
