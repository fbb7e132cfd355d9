//! The control addresses of all known control nodes, and when each is dialled.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_time::Instant;

use crate::timing::STARTUP_GRACE;

/// An address that cannot be reached for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_millis(20_000);

/// Backoff after the first failed dial of an address.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The longest backoff while nodes start: they are expected to be there soon.
const MAX_STARTUP_BACKOFF: Duration = Duration::from_millis(100);

/// The longest backoff later on.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// A node that learns an address below its own waits so long for the node there to dial, so that not both do. After a
/// connection has ended both wait so long.
const YIELD: Duration = Duration::from_millis(300);

/// A dial in progress is not repeated for so long.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);

/// Which addresses the book held at some moment: raised whenever one is learnt or forgotten. A peer that was sent the
/// addresses of this version lacks none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AddressBookVersion(u64);

impl AddressBookVersion {
    /// Before the first one: what a peer has been sent at first.
    pub(crate) const NONE: AddressBookVersion = AddressBookVersion(0);

    fn next(self) -> AddressBookVersion {
        AddressBookVersion(self.0 + 1)
    }
}

struct DialState {
    next_dial_at: Instant,
    backoff: Duration,
    /// When the address was last connected to, or else learnt.
    last_seen_at: Instant,
}

/// The table of addresses.
pub(crate) struct AddressBook {
    own: String,
    bootstrap: Vec<String>,
    started_at: Instant,
    known: BTreeMap<String, DialState>,
    version: AddressBookVersion,
}

impl AddressBook {
    pub(crate) fn new(own: String, bootstrap: &[String], now: Instant) -> AddressBook {
        let mut addresses = AddressBook {
            own,
            bootstrap: Vec::new(),
            started_at: now,
            known: BTreeMap::new(),
            version: AddressBookVersion::NONE.next(),
        };
        addresses.set_bootstrap(now, bootstrap);
        addresses
    }

    pub(crate) fn version(&self) -> AddressBookVersion {
        self.version
    }

    /// All addresses, the own one included.
    pub(crate) fn all(&self) -> Vec<String> {
        self.known
            .keys()
            .cloned()
            .chain([self.own.clone()])
            .collect()
    }

    /// The settings name these addresses from now on.
    pub(crate) fn set_bootstrap(&mut self, now: Instant, bootstrap: &[String]) {
        self.bootstrap = bootstrap.to_vec();
        for address in bootstrap {
            self.learn(now, address);
        }
    }

    /// Adds an address if it is a new one.
    pub(crate) fn learn(&mut self, now: Instant, address: &str) {
        if address == self.own || address.is_empty() || self.known.contains_key(address) {
            return;
        }
        let delay = if self.own.as_str() < address {
            Duration::ZERO
        } else {
            YIELD
        };
        self.known.insert(
            address.to_owned(),
            DialState {
                next_dial_at: now + delay,
                backoff: MIN_BACKOFF,
                last_seen_at: now,
            },
        );
        self.version = self.version.next();
    }

    /// A dial failed: the address is dialled less and less often.
    pub(crate) fn on_dial_failed(&mut self, now: Instant, address: &str) {
        let max_backoff = if now < self.started_at + STARTUP_GRACE {
            MAX_STARTUP_BACKOFF
        } else {
            MAX_BACKOFF
        };
        if let Some(state) = self.known.get_mut(address) {
            state.backoff = (state.backoff * 2).clamp(MIN_BACKOFF, max_backoff);
            state.next_dial_at = now + state.backoff;
        }
    }

    /// The addresses to dial now. Those of voters and of the bootstrap are never forgotten.
    pub(crate) fn next_to_dial(
        &mut self,
        now: Instant,
        is_connected: impl Fn(&str) -> bool,
        is_voter: impl Fn(&str) -> bool,
    ) -> Vec<String> {
        let mut to_dial = Vec::new();
        let count_before = self.known.len();
        let bootstrap = &self.bootstrap;
        self.known.retain(|address, state| {
            if is_connected(address) {
                *state = DialState {
                    next_dial_at: now + YIELD,
                    backoff: MIN_BACKOFF,
                    last_seen_at: now,
                };
                return true;
            }
            let remember = now < state.last_seen_at + FORGET_AFTER
                || is_voter(address)
                || bootstrap.contains(address);
            if remember && now >= state.next_dial_at {
                state.next_dial_at = now + state.backoff.max(DIAL_TIMEOUT);
                to_dial.push(address.clone());
            }
            remember
        });
        if self.known.len() < count_before {
            self.version = self.version.next();
        }
        to_dial
    }
}
