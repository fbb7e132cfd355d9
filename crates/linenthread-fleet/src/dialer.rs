//! Decides which processes to connect to, and when to reconnect.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use linenthread_core::interface::TenthMillis;
use oorandom::Rand64;

use crate::config::PeerAddress;
use crate::identifiers::ConnectionId;
use crate::random::{random_index, random_time};

/// Backoff after the first failure. It doubles with each further one, and half of it is random, so that the processes
/// that lost their connection to the same process do not all reconnect at the same time.
const FIRST_BACKOFF: TenthMillis = 1_000;
/// Maximum backoff.
const MAX_BACKOFF: TenthMillis = 50_000;
/// A connection that lasted this long resets the backoff.
const STABLE_AFTER: TenthMillis = 50_000;
/// Maximum of the failure counter.
const MAX_FAILURES: u32 = 16;
/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 10;

/// A connection that is being established, or is open.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    connection: ConnectionId,
    started_at: TenthMillis,
}

/// A process to be dialled.
#[derive(Clone, Debug)]
struct Target {
    address: SocketAddr,
    /// Consecutive attempts that failed, or whose connection did not last for [`STABLE_AFTER`].
    failures: u32,
    /// Earliest time of the next attempt.
    next_attempt_at: TenthMillis,
    attempt: Option<Attempt>,
}

/// A connection attempt to be started now.
pub(crate) struct NewAttempt {
    pub(crate) connection: ConnectionId,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

/// Which targets a process keeps connections to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DialMode {
    /// All targets.
    All,
    /// One target, which is used until its connection fails.
    AnyOne,
}

#[derive(Debug)]
struct Selection {
    mode: DialMode,
    /// The selected target in mode [`DialMode::AnyOne`].
    current: Option<String>,
}

impl Selection {
    fn includes(&self, name: &str) -> bool {
        self.mode == DialMode::All || self.current.as_deref() == Some(name)
    }
}

/// Keeps connections to its targets, with a backoff after failures.
#[derive(Debug)]
pub(crate) struct Dialer {
    targets: BTreeMap<String, Target>,
    rng: Rand64,
    selection: Selection,
}

impl Dialer {
    /// Creates a dialer for these targets; the first attempt to each follows after a random time below
    /// [`FIRST_BACKOFF`].
    pub(crate) fn new(
        targets: impl Iterator<Item = PeerAddress>,
        mode: DialMode,
        seed: u64,
        now: TenthMillis,
    ) -> Dialer {
        let mut rng = Rand64::new(u128::from(seed));
        let mut target = |address| Target {
            address,
            failures: 0,
            next_attempt_at: now + random_time(&mut rng, FIRST_BACKOFF),
            attempt: None,
        };
        let targets = targets
            .map(|peer| (peer.name, target(peer.address)))
            .collect();
        let mut dialer = Dialer {
            targets,
            rng,
            selection: Selection {
                mode,
                current: None,
            },
        };
        dialer.select();
        dialer
    }

    /// Returns a dialer without targets.
    pub(crate) fn idle(now: TenthMillis) -> Dialer {
        Dialer::new(std::iter::empty(), DialMode::AnyOne, 0, now)
    }

    /// In mode [`DialMode::AnyOne`], selects a random target other than the current one, if there is another.
    fn select(&mut self) {
        if self.selection.mode == DialMode::All || self.targets.is_empty() {
            return;
        }
        let names = self.targets.keys();
        let others: Vec<&String> = names
            .filter(|name| Some(*name) != self.selection.current.as_ref())
            .collect();
        let index = random_index(&mut self.rng, others.len());
        if let Some(name) = others.get(index) {
            self.selection.current = Some((*name).clone());
        }
    }

    pub(crate) fn mode(&self) -> DialMode {
        self.selection.mode
    }

    /// Returns when [`Dialer::start_attempts`] next has an attempt to start.
    pub(crate) fn wake_at(&self) -> TenthMillis {
        self.targets
            .iter()
            .filter(|(name, target)| target.attempt.is_none() && self.selection.includes(name))
            .map(|(_, target)| target.next_attempt_at)
            .min()
            .unwrap_or(TenthMillis::MAX)
    }

    /// Starts and returns the attempts that are due; `next_connection` provides the connections' ids.
    pub(crate) fn start_attempts(
        &mut self,
        now: TenthMillis,
        mut next_connection: impl FnMut() -> ConnectionId,
    ) -> Vec<NewAttempt> {
        let mut attempts = Vec::new();
        for (name, target) in &mut self.targets {
            let is_idle = target.attempt.is_none() && target.next_attempt_at <= now;
            if !is_idle || !self.selection.includes(name) {
                continue;
            }
            let connection = next_connection();
            target.attempt = Some(Attempt {
                connection,
                started_at: now,
            });
            attempts.push(NewAttempt {
                connection,
                name: name.clone(),
                address: target.address,
            });
        }
        attempts
    }

    /// Handles a connection that could not be established, or has ended, and schedules the next attempt.
    pub(crate) fn on_closed(&mut self, now: TenthMillis, connection: ConnectionId) {
        let is_closed = |attempt: Attempt| attempt.connection == connection;
        let mut targets = self.targets.values_mut();
        let Some(target) = targets.find(|target| target.attempt.is_some_and(is_closed)) else {
            return;
        };
        let attempt = target.attempt.take();
        let was_stable = attempt.is_some_and(|attempt| now - attempt.started_at >= STABLE_AFTER);
        target.failures = if was_stable {
            1
        } else {
            (target.failures + 1).min(MAX_FAILURES)
        };
        let doublings = (target.failures - 1).min(MAX_DOUBLINGS);
        let backoff = (FIRST_BACKOFF << doublings).min(MAX_BACKOFF);
        target.next_attempt_at = now + backoff / 2 + random_time(&mut self.rng, backoff / 2);
        self.select();
    }
}
