//! Which control node is tried next, and after which pause.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use linenthread_time::Instant;
use oorandom::Rand64;

/// The first pause between two sessions, in milliseconds.
const MIN_BACKOFF_MS: u64 = 50;
/// The longest pause between two sessions, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;
/// A session that lasted longer than this was a good one: the next pause is the shortest.
const STABLE_SESSION: Duration = Duration::from_secs(5);

/// What the choice of the next control node depends on.
pub(super) struct SessionSchedule {
    random: Rand64,
    /// When the last session with each control node ended.
    ended_at: HashMap<SocketAddr, Instant>,
    backoff: Backoff,
}

impl SessionSchedule {
    pub(super) fn new(seed: u64) -> SessionSchedule {
        SessionSchedule {
            random: Rand64::new(u128::from(seed)),
            ended_at: HashMap::new(),
            backoff: Backoff::new(),
        }
    }

    /// Sorts control nodes in the order to try them: that whose last session ended longest ago first; among equals
    /// those of the local zone, then at random.
    pub(super) fn sort(
        &mut self,
        control_nodes: &mut [SocketAddr],
        is_remote: impl Fn(&SocketAddr) -> bool,
    ) {
        control_nodes.sort_by_cached_key(|address| {
            let ended_at = self.ended_at.get(address).copied();
            (
                ended_at.unwrap_or(Instant::START),
                is_remote(address),
                self.random.rand_u64(),
            )
        });
    }

    /// Records a session that has ended; the pause until the next one.
    pub(super) fn on_session_ended(&mut self, session: &EndedSession) -> Duration {
        self.ended_at.insert(session.control_node, session.ended_at);
        let was_stable = session.ended_at > session.started_at + STABLE_SESSION;
        // While few control nodes have failed, the others are to be tried at once.
        let has_untried = self.ended_at.len() <= session.candidates / 2;
        if was_stable || has_untried {
            self.backoff.reset();
        } else {
            self.backoff.increase();
        }
        self.backoff.pause(&mut self.random)
    }
}

/// A session that has ended, or could not begin.
pub(super) struct EndedSession {
    pub(super) control_node: SocketAddr,
    pub(super) started_at: Instant,
    pub(super) ended_at: Instant,
    /// How many control nodes could have been chosen.
    pub(super) candidates: usize,
}

/// The pause between two sessions, which grows while sessions fail.
struct Backoff {
    pause_ms: u64,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff {
            pause_ms: MIN_BACKOFF_MS,
        }
    }

    fn reset(&mut self) {
        self.pause_ms = MIN_BACKOFF_MS;
    }

    fn increase(&mut self) {
        self.pause_ms = (self.pause_ms * 2).min(MAX_BACKOFF_MS);
    }

    /// At least half of the pause, and at most all of it, so that the nodes that lost a session together do not all
    /// come back together.
    fn pause(&self, random: &mut Rand64) -> Duration {
        let half = self.pause_ms / 2;
        Duration::from_millis(half + random.rand_range(0..half + 1))
    }
}
