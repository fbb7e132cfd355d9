use std::collections::BTreeSet;
use std::time::Duration;

use linenthread_messages::{LeaseRelease, LeaseRequest, LeaseVote, Value, Voter};
use linenthread_time::Instant;

/// A vote supports the holder for so long, from when the voter hears the request; the holder counts from
/// when it asked.
const LEASE_MS: u32 = 2_000;
const LEASE: Duration = Duration::from_millis(LEASE_MS as u64);
/// The holder asks anew after so long, and gives up its lease so much before the lease ends.
const RENEW: Duration = Duration::from_millis(450);
const EARLY: Duration = Duration::from_millis(200);

/// The lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    epoch: u64,
    until: Instant,
    /// Number of the value whose voters gave it.
    on: u64,
}

/// Whom this node supports as a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Support {
    holder: u64,
    incarnation: u64,
    epoch: u64,
    until: Instant,
}

/// One node's part in the leader lease: as a voter it supports one holder at a time, and it may hold the lease
/// itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaderLease {
    id: u64,
    incarnation: u64,
    /// The last support that was given; over when its time is.
    support: Option<Support>,
    /// Nobody new is supported before then: support of which this incarnation does not know may last so long.
    quiet_until: Instant,
    /// The greatest epoch that was supported, or under which others are known to be.
    epoch: u64,
    /// What it asks for itself, and since when.
    request: Option<(LeaseRequest, Instant)>,
    request_count: u64,
    votes: BTreeSet<u64>,
    held: Option<Held>,
    /// The last epoch that it held and lost, or asked for and released.
    past_epoch: u64,
    /// The newest value's number, and whom it names.
    newest: (u64, Vec<Voter>),
}

impl LeaderLease {
    /// Whom an earlier incarnation supported is not known any more, only under which epoch: nobody new is supported
    /// until that has ended.
    pub fn new(
        id: u64,
        incarnation: u64,
        now: Instant,
        first_of_all: bool,
        epoch: u64,
    ) -> LeaderLease {
        LeaderLease {
            id,
            incarnation,
            support: None,
            quiet_until: if first_of_all { now } else { now + LEASE },
            epoch,
            request: None,
            request_count: 0,
            votes: BTreeSet::new(),
            held: None,
            past_epoch: 0,
            newest: (0, Vec::new()),
        }
    }

    /// The epoch under which this node holds the lease now.
    pub fn holds(&self, now: Instant) -> Option<u64> {
        self.held
            .filter(|held| now < held.until)
            .map(|held| held.epoch)
    }

    /// Whether it holds it by the votes of those whom the value of this number names. Only then may it change
    /// who they are, *one-holder-an-epoch*.
    pub fn holds_on(&self, now: Instant, number: u64) -> bool {
        self.held
            .is_some_and(|held| now < held.until && held.on == number)
    }

    /// Asks for the lease, or for more time, of those whom the value of this number names; `first` says that
    /// nobody before it in the order is in touch.
    pub fn tick(&mut self, now: Instant, first: bool, number: u64) -> Option<LeaseRequest> {
        let holds = self.holds(now).is_some();
        if let Some(held) = self.held.filter(|_| !holds) {
            (self.held, self.request, self.past_epoch) = (None, None, held.epoch);
        }
        if !first && !holds {
            self.request = None;
            return None;
        }
        if self
            .request
            .as_ref()
            .is_some_and(|(request, at)| now < *at + RENEW && request.value_number == number)
        {
            return None;
        }
        let epoch = self.epoch_to_ask();
        self.request_count += 1;
        let (asked, incarnation) = (self.request_count, self.incarnation);
        let request = LeaseRequest {
            epoch,
            request_id: asked,
            lease_ms: LEASE_MS,
            incarnation,
            value_number: number,
        };
        self.request = Some((request.clone(), now));
        self.votes.clear();
        Some(request)
    }

    fn epoch_to_ask(&self) -> u64 {
        match (self.held, &self.request) {
            (Some(held), _) => held.epoch,
            (None, Some((request, _))) if request.epoch > self.epoch => request.epoch,
            _ => self.epoch.max(self.past_epoch) + 1,
        }
    }

    /// The greatest epoch that was supported, to be synced before a support under a new one is said.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// This value follows the one before: a lease that was given by the same voters holds on it as well, so that
    /// orders which come without a pause do not keep the holder from changing who votes.
    pub fn follow(&mut self, value: &Value) {
        let (number, voters) = &self.newest;
        let same = number + 1 == value.number && *voters == value.voters;
        if let Some(held) = self.held.as_mut().filter(|held| same && held.on == *number) {
            held.on = value.number;
        }
        self.newest = (value.number, value.voters.clone());
    }

    /// Whether the voters changed between the newest value here and this one, in values that this node passes over: it
    /// may have been taken off and counted again without knowing, and others may have come to hold the lease.
    pub fn misses_change_of_voters(&self, value: &Value) -> bool {
        let (number, _) = &self.newest;
        value.number > number + 1 && value.voters_since > *number
    }

