//! The addresses of all control nodes that are known, and when each is dialled.

use std::collections::BTreeMap;

use crate::timing::STARTING;

/// An address that nobody answers at is forgotten after so long.
const FORGET: u64 = 20_000;
/// Between two dials of one address: at first, at most while machines start, and at most later.
const FIRST_WAIT: u64 = 50;
const MOST_WAIT_STARTING: u64 = 100;
const MOST_WAIT: u64 = 1_600;
/// The machine with the higher address leaves it to the other to dial, for so long.
const YIELD: u64 = 300;
/// A dial on its way is given so long.
const DIALLING: u64 = 600;

struct Attempt {
    next: u64,
    wait: u64,
    /// Last linked, or learnt of.
    since: u64,
}

/// The table of addresses.
pub(crate) struct Addresses {
    own: String,
    bootstrap: Vec<String>,
    began: u64,
    known: BTreeMap<String, Attempt>,
    version: u64,
}

impl Addresses {
    pub(crate) fn new(own: String, bootstrap: Vec<String>, now: u64) -> Addresses {
        let mut addresses = Addresses {
            own,
            bootstrap: bootstrap.clone(),
            began: now,
            known: BTreeMap::new(),
            version: 1,
        };
        bootstrap
            .iter()
            .for_each(|address| addresses.learn(now, address));
        addresses
    }

    /// Rises when an address is learnt or forgotten.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// All addresses, the own one too.
    pub(crate) fn all(&self) -> Vec<String> {
        self.known
            .keys()
            .cloned()
            .chain([self.own.clone()])
            .collect()
    }

    pub(crate) fn learn(&mut self, now: u64, address: &str) {
        if address == self.own || address.is_empty() || self.known.contains_key(address) {
            return;
        }
        let wait = if self.own.as_str() < address {
            0
        } else {
            YIELD
        };
        self.known.insert(
            address.to_owned(),
            Attempt {
                next: now + wait,
                wait: FIRST_WAIT,
                since: now,
            },
        );
        self.version += 1;
    }

    /// An address could not be reached: it is tried less and less often.
    pub(crate) fn unreached(&mut self, now: u64, address: &str) {
        let most = if now < self.began + STARTING {
            MOST_WAIT_STARTING
        } else {
            MOST_WAIT
        };
        if let Some(attempt) = self.known.get_mut(address) {
            attempt.wait = (attempt.wait * 2).clamp(FIRST_WAIT, most);
            attempt.next = now + attempt.wait;
        }
    }

    /// The addresses to dial now; those of voters are never forgotten.
    pub(crate) fn dial(
        &mut self,
        now: u64,
        is_linked: impl Fn(&str) -> bool,
        is_voter: impl Fn(&str) -> bool,
    ) -> Vec<String> {
        let mut dial = Vec::new();
        let before = self.known.len();
        let bootstrap = &self.bootstrap;
        self.known.retain(|address, attempt| {
            if is_linked(address) {
                *attempt = Attempt {
                    next: now + YIELD,
                    wait: FIRST_WAIT,
                    since: now,
                };
                return true;
            }
            let keep =
                now < attempt.since + FORGET || is_voter(address) || bootstrap.contains(address);
            if keep && now >= attempt.next {
                attempt.next = now + attempt.wait.max(DIALLING);
                dial.push(address.clone());
            }
            keep
        });
        self.version += u64::from(self.known.len() < before);
        dial
    }
}
