//! The control addresses of all known control nodes, and when to dial each.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_time::Instant;

use crate::timing::STARTUP_GRACE;

/// An address that cannot be reached for this long is forgotten.
const ADDRESS_RETENTION: Duration = Duration::from_millis(20_000);

/// The initial backoff after a failed dial of an address.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The maximum backoff during start-up, when nodes are expected to become reachable soon.
const MAX_STARTUP_BACKOFF: Duration = Duration::from_millis(100);

/// The maximum backoff after start-up.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// How long a node that learns an address below its own waits for the node there to dial, so that only one of them
/// dials. After the loss of a connection both nodes wait this long.
const DIAL_PRIORITY_DELAY: Duration = Duration::from_millis(300);

/// A dial is not repeated within this time, in which it may still succeed.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);

/// Version of the set of addresses, incremented whenever one is added or removed. A peer that was sent the addresses of
/// the current version lacks none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AddressBookVersion(u64);

impl AddressBookVersion {
    /// Less than every version in use: the peer has been sent no addresses.
    pub(crate) const NONE: AddressBookVersion = AddressBookVersion(0);

    fn next(self) -> AddressBookVersion {
        AddressBookVersion(self.0 + 1)
    }
}

struct DialState {
    next_dial_at: Instant,
    backoff: Duration,
    /// When this node last connected to the address, or when the address was learned if it never did.
    last_seen_at: Instant,
}

/// The known control addresses, with the state of dialling for each.
pub(crate) struct AddressBook {
    own_address: String,
    bootstrap: Vec<String>,
    started_at: Instant,
    known: BTreeMap<String, DialState>,
    version: AddressBookVersion,
}

impl AddressBook {
    pub(crate) fn new(own_address: String, bootstrap: &[String], now: Instant) -> AddressBook {
        let mut addresses = AddressBook {
            own_address,
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

    /// Returns all addresses, including this node's own.
    pub(crate) fn all_addresses(&self) -> Vec<String> {
        self.known
            .keys()
            .cloned()
            .chain([self.own_address.clone()])
            .collect()
    }

    /// Replaces the bootstrap addresses after a change of the settings.
    pub(crate) fn set_bootstrap(&mut self, now: Instant, bootstrap: &[String]) {
        self.bootstrap = bootstrap.to_vec();
        for address in bootstrap {
            self.learn(now, address);
        }
    }

    /// Adds an address if it is unknown.
    pub(crate) fn learn(&mut self, now: Instant, address: &str) {
        if address == self.own_address || address.is_empty() || self.known.contains_key(address) {
            return;
        }
        let delay = if self.own_address.as_str() < address {
            Duration::ZERO
        } else {
            DIAL_PRIORITY_DELAY
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

    /// Records a failed dial, and increases the backoff of the address.
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

    /// Returns the addresses to dial now, and forgets addresses that can't be reached. Addresses of voters and
    /// bootstrap addresses are never forgotten.
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
                    next_dial_at: now + DIAL_PRIORITY_DELAY,
                    backoff: MIN_BACKOFF,
                    last_seen_at: now,
                };
                return true;
            }
            let is_retained = now < state.last_seen_at + ADDRESS_RETENTION
                || is_voter(address)
                || bootstrap.contains(address);
            if is_retained && now >= state.next_dial_at {
                state.next_dial_at = now + state.backoff.max(DIAL_TIMEOUT);
                to_dial.push(address.clone());
            }
            is_retained
        });
        if self.known.len() < count_before {
            self.version = self.version.next();
        }
        to_dial
    }
}
