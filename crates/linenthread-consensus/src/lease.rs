use std::collections::BTreeSet;

use linenthread_messages::{LeaseRequest, LeaseVote};

/// A support is given for so long, from when it is heard; the holder counts from when it asked.
const LEASE: u64 = 2_000;
/// The holder asks anew after so long, and gives up its lease so much before the lease ends.
const RENEW: u64 = 450;
const EARLY: u64 = 200;

#[derive(Clone, Copy)]
struct Held {
    epoch: u64,
    until: u64,
    /// The value whose disks gave the support.
    on: u64,
}

/// One machine's part in the leader lease: it supports one holder at a time, and may hold it itself.
pub struct LeaderLease {
    id: u64,
    life: u64,
    /// Which disk's machine it supports, in which life, under which epoch and until when; nobody new before then.
    supports: Option<(u64, u64)>,
    epoch: u64,
    until: u64,
    /// What it asks for itself, and since when.
    asks: Option<(LeaseRequest, u64)>,
    words: u64,
    yes: BTreeSet<u64>,
    held: Option<Held>,
    /// The last epoch that it held and lost.
    past: u64,
}

impl LeaderLease {
    /// Whom an earlier life supported is not known any more, only under which epoch: nobody new is supported
    /// until that has ended.
    pub fn new(id: u64, life: u64, now: u64, first_of_all: bool, epoch: u64) -> LeaderLease {
        let until = if first_of_all { now } else { now + LEASE };
        LeaderLease {
            id,
            life,
            supports: None,
            epoch,
            until,
            asks: None,
            words: 0,
            yes: BTreeSet::new(),
            held: None,
            past: 0,
        }
    }

    /// The epoch under which this machine holds the lease now.
    pub fn holds(&self, now: u64) -> Option<u64> {
        self.held.filter(|held| now < held.until).map(|held| held.epoch)
    }

    /// Whether it holds it by the support of those whom the value of this number names. Only then may it change
    /// who they are, *one-holder-an-epoch*.
    pub fn holds_on(&self, now: u64, number: u64) -> bool {
        self.held.is_some_and(|held| now < held.until && held.on == number)
    }

    /// Asks for the lease, or for more time, of those whom the value of this number names; `first` says that
    /// nobody before it in the order is in touch.
    pub fn tick(&mut self, now: u64, first: bool, number: u64) -> Option<LeaseRequest> {
        let holds = self.holds(now).is_some();
        if let Some(held) = self.held.filter(|_| !holds) {
            (self.held, self.asks, self.past) = (None, None, held.epoch);
        }
        if !first && !holds {
            self.asks = None;
            return None;
        }
        if self.asks.as_ref().is_some_and(|(ask, at)| now < at + RENEW && ask.on == number) {
            return None;
        }
        let epoch = match (self.held, &self.asks) {
            (Some(held), _) => held.epoch,
            (None, Some((ask, _))) if ask.epoch > self.epoch => ask.epoch,
            _ => self.epoch.max(self.past) + 1,
        };
        self.words += 1;
        let (asked, life) = (self.words, self.life);
        let ask = LeaseRequest { epoch, asked, lease_ms: LEASE as u32, life, on: number };
        self.asks = Some((ask.clone(), now));
        self.yes.clear();
        Some(ask)
    }

    /// The greatest epoch that was supported, to be synced before a support under a new one is said.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A value is decided: nothing below its epoch is supported. A disk that counts only from now on has not been
    /// asked so far, and supports nobody while others' earlier support may last.
    pub fn decided(&mut self, now: u64, epoch: u64, counts_anew: bool) {
        self.epoch = self.epoch.max(epoch);
        if counts_anew {
            self.until = self.until.max(now + LEASE);
        }
    }

    /// Another's wish, or its own, where the newest value here has this number; none while another value is in
    /// doubt. Both must have the same one.
    pub fn on_lease_request(
        &mut self,
        now: u64,
        from: u64,
        w: &LeaseRequest,
        number: Option<u64>,
    ) -> LeaseVote {
        // Who is supported may go on, under a new epoch as well: two that wait for each other's leases to end
        // would else never end together. A new life of it needs an epoch of its own.
        let same = self.supports == Some((from, w.life)) && w.epoch >= self.epoch;
        let again = self.supports.is_some_and(|(disk, _)| disk == from) || now >= self.until;
        let yes = number == Some(w.on) && (same || again && w.epoch > self.epoch);
        if yes {
            (self.supports, self.epoch) = (Some((from, w.life)), w.epoch);
            self.until = now + u64::from(w.lease_ms).min(LEASE);
        }
        LeaseVote { epoch: self.epoch, asked: w.asked, yes }
    }

    /// An answer; true if the lease is this machine's from now on, or by the support that this value asks for,
    /// and was not before.
    pub fn on_lease_vote(
        &mut self,
        now: u64,
        from: u64,
        w: &LeaseVote,
        number: u64,
        most: impl Fn(Vec<u64>) -> bool,
    ) -> bool {
        let Some((ask, at)) = &self.asks else { return false };
        // What has lapsed is not held again under the same epoch.
        if w.asked != ask.asked || ask.on != number || self.held.is_some_and(|held| now >= held.until) {
            return false;
        }
        if !w.yes {
            // Another epoch is ahead: the next word asks above it, and what was said to this one is void.
            if self.held.is_none() && w.epoch >= ask.epoch {
                self.epoch = self.epoch.max(w.epoch);
                self.asks = None;
            }
            return false;
        }
        self.yes.insert(from);
        if !most(self.yes.iter().copied().collect()) {
            return false;
        }
        let new = self.held.is_none_or(|held| held.on != number);
        self.held = Some(Held { epoch: ask.epoch, until: *at + LEASE - EARLY, on: ask.on });
        new
    }

    pub fn id(&self) -> u64 {
        self.id
    }
}
