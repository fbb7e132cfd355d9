use std::collections::BTreeMap;

use valentia::{DutyAsk, DutySay};

/// A support is given for so long, from when it is heard; the holder counts from when it asked.
const LEASE: u64 = 2_000;
/// The holder asks anew after so long, and gives up its duty so much before the lease ends.
const RENEW: u64 = 450;
const EARLY: u64 = 200;

/// One machine's part in the lease of a duty: it supports one holder at a time, and may hold it itself.
pub struct Duty {
    id: u64,
    /// Whom it supports, under which epoch and until when; nobody new before then.
    supports: Option<u64>,
    epoch: u64,
    until: u64,
    /// What it asks for itself: epoch, the word's number, when it was said.
    asks: Option<(u64, u64, u64)>,
    words: u64,
    yes: BTreeMap<u64, u64>,
    held: Option<(u64, u64)>,
    /// The last epoch that it held and lost.
    past: u64,
}

impl Duty {
    /// Whom an earlier life supported is not known any more, only under which epoch: nobody new is supported
    /// until that has ended.
    pub fn new(id: u64, now: u64, first_of_all: bool, epoch: u64) -> Duty {
        let until = if first_of_all { now } else { now + LEASE };
        Duty {
            id,
            supports: None,
            epoch,
            until,
            asks: None,
            words: 0,
            yes: BTreeMap::new(),
            held: None,
            past: 0,
        }
    }

    /// The epoch under which this machine holds the duty now.
    pub fn holds(&self, now: u64) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(epoch, _)| epoch)
    }

    /// Asks for the duty, or for more time; `first` says that nobody before it in the order is in touch.
    pub fn tick(&mut self, now: u64, first: bool) -> Option<DutyAsk> {
        let holds = self.holds(now).is_some();
        if let Some((epoch, _)) = self.held.filter(|_| !holds) {
            (self.held, self.asks, self.past) = (None, None, epoch);
        }
        if !first && !holds {
            self.asks = None;
            return None;
        }
        if self.asks.is_some_and(|(_, _, at)| now < at + RENEW) {
            return None;
        }
        let epoch = match (self.held, self.asks) {
            (Some((epoch, _)), _) => epoch,
            (None, Some((epoch, _, _))) if epoch > self.epoch => epoch,
            _ => self.epoch.max(self.past) + 1,
        };
        self.words += 1;
        self.asks = Some((epoch, self.words, now));
        self.yes.clear();
        Some(DutyAsk { epoch, asked: self.words, lease_ms: LEASE as u32 })
    }

    /// The greatest epoch that was supported, to be synced before a support under a new one is said.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn hear_ask(&mut self, now: u64, from: u64, w: &DutyAsk) -> DutySay {
        // Who is supported may go on, under a new epoch as well: two that wait for each other's leases to end
        // would else never end together.
        let same = self.supports == Some(from) && w.epoch >= self.epoch;
        let yes = same || (now >= self.until && w.epoch > self.epoch);
        if yes {
            (self.supports, self.epoch) = (Some(from), w.epoch);
            self.until = now + u64::from(w.lease_ms).min(LEASE);
        }
        DutySay { epoch: self.epoch, asked: w.asked, yes }
    }

    /// An answer; true if the duty is this machine's from now on and was not before.
    pub fn hear_say(&mut self, now: u64, from: u64, w: &DutySay, most: impl Fn(Vec<u64>) -> bool) -> bool {
        let Some((epoch, asked, at)) = self.asks else { return false };
        // What has lapsed is not held again under the same epoch.
        if w.asked != asked || self.held.is_some_and(|(_, until)| now >= until) {
            return false;
        }
        if !w.yes {
            // Another epoch is ahead: the next word asks above it.
            if self.held.is_none() && w.epoch >= epoch {
                self.epoch = self.epoch.max(w.epoch);
                self.asks = Some((w.epoch + 1, asked, at));
            }
            return false;
        }
        self.yes.insert(from, now);
        if !most(self.yes.keys().copied().collect()) {
            return false;
        }
        let new = self.holds(now).is_none();
        self.held = Some((epoch, at + LEASE - EARLY));
        new
    }

    pub fn id(&self) -> u64 {
        self.id
    }
}
