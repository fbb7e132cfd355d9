//! Whom this process connects to, and when again after a loss.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use linenthread_core::interface::TenthMillis;
use oorandom::Rand64;

use crate::config::PeerAddress;
use crate::identifiers::ConnectionId;
use crate::random::{random_index, random_time};

/// The first backoff after a loss. Each further one is twice as long, and half of it is random, so that those who
/// lost one process do not all come back to it at once.
const FIRST_BACKOFF: TenthMillis = 1_000;
/// The longest backoff.
const MAX_BACKOFF: TenthMillis = 50_000;
/// A connection that lasted so long resets the backoff.
const STABLE_AFTER: TenthMillis = 50_000;
/// Failures are counted up to this.
const MAX_FAILURES: u32 = 16;
/// The backoff doubles so often at most.
const MAX_DOUBLINGS: u32 = 10;

/// A connection that is being made, or is open.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    connection: ConnectionId,
    started_at: TenthMillis,
}

/// A process to be dialled.
#[derive(Clone, Debug)]
struct Target {
    address: SocketAddr,
    /// Consecutive attempts that failed, or whose connection did not last.
    failures: u32,
    /// When it may be dialled next.
    next_attempt_at: TenthMillis,
    attempt: Option<Attempt>,
}

/// A process that is to be connected to now.
pub(crate) struct NewAttempt {
    pub(crate) connection: ConnectionId,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

/// Which of its targets a process keeps a connection to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DialMode {
    /// All of them.
    All,
    /// Any one: it is used until it fails.
    AnyOne,
}

/// Which targets are dialled.
#[derive(Debug)]
struct Selection {
    mode: DialMode,
    /// The target in use where any one will do.
    current: Option<String>,
}

impl Selection {
    fn includes(&self, name: &str) -> bool {
        self.mode == DialMode::All || self.current.as_deref() == Some(name)
    }
}

/// The processes that are dialled from here.
#[derive(Debug)]
pub(crate) struct Dialer {
    targets: BTreeMap<String, Target>,
    rng: Rand64,
    selection: Selection,
}

impl Dialer {
    /// Dials these processes, each after a short random time.
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

    /// Nobody is dialled.
    pub(crate) fn idle(now: TenthMillis) -> Dialer {
        Dialer::new(std::iter::empty(), DialMode::AnyOne, 0, now)
    }

    /// Selects a random target, but not the one that has just failed where there is another.
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

    /// When [`Dialer::start_attempts`] has something to dial.
    pub(crate) fn wake_at(&self) -> TenthMillis {
        self.targets
            .iter()
            .filter(|(name, target)| target.attempt.is_none() && self.selection.includes(name))
            .map(|(_, target)| target.next_attempt_at)
            .min()
            .unwrap_or(TenthMillis::MAX)
    }

    /// Those to be dialled now; `next_connection` numbers their connections.
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

    /// A connection could not be made, or has ended.
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