    /// A value is decided: nothing below its epoch is supported. A disk that counts only from now on has not been
    /// asked so far, and supports nobody while others' earlier support may last: not even whom it supported when it
    /// last counted, since another may have come to hold the lease without it.
    pub fn decided(&mut self, now: Instant, epoch: u64, counts_anew: bool) {
        self.epoch = self.epoch.max(epoch);
        if counts_anew {
            self.quiet_until = self.quiet_until.max(now + LEASE);
        }
    }

    /// A request of another node, or its own, where the newest value here has this number; none while another
    /// value is in doubt. Both must have the same one.
    pub fn on_lease_request(
        &mut self,
        now: Instant,
        from: u64,
        request: &LeaseRequest,
        number: Option<u64>,
    ) -> LeaseVote {
        let yes = number == Some(request.value_number) && self.may_support(now, from, request);
        if yes {
            let until = now + Duration::from_millis(u64::from(request.lease_ms)).min(LEASE);
            let (incarnation, epoch) = (request.incarnation, request.epoch);
            self.support = Some(Support {
                holder: from,
                incarnation,
                epoch,
                until,
            });
            self.epoch = epoch;
        }
        LeaseVote {
            epoch: self.epoch,
            request_id: request.request_id,
            granted: yes,
        }
    }

    /// Whom one supports may go on, under a new epoch as well: two that wait for each other's leases to end would
    /// else never end together. A new incarnation of it needs an epoch of its own.
    fn may_support(&self, now: Instant, from: u64, request: &LeaseRequest) -> bool {
        if now < self.quiet_until {
            return false;
        }
        let same_life =
            |support: Support| (support.holder, support.incarnation) == (from, request.incarnation);
        if self.support.is_some_and(same_life) && request.epoch >= self.epoch {
            return true;
        }
        let same_holder = self.support.is_some_and(|support| support.holder == from);
        let lapsed = self.support.is_none_or(|support| now >= support.until);
        request.epoch > self.epoch && (same_holder || lapsed)
    }

    /// An answer; true if the lease is this node's from now on, or by the votes that this value asks for, and
    /// was not before.
    pub fn on_lease_vote(
        &mut self,
        now: Instant,
        from: u64,
        vote: &LeaseVote,
        number: u64,
        is_majority: impl Fn(Vec<u64>) -> bool,
    ) -> bool {
        let Some((request, asked_at)) = &self.request else {
            return false;
        };
        let until = *asked_at + LEASE.saturating_sub(EARLY);
        // A vote for a request whose time is over gives nothing: the node may have been frozen meanwhile. What
        // has lapsed is not held again under the same epoch.
        let lapsed = now >= until || self.held.is_some_and(|held| now >= held.until);
        if vote.request_id != request.request_id || request.value_number != number || lapsed {
            return false;
        }
        if !vote.granted {
            self.on_refusal(vote);
            return false;
        }
        let (epoch, on) = (request.epoch, request.value_number);
        self.votes.insert(from);
        if !is_majority(self.votes.iter().copied().collect()) {
            return false;
        }
        let new = self.held.is_none_or(|held| held.on != number);
        self.held = Some(Held { epoch, until, on });
        new
    }

    /// Another epoch is ahead: the next request asks above it, and votes for this one are void.
    fn on_refusal(&mut self, vote: &LeaseVote) {
        let behind = self
            .request
            .as_ref()
            .is_some_and(|(request, _)| vote.epoch >= request.epoch);
        if self.held.is_none() && behind {
            self.epoch = self.epoch.max(vote.epoch);
            self.request = None;
        }
    }

    /// The holder leaves: from now on it holds nothing, and never again under any epoch that it asked for so far.
    /// What is returned goes to all voters, itself too; none if it neither holds the lease nor has asked for it.
    pub fn release(&mut self) -> Option<LeaseRelease> {
        let asked = self.request.take().map(|(request, _)| request.epoch);
        let held = self.held.take().map(|held| held.epoch);
        let epoch = asked.max(held)?;
        self.votes.clear();
        self.past_epoch = self.past_epoch.max(epoch);
        Some(LeaseRelease {
            epoch,
            incarnation: self.incarnation,
        })
    }

    /// The node `from` has released the lease: whoever supports it may support another at once. Returns whether
    /// a support ended.
    ///
    /// Why this keeps *one-holder-an-epoch*: only the holder itself says it, of its own incarnation, after [`release`]
    /// has put the lease down; from then on it asks only above `epoch`. So no vote that was given to this incarnation up to
    /// `epoch` can make it hold again: a vote counts only for the request on hand, and that is gone. A support
    /// under a later epoch of the same incarnation is not ended by it, however late the message comes; neither is the
    /// quiet time after a start or after joining, which stands for support that this incarnation does not know of.
    ///
    /// [`release`]: LeaderLease::release
    pub fn on_release(&mut self, from: u64, release: &LeaseRelease) -> bool {
        let released = |support: &Support| {
            (support.holder, support.incarnation) == (from, release.incarnation)
                && support.epoch <= release.epoch
        };
        let ended = self.support.as_ref().is_some_and(released);
        if ended {
            self.support = None;
            // A request of before, should it come yet, finds its epoch used up.
            self.epoch = self.epoch.max(release.epoch);
        }
        ended
    }

    /// The name of this node's disk.
    pub fn id(&self) -> u64 {
        self.id
    }
}
